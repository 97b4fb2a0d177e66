//! The campaign for leadership, when the replica shows no leader.

use std::time::{Duration, Instant};

use actix::MailboxError;
use knotlanding_links::table::StoreOperation;
use rand::Rng;
use tracing::debug;

use super::{Election, RETRY_DELAY};
use crate::model::Term;
use crate::store::actor::Commit;
use crate::store::election::NextTerm;
use crate::store::keys::LeaderRecord;
use crate::store::{TransactionOutcome, WritePriority};

/// Longest wait for the replica to show the record of a won election.
const REPLICA_DELAY_MAX: Duration = Duration::from_millis(1500);

impl Election {
    /// Campaigns once: acquires a lease, then commits a transaction that succeeds only if there is no
    /// leader. Returns the time until the next step.
    pub(super) async fn campaign(&self) -> Duration {
        self.relinquish_lease().await;
        if let Some(delay) = self.campaign_delay() {
            return delay;
        }
        let retry_delay = randomized_retry_delay();
        let Some(lease) = self.acquire_lease().await else {
            return retry_delay;
        };
        let outcome = self.commit_election(lease).await;
        let Ok(TransactionOutcome::Committed(revision)) = outcome else {
            // After a conflict, the replica will show which controller was elected.
            return retry_delay;
        };
        // A replica that shows the record also shows everything that was written before it.
        let mut replica_revision = self.shared.replica.subscribe();
        let shown = replica_revision.wait_for(|current| *current >= revision);
        let _ = actix::clock::timeout(REPLICA_DELAY_MAX, shown).await;
        Duration::ZERO
    }

    /// The time until the next step, if this process should not campaign now.
    fn campaign_delay(&self) -> Option<Duration> {
        if self.shared.catalog.lock().is_none() {
            // A leader without the machine types cannot schedule; the other controllers campaign first.
            return Some(self.renewal_interval);
        }
        if self.shared.election.lock().in_backoff(Instant::now()) {
            return Some(self.renewal_interval);
        }
        self.yields_to_better_connected().then_some(RETRY_DELAY)
    }

    /// Whether this process leaves the election to a better connected controller. It does so for one
    /// renewal interval at most, in case the other controller does not campaign.
    fn yields_to_better_connected(&self) -> bool {
        let now = Instant::now();
        let first_considered_at = self.no_leader_since.get().unwrap_or(now);
        self.no_leader_since.set(Some(first_considered_at));
        if now.saturating_duration_since(first_considered_at) >= self.renewal_interval {
            return false;
        }
        let links = self.shared.links.active();
        links.is_some_and(|links| links.should_yield(now))
    }

    async fn acquire_lease(&self) -> Option<u64> {
        let sent_at = Instant::now();
        match self.client.grant(self.leader_lease).await {
            Ok(id) => {
                self.shared.election.lock().hold_lease(id, sent_at);
                Some(id)
            }
            Err(error) => {
                debug!(%error, "lease not granted");
                if error.shows_outage() {
                    self.shared.store_failed(StoreOperation::Lease, sent_at);
                }
                None
            }
        }
    }

    /// Writes the leader's record and the next term, on the conditions that there is no leader and that no
    /// other controller has used that term.
    async fn commit_election(&self, lease: u64) -> Result<TransactionOutcome, MailboxError> {
        let next_term = NextTerm::of_replica(&self.shared.replica.lock());
        let term = next_term.term;
        let transaction = next_term.election(&self.own_record(term, lease));
        let commit = Commit(transaction, WritePriority::Election);
        let outcome = self.store.send(commit).await;
        debug!(term = term.0, ?outcome, "campaigning for leadership");
        outcome
    }

    fn own_record(&self, term: Term, lease: u64) -> LeaderRecord {
        let settings = &self.shared.settings;
        LeaderRecord {
            member: settings.member.clone(),
            address: settings.public_addr.to_string(),
            term,
            lease,
        }
    }
}

/// A random delay, so that controllers that campaigned at the same time do not campaign at the same time
/// again.
fn randomized_retry_delay() -> Duration {
    let jitter = rand::rng().random_range(0.0..1.0);
    RETRY_DELAY + RETRY_DELAY.mul_f64(jitter)
}
