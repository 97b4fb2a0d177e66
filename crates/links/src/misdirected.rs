//! Misdirected heartbeats: those that reach a controller which cannot answer them, as evidence that
//! workers do not reach the leader.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Misdirected heartbeats at one controller between two state summaries that are significant: a worker
/// that has just started sends one to any controller.
pub const SIGNIFICANT_MISDIRECTED_INCREASE: u64 = 5;
/// How long the evidence counts: workers that get no response of the leader send the next misdirected
/// heartbeat at most a second later.
const MISDIRECTED_TTL: Duration = Duration::from_secs(6);

/// Counts of misdirected heartbeats at the other controllers while this one leads: those workers are
/// alive and do not reach it.
#[derive(Debug, Default)]
pub struct MisdirectedHeartbeats {
    counts: HashMap<String, u64>,
    last: Option<Instant>,
}

impl MisdirectedHeartbeats {
    /// Records the total that a controller has counted so far.
    pub fn record_count(&mut self, member: &str, count: u64, now: Instant) {
        let before = self.counts.insert(member.to_owned(), count);
        // A lower count comes from a new incarnation of the controller.
        let increase = before.map_or(0, |before| count.saturating_sub(before));
        if increase >= SIGNIFICANT_MISDIRECTED_INCREASE {
            self.last = Some(now);
        }
    }

    /// Whether many were counted recently.
    pub fn has_recent_increase(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|at| now.saturating_duration_since(at) < MISDIRECTED_TTL)
    }
}

#[cfg(test)]
mod tests;
