//! The fleet: what to rent, what to return. Pure decisions here, the cloud's protocol in
//! [`client`].

pub mod client;
mod idle;
pub mod listing;
mod lost;
mod planner;
mod release_reason;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::Cluster;
use crate::demand::UnmetDemand;
use crate::model::{MachineId, MachinePool};
use crate::policy::SchedulingPolicy;
pub use lost::see_cuts;
use planner::Planner;
pub use release_reason::ReleaseReason;

/// Most machines in one rental request, by the cloud's protocol.
pub const RENTAL_SIZE_MAX: u32 = 50;
/// Most names in one return, by the cloud's protocol.
pub const RETURN_SIZE_MAX: usize = 100;
/// How long a type, zone and kind that had nothing to give is not asked again.
const NO_CAPACITY_RETRY_DELAY: Duration = Duration::from_secs(15);
/// How long a refusal counts against the hope to get such a machine again.
const REFUSAL_REMEMBERED: Duration = Duration::from_secs(120);

/// What the fleet decides.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Rent so many.
    Rent(MachinePool, u32),
    /// Return these, with the reason.
    Return(Vec<MachineId>, ReleaseReason),
}

/// What is known of the market: who had nothing to give, and until when not to ask again.
#[derive(Debug, Default)]
pub struct Market {
    empty_until: HashMap<MachinePool, Instant>,
    refused: HashMap<MachinePool, Instant>,
}

impl Market {
    /// The offer had nothing, or less than asked for.
    pub fn exhausted(&mut self, pool: &MachinePool, now: Instant) {
        let until = now + NO_CAPACITY_RETRY_DELAY;
        self.empty_until.insert(pool.clone(), until);
        self.refused.insert(pool.clone(), now);
    }

    /// Whether it had something the last time, as far as is remembered.
    fn likely(&self, pool: &MachinePool, now: Instant) -> bool {
        let at = self.refused.get(pool);
        at.is_none_or(|at| now.saturating_duration_since(*at) > REFUSAL_REMEMBERED)
    }

    fn asks(&self, pool: &MachinePool, now: Instant) -> bool {
        self.empty_until.get(pool).is_none_or(|until| now >= *until)
    }
}

/// Operators' say in the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdlePolicy {
    /// Idle machines are kept for this many times what a new one would take to be as useful.
    pub idle_factor: f64,
    /// Spare room kept for classes that have to start soon, as a part of what may arrive.
    pub spare_factor: f64,
}

impl Default for IdlePolicy {
    fn default() -> Self {
        Self {
            idle_factor: 1.0,
            spare_factor: 1.0,
        }
    }
}

/// What one decision about the fleet is made from.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The cluster state.
    pub cluster: &'a Cluster,
    /// What of the settings matters.
    pub policy: &'a SchedulingPolicy,
    /// What the last round was short of.
    pub unmet_demand: &'a [UnmetDemand],
    /// What is known of the market.
    pub market: &'a Market,
    /// Operators' say.
    pub idle_policy: IdlePolicy,
    /// The time.
    pub now: Instant,
}

/// What to rent and return now.
pub fn plan(fleet_view: &FleetView) -> Vec<Action> {
    let FleetView {
        cluster,
        policy,
        unmet_demand,
        idle_policy,
        now,
        ..
    } = *fleet_view;
    let mut actions = Vec::new();
    let lost = lost::machines(cluster, now);
    let leaving: HashSet<MachineId> = lost.iter().map(|(id, _)| id.clone()).collect();
    let mut by_reason: BTreeMap<ReleaseReason, Vec<MachineId>> = BTreeMap::new();
    for (id, why) in lost {
        by_reason.entry(why).or_default().push(id);
    }
    let mut planner = Planner::new(fleet_view, &leaving);
    // Who has to start soon is not made to wait for others to finish.
    let (prompt, patient): (Vec<&UnmetDemand>, Vec<&UnmetDemand>) = unmet_demand
        .iter()
        .partition(|want| policy.is_urgent(&want.spec.class, planner.quickest_boot(&want.spec)));
    for want in prompt {
        planner.place_want(want);
    }
    planner.count_on_departures();
    for want in patient {
        planner.place_want(want);
    }
    planner.forget_departures();
    let demand = idle::Demand::of(cluster, now);
    let kept = planner.keep_spare(&demand, idle_policy);
    let rents = planner.rents();
    let idle = idle::machines(fleet_view, &demand, &kept, &leaving);
    for (id, why) in idle {
        by_reason.entry(why).or_default().push(id);
    }
    for (pool, count) in rents {
        actions.push(Action::Rent(pool, count));
    }
    for (why, ids) in by_reason {
        for chunk in ids.chunks(RETURN_SIZE_MAX) {
            actions.push(Action::Return(chunk.to_vec(), why));
        }
    }
    actions
}
