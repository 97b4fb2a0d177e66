//! Owner of the election: seeks the lease, renews it, takes over.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix::prelude::*;
use knotlanding_links::handover::Decision;
use knotlanding_links::table::StoreOperation;
use rand::Rng;
use tracing::{debug, info, warn};

use crate::cluster::Cluster;
use crate::leader::{HeldLease, Leadership};
use crate::model::Term;
use crate::service::Shared;
use crate::store::actor::{Commit, SetLeading, StoreActor};
use crate::store::client::StoreClient;
use crate::store::keys::{self, LeaderRecord, TermRecord};
use crate::store::replica::Versioned;
use crate::store::{to_value, Change, Condition, StoreError, Transaction, WritePriority};
use crate::timing::{lease_time, renew_every};

/// Renewals under way at once. One without an answer holds up no other, and an answer that is
/// taken up late still counts, from the renewal's sending.
const RENEWALS_IN_FLIGHT_MAX: usize = 3;
/// A timer this late shows that the processor is not enough.
const LATE_TIMER: Duration = Duration::from_millis(250);
/// How long such slowness explains what is not heard or read.
const LATE_EXCUSES: Duration = Duration::from_secs(10);
/// Pause after a failed attempt, plus up to as much again so that nodes don't meet.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How long the records may take to show an attempt of ours.
const SHOWS_WITHIN: Duration = Duration::from_millis(1500);

/// The actor.
pub struct ElectionActor {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
}

impl ElectionActor {
    /// An election through `client`, with writes through `store`.
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
        let lease_time = lease_time(&self.shared.settings);
        let election = Election {
            shared: self.shared.clone(),
            client: self.client.clone(),
            store: self.store.clone(),
            lease_time,
            renew_every: renew_every(lease_time),
            renewals: Rc::default(),
            next_renewal: Rc::default(),
            late_at: Cell::new(None),
            vacant_since: Cell::new(None),
        };
        actix::spawn(election.run());
    }
}

/// Takes what became of a renewal.
fn renewed(
    shared: &Shared,
    store: &Addr<StoreActor>,
    lease: u64,
    sent: Instant,
    outcome: Result<(), StoreError>,
) {
    match outcome {
        Ok(()) => {
            shared.store_answered(StoreOperation::Lease, sent);
            shared.election.lock().renewed(lease, sent);
            // After a gap the lease may last again, but the replica is old.
            if shared.election.lock().requires_read(Instant::now()) {
                shared.replica.request_read();
            }
        }
        Err(StoreError::LeaseOver) => {
            let ours = shared.election.lock().lease;
            if ours.is_some_and(|ours| ours.id == lease) {
                warn!("our lease is over");
                let mut election = shared.election.lock();
                election.lease = None;
                election.step_down();
                *shared.cluster.lock() = None;
                store.do_send(SetLeading(false));
            }
            shared.wake_ups.election.notify_one();
        }
        Err(error) => {
            debug!(%error, "renewal failed");
            if error.contact_lost() {
                shared.store_failed(StoreOperation::Lease, sent);
            }
            shared.wake_ups.election.notify_one();
        }
    }
}

struct Election {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
    lease_time: Duration,
    renew_every: Duration,
    /// Renewals under way.
    renewals: Rc<Cell<usize>>,
    /// When our timers were last late: nothing of us runs in time then.
    late_at: Cell<Option<Instant>>,
    /// Since when nobody leads, as far as we have looked.
    vacant_since: Cell<Option<Instant>>,
    /// When which lease is to be renewed next.
    next_renewal: Rc<Cell<Option<(u64, Instant)>>>,
}

impl Election {
    async fn run(self) {
        loop {
            let wait = self.step().await;
            let woken = self.shared.wake_ups.election.notified();
            let due = Instant::now() + wait;
            // Either way the next step looks at everything again.
            let _ = actix::clock::timeout(wait, woken).await;
            let now = Instant::now();
            if now.saturating_duration_since(due) > LATE_TIMER {
                self.late_at.set(Some(now));
            }
        }
    }

    /// One look at the records, and what follows from it; when to look again at the latest.
    async fn step(&self) -> Duration {
        let (loaded, revision, record) = {
            let replica = self.shared.replica.lock();
            let leader = replica.leader.clone();
            (replica.loaded, replica.revision, leader)
        };
        if !loaded {
            return self.renew_every;
        }
        let Some(leader) = record else {
            return self.seek().await;
        };
        self.vacant_since.set(None);
        let ours = self.shared.election.lock().record_is_ours(&leader.record);
        if ours {
            if self.shared.election.lock().own_term().is_none() && revision >= leader.version {
                self.recover(&leader.record, leader.version);
            }
            if self.cannot_serve() {
                self.hand_over(leader.record.lease).await;
                return RETRY_DELAY;
            }
            return self.renew();
        }
        self.leave_lease().await;
        if leader.record.member == self.shared.settings.member {
            // Our own name under a lease we don't hold: the process that held it is dead.
            info!(
                term = leader.record.term.0,
                "ending our predecessor's lease"
            );
            if let Err(error) = self.client.end(leader.record.lease).await {
                debug!(%error, "cannot end it yet");
            }
            return RETRY_DELAY;
        }
        self.renew_every
    }

    /// Whether we lead and the workers don't get through to us but to others, or we can't read the
    /// records: their leases would run out while we renew ours.
    fn cannot_serve(&self) -> bool {
        let now = Instant::now();
        // What a burst of reconnecting workers costs would cost the next leader as much, and those that have got
        // through to us would reconnect as well.
        let late = |at: Instant| now.saturating_duration_since(at) < LATE_EXCUSES;
        if self.late_at.get().is_some_and(late) {
            return false;
        }
        let links = self.shared.links.active();
        if links.is_some_and(|links| links.handovers_exhausted(now)) {
            return false;
        }
        let unread = self.unread(now);
        let elsewhere = self.workers_elsewhere(now);
        let outclassed = self.outclassed(now);
        if unread || elsewhere || outclassed {
            info!(unread, elsewhere, outclassed, "the lead is of no use");
        }
        unread || elsewhere || outclassed
    }

    /// Whether we renew our lease and read nothing. Where the others' rows say that none of them has the
    /// state service either, nobody is better.
    fn unread(&self, now: Instant) -> bool {
        if !self.shared.election.lock().reads_nothing(now) {
            return false;
        }
        let links = self.shared.links.active();
        let others = links.and_then(|links| links.others_have_store(now));
        others != Some(false)
    }

    /// Whether hardly any worker gets through to us, and many come to other nodes in vain.
    fn workers_elsewhere(&self, now: Instant) -> bool {
        let unheard = {
            let cluster = self.shared.cluster.lock();
            cluster.as_ref().is_some_and(|c| c.hears_few_machines(now))
        };
        unheard && self.shared.links.misdirected_lately(now)
    }

    /// Whether the connectivity matrix says that another node should lead.
    fn outclassed(&self, now: Instant) -> bool {
        let Some(links) = self.shared.links.active() else {
            return false;
        };
        if !links.features.leadership || self.shared.election.lock().leadership(now).is_none() {
            return false;
        }
        matches!(links.decide_handover(now), Decision::HandOver { .. })
    }

    /// Ends our lease so that another node leads at once.
    async fn hand_over(&self, lease: u64) {
        warn!("workers or the records are out of our reach; another node is to lead");
        let now = Instant::now();
        self.shared.election.lock().back_off(now);
        if let Some(links) = self.shared.links.active() {
            links.handed_over(now);
        }
        self.step_down();
        if let Err(error) = self.client.end(lease).await {
            debug!(%error, "our lease will end by itself");
        }
    }

    fn recover(&self, record: &LeaderRecord, version: u64) {
        let Some(catalog) = self.shared.catalog.lock().clone() else {
            debug!("cannot take over before the machine types are known");
            return;
        };
        let now = Instant::now();
        let replica = self.shared.replica.lock();
        // The records may have moved on, on another thread, since they were looked at.
        let still = |leader: &Versioned<LeaderRecord>| leader.version == version;
        if !replica.leader.as_ref().is_some_and(still) {
            return;
        }
        let mut cluster = Cluster::recover(
            record.term,
            &self.shared.settings,
            &replica,
            catalog,
            now,
            SystemTime::now(),
        );
        cluster.hint(&self.shared.summary_cache.lock());
        info!(
            term = record.term.0,
            jobs = cluster.jobs.len(),
            unreconciled = cluster.unreconciled.len(),
            "leading"
        );
        {
            let mut election = self.shared.election.lock();
            *self.shared.cluster.lock() = Some(cluster);
            election.take(Leadership {
                term: record.term,
                version,
            });
        }
        drop(replica);
        self.shared.metrics.lock().counts.terms += 1;
        self.store.do_send(SetLeading(true));
        // Starts wait for a read that is newer than the election.
        self.shared.replica.request_read();
        self.shared.wake_ups.scheduler.notify_one();
    }

    /// Sends a renewal if one is due; when to look again.
    fn renew(&self) -> Duration {
        let Some(lease) = self.shared.election.lock().lease else {
            return RETRY_DELAY;
        };
        let now = Instant::now();
        let next = self.next_renewal.get().filter(|(id, _)| *id == lease.id);
        let due = next.map_or(lease.renewed + self.renew_every, |(_, at)| at);
        let early = due.saturating_duration_since(now);
        if !early.is_zero() {
            return early;
        }
        if self.renewals.get() >= RENEWALS_IN_FLIGHT_MAX {
            return RETRY_DELAY;
        }
        self.renewals.set(self.renewals.get() + 1);
        let next_renewal = self.next_renewal.clone();
        next_renewal.set(Some((lease.id, now + self.renew_every)));
        let (shared, store) = (self.shared.clone(), self.store.clone());
        let (client, limit) = (self.client.clone(), self.lease_time);
        let renewals = self.renewals.clone();
        actix::spawn(async move {
            let sent = Instant::now();
            let outcome = client.renew(lease.id, limit).await;
            renewals.set(renewals.get() - 1);
            if outcome.is_err() {
                next_renewal.set(Some((lease.id, Instant::now() + RETRY_DELAY)));
            }
            renewed(&shared, &store, lease.id, sent, outcome);
        });
        self.renew_every
    }

    fn step_down(&self) {
        {
            let mut election = self.shared.election.lock();
            election.lease = None;
            election.step_down();
            *self.shared.cluster.lock() = None;
        }
        self.store.do_send(SetLeading(false));
    }

    /// Gives up a lease that brought nothing.
    async fn leave_lease(&self) {
        let lease = {
            let mut election = self.shared.election.lock();
            election.step_down();
            *self.shared.cluster.lock() = None;
            election.lease.take()
        };
        if let Some(lease) = lease {
            self.store.do_send(SetLeading(false));
            // It would end by itself; this only frees it sooner.
            let _ = self.client.end(lease.id).await;
        }
    }

    /// Whether the election is left to a better connected node, for one renewal's time at most: should it
    /// not stand, somebody has to.
    fn yields(&self) -> bool {
        let now = Instant::now();
        let since = match self.vacant_since.get() {
            Some(since) => since,
            None => {
                self.vacant_since.set(Some(now));
                now
            }
        };
        if now.saturating_duration_since(since) >= self.renew_every {
            return false;
        }
        let links = self.shared.links.active();
        links.is_some_and(|links| links.should_yield(now))
    }

    /// Nobody leads: try to.
    async fn seek(&self) -> Duration {
        self.leave_lease().await;
        if self.shared.catalog.lock().is_none() {
            // A leader without machine types could do nothing; let another one try first.
            return self.renew_every;
        }
        if self.shared.election.lock().in_backoff(Instant::now()) {
            return self.renew_every;
        }
        if self.yields() {
            return RETRY_DELAY;
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        let sent = Instant::now();
        let id = match self.client.grant(self.lease_time).await {
            Ok(id) => id,
            Err(error) => {
                debug!(%error, "no lease to be had");
                if error.contact_lost() {
                    self.shared.store_failed(StoreOperation::Lease, sent);
                }
                return RETRY_DELAY + RETRY_DELAY.mul_f64(jitter);
            }
        };
        self.shared.election.lock().lease = Some(HeldLease { id, renewed: sent });
        let (term, term_version) = {
            let replica = self.shared.replica.lock();
            (replica.term.record, replica.term.version)
        };
        let term = Term(term.0 + 1);
        let settings = &self.shared.settings;
        let record = LeaderRecord {
            member: settings.member.clone(),
            address: settings.public_addr.to_string(),
            term,
            lease: id,
        };
        let group = Transaction {
            conditions: vec![
                Condition::new(keys::LEADER, 0),
                Condition::new(keys::TERM, term_version),
            ],
            changes: vec![
                Change::Put {
                    key: keys::LEADER.to_owned(),
                    value: to_value(&record),
                    lease: Some(id),
                },
                Change::put(keys::TERM, to_value(&TermRecord { term })),
            ],
        };
        let outcome = self
            .store
            .send(Commit(group, WritePriority::Election))
            .await;
        debug!(term = term.0, ?outcome, "sought the lead");
        match outcome {
            Ok(crate::store::TransactionOutcome::Committed(revision)) => {
                // The records show it in a moment, and with it all that was written before.
                let mut changed = self.shared.replica.subscribe();
                let shown = changed.wait_for(|reached| *reached >= revision);
                let _ = actix::clock::timeout(SHOWS_WITHIN, shown).await;
                Duration::ZERO
            }
            Ok(crate::store::TransactionOutcome::Conflict { .. }) => {
                // Another one was faster; the records will show who.
                RETRY_DELAY + RETRY_DELAY.mul_f64(jitter)
            }
            _ => RETRY_DELAY + RETRY_DELAY.mul_f64(jitter),
        }
    }
}
