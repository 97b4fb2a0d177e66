//! A token bucket: tokens are added at a constant rate, up to the capacity, and taken by requests.

use std::time::{Duration, Instant};

/// A token bucket whose capacity is given in seconds of its rate.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    capacity_s: f64,
    level: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket with a capacity of one second of its rate.
    pub fn new(rate: f64, now: Instant) -> Self {
        Self {
            rate,
            capacity_s: 1.0,
            level: rate.max(1.0),
            refilled_at: now,
        }
    }

    /// Tokens added per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Changes the rate and the capacity. The bucket keeps its tokens up to the new capacity.
    pub fn set_rate(&mut self, rate: f64, capacity_s: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.capacity_s = capacity_s;
        self.level = self.level.min(self.capacity());
    }

    /// The most tokens it holds.
    fn capacity(&self) -> f64 {
        (self.rate * self.capacity_s).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + passed * self.rate).min(self.capacity());
        self.refilled_at = now;
    }

    /// Takes `amount` tokens. The level may become negative, and later requests wait for longer then.
    pub fn take(&mut self, amount: f64, now: Instant) {
        self.refill(now);
        self.level -= amount;
    }

    /// Tokens in the bucket.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Time until the last of `amount` tokens can be taken, if all are taken one by one as they are added.
    /// They may be more than the capacity.
    pub fn wait_beyond(&mut self, amount: f64, now: Instant) -> Duration {
        self.refill(now);
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(((amount - self.level) / self.rate).max(0.0))
    }

    /// Time until `amount` tokens can be taken at once, or a full bucket if they are more than that.
    pub fn time_until_available(&mut self, amount: f64, now: Instant) -> Duration {
        self.refill(now);
        let missing = amount.min(self.capacity()) - self.level;
        if missing <= 0.0 || self.rate <= 0.0 {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(missing / self.rate)
        }
    }
}

#[cfg(test)]
mod tests;
