//! Durations and thresholds, derived from the settings of a deployment.

use std::time::Duration;

/// Half-life of a damping penalty in leases of the leader: single outages are further apart, losses of a
/// link that flaps every few seconds are not.
const HALF_LIFE_LEASES: u32 = 4;
/// Upper bound of the half-life where the lease is long.
const HALF_LIFE_MAX: Duration = Duration::from_secs(15);
/// Half-lives for which a link stays suppressed after its last loss, at most.
const SUPPRESSION_HALF_LIVES: u32 = 3;
/// Missed rows after which a controller's row expires.
const ROWS_MISSED: u32 = 4;
/// Row intervals for which another controller must have been better connected before a hand-over.
const HANDOVER_ROWS: u32 = 3;
/// Window in which hand-overs count against their limit, in leases of the leader.
const HANDOVER_WINDOW_LEASES: u32 = 100;

/// Timing settings of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkTiming {
    /// Interval of a controller's rows.
    pub row_interval: Duration,
    /// The leader's lease.
    pub leader_lease: Duration,
    /// Interval of a worker's heartbeats.
    pub heartbeat_interval: Duration,
    /// Upper bound of the clock skew between two hosts.
    pub clock_skew_max: Duration,
}

impl LinkTiming {
    /// Half-life of damping penalties.
    pub fn damping_half_life(&self) -> Duration {
        (self.leader_lease * HALF_LIFE_LEASES).min(HALF_LIFE_MAX)
    }

    /// Longest suppression of a link after its last loss: 45 s at most, since no job may stay pending for 90 s
    /// once all faults are over.
    pub fn suppression_max(&self) -> Duration {
        self.damping_half_life() * SUPPRESSION_HALF_LIVES
    }

    /// Time after which a row expires.
    pub fn row_lifetime(&self) -> Duration {
        (self.row_interval * ROWS_MISSED).max(self.leader_lease)
    }

    /// Maximum age of a row on arrival, by the time of day.
    pub fn row_age_max(&self) -> Duration {
        self.row_lifetime() + self.clock_skew_max
    }

    /// How long another controller must have been better connected before a hand-over.
    pub fn better_connected_for_min(&self) -> Duration {
        self.row_interval * HANDOVER_ROWS
    }

    /// Window in which hand-overs are counted.
    pub fn handover_window(&self) -> Duration {
        self.leader_lease * HANDOVER_WINDOW_LEASES
    }
}
