//! Notifications that wake the loops of the actors when they have work to do.

use tokio::sync::Notify;

/// One notification for each loop. A notification that is sent while its loop does not wait is kept
/// until the loop waits next.
#[derive(Debug, Default)]
pub struct WakeUps {
    /// Wakes the loop that runs scheduling cycles.
    pub scheduler: Notify,
    /// Wakes the loop that renews the lease and campaigns.
    pub election: Notify,
    /// Wakes the loop that forwards heartbeats to the leader.
    pub forwarding: Notify,
    /// Wakes the loop that publishes cancellations to the peers.
    pub cancellations: Notify,
}
