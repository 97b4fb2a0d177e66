//! The lease in the key-value store under which this process campaigns and leads.

use std::time::{Duration, Instant};

/// A lease that the key-value store granted to this process. It may have expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    id: u64,
    renewal_sent_at: Instant,
}

impl HeldLease {
    /// Creates a lease granted by a request that was sent at `sent_at`.
    pub(super) fn new(id: u64, sent_at: Instant) -> Self {
        Self {
            id,
            renewal_sent_at: sent_at,
        }
    }

    /// The id that the key-value store assigned.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// When the newest successful renewal, or else the grant, was sent. This process counts the lease
    /// duration from this time. The store executes the request later, so that the lease cannot expire before
    /// this process treats it as expired.
    pub fn renewal_sent_at(&self) -> Instant {
        self.renewal_sent_at
    }

    /// Time since the newest successful renewal, or else the grant, was sent.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.renewal_sent_at)
    }

    /// Records that a renewal sent at `sent_at` succeeded.
    pub(super) fn renew(&mut self, sent_at: Instant) {
        // Responses to renewals may arrive out of order.
        self.renewal_sent_at = self.renewal_sent_at.max(sent_at);
    }
}
