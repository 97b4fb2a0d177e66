//! A token bucket: a rate, with what was not used saved up to a bound.

use std::time::{Duration, Instant};

/// A bucket that holds so many seconds' worth at most.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    depth_s: f64,
    level: f64,
    at: Instant,
}

impl TokenBucket {
    /// A full bucket that holds one second's worth.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            depth_s: 1.0,
            level: rate.max(1.0),
            at: now,
        }
    }

    /// The rate at which it fills, a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate and the depth, keeping what is in the bucket as far as it still fits.
    pub fn set_rate(&mut self, rate: f64, depth_s: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.depth_s = depth_s;
        self.level = self.level.min(self.most());
    }

    /// What it holds at most.
    fn most(&self) -> f64 {
        (self.rate * self.depth_s).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.most());
        self.at = now;
    }

    /// Takes `amount`, going below zero where it has to.
    pub fn take(&mut self, amount: f64, now: Instant) {
        self.refill(now);
        self.level -= amount;
    }

    /// What is in it.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Time until `amount` will have gone through, with nothing else in its way.
    pub fn wait_beyond(&mut self, amount: f64, now: Instant) -> Duration {
        self.refill(now);
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(((amount - self.level) / self.rate).max(0.0))
    }

    /// Time until `amount` can be had.
    pub fn wait(&mut self, amount: f64, now: Instant) -> Duration {
        self.refill(now);
        let missing = amount.min(self.most()) - self.level;
        if missing <= 0.0 || self.rate <= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(missing / self.rate)
        }
    }
}

#[cfg(test)]
mod tests;
