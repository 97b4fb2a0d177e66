//! Owner of the traffic with the cloud: machine types, the list, rentals, returns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, info, warn};

use super::scheduler::SharedDemand;
use crate::cluster::{Catalog, Machine};
use crate::fleet::client::{CloudClient, CloudError};
use crate::fleet::listing::MachineListing;
use crate::fleet::{self, Action, FleetView, Market, ReleaseReason, RENTAL_SIZE_MAX};
use crate::model::{MachineId, MachinePool, Term};
use crate::rate_limit::TokenBucket;
use crate::service::Shared;
use crate::time::secs;
use crate::wire::RentalRequest;

/// Time between two looks at the fleet.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// Time between two readings of the machine types, whose spot prices move.
const CATALOG_EVERY: Duration = Duration::from_secs(60);
/// Part of the cloud's request limit that the leader uses.
const RATE_PART: f64 = 0.7;
/// After taking over, demand is not judged before all machines that are up have reported, or
/// for this long.
const SETTLE: Duration = Duration::from_secs(5);

/// Time until the next look where less was to be had than was wanted.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// What a rental brought.
enum RentalOutcome {
    /// All that was asked for.
    All,
    /// Less.
    Fewer,
    /// Nothing that is known.
    Unknown,
}

/// The actor.
pub struct FleetActor {
    shared: Arc<Shared>,
    cloud: CloudClient,
    unmet_demand: SharedDemand,
}

impl FleetActor {
    /// A fleet rented through `cloud`.
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
        let fleet = Fleet {
            shared: self.shared.clone(),
            cloud: self.cloud.clone(),
            unmet_demand: self.unmet_demand.clone(),
            market: Market::default(),
            rental_requests: 0,
            unanswered: Vec::new(),
            unreturned: Vec::new(),
            term: Term(0),
            catalog_at: None,
            listing: MachineListing::default(),
            calls: TokenBucket::new(rps * RATE_PART, Instant::now()),
        };
        actix::spawn(fleet.run());
    }
}

struct Fleet {
    shared: Arc<Shared>,
    cloud: CloudClient,
    unmet_demand: SharedDemand,
    market: Market,
    rental_requests: u64,
    /// Rentals without an answer: repeated under the same name until there is one.
    unanswered: Vec<(RentalRequest, MachinePool)>,
    /// Returns without an answer: they may yet be carried out, so the machines take no tasks
    /// and the return is repeated until there is one.
    unreturned: Vec<(Vec<MachineId>, ReleaseReason)>,
    term: Term,
    catalog_at: Option<Instant>,
    listing: MachineListing,
    calls: TokenBucket,
}

impl Fleet {
    async fn run(mut self) {
        loop {
            let more = self.look().await;
            let pause = if more { LOOK_AGAIN } else { LOOK_EVERY };
            actix::clock::sleep(pause).await;
        }
    }

    fn due(last: Option<Instant>, every: Duration) -> bool {
        last.is_none_or(|at| at.elapsed() >= every)
    }

    /// Keeps below the cloud's limit; a burst of a second's worth is fine.
    async fn wait_for_limit(&mut self) {
        loop {
            let wait = self.calls.wait(1.0, Instant::now());
            if wait.is_zero() {
                break;
            }
            actix::clock::sleep(wait).await;
        }
        self.calls.take(1.0, Instant::now());
    }

    /// One look; whether the next one should follow at once, since what was wanted has to be
    /// rented elsewhere.
    async fn look(&mut self) -> bool {
        let leading = self.shared.election.lock().leadership(Instant::now());
        let known = self.shared.catalog.lock().is_some();
        // Followers need the types too, to tell which jobs can never run, but not the prices.
        let wanted = !known || leading.is_some();
        if wanted && Self::due(self.catalog_at, CATALOG_EVERY) {
            self.read_catalog().await;
        }
        let Some(leadership) = leading else {
            self.unanswered.clear();
            self.unreturned.clear();
            return false;
        };
        if leadership.term != self.term {
            self.term = leadership.term;
            self.unanswered.clear();
            self.unreturned.clear();
            self.listing.reset();
        }
        self.read_list().await;
        for (request, pool) in std::mem::take(&mut self.unanswered) {
            self.request_rental(request, pool).await;
        }
        for (ids, reason) in std::mem::take(&mut self.unreturned) {
            self.release(ids, reason).await;
        }
        let mut more = false;
        for action in self.plan() {
            if self
                .shared
                .election
                .lock()
                .leadership(Instant::now())
                .is_none()
            {
                return false;
            }
            match action {
                Action::Rent(pool, count) => more |= self.rent(pool, count).await,
                Action::Return(ids, reason) => self.release(ids, reason).await,
            }
        }
        more
    }

    /// Rents, in as many requests as it takes while they are filled; whether there was less
    /// to be had.
    async fn rent(&mut self, pool: MachinePool, count: u32) -> bool {
        let mut left = count;
        while left > 0
            && self
                .shared
                .election
                .lock()
                .leadership(Instant::now())
                .is_some()
        {
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
            match self.request_rental(request, pool.clone()).await {
                RentalOutcome::All => {}
                RentalOutcome::Fewer => return true,
                RentalOutcome::Unknown => return false,
            }
        }
        false
    }

    async fn read_catalog(&mut self) {
        self.wait_for_limit().await;
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
            Err(error) => debug!(%error, "cannot read the machine types"),
        }
    }

    /// Reads as much of the machine list as the limit allows without waiting, one page at least.
    async fn read_list(&mut self) {
        let cloud = &self.shared.settings.params.cloud;
        let (interval, rate) = (secs(cloud.list_lag_s), cloud.rps * RATE_PART);
        let mut first = true;
        while self.listing.due(interval, rate, Instant::now()) {
            let free = self.calls.wait(1.0, Instant::now()).is_zero();
            if !first && !free {
                return;
            }
            first = false;
            self.wait_for_limit().await;
            let page = match self.cloud.list_page(self.listing.after()).await {
                Ok(page) => page,
                Err(error) => {
                    debug!(%error, "cannot read the machine list");
                    self.listing.abandon();
                    return;
                }
            };
            let now = Instant::now();
            let Some(list) = self.listing.take_page(page, now) else {
                continue;
            };
            if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                cluster.listed(&list, now);
            }
        }
    }

    fn plan(&mut self) -> Vec<Action> {
        let now = Instant::now();
        let unmet_demand = self.unmet_demand.lock().clone();
        let idle_policy = self.shared.operator.lock().idle_policy();
        let mut guard = self.shared.cluster.lock();
        let Some(cluster) = guard.as_mut().filter(|c| c.term == self.term) else {
            return Vec::new();
        };
        let unheard = cluster.machines.values().any(Machine::expected);
        if unheard && now.saturating_duration_since(cluster.since) < SETTLE {
            return Vec::new();
        }
        fleet::see_cuts(cluster, now);
        let policy = &self.shared.policy;
        let actions = fleet::plan(&FleetView {
            cluster,
            policy,
            unmet_demand: &unmet_demand,
            market: &self.market,
            idle_policy,
            now,
        });
        for action in &actions {
            if let Action::Return(ids, _) = action {
                for id in ids {
                    if let Some(machine) = cluster.machines.get_mut(id) {
                        machine.releasing = true;
                    }
                }
            }
        }
        actions
    }

    /// Whether the term for which this was decided still lasts. Asked right before each request:
    /// the pace, the one before, or standing still may have taken longer than the lead lasts.
    fn leads(&self) -> bool {
        let leadership = self.shared.election.lock().leadership(Instant::now());
        leadership.is_some_and(|leadership| leadership.term == self.term)
    }

    async fn request_rental(&mut self, request: RentalRequest, pool: MachinePool) -> RentalOutcome {
        self.wait_for_limit().await;
        if !self.leads() {
            return RentalOutcome::Unknown;
        }
        let outcome = self.cloud.rent(&request).await;
        let now = Instant::now();
        match outcome {
            Ok(names) => {
                info!(request = %request.request, machine_type = %request.machine_type, zone = %request.zone,
                    spot = request.spot, wanted = request.count, got = names.len(), "rented");
                let fewer = (names.len() as u32) < request.count;
                if fewer {
                    self.market.exhausted(&pool, now);
                }
                self.shared.metrics.lock().counts.rented += names.len() as u64;
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    cluster.machines_rented(&names, &pool, now);
                }
                if fewer {
                    RentalOutcome::Fewer
                } else {
                    RentalOutcome::All
                }
            }
            Err(CloudError::NoCapacity) => {
                info!(machine_type = %request.machine_type, zone = %request.zone, spot = request.spot, "no capacity");
                self.market.exhausted(&pool, now);
                RentalOutcome::Fewer
            }
            Err(CloudError::Unknown) => {
                warn!(request = %request.request, "no answer to a rental; it will be repeated");
                self.unanswered.push((request, pool));
                RentalOutcome::Unknown
            }
            Err(error) => {
                debug!(%error, "rental failed");
                RentalOutcome::Unknown
            }
        }
    }

    async fn release(&mut self, ids: Vec<MachineId>, reason: ReleaseReason) {
        self.wait_for_limit().await;
        if !self.leads() {
            // Should we lead again in this term, it is still to be done.
            self.unreturned.push((ids, reason));
            return;
        }
        match self.cloud.release(&ids).await {
            Ok(()) => {
                info!(machines = ?ids, %reason, "machines released");
                self.shared.metrics.lock().counts.returned += ids.len() as u64;
                self.shared.machines_released(&ids);
            }
            Err(CloudError::Unknown) => self.unreturned.push((ids, reason)),
            Err(error) => {
                debug!(%error, machines = ?ids, "release failed");
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    for id in &ids {
                        if let Some(machine) = cluster.machines.get_mut(id) {
                            machine.releasing = false;
                        }
                    }
                }
            }
        }
    }
}
