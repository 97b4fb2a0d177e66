//! The part of a heartbeat about the tasks on its machine.

use std::time::Instant;

use tracing::debug;

use crate::cluster::{
    find_machine_type, Cluster, InstanceId, InstancePhase, Placement, TaskInstance,
};
use crate::model::{Attempt, MachineId, TaskId};
use crate::wire::{ExitCause, Heartbeat, TaskPhase, TaskStatus};

/// The change of an instance by a task status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Observation {
    /// The instance was not known on the machine.
    FirstSeen,
    /// The instance is in another phase.
    PhaseChanged,
    /// The instance is in the same phase.
    Unchanged,
}

/// The phase of an instance by its status.
fn phase_of(status: &TaskStatus) -> InstancePhase {
    match status.phase {
        TaskPhase::PullingImage => InstancePhase::PullingImage,
        TaskPhase::AwaitingGang => InstancePhase::AwaitingGang,
        TaskPhase::Running => InstancePhase::Running,
        TaskPhase::Checkpointing => InstancePhase::Checkpointing,
        TaskPhase::Exited => InstancePhase::Exited(status.cause.unwrap_or(ExitCause::Other)),
    }
}

/// Whether a task in this phase shows that its machine has pulled the image.
fn implies_image(phase: InstancePhase) -> bool {
    matches!(
        phase,
        InstancePhase::AwaitingGang
            | InstancePhase::Running
            | InstancePhase::Exited(ExitCause::Done)
    )
}

impl Cluster {
    /// Applies the task statuses of a heartbeat, and returns all instances with a valid task id.
    pub(super) fn apply_task_statuses(
        &mut self,
        id: &MachineId,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Vec<InstanceId> {
        let mut reported = Vec::with_capacity(heartbeat.tasks.len());
        for status in &heartbeat.tasks {
            let Some(task) = TaskId::parse(&status.task) else {
                continue;
            };
            let instance = InstanceId {
                task,
                attempt: Attempt(status.attempt),
            };
            self.apply_task_status(id, &instance, phase_of(status), now);
            reported.push(instance);
        }
        reported
    }

    fn apply_task_status(
        &mut self,
        id: &MachineId,
        instance: &InstanceId,
        phase: InstancePhase,
        now: Instant,
    ) {
        let observation = self.record_phase(id, instance, phase, now);
        if observation == Observation::Unchanged {
            return;
        }
        if implies_image(phase) {
            self.apply_image_use(id, instance);
        }
        self.unpublished.jobs.insert(instance.task.job.clone());
        self.scheduling_needed = true;
        debug!(machine = %id, task = %instance.task, ?phase, "task phase changed");
        if let InstancePhase::Exited(cause) = phase {
            self.apply_exit(id, instance, cause, now);
            return;
        }
        if observation == Observation::FirstSeen {
            self.add_reported_placement(id, instance);
        }
        if phase == InstancePhase::Running {
            self.record_running(instance, now);
        }
    }

    /// Records the phase of an instance, and adds the instance if it is not known.
    fn record_phase(
        &mut self,
        id: &MachineId,
        instance: &InstanceId,
        phase: InstancePhase,
        now: Instant,
    ) -> Observation {
        let job = self.jobs.get(&instance.task.job);
        let (spec, image) = job.map(|job| (job.spec.clone(), job.image)).unzip();
        let Some(machine) = self.machines.get_mut(id) else {
            return Observation::Unchanged;
        };
        let known = machine.instances.contains_key(instance);
        let state = machine
            .instances
            .entry(instance.clone())
            .or_insert_with(|| TaskInstance {
                spec,
                phase: InstancePhase::PullingImage,
                known_since: now,
                running_since: None,
                termination: None,
                image,
            });
        let before = state.phase;
        state.phase = phase;
        if phase == InstancePhase::Running && state.running_since.is_none() {
            state.running_since = Some(now);
        }
        match (known, before == phase) {
            (false, _) => Observation::FirstSeen,
            (true, false) => Observation::PhaseChanged,
            (true, true) => Observation::Unchanged,
        }
    }

    /// Records that a machine has just used the image of an instance.
    fn apply_image_use(&mut self, id: &MachineId, instance: &InstanceId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let state = machine.instances.get(instance);
        let needs = state.and_then(|state| {
            let spec = state.spec.as_ref()?;
            Some((state.image?, spec.image_gb))
        });
        let Some((image, gb)) = needs else {
            return;
        };
        let machine_type = find_machine_type(&self.catalog, &machine.machine_type);
        let cache_gb = machine_type.map_or(0.0, |machine_type| machine_type.cache_gb);
        let known = machine.has_image(image);
        machine.record_image_use(image, gb, cache_gb);
        if !known {
            self.unpublished.machines.insert(id.clone());
        }
    }

    /// Adds the placement of a task that an earlier leader started.
    fn add_reported_placement(&mut self, id: &MachineId, instance: &InstanceId) {
        let Some(job) = self.jobs.get_mut(&instance.task.job) else {
            return;
        };
        if instance.task.index >= job.spec.tasks {
            return;
        }
        let placement = Placement {
            machine: id.clone(),
            attempt: instance.attempt,
        };
        let placements = job.placements.entry(instance.task.index).or_default();
        if !placements.contains(&placement) {
            placements.push(placement);
        }
        if job.is_gang() && job.attempt.is_none_or(|attempt| attempt < instance.attempt) {
            job.attempt = Some(instance.attempt);
        }
    }

    /// Records that a task of the job is running.
    fn record_running(&mut self, instance: &InstanceId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&instance.task.job) else {
            return;
        };
        if job.attempt == Some(instance.attempt) {
            job.seen_running = true;
        }
        if job.first_running_at.is_none() {
            job.first_running_at = Some(now);
            let wait = now.saturating_duration_since(job.submitted_at);
            self.start_delays.push(wait);
        }
    }
}
