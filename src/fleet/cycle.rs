//! The decisions of one scaling cycle, and their marks on the cluster state.

use std::time::{Duration, Instant};

use super::outstanding::OutstandingRequests;
use super::{detect_partitions, plan, CapacityBackoff, FleetView, IdlePolicy, ScalingAction};
use crate::cluster::{Cluster, Machine};
use crate::demand::UnmetDemand;
use crate::model::MachinePool;
use crate::policy::SchedulingPolicy;

/// After a failover, nothing is rented or released until all machines that are up have sent a
/// heartbeat, for at most this long.
const RECONCILIATION_TIMEOUT: Duration = Duration::from_secs(5);

/// The input of a scaling cycle besides the cluster state and the outstanding requests.
#[derive(Debug, Clone, Copy)]
pub struct CycleInput<'a> {
    /// Determines which classes are urgent.
    pub policy: &'a SchedulingPolicy,
    /// The unmet demand of the last scheduling cycle.
    pub unmet_demand: &'a [UnmetDemand],
    /// Pools in which the cloud had no capacity recently.
    pub capacity_backoff: &'a CapacityBackoff,
    /// Factors that operators can change at run time.
    pub idle_policy: IdlePolicy,
    /// The time of the decisions.
    pub now: Instant,
}

/// Machines to rent of one pool. The number may exceed what fits one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RentalDecision {
    /// The pool.
    pub pool: MachinePool,
    /// The number of machines, without those of outstanding rentals.
    pub count: u32,
}

/// Decides on rentals and releases. The releases are added to the outstanding `requests`, and their machines get no new
/// tasks from then on. Returns the rentals.
pub fn run_cycle(
    cluster: &mut Cluster,
    requests: &mut OutstandingRequests,
    input: CycleInput,
) -> Vec<RentalDecision> {
    if awaits_heartbeats(cluster, input.now) {
        return Vec::new();
    }
    detect_partitions(cluster, input.now);
    let CycleInput {
        policy,
        unmet_demand,
        capacity_backoff,
        idle_policy,
        now,
    } = input;
    let actions = plan(&FleetView {
        cluster,
        policy,
        unmet_demand,
        capacity_backoff,
        idle_policy,
        now,
    });
    let mut rentals = Vec::new();
    for action in actions {
        match action {
            ScalingAction::Rent(pool, count) => {
                let count = count.saturating_sub(requests.machines_requested(&pool));
                rentals.push(RentalDecision { pool, count });
            }
            ScalingAction::Release(machines, reason) => {
                requests.add_release(cluster, machines, reason);
            }
        }
    }
    rentals.retain(|rental| rental.count > 0);
    rentals
}

/// Whether machines that should be up may still send their first heartbeat after a failover.
fn awaits_heartbeats(cluster: &Cluster, now: Instant) -> bool {
    let observed_for = now.saturating_duration_since(cluster.observing_since);
    let mut machines = cluster.machines.values();
    observed_for < RECONCILIATION_TIMEOUT && machines.any(Machine::awaits_first_heartbeat)
}
