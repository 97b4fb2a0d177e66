//! The effects of a task's exit on its job and its machine.

use std::time::Instant;

use tracing::warn;

use crate::cluster::{Cluster, InstanceId, TerminationEvidence};
use crate::model::{MachineId, TaskId};
use crate::time::secs;
use crate::wire::ExitCause;

/// Backoff of a job after a refused start, which leaves time for heartbeats to correct the cluster
/// state.
const BACKOFF_AFTER_REFUSAL_S: f64 = 3.0;

impl Cluster {
    pub(super) fn apply_exit(
        &mut self,
        id: &MachineId,
        instance: &InstanceId,
        cause: ExitCause,
        now: Instant,
    ) {
        self.remove_placement(id, instance, TerminationEvidence::Exited);
        let job_id = &instance.task.job;
        match cause {
            ExitCause::Done => self.apply_completion(id, instance, now),
            ExitCause::Error => self.attribute_failure(id, job_id, now),
            ExitCause::InsufficientCapacity
            | ExitCause::AlreadyPresent
            | ExitCause::UnknownTask => {
                let task = &instance.task;
                warn!(machine = %id, %task, reason = ?cause, "start refused by machine");
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.backoff_until = Some(now + secs(BACKOFF_AFTER_REFUSAL_S));
                }
            }
            // If a gang can never succeed, every member fails by itself. If a member ends only
            // because another one was lost, neither this member nor the job is at fault.
            ExitCause::GangMemberLost => self.confirm_machine_faults(job_id),
            ExitCause::Stopped | ExitCause::GangBarrierTimeout | ExitCause::Other => {}
        }
    }

    /// Records the completion of a task.
    fn apply_completion(&mut self, id: &MachineId, instance: &InstanceId, now: Instant) {
        let job_id = &instance.task.job;
        if let Some(job) = self.jobs.get_mut(job_id) {
            if instance.task.index < job.spec.tasks {
                job.done.insert(instance.task.index);
            }
        }
        self.drop_plans(&instance.task);
        self.record_completion(id, job_id);
        self.evaluate_slowdown(id, instance, now);
    }

    /// Drops the planned starts of a completed task. A late heartbeat of a machine that was
    /// declared failed may show the completion after the task was planned elsewhere. Nothing was
    /// dispatched there, and no heartbeat would ever end such a plan.
    fn drop_plans(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let placements = job.placements.get(&task.index).into_iter().flatten();
        let plans: Vec<(MachineId, InstanceId)> = placements
            .map(|placement| {
                let instance = InstanceId {
                    task: task.clone(),
                    attempt: placement.attempt,
                };
                (placement.machine.clone(), instance)
            })
            .filter(|(machine, instance)| {
                let machine = self.machines.get(machine);
                let state = machine.and_then(|machine| machine.instances.get(instance));
                state.is_some_and(|state| !state.is_dispatched())
            })
            .collect();
        for (machine, instance) in plans {
            self.remove_instance(&machine, &instance, TerminationEvidence::NeverDispatched);
        }
    }
}
