//! Idle machines that likely cost more to keep than a new rental.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::cluster::{find_machine_type, Cluster, Machine, PoolId, ARRIVAL_WINDOW};
use crate::fleet::demand::ArrivalTrend;
use crate::fleet::partition::is_partitioned;
use crate::fleet::{CapacityBackoff, FleetView, Release, ReleaseReason};
use crate::model::{MachineId, MachinePool, MachineType};
use crate::policy::SchedulingPolicy;

/// Factor on the idle time of a machine that no urgent class can use: the classes that can use it
/// can wait for a boot.
const NON_URGENT_KEEP_FACTOR: f64 = 0.6;
/// Factor on the idle time of a machine that an urgent class can use: it has pulled the images, and
/// jobs start on it without waiting for a boot.
const URGENT_KEEP_FACTOR: f64 = 3.0;

/// Returns the idle machines that likely cost more to keep than a new rental, without those in
/// `kept`.
pub(in crate::fleet) fn releases(
    fleet_view: &FleetView,
    trend: &ArrivalTrend,
    kept: &HashSet<MachineId>,
) -> Vec<Release> {
    let FleetView {
        cluster,
        policy,
        idle_policy,
        now,
        ..
    } = *fleet_view;
    let urgent_pools = urgent_pools(cluster, policy);
    let mut releases = Vec::new();
    for machine in cluster.machines.values() {
        if kept.contains(&machine.id) || !is_idle(cluster, machine, now) {
            continue;
        }
        let reason = match find_machine_type(cluster.catalog(), &machine.machine_type) {
            // No job can use a machine whose type the catalog does not contain.
            None => ReleaseReason::UnknownMachineType,
            Some(machine_type) => {
                let idle_for = now.saturating_duration_since(machine.idle_since);
                let keep_for = keep_for(fleet_view, trend, &urgent_pools, machine, machine_type);
                if idle_for <= keep_for.mul_f64(idle_policy.idle_factor) {
                    continue;
                }
                ReleaseReason::Idle
            }
        };
        releases.push(Release {
            machine: machine.id.clone(),
            reason,
        });
    }
    releases
}

fn is_idle(cluster: &Cluster, machine: &Machine, now: Instant) -> bool {
    let usable_and_free = machine.last_heartbeat_at.is_some()
        && machine.fenced
        && !machine.is_releasing()
        && !machine.is_busy();
    // A machine in a partitioned zone lost its tasks because its lease expired, not because demand
    // fell.
    let unresponsive = || machine.heartbeat_overdue(now, cluster.timing.suspect_after);
    usable_and_free && !(unresponsive() && is_partitioned(cluster, &machine.zone, now))
}

/// Returns how long an idle machine is kept: longer if a new one would cost more or take longer to
/// be usable, and if more jobs that can use it are likely to arrive.
fn keep_for(
    fleet_view: &FleetView,
    trend: &ArrivalTrend,
    urgent_pools: &HashSet<PoolId>,
    machine: &Machine,
    machine_type: &MachineType,
) -> Duration {
    let FleetView {
        cluster,
        capacity_backoff,
        now,
        ..
    } = *fleet_view;
    // A recently elected leader has recorded too few arrivals to rule out classes without any.
    let new_leader = now.saturating_duration_since(cluster.observing_since) < ARRIVAL_WINDOW;
    let replacement_price = likely_replacement_price(machine_type, machine, capacity_backoff, now);
    let price_ratio =
        (replacement_price / machine_type.hourly_price_of(machine.spot)).clamp(0.0, 1.0);
    let is_urgent = machine
        .pool
        .is_some_and(|pool| urgent_pools.contains(&pool));
    let urgency_factor = if is_urgent {
        URGENT_KEEP_FACTOR
    } else {
        NON_URGENT_KEEP_FACTOR
    };
    let pool = machine.pool.and_then(|pool| cluster.pools.get(pool));
    let likelihood = pool.map_or(0.0, |pool| trend.for_pool(pool, machine_type, new_leader));
    replacement_time(machine, machine_type)
        .mul_f64(price_ratio)
        .mul_f64(urgency_factor)
        .mul_f64(likelihood)
}

/// Returns the pools that urgent classes with recent arrivals can use.
fn urgent_pools(cluster: &Cluster, policy: &SchedulingPolicy) -> HashSet<PoolId> {
    let mut pools = HashSet::new();
    for (id, pool) in cluster.pools.iter() {
        let Some(machine_type) = find_machine_type(cluster.catalog(), &pool.machine_type) else {
            continue;
        };
        let is_urgent = cluster.arrivals.iter().any(|(_, spec)| {
            policy.cannot_wait_for_boot(&spec.class, machine_type.boot_time)
                && spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&machine_type.capacity)
        });
        if is_urgent {
            pools.insert(id);
        }
    }
    pools
}

/// Returns the price at which a machine of this type could likely be rented again: the spot price
/// if spot capacity is likely available, so that a replaceable on-demand machine is not kept as
/// long.
fn likely_replacement_price(
    machine_type: &MachineType,
    machine: &Machine,
    capacity_backoff: &CapacityBackoff,
    now: Instant,
) -> f64 {
    let current_price = machine_type.hourly_price_of(machine.spot);
    let mut spot_pools = machine_type.zones.iter().map(|zone| MachinePool {
        machine_type: machine_type.name.clone(),
        zone: zone.clone(),
        spot: true,
    });
    if spot_pools.any(|pool| capacity_backoff.is_likely_available(&pool, now)) {
        current_price.min(machine_type.hourly_spot_price)
    } else {
        current_price
    }
}

/// Returns the time that a new machine needs to boot and to pull the images that this one has. A
/// policy that keeps an idle machine for at most that long never costs more than twice the optimum
/// with known future demand.
fn replacement_time(machine: &Machine, machine_type: &MachineType) -> Duration {
    let images_gb: f64 = machine.images.iter().map(|(_, size_gb)| size_gb).sum();
    let pull_s = images_gb / machine_type.pull_gb_per_s.max(f64::MIN_POSITIVE);
    machine_type.boot_time + crate::time::secs(pull_s)
}
