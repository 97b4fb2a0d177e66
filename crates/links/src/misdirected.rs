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

/// How a controller's count arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountSource {
    /// The response to a state summary, which has the present count.
    SummaryResponse,
    /// A record in the key-value store, which may be written long after responses with higher counts arrived.
    Record,
}

/// The counts of one controller with which its next counts are compared; `None` before the first count.
#[derive(Debug, Clone, Copy, Default)]
struct BaseCounts {
    for_responses: Option<u64>,
    for_records: Option<u64>,
}

impl BaseCounts {
    /// Returns the increase of a count. A lower count is no increase: it comes from a new incarnation of the
    /// controller, or from a late record, which must not lower the base of later responses.
    fn advance(&mut self, source: CountSource, count: u64) -> u64 {
        let base = match source {
            CountSource::SummaryResponse => self.for_responses.replace(count),
            CountSource::Record => {
                self.for_responses = self.for_responses.max(Some(count));
                self.for_records
            }
        };
        self.for_records = Some(count);
        base.map_or(0, |base| count.saturating_sub(base))
    }
}

/// Counts of misdirected heartbeats at the other controllers while this one is the leader. The agents that
/// sent them are running and do not reach this controller.
#[derive(Debug, Default)]
pub struct MisdirectedHeartbeats {
    base_counts: HashMap<String, BaseCounts>,
    last_increase_at: Option<Instant>,
}

impl MisdirectedHeartbeats {
    /// Records how many misdirected heartbeats a controller has counted since it started. The first count of
    /// a controller is only the base of comparison.
    pub fn record_count(&mut self, member: &str, source: CountSource, count: u64, now: Instant) {
        let base_counts = self.base_counts.entry(member.to_owned()).or_default();
        let increase = base_counts.advance(source, count);
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
