//! Requests to the cloud whose outcome is not known yet.
//!
//! The decision to release machines changes the cluster state before the request is sent: the machines get no new
//! tasks. Each machine with this mark belongs to one outstanding release, and the mark ends with that release:
//!
//! | request | release and mark |
//! | --- | --- |
//! | confirmed | end; the machines are gone |
//! | not sent, since the scaling cycle ended early | withdrawn before the next cycle, which decides anew |
//! | refused, and never without a response before | withdrawn |
//! | without a response | stay, since the cloud may execute the request late; it is repeated until confirmed |
//! | refused after one without a response | stay: only the repetition was certainly not executed |
//! | rejected for its content | withdrawn |
//!
//! Rentals leave no mark. One without a response is repeated under its idempotency key until the cloud responds to it
//! other than by a refusal, so that its machines are known then. Until then they count as rented: demand must not be rented
//! for again under another key.
//!
//! Requests stay outstanding while the leadership is interrupted, and are dropped with the cluster state of their
//! term.

use std::collections::BTreeMap;

use super::client::CloudError;
use super::{ReleaseReason, RENTAL_SIZE_MAX};
use crate::cluster::Cluster;
use crate::model::{MachineId, MachinePool, Term};
use crate::wire::RentalRequest;

/// The HTTP status above the rate limit.
const TOO_MANY_REQUESTS: u16 = 429;
/// The HTTP status codes by which the cloud rejects the content of a request, but for the one above.
const CLIENT_ERRORS: std::ops::Range<u16> = 400..500;

/// The number of an outstanding request. Requests are sent in the order of their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(u64);

/// What is known about a request after an attempt to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The cloud executed it as far as it can.
    Completed,
    /// The cloud rejects its content, so that no attempt of it is ever executed.
    Rejected,
    /// This attempt was certainly not executed, as during an outage of the cloud or above its rate limit.
    NotExecuted,
    /// No response arrived. The cloud may have executed it, or may still do so.
    Unknown,
}

impl RequestOutcome {
    /// The outcome of an attempt that failed with this error.
    pub fn of_error(error: &CloudError) -> Self {
        match error {
            CloudError::NoCapacity => Self::Completed,
            CloudError::Refused(TOO_MANY_REQUESTS) => Self::NotExecuted,
            CloudError::Refused(status) if CLIENT_ERRORS.contains(status) => Self::Rejected,
            CloudError::Refused(_) => Self::NotExecuted,
            CloudError::OutcomeUnknown | CloudError::Undecodable(_) => Self::Unknown,
        }
    }
}

/// A release that the cloud has not confirmed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutstandingRelease {
    /// The machines to release, which get no new tasks.
    pub machines: Vec<MachineId>,
    /// Why they are released.
    pub reason: ReleaseReason,
    /// Whether an attempt got no response, so that the cloud may still execute it.
    pub maybe_executed: bool,
}

/// A rental of which it is not known which machines it rents.
#[derive(Debug, Clone)]
pub struct OutstandingRental {
    /// The request, which is repeated under the same idempotency key.
    pub request: RentalRequest,
    /// The pool of the machines.
    pub pool: MachinePool,
    /// Whether an attempt got no response, so that the cloud may still execute it.
    pub maybe_executed: bool,
}

/// The outstanding requests of one term.
#[derive(Debug, Default)]
pub struct OutstandingRequests {
    term: Term,
    /// The requests numbered so far by this process, in all terms.
    requests_numbered: u64,
    rentals: BTreeMap<RequestId, OutstandingRental>,
    releases: BTreeMap<RequestId, OutstandingRelease>,
}

impl OutstandingRequests {
    /// The term whose requests these are.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Drops the requests of another term, whose cluster state is gone. Returns whether the term is new.
    pub fn enter_term(&mut self, term: Term) -> bool {
        if term == self.term {
            return false;
        }
        self.term = term;
        self.rentals.clear();
        self.releases.clear();
        true
    }

    fn next_id(&mut self) -> RequestId {
        self.requests_numbered += 1;
        RequestId(self.requests_numbered)
    }

    /// Adds a release that is to be sent in this cycle, and marks its machines.
    pub fn add_release(
        &mut self,
        cluster: &mut Cluster,
        machines: Vec<MachineId>,
        reason: ReleaseReason,
    ) -> RequestId {
        cluster.set_releasing(&machines, true);
        let id = self.next_id();
        let release = OutstandingRelease {
            machines,
            reason,
            maybe_executed: false,
        };
        self.releases.insert(id, release);
        id
    }

    /// All outstanding releases.
    pub fn releases(&self) -> impl Iterator<Item = (RequestId, &OutstandingRelease)> {
        self.releases.iter().map(|(id, release)| (*id, release))
    }

    /// An outstanding release; `None` if it has ended.
    pub fn release(&self, id: RequestId) -> Option<&OutstandingRelease> {
        self.releases.get(&id)
    }

    /// Withdraws the releases that no attempt was made to send, and returns them. Called before a cycle, so that
    /// what an earlier one left unsent is decided anew. `cluster` is the state of this term, if there is one.
    pub fn withdraw_unsent(&mut self, cluster: Option<&mut Cluster>) -> Vec<OutstandingRelease> {
        let (sent, unsent): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.releases)
            .into_iter()
            .partition(|(_, release)| release.maybe_executed);
        self.releases = sent;
        if let Some(cluster) = cluster {
            for release in unsent.values() {
                cluster.set_releasing(&release.machines, false);
            }
        }
        unsent.into_values().collect()
    }

    /// Applies the outcome of an attempt to send a release. `cluster` is the state of this term, if there is one.
    pub fn apply_release_outcome(
        &mut self,
        id: RequestId,
        outcome: RequestOutcome,
        cluster: Option<&mut Cluster>,
    ) {
        let Some(release) = self.releases.get_mut(&id) else {
            return;
        };
        match outcome {
            RequestOutcome::Unknown => release.maybe_executed = true,
            RequestOutcome::NotExecuted if release.maybe_executed => {}
            RequestOutcome::NotExecuted | RequestOutcome::Rejected => {
                if let Some(cluster) = cluster {
                    cluster.set_releasing(&release.machines, false);
                }
                self.releases.remove(&id);
            }
            RequestOutcome::Completed => {
                self.releases.remove(&id);
            }
        }
    }

    /// Adds a rental of machines of the pool, at most as many as fit one request, and returns it.
    pub fn add_rental(&mut self, pool: &MachinePool, count: u32) -> (RequestId, OutstandingRental) {
        let id = self.next_id();
        let request = RentalRequest {
            // The key is unique, since a term has one leader and the leader numbers its requests.
            request: format!("kl-{}-{}", self.term.0, id.0),
            machine_type: pool.machine_type.clone(),
            zone: pool.zone.clone(),
            spot: pool.spot,
            count: count.min(RENTAL_SIZE_MAX),
        };
        let rental = OutstandingRental {
            request,
            pool: pool.clone(),
            maybe_executed: false,
        };
        self.rentals.insert(id, rental.clone());
        (id, rental)
    }

    /// All outstanding rentals.
    pub fn rentals(&self) -> impl Iterator<Item = (RequestId, &OutstandingRental)> {
        self.rentals.iter().map(|(id, rental)| (*id, rental))
    }

    /// The number of machines of the pool that outstanding rentals ask for, which may have been rented already.
    pub fn machines_requested(&self, pool: &MachinePool) -> u32 {
        let of_pool = self.rentals.values().filter(|rental| rental.pool == *pool);
        of_pool.map(|rental| rental.request.count).sum()
    }

    /// Applies the outcome of an attempt to send a rental.
    pub fn apply_rental_outcome(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(rental) = self.rentals.get_mut(&id) else {
            return;
        };
        match outcome {
            RequestOutcome::Unknown => rental.maybe_executed = true,
            RequestOutcome::NotExecuted if rental.maybe_executed => {}
            RequestOutcome::NotExecuted | RequestOutcome::Rejected | RequestOutcome::Completed => {
                self.rentals.remove(&id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
