//! Owner of the election: seeks the lease, renews it, takes over.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix::prelude::*;
use rand::Rng;
use tracing::{debug, info, warn};

use crate::cluster::Cluster;
use crate::leader::{Lead, OwnLease, LEASE, RENEW_EVERY};
use crate::model::Term;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor, TakePart};
use crate::store::client::StoreClient;
use crate::store::keys::{self, LeaderRecord, TermRecord};
use crate::store::{to_value, Change, Condition, Group, StoreError, Urgency};

/// A renewal without an answer by then is repeated; the lease outlasts three of them.
const RENEWAL_LIMIT: Duration = Duration::from_millis(600);
/// Pause after a failed attempt, plus up to as much again so that nodes don't meet.
const PAUSE: Duration = Duration::from_millis(150);
/// How long the records may take to show an attempt of ours.
const SHOWS_WITHIN: Duration = Duration::from_millis(1500);

/// The actor.
pub struct LeaderActor {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
}

impl LeaderActor {
    /// An election through `client`, with writes through `store`.
    pub fn new(shared: Arc<Shared>, client: StoreClient, store: Addr<StoreActor>) -> Self {
        Self {
            shared,
            client,
            store,
        }
    }
}

impl Actor for LeaderActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let election = Election {
            shared: self.shared.clone(),
            client: self.client.clone(),
            store: self.store.clone(),
        };
        actix::spawn(election.run());
    }
}

struct Election {
    shared: Arc<Shared>,
    client: StoreClient,
    store: Addr<StoreActor>,
}

impl Election {
    async fn run(self) {
        loop {
            let wait = self.step().await;
            let woken = self.shared.wake_leader.notified();
            // Either way the next step looks at everything again.
            let _ = actix::clock::timeout(wait, woken).await;
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
            return RENEW_EVERY;
        }
        let Some(leader) = record else {
            return self.seek().await;
        };
        let ours = self.shared.role.lock().record_is_ours(&leader.record);
        if ours {
            if self.shared.role.lock().own_term().is_none() && revision >= leader.version {
                self.take_over(&leader.record, leader.version);
            }
            if self.of_no_use() {
                self.hand_over(leader.record.lease).await;
                return PAUSE;
            }
            return self.renew().await;
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
            return PAUSE;
        }
        RENEW_EVERY
    }

    /// Whether we lead and the workers don't get through to us but to others, or we can't read the
    /// records: their leases would run out while we renew ours.
    fn of_no_use(&self) -> bool {
        let now = Instant::now();
        let unheard = {
            let cluster = self.shared.cluster.lock();
            cluster.as_ref().is_some_and(|c| c.hears_few(now))
        };
        let unread = self.shared.role.lock().reads_nothing(now);
        unread || (unheard && self.shared.misdirected_reports.lock().lately(now))
    }

    /// Ends our lease so that another node leads at once.
    async fn hand_over(&self, lease: u64) {
        warn!("workers or the records are out of our reach; another node is to lead");
        self.shared.role.lock().stand_back(Instant::now());
        self.step_down();
        if let Err(error) = self.client.end(lease).await {
            debug!(%error, "our lease will end by itself");
        }
    }

    fn take_over(&self, record: &LeaderRecord, version: u64) {
        let Some(catalog) = self.shared.catalog.lock().clone() else {
            debug!("cannot take over before the machine types are known");
            return;
        };
        let now = Instant::now();
        let replica = self.shared.replica.lock();
        let mut cluster = Cluster::take_over(
            record.term,
            &self.shared.settings,
            &replica,
            catalog,
            now,
            SystemTime::now(),
        );
        cluster.hint(&self.shared.digest_view.lock());
        info!(
            term = record.term.0,
            jobs = cluster.jobs.len(),
            unsettled = cluster.unsettled.len(),
            "leading"
        );
        {
            let mut role = self.shared.role.lock();
            *self.shared.cluster.lock() = Some(cluster);
            role.take(Lead {
                term: record.term,
                version,
            });
        }
        drop(replica);
        self.shared.metrics.lock().terms += 1;
        self.store.do_send(TakePart(true));
        // Starts wait for a read that is newer than the election.
        self.shared.wake_reader.notify_one();
        self.shared.wake_round.notify_one();
    }

    async fn renew(&self) -> Duration {
        let Some(lease) = self.shared.role.lock().lease else {
            return PAUSE;
        };
        let due = lease.renewed + RENEW_EVERY;
        let early = due.saturating_duration_since(Instant::now());
        if !early.is_zero() {
            return early;
        }
        let sent = Instant::now();
        match self.client.renew(lease.id, RENEWAL_LIMIT).await {
            Ok(()) => {
                self.shared.store_answered(sent);
                self.shared.role.lock().renewed(sent);
                // After a gap the lease may last again, but the replica is old.
                if self.shared.role.lock().wants_proof(Instant::now()) {
                    self.shared.wake_reader.notify_one();
                }
                RENEW_EVERY.saturating_sub(sent.elapsed())
            }
            Err(StoreError::LeaseOver) => {
                warn!("our lease is over");
                self.step_down();
                PAUSE
            }
            Err(error) => {
                debug!(%error, "renewal failed");
                if error.contact_lost() {
                    self.shared.store_failed();
                }
                PAUSE
            }
        }
    }

    fn step_down(&self) {
        {
            let mut role = self.shared.role.lock();
            role.lease = None;
            role.drop_lead();
            *self.shared.cluster.lock() = None;
        }
        self.store.do_send(TakePart(false));
    }

    /// Gives up a lease that brought nothing.
    async fn leave_lease(&self) {
        let lease = {
            let mut role = self.shared.role.lock();
            role.drop_lead();
            *self.shared.cluster.lock() = None;
            role.lease.take()
        };
        if let Some(lease) = lease {
            self.store.do_send(TakePart(false));
            // It would end by itself; this only frees it sooner.
            let _ = self.client.end(lease.id).await;
        }
    }

    /// Nobody leads: try to.
    async fn seek(&self) -> Duration {
        self.leave_lease().await;
        if self.shared.catalog.lock().is_none() {
            // A leader without machine types could do nothing; let another one try first.
            return RENEW_EVERY;
        }
        if self.shared.role.lock().stands_back(Instant::now()) {
            return RENEW_EVERY;
        }
        let jitter = rand::rng().random_range(0.0..1.0);
        let sent = Instant::now();
        let id = match self.client.grant(LEASE).await {
            Ok(id) => id,
            Err(error) => {
                debug!(%error, "no lease to be had");
                if error.contact_lost() {
                    self.shared.store_failed();
                }
                return PAUSE + PAUSE.mul_f64(jitter);
            }
        };
        self.shared.role.lock().lease = Some(OwnLease { id, renewed: sent });
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
        let group = Group {
            when: vec![
                Condition::new(keys::LEADER, 0),
                Condition::new(keys::TERM, term_version),
            ],
            apply: vec![
                Change::Put {
                    key: keys::LEADER.to_owned(),
                    value: to_value(&record),
                    lease: Some(id),
                },
                Change::put(keys::TERM, to_value(&TermRecord { term })),
            ],
        };
        let outcome = self.store.send(Commit(group, Urgency::Lead)).await;
        debug!(term = term.0, ?outcome, "sought the lead");
        match outcome {
            Ok(crate::store::Outcome::Committed(revision)) => {
                // The records show it in a moment, and with it all that was written before.
                let mut changed = self.shared.revision.subscribe();
                let shown = changed.wait_for(|reached| *reached >= revision);
                let _ = actix::clock::timeout(SHOWS_WITHIN, shown).await;
                Duration::ZERO
            }
            Ok(crate::store::Outcome::Conflict { .. }) => {
                // Another one was faster; the records will show who.
                PAUSE + PAUSE.mul_f64(jitter)
            }
            _ => PAUSE + PAUSE.mul_f64(jitter),
        }
    }
}
