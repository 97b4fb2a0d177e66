//! Evidence of links that is collected whether links are turned on or not.

use std::time::Instant;

use knotlanding_links::contact::{PeerContacts, StoreContact, CONTACT_LOST_AFTER};
use knotlanding_links::misdirected::MisdirectedHeartbeats;

/// Contact with the key-value store, with the leader, and misdirected heartbeats.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    pub(super) contact: StoreContact,
    pub(super) peer_contacts: PeerContacts,
    /// When a state summary of a leader last arrived.
    pub(super) last_summary: Option<Instant>,
    pub(super) misdirected: MisdirectedHeartbeats,
}

impl Evidence {
    /// A request to the key-value store, sent at `sent`, was answered.
    pub(super) fn store_answered(&mut self, sent: Instant) {
        self.contact.answered_request_sent_at =
            self.contact.answered_request_sent_at.max(Some(sent));
        self.contact.failing_since = None;
    }

    /// Whether this node can take requests: it reaches the key-value store, or none of its peers is
    /// known to be in a better position.
    pub(super) fn fit_for_requests(&self, loaded: bool, has_peers: bool, now: Instant) -> bool {
        let within = |at: Instant| now.saturating_duration_since(at) <= CONTACT_LOST_AFTER;
        let failing = self.contact.failing_since.is_some_and(|at| !within(at));
        let peer_fine = self
            .last_summary
            .is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST_AFTER);
        let alone = has_peers && self.peer_contacts.is_isolated(now);
        (loaded && !failing) || !(peer_fine || alone)
    }
}
