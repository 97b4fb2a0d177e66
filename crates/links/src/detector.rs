//! Phi accrual failure detector. It measures how unlikely the time since the last message is, given the
//! intervals between earlier messages.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of intervals in the sliding window. With more, the detector adapts more slowly; with fewer, a
/// single outlier dominates.
const WINDOW_SIZE: usize = 32;
/// Lower bound of the standard deviation, as a fraction of the expected interval. Timers are late by that
/// much even if all observed intervals were equal.
const DEVIATION_MIN_FRACTION: f64 = 0.25;
/// Intervals longer than this multiple of the expected interval are outages and are left out of the
/// distribution.
const OUTLIER_FACTOR: f64 = 4.0;
/// Upper bound of phi. Beyond it, the tail of the distribution is below the rounding error.
const PHI_MAX: f64 = 40.0;

/// Failure detector of one link on which messages are expected regularly.
///
/// `phi` is the negative decimal logarithm of the probability that the next message arrives later than now,
/// assuming normally distributed intervals. The cumulative normal distribution is approximated by a logistic
/// function with an error below 0.02 in probability.
#[derive(Debug, Clone)]
pub struct PhiAccrualDetector {
    expected_interval_s: f64,
    intervals_s: VecDeque<f64>,
    last_arrival_at: Option<Instant>,
}

impl PhiAccrualDetector {
    /// Creates a detector without observations, for messages expected once per `expected_interval`.
    pub fn new(expected_interval: Duration) -> Self {
        Self {
            expected_interval_s: expected_interval.as_secs_f64().max(f64::MIN_POSITIVE),
            intervals_s: VecDeque::with_capacity(WINDOW_SIZE),
            last_arrival_at: None,
        }
    }

    /// Records the arrival of a message. Arrivals earlier than the last one are ignored.
    pub fn record_arrival(&mut self, at: Instant) {
        let Some(last_arrival_at) = self.last_arrival_at else {
            self.last_arrival_at = Some(at);
            return;
        };
        let Some(interval) = at.checked_duration_since(last_arrival_at) else {
            return;
        };
        self.last_arrival_at = Some(at);
        let interval_s = interval.as_secs_f64();
        if interval_s > self.expected_interval_s * OUTLIER_FACTOR {
            return;
        }
        if self.intervals_s.len() == WINDOW_SIZE {
            self.intervals_s.pop_front();
        }
        self.intervals_s.push_back(interval_s);
    }

    /// When the last message arrived; `None` before the first one.
    pub fn last_arrival_at(&self) -> Option<Instant> {
        self.last_arrival_at
    }

    /// The suspicion level for the time since the last message, from 0 to 40. It is 0 before the first
    /// message.
    pub fn phi(&self, now: Instant) -> f64 {
        let Some(last_arrival_at) = self.last_arrival_at else {
            return 0.0;
        };
        let elapsed_s = now.saturating_duration_since(last_arrival_at).as_secs_f64();
        let (mean, deviation) = self.distribution();
        let z_score = (elapsed_s - mean) / deviation;
        let exponent = -z_score * (1.5976 + 0.070566 * z_score * z_score);
        let tail_odds = exponent.exp();
        let tail_probability = if elapsed_s > mean {
            tail_odds / (1.0 + tail_odds)
        } else {
            1.0 - 1.0 / (1.0 + tail_odds)
        };
        (-tail_probability.log10()).clamp(0.0, PHI_MAX)
    }

    /// Mean and standard deviation of the interval in seconds. The expected interval counts as one
    /// observation and is the lower bound of the mean, so additional messages in quick succession do not make
    /// the regular ones due sooner.
    fn distribution(&self) -> (f64, f64) {
        let count = self.intervals_s.len() as f64 + 1.0;
        let sum: f64 = self.intervals_s.iter().sum::<f64>() + self.expected_interval_s;
        let mean = (sum / count).max(self.expected_interval_s);
        let squares = self.intervals_s.iter().map(|i| (i - mean).powi(2));
        let variance = squares.sum::<f64>() / count;
        let deviation_min = self.expected_interval_s * DEVIATION_MIN_FRACTION;
        (mean, variance.sqrt().max(deviation_min))
    }
}

#[cfg(test)]
mod tests;
