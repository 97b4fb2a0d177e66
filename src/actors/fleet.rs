//! The scaling actor, which has all exchanges with the cloud: the catalog of machine types, the list of
//! machines, rentals and releases.

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
/// Time between two readings of the catalog, whose spot prices move.
const CATALOG_INTERVAL: Duration = Duration::from_secs(60);
/// Part of the cloud's request limit that the leader uses.
const RATE_PART: f64 = 0.7;
/// After a failover, nothing is rented or released before all machines that are up have sent a
/// heartbeat, or for this long.
const RECONCILIATION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time until the next scaling cycle after a rental for which there was too little capacity.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The outcome of a rental request.
enum RentalOutcome {
    /// All machines of the request were rented.
    Complete,
    /// Fewer machines, or none.
    NoCapacity,
    /// It is not known whether machines were rented, or the request was not sent.
    Unknown,
}

/// A rental request with an unknown outcome: repeated under the same idempotency key until the cloud
/// answers.
struct PendingRental {
    request: RentalRequest,
    pool: MachinePool,
}

/// A release with an unknown outcome: it may yet be carried out, so the machines take no tasks, and
/// it is repeated until the cloud answers.
struct PendingRelease {
    machines: Vec<MachineId>,
    reason: ReleaseReason,
}

/// The actor.
pub struct FleetActor {
    shared: Arc<Shared>,
    cloud: CloudClient,
    unmet_demand: SharedDemand,
}

impl FleetActor {
    /// An actor that rents machines through `cloud`.
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
            catalog_at: None,
            listing: MachineListing::default(),
            calls: TokenBucket::new(rps * RATE_PART, Instant::now()),
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
    catalog_at: Option<Instant>,
    listing: MachineListing,
    calls: TokenBucket,
}

impl ScalingLoop {
    async fn run(mut self) {
        loop {
            let retry = self.scale().await;
            let pause = if retry {
                RETRY_INTERVAL
            } else {
                SCALING_INTERVAL
            };
            actix::clock::sleep(pause).await;
        }
    }

    fn due(last: Option<Instant>, every: Duration) -> bool {
        last.is_none_or(|at| at.elapsed() >= every)
    }

    /// Keeps below the cloud's rate limit; a burst of a second's worth is allowed.
    async fn wait_for_rate_limit(&mut self) {
        loop {
            let wait = self.calls.wait(1.0, Instant::now());
            if wait.is_zero() {
                break;
            }
            actix::clock::sleep(wait).await;
        }
        self.calls.take(1.0, Instant::now());
    }

    /// Runs one scaling cycle; whether the next one should follow at once, since demand has to be met
    /// from other pools.
    async fn scale(&mut self) -> bool {
        let leading = self.shared.election.lock().leadership(Instant::now());
        let known = self.shared.catalog.lock().is_some();
        // Followers need the machine types, too, to reject jobs that can never run, but not the prices.
        let needed = !known || leading.is_some();
        if needed && Self::due(self.catalog_at, CATALOG_INTERVAL) {
            self.read_catalog().await;
        }
        let Some(leadership) = leading else {
            self.pending_rentals.clear();
            self.pending_releases.clear();
            return false;
        };
        if leadership.term != self.term {
            self.term = leadership.term;
            self.pending_rentals.clear();
            self.pending_releases.clear();
            self.listing.reset();
        }
        self.read_list().await;
        for rental in std::mem::take(&mut self.pending_rentals) {
            self.request_rental(rental).await;
        }
        for release in std::mem::take(&mut self.pending_releases) {
            self.release(release).await;
        }
        let mut retry = false;
        for action in self.plan() {
            if !self.is_leader() {
                return false;
            }
            match action {
                ScalingAction::Rent(pool, count) => retry |= self.rent(pool, count).await,
                ScalingAction::Release(machines, reason) => {
                    self.release(PendingRelease { machines, reason }).await;
                }
            }
        }
        retry
    }

    /// Whether this controller leads, in any term.
    fn is_leader(&self) -> bool {
        let leadership = self.shared.election.lock().leadership(Instant::now());
        leadership.is_some()
    }

    /// Rents machines, in as many requests as it takes while they are fulfilled; whether the pool had
    /// too little capacity.
    async fn rent(&mut self, pool: MachinePool, count: u32) -> bool {
        let mut left = count;
        while left > 0 && self.is_leader() {
            self.rental_requests += 1;
            let request = RentalRequest {
                // A term has one leader, and a leader counts its rentals.
                request: format!("kl-{}-{}", self.term.0, self.rental_requests),
                machine_type: pool.machine_type.clone(),
                zone: pool.zone.clone(),
                spot: pool.spot,
                count: left.min(RENTAL_SIZE_MAX),
            };
            left -= request.count;
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
                self.catalog_at = Some(Instant::now());
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

    /// Reads as much of the machine list as the limit allows without waiting, one page at least.
    async fn read_list(&mut self) {
        let cloud = &self.shared.settings.params.cloud;
        let (interval, rate) = (secs(cloud.list_lag_s), cloud.rps * RATE_PART);
        let mut first = true;
        while self.listing.is_due(interval, rate, Instant::now()) {
            let free = self.calls.wait(1.0, Instant::now()).is_zero();
            if !first && !free {
                return;
            }
            first = false;
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
                cluster.listed(&list, now);
            }
        }
    }

    fn plan(&mut self) -> Vec<ScalingAction> {
        let now = Instant::now();
        let unmet_demand = self.unmet_demand.lock().clone();
        let idle_policy = self.shared.operator.lock().idle_policy();
        let mut guard = self.shared.cluster.lock();
        let Some(cluster) = guard.as_mut().filter(|c| c.term == self.term) else {
            return Vec::new();
        };
        let unheard = cluster.machines.values().any(Machine::expected);
        if unheard && now.saturating_duration_since(cluster.since) < RECONCILIATION_TIMEOUT {
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

    /// Whether the term for which this was decided still lasts. Checked right before each request: the
    /// rate limit, the request before, or a pause of the process may have outlasted the leadership.
    fn leads(&self) -> bool {
        let leadership = self.shared.election.lock().leadership(Instant::now());
        leadership.is_some_and(|leadership| leadership.term == self.term)
    }

    async fn request_rental(&mut self, rental: PendingRental) -> RentalOutcome {
        self.wait_for_rate_limit().await;
        if !self.leads() {
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
            cluster.machines_rented(names, pool, now);
        }
        if complete {
            RentalOutcome::Complete
        } else {
            RentalOutcome::NoCapacity
        }
    }

    async fn release(&mut self, release: PendingRelease) {
        self.wait_for_rate_limit().await;
        if !self.leads() {
            // Should this controller lead again in this term, the release is still due.
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
            Err(CloudError::OutcomeUnknown) => self.pending_releases.push(release),
            Err(error) => {
                debug!(%error, ?machines, "release failed");
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    set_releasing(cluster, machines, false);
                }
            }
        }
    }
}

/// Marks machines as being released, or ends that.
fn set_releasing(cluster: &mut Cluster, machines: &[MachineId], releasing: bool) {
    for id in machines {
        if let Some(machine) = cluster.machines.get_mut(id) {
            machine.releasing = releasing;
        }
    }
}
