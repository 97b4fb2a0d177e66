//! Contact of this controller and of its peers with the state service: which of them is isolated.

use std::time::{Duration, Instant};

/// A controller whose last contact is older than this, while a peer's is not, refuses client requests.
pub const CONTACT_LOST_AFTER: Duration = Duration::from_secs(4);

/// The last successful contact with the state service, and since when requests fail.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreContact {
    /// Sending time of the last request that was answered.
    pub answered_request_sent_at: Option<Instant>,
    /// Since when requests fail.
    pub failing_since: Option<Instant>,
}

/// State of a peer's contact with the state service, as it answers a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerContactAnswer {
    /// The peer has contact.
    Connected,
    /// The peer has lost contact, too.
    Disconnected,
    /// The peer refuses connections of this controller.
    Refused,
}

/// Answers of the peers since this controller lost the state service.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerContacts {
    first_probe: Option<Instant>,
    connected: Option<Instant>,
    disconnected: Option<Instant>,
    refused: Option<Instant>,
}

impl PeerContacts {
    /// The peers were probed; only the first time counts.
    pub fn record_probe(&mut self, now: Instant) {
        self.first_probe.get_or_insert(now);
    }

    /// Records the answer of a peer.
    pub fn record_answer(&mut self, answer: PeerContactAnswer, now: Instant) {
        match answer {
            PeerContactAnswer::Connected => self.connected = Some(now),
            PeerContactAnswer::Disconnected => self.disconnected = Some(now),
            PeerContactAnswer::Refused => self.refused = Some(now),
        }
    }

    /// Whether this controller alone is disconnected: a peer has contact, or no peer was reachable for
    /// [`CONTACT_LOST`]. In an outage that all controllers share, none is isolated.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST_AFTER)
        };
        if recent(self.connected) {
            return true;
        }
        let waited = self
            .first_probe
            .is_some_and(|at| now.saturating_duration_since(at) >= CONTACT_LOST_AFTER);
        waited && !recent(self.disconnected) && !recent(self.refused)
    }
}

#[cfg(test)]
mod tests;
