//! The scheduling cycle: orders the jobs, filters and scores machines for their pending tasks,
//! binds tasks to the best machines, and preempts other tasks where no machine has free capacity.
//!
//! All functions here are pure functions of the cluster state and an `Instant`. None does I/O, and
//! only [`apply`] changes the cluster state.

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

/// The input of a scheduling cycle.
#[derive(Debug, Clone, Copy)]
pub struct SchedulingView<'a> {
    /// The cluster state before the decisions of this cycle.
    pub cluster: &'a Cluster,
    /// Team quotas and the objectives of job classes.
    pub policy: &'a SchedulingPolicy,
    /// The time at which the cycle runs; the same for all its decisions.
    pub now: Instant,
}

/// Runs one scheduling cycle. The caller passes the returned decisions to [`apply`].
pub fn run_cycle(cluster: &Cluster, policy: &SchedulingPolicy, now: Instant) -> Decisions {
    let view = SchedulingView {
        cluster,
        policy,
        now,
    };
    let mut cycle = Cycle::new(view);
    let queue = order::build_queue(cluster, policy, now);
    let mut preemptors = Vec::new();
    for entry in &queue.entries {
        let unplaced_tasks = cycle.schedule(entry);
        preemptors.extend(unplaced_tasks.map(|tasks| Preemptor { entry, tasks }));
    }
    let mut decisions = cycle.into_decisions();
    preempt::preempt(view, &queue, &preemptors, &mut decisions);
    drain::evict_from_draining_machines(cluster, &mut decisions, now);
    decisions
}

/// Counts the placements of a job by zone. A task that may be on several machines counts on each.
pub(crate) fn placements_by_zone<'a>(cluster: &'a Cluster, job: &'a Job) -> HashMap<&'a str, u32> {
    let mut zones = HashMap::new();
    for placement in job.placements.values().flatten() {
        if let Some(machine) = cluster.machines.get(&placement.machine) {
            *zones.entry(machine.zone.as_str()).or_default() += 1;
        }
    }
    zones
}
