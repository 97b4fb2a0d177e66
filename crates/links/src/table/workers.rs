//! Links between the workers and this controller: whose heartbeats arrive, and who confirms responses.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::detector::PhiAccrual;
use crate::workers::WorkerSet;

/// Missed heartbeats after which a worker is removed: it sends them to another controller.
const HEARTBEATS_MISSED_UNTIL_REMOVED: u32 = 20;

/// The links of one worker.
#[derive(Debug)]
struct WorkerLink {
    detector: PhiAccrual,
    /// Epoch and sequence number of its newest heartbeat.
    newest: (u64, u64),
    /// That heartbeat was answered with 200.
    answered: bool,
    /// It has confirmed a response, and there was no evidence to the contrary since.
    reached: bool,
}

/// The workers that send heartbeats to this controller.
#[derive(Debug)]
pub(super) struct WorkerLinks {
    heartbeat_interval: Duration,
    links: BTreeMap<u32, WorkerLink>,
}

impl WorkerLinks {
    /// No workers yet, with heartbeats expected at this interval.
    pub(super) fn new(heartbeat_interval: Duration) -> Self {
        Self {
            heartbeat_interval,
            links: BTreeMap::new(),
        }
    }

    /// A heartbeat arrived, with its epoch and sequence number. A copy of an older one is no evidence.
    pub(super) fn heartbeat(&mut self, worker: u32, newest: (u64, u64), now: Instant) {
        let expected = self.heartbeat_interval;
        let link = self.links.entry(worker).or_insert_with(|| WorkerLink {
            detector: PhiAccrual::new(expected),
            newest: (0, 0),
            answered: false,
            reached: false,
        });
        if newest <= link.newest {
            return;
        }
        // A worker without a response tries another controller next, unless it knows only this one. So
        // only the direct successor of an answered heartbeat confirms that the response arrived.
        let consecutive = newest.0 == link.newest.0 && newest.1 == link.newest.1 + 1;
        link.reached = consecutive && link.answered;
        link.newest = newest;
        link.answered = false;
        link.detector.heartbeat(now);
    }

    /// The newest heartbeat of the worker was answered with 200.
    pub(super) fn answered(&mut self, worker: u32) {
        if let Some(link) = self.links.get_mut(&worker) {
            link.answered = true;
        }
    }

    /// Removes workers that have sent nothing for many intervals.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        let expiry = self.heartbeat_interval * HEARTBEATS_MISSED_UNTIL_REMOVED;
        self.links.retain(|_, link| {
            let last = link.detector.last();
            last.is_some_and(|at| now.saturating_duration_since(at) < expiry)
        });
    }

    /// The process was paused: silence meanwhile is no evidence against a worker.
    pub(super) fn resume(&mut self, now: Instant) {
        for link in self.links.values_mut() {
            link.detector.heartbeat(now);
        }
    }

    /// The workers whose heartbeats arrive, and those among them that confirm responses.
    pub(super) fn sets(&self, phi_down: f64, now: Instant) -> ReportingWorkers {
        let mut workers = ReportingWorkers::default();
        for (number, link) in &self.links {
            if link.detector.phi(now) < phi_down {
                workers.heard.insert(*number);
                if link.reached {
                    workers.reached.insert(*number);
                }
            }
        }
        workers
    }

    /// Whether no worker is known.
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}

/// The workers that a row of the connectivity matrix names.
#[derive(Debug, Default)]
pub(super) struct ReportingWorkers {
    /// Workers whose heartbeats arrive.
    pub(super) heard: WorkerSet,
    /// Of these, workers that confirm responses.
    pub(super) reached: WorkerSet,
}
