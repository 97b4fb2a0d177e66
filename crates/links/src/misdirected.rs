//! Misdirected heartbeats: those to which a controller responds with a status other than 200. They are
//! evidence that agents do not reach the leader.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Increase of a controller's count, between two state summaries or records, that is evidence. Smaller
/// increases are normal, because an agent that has just started sends one heartbeat to any controller.
pub const SIGNIFICANT_MISDIRECTED_INCREASE: u64 = 5;
/// How long an increase counts as evidence. Agents that receive no response from the leader send the next
/// misdirected heartbeat at most a second later.
const MISDIRECTED_TTL: Duration = Duration::from_secs(6);

/// Counts of misdirected heartbeats at the other controllers while this one is the leader. The agents that
/// sent them are running and do not reach this controller.
#[derive(Debug, Default)]
pub struct MisdirectedHeartbeats {
    counts: HashMap<String, u64>,
    last_increase_at: Option<Instant>,
}

impl MisdirectedHeartbeats {
    /// Records how many misdirected heartbeats a controller has counted since it started. The first count of
    /// a controller is only the base of comparison.
    pub fn record_count(&mut self, member: &str, count: u64, now: Instant) {
        let previous = self.counts.insert(member.to_owned(), count);
        // A lower count comes from a new incarnation of the controller.
        let increase = previous.map_or(0, |previous| count.saturating_sub(previous));
        if increase >= SIGNIFICANT_MISDIRECTED_INCREASE {
            self.last_increase_at = Some(now);
        }
    }

    /// Whether the count of a controller has increased significantly within the last 6 s.
    pub fn has_recent_increase(&self, now: Instant) -> bool {
        self.last_increase_at
            .is_some_and(|at| now.saturating_duration_since(at) < MISDIRECTED_TTL)
    }
}

#[cfg(test)]
mod tests;
