//! The lease in the key-value store under which this process campaigns and leads.

use std::time::{Duration, Instant};

/// A lease that this process holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    id: u64,
    renewed_at: Instant,
}

impl HeldLease {
    /// A lease granted by a request that was sent at `sent`.
    pub(super) fn new(id: u64, sent: Instant) -> Self {
        Self {
            id,
            renewed_at: sent,
        }
    }

    /// Its id in the key-value store.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// When the last successful renewal was sent. The lease counts from then, since the store may
    /// have executed the renewal at any later moment.
    pub fn renewal_sent_at(&self) -> Instant {
        self.renewed_at
    }

    /// Time since it was last renewed.
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.renewed_at)
    }

    /// A renewal sent at `sent` succeeded.
    pub(super) fn renew(&mut self, sent: Instant) {
        // Renewals may be answered out of order.
        self.renewed_at = self.renewed_at.max(sent);
    }
}
