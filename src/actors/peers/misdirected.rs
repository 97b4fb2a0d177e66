//! Records misdirected heartbeats in the key-value store while no summaries of the leader arrive.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Addr;
use knotlanding_links::misdirected::SIGNIFICANT_MISDIRECTED_INCREASE;

use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, MisdirectedRecord};
use crate::store::{Transaction, WritePriority};

/// Misdirected heartbeats are recorded in the key-value store when no summary of a leader has arrived for
/// this long. A leader that reaches the store reads the record there.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest time between two such records of one controller, so that all controllers together cost one
/// or two writes per second.
const RECORD_INTERVAL_MIN: Duration = Duration::from_millis(2500);

/// Records the count of misdirected heartbeats. If the agents do not reach the leader while the
/// controllers refuse each other's connections, the leader would otherwise keep a leadership that
/// serves no agent.
pub(super) struct MisdirectedRecorder {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    /// The count that was recorded last, or the count when a summary of the leader last arrived.
    recorded_count: u64,
    recorded_at: Instant,
}

impl MisdirectedRecorder {
    pub(super) fn new(shared: Arc<Shared>, store: Addr<StoreActor>, now: Instant) -> Self {
        Self {
            shared,
            store,
            recorded_count: 0,
            recorded_at: now,
        }
    }

    /// Records the count if many heartbeats were misdirected since the last record and another record
    /// is due.
    pub(super) fn record(&mut self, now: Instant) {
        let count = self.shared.forwarding.misdirected();
        if !self.summaries_missing(now) {
            self.recorded_count = count;
            return;
        }
        if !self.is_due(count, now) {
            return;
        }
        self.recorded_count = count;
        self.recorded_at = now;
        self.write(count);
    }

    fn summaries_missing(&self, now: Instant) -> bool {
        let last_summary_at = self.shared.links.last_summary_at();
        last_summary_at.is_none_or(|at| now.saturating_duration_since(at) > SUMMARY_TIMEOUT)
    }

    fn is_due(&self, count: u64, now: Instant) -> bool {
        let is_leader = self.shared.election.lock().own_term().is_some();
        let leader_known = self.shared.replica.lock().leader.is_some();
        let is_significant = count >= self.recorded_count + SIGNIFICANT_MISDIRECTED_INCREASE;
        let interval_elapsed =
            now.saturating_duration_since(self.recorded_at) >= RECORD_INTERVAL_MIN;
        !is_leader && leader_known && is_significant && interval_elapsed
    }

    fn write(&self, count: u64) {
        let member = &self.shared.settings.member;
        let version = self.shared.replica.lock().misdirected_version(member);
        let record = MisdirectedRecord { count };
        // A write that is executed late must not replace a newer count: the next count would look as if
        // many heartbeats had been misdirected in between.
        let key = keys::misdirected(member);
        let transaction = Transaction::put_if_version(key, version, &record);
        // If the write is lost, the next record holds the same count or a higher one.
        self.store.do_send(Commit(transaction, WritePriority::High));
    }
}
