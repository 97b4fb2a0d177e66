//! The handover of leadership by a leader that can not serve, while its lease would last.

use std::time::{Duration, Instant};

use knotlanding_links::handover::Decision;
use tracing::{debug, warn};

use super::Election;

/// How long a late timer explains missing heartbeats and stale reads.
const LATE_TIMER_GRACE: Duration = Duration::from_secs(10);

impl Election {
    /// Whether this process leads and another controller should: the workers reach others instead, or
    /// the replica is stale. The workers' leases would expire while the leader's is renewed.
    pub(super) fn should_hand_over(&self) -> bool {
        let now = Instant::now();
        // A reconnect burst would cost the next leader as much processor time, and the workers that
        // have reconnected would have to do so again.
        let recently = |at: Instant| now.saturating_duration_since(at) < LATE_TIMER_GRACE;
        if self.timer_late_at.get().is_some_and(recently) {
            return false;
        }
        let links = self.shared.links.active();
        if links.is_some_and(|links| links.handovers_exhausted(now)) {
            return false;
        }
        let replica_stale = self.replica_stale_here_only(now);
        let workers_elsewhere = self.workers_elsewhere(now);
        let better_connected = self.other_better_connected(now);
        let hands_over = replica_stale || workers_elsewhere || better_connected;
        if hands_over {
            warn!(
                replica_stale,
                workers_elsewhere, better_connected, "handing over leadership"
            );
        }
        hands_over
    }

    /// Whether renewals succeed and reads fail. If the link states show that no other controller reaches
    /// the store either, none would lead better.
    fn replica_stale_here_only(&self, now: Instant) -> bool {
        if !self.shared.election.lock().replica_too_stale_to_lead(now) {
            return false;
        }
        let links = self.shared.links.active();
        let others = links.and_then(|links| links.others_have_store(now));
        others != Some(false)
    }

    /// Whether few workers send heartbeats here, and many send misdirected ones to other controllers.
    fn workers_elsewhere(&self, now: Instant) -> bool {
        let few_heartbeats = {
            let cluster = self.shared.cluster.lock();
            cluster
                .as_ref()
                .is_some_and(|cluster| cluster.receives_few_heartbeats(now))
        };
        few_heartbeats && self.shared.links.misdirected_lately(now)
    }

    /// Whether the connectivity matrix shows a controller that should lead instead.
    fn other_better_connected(&self, now: Instant) -> bool {
        let Some(links) = self.shared.links.active() else {
            return false;
        };
        if !links.features.leadership || self.shared.election.lock().leadership(now).is_none() {
            return false;
        }
        matches!(links.decide_handover(now), Decision::HandOver { .. })
    }

    /// Steps down and revokes the lease, so that another controller is elected at once.
    pub(super) async fn hand_over(&self, lease: u64) {
        let now = Instant::now();
        self.shared.election.lock().start_backoff(now);
        if let Some(links) = self.shared.links.active() {
            links.handed_over(now);
        }
        self.step_down();
        if let Err(error) = self.client.revoke(lease).await {
            debug!(%error, "revoking the lease failed; it will expire");
        }
    }
}
