//! Times that several parts count on, all derived from the settings: the leader's lease, the watch of
//! the key-value store, and the workers' heartbeats and leases.

use std::time::Duration;

use crate::config::Settings;
use crate::time::{secs, CLOCK_DRIFT};

/// Shortest time of the leader's lease: short enough that a crash is hardly noticed, long enough
/// that a slow answer of the state service or a late timer costs no leadership.
pub const LEASE_TIME_MIN: Duration = Duration::from_secs(3);
/// Processor time that a lease must give: workers come to a new leader all at once, and nothing
/// of a small machine goes on before it has paid for what they cost.
const RECONNECT_CPU_S: f64 = 0.12;
/// A lead that takes longer to be noticed as lost is worse than one lost for slowness.
const LEASE_TIME_MAX: Duration = Duration::from_secs(8);
/// Parts of the lease between two renewals: three may fail before the lease does.
const RENEWALS: f64 = 0.7 / 3.0;

/// Time of the leader's lease on a machine with such a share of a processor.
pub fn lease_time(settings: &Settings) -> Duration {
    let cores = settings.params.resources.cores;
    let reconnects = Duration::try_from_secs_f64(RECONNECT_CPU_S / cores).unwrap_or(LEASE_TIME_MAX);
    reconnects.clamp(LEASE_TIME_MIN, LEASE_TIME_MAX)
}

/// Time between two renewals of such a lease.
pub fn renew_every(lease: Duration) -> Duration {
    lease.mul_f64(RENEWALS)
}

/// How long a follower's watch stays open.
pub const WATCH_HOLD: Duration = Duration::from_secs(4);
/// How long a leader's does: its answer proves the replica complete up to its sending only, and
/// starts want that proof to be recent.
pub const LEADER_WATCH_HOLD: Duration = Duration::from_secs(1);
/// Time for a watch's answer to arrive after it was due.
pub const WATCH_GRACE: Duration = Duration::from_millis(1500);
/// Kept free of a cancellation's time when we answer reports: timers that fire late, and the
/// moment that a worker takes to kill its tasks.
const CANCEL_MARGIN: Duration = Duration::from_secs(2);
/// Oldest replica from which starts are decided and sent: a watch that is answered just before
/// the next one ends, and one that is answered late.
pub fn start_freshness(slowness: f64) -> Duration {
    LEADER_WATCH_HOLD * 2 + WATCH_GRACE.mul_f64(slowness)
}

/// How many times as long as on a machine of usual size an answer may take to be taken up.
pub fn slowness(settings: &Settings) -> f64 {
    lease_time(settings).as_secs_f64() / LEASE_TIME_MIN.as_secs_f64()
}

/// How old our replica may be when a report is answered with 200. A job may have been cancelled,
/// unseen by us, from the moment on up to which the replica is complete; its tasks must be gone
/// `cancel_s` later, and an answer lets them live for a lease.
pub fn answering(settings: &Settings) -> Duration {
    let w = &settings.params.workers;
    let drift = w.cancel_s * 2.0 * CLOCK_DRIFT;
    secs(w.cancel_s - w.lease_s - drift).saturating_sub(CANCEL_MARGIN)
}

/// How long after its lease a leader goes on answering reports at most, however fresh its replica
/// is. A new leader counts on that for machines that it can't hear.
pub fn keep_alive_time(settings: &Settings) -> Duration {
    answering(settings).saturating_sub(WATCH_HOLD + WATCH_GRACE)
}

/// Added to a worker's lease before we count on its end: timers fire late, and the worker
/// needs a moment to kill its tasks.
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Reports missed before a machine counts as silent for placement.
const QUIET_REPORTS: f64 = 2.5;
/// Reports missed before a machine is given up and returned.
const LOST_REPORTS: f64 = 3.0;
/// The workers' timing as durations.
#[derive(Clone, Debug)]
pub struct WorkerTiming {
    /// Time between reports.
    pub heartbeat_interval: Duration,
    /// A worker's lease, as long as it may last on a slow clock, and a margin.
    pub lease: Duration,
    /// No placement on a machine silent for that long.
    pub suspect_after: Duration,
    /// A machine silent for that long is given up.
    pub failed_after: Duration,
    /// When a worker that nobody of this term has answered has lost what an earlier leader let
    /// start on it, counted from the take-over: the lead before ended then, whoever had it may
    /// have kept leases alive for its time, and a lease counts from the report answered.
    pub inherited_lease: Duration,
    /// How soon members of a gang notice a missing one.
    pub gang_loss_notice: Duration,
    /// How long a member waits for the others.
    pub gang_barrier_timeout: Duration,
}

impl WorkerTiming {
    /// From the settings.
    pub fn new(settings: &Settings) -> Self {
        let w = &settings.params.workers;
        Self {
            heartbeat_interval: secs(w.report_s),
            lease: secs(w.lease_s * (1.0 + CLOCK_DRIFT)) + LEASE_MARGIN,
            suspect_after: secs(w.report_s * QUIET_REPORTS),
            failed_after: secs(w.report_s * LOST_REPORTS),
            inherited_lease: secs(w.lease_s * (1.0 + CLOCK_DRIFT))
                + LEASE_MARGIN
                + keep_alive_time(settings),
            gang_loss_notice: secs(w.gang_peer_s),
            gang_barrier_timeout: secs(w.gang_wait_s),
        }
    }
}

#[cfg(test)]
mod tests;
