//! The staleness bound of the replica.

use std::time::{Duration, Instant};

/// The staleness bound of the replica, which no other state records. The replica, and the cluster state
/// derived from it, contain everything that any controller confirmed to a client before the newest successful
/// read was sent.
///
/// Lease renewals do not confirm the replica. If the key-value store first refuses only this process and then
/// all processes, every lease gets its full duration again after this outage. A former leader then renews its
/// lease successfully while its replica is as old as the first refusal.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReplicaFreshness {
    /// When the newest read whose response was applied completely was sent.
    confirmed_at: Option<Instant>,
    /// When the newest failure of a request was recorded.
    invalidated_at: Option<Instant>,
}

impl ReplicaFreshness {
    /// Records that the response to a read sent at `sent_at` was applied completely.
    pub fn confirm(&mut self, sent_at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
    }

    /// Records at `now` that a request failed. The store may have become unreachable earlier.
    pub fn invalidate(&mut self, now: Instant) {
        self.invalidated_at = self.invalidated_at.max(Some(now));
    }

    /// Whether the replica was confirmed less than `limit` ago.
    pub fn within(&self, limit: Duration, now: Instant) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Whether tasks may be started on the basis of the replica: it was confirmed after the newest
    /// failure, and less than `limit` ago.
    pub fn allows_starts(&self, limit: Duration, now: Instant) -> bool {
        self.confirmed_at > self.invalidated_at && self.within(limit, now)
    }
}
