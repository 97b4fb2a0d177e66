//! The scaling actor, which sends all requests to the cloud: it reads the catalog of machine types and the
//! list of machines, rents machines and releases them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, info, warn};

use super::scheduler::SharedDemand;
use crate::cluster::{Catalog, Cluster, Machine};
use crate::fleet::client::{CloudClient, CloudError};
use crate::fleet::listing::MachineListing;
use crate::fleet::{
    self, CapacityBackoff, FleetView, ReleaseReason, ScalingAction, RENTAL_SIZE_MAX,
};
use crate::model::{MachineId, MachinePool, Term};
use crate::rate_limit::TokenBucket;
use crate::service::Shared;
use crate::time::secs;
use crate::wire::RentalRequest;

/// Time between two scaling cycles.
const SCALING_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two readings of the catalog, whose spot prices change.
const CATALOG_INTERVAL: Duration = Duration::from_secs(60);
/// Fraction of the cloud's request rate limit that the leader uses.
const CLOUD_RATE_FRACTION: f64 = 0.7;
/// After a failover, nothing is rented or released until all machines that are up have sent a
/// heartbeat, for at most this long.
const RECONCILIATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time until the next scaling cycle after a rental for which there was too little capacity.
const CAPACITY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of a rental request.
enum RentalOutcome {
    /// All machines of the request were rented.
    Complete,
    /// Fewer machines than requested were rented, or none.
    NoCapacity,
    /// The request was not sent, it failed for a reason other than capacity, or it is unknown whether
    /// machines were rented.
    Unknown,
}

/// A rental request with an unknown outcome. It is repeated under the same idempotency key until the cloud
/// responds.
struct PendingRental {
    request: RentalRequest,
    pool: MachinePool,
}

/// A release with an unknown outcome. The cloud may still execute it, so the machines get no tasks, and the
/// release is repeated until the cloud responds.
struct PendingRelease {
    machines: Vec<MachineId>,
    reason: ReleaseReason,
}

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
            rental_requests: 0,
            pending_rentals: Vec::new(),
            pending_releases: Vec::new(),
            term: Term(0),
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
    rental_requests: u64,
    pending_rentals: Vec<PendingRental>,
    pending_releases: Vec<PendingRelease>,
    term: Term,
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
        let Some(leadership) = current else {
            self.drop_pending();
            return false;
        };
        if leadership.term != self.term {
            self.drop_pending();
            self.term = leadership.term;
            self.listing.reset();
        }
        self.read_machine_list().await;
        for rental in std::mem::take(&mut self.pending_rentals) {
            self.request_rental(rental).await;
        }
        for release in std::mem::take(&mut self.pending_releases) {
            self.release(release).await;
        }
        let mut retry_soon = false;
        for action in self.plan_actions() {
            if !self.leads_any_term() {
                info!(term = self.term.0, ?action, "scaling cycle ended early");
                return false;
            }
            match action {
                ScalingAction::Rent(pool, count) => retry_soon |= self.rent(pool, count).await,
                ScalingAction::Release(machines, reason) => {
                    self.release(PendingRelease { machines, reason }).await;
                }
            }
        }
        retry_soon
    }

    /// Drops the requests with an unknown outcome.
    fn drop_pending(&mut self) {
        for PendingRental { request, .. } in self.pending_rentals.drain(..) {
            info!(request = %request.request, term = self.term.0, "pending rental dropped");
        }
        for PendingRelease { machines, reason } in self.pending_releases.drain(..) {
            info!(?machines, %reason, term = self.term.0, "pending release dropped");
        }
    }

    /// Whether this controller leads in any term.
    fn leads_any_term(&self) -> bool {
        let leadership = self.shared.election.lock().leadership(Instant::now());
        leadership.is_some()
    }

    /// Rents machines in as many requests as needed, until one is not fulfilled. Returns whether the
    /// pool had too little capacity.
    async fn rent(&mut self, pool: MachinePool, count: u32) -> bool {
        let mut remaining = count;
        while remaining > 0 && self.leads_any_term() {
            self.rental_requests += 1;
            let request = RentalRequest {
                // The key is unique, since a term has one leader and the leader numbers its requests.
                request: format!("kl-{}-{}", self.term.0, self.rental_requests),
                machine_type: pool.machine_type.clone(),
                zone: pool.zone.clone(),
                spot: pool.spot,
                count: remaining.min(RENTAL_SIZE_MAX),
            };
            remaining -= request.count;
            let pool = pool.clone();
            match self.request_rental(PendingRental { request, pool }).await {
                RentalOutcome::Complete => {}
                RentalOutcome::NoCapacity => return true,
                RentalOutcome::Unknown => return false,
            }
        }
        false
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

    fn plan_actions(&mut self) -> Vec<ScalingAction> {
        let now = Instant::now();
        let unmet_demand = self.unmet_demand.lock().in_term(self.term).to_vec();
        let idle_policy = self.shared.operator.lock().idle_policy();
        let mut guard = self.shared.cluster.lock();
        let Some(cluster) = guard.as_mut().filter(|cluster| cluster.term == self.term) else {
            return Vec::new();
        };
        let heartbeats_missing = cluster
            .machines
            .values()
            .any(Machine::awaits_first_heartbeat);
        if heartbeats_missing
            && now.saturating_duration_since(cluster.observing_since) < RECONCILIATION_TIMEOUT
        {
            return Vec::new();
        }
        fleet::detect_partitions(cluster, now);
        let policy = &self.shared.policy;
        let actions = fleet::plan(&FleetView {
            cluster,
            policy,
            unmet_demand: &unmet_demand,
            capacity_backoff: &self.capacity_backoff,
            idle_policy,
            now,
        });
        for action in &actions {
            if let ScalingAction::Release(machines, _) = action {
                set_releasing(cluster, machines, true);
            }
        }
        actions
    }

    /// Whether this process still leads in the term for which the request was decided. This is checked
    /// right before each request, since the leadership may have ended during the wait for the rate
    /// limit, the request before, or a pause of the process.
    fn still_leads_term(&self) -> bool {
        let leadership = self.shared.election.lock().leadership(Instant::now());
        leadership.is_some_and(|leadership| leadership.term == self.term)
    }

    async fn request_rental(&mut self, rental: PendingRental) -> RentalOutcome {
        self.wait_for_rate_limit().await;
        if !self.still_leads_term() {
            return RentalOutcome::Unknown;
        }
        let PendingRental { request, pool } = &rental;
        let outcome = self.cloud.rent(request).await;
        let now = Instant::now();
        match outcome {
            Ok(names) => self.machines_rented(&names, &rental, now),
            Err(CloudError::NoCapacity) => {
                info!(machine_type = %pool.machine_type, zone = %pool.zone, spot = pool.spot, "no capacity in pool");
                self.capacity_backoff.record_exhausted(pool, now);
                RentalOutcome::NoCapacity
            }
            Err(CloudError::OutcomeUnknown) => {
                warn!(request = %request.request, "rental outcome unknown");
                self.pending_rentals.push(rental);
                RentalOutcome::Unknown
            }
            Err(error) => {
                debug!(%error, request = %request.request, "rental failed");
                RentalOutcome::Unknown
            }
        }
    }

    fn machines_rented(
        &mut self,
        names: &[String],
        rental: &PendingRental,
        now: Instant,
    ) -> RentalOutcome {
        let PendingRental { request, pool } = rental;
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

    async fn release(&mut self, release: PendingRelease) {
        self.wait_for_rate_limit().await;
        if !self.still_leads_term() {
            // The release is still due if this controller leads in this term again at the next scaling
            // cycle.
            self.pending_releases.push(release);
            return;
        }
        let PendingRelease { machines, reason } = &release;
        match self.cloud.release(machines).await {
            Ok(()) => {
                info!(?machines, %reason, "machines released");
                self.shared.metrics.lock().counts.returned += machines.len() as u64;
                self.shared.machines_released(machines);
            }
            Err(CloudError::OutcomeUnknown) => {
                warn!(?machines, %reason, "release outcome unknown");
                self.pending_releases.push(release);
            }
            Err(error) => {
                info!(%error, ?machines, %reason, "release refused");
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    set_releasing(cluster, machines, false);
                }
            }
        }
    }
}

/// Sets or clears the mark by which machines take no tasks while a release is under way.
fn set_releasing(cluster: &mut Cluster, machines: &[MachineId], releasing: bool) {
    for id in machines {
        if let Some(machine) = cluster.machines.get_mut(id) {
            machine.releasing = releasing;
        }
    }
}

#[cfg(test)]
mod tests;
