//! Figures for the operators: counters and histograms, cheap to keep.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time a histogram tells apart; beyond it counts as this.
const LONGEST_MS: u64 = 3_600_000;
/// Two digits are plenty for an operator and keep a histogram at a few kilobytes.
const DIGITS: u8 = 2;

/// A histogram of milliseconds.
#[derive(Debug)]
pub struct Times(Option<Histogram<u32>>);

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, LONGEST_MS, DIGITS).ok())
    }
}

/// What is shown of a histogram.
#[derive(Debug, Serialize, PartialEq)]
pub struct Summary {
    /// Number of values.
    pub count: u64,
    /// Median in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile.
    pub p95_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
    /// Greatest.
    pub max_ms: u64,
}

impl Times {
    /// Adds a value.
    pub fn add(&mut self, time: Duration) {
        if let Some(histogram) = &mut self.0 {
            let ms = u64::try_from(time.as_millis()).unwrap_or(LONGEST_MS);
            histogram.saturating_record(ms.clamp(1, LONGEST_MS));
        }
    }

    /// What is shown.
    pub fn summary(&self) -> Summary {
        let at = |q: f64| self.0.as_ref().map_or(0, |h| h.value_at_quantile(q));
        Summary {
            count: self.0.as_ref().map_or(0, Histogram::len),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: at(1.0),
        }
    }
}

/// All figures of this process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Time a round took.
    pub rounds: Times,
    /// Time from submission to a job's first running task.
    pub waits: Times,
    /// Time this node took to answer a submission.
    pub submissions: Times,
    /// Submissions accepted here.
    pub accepted: u64,
    /// Submissions refused for the time being.
    pub refused: u64,
    /// Terms led by this process.
    pub terms: u64,
    /// Starts sent out by rounds.
    pub starts: u64,
    /// Tasks stopped by rounds, gangs counted once.
    pub stops: u64,
    /// Machines rented.
    pub rented: u64,
    /// Machines returned.
    pub returned: u64,
}

#[cfg(test)]
mod tests;
