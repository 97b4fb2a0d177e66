//! Hand-over of leadership by the connectivity matrix.
//!
//! A leader needs the state service for reads and writes, and the workers' heartbeats, directly or
//! forwarded by followers. It hands over only if another controller has been much better connected for a
//! minimum time, and if hand-overs have been rare: leadership would otherwise oscillate between two
//! controllers that each have half of the connections.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::matrix::ConnectivityMatrix;
use crate::row::Row;
use crate::timing::LinkTiming;

/// Factor by which another controller must serve more workers than the leader.
const SERVED_WORKERS_FACTOR: f64 = 2.0;

/// Connectivity of a controller as a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Connectivity {
    /// It can use the state service, as far as it knows.
    pub store: bool,
    /// It has recent evidence of a read and a write there.
    pub store_proven: bool,
    /// Workers whose heartbeats it receives, or would receive as the leader.
    pub workers: u64,
}

impl Connectivity {
    /// Whether it is so much better that a failover is worth its cost: only it can use the state service,
    /// or both can and it serves far more workers.
    pub fn much_better_than(&self, other: &Connectivity) -> bool {
        if !self.store {
            return false;
        }
        if !other.store {
            // Without workers it would hand over again; without evidence of a write the election could fail.
            return self.store_proven && (self.workers > 0 || other.workers == 0);
        }
        self.workers as f64 > other.workers as f64 * SERVED_WORKERS_FACTOR
    }
}

/// Whether leadership is handed over, and why.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "decision")]
pub enum HandoverDecision {
    /// No other controller is much better connected.
    StayNobodyBetter,
    /// One is, but not yet for the minimum time.
    StayHolding {
        /// The better connected controller.
        candidate: String,
    },
    /// One is, but the limit of hand-overs is reached.
    StayLimited {
        /// The better connected controller.
        candidate: String,
    },
    /// Leadership should be handed over.
    HandOver {
        /// The next leader.
        candidate: String,
        /// Connectivity of this controller.
        own: Connectivity,
        /// Connectivity of the candidate.
        theirs: Connectivity,
    },
}

/// The policy of one controller, with its recent hand-overs.
#[derive(Debug)]
pub struct HandoverPolicy {
    better_for_min: Duration,
    window: Duration,
    handovers_max: usize,
    better_since: Option<Instant>,
    handovers: VecDeque<Instant>,
}

impl HandoverPolicy {
    /// At most `handovers_max` hand-overs within the window of the timing.
    pub fn new(timing: &LinkTiming, handovers_max: usize) -> Self {
        Self {
            better_for_min: timing.better_connected_for_min(),
            window: timing.handover_window(),
            handovers_max,
            better_since: None,
            handovers: VecDeque::new(),
        }
    }

    /// Decides by the matrix while this controller is the leader.
    pub fn decide(
        &mut self,
        own: &Row,
        matrix: &ConnectivityMatrix,
        now: Instant,
    ) -> HandoverDecision {
        let ours = connectivity(own, own, matrix, now);
        let Some((candidate, theirs)) = best_other(own, matrix, now) else {
            self.better_since = None;
            return HandoverDecision::StayNobodyBetter;
        };
        if !theirs.much_better_than(&ours) {
            self.better_since = None;
            return HandoverDecision::StayNobodyBetter;
        }
        let since = *self.better_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.better_for_min {
            return HandoverDecision::StayHolding { candidate };
        }
        if self.limit_reached(now) {
            return HandoverDecision::StayLimited { candidate };
        }
        HandoverDecision::HandOver {
            candidate,
            own: ours,
            theirs,
        }
    }

    /// Records a hand-over.
    pub fn record_handover(&mut self, now: Instant) {
        self.better_since = None;
        self.handovers.push_back(now);
    }

    /// Leadership changed for another reason: earlier observations are void.
    pub fn reset(&mut self) {
        self.better_since = None;
    }

    /// Whether the limit of hand-overs within the window is reached.
    pub fn limit_reached(&mut self, now: Instant) -> bool {
        while let Some(first) = self.handovers.front() {
            if now.saturating_duration_since(*first) < self.window {
                break;
            }
            self.handovers.pop_front();
        }
        self.handovers.len() >= self.handovers_max
    }

    /// Whether a follower should delay its campaign in favour of a much better connected controller.
    pub fn should_yield(own: &Row, matrix: &ConnectivityMatrix, now: Instant) -> bool {
        let ours = connectivity(own, own, matrix, now);
        best_other(own, matrix, now).is_some_and(|(_, theirs)| theirs.much_better_than(&ours))
    }
}

/// Connectivity of the sender of `row`.
pub fn connectivity(
    row: &Row,
    own: &Row,
    matrix: &ConnectivityMatrix,
    now: Instant,
) -> Connectivity {
    let workers = matrix.workers_served_by(&row.message.member, own, now);
    Connectivity {
        store: row.store_usable(),
        store_proven: row.store_proven(matrix.evidence_age_max()),
        workers: workers.len(),
    }
}

/// The best connected other controller; the first by name among equals, so that all choose the same.
fn best_other(
    own: &Row,
    matrix: &ConnectivityMatrix,
    now: Instant,
) -> Option<(String, Connectivity)> {
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
