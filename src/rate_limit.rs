//! A token bucket: tokens are added at a constant rate up to a capacity, and requests take them.

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
    /// Creates a full bucket with `rate` tokens per second and a capacity of one second of this rate, at
    /// least one token.
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

    /// Changes the rate, and the capacity to `capacity_s` seconds of this rate. Tokens in excess of the new
    /// capacity are dropped.
    pub fn set_rate(&mut self, rate: f64, capacity_s: f64, now: Instant) {
        self.refill(now);
        self.rate = rate;
        self.capacity_s = capacity_s;
        self.level = self.level.min(self.capacity());
    }

    /// Largest number of tokens in the bucket.
    fn capacity(&self) -> f64 {
        (self.rate * self.capacity_s).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed_s = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.level = (self.level + elapsed_s * self.rate).min(self.capacity());
        self.refilled_at = now;
    }

    /// Takes `amount` tokens without waiting. The level may become negative; later requests then have to wait
    /// for longer.
    pub fn take(&mut self, amount: f64, now: Instant) {
        self.refill(now);
        self.level -= amount;
    }

    /// Number of tokens in the bucket at `now`; negative if more were taken than available.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.level
    }

    /// Time until the last of `amount` tokens can be taken, if they are taken one by one as they are added.
    /// `amount` may exceed the capacity. Zero if the rate is zero.
    pub fn queueing_time(&mut self, amount: f64, now: Instant) -> Duration {
        self.refill(now);
        if self.rate <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(((amount - self.level) / self.rate).max(0.0))
    }

    /// Time until `amount` tokens can be taken at once, or the bucket is full if `amount` exceeds the
    /// capacity. Zero if the rate is zero.
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
