//! The handover of leadership by a leader that cannot serve although its lease is still valid.

use std::time::{Duration, Instant};

use knotlanding_links::handover::HandoverDecision;
use tracing::{debug, warn};

use super::Election;

/// Time after a late timer for which missing heartbeats and a stale replica are attributed to a lack of
/// processor time in this process.
const LATE_TIMER_GRACE: Duration = Duration::from_secs(10);

impl Election {
    /// Whether another controller should lead instead of this one: only this controller's replica is stale,
    /// the agents reach other controllers, or another controller is better connected. Without a handover, the
    /// worker leases would expire while the leader's lease is renewed.
    pub(super) fn should_hand_over(&self) -> bool {
        let now = Instant::now();
        // A handover does not help when processor time is short: the burst of reconnecting agents would
        // cost the next leader as much, and the agents that have reconnected here would have to do so
        // again.
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LATE_TIMER_GRACE;
        if self.timer_late_at.get().is_some_and(is_recent) {
            return false;
        }
        let links = self.shared.links.active();
        if links.is_some_and(|links| links.handover_limit_reached(now)) {
            return false;
        }
        let replica_stale = self.is_replica_stale_here_only(now);
        let workers_elsewhere = self.agents_reach_others(now);
        let better_connected = self.other_better_connected(now);
        let handover_needed = replica_stale || workers_elsewhere || better_connected;
        if handover_needed {
            warn!(
                replica_stale,
                workers_elsewhere, better_connected, "handing over leadership"
            );
        }
        handover_needed
    }

    /// Whether renewals succeed while reads fail. If the rows of the peers show that no other controller
    /// reaches the key-value store either, no other controller would lead better.
    fn is_replica_stale_here_only(&self, now: Instant) -> bool {
        if !self.shared.election.lock().replica_too_stale_to_lead(now) {
            return false;
        }
        let links = self.shared.links.active();
        let others_have_store = links.and_then(|links| links.others_have_store(now));
        others_have_store != Some(false)
    }

    /// Whether this leader receives few heartbeats while the other controllers count many misdirected ones.
    fn agents_reach_others(&self, now: Instant) -> bool {
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
        matches!(
            links.decide_handover(now),
            HandoverDecision::HandOver { .. }
        )
    }

    /// Steps down and revokes the lease, so that another controller is elected at once. The election
    /// backoff keeps this process from campaigning first.
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
