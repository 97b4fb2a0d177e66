//! The rate limits of a controller: one token bucket for requests and one for changes. They keep the
//! controller within its share of the rates that the key-value store accepts from all controllers together.

use std::time::{Duration, Instant};

use crate::rate_limit::TokenBucket;

/// Share of the store's limits that all controllers together use. The rest is a reserve, since the clocks
/// of the controllers and of the store differ, and bursts coincide.
const USED_SHARE: f64 = 0.9;
/// The leader's part of [`USED_SHARE`]. The leader writes the records of all jobs, while followers only
/// write verdicts.
const LEADER_SHARE: f64 = 0.5;

/// Largest number of tokens for changes that a controller may accumulate, in seconds of its rate. The load
/// balancer sends a burst of submissions to only a few controllers, while the shares of the others are
/// unused.
const BURST_MAX_S: f64 = 3.0;
/// Share of the store's rate of changes that a controller may accumulate as a burst. The store refuses
/// changes only when several controllers use their accumulated tokens at the same time; these changes are
/// sent again.
const BURST_SHARE: f64 = 0.25;

/// The token buckets with which a controller limits its requests to the key-value store.
#[derive(Debug)]
pub struct Limiter {
    controllers: usize,
    store_request_rate: f64,
    store_change_rate: f64,
    /// One token per request, whether it reads or writes.
    pub requests: TokenBucket,
    /// One token per key that a transaction puts or deletes.
    pub changes: TokenBucket,
}

impl Limiter {
    /// Creates a follower's limits, where `controllers` controllers share the store's rates of requests and
    /// changes per second.
    pub fn new(
        store_request_rate: f64,
        store_change_rate: f64,
        controllers: usize,
        now: Instant,
    ) -> Self {
        let share = Self::share(controllers, false);
        let mut limiter = Self {
            controllers,
            store_request_rate,
            store_change_rate,
            requests: TokenBucket::new(store_request_rate * share, now),
            changes: TokenBucket::new(store_change_rate * share, now),
        };
        limiter.set_leading(false, now);
        limiter
    }

    /// Time until this many requests and changes are allowed; `None` if they are allowed now.
    pub fn time_until_allowed(
        &mut self,
        requests: f64,
        changes: f64,
        now: Instant,
    ) -> Option<Duration> {
        let for_requests = self.requests.time_until_available(requests, now);
        let time = for_requests.max(self.changes.time_until_available(changes, now));
        (!time.is_zero()).then_some(time)
    }

    /// Takes the tokens for this many requests and changes, even if they are not available yet.
    pub fn take(&mut self, requests: f64, changes: f64, now: Instant) {
        self.requests.take(requests, now);
        self.changes.take(changes, now);
    }

    fn share(controllers: usize, leading: bool) -> f64 {
        let followers = controllers.saturating_sub(1);
        if followers == 0 {
            USED_SHARE
        } else if leading {
            USED_SHARE * LEADER_SHARE
        } else {
            USED_SHARE * (1.0 - LEADER_SHARE) / followers as f64
        }
    }

    /// Switches to the leader's share if `leading`, else to a follower's.
    pub fn set_leading(&mut self, leading: bool, now: Instant) {
        let share = Self::share(self.controllers, leading);
        self.requests
            .set_rate(self.store_request_rate * share, 1.0, now);
        let burst_s = (BURST_SHARE / share).clamp(1.0, BURST_MAX_S);
        self.changes
            .set_rate(self.store_change_rate * share, burst_s, now);
    }
}

#[cfg(test)]
mod tests;
