//! Phi accrual failure detector: how unlikely the time since the last heartbeat is, given the intervals
//! observed before.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Intervals in the sliding window. More make the detector adapt more slowly, fewer let one outlier
/// dominate.
const WINDOW: usize = 32;
/// Lower bound of the standard deviation, as a fraction of the expected interval: timers are late by
/// that much even where all observed intervals were equal.
const DEVIATION_MIN_FRACTION: f64 = 0.25;
/// Intervals longer than this many expected ones are outages and are left out of the distribution.
const OUTLIER_INTERVALS: f64 = 4.0;
/// Upper bound of phi. Beyond it the tail of the distribution is rounding error.
const PHI_MAX: f64 = 40.0;

/// A detector for one link on which messages are expected regularly.
///
/// `phi` is the negative decimal logarithm of the probability that a message arrives later than now, if
/// the intervals are normally distributed. The logistic approximation of the normal distribution is
/// used, whose error is below 0.02 in probability.
#[derive(Debug, Clone)]
pub struct PhiAccrual {
    expected_s: f64,
    intervals: VecDeque<f64>,
    last: Option<Instant>,
}

impl PhiAccrual {
    /// A detector without observations, for messages expected at this interval.
    pub fn new(expected: Duration) -> Self {
        Self {
            expected_s: expected.as_secs_f64().max(f64::MIN_POSITIVE),
            intervals: VecDeque::with_capacity(WINDOW),
            last: None,
        }
    }

    /// A message arrived. One that is older than the last is ignored.
    pub fn heartbeat(&mut self, at: Instant) {
        let Some(last) = self.last else {
            self.last = Some(at);
            return;
        };
        let Some(interval) = at.checked_duration_since(last) else {
            return;
        };
        self.last = Some(at);
        let interval_s = interval.as_secs_f64();
        if interval_s > self.expected_s * OUTLIER_INTERVALS {
            return;
        }
        if self.intervals.len() == WINDOW {
            self.intervals.pop_front();
        }
        self.intervals.push_back(interval_s);
    }

    /// Arrival of the last message.
    pub fn last(&self) -> Option<Instant> {
        self.last
    }

    /// The suspicion level of the silence since the last message; 0 before the first one.
    pub fn phi(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let silence_s = now.saturating_duration_since(last).as_secs_f64();
        let (mean, deviation) = self.distribution();
        let y = (silence_s - mean) / deviation;
        let exponent = -y * (1.5976 + 0.070566 * y * y);
        let e = exponent.exp();
        let later = if silence_s > mean {
            e / (1.0 + e)
        } else {
            1.0 - 1.0 / (1.0 + e)
        };
        (-later.log10()).clamp(0.0, PHI_MAX)
    }

    /// Mean and standard deviation of the interval. The expected interval counts as one observation,
    /// and is the lower bound of the mean: additional messages close together do not make the regular
    /// ones due sooner.
    fn distribution(&self) -> (f64, f64) {
        let count = self.intervals.len() as f64 + 1.0;
        let sum: f64 = self.intervals.iter().sum::<f64>() + self.expected_s;
        let mean = (sum / count).max(self.expected_s);
        let squares = self.intervals.iter().map(|i| (i - mean).powi(2));
        let variance = squares.sum::<f64>() / count;
        let floor = self.expected_s * DEVIATION_MIN_FRACTION;
        (mean, variance.sqrt().max(floor))
    }
}

#[cfg(test)]
mod tests;
