//! What follows from requests to the key-value store and from changes of the replica.

use std::time::{Instant, SystemTime};

use knotlanding_links::table::StoreOperation;
use tracing::warn;

use super::operator::OperatorSettings;
use super::Shared;
use crate::store::from_value;
use crate::store::observer::StoreObserver;
use crate::store::replica::{Replica, ReplicaChange};

impl Shared {
    /// A request sent at `sent` was answered by the key-value store.
    pub fn store_answered(&self, operation: StoreOperation, sent: Instant) {
        self.links.store_answered(operation, sent, Instant::now());
    }

    /// A request sent at `sent` to the key-value store failed.
    pub fn store_failed(&self, operation: StoreOperation, sent: Instant) {
        let now = Instant::now();
        let leads = {
            let mut election = self.election.lock();
            election.freshness().invalidate(now);
            election.own_term().is_some()
        };
        self.links.store_failed(operation, sent, now);
        if leads {
            self.replica.request_read();
        }
    }

    /// The replica and the cluster state have all that was confirmed before `sent`.
    pub fn replica_complete(&self, sent: Instant) {
        self.election.lock().freshness().confirm(sent);
    }

    /// The replica has taken these changes.
    pub fn replica_changed(&self, changes: &[ReplicaChange]) {
        self.replica_changed_at(changes, Instant::now(), SystemTime::now());
    }

    /// The same at a given time, for those who keep their own clocks.
    pub fn replica_changed_at(&self, changes: &[ReplicaChange], now: Instant, wall: SystemTime) {
        let replica = self.replica.lock();
        let mut leader_changed = false;
        let mut jobs_changed = false;
        for change in changes {
            match change {
                ReplicaChange::Leader => leader_changed = true,
                ReplicaChange::Settings => self.operator_settings_changed(&replica),
                ReplicaChange::Misdirected(member, count) => {
                    self.links.misdirected_counted(member, *count, now);
                }
                ReplicaChange::Job(id) => {
                    jobs_changed = true;
                    if let Some(cluster) = self.cluster.lock().as_mut() {
                        cluster.sync_job(id, &replica, now, wall, false);
                    }
                }
            }
        }
        if leader_changed {
            self.leader_changed(&replica);
        }
        drop(replica);
        if jobs_changed {
            self.wake_ups.scheduler.notify_one();
        }
    }

    fn operator_settings_changed(&self, replica: &Replica) {
        let read = replica.settings.record.as_ref().and_then(from_value);
        let settings: OperatorSettings = read.unwrap_or_default();
        *self.operator.lock() = settings;
    }

    fn leader_changed(&self, replica: &Replica) {
        let record = replica.leader.as_ref().map(|leader| &leader.record);
        let (term, lost) = {
            let mut election = self.election.lock();
            (election.own_term(), election.observe_leader_record(record))
        };
        if lost {
            warn!(term = term.map(|term| term.0), "leadership lost");
            *self.cluster.lock() = None;
        }
        self.wake_ups.election.notify_one();
    }
}

impl StoreObserver for Shared {
    fn request_answered(&self, operation: StoreOperation, sent: Instant) {
        self.store_answered(operation, sent);
    }

    fn request_failed(&self, operation: StoreOperation, sent: Instant) {
        self.store_failed(operation, sent);
    }

    fn events_received(&self, count: usize) {
        self.metrics.lock().counts.replica_events += count as u64;
    }

    fn replica_changed(&self, changes: &[ReplicaChange]) {
        Shared::replica_changed(self, changes);
    }

    fn replica_confirmed(&self, sent: Instant) {
        self.replica_complete(sent);
    }

    fn needs_confirming_read(&self, now: Instant) -> bool {
        self.election.lock().needs_confirming_read(now)
    }

    fn leads(&self) -> bool {
        self.election.lock().own_term().is_some()
    }
}
