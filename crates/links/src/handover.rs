//! Handover of leadership based on the connectivity matrix.
//!
//! A leader requires reads and writes at the key-value store, and the agents' heartbeats, which arrive
//! directly or are forwarded by followers. It hands over only if another controller has been much better
//! connected for a minimum time and recent handovers have been rare. Leadership would otherwise oscillate
//! between two controllers that each have half of the connections.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::matrix::ConnectivityMatrix;
use crate::row::Row;
use crate::timing::LinkTiming;

/// Factor by which the agents of another controller must exceed those of this one.
const SERVED_WORKERS_FACTOR: f64 = 2.0;

/// Connectivity that a controller has, or would have, as the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Connectivity {
    /// Whether its row shows a usable key-value store; see [`Row::store_usable`].
    pub store: bool,
    /// Whether its row also proves a recent write; see [`Row::store_proven`].
    pub store_proven: bool,
    /// Number of agents whose heartbeats it would receive as the leader, directly or forwarded by followers.
    pub workers: u64,
}

impl Connectivity {
    /// Whether this connectivity is so much better than `other` that a failover is worth its cost: only this
    /// one has a usable key-value store, or both have and this one serves far more agents.
    pub fn is_much_better_than(&self, other: &Connectivity) -> bool {
        if !self.store {
            return false;
        }
        if !other.store {
            // A new leader without agents would hand over again, and without evidence of a write its election
            // could fail.
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
    /// Another controller is much better connected, but not yet for the minimum time.
    StayHolding {
        /// Name of the best connected other controller.
        candidate: String,
    },
    /// Another controller is much better connected, but the limit of handovers is reached.
    StayLimited {
        /// Name of the best connected other controller.
        candidate: String,
    },
    /// Leadership should be handed over.
    HandOver {
        /// Name of the best connected other controller, the preferred next leader.
        candidate: String,
        /// Connectivity of this controller.
        own: Connectivity,
        /// Connectivity of the candidate.
        theirs: Connectivity,
    },
}

/// Handover policy of one controller, with its recent handovers.
#[derive(Debug)]
pub struct HandoverPolicy {
    better_connected_for_min: Duration,
    window: Duration,
    handovers_max: usize,
    /// Since when some other controller has been much better connected, not necessarily the same one.
    better_connected_since: Option<Instant>,
    handovers: VecDeque<Instant>,
}

impl HandoverPolicy {
    /// Creates a policy that allows at most `handovers_max` handovers within [`LinkTiming::handover_window`].
    pub fn new(timing: &LinkTiming, handovers_max: usize) -> Self {
        Self {
            better_connected_for_min: timing.better_connected_for_min(),
            window: timing.handover_window(),
            handovers_max,
            better_connected_since: None,
            handovers: VecDeque::new(),
        }
    }

    /// Decides by the matrix and the row of this controller while it is the leader.
    pub fn decide(
        &mut self,
        own_row: &Row,
        matrix: &ConnectivityMatrix,
        now: Instant,
    ) -> HandoverDecision {
        let own_connectivity = connectivity(own_row, own_row, matrix, now);
        let Some((candidate, theirs)) = best_connected_other(own_row, matrix, now) else {
            self.better_connected_since = None;
            return HandoverDecision::StayNobodyBetter;
        };
        if !theirs.is_much_better_than(&own_connectivity) {
            self.better_connected_since = None;
            return HandoverDecision::StayNobodyBetter;
        }
        let since = *self.better_connected_since.get_or_insert(now);
        if now.saturating_duration_since(since) < self.better_connected_for_min {
            return HandoverDecision::StayHolding { candidate };
        }
        if self.limit_reached(now) {
            return HandoverDecision::StayLimited { candidate };
        }
        HandoverDecision::HandOver {
            candidate,
            own: own_connectivity,
            theirs,
        }
    }

    /// Records that this controller handed over leadership, whether [`Self::decide`] was the reason or not.
    pub fn record_handover(&mut self, now: Instant) {
        self.better_connected_since = None;
        self.handovers.push_back(now);
    }

    /// Discards the time for which another controller has been better connected. Called when earlier
    /// observations are no longer valid, for example after a pause of this process.
    pub fn reset(&mut self) {
        self.better_connected_since = None;
    }

    /// Whether the limit of handovers within the window is reached.
    pub fn limit_reached(&mut self, now: Instant) -> bool {
        while let Some(oldest) = self.handovers.front() {
            if now.saturating_duration_since(*oldest) < self.window {
                break;
            }
            self.handovers.pop_front();
        }
        self.handovers.len() >= self.handovers_max
    }

    /// Whether a follower should delay its campaign in favour of a much better connected controller.
    pub fn should_yield(own_row: &Row, matrix: &ConnectivityMatrix, now: Instant) -> bool {
        let own_connectivity = connectivity(own_row, own_row, matrix, now);
        best_connected_other(own_row, matrix, now)
            .is_some_and(|(_, theirs)| theirs.is_much_better_than(&own_connectivity))
    }
}

/// Connectivity of the sender of `row` as the leader. `own_row` is the row of this controller.
pub fn connectivity(
    row: &Row,
    own_row: &Row,
    matrix: &ConnectivityMatrix,
    now: Instant,
) -> Connectivity {
    let workers = matrix.workers_served_by(&row.message.member, own_row, now);
    Connectivity {
        store: row.store_usable(),
        store_proven: row.store_proven(matrix.evidence_age_max()),
        workers: workers.len(),
    }
}

/// The best connected other controller. Among equals it is the first by name, so that all controllers choose
/// the same one.
fn best_connected_other(
    own_row: &Row,
    matrix: &ConnectivityMatrix,
    now: Instant,
) -> Option<(String, Connectivity)> {
    let mut best: Option<(String, Connectivity)> = None;
    for (member, row, _) in matrix.rows(now) {
        let theirs = connectivity(row, own_row, matrix, now);
        let is_better = best
            .as_ref()
            .is_none_or(|(_, best)| (theirs.store, theirs.workers) > (best.store, best.workers));
        if is_better {
            best = Some((member.to_owned(), theirs));
        }
    }
    best
}

#[cfg(test)]
mod tests;
