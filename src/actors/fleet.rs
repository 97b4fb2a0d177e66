//! The scaling actor, which sends all requests to the cloud: it reads the catalog of machine types and the
//! list of machines, rents machines and releases them.

mod requests;

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, info};

use super::scheduler::SharedDemand;
use crate::cluster::Catalog;
use crate::fleet::client::CloudClient;
use crate::fleet::listing::MachineListing;
use crate::fleet::outstanding::{OutstandingRelease, OutstandingRequests};
use crate::fleet::{self, CapacityBackoff, CycleInput, RentalDecision};
use crate::rate_limit::TokenBucket;
use crate::service::Shared;
use crate::time::secs;

/// Time between two scaling cycles.
const SCALING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two readings of the catalog, whose spot prices change.
const CATALOG_INTERVAL: Duration = Duration::from_secs(60);
/// Fraction of the cloud's request rate limit that the leader uses.
const CLOUD_RATE_FRACTION: f64 = 0.7;
/// Time until the next scaling cycle after a rental for which there was too little capacity.
const CAPACITY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the scaling loop of this process; only the leader rents and releases machines.
pub struct FleetActor {
    shared: Arc<Shared>,
    cloud: CloudClient,
    unmet_demand: SharedDemand,
}

impl FleetActor {
    /// `unmet_demand` is written by the scheduling cycle and read by each scaling cycle.
    pub fn new(shared: Arc<Shared>, cloud: CloudClient, unmet_demand: SharedDemand) -> Self {
        Self {
            shared,
            cloud,
            unmet_demand,
        }
    }
}

impl Actor for FleetActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let rps = self.shared.settings.params.cloud.rps;
        let scaling = ScalingLoop {
            shared: self.shared.clone(),
            cloud: self.cloud.clone(),
            unmet_demand: self.unmet_demand.clone(),
            capacity_backoff: CapacityBackoff::default(),
            requests: OutstandingRequests::default(),
            catalog_read_at: None,
            listing: MachineListing::default(),
            request_budget: TokenBucket::new(rps * CLOUD_RATE_FRACTION, Instant::now()),
        };
        actix::spawn(scaling.run());
    }
}

struct ScalingLoop {
    shared: Arc<Shared>,
    cloud: CloudClient,
    unmet_demand: SharedDemand,
    capacity_backoff: CapacityBackoff,
    requests: OutstandingRequests,
    catalog_read_at: Option<Instant>,
    listing: MachineListing,
    request_budget: TokenBucket,
}

impl ScalingLoop {
    async fn run(mut self) {
        loop {
            let retry_soon = self.run_cycle().await;
            let pause = if retry_soon {
                CAPACITY_RETRY_INTERVAL
            } else {
                SCALING_INTERVAL
            };
            actix::clock::sleep(pause).await;
        }
    }

    fn is_due(last_at: Option<Instant>, interval: Duration) -> bool {
        last_at.is_none_or(|at| at.elapsed() >= interval)
    }

    /// Waits until the rate limit allows a request, and counts the request. A burst of one second's
    /// requests is allowed.
    async fn wait_for_rate_limit(&mut self) {
        loop {
            let wait = self
                .request_budget
                .time_until_available(1.0, Instant::now());
            if wait.is_zero() {
                break;
            }
            actix::clock::sleep(wait).await;
        }
        self.request_budget.take(1.0, Instant::now());
    }

    /// Runs one scaling cycle. Returns whether the next one should follow soon, since a pool had too little
    /// capacity and the demand has to be met from other pools.
    async fn run_cycle(&mut self) -> bool {
        let current = self.shared.election.lock().leadership(Instant::now());
        let catalog_known = self.shared.catalog.lock().is_some();
        // Followers also need the machine types, to reject jobs that can never run, but they do not
        // need the current prices.
        let catalog_needed = !catalog_known || current.is_some();
        if catalog_needed && Self::is_due(self.catalog_read_at, CATALOG_INTERVAL) {
            self.read_catalog().await;
        }
        self.withdraw_unsent_releases();
        let Some(leadership) = current else {
            return false;
        };
        if self.requests.enter_term(leadership.term) {
            self.listing.reset();
        }
        self.read_machine_list().await;
        self.repeat_requests().await;
        let rentals = self.decide();
        let mut retry_soon = false;
        for rental in rentals {
            retry_soon |= self.rent(rental).await;
        }
        self.send_new_releases().await;
        retry_soon
    }

    /// Withdraws the releases that an earlier cycle ended without sending.
    fn withdraw_unsent_releases(&mut self) {
        let mut guard = self.shared.cluster.lock();
        let cluster = guard
            .as_mut()
            .filter(|cluster| cluster.term == self.requests.term());
        let withdrawn = self.requests.withdraw_unsent(cluster);
        drop(guard);
        for OutstandingRelease {
            machines, reason, ..
        } in withdrawn
        {
            info!(?machines, %reason, "release withdrawn before it was sent");
        }
    }

    async fn read_catalog(&mut self) {
        self.wait_for_rate_limit().await;
        match self.cloud.catalog().await {
            Ok(machine_types) => {
                self.catalog_read_at = Some(Instant::now());
                let catalog: Catalog = Arc::new(machine_types);
                *self.shared.catalog.lock() = Some(catalog.clone());
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    cluster.set_catalog(catalog);
                }
                self.shared.wake_ups.election.notify_one();
            }
            Err(error) => debug!(%error, "catalog not read"),
        }
    }

    /// Reads as many pages of the machine list as the rate limit allows without a wait, and at least one if
    /// the list is due.
    async fn read_machine_list(&mut self) {
        let cloud = &self.shared.settings.params.cloud;
        let (interval, rate) = (secs(cloud.list_lag_s), cloud.rps * CLOUD_RATE_FRACTION);
        let mut is_first_page = true;
        while self.listing.is_due(interval, rate, Instant::now()) {
            let within_rate = self
                .request_budget
                .time_until_available(1.0, Instant::now())
                .is_zero();
            if !is_first_page && !within_rate {
                return;
            }
            is_first_page = false;
            self.wait_for_rate_limit().await;
            let page = match self.cloud.list_page(self.listing.last_read_machine()).await {
                Ok(page) => page,
                Err(error) => {
                    debug!(%error, "machine list not read");
                    self.listing.abandon();
                    return;
                }
            };
            let now = Instant::now();
            let Some(list) = self.listing.add_page(page, now) else {
                continue;
            };
            if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                cluster.apply_machine_list(&list, now);
            }
        }
    }

    /// Decides on rentals, which are returned, and on releases, which are outstanding from now on.
    fn decide(&mut self) -> Vec<RentalDecision> {
        let term = self.requests.term();
        let unmet_demand = self.unmet_demand.lock().in_term(term).to_vec();
        let idle_policy = self.shared.operator.lock().idle_policy();
        let input = CycleInput {
            policy: &self.shared.policy,
            unmet_demand: &unmet_demand,
            capacity_backoff: &self.capacity_backoff,
            idle_policy,
            now: Instant::now(),
        };
        let requests = &mut self.requests;
        let rentals = self
            .shared
            .with_cluster_of(term, |cluster| fleet::run_cycle(cluster, requests, input));
        rentals.unwrap_or_default()
    }

    /// Whether this process still leads in the term for which the request was decided. This is checked
    /// right before each request, since the leadership may have ended during the wait for the rate
    /// limit, the request before, or a pause of the process.
    fn still_leads_term(&self) -> bool {
        let leadership = self.shared.election.lock().leadership(Instant::now());
        leadership.is_some_and(|leadership| leadership.term == self.requests.term())
    }
}

#[cfg(test)]
mod tests;
