//! Detection of machines that are much slower than the others.

use std::collections::VecDeque;
use std::time::Instant;

use tracing::warn;

use super::machine::{DrainReason, Machine};
use super::Cluster;
use super::InstanceId;
use crate::model::{JobId, MachineId};

/// Number of last jobs on a machine whose slowdowns are compared with the median.
const JOBS_TO_COMPARE: usize = 3;
/// A machine is drained as slow if its slowdowns for all these jobs exceed the median by this
/// factor.
const SLOW_FACTOR: f64 = 2.5;
/// Number of slowdowns kept of the last tasks on any machine, and number required for a comparison.
const SLOWDOWNS_KEPT: usize = 60;
const SLOWDOWNS_TO_COMPARE: usize = 15;

/// The ratio of an instance's run time to its estimate, if both are known.
fn slowdown_of(machine: &Machine, instance: &InstanceId, now: Instant) -> Option<f64> {
    let state = machine.instances.get(instance)?;
    let estimate_s = state.spec.as_ref()?.estimate_s;
    let ran = now.saturating_duration_since(state.running_since?);
    if estimate_s <= 0.0 {
        return None;
    }
    Some(ran.as_secs_f64() / estimate_s)
}

fn median(values: &VecDeque<f64>) -> f64 {
    let mut sorted: Vec<f64> = values.iter().copied().collect();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

impl Machine {
    /// Replaces the slowdown of the job's last task on this machine.
    fn record_slowdown(&mut self, job: &JobId, slowdown: f64) {
        self.slowdowns.retain(|(known, _)| known != job);
        self.slowdowns.push((job.clone(), slowdown));
        if self.slowdowns.len() > JOBS_TO_COMPARE {
            self.slowdowns.remove(0);
        }
    }
}

impl Cluster {
    /// Compares the run time of a task with its estimate, and the machine's slowdowns with the
    /// median of all. Estimates are often wrong by half, but not for several jobs on only one
    /// machine.
    pub(super) fn evaluate_slowdown(
        &mut self,
        id: &MachineId,
        instance: &InstanceId,
        now: Instant,
    ) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let Some(slowdown) = slowdown_of(machine, instance, now) else {
            return;
        };
        self.slowdowns.push_back(slowdown);
        if self.slowdowns.len() > SLOWDOWNS_KEPT {
            self.slowdowns.pop_front();
        }
        machine.record_slowdown(&instance.task.job, slowdown);
        let median = median(&self.slowdowns);
        let slow = |(_, slowdown): &(JobId, f64)| *slowdown > median * SLOW_FACTOR;
        let enough = machine.slowdowns.len() == JOBS_TO_COMPARE
            && self.slowdowns.len() >= SLOWDOWNS_TO_COMPARE;
        if enough && machine.slowdowns.iter().all(slow) && machine.drain.is_none() {
            warn!(machine = %id, median, slowdowns = ?machine.slowdowns, "machine declared slow");
            machine.drain = Some(DrainReason::Slow);
        }
    }
}
