//! The requests by which the scaling loop rents and releases machines.

use std::time::Instant;

use tracing::{info, warn};

use super::ScalingLoop;
use crate::fleet::client::CloudError;
use crate::fleet::outstanding::{OutstandingRental, RequestId, RequestOutcome};
use crate::fleet::RentalDecision;

/// The outcome of a rental request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RentalOutcome {
    /// All machines of the request were rented.
    Complete,
    /// Fewer machines than requested were rented, or none.
    NoCapacity,
    /// The request was not sent, or failed for a reason other than capacity.
    Failed(RequestOutcome),
}

impl RentalOutcome {
    fn of_request(self) -> RequestOutcome {
        match self {
            Self::Complete | Self::NoCapacity => RequestOutcome::Completed,
            Self::Failed(outcome) => outcome,
        }
    }
}

impl ScalingLoop {
    /// Repeats the requests whose outcome is unknown.
    pub(super) async fn repeat_requests(&mut self) {
        let rentals = self.requests.rentals();
        let rentals: Vec<_> = rentals.map(|(id, rental)| (id, rental.clone())).collect();
        for (id, rental) in rentals {
            self.send_rental(id, &rental).await;
        }
        let releases: Vec<RequestId> = self.requests.releases().map(|(id, _)| id).collect();
        for id in releases {
            self.send_release(id).await;
        }
    }

    /// Rents machines in as many requests as needed, until one is not fulfilled. Returns whether the
    /// pool had too little capacity.
    pub(super) async fn rent(&mut self, decision: RentalDecision) -> bool {
        let RentalDecision { pool, count } = decision;
        let mut remaining = count;
        while remaining > 0 && self.still_leads_term() {
            let (id, rental) = self.requests.add_rental(&pool, remaining);
            remaining -= rental.request.count;
            match self.send_rental(id, &rental).await {
                RentalOutcome::Complete => {}
                RentalOutcome::NoCapacity => return true,
                RentalOutcome::Failed(_) => return false,
            }
        }
        false
    }

    async fn send_rental(&mut self, id: RequestId, rental: &OutstandingRental) -> RentalOutcome {
        self.wait_for_rate_limit().await;
        let outcome = if self.still_leads_term() {
            let response = self.cloud.rent(&rental.request).await;
            self.rental_outcome(rental, response)
        } else {
            RentalOutcome::Failed(RequestOutcome::NotExecuted)
        };
        self.requests.apply_rental_outcome(id, outcome.of_request());
        outcome
    }

    /// Applies the cloud's response to a rental.
    fn rental_outcome(
        &mut self,
        rental: &OutstandingRental,
        response: Result<Vec<String>, CloudError>,
    ) -> RentalOutcome {
        let OutstandingRental { request, pool, .. } = rental;
        match response {
            Ok(names) => self.machines_rented(&names, rental),
            Err(CloudError::NoCapacity) => {
                info!(machine_type = %pool.machine_type, zone = %pool.zone, spot = pool.spot, "no capacity in pool");
                self.capacity_backoff.record_exhausted(pool, Instant::now());
                RentalOutcome::NoCapacity
            }
            Err(error) => {
                let outcome = RequestOutcome::of_error(&error);
                match outcome {
                    RequestOutcome::Unknown => {
                        warn!(%error, request = %request.request, "rental outcome unknown");
                    }
                    _ => info!(%error, request = %request.request, "rental refused"),
                }
                RentalOutcome::Failed(outcome)
            }
        }
    }

    fn machines_rented(&mut self, names: &[String], rental: &OutstandingRental) -> RentalOutcome {
        let OutstandingRental { request, pool, .. } = rental;
        let now = Instant::now();
        info!(
            request = %request.request,
            machine_type = %request.machine_type,
            zone = %request.zone,
            spot = request.spot,
            requested = request.count,
            rented = names.len(),
            "machines rented"
        );
        let complete = names.len() as u32 >= request.count;
        if !complete {
            self.capacity_backoff.record_exhausted(pool, now);
        }
        self.shared.metrics.lock().counts.rented += names.len() as u64;
        if let Some(cluster) = self.shared.cluster.lock().as_mut() {
            cluster.add_rented_machines(names, pool, now);
        }
        if complete {
            RentalOutcome::Complete
        } else {
            RentalOutcome::NoCapacity
        }
    }

    /// Sends the releases that this cycle has decided on. What is not sent, since the leadership was interrupted,
    /// is withdrawn before the next cycle.
    pub(super) async fn send_new_releases(&mut self) {
        let releases = self.requests.releases();
        let unsent = releases.filter(|(_, release)| !release.maybe_executed);
        let unsent: Vec<RequestId> = unsent.map(|(id, _)| id).collect();
        for id in unsent {
            self.send_release(id).await;
        }
    }

    async fn send_release(&mut self, id: RequestId) {
        self.wait_for_rate_limit().await;
        let Some(release) = self.requests.release(id).cloned() else {
            return;
        };
        if !self.still_leads_term() {
            return;
        }
        let (machines, reason) = (&release.machines, release.reason);
        let outcome = match self.cloud.release(machines).await {
            Ok(()) => {
                info!(?machines, %reason, "machines released");
                self.shared.metrics.lock().counts.returned += machines.len() as u64;
                self.shared.machines_released(machines);
                RequestOutcome::Completed
            }
            Err(error) => {
                let outcome = RequestOutcome::of_error(&error);
                match outcome {
                    RequestOutcome::Unknown => {
                        warn!(%error, ?machines, %reason, "release outcome unknown");
                    }
                    _ => info!(%error, ?machines, %reason, "release refused"),
                }
                outcome
            }
        };
        let mut guard = self.shared.cluster.lock();
        let cluster = guard
            .as_mut()
            .filter(|cluster| cluster.term == self.requests.term());
        self.requests.apply_release_outcome(id, outcome, cluster);
    }
}
