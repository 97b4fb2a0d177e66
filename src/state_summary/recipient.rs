//! The leader's view of one peer that receives its state summaries.

use std::time::{Duration, Instant};

/// Time between two full summaries to the same peer. A full summary is large, and a peer that answers
/// late would be sent it again and again.
const FULL_SUMMARY_INTERVAL: Duration = Duration::from_secs(5);

/// The last full summary sent to a peer.
#[derive(Debug, Clone, Copy)]
struct FullSummary {
    number: u64,
    sent: Instant,
}

/// Whether a peer misses the state that the next changes build on.
#[derive(Debug, Default)]
pub struct SummaryRecipient {
    out_of_sync: bool,
    last_full: Option<FullSummary>,
}

impl SummaryRecipient {
    /// Whether the next summary to it should be a full one.
    pub fn needs_full(&self, now: Instant) -> bool {
        let due =
            |full: FullSummary| now.saturating_duration_since(full.sent) >= FULL_SUMMARY_INTERVAL;
        self.out_of_sync && self.last_full.is_none_or(due)
    }

    /// A full summary was sent to it. Should it not arrive, the response to the next changes shows it.
    pub fn record_full_summary(&mut self, number: u64, now: Instant) {
        self.out_of_sync = false;
        self.last_full = Some(FullSummary { number, sent: now });
    }

    /// It answered a summary. The response to one from before the last full summary says nothing of
    /// the peer's present state; it would only cause another full summary.
    pub fn record_reply(&mut self, number: u64, out_of_sync: bool) {
        let outdated = self.last_full.is_some_and(|full| number < full.number);
        if !outdated {
            self.out_of_sync = out_of_sync;
        }
    }
}

#[cfg(test)]
mod tests;
