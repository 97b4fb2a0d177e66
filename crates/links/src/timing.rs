//! Times and thresholds, derived from the settings of a deployment.

use std::time::Duration;

/// Leases of the leader in which a damping penalty halves: single outages are apart by more, losses of a
/// link that comes and goes every few seconds are not.
const HALF_LIFE_LEASES: u32 = 4;
/// Bound on the half-life where the lease is long.
const HALF_LIFE_MAX: Duration = Duration::from_secs(15);
/// Half-lives for which a link stays suppressed after its last loss, at most.
const SUPPRESSION_HALF_LIVES: u32 = 3;
/// Rows missed before a controller's row counts as unknown.
const ROWS_MISSED: u32 = 4;
/// Rows for which another controller must have been better connected before the lead is handed over.
const HANDOVER_ROWS: u32 = 3;
/// Leases of the leader in which hand-overs are counted against their limit.
const HANDOVER_WINDOW_LEASES: u32 = 100;

/// What a deployment says about time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkTiming {
    /// Time between two rows of a controller.
    pub row_interval: Duration,
    /// The leader's lease.
    pub leader_lease: Duration,
    /// Time between two reports of a worker.
    pub report_interval: Duration,
    /// Bound on the difference between two clocks' times of day.
    pub clock_difference: Duration,
}

impl LinkTiming {
    /// Half-life of damping penalties.
    pub fn damping_half_life(&self) -> Duration {
        (self.leader_lease * HALF_LIFE_LEASES).min(HALF_LIFE_MAX)
    }

    /// Longest suppression of a link after its last loss: 45 s at most, since no job is to wait for 90 s
    /// once troubles are over.
    pub fn suppression_max(&self) -> Duration {
        self.damping_half_life() * SUPPRESSION_HALF_LIVES
    }

    /// After that time a row says nothing any more.
    pub fn row_lifetime(&self) -> Duration {
        (self.row_interval * ROWS_MISSED).max(self.leader_lease)
    }

    /// A row that was sent longer ago, by the time of day, is refused.
    pub fn row_age_max(&self) -> Duration {
        self.row_lifetime() + self.clock_difference
    }

    /// How long another controller must have been better connected before the lead is handed over.
    pub fn handover_hold(&self) -> Duration {
        self.row_interval * HANDOVER_ROWS
    }

    /// Time in which hand-overs are counted.
    pub fn handover_window(&self) -> Duration {
        self.leader_lease * HANDOVER_WINDOW_LEASES
    }
}
