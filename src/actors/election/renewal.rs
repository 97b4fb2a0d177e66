//! Renewals of the lease.

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

/// Renewals in flight. One without a response delays no other, and a response that is handled late
/// still counts from the sending of its renewal.
const RENEWALS_IN_FLIGHT_MAX: usize = 3;

/// When which lease is due for its next renewal.
#[derive(Debug, Clone, Copy)]
struct NextRenewal {
    lease: u64,
    due: Instant,
}

/// The renewals of a process.
#[derive(Debug, Clone, Default)]
pub(super) struct LeaseRenewals {
    in_flight: Rc<Cell<usize>>,
    next: Rc<Cell<Option<NextRenewal>>>,
}

impl LeaseRenewals {
    /// When the next renewal of a lease is due, if one was sent already.
    fn due(&self, lease: u64) -> Option<Instant> {
        let next = self.next.get().filter(|next| next.lease == lease);
        next.map(|next| next.due)
    }

    fn schedule(&self, lease: u64, due: Instant) {
        self.next.set(Some(NextRenewal { lease, due }));
    }
}

impl Election {
    /// Sends a renewal if one is due. Returns when the next step is due.
    pub(super) fn renew_lease(&self) -> Duration {
        let Some(lease) = self.shared.election.lock().lease() else {
            return RETRY_DELAY;
        };
        let now = Instant::now();
        let due = self.renewals.due(lease.id());
        let due = due.unwrap_or(lease.renewal_sent_at() + self.renewal_interval);
        let early = due.saturating_duration_since(now);
        if !early.is_zero() {
            return early;
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
        let (client, timeout) = (self.client.clone(), self.leader_lease);
        actix::spawn(async move {
            let sent = Instant::now();
            let outcome = client.renew(lease, timeout).await;
            renewals.in_flight.set(renewals.in_flight.get() - 1);
            if outcome.is_err() {
                renewals.schedule(lease, Instant::now() + RETRY_DELAY);
            }
            handle_renewal(&shared, &store, lease, sent, outcome);
        });
    }
}

/// Handles the outcome of a renewal.
fn handle_renewal(
    shared: &Arc<Shared>,
    store: &Addr<StoreActor>,
    lease: u64,
    sent: Instant,
    outcome: Result<(), StoreError>,
) {
    match outcome {
        Ok(()) => {
            shared.store_answered(StoreOperation::Lease, sent);
            shared.election.lock().lease_renewed(lease, sent);
            // After a gap in the renewals the lease may last again, while the replica is stale.
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
                shared.store_failed(StoreOperation::Lease, sent);
            }
            shared.wake_ups.election.notify_one();
        }
    }
}
