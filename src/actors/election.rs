//! The actor that runs the election of one process: it renews the lease while the process leads, campaigns
//! when there is no leader, recovers the cluster state at the start of a term, hands over leadership, and
//! steps down.

mod campaign;
mod handover;
mod recovery;
mod renewal;

use std::cell::Cell;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, info};

use crate::leader::HeldLease;
use crate::service::Shared;
use crate::store::actor::{SetLeading, StoreActor};
use crate::store::client::StoreClient;
use crate::store::keys::LeaderRecord;
use crate::store::replica::Versioned;
use crate::timing::{leader_lease, lease_renewal_interval};
use renewal::LeaseRenewals;

/// A timer that fires later than this shows that the process lacks processor time.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(250);
/// Delay before the next attempt after a failed one. Where several controllers may retry at the same time,
/// a random delay of up to the same length is added.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Runs the election loop of this process until the process ends.
pub struct ElectionActor {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
}

impl ElectionActor {
    /// Leases are granted, renewed and revoked through `client`; records are written through `store`.
    pub fn new(shared: Arc<Shared>, client: StoreClient, store: Addr<StoreActor>) -> Self {
        Self {
            shared,
            client,
            store,
        }
    }
}

impl Actor for ElectionActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let leader_lease = leader_lease(&self.shared.settings);
        let election = Election {
            shared: self.shared.clone(),
            client: self.client.clone(),
            store: self.store.clone(),
            leader_lease,
            renewal_interval: lease_renewal_interval(leader_lease),
            renewals: LeaseRenewals::default(),
            timer_late_at: Cell::new(None),
            no_leader_since: Cell::new(None),
        };
        actix::spawn(election.run());
    }
}

/// The state of the election loop.
struct Election {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
    leader_lease: Duration,
    renewal_interval: Duration,
    renewals: LeaseRenewals,
    /// When a timer last fired late, because this process lacked processor time.
    timer_late_at: Cell<Option<Instant>>,
    /// When a campaign was first considered since the replica last showed a leader.
    no_leader_since: Cell<Option<Instant>>,
}

impl Election {
    async fn run(self) {
        loop {
            let wait = self.step().await;
            let notification = self.shared.wake_ups.election.notified();
            let due_at = Instant::now() + wait;
            // Whether the loop was notified or the wait timed out, the next step reads the whole state
            // again.
            let _ = actix::clock::timeout(wait, notification).await;
            let now = Instant::now();
            if now.saturating_duration_since(due_at) > LATE_TIMER_THRESHOLD {
                self.timer_late_at.set(Some(now));
            }
        }
    }

    /// Acts once on the leader's record. Returns the longest time until the next step.
    async fn step(&self) -> Duration {
        let (loaded, revision, leader) = {
            let replica = self.shared.replica.lock();
            let leader = replica.leader.clone();
            (replica.loaded, replica.revision, leader)
        };
        if !loaded {
            return self.renewal_interval;
        }
        let Some(leader) = leader else {
            return self.campaign().await;
        };
        self.no_leader_since.set(None);
        if self.shared.election.lock().is_own_record(&leader.record) {
            self.act_as_leader(&leader, revision).await
        } else {
            self.act_as_follower(&leader.record).await
        }
    }

    /// Acts on a leader's record that this process wrote: recovers the cluster state, hands over leadership
    /// or renews the lease.
    async fn act_as_leader(&self, leader: &Versioned<LeaderRecord>, revision: u64) -> Duration {
        let recovered = self.shared.election.lock().own_term().is_some();
        if !recovered && revision >= leader.version {
            self.recover(&leader.record, leader.version);
        }
        if self.should_hand_over() {
            self.hand_over(leader.record.lease).await;
            return RETRY_DELAY;
        }
        self.renew_lease()
    }

    /// Acts on a leader's record that another process wrote: relinquishes the lease of this process, if it
    /// holds one. If an earlier process of this controller wrote the record, also revokes the lease of that
    /// process.
    async fn act_as_follower(&self, leader: &LeaderRecord) -> Duration {
        self.relinquish_lease().await;
        if leader.member != self.shared.settings.member {
            return self.renewal_interval;
        }
        // The record has this controller's name, but a lease that this process does not hold: an earlier
        // process of this controller wrote it and has ended.
        info!(
            term = leader.term.0,
            "revoking the lease of an earlier incarnation"
        );
        if let Err(error) = self.client.revoke(leader.lease).await {
            debug!(%error, "revoking the lease failed");
        }
        RETRY_DELAY
    }

    /// Ends the leadership of this process, if any, and gives up its lease without revoking it.
    fn step_down(&self) {
        end_leadership(&self.shared);
        self.store.do_send(SetLeading(false));
    }

    /// Steps down and revokes the lease, if one is held.
    async fn relinquish_lease(&self) {
        let Some(lease) = end_leadership(&self.shared) else {
            return;
        };
        self.store.do_send(SetLeading(false));
        // Without a response the lease expires by itself; revoking it only lets another controller lead
        // sooner.
        let _ = self.client.revoke(lease.id()).await;
    }
}

/// Ends the leadership and drops the cluster state together, so that no state outlives its term.
/// Returns the lease, which the caller may revoke.
fn end_leadership(shared: &Shared) -> Option<HeldLease> {
    let mut election = shared.election.lock();
    let lease = election.step_down();
    *shared.cluster.lock() = None;
    lease
}
