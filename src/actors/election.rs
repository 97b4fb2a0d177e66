//! The actor that owns the election: it renews the lease of a leader, campaigns when there is no leader,
//! recovers the cluster state of a new term, hands over, and steps down.

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

/// A timer that fires this late shows that the process lacks processor time.
const LATE_TIMER: Duration = Duration::from_millis(250);
/// Pause after a failed attempt. Where several controllers may attempt the same, up to as much again is
/// added at random.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// The actor.
pub struct ElectionActor {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
}

impl ElectionActor {
    /// An election with leases through `client` and writes through `store`.
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

/// The election of one process.
struct Election {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
    leader_lease: Duration,
    renewal_interval: Duration,
    renewals: LeaseRenewals,
    /// When a timer last fired late: nothing of this process runs in time then.
    timer_late_at: Cell<Option<Instant>>,
    /// Since when the replica shows no leader, as far as it was looked at.
    no_leader_since: Cell<Option<Instant>>,
}

impl Election {
    async fn run(self) {
        loop {
            let wait = self.step().await;
            let woken = self.shared.wake_ups.election.notified();
            let due = Instant::now() + wait;
            // Whether woken or not, the next step looks at everything again.
            let _ = actix::clock::timeout(wait, woken).await;
            let now = Instant::now();
            if now.saturating_duration_since(due) > LATE_TIMER {
                self.timer_late_at.set(Some(now));
            }
        }
    }

    /// Acts on the leader's record once. Returns when the next step is due at the latest.
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
            self.lead(&leader, revision).await
        } else {
            self.follow(&leader.record).await
        }
    }

    /// Recovers, hands over or renews, when the own record is the leader's.
    async fn lead(&self, leader: &Versioned<LeaderRecord>, revision: u64) -> Duration {
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

    /// Gives up any lease, when another record is the leader's.
    async fn follow(&self, leader: &LeaderRecord) -> Duration {
        self.relinquish_lease().await;
        if leader.member != self.shared.settings.member {
            return self.renewal_interval;
        }
        // The own name under a lease that is not held: an earlier process under this name has ended.
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
        // Without an answer the lease expires by itself; revoking it only lets others lead sooner.
        let _ = self.client.revoke(lease.id()).await;
    }
}

/// Ends leadership and cluster state together, so that no state outlives its term.
fn end_leadership(shared: &Shared) -> Option<HeldLease> {
    let mut election = shared.election.lock();
    let lease = election.step_down();
    *shared.cluster.lock() = None;
    lease
}
