//! Failure detection: whether silence is the machines' or our own.

use std::time::{Duration, Instant};

use knotlanding_links::health::{HealthJudge, HealthLimits};
use knotlanding_links::reachability::few_workers_reporting;

use super::Cluster;

/// The longest interval between two heartbeats, in parts of the usual one.
const LATE_HEARTBEAT: f64 = 1.25;
/// A worker waits that long for an answer before it turns to another node, by the protocol.
const WORKER_ANSWER_TIMEOUT: Duration = Duration::from_secs(4);

impl Cluster {
    /// Continues after a time in which we took no heartbeats: no machine counts as silent for it.
    /// When a worker's lease ends is another matter, since it counts from our last answer.
    pub fn resume_after_pause(&mut self, missed: Duration, now: Instant) {
        let later = |at: Instant| (at + missed).min(now);
        self.observing_since = later(self.observing_since);
        for machine in self.machines.values_mut() {
            machine.last_heartbeat_at = machine.last_heartbeat_at.map(later);
            machine.first_heartbeat_at = machine.first_heartbeat_at.map(later);
            machine.cloud_status_since = later(machine.cloud_status_since);
            machine.reachability.extend(missed);
            machine.unanswered_commands = 0;
        }
    }

    /// Remembers that a zone counts as cut off, or all machines if there is no name.
    pub fn record_zone_partition(&mut self, zone: &str, now: Instant) {
        self.zone_cuts.insert(zone.to_owned(), now);
    }

    /// Whether a zone counted as cut off within `limit`.
    pub fn zone_recently_partitioned(&self, zone: &str, now: Instant, limit: Duration) -> bool {
        let at = self.zone_cuts.get(zone);
        at.is_some_and(|at| now.saturating_duration_since(*at) < limit)
    }

    /// Whether hardly any machine is heard any more, although some were or should have been:
    /// either all of them are lost, or we are cut off from them.
    pub fn receives_few_heartbeats(&self, now: Instant) -> bool {
        // An interval and a quarter, an answer that timed out and another controller tried first.
        let limit = self.timing.heartbeat_interval.mul_f64(LATE_HEARTBEAT) + WORKER_ANSWER_TIMEOUT;
        if now.saturating_duration_since(self.observing_since) < limit {
            return false;
        }
        let (mut known, mut heard) = (0, 0);
        for (id, machine) in &self.machines {
            if machine.last_heartbeat_at.is_some() || self.unreconciled.contains(id) {
                known += 1;
                heard += usize::from(
                    machine.last_heartbeat_at.is_some() && !machine.heartbeat_overdue(now, limit),
                );
            }
        }
        few_workers_reporting(known, heard)
    }

    /// What machines' health is judged by now. Who hears hardly any of them can't tell a machine's
    /// silence from its own.
    pub fn health_judge(&self, now: Instant) -> HealthJudge {
        HealthJudge {
            limits: HealthLimits {
                suspect: self.timing.heartbeat_interval.mul_f64(LATE_HEARTBEAT)
                    + self.timing.heartbeat_interval / 2,
                lost: self.timing.failed_after,
            },
            receives_heartbeats: !self.receives_few_heartbeats(now),
            now,
        }
    }
}
