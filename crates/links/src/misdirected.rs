//! Reports that came to nodes which could not answer them, as a sign that workers don't get through
//! to the leader.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Misdirected reports at one node between two digests that are no chance: a worker that has just come up
/// asks any node once.
pub const MANY_MISDIRECTED: u64 = 5;
/// How long they are remembered: workers that wait for our answer in vain come there again
/// after that and a second.
const MISDIRECTED_KEPT: Duration = Duration::from_secs(6);

/// Workers that report to other nodes while we lead: they are up and don't get through to us.
#[derive(Debug, Default)]
pub struct MisdirectedHeartbeats {
    counts: HashMap<String, u64>,
    last: Option<Instant>,
}

impl MisdirectedHeartbeats {
    /// A node says how many workers it has sent elsewhere so far.
    pub fn counted(&mut self, member: &str, count: u64, now: Instant) {
        let before = self.counts.insert(member.to_owned(), count);
        // A lower count comes from a new life of the node.
        let more = before.map_or(0, |before| count.saturating_sub(before));
        if more >= MANY_MISDIRECTED {
            self.last = Some(now);
        }
    }

    /// Whether many have come there lately.
    pub fn lately(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|at| now.saturating_duration_since(at) < MISDIRECTED_KEPT)
    }
}

#[cfg(test)]
mod tests;
