//! The scheduling cycle: jobs are put in order, machines are filtered and scored for their pending
//! tasks, tasks are bound to the best ones, and work that may be preempted makes way for the
//! rest. Pure functions of the cluster state and an `Instant`; nothing here does I/O, and only
//! [`apply`] changes the cluster state.

pub mod allocate;
mod cycle;
mod decisions;
mod drain;
pub mod order;
pub mod preempt;

use std::collections::HashMap;
use std::time::Instant;

use crate::cluster::{Cluster, Job};
use crate::policy::SchedulingPolicy;
use cycle::Cycle;
pub use decisions::{
    apply, AttemptChoice, Decisions, GangRestart, GangRestartReason, PendingJob, Reservation,
    Start, TaskTermination,
};
use preempt::Preemptor;

/// What a scheduling cycle works on: the cluster state, the policy and the time.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The cluster state.
    pub cluster: &'a Cluster,
    /// The scheduling policy.
    pub policy: &'a SchedulingPolicy,
    /// The time.
    pub now: Instant,
}

/// Runs one scheduling cycle.
pub fn run_cycle(cluster: &Cluster, policy: &SchedulingPolicy, now: Instant) -> Decisions {
    let view = View {
        cluster,
        policy,
        now,
    };
    let mut cycle = Cycle::new(view);
    let queue = order::order(cluster, policy, now);
    let mut preemptors = Vec::new();
    for entry in &queue.entries {
        let unplaced = cycle.schedule(entry);
        preemptors.extend(unplaced.map(|tasks| Preemptor { entry, tasks }));
    }
    let mut decisions = cycle.into_decisions();
    preempt::preempt(view, &queue, &preemptors, &mut decisions);
    drain::drain_leaving_machines(cluster, &mut decisions, now);
    decisions
}

/// Zones in which tasks of a job may be now, with their number.
pub(crate) fn zones_of<'a>(cluster: &'a Cluster, job: &'a Job) -> HashMap<&'a str, u32> {
    let mut zones = HashMap::new();
    for placement in job.placements.values().flatten() {
        if let Some(machine) = cluster.machines.get(&placement.machine) {
            *zones.entry(machine.zone.as_str()).or_default() += 1;
        }
    }
    zones
}
