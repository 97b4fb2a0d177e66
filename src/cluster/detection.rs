//! Failure detection: whether missing heartbeats are due to the machines or to this controller.

use std::time::{Duration, Instant};

use knotlanding_links::health::{HealthEvaluator, HealthLimits};
use knotlanding_links::reachability::few_workers_reporting;

use super::Cluster;

/// The longest regular interval between two heartbeats, as a factor of the nominal one.
const HEARTBEAT_INTERVAL_FACTOR_MAX: f64 = 1.25;
/// How long an agent waits for a response before it tries another controller, by the protocol.
const WORKER_RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

impl Cluster {
    /// Excludes an interval of length `missed`, in which this process received no heartbeats, from
    /// the failure detection of all machines. The ends of worker leases are not moved, since they
    /// count from this leader's last response.
    pub fn resume_after_pause(&mut self, missed: Duration, now: Instant) {
        let shifted = |at: Instant| (at + missed).min(now);
        self.observing_since = shifted(self.observing_since);
        for machine in self.machines.values_mut() {
            machine.last_heartbeat_at = machine.last_heartbeat_at.map(shifted);
            machine.first_heartbeat_at = machine.first_heartbeat_at.map(shifted);
            machine.cloud_status_since = shifted(machine.cloud_status_since);
            machine.reachability.extend_wait(missed);
            machine.unanswered_commands = 0;
        }
    }

    /// Records that a zone counts as partitioned. All machines together have a reserved name.
    pub fn record_zone_partition(&mut self, zone: &str, now: Instant) {
        self.zone_partitions.insert(zone.to_owned(), now);
    }

    /// Whether a zone counted as partitioned within `limit`.
    pub fn zone_recently_partitioned(&self, zone: &str, now: Instant, limit: Duration) -> bool {
        let at = self.zone_partitions.get(zone);
        at.is_some_and(|at| now.saturating_duration_since(*at) < limit)
    }

    /// Whether few of the machines that have sent heartbeats in this term, or should have, still
    /// send them. Then either these machines are lost, or this controller is partitioned from them.
    pub fn receives_few_heartbeats(&self, now: Instant) -> bool {
        // The longest regular interval, and one response timeout of an agent that tries another
        // controller first.
        let limit = self
            .timing
            .heartbeat_interval
            .mul_f64(HEARTBEAT_INTERVAL_FACTOR_MAX)
            + WORKER_RESPONSE_TIMEOUT;
        if now.saturating_duration_since(self.observing_since) < limit {
            return false;
        }
        let (mut known, mut reporting) = (0, 0);
        for (id, machine) in &self.machines {
            if machine.last_heartbeat_at.is_some() || self.unreconciled.contains(id) {
                known += 1;
                reporting += usize::from(
                    machine.last_heartbeat_at.is_some() && !machine.heartbeat_overdue(now, limit),
                );
            }
        }
        few_workers_reporting(known, reporting)
    }

    /// The evaluator of the machines' health at `now`. A controller that receives few heartbeats
    /// can't distinguish failed machines from its own failure.
    pub fn health_evaluator(&self, now: Instant) -> HealthEvaluator {
        HealthEvaluator {
            limits: HealthLimits {
                suspect_after: self
                    .timing
                    .heartbeat_interval
                    .mul_f64(HEARTBEAT_INTERVAL_FACTOR_MAX)
                    + self.timing.heartbeat_interval / 2,
                lost_after: self.timing.failed_after,
            },
            receives_heartbeats: !self.receives_few_heartbeats(now),
            now,
        }
    }
}
