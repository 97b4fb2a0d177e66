//! The rate limits of a controller: a token bucket for requests and one for changes, which keep it to
//! its share of what the key-value store accepts from all controllers together.

use std::time::{Duration, Instant};

use crate::rate_limit::TokenBucket;

/// Share of the store's limits that all controllers together use. The rest is left free, since the
/// clocks of the controllers and of the store differ, and bursts coincide.
const USED_SHARE: f64 = 0.9;
/// The leader's share of that: it writes for all, the followers write verdicts only.
const LEADER_SHARE: f64 = 0.5;

/// Seconds of its rate of changes that a controller may save up. The load balancer sends a burst of
/// submissions to a few controllers at a time, and the shares of the others are unused then.
const BURST_MAX_S: f64 = 3.0;
/// Share of the store's burst that one controller may save up. Only when several controllers use all
/// they saved up at the same time the store refuses some changes, which are sent again.
const BURST_SHARE: f64 = 0.25;

/// Both token buckets of a controller.
#[derive(Debug)]
pub struct Limiter {
    controllers: usize,
    store_request_rate: f64,
    store_change_rate: f64,
    /// Requests.
    pub requests: TokenBucket,
    /// Puts and deletes.
    pub writes: TokenBucket,
}

impl Limiter {
    /// A follower's limits among `controllers` controllers, by the store's rates of requests and
    /// changes.
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
            writes: TokenBucket::new(store_change_rate * share, now),
        };
        limiter.set_leading(false, now);
        limiter
    }

    /// Time until so many requests and changes are allowed; `None` if they are allowed now.
    pub fn wait(&mut self, requests: f64, writes: f64, now: Instant) -> Option<Duration> {
        let requests = self.requests.time_until_available(requests, now);
        let wait = requests.max(self.writes.time_until_available(writes, now));
        (!wait.is_zero()).then_some(wait)
    }

    /// Takes so many requests and changes.
    pub fn take(&mut self, requests: f64, writes: f64, now: Instant) {
        self.requests.take(requests, now);
        self.writes.take(writes, now);
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

    /// Switches to the leader's or to a follower's share.
    pub fn set_leading(&mut self, leading: bool, now: Instant) {
        let share = Self::share(self.controllers, leading);
        self.requests
            .set_rate(self.store_request_rate * share, 1.0, now);
        let burst_s = (BURST_SHARE / share).clamp(1.0, BURST_MAX_S);
        self.writes
            .set_rate(self.store_change_rate * share, burst_s, now);
    }
}

#[cfg(test)]
mod tests;
