//! Links between the agents and this controller: whose heartbeats arrive, and which agents confirm responses.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::detector::PhiAccrualDetector;
use crate::workers::{HeartbeatId, WorkerSet};

/// Heartbeat intervals without a heartbeat after which an agent is removed, because it sends its heartbeats
/// to another controller.
const REMOVAL_INTERVALS: u32 = 20;

/// The links of one agent.
#[derive(Debug)]
struct WorkerLink {
    detector: PhiAccrualDetector,
    newest_heartbeat: HeartbeatId,
    /// Whether this controller responded with status 200 to the newest heartbeat.
    newest_answered: bool,
    /// Whether the newest heartbeat confirms that the response to the one before it arrived.
    response_confirmed: bool,
}

/// The agents that send heartbeats to this controller.
#[derive(Debug)]
pub(super) struct WorkerLinks {
    heartbeat_interval: Duration,
    links: BTreeMap<u32, WorkerLink>,
}

impl WorkerLinks {
    pub(super) fn new(heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            links: BTreeMap::new(),
        }
    }

    /// Records the arrival of a heartbeat. Copies and older heartbeats are ignored.
    pub(super) fn record_heartbeat(&mut self, worker: u32, heartbeat: HeartbeatId, now: Instant) {
        let expected_interval = self.heartbeat_interval;
        let link = self.links.entry(worker).or_insert_with(|| WorkerLink {
            detector: PhiAccrualDetector::new(expected_interval),
            newest_heartbeat: HeartbeatId::default(),
            newest_answered: false,
            response_confirmed: false,
        });
        if heartbeat <= link.newest_heartbeat {
            return;
        }
        // An agent without a response sends the next heartbeat to another controller, unless it has the
        // address of this one only. So only the direct successor of a heartbeat confirms that its response
        // arrived.
        let is_successor = heartbeat.is_successor_of(link.newest_heartbeat);
        link.response_confirmed = is_successor && link.newest_answered;
        link.newest_heartbeat = heartbeat;
        link.newest_answered = false;
        link.detector.record_arrival(now);
    }

    /// Records that this controller responded with status 200 to a heartbeat. It is ignored if a newer heartbeat
    /// has arrived: a response to a copy, or a late one, is none to the newest heartbeat.
    pub(super) fn record_response(&mut self, worker: u32, heartbeat: HeartbeatId) {
        if let Some(link) = self.links.get_mut(&worker) {
            link.newest_answered |= link.newest_heartbeat == heartbeat;
        }
    }

    /// Removes the agents without a heartbeat for [`REMOVAL_INTERVALS`].
    pub(super) fn remove_expired(&mut self, now: Instant) {
        let expiry = self.heartbeat_interval * REMOVAL_INTERVALS;
        self.links.retain(|_, link| {
            let last_arrival_at = link.detector.last_arrival_at();
            last_arrival_at.is_some_and(|at| now.saturating_duration_since(at) < expiry)
        });
    }

    /// Makes the next heartbeat of each agent due one interval after a pause of this process, during which
    /// none could be received.
    pub(super) fn resume_after_pause(&mut self, now: Instant) {
        for link in self.links.values_mut() {
            link.detector.record_arrival(now);
        }
    }

    /// The sets of agents for a row. Agents whose phi is at least `phi_down_threshold` are left out.
    pub(super) fn row_workers(&self, phi_down_threshold: f64, now: Instant) -> RowWorkers {
        let mut workers = RowWorkers::default();
        for (number, link) in &self.links {
            if link.detector.phi(now) < phi_down_threshold {
                workers.reporting.insert(*number);
                if link.response_confirmed {
                    workers.reachable.insert(*number);
                }
            }
        }
        workers
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}

/// The sets of agents in a row of the connectivity matrix.
#[derive(Debug, Default)]
pub(super) struct RowWorkers {
    /// Agents whose heartbeats arrive.
    pub(super) reporting: WorkerSet,
    /// The subset of these agents that confirm responses.
    pub(super) reachable: WorkerSet,
}
