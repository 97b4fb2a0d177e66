//! Wake-ups of the loops that wait for work.

use tokio::sync::Notify;

/// One wake-up for each loop. A wake-up without a waiting loop is kept until the loop waits next.
#[derive(Debug, Default)]
pub struct WakeUps {
    /// The scheduling cycle.
    pub scheduler: Notify,
    /// The election.
    pub election: Notify,
    /// The loop that forwards heartbeats to the leader.
    pub forwarding: Notify,
    /// The loop that publishes cancellations to the peers.
    pub cancellations: Notify,
}
