//! Scaling of the fleet: which machines to rent for demand, and which to release. Pure decisions
//! here, the cloud's protocol in [`client`].

pub mod capacity_backoff;
pub mod client;
mod demand;
pub mod listing;
mod partition;
mod release_reason;
mod scale_in;
mod scale_out;

use std::collections::{BTreeMap, HashSet};
use std::time::Instant;

pub use capacity_backoff::CapacityBackoff;
pub use partition::detect_partitions;
pub use release_reason::ReleaseReason;

use self::demand::ArrivalTrend;
use self::scale_out::ScaleOutPlanner;
use crate::cluster::Cluster;
use crate::demand::UnmetDemand;
use crate::model::{MachineId, MachinePool};
use crate::policy::SchedulingPolicy;

/// Most machines in one rental request, by the cloud's protocol.
pub const RENTAL_SIZE_MAX: u32 = 50;
/// Most machines in one release request, by the cloud's protocol.
pub const RELEASE_SIZE_MAX: usize = 100;

/// What the fleet decides.
#[derive(Debug, Clone, PartialEq)]
pub enum ScalingAction {
    /// Rent so many machines of a pool.
    Rent(MachinePool, u32),
    /// Release these machines.
    Release(Vec<MachineId>, ReleaseReason),
}

/// Operators' settings of how long idle machines and how much spare capacity are kept.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IdlePolicy {
    /// Idle machines are kept for this many times what a new one would take to be as useful.
    pub idle_factor: f64,
    /// Spare capacity kept for urgent classes, as a part of what may arrive.
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

/// What a scaling decision is made from.
#[derive(Debug, Clone, Copy)]
pub struct FleetView<'a> {
    /// The cluster state.
    pub cluster: &'a Cluster,
    /// The scheduling policy.
    pub policy: &'a SchedulingPolicy,
    /// The unmet demand of the last scheduling cycle.
    pub unmet_demand: &'a [UnmetDemand],
    /// Pools that had no capacity lately.
    pub capacity_backoff: &'a CapacityBackoff,
    /// Operators' settings.
    pub idle_policy: IdlePolicy,
    /// The time.
    pub now: Instant,
}

/// A machine to be released.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Release {
    machine: MachineId,
    reason: ReleaseReason,
}

/// The machines to rent and to release now.
pub fn plan(fleet_view: &FleetView) -> Vec<ScalingAction> {
    let FleetView { cluster, now, .. } = *fleet_view;
    let failed = scale_in::failed::machines(cluster, now);
    let releasing: HashSet<MachineId> = failed.iter().map(|r| r.machine.clone()).collect();
    let trend = ArrivalTrend::of(cluster, now);
    let mut planner = ScaleOutPlanner::new(fleet_view, &releasing);
    place_demand(fleet_view, &mut planner);
    planner.reserve_spare_capacity(&trend, fleet_view.idle_policy);
    let (rentals, mut kept) = planner.into_plan();
    kept.extend(releasing);
    let idle = scale_in::idle::machines(fleet_view, &trend, &kept);
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

/// Places the unmet demand on capacity that is free or will be. Urgent jobs do not wait for
/// running tasks to complete.
fn place_demand(fleet_view: &FleetView, planner: &mut ScaleOutPlanner) {
    let FleetView {
        policy,
        unmet_demand,
        ..
    } = *fleet_view;
    let (urgent, patient): (Vec<&UnmetDemand>, Vec<&UnmetDemand>) =
        unmet_demand.iter().partition(|demand| {
            let spec = &demand.spec;
            policy.is_urgent(&spec.class, planner.quickest_boot(spec))
        });
    for demand in urgent {
        planner.place(demand);
    }
    planner.include_releases();
    for demand in patient {
        planner.place(demand);
    }
    planner.exclude_releases();
}
