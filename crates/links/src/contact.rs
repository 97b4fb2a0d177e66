//! Contact of this controller and of its peers with the key-value store, to detect whether this controller is
//! isolated.

use std::time::{Duration, Instant};

/// Time of failing requests after which contact with the key-value store counts as lost. A controller that
/// has lost contact refuses client requests if a peer still has contact, or if no peer responds. The result
/// of a probe is valid for the same time.
pub const CONTACT_LOST_AFTER: Duration = Duration::from_secs(4);

/// Contact of this controller with the key-value store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreContact {
    /// When the newest request that received a response was sent; `None` before the first response.
    pub answered_request_sent_at: Option<Instant>,
    /// When the first request failed after the last response; `None` if none has failed since.
    pub failing_since: Option<Instant>,
}

/// Result of a probe of a peer for its contact with the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerContactResult {
    /// The peer has contact.
    Connected,
    /// The peer is reachable, but has no contact either.
    Disconnected,
    /// The connection to the peer was refused, by a packet filter or because the peer is starting.
    Refused,
}

/// Results of the probes of the peers since this controller lost contact with the key-value store.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerContacts {
    first_probe_at: Option<Instant>,
    last_connected_at: Option<Instant>,
    last_disconnected_at: Option<Instant>,
    last_refused_at: Option<Instant>,
}

impl PeerContacts {
    /// Records that the peers were probed. Only the first probe has an effect.
    pub fn record_probe(&mut self, now: Instant) {
        self.first_probe_at.get_or_insert(now);
    }

    /// Records when a probe had this result. Only the newest time of each result is kept, whichever the peer.
    pub fn record_result(&mut self, result: PeerContactResult, now: Instant) {
        match result {
            PeerContactResult::Connected => self.last_connected_at = Some(now),
            PeerContactResult::Disconnected => self.last_disconnected_at = Some(now),
            PeerContactResult::Refused => self.last_refused_at = Some(now),
        }
    }

    /// Whether only this controller is disconnected: a peer has contact, or no peer has responded within
    /// [`CONTACT_LOST_AFTER`], where a refused connection counts as a response. In an outage that affects all
    /// controllers, none of them is isolated.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let is_recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST_AFTER)
        };
        if is_recent(self.last_connected_at) {
            return true;
        }
        let waited = self
            .first_probe_at
            .is_some_and(|at| now.saturating_duration_since(at) >= CONTACT_LOST_AFTER);
        waited && !is_recent(self.last_disconnected_at) && !is_recent(self.last_refused_at)
    }
}

#[cfg(test)]
mod tests;
