//! Contact with the state service, ours and what the other nodes say of theirs.

use std::time::{Duration, Instant};

/// A node whose contact is older than this while another node's is not can take no requests.
pub const CONTACT_LOST: Duration = Duration::from_secs(4);

/// When the state service last answered, and whether it has failed since.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    /// When the last request that was answered had been sent.
    pub answered: Option<Instant>,
    /// Since when it has not answered.
    pub failing_since: Option<Instant>,
}

/// What a peer says of its contact with the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerContactAnswer {
    /// It has it.
    Fine,
    /// It lost it, too.
    Failing,
    /// It takes no connection from us.
    Refused,
}

/// What the peers said since we lost the state service.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerContacts {
    asked: Option<Instant>,
    fine: Option<Instant>,
    failing: Option<Instant>,
    refused: Option<Instant>,
}

impl PeerContacts {
    /// They were asked; the first time counts.
    pub fn asked(&mut self, now: Instant) {
        self.asked.get_or_insert(now);
    }

    /// One answered.
    pub fn answered(&mut self, answer: PeerContactAnswer, now: Instant) {
        match answer {
            PeerContactAnswer::Fine => self.fine = Some(now),
            PeerContactAnswer::Failing => self.failing = Some(now),
            PeerContactAnswer::Refused => self.refused = Some(now),
        }
    }

    /// Whether it is this node alone that is cut off: another one is fine, or none at all can
    /// be reached for a while. In an outage that all share none is better than another.
    pub fn we_alone(&self, now: Instant) -> bool {
        let recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST)
        };
        if recent(self.fine) {
            return true;
        }
        let waited = self
            .asked
            .is_some_and(|at| now.saturating_duration_since(at) >= CONTACT_LOST);
        waited && !recent(self.failing) && !recent(self.refused)
    }
}

#[cfg(test)]
mod tests;
