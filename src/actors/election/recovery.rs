//! Recovery of the cluster state at the start of a term.

use std::time::{Instant, SystemTime};

use tracing::{debug, info};

use super::Election;
use crate::cluster::Cluster;
use crate::leader::Leadership;
use crate::store::actor::SetLeading;
use crate::store::keys::LeaderRecord;

impl Election {
    /// Recovers the cluster state from the replica and begins to lead under `record`, whose version in the
    /// key-value store is `version`.
    pub(super) fn recover(&self, record: &LeaderRecord, version: u64) {
        let Some(catalog) = self.shared.catalog.lock().clone() else {
            debug!("recovery waits for the machine types");
            return;
        };
        let now = Instant::now();
        let replica = self.shared.replica.lock();
        // The watch runs on another thread and may have replaced the record since the caller read it.
        let current = replica.leader.as_ref();
        if current.is_none_or(|leader| leader.version != version) {
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
        cluster.adopt_summary(&self.shared.summary_cache.lock());
        info!(
            term = record.term.0,
            jobs = cluster.jobs.len(),
            unreconciled = cluster.unreconciled.len(),
            "became leader"
        );
        {
            let mut election = self.shared.election.lock();
            *self.shared.cluster.lock() = Some(cluster);
            election.become_leader(Leadership {
                term: record.term,
                version,
            });
        }
        drop(replica);
        self.shared.metrics.lock().counts.terms += 1;
        self.store.do_send(SetLeading(true));
        // Starts are allowed only after a read that was sent after the election.
        self.shared.replica.request_read();
        self.shared.wake_ups.scheduler.notify_one();
    }
}
