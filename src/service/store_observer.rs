//! Updates of the shared state after requests to the key-value store and after changes of the replica.

use std::time::{Instant, SystemTime};

use knotlanding_links::misdirected::CountSource;
use knotlanding_links::table::StoreOperation;
use tracing::warn;

use super::operator::OperatorSettings;
use super::Shared;
use crate::store::observer::StoreObserver;
use crate::store::replica::{Replica, ReplicaChange};

impl Shared {
    /// Records that the key-value store responded to a request sent at `sent_at`.
    pub fn store_answered(&self, operation: StoreOperation, sent_at: Instant) {
        self.links
            .store_answered(operation, sent_at, Instant::now());
    }

    /// Records that a request to the key-value store, sent at `sent_at`, failed. The replica counts as
    /// stale until a read confirms it; a leader requests that read at once.
    pub fn store_failed(&self, operation: StoreOperation, sent_at: Instant) {
        let now = Instant::now();
        let leads = {
            let mut election = self.election.lock();
            election.freshness().invalidate(now);
            election.own_term().is_some()
        };
        self.links.store_failed(operation, sent_at, now);
        if leads {
            self.replica.request_read();
        }
    }

    /// Records that the replica and the cluster state contain everything that was confirmed before
    /// `sent_at`.
    pub fn replica_complete(&self, sent_at: Instant) {
        self.election.lock().freshness().confirm(sent_at);
    }

    /// Applies changes of the replica to the election, the cluster state, the operators' settings and
    /// the links.
    pub fn replica_changed(&self, changes: &[ReplicaChange]) {
        self.replica_changed_at(changes, Instant::now(), SystemTime::now());
    }

    /// Does the same as [`Self::replica_changed`] at a given time, for callers with clocks of their own.
    pub fn replica_changed_at(
        &self,
        changes: &[ReplicaChange],
        now: Instant,
        wall_time: SystemTime,
    ) {
        let replica = self.replica.lock();
        let mut leader_changed = false;
        let mut jobs_changed = false;
        for change in changes {
            match change {
                ReplicaChange::Leader => leader_changed = true,
                ReplicaChange::Settings => self.update_operator_settings(&replica),
                ReplicaChange::Misdirected(member, count) => {
                    let source = CountSource::Record;
                    self.links
                        .record_misdirected_count(member, source, *count, now);
                }
                ReplicaChange::Job(id) => {
                    jobs_changed = true;
                    if let Some(cluster) = self.cluster.lock().as_mut() {
                        cluster.sync_job(id, &replica, now, wall_time, false);
                    }
                }
            }
        }
        if leader_changed {
            self.update_election(&replica);
        }
        drop(replica);
        if jobs_changed {
            self.wake_ups.scheduler.notify_one();
        }
    }

    fn update_operator_settings(&self, replica: &Replica) {
        *self.operator.lock() = OperatorSettings::of_replica(replica);
    }

    fn update_election(&self, replica: &Replica) {
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
    fn request_answered(&self, operation: StoreOperation, sent_at: Instant) {
        self.store_answered(operation, sent_at);
    }

    fn request_failed(&self, operation: StoreOperation, sent_at: Instant) {
        self.store_failed(operation, sent_at);
    }

    fn events_received(&self, count: usize) {
        self.metrics.lock().counts.replica_events += count as u64;
    }

    fn replica_changed(&self, changes: &[ReplicaChange]) {
        Shared::replica_changed(self, changes);
    }

    fn replica_confirmed(&self, sent_at: Instant) {
        self.replica_complete(sent_at);
    }

    fn needs_confirming_read(&self, now: Instant) -> bool {
        self.election.lock().needs_confirming_read(now)
    }

    fn leads(&self) -> bool {
        self.election.lock().own_term().is_some()
    }
}
