//! Scaling of the fleet: decides which machines to rent for demand, and which to release.
//!
//! The decisions are pure functions of the cluster state and the time. [`client`] implements the
//! cloud's protocol.

pub mod capacity_backoff;
pub mod client;
mod cycle;
mod demand;
pub mod listing;
pub mod outstanding;
mod partition;
mod release_reason;
mod scale_in;
mod scale_out;

use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

pub use capacity_backoff::CapacityBackoff;
pub use cycle::{run_cycle, CycleInput, RentalDecision};
pub use partition::detect_partitions;
pub use release_reason::ReleaseReason;

use self::demand::ArrivalTrend;
use self::scale_out::ScaleOutPlanner;
use crate::cluster::Cluster;
use crate::demand::UnmetDemand;
use crate::model::{MachineId, MachinePool};
use crate::policy::SchedulingPolicy;

/// The most machines in one rental request; a limit of the cloud's protocol.
pub const RENTAL_SIZE_MAX: u32 = 50;
/// The most machines in one release request; a limit of the cloud's protocol.
pub const RELEASE_SIZE_MAX: usize = 100;

/// One rental or release that a scaling decision results in.
#[derive(Debug, Clone, PartialEq)]
pub enum ScalingAction {
    /// Rent this number of machines of a pool. It may exceed [`RENTAL_SIZE_MAX`].
    Rent(MachinePool, u32),
    /// Release these machines, at most [`RELEASE_SIZE_MAX`], all for the same reason.
    Release(Vec<MachineId>, ReleaseReason),
}

/// Operators' settings for how long idle machines and how much spare capacity are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdlePolicy {
    /// Factor on the time for which idle machines are kept, which is based on the time that a new
    /// machine takes to boot and to pull the same images.
    pub idle_factor: f64,
    /// Factor on the spare capacity kept for urgent classes, which is based on what may arrive
    /// while a machine boots.
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

/// The input of a scaling decision.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The cluster state, including machines that are booting.
    pub cluster: &'a Cluster,
    /// Determines which classes are urgent.
    pub policy: &'a SchedulingPolicy,
    /// The unmet demand of the last scheduling cycle.
    pub unmet_demand: &'a [UnmetDemand],
    /// Pools in which the cloud had no capacity recently.
    pub capacity_backoff: &'a CapacityBackoff,
    /// Factors that operators can change at run time.
    pub idle_policy: IdlePolicy,
    /// The time of the decision.
    pub now: Instant,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Release {
    machine: MachineId,
    reason: ReleaseReason,
}

/// Decides which machines to rent and to release now. Rentals come first, then releases by reason.
pub fn plan(fleet_view: &FleetView) -> Vec<ScalingAction> {
    let FleetView { cluster, now, .. } = *fleet_view;
    let failed = scale_in::failed::releases(cluster, now);
    let releasing: HashSet<MachineId> = failed
        .iter()
        .map(|release| release.machine.clone())
        .collect();
    let trend = ArrivalTrend::of(cluster, now);
    let mut planner = ScaleOutPlanner::new(fleet_view, &releasing);
    place_demand(fleet_view, &mut planner);
    planner.reserve_spare_capacity(&trend, fleet_view.idle_policy);
    let (rentals, mut kept_machines) = planner.into_plan();
    kept_machines.extend(releasing);
    let idle = scale_in::idle::releases(fleet_view, &trend, &kept_machines);
    let mut by_reason: BTreeMap<ReleaseReason, Vec<MachineId>> = BTreeMap::new();
    for Release { machine, reason } in failed.into_iter().chain(idle) {
        by_reason.entry(reason).or_default().push(machine);
    }
    let mut actions: Vec<ScalingAction> = rentals
        .into_iter()
        .map(|(pool, count)| ScalingAction::Rent(pool, count))
        .collect();
    for (reason, machines) in by_reason {
        let chunks = machines.chunks(RELEASE_SIZE_MAX);
        actions.extend(chunks.map(|chunk| ScalingAction::Release(chunk.to_vec(), reason)));
    }
    actions
}

/// Places the unmet demand on capacity that is free or will be, and on machines to rent. Urgent
/// jobs do not wait for running tasks to complete.
fn place_demand(fleet_view: &FleetView, planner: &mut ScaleOutPlanner) {
    let FleetView {
        policy,
        unmet_demand,
        ..
    } = *fleet_view;
    let (urgent, non_urgent): (Vec<&UnmetDemand>, Vec<&UnmetDemand>) =
        unmet_demand.iter().partition(|demand| {
            let spec = &demand.spec;
            policy.cannot_wait_for_boot(&spec.class, planner.shortest_boot(spec))
        });
    for demand in urgent {
        planner.place(demand);
    }
    planner.include_releases();
    for demand in non_urgent {
        planner.place(demand);
    }
    planner.exclude_releases();
}
