//! The staleness bound of the replica.

use std::time::{Duration, Instant};

/// Up to when the replica is complete. This is the only owner of that fact: whatever was confirmed to
/// anybody before the newest answered read was sent is in the replica, and in the cluster state
/// derived from it.
///
/// Renewals of the lease confirm nothing about the replica. A key-value store that refuses this
/// process alone, and then everybody, gives every lease its full time again: an old leader then
/// finds itself leading, with a replica as old as the refusal.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReplicaFreshness {
    /// When the newest read was sent whose answer was applied completely.
    confirmed_at: Option<Instant>,
    /// When a request last failed.
    invalidated_at: Option<Instant>,
}

impl ReplicaFreshness {
    /// A read sent at `sent` was answered, and its answer was applied completely.
    pub fn confirm(&mut self, sent: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent));
    }

    /// A request failed: contact with the store may have been lost before `now` already.
    pub fn invalidate(&mut self, now: Instant) {
        self.invalidated_at = self.invalidated_at.max(Some(now));
    }

    /// Whether the replica is less than `limit` old.
    pub fn within(&self, limit: Duration, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Whether tasks may be started by the replica: it was confirmed after the last failure, and is
    /// less than `limit` old.
    pub fn allows_starts(&self, limit: Duration, now: Instant) -> bool {
        self.confirmed_at > self.invalidated_at && self.within(limit, now)
    }
}
