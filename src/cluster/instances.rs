//! Planning and termination of task instances.
//!
//! Every placement ends in [`Cluster::remove_placement`], whose caller passes the evidence that the
//! task is not on the machine.

use std::time::Instant;

use super::{
    Cluster, InstanceId, InstancePhase, Placement, TaskInstance, Termination, TerminationEvidence,
};
use crate::model::{Attempt, JobId, MachineId, TaskId};

impl Cluster {
    /// A new attempt number, unique among all terms.
    pub fn next_attempt(&mut self) -> Attempt {
        self.attempts_issued += 1;
        Attempt::of(self.term, self.attempts_issued)
    }

    /// Plans a start, which [`Cluster::respond`] dispatches once that is safe.
    pub fn plan(&mut self, task: &TaskId, machine_id: &MachineId, attempt: Attempt, now: Instant) {
        let (Some(job), Some(machine)) = (
            self.jobs.get_mut(&task.job),
            self.machines.get_mut(machine_id),
        ) else {
            return;
        };
        let placement = Placement {
            machine: machine_id.clone(),
            attempt,
        };
        job.placements
            .entry(task.index)
            .or_default()
            .push(placement);
        if job.is_gang() {
            job.attempt = Some(attempt);
        }
        let instance = TaskInstance {
            spec: Some(job.spec.clone()),
            phase: InstancePhase::Planned,
            known_since: now,
            running_since: None,
            termination: None,
            image: Some(job.image),
        };
        let id = InstanceId {
            task: task.clone(),
            attempt,
        };
        machine.instances.insert(id, instance);
        machine.update_load();
    }

    /// Requests the termination of a task, or drops its start if that was never dispatched.
    pub fn terminate(&mut self, machine_id: &MachineId, instance: &InstanceId, grace_s: f64) {
        let Some(machine) = self.machines.get_mut(machine_id) else {
            return;
        };
        let Some(state) = machine.instances.get_mut(instance) else {
            return;
        };
        if !state.is_dispatched() {
            self.remove_instance(machine_id, instance, TerminationEvidence::NeverDispatched);
            return;
        }
        if !state.occupies() {
            return;
        }
        // A shorter grace period, as of a cancellation, replaces the earlier one also during a
        // checkpoint.
        if state
            .termination
            .is_none_or(|earlier| grace_s < earlier.grace_s)
        {
            state.termination = Some(Termination {
                grace_s,
                last_sent_at: None,
            });
        }
        machine.update_load();
        self.scheduling_needed = true;
    }

    /// Requests the termination of all tasks of a job.
    pub fn terminate_tasks(&mut self, id: &JobId, grace_s: f64) {
        for (machine, instance) in self.instances_of(id) {
            self.terminate(&machine, &instance, grace_s);
        }
    }

    /// Terminates the tasks of a job whose cancellation is committed, before the replica shows it.
    pub fn cancel_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancellation_requested || job.verdict != crate::model::Verdict::Accepted {
            return;
        }
        job.cancellation_requested = true;
        self.scheduling_needed = true;
        self.terminate_tasks(id, 0.0);
    }

    /// All instances of a job with their machines.
    pub fn instances_of(&self, id: &JobId) -> Vec<(MachineId, InstanceId)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let mut instances = Vec::new();
        for (index, placements) in &job.placements {
            for placement in placements {
                let task = TaskId {
                    job: id.clone(),
                    index: *index,
                };
                let instance = InstanceId {
                    task,
                    attempt: placement.attempt,
                };
                instances.push((placement.machine.clone(), instance));
            }
        }
        instances
    }

    /// Requests the termination of a gang's current attempt, with time for a checkpoint if the job
    /// can save one.
    pub fn terminate_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.terminating = true;
        let grace_s = if job.spec.can_checkpoint() {
            job.spec.checkpoint_grace_s()
        } else {
            0.0
        };
        self.terminate_tasks(id, grace_s);
    }

    /// Drops all starts that are planned on a machine and were not dispatched.
    pub(super) fn drop_planned_starts(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let instances = machine.instances.iter();
        let planned = instances.filter(|(_, state)| !state.is_dispatched());
        let planned: Vec<InstanceId> = planned.map(|(instance, _)| instance.clone()).collect();
        for instance in planned {
            self.remove_instance(id, &instance, TerminationEvidence::NeverDispatched);
        }
    }

    /// Removes an instance from its machine, and its placement from the job.
    pub(super) fn remove_instance(
        &mut self,
        machine_id: &MachineId,
        instance: &InstanceId,
        evidence: TerminationEvidence,
    ) {
        if let Some(machine) = self.machines.get_mut(machine_id) {
            machine.instances.remove(instance);
            machine.update_load();
        }
        self.remove_placement(machine_id, instance, evidence);
    }

    /// Removes a placement, by the evidence that the task is not on that machine any more or never
    /// was.
    pub(super) fn remove_placement(
        &mut self,
        machine_id: &MachineId,
        instance: &InstanceId,
        evidence: TerminationEvidence,
    ) {
        evidence.log(machine_id, &instance.task);
        let Some(job) = self.jobs.get_mut(&instance.task.job) else {
            return;
        };
        self.unpublished.jobs.insert(instance.task.job.clone());
        if let Some(placements) = job.placements.get_mut(&instance.task.index) {
            placements.retain(|p| p.machine != *machine_id || p.attempt != instance.attempt);
            if placements.is_empty() {
                job.placements.remove(&instance.task.index);
            }
        }
        if job.placements.is_empty() {
            // The attempt has ended; the next placement begins a new one.
            job.attempt = None;
            job.seen_running = false;
            job.terminating = false;
        }
        self.scheduling_needed = true;
    }
}
