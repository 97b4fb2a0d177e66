//! One token bucket for requests and one for changes, so that this node keeps to its part of
//! what the state service takes from all nodes together.

use std::time::{Duration, Instant};

use crate::rate_limit::TokenBucket;

/// Part of the service's limits that all nodes together leave unused, since each node's clock
/// and the service's differ and bursts meet.
const HEADROOM: f64 = 0.9;
/// The leader's part of the limits: it writes for all, the others only verdicts.
const LEADER_PART: f64 = 0.5;

/// Seconds' worth of changes that a node saves up while it has none to make. The load balancer
/// sends a burst of submissions to a few nodes at a time, and the others' parts lie idle then.
const SAVED_UP_S: f64 = 3.0;
/// Part of what the service takes at once that one node may save up: only when several nodes let
/// all of theirs go together does it refuse some, which are sent again.
const SAVED_UP_PART: f64 = 0.25;

/// Both buckets of a node.
#[derive(Debug)]
pub struct Limiter {
    nodes: usize,
    rps: f64,
    write_rps: f64,
    /// Requests.
    pub requests: TokenBucket,
    /// Puts and deletes.
    pub writes: TokenBucket,
}

impl Limiter {
    /// A follower's limiter among `nodes` nodes.
    pub fn new(rps: f64, write_rps: f64, nodes: usize, now: Instant) -> Self {
        let part = Self::part(nodes, false);
        let mut limiter = Self {
            nodes,
            rps,
            write_rps,
            requests: TokenBucket::new(rps * part, now),
            writes: TokenBucket::new(write_rps * part, now),
        };
        limiter.set_leading(false, now);
        limiter
    }

    /// Time until so many requests and changes may go; nothing if they may go now.
    pub fn wait(&mut self, requests: f64, writes: f64, now: Instant) -> Option<Duration> {
        let requests = self.requests.wait(requests, now);
        let wait = requests.max(self.writes.wait(writes, now));
        (!wait.is_zero()).then_some(wait)
    }

    /// Takes from both.
    pub fn take(&mut self, requests: f64, writes: f64, now: Instant) {
        self.requests.take(requests, now);
        self.writes.take(writes, now);
    }

    fn part(nodes: usize, leading: bool) -> f64 {
        let others = nodes.saturating_sub(1);
        if others == 0 {
            HEADROOM
        } else if leading {
            HEADROOM * LEADER_PART
        } else {
            HEADROOM * (1.0 - LEADER_PART) / others as f64
        }
    }

    /// Takes the leader's or a follower's part.
    pub fn set_leading(&mut self, leading: bool, now: Instant) {
        let part = Self::part(self.nodes, leading);
        self.requests.set_rate(self.rps * part, 1.0, now);
        let saved_up = (SAVED_UP_PART / part).clamp(1.0, SAVED_UP_S);
        self.writes.set_rate(self.write_rps * part, saved_up, now);
    }
}

#[cfg(test)]
mod tests;
