//! Counters and histograms of this process, for operators.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest value of a histogram; longer durations are recorded as this.
const HISTOGRAM_MAX_MS: u64 = 3_600_000;
/// Two significant digits suffice for operators and limit a histogram to a few kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// A histogram of durations in milliseconds; empty if it could not be created.
#[derive(Debug)]
pub struct DurationHistogram(Option<Histogram<u32>>);

impl Default for DurationHistogram {
    fn default() -> Self {
        Self(Histogram::new_with_bounds(1, HISTOGRAM_MAX_MS, SIGNIFICANT_DIGITS).ok())
    }
}

/// Quantiles of a histogram of durations, as reported to operators; all 0 without values.
#[derive(Debug, Serialize, PartialEq)]
pub struct HistogramSummary {
    /// Number of recorded durations.
    pub count: u64,
    /// Median in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile in milliseconds.
    pub p95_ms: u64,
    /// 99th percentile in milliseconds.
    pub p99_ms: u64,
    /// Maximum in milliseconds.
    pub max_ms: u64,
}

impl DurationHistogram {
    /// Records a duration, rounded down to milliseconds but at least 1.
    pub fn record(&mut self, duration: Duration) {
        if let Some(histogram) = &mut self.0 {
            let ms = u64::try_from(duration.as_millis()).unwrap_or(HISTOGRAM_MAX_MS);
            histogram.saturating_record(ms.clamp(1, HISTOGRAM_MAX_MS));
        }
    }

    /// Summarizes the durations recorded so far.
    pub fn summary(&self) -> HistogramSummary {
        let value_at = |q: f64| self.0.as_ref().map_or(0, |h| h.value_at_quantile(q));
        HistogramSummary {
            count: self.0.as_ref().map_or(0, Histogram::len),
            p50_ms: value_at(0.5),
            p95_ms: value_at(0.95),
            p99_ms: value_at(0.99),
            max_ms: value_at(1.0),
        }
    }
}

/// Numbers of heartbeats that arrived at this controller, by the status of the response.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct HeartbeatMetrics {
    /// Heartbeats that were the first request on their connection.
    pub new_connection: u64,
    /// Heartbeats on a connection that had carried a request before.
    pub kept_connection: u64,
    /// Responses with 200, decided by this controller or by the leader.
    pub accepted: u64,
    /// Responses with 421, which redirect the agent to the leader.
    pub redirected: u64,
    /// Responses with 503.
    pub unavailable: u64,
    /// Responses with any other status.
    pub rejected: u64,
    /// Heartbeats forwarded to the leader.
    pub forwarded: u64,
    /// Batches in which heartbeats were forwarded.
    pub batches_sent: u64,
    /// Batches accepted from followers.
    pub batches_taken: u64,
    /// Heartbeats in the accepted batches.
    pub taken_from_batches: u64,
}

impl HeartbeatMetrics {
    /// Counts a response with this HTTP status. `first_request` says whether the heartbeat was the first
    /// request on its connection.
    pub fn record_response(&mut self, first_request: bool, status: u16) {
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

/// Numbers of requests from users and from the load balancer.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct RequestMetrics {
    /// Submissions, including repeated ones.
    pub submissions: u64,
    /// Polls of a job's status.
    pub polls: u64,
    /// Requests to cancel a job, including repeated ones.
    pub cancellations: u64,
    /// Health checks of the load balancer.
    pub health_checks: u64,
}

/// State summaries that this controller sent to its peers as the leader.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct SummaryMetrics {
    /// Incremental summaries, counted once for each peer.
    pub changes: u64,
    /// Full summaries, counted once for each peer that had missed an incremental one.
    pub full: u64,
    /// Total size of all summaries in bytes.
    pub bytes: u64,
}

/// Numbers of events since the process started.
#[derive(Debug, Default, Clone, PartialEq, Serialize)]
pub struct EventCounts {
    /// Submissions that this controller accepted.
    pub accepted: u64,
    /// Submissions that this controller rejected temporarily, with 429 or a 5xx status.
    pub refused: u64,
    /// Terms that this process led.
    pub terms: u64,
    /// Task starts decided by scheduling cycles.
    pub starts: u64,
    /// Terminations decided by scheduling cycles; a gang that is restarted is counted once.
    pub stops: u64,
    /// Machines that the cloud granted to this process.
    pub rented: u64,
    /// Machines that this process released.
    pub returned: u64,
    /// Direct commands to agents that scheduling cycles issued.
    pub direct_commands: u64,
    /// Transactions with records that scheduling cycles issued, whatever their outcome.
    pub records_written: u64,
    /// Changes received through the watch of the key-value store.
    pub replica_events: u64,
}

/// All counters and histograms of this process.
#[derive(Debug)]
pub struct Metrics {
    started_at: Instant,
    /// Durations of the scheduling cycles.
    pub cycle_durations: DurationHistogram,
    /// Sum of the durations of all scheduling cycles.
    pub cycles_total: Duration,
    /// Times from a job's submission to its first running task.
    pub job_waits: DurationHistogram,
    /// Times that this controller took to respond to a submission.
    pub submissions: DurationHistogram,
    /// Times from becoming leader until all machines were reconciled.
    pub failovers: DurationHistogram,
    /// Numbers of events since the process started.
    pub counts: EventCounts,
    /// Heartbeats that arrived at this controller.
    pub heartbeats: HeartbeatMetrics,
    /// Requests from users and from the load balancer.
    pub requests: RequestMetrics,
    /// State summaries that this controller sent.
    pub summaries: SummaryMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            cycle_durations: DurationHistogram::default(),
            cycles_total: Duration::ZERO,
            job_waits: DurationHistogram::default(),
            submissions: DurationHistogram::default(),
            failovers: DurationHistogram::default(),
            counts: EventCounts::default(),
            heartbeats: HeartbeatMetrics::default(),
            requests: RequestMetrics::default(),
            summaries: SummaryMetrics::default(),
        }
    }
}

impl Metrics {
    /// Records a scheduling cycle of this duration.
    pub fn add_scheduling_cycle(&mut self, duration: Duration) {
        self.cycle_durations.record(duration);
        self.cycles_total += duration;
    }

    /// The current values, without the resident memory and the links, which the caller adds.
    pub fn view(&self, now: Instant) -> MetricsView {
        MetricsView {
            round_time: self.cycle_durations.summary(),
            waiting: self.job_waits.summary(),
            submission: self.submissions.summary(),
            rounds_part: self.cycle_time_share(now),
            failover: self.failovers.summary(),
            counts: self.counts.clone(),
            heartbeats: self.heartbeats.clone(),
            requests: self.requests.clone(),
            summaries: self.summaries.clone(),
            resident_bytes: None,
            links: None,
        }
    }

    /// Share of the time since the process started that scheduling cycles took, including their waits for
    /// the processor.
    pub fn cycle_time_share(&self, now: Instant) -> f64 {
        let uptime_s = now.saturating_duration_since(self.started_at).as_secs_f64();
        if uptime_s > 0.0 {
            self.cycles_total.as_secs_f64() / uptime_s
        } else {
            0.0
        }
    }
}

/// All counters and histograms, as reported to operators.
#[derive(Debug, Serialize)]
pub struct MetricsView {
    /// Durations of the scheduling cycles.
    pub round_time: HistogramSummary,
    /// Times from a job's submission to its first running task.
    pub waiting: HistogramSummary,
    /// Times that this controller took to respond to a submission.
    pub submission: HistogramSummary,
    /// Share of the time since the process started that scheduling cycles took.
    pub rounds_part: f64,
    /// Times from becoming leader until all machines were reconciled.
    #[serde(rename = "take_over")]
    pub failover: HistogramSummary,
    /// Numbers of events since the process started.
    #[serde(flatten)]
    pub counts: EventCounts,
    /// Heartbeats that arrived at this controller.
    #[serde(rename = "reports")]
    pub heartbeats: HeartbeatMetrics,
    /// Requests from users and from the load balancer.
    pub requests: RequestMetrics,
    /// State summaries that this controller sent.
    #[serde(rename = "digests")]
    pub summaries: SummaryMetrics,
    /// Resident memory in bytes; absent where the operating system does not report it.
    pub resident_bytes: Option<u64>,
    /// Counters of the links; absent where links are not enabled.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub links: Option<LinkMetrics>,
}

/// File in which Linux reports the memory use of a process, in pages.
const STATM_PATH: &str = "/proc/self/statm";
/// Size of a memory page on the supported platforms.
const PAGE_BYTES: u64 = 4096;

/// Counters of the links, the placement gate and handovers.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct LinkMetrics {
    /// Rows accepted from other controllers.
    pub rows_taken: u64,
    /// Rows rejected, for example as stale, repeated or malformed.
    pub rows_refused: u64,
    /// Total time for which the placement gate has suspended placements, in seconds.
    pub gate_refused_s: f64,
    /// Number of links that are currently suppressed because they flap.
    pub suppressed: usize,
    /// Handovers of leadership by this controller.
    pub handovers: u64,
}

/// Resident memory of this process in bytes; `None` where the operating system does not report it.
pub fn resident_bytes() -> Option<u64> {
    let text = std::fs::read_to_string(STATM_PATH).ok()?;
    let pages = text.split_whitespace().nth(1)?.parse::<u64>().ok()?;
    Some(pages * PAGE_BYTES)
}

#[cfg(test)]
mod tests;
