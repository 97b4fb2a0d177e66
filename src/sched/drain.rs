//! Draining of machines: evicts tasks from machines that the cloud is about to reclaim, and from
//! machines that are drained because they are faulty, slow, or on an operator's request.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::decisions::{Decisions, GangRestartReason, TaskTermination};
use crate::cluster::{Cluster, DrainReason, InstanceId, InstancePhase, Job, Machine, TaskInstance};
use crate::model::JobId;

/// Time for a termination to reach a machine in the response to its heartbeat, when the direct
/// command is lost.
const TERMINATION_LATENCY: Duration = Duration::from_secs(3);

/// Terminates tasks on machines that are drained or have received a spot notice. Tasks that have
/// not started are terminated at once. Tasks that can save a checkpoint are terminated while there
/// is time for it. Other running tasks continue, since they may still complete.
pub(super) fn evict_from_draining_machines(
    cluster: &Cluster,
    decisions: &mut Decisions,
    now: Instant,
) {
    let mut visited_gangs: HashSet<JobId> = HashSet::new();
    for machine in cluster.machines.values() {
        if machine.spot_deadline.is_none() && !is_drained(machine) {
            continue;
        }
        for (id, instance) in &machine.instances {
            let ending = instance.termination.is_some() || !instance.occupies();
            let Some(job) = cluster.jobs.get(&id.task.job).filter(|_| !ending) else {
                continue;
            };
            if job.terminating || (job.is_gang() && !visited_gangs.insert(job.spec.id.clone())) {
                continue;
            }
            if must_evict(machine, instance, job, now) {
                evict_task(machine, id, instance, job, decisions);
            }
        }
    }
}

fn is_drained(machine: &Machine) -> bool {
    matches!(
        machine.drain,
        Some(DrainReason::Faulty | DrainReason::Slow | DrainReason::Operator)
    )
}

fn has_started(instance: &TaskInstance) -> bool {
    matches!(
        instance.phase,
        InstancePhase::Running | InstancePhase::Checkpointing
    )
}

/// Whether a task has to be terminated now, so that it continues on another machine.
fn must_evict(machine: &Machine, instance: &TaskInstance, job: &Job, now: Instant) -> bool {
    let started = has_started(instance);
    let Some(deadline) = machine.spot_deadline else {
        return !started || job.spec.can_checkpoint();
    };
    if !started {
        // If the task starts on another machine now, it need not start a second time.
        return true;
    }
    // The task may still complete before it has to start saving a checkpoint. A task that can't
    // save one may run until the deadline.
    let time_left = deadline.saturating_duration_since(now);
    let grace = crate::time::secs(job.spec.checkpoint_grace_s()) + TERMINATION_LATENCY;
    job.spec.can_checkpoint() && time_left <= grace + TERMINATION_LATENCY
}

fn evict_task(
    machine: &Machine,
    id: &InstanceId,
    instance: &TaskInstance,
    job: &Job,
    decisions: &mut Decisions,
) {
    if has_started(instance) || !job.is_gang() || job.seen_running {
        decisions.terminate(job, &machine.id, id, GangRestartReason::MachineDraining);
        return;
    }
    // The gang has not started: only this member is replaced, under the same attempt.
    decisions.terminations.push(TaskTermination {
        task: id.task.clone(),
        attempt: id.attempt,
        machine: machine.id.clone(),
        grace_s: 0.0,
    });
}
