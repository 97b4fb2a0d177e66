//! Renewals of the leader's lease.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::Addr;
use knotlanding_links::table::StoreOperation;
use tracing::{debug, warn};

use super::{end_leadership, Election, RETRY_DELAY};
use crate::service::Shared;
use crate::store::actor::{SetLeading, StoreActor};
use crate::store::StoreError;

/// Maximum number of renewals in flight. A renewal without a response does not delay the next one, and a
/// renewal counts from the time at which it was sent, even if its response is handled late.
const RENEWALS_IN_FLIGHT_MAX: usize = 3;

/// When the next renewal of a lease is due.
#[derive(Debug, Clone, Copy)]
struct NextRenewal {
    lease: u64,
    due_at: Instant,
}

/// The renewals of this process, shared with the tasks that await their responses.
#[derive(Debug, Clone, Default)]
pub(super) struct LeaseRenewals {
    in_flight: Rc<Cell<usize>>,
    next: Rc<Cell<Option<NextRenewal>>>,
}

impl LeaseRenewals {
    /// When the next renewal of a lease is due; `None` before its first renewal.
    fn next_due_at(&self, lease: u64) -> Option<Instant> {
        let next = self.next.get().filter(|next| next.lease == lease);
        next.map(|next| next.due_at)
    }

    fn schedule(&self, lease: u64, due_at: Instant) {
        self.next.set(Some(NextRenewal { lease, due_at }));
    }
}

impl Election {
    /// Sends a renewal if one is due. Returns the time until the next step.
    pub(super) fn renew_lease(&self) -> Duration {
        let Some(lease) = self.shared.election.lock().lease() else {
            return RETRY_DELAY;
        };
        let now = Instant::now();
        let due_at = self.renewals.next_due_at(lease.id());
        let due_at = due_at.unwrap_or(lease.renewal_sent_at() + self.renewal_interval);
        let remaining = due_at.saturating_duration_since(now);
        if !remaining.is_zero() {
            return remaining;
        }
        if self.renewals.in_flight.get() >= RENEWALS_IN_FLIGHT_MAX {
            return RETRY_DELAY;
        }
        self.renewals
            .schedule(lease.id(), now + self.renewal_interval);
        self.send_renewal(lease.id());
        self.renewal_interval
    }

    fn send_renewal(&self, lease: u64) {
        let renewals = self.renewals.clone();
        renewals.in_flight.set(renewals.in_flight.get() + 1);
        let (shared, store) = (self.shared.clone(), self.store.clone());
        let (client, leader_lease) = (self.client.clone(), self.leader_lease);
        actix::spawn(async move {
            let sent_at = Instant::now();
            let outcome = client.renew(lease, leader_lease).await;
            renewals.in_flight.set(renewals.in_flight.get() - 1);
            if outcome.is_err() {
                renewals.schedule(lease, Instant::now() + RETRY_DELAY);
            }
            handle_renewal(&shared, &store, lease, sent_at, outcome);
        });
    }
}

/// Applies the outcome of a renewal that was sent at `sent_at`.
fn handle_renewal(
    shared: &Arc<Shared>,
    store: &Addr<StoreActor>,
    lease: u64,
    sent_at: Instant,
    outcome: Result<(), StoreError>,
) {
    match outcome {
        Ok(()) => {
            shared.store_answered(StoreOperation::Lease, sent_at);
            shared.election.lock().lease_renewed(lease, sent_at);
            // After a gap in the renewals the lease may be valid again while the replica is stale.
            if shared.election.lock().needs_confirming_read(Instant::now()) {
                shared.replica.request_read();
            }
        }
        Err(StoreError::LeaseExpired) => {
            if shared.election.lock().holds_lease(lease) {
                warn!(lease, "leader lease expired");
                end_leadership(shared);
                store.do_send(SetLeading(false));
            }
            shared.wake_ups.election.notify_one();
        }
        Err(error) => {
            debug!(%error, "lease renewal failed");
            if error.shows_outage() {
                shared.store_failed(StoreOperation::Lease, sent_at);
            }
            shared.wake_ups.election.notify_one();
        }
    }
}
