//! The times on which several modules rely together, derived from the settings: the leader's lease, the
//! watch of the key-value store, the staleness bounds of the replica, and the workers' heartbeats and
//! leases.

use std::time::Duration;

use crate::config::Settings;
use crate::time::{secs, CLOCK_DRIFT};

/// Shortest leader lease: short enough for a quick failover after a crash, long enough that a slow
/// response of the key-value store or a late timer does not end the leadership.
pub const LEADER_LEASE_MIN: Duration = Duration::from_secs(3);
/// Processor time that a leader lease must contain: all workers reconnect to a new leader at once, and
/// a small machine does nothing else before that work is done.
const RECONNECT_CPU_S: f64 = 0.12;
/// Longest leader lease: a slower failover would be worse than a leadership lost to a slow machine.
const LEADER_LEASE_MAX: Duration = Duration::from_secs(8);
/// Share of the lease between two renewals: three may fail before the lease expires.
const RENEWAL_INTERVAL_SHARE: f64 = 0.7 / 3.0;

/// Time of the leader's lease, by the share of a processor that the process has.
pub fn leader_lease(settings: &Settings) -> Duration {
    let cores = settings.params.resources.cores;
    let reconnects =
        Duration::try_from_secs_f64(RECONNECT_CPU_S / cores).unwrap_or(LEADER_LEASE_MAX);
    reconnects.clamp(LEADER_LEASE_MIN, LEADER_LEASE_MAX)
}

/// Time between two renewals of a leader lease.
pub fn lease_renewal_interval(leader_lease: Duration) -> Duration {
    leader_lease.mul_f64(RENEWAL_INTERVAL_SHARE)
}

/// How long the store keeps a follower's watch open without changes.
pub const FOLLOWER_WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// The same for a leader's watch. The response confirms the replica only as of the sending of the watch,
/// and starts require a recent confirmation.
pub const LEADER_WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after its timeout the response to a watch may arrive.
pub const WATCH_GRACE: Duration = Duration::from_millis(1500);
/// Subtracted from the cancellation deadline for the staleness limit of heartbeats: timers may fire late,
/// and a worker needs a moment to kill its tasks.
const CANCELLATION_MARGIN: Duration = Duration::from_secs(2);
/// Staleness bound of the replica for starts: one watch may be answered just before the next one times
/// out, and that one may be answered late.
pub fn start_staleness_limit(slowness: f64) -> Duration {
    LEADER_WATCH_TIMEOUT * 2 + WATCH_GRACE.mul_f64(slowness)
}

/// Factor by which this process may take longer to handle a response than on a machine of usual size.
pub fn timeout_factor(settings: &Settings) -> f64 {
    leader_lease(settings).as_secs_f64() / LEADER_LEASE_MIN.as_secs_f64()
}

/// Staleness bound of the replica for answers to heartbeats. A job may have been cancelled unnoticed since
/// the replica was last confirmed; its tasks must have ended by the cancellation deadline, and an answer
/// extends the worker's lease, and with it the time they may run.
pub fn heartbeat_staleness_limit(settings: &Settings) -> Duration {
    let workers = &settings.params.workers;
    let drift = workers.cancel_s * 2.0 * CLOCK_DRIFT;
    secs(workers.cancel_s - workers.lease_s - drift).saturating_sub(CANCELLATION_MARGIN)
}

/// How long after the end of its lease a keep-alive leader may answer heartbeats, however fresh its replica
/// is. A new leader relies on that limit for machines without heartbeats.
pub fn keep_alive_limit(settings: &Settings) -> Duration {
    heartbeat_staleness_limit(settings).saturating_sub(FOLLOWER_WATCH_TIMEOUT + WATCH_GRACE)
}

/// Added to a worker's lease before it counts as expired: timers may fire late, and the worker needs a
/// moment to kill its tasks.
const WORKER_LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Heartbeat intervals without a heartbeat before a machine is suspected, so that no task is placed on it.
const SUSPECT_INTERVALS: f64 = 2.5;
/// Heartbeat intervals without a heartbeat before a machine is declared failed and released.
const FAILED_INTERVALS: f64 = 3.0;
/// Times of heartbeats, worker leases and gangs.
#[derive(Clone, Debug)]
pub struct WorkerTiming {
    /// Time between two heartbeats of a worker.
    pub heartbeat_interval: Duration,
    /// A worker's lease as it may last on a slow clock, and a margin.
    pub lease: Duration,
    /// A machine without a heartbeat for that long is suspected: no task is placed on it.
    pub suspect_after: Duration,
    /// A machine without a heartbeat for that long is declared failed.
    pub failed_after: Duration,
    /// Time from the failover until tasks that an earlier leader started on a worker have ended with the
    /// worker's lease, if nobody of this term has answered the worker. The earlier leader may have
    /// extended leases up to its keep-alive limit, and a lease counts from the answered heartbeat.
    pub inherited_lease: Duration,
    /// How soon the members of a gang notice that one is lost.
    pub gang_loss_notice: Duration,
    /// How long a member of a gang waits for the others at the barrier.
    pub gang_barrier_timeout: Duration,
}

impl WorkerTiming {
    /// From the settings.
    pub fn new(settings: &Settings) -> Self {
        let workers = &settings.params.workers;
        let lease = secs(workers.lease_s * (1.0 + CLOCK_DRIFT)) + WORKER_LEASE_MARGIN;
        Self {
            heartbeat_interval: secs(workers.report_s),
            lease,
            suspect_after: secs(workers.report_s * SUSPECT_INTERVALS),
            failed_after: secs(workers.report_s * FAILED_INTERVALS),
            inherited_lease: lease + keep_alive_limit(settings),
            gang_loss_notice: secs(workers.gang_peer_s),
            gang_barrier_timeout: secs(workers.gang_wait_s),
        }
    }
}

#[cfg(test)]
mod tests;
