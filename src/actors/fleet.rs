//! Owner of the traffic with the cloud: machine types, the list, rentals, returns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tracing::{debug, info, warn};

use super::round::Shortages;
use crate::cluster::{Catalog, Machine};
use crate::fleet::client::{CloudClient, CloudError};
use crate::fleet::{self, Action, Market, Offer};
use crate::model::{MachineId, Term};
use crate::service::Shared;
use crate::store::limiter::Bucket;
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
            listed_at: None,
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
    listed_at: Option<Instant>,
    calls: Bucket,
}

impl Fleet {
    async fn run(mut self) {
        loop {
            self.look().await;
            actix::clock::sleep(LOOK_EVERY).await;
        }
    }

    fn due(last: Option<Instant>, every: Duration) -> bool {
        last.is_none_or(|at| at.elapsed() >= every)
    }

    /// Keeps below the cloud's limit; a burst of a second's worth is fine.
    async fn pace(&mut self) {
        loop {
            let wait = self.calls.wait(1.0, Instant::now());
            if wait.is_zero() {
                break;
            }
            actix::clock::sleep(wait).await;
        }
        self.calls.take(1.0, Instant::now());
    }

    async fn look(&mut self) {
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
            return;
        };
        if lead.term != self.term {
            self.term = lead.term;
            self.unanswered.clear();
            self.unreturned.clear();
            self.listed_at = None;
        }
        let list_every = crate::config::secs(self.shared.settings.params.cloud.list_lag_s);
        if Self::due(self.listed_at, list_every) {
            self.read_list().await;
        }
        for (hire, offer) in std::mem::take(&mut self.unanswered) {
            self.hire(hire, offer).await;
        }
        for (ids, why) in std::mem::take(&mut self.unreturned) {
            self.give_back(ids, why).await;
        }
        for action in self.plan() {
            if self.shared.role.lock().leading(Instant::now()).is_none() {
                return;
            }
            match action {
                Action::Rent(offer, count) => {
                    self.hires += 1;
                    let hire = HireBody {
                        // A term has one leader, and a leader counts its rentals.
                        request: format!("kl-{}-{}", self.term.0, self.hires),
                        build: offer.build.clone(),
                        zone: offer.zone.clone(),
                        spot: offer.spot,
                        count,
                    };
                    self.hire(hire, offer).await;
                }
                Action::Return(ids, why) => self.give_back(ids, why).await,
            }
        }
    }

    async fn read_catalog(&mut self) {
        self.pace().await;
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

    async fn read_list(&mut self) {
        self.pace().await;
        match self.cloud.list().await {
            Ok(list) => {
                let now = Instant::now();
                self.listed_at = Some(now);
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    cluster.listed(&list, now);
                }
            }
            Err(error) => debug!(%error, "cannot read the machine list"),
        }
    }

    fn plan(&mut self) -> Vec<Action> {
        let now = Instant::now();
        let short = self.shortages.lock().clone();
        let thrift = self.shared.operator.lock().thrift();
        let mut guard = self.shared.cluster.lock();
        let Some(cluster) = guard.as_mut().filter(|c| c.term == self.term) else {
            return Vec::new();
        };
        let unheard = cluster.machines.values().any(Machine::expected);
        if unheard && now.saturating_duration_since(cluster.since) < SETTLE {
            return Vec::new();
        }
        let policy = &self.shared.policy;
        let actions = fleet::plan(cluster, policy, &short, &self.market, thrift, now);
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

    async fn hire(&mut self, hire: HireBody, offer: Offer) {
        self.pace().await;
        let outcome = self.cloud.hire(&hire).await;
        let now = Instant::now();
        match outcome {
            Ok(names) => {
                info!(request = %hire.request, build = %hire.build, zone = %hire.zone,
                    spot = hire.spot, wanted = hire.count, got = names.len(), "rented");
                if (names.len() as u32) < hire.count {
                    self.market.exhausted(&offer, now);
                }
                self.shared.metrics.lock().rented += names.len() as u64;
                if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                    cluster.hired(&names, &offer, now);
                }
            }
            Err(CloudError::NoCapacity) => {
                info!(build = %hire.build, zone = %hire.zone, spot = hire.spot, "no capacity");
                self.market.exhausted(&offer, now);
            }
            Err(CloudError::Unknown) => {
                warn!(request = %hire.request, "no answer to a rental; it will be repeated");
                self.unanswered.push((hire, offer));
            }
            Err(error) => debug!(%error, "rental failed"),
        }
    }

    async fn give_back(&mut self, ids: Vec<MachineId>, why: &'static str) {
        self.pace().await;
        match self.cloud.give_back(&ids).await {
            Ok(()) => {
                info!(machines = ?ids, why, "returned");
                self.shared.metrics.lock().returned += ids.len() as u64;
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
