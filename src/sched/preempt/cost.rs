//! The cost of preemption, in seconds of lost run time.

use std::time::Instant;

use crate::cluster::{Job, Machine, TaskInstance};
use crate::model::MachineType;

/// Returns the seconds of work that are lost when a task is terminated: the cost of a checkpoint,
/// or its run time if it saves none. For a gang member it is the sum over the whole gang.
pub(super) fn lost_work_s(job: &Job, instance: &TaskInstance, now: Instant) -> f64 {
    let run_time_s = instance
        .running_since
        .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
    let lost_s = if job.spec.can_checkpoint() {
        job.spec.checkpoint_cost_s
    } else {
        run_time_s
    };
    if job.is_gang() {
        lost_s * f64::from(job.spec.tasks)
    } else {
        lost_s
    }
}

/// Returns the seconds in which a machine pulls the image of a job; 0 if the machine has it.
pub(super) fn pull_s(job: &Job, machine: &Machine, machine_type: &MachineType) -> f64 {
    if machine.has_image(job.image) {
        0.0
    } else {
        job.spec.image_gb / machine_type.pull_gb_per_s.max(f64::MIN_POSITIVE)
    }
}
