//! Detection of machines that are much slower than the others.

use std::collections::VecDeque;
use std::time::Instant;

use tracing::warn;

use super::machine::{DrainReason, InstanceId, Machine};
use super::Cluster;
use crate::model::{JobId, MachineId};

/// Jobs of which a machine's slowdown is compared with the others'.
const JOBS_TO_COMPARE: usize = 3;
/// A machine this much slower than the median, for all of them, is quarantined.
const SLOW_FACTOR: f64 = 2.5;
/// Tasks anywhere whose slowdown is remembered, and how many there must be for a judgement.
const SLOWDOWNS_KEPT: usize = 60;
const SLOWDOWNS_TO_JUDGE: usize = 15;

/// The run time of an instance over its estimate, if both are known.
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
    /// Replaces the slowdown of the job's last task here.
    fn record_slowdown(&mut self, job: &JobId, slowdown: f64) {
        self.slowdowns.retain(|(known, _)| known != job);
        self.slowdowns.push((job.clone(), slowdown));
        if self.slowdowns.len() > JOBS_TO_COMPARE {
            self.slowdowns.remove(0);
        }
    }
}

impl Cluster {
    /// Compares how long a task ran with its estimate, and the machine's slowdowns with those of
    /// all: estimates are often wrong by half, but not for several jobs on one machine only.
    pub(super) fn note_slowdown(&mut self, id: &MachineId, instance: &InstanceId, now: Instant) {
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
            && self.slowdowns.len() >= SLOWDOWNS_TO_JUDGE;
        if enough && machine.slowdowns.iter().all(slow) && machine.drain.is_none() {
            warn!(machine = %id, median, slowdowns = ?machine.slowdowns, "machine declared slow");
            machine.drain = Some(DrainReason::Slow);
        }
    }
}
