//! Resource usage of teams, including tasks of earlier terms that no heartbeat has shown yet.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::{Cluster, DispatchTargets, Job, Machine};
use crate::model::{MachineId, Resources};

impl Cluster {
    /// Whether tasks of the job may be on unreconciled machines: on those that its records name, or
    /// on any that it may use if they name none.
    pub fn may_have_unreconciled_tasks(&self, job: &Job) -> bool {
        may_have_unreconciled_tasks(&self.unreconciled, &self.machines, job)
    }

    /// The most that each team may be using now.
    pub fn team_use(&self) -> HashMap<&str, Resources> {
        let mut sums: HashMap<&str, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let mut count: usize = job.placements.values().map(Vec::len).sum();
            if self.may_have_unreconciled_tasks(job) {
                // Tasks without a placement may still be running from an earlier term, though no
                // heartbeat has shown them yet.
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
pub(super) fn may_have_unreconciled_tasks(
    unreconciled: &BTreeSet<MachineId>,
    machines: &BTreeMap<MachineId, Machine>,
    job: &Job,
) -> bool {
    if !job.started_in_earlier_term || unreconciled.is_empty() {
        return false;
    }
    match &job.dispatch_targets {
        DispatchTargets::Machines(targets) => targets.iter().any(|id| unreconciled.contains(id)),
        DispatchTargets::Anywhere => unreconciled.iter().any(|id| {
            let machine = machines.get(id).filter(|machine| machine.pool.is_some());
            // A machine of unknown pool may be one that the job may use.
            machine.is_none_or(|m| job.spec.allows(&m.machine_type, &m.zone, m.spot))
        }),
    }
}
