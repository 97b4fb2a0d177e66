//! Evidence on links that is collected whether or not the features file enables links.

use std::time::Instant;

use knotlanding_links::contact::{PeerContacts, StoreContact, CONTACT_LOST_AFTER};
use knotlanding_links::misdirected::MisdirectedHeartbeats;

/// Contact with the key-value store and with the leader, and misdirected heartbeats.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    pub(super) contact: StoreContact,
    pub(super) peer_contacts: PeerContacts,
    pub(super) last_summary_at: Option<Instant>,
    pub(super) misdirected: MisdirectedHeartbeats,
}

impl Evidence {
    /// Records that the key-value store responded to a request sent at `sent_at`.
    pub(super) fn store_answered(&mut self, sent_at: Instant) {
        self.contact.answered_request_sent_at =
            self.contact.answered_request_sent_at.max(Some(sent_at));
        self.contact.failing_since = None;
    }

    /// Whether this controller can serve requests: its replica is loaded and it reaches the key-value
    /// store, or no peer is known to be in a better position.
    pub(super) fn can_serve_requests(&self, loaded: bool, has_peers: bool, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= CONTACT_LOST_AFTER;
        let store_lost = self.contact.failing_since.is_some_and(|at| !is_recent(at));
        let leader_summary_recent = self
            .last_summary_at
            .is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST_AFTER);
        let is_isolated = has_peers && self.peer_contacts.is_isolated(now);
        (loaded && !store_lost) || !(leader_summary_recent || is_isolated)
    }
}
