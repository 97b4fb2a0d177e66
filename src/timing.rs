//! Durations and limits that several modules must agree on, derived from the settings: the leader's lease,
//! the watch of the key-value store, the staleness bounds of the replica, and the workers' heartbeats and
//! leases.

use std::time::Duration;

use crate::config::Settings;
use crate::time::{secs, CLOCK_DRIFT};

/// Shortest leader lease. It is short enough for a quick failover after a crash, and long enough that a slow
/// response of the key-value store or a late timer does not end the leadership.
pub const LEADER_LEASE_MIN: Duration = Duration::from_secs(3);
/// Processor time in seconds that a leader must get within one lease. All agents connect to a new leader at
/// once, and a controller on a small machine does nothing else until it has handled them.
const RECONNECT_CPU_S: f64 = 0.12;
/// Longest leader lease. An even slower failover would be worse than a lease that expires because the machine
/// is slow.
const LEADER_LEASE_MAX: Duration = Duration::from_secs(8);
/// Time between two renewals as a share of the lease. Three renewals may fail before the lease expires.
const RENEWAL_INTERVAL_SHARE: f64 = 0.7 / 3.0;

/// Duration of the leader's lease. It is longer the smaller the process's share of a processor is.
pub fn leader_lease(settings: &Settings) -> Duration {
    let cores = settings.params.resources.cores;
    let reconnect_time =
        Duration::try_from_secs_f64(RECONNECT_CPU_S / cores).unwrap_or(LEADER_LEASE_MAX);
    reconnect_time.clamp(LEADER_LEASE_MIN, LEADER_LEASE_MAX)
}

/// Time between two renewals of a leader lease.
pub fn lease_renewal_interval(leader_lease: Duration) -> Duration {
    leader_lease.mul_f64(RENEWAL_INTERVAL_SHARE)
}

/// Time for which the store keeps a follower's watch open if there are no changes.
pub const FOLLOWER_WATCH_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which the store keeps a leader's watch open if there are no changes. It is short because the
/// response confirms the replica only as of the sending of the watch, and starts require a recent
/// confirmation.
pub const LEADER_WATCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the timeout of a watch within which the response may still arrive.
pub const WATCH_GRACE: Duration = Duration::from_millis(1500);
/// Subtracted from the cancellation deadline for the staleness limit of heartbeats: timers may fire late, and
/// an agent takes some time to terminate its tasks.
const CANCELLATION_MARGIN: Duration = Duration::from_secs(2);
/// Staleness bound of the replica for starts. The newest confirmation may be as old as two watches and the
/// grace of the second: a watch confirms the replica only as of its sending, and the response to the next one
/// may be late.
pub fn start_staleness_limit(timeout_factor: f64) -> Duration {
    LEADER_WATCH_TIMEOUT * 2 + WATCH_GRACE.mul_f64(timeout_factor)
}

/// Factor by which timeouts for responses are extended, because this process may take longer to handle a
/// response than one on a machine of usual size. At least 1.
pub fn timeout_factor(settings: &Settings) -> f64 {
    leader_lease(settings).as_secs_f64() / LEADER_LEASE_MIN.as_secs_f64()
}

/// Staleness bound of the replica for responses to heartbeats. A job may have been cancelled since the
/// replica was last confirmed, and its tasks must have ended by the cancellation deadline. A response extends
/// the worker lease, and with it the time for which these tasks may run.
pub fn heartbeat_staleness_limit(settings: &Settings) -> Duration {
    let workers = &settings.params.workers;
    let drift = workers.cancel_s * 2.0 * CLOCK_DRIFT;
    secs(workers.cancel_s - workers.lease_s - drift).saturating_sub(CANCELLATION_MARGIN)
}

/// Time after the end of its lease for which a keep-alive leader may respond to heartbeats, however fresh its
/// replica is. A new leader relies on this limit for machines from which it receives no heartbeats.
pub fn keep_alive_limit(settings: &Settings) -> Duration {
    heartbeat_staleness_limit(settings).saturating_sub(FOLLOWER_WATCH_TIMEOUT + WATCH_GRACE)
}

/// Added to a worker lease before the leader treats it as expired: timers may fire late, and the agent takes
/// some time to terminate its tasks.
const WORKER_LEASE_MARGIN: Duration = Duration::from_secs(1);
/// Number of heartbeat intervals without a heartbeat after which a machine is suspected.
const SUSPECT_INTERVALS: f64 = 2.5;
/// Number of heartbeat intervals without a heartbeat after which a machine is declared failed and released.
const FAILED_INTERVALS: f64 = 3.0;
/// Durations for heartbeats, worker leases and gangs, derived from the settings for workers.
#[derive(Clone, Debug)]
pub struct WorkerTiming {
    /// Time between two heartbeats of an agent.
    pub heartbeat_interval: Duration,
    /// Longest time for which a worker lease may last, including clock drift and a margin.
    pub lease: Duration,
    /// Time without a heartbeat after which a machine is suspected, so that no task is placed on it.
    pub suspect_after: Duration,
    /// Time without a heartbeat after which a machine is declared failed and released.
    pub failed_after: Duration,
    /// Time from the failover until the tasks that an earlier leader started on a machine have ended with the
    /// worker lease, if no controller has responded to the agent in the new term. The earlier leader may have
    /// extended worker leases up to its keep-alive limit, and a lease counts from the heartbeat that the
    /// response belongs to.
    pub inherited_lease: Duration,
    /// Time within which the members of a gang detect the loss of another member.
    pub gang_loss_detection_time: Duration,
    /// Longest time for which a member of a gang waits for the others at the barrier.
    pub gang_barrier_timeout: Duration,
}

impl WorkerTiming {
    /// Derives the durations from the settings.
    pub fn new(settings: &Settings) -> Self {
        let workers = &settings.params.workers;
        let lease = secs(workers.lease_s * (1.0 + CLOCK_DRIFT)) + WORKER_LEASE_MARGIN;
        Self {
            heartbeat_interval: secs(workers.report_s),
            lease,
            suspect_after: secs(workers.report_s * SUSPECT_INTERVALS),
            failed_after: secs(workers.report_s * FAILED_INTERVALS),
            inherited_lease: lease + keep_alive_limit(settings),
            gang_loss_detection_time: secs(workers.gang_peer_s),
            gang_barrier_timeout: secs(workers.gang_wait_s),
        }
    }
}

#[cfg(test)]
mod tests;
