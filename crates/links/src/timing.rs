//! Durations and thresholds derived from the settings of a deployment.

use std::time::Duration;

/// Half-life of a damping penalty, in leases of the leader. Isolated outages are further apart than this, the
/// losses of a link that flaps every few seconds are not.
const HALF_LIFE_LEASES: u32 = 4;
/// Upper bound of the half-life, which applies to long leases.
const HALF_LIFE_MAX: Duration = Duration::from_secs(15);
/// Maximum duration of a suppression after the last loss of the link, in half-lives.
const SUPPRESSION_HALF_LIVES: u32 = 3;
/// Row intervals without a new row after which a controller's row expires.
const ROW_LIFETIME_INTERVALS: u32 = 4;
/// Row intervals for which another controller must have been better connected before a handover.
const HANDOVER_DELAY_INTERVALS: u32 = 3;
/// Window in which handovers count against their limit, in leases of the leader.
const HANDOVER_WINDOW_LEASES: u32 = 100;

/// Timing settings of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkTiming {
    /// Time between two rows of a controller.
    pub row_interval: Duration,
    /// Duration of the leader's lease.
    pub leader_lease: Duration,
    /// Time between two heartbeats of an agent.
    pub heartbeat_interval: Duration,
    /// Upper bound of the clock skew between two controllers.
    pub clock_skew_max: Duration,
}

impl LinkTiming {
    /// Time in which a damping penalty decays to half of its value.
    pub fn damping_half_life(&self) -> Duration {
        (self.leader_lease * HALF_LIFE_LEASES).min(HALF_LIFE_MAX)
    }

    /// Maximum duration of a suppression after the last loss of the link. It is at most 45 s, because no job
    /// may stay pending for 90 s after all faults have ended.
    pub fn suppression_max(&self) -> Duration {
        self.damping_half_life() * SUPPRESSION_HALF_LIVES
    }

    /// Time after its arrival at which a row expires. It is never shorter than the leader's lease.
    pub fn row_lifetime(&self) -> Duration {
        (self.row_interval * ROW_LIFETIME_INTERVALS).max(self.leader_lease)
    }

    /// Maximum age of a row on arrival: the difference between the receiver's time of day and the time at
    /// which the row was sent, including the clock skew.
    pub fn row_age_max(&self) -> Duration {
        self.row_lifetime() + self.clock_skew_max
    }

    /// Minimum time for which another controller must have been better connected before a handover.
    pub fn better_connected_for_min(&self) -> Duration {
        self.row_interval * HANDOVER_DELAY_INTERVALS
    }

    /// Length of the sliding window in which handovers count against their limit.
    pub fn handover_window(&self) -> Duration {
        self.leader_lease * HANDOVER_WINDOW_LEASES
    }
}
