//! The cost of preemption, in seconds of lost time.

use std::time::Instant;

use crate::cluster::{Job, Machine, TaskInstance};
use crate::model::MachineType;

/// The work that is lost when a task is terminated, for all members of its gang.
pub(super) fn lost_work_s(job: &Job, instance: &TaskInstance, now: Instant) -> f64 {
    let ran = instance
        .running_since
        .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
    let lost = if job.spec.can_checkpoint() {
        job.spec.checkpoint_cost_s
    } else {
        ran
    };
    if job.is_gang() {
        lost * f64::from(job.spec.tasks)
    } else {
        lost
    }
}

/// The time in which a machine pulls the image of a job.
pub(super) fn pull_s(job: &Job, machine: &Machine, machine_type: &MachineType) -> f64 {
    if machine.has_image(job.image) {
        0.0
    } else {
        job.spec.image_gb / machine_type.pull_gb_per_s.max(f64::MIN_POSITIVE)
    }
}
