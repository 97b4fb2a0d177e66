//! Records misdirected heartbeats in the key-value store where the leader's summaries are missing.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Addr;
use knotlanding_links::misdirected::SIGNIFICANT_MISDIRECTED_INCREASE;

use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, MisdirectedRecord};
use crate::store::{to_value, Change, Condition, Transaction, WritePriority};

/// How long summaries of a leader have to be missing before misdirected heartbeats are recorded in the
/// key-value store, which a leader that is not cut off from it still reads.
const SUMMARIES_MISSING_AFTER: Duration = Duration::from_secs(3);
/// Time between two such records of one node, so that all of them together cost a write or two a
/// second.
const RECORD_INTERVAL: Duration = Duration::from_millis(2500);

/// Records the count of misdirected heartbeats: the leader may have lost its agents while the nodes
/// refuse each other's connections, and would keep a leadership that serves nobody.
pub(super) struct MisdirectedRecorder {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    /// The count from which on new misdirected heartbeats are counted.
    recorded: u64,
    recorded_at: Instant,
}

impl MisdirectedRecorder {
    pub(super) fn new(shared: Arc<Shared>, store: Addr<StoreActor>, now: Instant) -> Self {
        Self {
            shared,
            store,
            recorded: 0,
            recorded_at: now,
        }
    }

    /// Records the count, if it is due.
    pub(super) fn record(&mut self, now: Instant) {
        let count = self.shared.forwarding.misdirected();
        if !self.summaries_missing(now) {
            self.recorded = count;
            return;
        }
        if !self.is_due(count, now) {
            return;
        }
        self.recorded = count;
        self.recorded_at = now;
        self.write(count);
    }

    fn summaries_missing(&self, now: Instant) -> bool {
        let last = self.shared.links.last_summary();
        last.is_none_or(|at| now.saturating_duration_since(at) > SUMMARIES_MISSING_AFTER)
    }

    fn is_due(&self, count: u64, now: Instant) -> bool {
        let leads = self.shared.election.lock().own_term().is_some();
        let leader_known = self.shared.replica.lock().leader.is_some();
        let many = count >= self.recorded + SIGNIFICANT_MISDIRECTED_INCREASE;
        let elapsed = now.saturating_duration_since(self.recorded_at) >= RECORD_INTERVAL;
        !leads && leader_known && many && elapsed
    }

    fn write(&self, count: u64) {
        let member = &self.shared.settings.member;
        let version = self.shared.replica.lock().misdirected_version(member);
        let key = keys::misdirected(member);
        let record = to_value(&MisdirectedRecord { count });
        let transaction = Transaction {
            // One that is carried out late must not replace a newer count: the next one would look as
            // if many heartbeats had come in between.
            conditions: vec![Condition::new(key.clone(), version)],
            changes: vec![Change::put(key, record)],
        };
        // Should it be lost, the next record has the same count or a higher one.
        self.store.do_send(Commit(transaction, WritePriority::High));
    }
}
