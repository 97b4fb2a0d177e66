//! Counters and histograms for the operators.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time that a histogram resolves; longer ones count as this.
const HISTOGRAM_MAX_MS: u64 = 3_600_000;
/// Two significant digits suffice for an operator and keep a histogram at a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of milliseconds.
#[derive(Debug)]
pub struct Times(Option<Histogram<u32>>);

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, HISTOGRAM_MAX_MS, SIGNIFICANT_DIGITS).ok())
    }
}

/// A histogram as operators see it.
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
            let ms = u64::try_from(time.as_millis()).unwrap_or(HISTOGRAM_MAX_MS);
            histogram.saturating_record(ms.clamp(1, HISTOGRAM_MAX_MS));
        }
    }

    /// The histogram as operators see it.
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

/// Heartbeats that arrived at this node, and how they were answered.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct HeartbeatMetrics {
    /// First requests of their connections.
    pub new_connection: u64,
    /// Later requests of their connections.
    pub kept_connection: u64,
    /// Answered with 200, here or by the leader.
    pub accepted: u64,
    /// Answered with 421.
    pub redirected: u64,
    /// Answered with 503.
    pub unavailable: u64,
    /// Answered with any other status.
    pub rejected: u64,
    /// Forwarded to the leader.
    pub forwarded: u64,
    /// Batches in which they were forwarded.
    pub batches_sent: u64,
    /// Batches of followers that were accepted here.
    pub batches_taken: u64,
    /// Heartbeats in these batches.
    pub taken_from_batches: u64,
}

impl HeartbeatMetrics {
    /// Counts a response; `first_request` if the heartbeat was the first on its connection.
    pub fn answered(&mut self, first_request: bool, status: u16) {
        if first_request {
            self.new_connection += 1;
        } else {
            self.kept_connection += 1;
        }
        match status {
            200 => self.accepted += 1,
            421 => self.redirected += 1,
            503 => self.unavailable += 1,
            _ => self.rejected += 1,
        }
    }
}

/// Requests of users and of the load balancer.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct RequestMetrics {
    /// Submissions, repeated ones included.
    pub submissions: u64,
    /// Polls of a job.
    pub polls: u64,
    /// Cancellations.
    pub cancellations: u64,
    /// Health checks.
    pub health_checks: u64,
}

/// State summaries that this node published while it led.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct SummaryMetrics {
    /// Summaries of changes sent, one for each peer.
    pub changes: u64,
    /// Full summaries sent, one for each peer that missed it.
    pub full: u64,
    /// Bytes of all of them.
    pub bytes: u64,
}

/// Counts of events since the process started.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct EventCounts {
    /// Submissions accepted here.
    pub accepted: u64,
    /// Submissions refused for the time being.
    pub refused: u64,
    /// Terms led by this process.
    pub terms: u64,
    /// Starts sent by scheduling cycles.
    pub starts: u64,
    /// Tasks stopped by scheduling cycles; a gang counts once.
    pub stops: u64,
    /// Machines rented.
    pub rented: u64,
    /// Machines released.
    pub returned: u64,
    /// Direct commands sent to agents.
    pub direct_commands: u64,
    /// Records written by the leader, one for each transaction that it asked for.
    pub records_written: u64,
    /// Changes that the watch of the state service brought.
    pub replica_events: u64,
}

/// All counters and histograms of this process.
#[derive(Debug)]
pub struct Metrics {
    started: Instant,
    /// Duration of a scheduling cycle.
    pub rounds: Times,
    /// Duration of all scheduling cycles together.
    pub rounds_total: Duration,
    /// Time from submission to a job's first running task.
    pub waits: Times,
    /// Time this node took to answer a submission.
    pub submissions: Times,
    /// Time from becoming leader until all machines were reconciled.
    pub failovers: Times,
    /// Counts of events.
    pub counts: EventCounts,
    /// Heartbeats.
    pub heartbeats: HeartbeatMetrics,
    /// Requests of users.
    pub requests: RequestMetrics,
    /// State summaries.
    pub summaries: SummaryMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            rounds: Times::default(),
            rounds_total: Duration::ZERO,
            waits: Times::default(),
            submissions: Times::default(),
            failovers: Times::default(),
            counts: EventCounts::default(),
            heartbeats: HeartbeatMetrics::default(),
            requests: RequestMetrics::default(),
            summaries: SummaryMetrics::default(),
        }
    }
}

impl Metrics {
    /// Adds a scheduling cycle of this duration.
    pub fn add_round(&mut self, took: Duration) {
        self.rounds.add(took);
        self.rounds_total += took;
    }

    /// The present values, without the resident memory and the links.
    pub fn view(&self, now: Instant) -> MetricsView {
        MetricsView {
            round_time: self.rounds.summary(),
            waiting: self.waits.summary(),
            submission: self.submissions.summary(),
            rounds_part: self.rounds_part(now),
            failover: self.failovers.summary(),
            counts: self.counts.clone(),
            heartbeats: self.heartbeats.clone(),
            requests: self.requests.clone(),
            summaries: self.summaries.clone(),
            resident_bytes: None,
            links: None,
        }
    }

    /// Part of the time since the start of the process that scheduling cycles took, waits for the
    /// processor included.
    pub fn rounds_part(&self, now: Instant) -> f64 {
        let up = now.saturating_duration_since(self.started).as_secs_f64();
        if up > 0.0 {
            self.rounds_total.as_secs_f64() / up
        } else {
            0.0
        }
    }
}

/// All counters and histograms as operators see them.
#[derive(Debug, Serialize)]
pub struct MetricsView {
    /// Duration of a scheduling cycle.
    pub round_time: Summary,
    /// Time from submission to a job's first running task.
    pub waiting: Summary,
    /// Time this node took to answer a submission.
    pub submission: Summary,
    /// Part of the time since the start of the process that scheduling cycles took.
    pub rounds_part: f64,
    /// Time from becoming leader until all machines were reconciled.
    #[serde(rename = "take_over")]
    pub failover: Summary,
    /// Counts of events.
    #[serde(flatten)]
    pub counts: EventCounts,
    /// Heartbeats.
    #[serde(rename = "reports")]
    pub heartbeats: HeartbeatMetrics,
    /// Requests of users.
    pub requests: RequestMetrics,
    /// State summaries.
    #[serde(rename = "digests")]
    pub summaries: SummaryMetrics,
    /// Resident memory, where the system provides it.
    pub resident_bytes: Option<u64>,
    /// Rows, gate and hand-overs, where links are turned on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub links: Option<LinkMetrics>,
}

/// Where the system provides the memory of a process.
const STATM: &str = "/proc/self/statm";
/// Size of a page on the platforms that this runs on.
const PAGE_BYTES: u64 = 4096;

/// Counters of the links and of what depends on them.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LinkMetrics {
    /// Rows of other controllers accepted.
    pub rows_taken: u64,
    /// Rows rejected as stale, repeated or malformed.
    pub rows_refused: u64,
    /// Seconds for which the placement gate has refused.
    pub gate_refused_s: f64,
    /// Links suppressed now.
    pub suppressed: usize,
    /// Handovers of leadership.
    pub handovers: u64,
}

/// Resident memory of this process in bytes; `None` where the system does not provide it.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string(STATM).ok()?;
    let pages = text.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(pages * PAGE_BYTES)
}

#[cfg(test)]
mod tests;
