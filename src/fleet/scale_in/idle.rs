//! Idle machines that cost more to keep than a new rental likely would.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use crate::cluster::{find_machine_type, Cluster, Machine, PoolId, ARRIVAL_WINDOW};
use crate::fleet::demand::ArrivalTrend;
use crate::fleet::partition::partitioned;
use crate::fleet::{CapacityBackoff, FleetView, Release, ReleaseReason};
use crate::model::{MachineId, MachinePool, MachineType};
use crate::policy::SchedulingPolicy;

/// How much shorter a machine is kept idle that serves only classes which can wait for a boot.
const PATIENT_KEEP_FACTOR: f64 = 0.6;
/// How much longer a machine is kept idle that serves an urgent class: it has the images, and no job
/// waits for a boot.
const URGENT_KEEP_FACTOR: f64 = 3.0;

/// Idle machines that cost more to keep than a new rental likely would, without those to be kept.
pub(in crate::fleet) fn machines(
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
            // A type the catalog does not have is of no use to any job.
            None => ReleaseReason::UnknownType,
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
    let idle = machine.last_heartbeat_at.is_some()
        && machine.fenced
        && !machine.releasing
        && !machine.is_busy();
    // A machine behind a partition lost its work with its lease, not for want of demand.
    let silent = || machine.heartbeat_overdue(now, cluster.timing.suspect_after);
    idle && !(silent() && partitioned(cluster, &machine.zone, now))
}

/// How long an idle machine is kept: longer where a new one would cost more or take longer, and
/// where more jobs that can use it are likely to arrive.
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
    // What a new leader has not seen arrive may arrive yet.
    let young = now.saturating_duration_since(cluster.observing_since) < ARRIVAL_WINDOW;
    let replacement = replacement_price(machine_type, machine, capacity_backoff, now);
    let price_part = (replacement / machine_type.hourly_price_of(machine.spot)).clamp(0.0, 1.0);
    let urgent = machine
        .pool
        .is_some_and(|pool| urgent_pools.contains(&pool));
    let urgency = if urgent {
        URGENT_KEEP_FACTOR
    } else {
        PATIENT_KEEP_FACTOR
    };
    let pool = machine.pool.and_then(|pool| cluster.pools.get(pool));
    let likelihood = pool.map_or(0.0, |pool| trend.of_pool(pool, machine_type, young));
    replacement_time(machine, machine_type)
        .mul_f64(price_part)
        .mul_f64(urgency)
        .mul_f64(likelihood)
}

/// Pools that urgent classes could lately use.
fn urgent_pools(cluster: &Cluster, policy: &SchedulingPolicy) -> HashSet<PoolId> {
    let mut pools = HashSet::new();
    for (id, pool) in cluster.pools.iter() {
        let Some(machine_type) = find_machine_type(cluster.catalog(), &pool.machine_type) else {
            continue;
        };
        let urgent = cluster.arrivals.iter().any(|(_, spec)| {
            policy.cannot_wait_for_boot(&spec.class, machine_type.boot_time)
                && spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&machine_type.capacity)
        });
        if urgent {
            pools.insert(id);
        }
    }
    pools
}

/// The price at which such a machine could likely be rented again. An on-demand machine is not
/// worth keeping as long where a spot machine would replace it.
fn replacement_price(
    machine_type: &MachineType,
    machine: &Machine,
    capacity_backoff: &CapacityBackoff,
    now: Instant,
) -> f64 {
    let own = machine_type.hourly_price_of(machine.spot);
    let mut spot_pools = machine_type.zones.iter().map(|zone| MachinePool {
        machine_type: machine_type.name.clone(),
        zone: zone.clone(),
        spot: true,
    });
    if spot_pools.any(|pool| capacity_backoff.likely_available(&pool, now)) {
        own.min(machine_type.hourly_spot_price)
    } else {
        own
    }
}

/// How long a machine is worth keeping idle: the time a new one needs to boot and to pull the
/// images that this one has. A policy that waits at most that long never pays more than twice what
/// knowing the future would have cost.
fn replacement_time(machine: &Machine, machine_type: &MachineType) -> Duration {
    let images_gb: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
    let pull_s = images_gb / machine_type.pull_gb_per_s.max(f64::MIN_POSITIVE);
    machine_type.boot_time + crate::time::secs(pull_s)
}
