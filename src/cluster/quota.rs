//! What teams may be using, with tasks of earlier terms that nobody has seen yet.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Cluster, DispatchTargets, Job, Machine};
use crate::model::{MachineId, Resources};

impl Cluster {
    /// Whether tasks of the job may be somewhere we have not heard from yet: on a machine that
    /// its record names, or on any that it may use where the record names none.
    pub fn may_have_unreconciled_tasks(&self, job: &Job) -> bool {
        blocked_by(&self.unreconciled, &self.machines, job)
    }

    /// What each team may be using at most right now.
    pub fn team_use(&self) -> HashMap<&str, Resources> {
        let mut sums: HashMap<&str, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let mut count: usize = job.placements.values().map(Vec::len).sum();
            if self.may_have_unreconciled_tasks(job) {
                // Tasks of earlier terms that no heartbeat has shown yet may be running.
                count += job.pending_count() as usize;
            }
            if count > 0 {
                let sum = sums.entry(job.spec.team.as_str()).or_default();
                sum.add(&job.spec.task_resources.times(count as u32));
            }
        }
        sums
    }
}

/// See [`Cluster::may_have_unreconciled_tasks`].
pub(super) fn blocked_by(
    unreconciled: &BTreeSet<MachineId>,
    machines: &BTreeMap<MachineId, Machine>,
    job: &Job,
) -> bool {
    if !job.started_in_earlier_term || unreconciled.is_empty() {
        return false;
    }
    match &job.dispatch_targets {
        DispatchTargets::Machines(machines) => machines.iter().any(|id| unreconciled.contains(id)),
        DispatchTargets::Anywhere => unreconciled.iter().any(|id| {
            let machine = machines.get(id).filter(|machine| machine.pool.is_some());
            // A machine of unknown type may be any.
            machine.is_none_or(|m| job.spec.allows(&m.machine_type, &m.zone, m.spot))
        }),
    }
}
