//! Planning and termination of task instances.
//!
//! Every placement ends in [`Cluster::remove_placement`], which is given the evidence that the
//! task is not on the machine.

use std::time::Instant;

use super::{
    Cluster, InstanceId, InstancePhase, Placement, TaskInstance, Termination, TerminationEvidence,
};
use crate::model::{Attempt, JobId, MachineId, TaskId};

impl Cluster {
    /// A new attempt number; never given out before in any term.
    pub fn next_attempt(&mut self) -> Attempt {
        self.attempts_issued += 1;
        Attempt::of(self.term, self.attempts_issued)
    }

    /// Plans a start. Nothing is dispatched before [`Cluster::respond`] finds it safe.
    pub fn plan(&mut self, task: &TaskId, machine: &MachineId, attempt: Attempt, now: Instant) {
        let (Some(job), Some(host)) =
            (self.jobs.get_mut(&task.job), self.machines.get_mut(machine))
        else {
            return;
        };
        let placement = Placement {
            machine: machine.clone(),
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
        host.instances.insert(id, instance);
        host.recount();
    }

    /// Requests the termination of a task. A start that was never dispatched is simply dropped.
    pub fn stop(&mut self, machine: &MachineId, instance: &InstanceId, grace_s: f64) {
        let Some(host) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(state) = host.instances.get_mut(instance) else {
            return;
        };
        if !state.is_dispatched() {
            self.remove_instance(machine, instance, TerminationEvidence::NeverDispatched);
            return;
        }
        if !state.occupies() {
            return;
        }
        // A cancellation overrides a checkpoint that is under way.
        if state.termination.is_none_or(|stop| grace_s < stop.grace_s) {
            state.termination = Some(Termination {
                grace_s,
                last_sent: None,
            });
        }
        host.recount();
        self.scheduling_needed = true;
    }

    /// Requests the termination of all tasks of a job.
    pub fn stop_job(&mut self, id: &JobId, grace_s: f64) {
        for (machine, instance) in self.instances_of(id) {
            self.stop(&machine, &instance, grace_s);
        }
    }

    /// The job is cancelled for good, by what another node says; the records will show it.
    pub fn cancel_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancellation_requested || job.verdict != crate::model::Verdict::Accepted {
            return;
        }
        job.cancellation_requested = true;
        self.scheduling_needed = true;
        self.stop_job(id, 0.0);
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

    /// Requests the termination of a gang's present attempt, with time for a checkpoint if it can.
    pub fn stop_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.stopping = true;
        let grace = if job.spec.can_checkpoint() {
            job.spec.checkpoint_grace_s()
        } else {
            0.0
        };
        self.stop_job(id, grace);
    }

    /// Removes an instance from its machine, and its placement from the job.
    pub(super) fn remove_instance(
        &mut self,
        machine: &MachineId,
        instance: &InstanceId,
        evidence: TerminationEvidence,
    ) {
        if let Some(host) = self.machines.get_mut(machine) {
            host.instances.remove(instance);
            host.recount();
        }
        self.remove_placement(machine, instance, evidence);
    }

    /// The task is not on that machine any more, or never was, by the evidence given.
    pub(super) fn remove_placement(
        &mut self,
        machine: &MachineId,
        instance: &InstanceId,
        evidence: TerminationEvidence,
    ) {
        evidence.log(machine, &instance.task);
        let Some(job) = self.jobs.get_mut(&instance.task.job) else {
            return;
        };
        self.unpublished.jobs.insert(instance.task.job.clone());
        if let Some(placements) = job.placements.get_mut(&instance.task.index) {
            placements.retain(|p| p.machine != *machine || p.attempt != instance.attempt);
            if placements.is_empty() {
                job.placements.remove(&instance.task.index);
            }
        }
        if job.placements.is_empty() {
            // The attempt is over; the next one starts anew.
            job.attempt = None;
            job.seen_running = false;
            job.stopping = false;
        }
        self.scheduling_needed = true;
    }
}
