//! The state that a leader keeps for each peer to which it sends state summaries.

use std::time::{Duration, Instant};

/// Shortest time between two full summaries to the same peer. A full summary is large, and without this
/// limit it would be sent repeatedly to a peer with delayed responses.
const FULL_INTERVAL_MIN: Duration = Duration::from_secs(5);

/// The last full summary sent to a peer.
#[derive(Debug, Clone, Copy)]
struct FullSummary {
    number: u64,
    sent_at: Instant,
}

/// Tracks whether a peer lacks the state that the next changes apply to.
#[derive(Debug, Default)]
pub struct SummaryRecipient {
    out_of_sync: bool,
    last_full: Option<FullSummary>,
}

impl SummaryRecipient {
    /// Whether the next summary to this peer must be a full one.
    pub fn needs_full(&self, now: Instant) -> bool {
        let is_due =
            |full: FullSummary| now.saturating_duration_since(full.sent_at) >= FULL_INTERVAL_MIN;
        self.out_of_sync && self.last_full.is_none_or(is_due)
    }

    /// Records that a full summary was sent to the peer at `now`. If the summary does not arrive, the
    /// response to the next changes shows it.
    pub fn record_full_summary(&mut self, number: u64, now: Instant) {
        self.out_of_sync = false;
        self.last_full = Some(FullSummary {
            number,
            sent_at: now,
        });
    }

    /// Records the peer's response to a summary. A response to a summary older than the last full one is
    /// ignored: it does not show the peer's current state, and would only cause another full summary.
    pub fn record_reply(&mut self, number: u64, out_of_sync: bool) {
        let is_outdated = self.last_full.is_some_and(|full| number < full.number);
        if !is_outdated {
            self.out_of_sync = out_of_sync;
        }
    }
}

#[cfg(test)]
mod tests;
