//! Who should lead, by the connectivity matrix.
//!
//! A leader is of use if it can read and write at the state service and gets the workers' reports,
//! directly or by way of followers. It hands over only if another controller is better connected, has
//! been so for a while, and hand-overs have been rare: two controllers that each have half of what is
//! needed would otherwise pass the lead to and fro.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::matrix::Matrix;
use crate::row::Row;
use crate::timing::LinkTiming;

/// Another controller must get this many times the reports that the leader gets.
const WORKERS_FACTOR: f64 = 2.0;

/// How well connected a controller is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Connectivity {
    /// It has the state service, as far as it knows.
    pub store: bool,
    /// It has read and written there lately.
    pub store_proven: bool,
    /// Workers whose reports it gets, or would get if it led.
    pub workers: u64,
}

impl Connectivity {
    /// Whether it is so much better that a change of leader pays: it has the state service and the other
    /// has not, or it has both and gets far more reports.
    pub fn much_better_than(&self, other: &Connectivity) -> bool {
        if !self.store {
            return false;
        }
        if !other.store {
            // Without workers it would only lose the lead again; without proof, so might the election be.
            return self.store_proven && (self.workers > 0 || other.workers == 0);
        }
        self.workers as f64 > other.workers as f64 * WORKERS_FACTOR
    }
}

/// Why the lead is handed over, or stays.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum Decision {
    /// No other controller is much better connected.
    StayNobodyBetter,
    /// One is, but not for long enough yet.
    StayHolding {
        /// That controller.
        candidate: String,
    },
    /// One is, but the lead was handed over too often lately.
    StayLimited {
        /// That controller.
        candidate: String,
    },
    /// The lead should be handed over.
    HandOver {
        /// Who should lead.
        candidate: String,
        /// How this controller is connected.
        own: Connectivity,
        /// How the candidate is.
        theirs: Connectivity,
    },
}

/// Decides for one controller.
#[derive(Debug)]
pub struct HandoverPolicy {
    hold: Duration,
    window: Duration,
    handovers_max: usize,
    better_since: Option<Instant>,
    handovers: VecDeque<Instant>,
}

impl HandoverPolicy {
    /// At most `handovers_max` hand-overs within the window of the timing.
    pub fn new(timing: &LinkTiming, handovers_max: usize) -> Self {
        Self {
            hold: timing.handover_hold(),
            window: timing.handover_window(),
            handovers_max,
            better_since: None,
            handovers: VecDeque::new(),
        }
    }

    /// Looks at the matrix while this controller leads.
    pub fn decide(&mut self, own: &Row, matrix: &Matrix, now: Instant) -> Decision {
        let ours = connectivity(own, own, matrix, now);
        let Some((candidate, theirs)) = best_other(own, matrix, now) else {
            self.better_since = None;
            return Decision::StayNobodyBetter;
        };
        if !theirs.much_better_than(&ours) {
            self.better_since = None;
            return Decision::StayNobodyBetter;
        }
        let since = *self.better_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.hold {
            return Decision::StayHolding { candidate };
        }
        if self.exhausted(now) {
            return Decision::StayLimited { candidate };
        }
        Decision::HandOver {
            candidate,
            own: ours,
            theirs,
        }
    }

    /// The lead was handed over.
    pub fn handed_over(&mut self, now: Instant) {
        self.better_since = None;
        self.handovers.push_back(now);
    }

    /// The lead was lost or gained otherwise: what was seen before says nothing.
    pub fn reset(&mut self) {
        self.better_since = None;
    }

    /// Whether the lead was handed over so often lately that it stays, whatever the reason.
    pub fn exhausted(&mut self, now: Instant) -> bool {
        while let Some(first) = self.handovers.front() {
            if now.saturating_duration_since(*first) < self.window {
                break;
            }
            self.handovers.pop_front();
        }
        self.handovers.len() >= self.handovers_max
    }

    /// Whether a controller that could stand for election should leave it to a better one for a moment.
    pub fn should_yield(own: &Row, matrix: &Matrix, now: Instant) -> bool {
        let ours = connectivity(own, own, matrix, now);
        best_other(own, matrix, now).is_some_and(|(_, theirs)| theirs.much_better_than(&ours))
    }
}

/// How the sender of `row` is connected.
pub fn connectivity(row: &Row, own: &Row, matrix: &Matrix, now: Instant) -> Connectivity {
    let workers = matrix.workers_served_by(&row.message.member, own, now);
    Connectivity {
        store: row.store_usable(),
        store_proven: row.store_proven(matrix.evidence_age_max()),
        workers: workers.len(),
    }
}

/// The best connected other controller; by name among equals, so that all choose the same.
fn best_other(own: &Row, matrix: &Matrix, now: Instant) -> Option<(String, Connectivity)> {
    let mut best: Option<(String, Connectivity)> = None;
    for (member, row, _) in matrix.rows(now) {
        let theirs = connectivity(row, own, matrix, now);
        let better = best
            .as_ref()
            .is_none_or(|(_, best)| (theirs.store, theirs.workers) > (best.store, best.workers));
        if better {
            best = Some((member.to_owned(), theirs));
        }
    }
    best
}

#[cfg(test)]
mod tests;
