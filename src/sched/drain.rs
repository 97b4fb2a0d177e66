//! Draining of machines: work moves off machines that the cloud is about to take back, and off
//! those that are not fit for it.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::decisions::{Decisions, GangRestartReason, TaskTermination};
use crate::cluster::{Cluster, DrainReason, InstanceId, InstancePhase, Job, Machine, TaskInstance};
use crate::model::JobId;

/// Time for a termination to reach a machine with the answer to its heartbeat, when the direct
/// command is lost.
const TERMINATION_LATENCY: Duration = Duration::from_secs(3);

/// Terminates tasks on machines that are drained or under a preemption notice: progress is saved
/// while there is time, and what can't save runs on, as it may yet complete.
pub(super) fn drain_leaving_machines(cluster: &Cluster, decisions: &mut Decisions, now: Instant) {
    let mut gangs_seen: HashSet<JobId> = HashSet::new();
    for machine in cluster.machines.values() {
        if machine.spot_deadline.is_none() && !drained(machine) {
            continue;
        }
        for (id, instance) in &machine.instances {
            let idle = instance.termination.is_some() || !instance.occupies();
            let Some(job) = cluster.jobs.get(&id.task.job).filter(|_| !idle) else {
                continue;
            };
            if job.stopping || (job.is_gang() && !gangs_seen.insert(job.spec.id.clone())) {
                continue;
            }
            if has_to_move(machine, instance, job, now) {
                move_task(machine, id, instance, job, decisions);
            }
        }
    }
}

fn drained(machine: &Machine) -> bool {
    matches!(
        machine.drain,
        Some(DrainReason::Faulty | DrainReason::Slow | DrainReason::Operator)
    )
}

fn has_begun(instance: &TaskInstance) -> bool {
    matches!(
        instance.phase,
        InstancePhase::Running | InstancePhase::Checkpointing
    )
}

/// Whether a task has to be terminated now, so that it goes on elsewhere.
fn has_to_move(machine: &Machine, instance: &TaskInstance, job: &Job, now: Instant) -> bool {
    let begun = has_begun(instance);
    let Some(deadline) = machine.spot_deadline else {
        return !begun || job.spec.can_checkpoint();
    };
    if !begun {
        // Elsewhere it need not start twice.
        return true;
    }
    // Saving takes its time; until then the task may still complete. What can't save may run
    // until the end.
    let left = deadline.saturating_duration_since(now);
    let grace = crate::time::secs(job.spec.checkpoint_grace_s()) + TERMINATION_LATENCY;
    job.spec.can_checkpoint() && left <= grace + TERMINATION_LATENCY
}

fn move_task(
    machine: &Machine,
    id: &InstanceId,
    instance: &TaskInstance,
    job: &Job,
    decisions: &mut Decisions,
) {
    if has_begun(instance) || !job.is_gang() || job.seen_running {
        decisions.terminate(job, &machine.id, id, GangRestartReason::MachineLeaving);
        return;
    }
    // Only this member is replaced, under the same attempt.
    decisions.terminations.push(TaskTermination {
        task: id.task.clone(),
        attempt: id.attempt,
        machine: machine.id.clone(),
        grace_s: 0.0,
    });
}
