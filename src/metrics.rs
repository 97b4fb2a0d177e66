//! Figures for the operators: counters and histograms, cheap to keep.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest time a histogram tells apart; beyond it counts as this.
const HISTOGRAM_MAX_MS: u64 = 3_600_000;
/// Two digits are plenty for an operator and keep a histogram at a few kilobytes.
const DIGITS: u8 = 2;

/// A histogram of milliseconds.
#[derive(Debug)]
pub struct Times(Option<Histogram<u32>>);

impl Default for Times {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, HISTOGRAM_MAX_MS, DIGITS).ok())
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
            let ms = u64::try_from(time.as_millis()).unwrap_or(HISTOGRAM_MAX_MS);
            histogram.saturating_record(ms.clamp(1, HISTOGRAM_MAX_MS));
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

/// Reports of workers that this node was asked to answer, and what became of them.
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
    /// Sent on to the leader.
    pub forwarded: u64,
    /// Batches in which they were sent on.
    pub batches_sent: u64,
    /// Batches of other nodes that were taken here.
    pub batches_taken: u64,
    /// Reports in these batches.
    pub taken_from_batches: u64,
}

impl HeartbeatMetrics {
    /// EventCounts an answer on a connection of which the report was the first request or not.
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
    /// Questions about a job.
    pub polls: u64,
    /// Cancellations.
    pub cancellations: u64,
    /// Health checks.
    pub health_checks: u64,
}

/// What this node, while it led, told the others.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct SummaryMetrics {
    /// Digests of changes sent, one for each peer.
    pub changes: u64,
    /// Digests of everything sent, one for each peer that lacked it.
    pub full: u64,
    /// Bytes of all of them.
    pub bytes: u64,
}

/// EventCounts of single things since the process started.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct EventCounts {
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
    /// AddressedCommand commands sent to workers.
    pub direct_commands: u64,
    /// Records written by the leader, one for each transaction that it asked for.
    pub records_written: u64,
    /// Changes that the watch of the state service brought.
    pub replica_events: u64,
}

/// All figures of this process.
#[derive(Debug)]
pub struct Metrics {
    started: Instant,
    /// Time a round took.
    pub rounds: Times,
    /// Time that all rounds took together.
    pub rounds_total: Duration,
    /// Time from submission to a job's first running task.
    pub waits: Times,
    /// Time this node took to answer a submission.
    pub submissions: Times,
    /// Time from a take-over until all machines were settled.
    pub failovers: Times,
    /// EventCounts of single things.
    pub counts: EventCounts,
    /// Reports of workers.
    pub heartbeats: HeartbeatMetrics,
    /// Requests of users.
    pub requests: RequestMetrics,
    /// Digests.
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
    /// Adds a round that took so long.
    pub fn add_round(&mut self, took: Duration) {
        self.rounds.add(took);
        self.rounds_total += took;
    }

    /// All of them as they are now, but for the memory, which is asked of the system.
    pub fn view(&self, now: Instant) -> MetricsView {
        MetricsView {
            round_time: self.rounds.summary(),
            waiting: self.waits.summary(),
            submission: self.submissions.summary(),
            rounds_part: self.rounds_part(now),
            take_over: self.failovers.summary(),
            counts: self.counts.clone(),
            heartbeats: self.heartbeats.clone(),
            requests: self.requests.clone(),
            summaries: self.summaries.clone(),
            resident_bytes: None,
            links: None,
        }
    }

    /// Part of the time since the start of the process that rounds took, waits for the processor
    /// included.
    pub fn rounds_part(&self, now: Instant) -> f64 {
        let up = now.saturating_duration_since(self.started).as_secs_f64();
        if up > 0.0 {
            self.rounds_total.as_secs_f64() / up
        } else {
            0.0
        }
    }
}

/// All figures as operators see them.
#[derive(Debug, Serialize)]
pub struct MetricsView {
    /// Time a round took.
    pub round_time: Summary,
    /// Time from submission to a job's first running task.
    pub waiting: Summary,
    /// Time this node took to answer a submission.
    pub submission: Summary,
    /// Part of the time since the start of the process that rounds took.
    pub rounds_part: f64,
    /// Time from a take-over until all machines were settled.
    #[serde(rename = "take_over")]
    pub take_over: Summary,
    /// EventCounts of single things.
    #[serde(flatten)]
    pub counts: EventCounts,
    /// Reports of workers.
    #[serde(rename = "reports")]
    pub heartbeats: HeartbeatMetrics,
    /// Requests of users.
    pub requests: RequestMetrics,
    /// Digests.
    #[serde(rename = "digests")]
    pub summaries: SummaryMetrics,
    /// Resident memory, where the system tells it.
    pub resident_bytes: Option<u64>,
    /// Rows, gate and hand-overs, where links are turned on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub links: Option<LinkMetrics>,
}

/// Where the system tells how much memory a process holds.
const STATM: &str = "/proc/self/statm";
/// Size of a page on the platforms that this runs on.
const PAGE_BYTES: u64 = 4096;

/// EventCounts of what hangs on the links.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LinkMetrics {
    /// Rows of other controllers taken.
    pub rows_taken: u64,
    /// Rows refused, as they were old, repeated or wrong.
    pub rows_refused: u64,
    /// Seconds for which the placement gate has refused.
    pub gate_refused_s: f64,
    /// Links suppressed now.
    pub suppressed: usize,
    /// Leads handed over.
    pub handovers: u64,
}

/// Resident memory of this process in bytes; `None` where the system does not tell.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string(STATM).ok()?;
    let pages = text.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(pages * PAGE_BYTES)
}

#[cfg(test)]
mod tests;
