//! Owner of the traffic with the cloud: machine types, the list, rentals, returns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, info, warn};

use super::round::Shortages;
use crate::cluster::{Catalog, Machine};
use crate::fleet::client::{CloudClient, CloudError};
use crate::fleet::listing::MachineListing;
use crate::fleet::{self, Action, FleetView, Market, RENTAL_SIZE_MAX};
use crate::model::{MachineId, Offer, Term};
use crate::rate_limit::Bucket;
use crate::service::Shared;
use crate::time::secs;
use crate::wire::HireBody;

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
enum Hired {
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
    shortages: Shortages,
}

impl FleetActor {
    /// A fleet rented through `cloud`.
    pub fn new(shared: Arc<Shared>, cloud: CloudClient, shortages: Shortages) -> Self {
        Self {
            shared,
            cloud,
            shortages,
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
            shortages: self.shortages.clone(),
            market: Market::default(),
            hires: 0,
            unanswered: Vec::new(),
            unreturned: Vec::new(),
            term: Term(0),
            catalog_at: None,
            listing: MachineListing::default(),
            calls: Bucket::new(rps * RATE_PART, Instant::now()),
        };
        actix::spawn(fleet.run());
    }
}

struct Fleet {
    shared: Arc<Shared>,
    cloud: CloudClient,
    shortages: Shortages,
    market: Market,
    hires: u64,
    /// Rentals without an answer: repeated under the same name until there is one.
    unanswered: Vec<(HireBody, Offer)>,
    /// Returns without an answer: they may yet be carried out, so the machines take no tasks
    /// and the return is repeated until there is one.
    unreturned: Vec<(Vec<MachineId>, &'static str)>,
    term: Term,
    catalog_at: Option<Instant>,
    listing: MachineListing,
    calls: Bucket,
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
        let leading = self.shared.role.lock().leading(Instant::now());
        let known = self.shared.catalog.lock().is_some();
        // Followers need the types too, to tell which jobs can never run, but not the prices.
        let wanted = !known || leading.is_some();
        if wanted && Self::due(self.catalog_at, CATALOG_EVERY) {
            self.read_catalog().await;
        }
        let Some(lead) = leading else {
            self.unanswered.clear();
            self.unreturned.clear();
            return false;
        };
        if lead.term != self.term {
            self.term = lead.term;
            self.unanswered.clear();
            self.unreturned.clear();
            self.listing.reset();
        }
        self.read_list().await;
        for (hire, offer) in std::mem::take(&mut self.unanswered) {
            self.hire(hire, offer).await;
        }
        for (ids, why) in std::mem::take(&mut self.unreturned) {
            self.give_back(ids, why).await;
        }
        let mut more = false;
        for action in self.plan() {
            if self.shared.role.lock().leading(Instant::now()).is_none() {
                return false;
            }
            match action {
                Action::Rent(offer, count) => more |= self.rent(offer, count).await,
                Action::Return(ids, why) => self.give_back(ids, why).await,
            }
        }
        more
    }

    /// Rents, in as many requests as it takes while they are filled; whether there was less
    /// to be had.
    async fn rent(&mut self, offer: Offer, count: u32) -> bool {
        let mut left = count;
        while left > 0 && self.shared.role.lock().leading(Instant::now()).is_some() {
            self.hires += 1;
            let hire = HireBody {
                // A term has one leader, and a leader counts its rentals.
                request: format!("kl-{}-{}", self.term.0, self.hires),
                build: offer.build.clone(),
                zone: offer.zone.clone(),
                spot: offer.spot,
                count: left.min(RENTAL_SIZE_MAX),
            };
            left -= hire.count;
            match self.hire(hire, offer.clone()).await {
                Hired::All => {}
                Hired::Fewer => return true,
                Hired::Unknown => return false,
            }
        }
        false
    }

    async fn read_catalog(&mut self) {
        self.wait_for_limit().await;
        match self.cloud.catalog().await {
            Ok(builds) => {
                self.catalog_at = Some(Instant::now());
                let catalog: Catalog = Arc::new(builds);
                *self.shared.catalog.lock() = Some(catalog.clone());
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    cluster.set_catalog(catalog);
                }
                self.shared.wake_leader.notify_one();
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
        let short = self.shortages.lock().clone();
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
            short: &short,
            market: &self.market,
            idle_policy,
            now,
        });
        for action in &actions {
            if let Action::Return(ids, _) = action {
                for id in ids {
                    if let Some(machine) = cluster.machines.get_mut(id) {
                        machine.returning = true;
                    }
                }
            }
        }
        actions
    }

    /// Whether the term for which this was decided still lasts. Asked right before each request:
    /// the pace, the one before, or standing still may have taken longer than the lead lasts.
    fn leads(&self) -> bool {
        let lead = self.shared.role.lock().leading(Instant::now());
        lead.is_some_and(|lead| lead.term == self.term)
    }

    async fn hire(&mut self, hire: HireBody, offer: Offer) -> Hired {
        self.wait_for_limit().await;
        if !self.leads() {
            return Hired::Unknown;
        }
        let outcome = self.cloud.hire(&hire).await;
        let now = Instant::now();
        match outcome {
            Ok(names) => {
                info!(request = %hire.request, build = %hire.build, zone = %hire.zone,
                    spot = hire.spot, wanted = hire.count, got = names.len(), "rented");
                let fewer = (names.len() as u32) < hire.count;
                if fewer {
                    self.market.exhausted(&offer, now);
                }
                self.shared.metrics.lock().counts.rented += names.len() as u64;
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    cluster.hired(&names, &offer, now);
                }
                if fewer {
                    Hired::Fewer
                } else {
                    Hired::All
                }
            }
            Err(CloudError::NoCapacity) => {
                info!(build = %hire.build, zone = %hire.zone, spot = hire.spot, "no capacity");
                self.market.exhausted(&offer, now);
                Hired::Fewer
            }
            Err(CloudError::Unknown) => {
                warn!(request = %hire.request, "no answer to a rental; it will be repeated");
                self.unanswered.push((hire, offer));
                Hired::Unknown
            }
            Err(error) => {
                debug!(%error, "rental failed");
                Hired::Unknown
            }
        }
    }

    async fn give_back(&mut self, ids: Vec<MachineId>, why: &'static str) {
        self.wait_for_limit().await;
        if !self.leads() {
            // Should we lead again in this term, it is still to be done.
            self.unreturned.push((ids, why));
            return;
        }
        match self.cloud.give_back(&ids).await {
            Ok(()) => {
                info!(machines = ?ids, why, "returned");
                self.shared.metrics.lock().counts.returned += ids.len() as u64;
                self.shared.machine_gone(&ids);
            }
            Err(CloudError::Unknown) => self.unreturned.push((ids, why)),
            Err(error) => {
                debug!(%error, machines = ?ids, "return failed");
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    for id in &ids {
                        if let Some(machine) = cluster.machines.get_mut(id) {
                            machine.returning = false;
                        }
                    }
                }
            }
        }
    }
}
