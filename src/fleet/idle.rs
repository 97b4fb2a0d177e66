//! Idle machines whose keeping costs more than a new one likely would.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::lost::cut_off;
use super::{FleetView, Market, ReleaseReason};
use crate::cluster::{find_machine_type, Cluster, Machine, PoolId, ARRIVALS_KEPT};
use crate::model::{JobSpec, MachineId, MachinePool, MachineType};
use crate::policy::SchedulingPolicy;

/// Arrivals needed to say anything about the time between them.
const ARRIVALS_MIN: usize = 5;
/// Mean times between arrivals without any, after which it is doubted that more come (for
/// random arrivals this happens by chance one time in fifty), and after which it is given up
/// (one in four hundred).
const DOUBT_AFTER: f64 = 4.0;
const OVER_AFTER: f64 = 6.0;

/// How much shorter a machine is kept idle that serves only classes which can wait for a boot.
const PATIENT_KEEP: f64 = 0.6;
/// How much longer a machine is kept idle that serves a class which has to start promptly: it
/// has the images, and nobody waits for a boot.
const PROMPT_KEEP: f64 = 3.0;

/// Idle machines whose keeping costs more than a new one likely would.
pub(super) fn machines(
    fleet_view: &FleetView,
    demand: &Demand,
    kept: &HashSet<MachineId>,
    leaving: &HashSet<MachineId>,
) -> Vec<(MachineId, ReleaseReason)> {
    let FleetView {
        cluster,
        policy,
        market,
        idle_policy,
        now,
        ..
    } = *fleet_view;
    let mut idle = Vec::new();
    let prompt_pools = prompt_pools(cluster, policy);
    // What a new leader has not seen arrive may come yet.
    let young = now.saturating_duration_since(cluster.since) < ARRIVALS_KEPT;
    for machine in cluster.machines.values() {
        let free = machine.last_heartbeat.is_some()
            && machine.fenced
            && !machine.releasing
            && !machine.busy()
            && !kept.contains(&machine.id)
            && !leaving.contains(&machine.id);
        // One that is cut off had its work taken by its lease, not for want of any.
        let silent = machine.silent(now, cluster.timing.suspect_after);
        if !free || (silent && cut_off(cluster, &machine.zone, now)) {
            continue;
        }
        let Some(machine_type) = find_machine_type(cluster.catalog(), &machine.machine_type) else {
            // A type the catalog does not have is of no use to anybody.
            idle.push((machine.id.clone(), ReleaseReason::UnknownType));
            continue;
        };
        let since = now.saturating_duration_since(machine.idle_since);
        let again = cheapest_again(machine_type, machine, market, now);
        let part = (again / machine_type.price_of(machine.spot)).clamp(0.0, 1.0);
        let keep_for = idle_time_limit(machine, machine_type).mul_f64(part);
        let prompt = machine
            .pool
            .is_some_and(|pool| prompt_pools.contains(&pool));
        let keep_for = keep_for.mul_f64(if prompt { PROMPT_KEEP } else { PATIENT_KEEP });
        let pool = machine.pool.and_then(|pool| cluster.pools.get(pool));
        let keep_for =
            keep_for.mul_f64(pool.map_or(0.0, |pool| demand.of_pool(pool, machine_type, young)));
        if since > keep_for.mul_f64(idle_policy.idle_factor) {
            idle.push((machine.id.clone(), ReleaseReason::Idle));
        }
    }
    idle
}

/// How far the jobs of each class still come.
pub(super) struct Demand<'a>(HashMap<&'a str, (&'a JobSpec, f64)>);

impl<'a> Demand<'a> {
    /// By the time since the last arrival, against the mean time between two: after several
    /// times that, it is unlikely that they go on as before.
    pub(super) fn of(cluster: &'a Cluster, now: Instant) -> Self {
        let known = now.saturating_duration_since(cluster.since);
        let mut classes: HashMap<&str, (&JobSpec, usize, Instant)> = HashMap::new();
        for (at, spec) in &cluster.arrivals {
            let entry = classes.entry(&spec.class).or_insert((spec, 0, *at));
            entry.1 += 1;
            entry.2 = entry.2.max(*at);
        }
        let part = |(spec, count, last): (&'a JobSpec, usize, Instant)| {
            if count < ARRIVALS_MIN && known < ARRIVALS_KEPT {
                return (spec, 1.0);
            }
            let mean = known.min(ARRIVALS_KEPT).as_secs_f64() / count as f64;
            let gaps = now.saturating_duration_since(last).as_secs_f64() / mean;
            let part = 1.0 - (gaps - DOUBT_AFTER) / (OVER_AFTER - DOUBT_AFTER);
            (spec, part.clamp(0.0, 1.0))
        };
        let parts = classes.into_iter();
        Self(parts.map(|(class, seen)| (class, part(seen))).collect())
    }

    /// For jobs of a class. Of one that was never seen nothing is known.
    pub(super) fn of_class(&self, spec: &JobSpec) -> f64 {
        let known = self.0.get(spec.class.as_str());
        known.map_or(1.0, |(_, part)| *part)
    }

    /// For a kind of machine, by the classes that can use it.
    fn of_pool(&self, pool: &MachinePool, machine_type: &MachineType, young: bool) -> f64 {
        let uses = self.0.values().filter(|(spec, _)| {
            spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&machine_type.capacity)
        });
        let most = uses
            .map(|(_, part)| *part)
            .fold(None, |most: Option<f64>, part| {
                Some(most.map_or(part, |most| most.max(part)))
            });
        most.unwrap_or(if young { 1.0 } else { 0.0 })
    }
}

/// MachinePools of machine that a class which starts promptly has lately asked for.
fn prompt_pools(cluster: &Cluster, policy: &SchedulingPolicy) -> HashSet<PoolId> {
    let mut pools = HashSet::new();
    for (id, pool) in cluster.pools.iter() {
        let Some(machine_type) = find_machine_type(cluster.catalog(), &pool.machine_type) else {
            continue;
        };
        let asked = cluster.arrivals.iter().any(|(_, spec)| {
            policy.is_urgent(&spec.class, machine_type.boot)
                && spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&machine_type.capacity)
        });
        if asked {
            pools.insert(id);
        }
    }
    pools
}

/// The price at which such a machine could likely be had again. An ordinary machine is not
/// worth keeping as long where a spot one would take its place.
fn cheapest_again(
    machine_type: &MachineType,
    machine: &Machine,
    market: &Market,
    now: Instant,
) -> f64 {
    let own = machine_type.price_of(machine.spot);
    let zones = machine_type.zones.iter();
    let spot = zones.map(|zone| MachinePool {
        machine_type: machine_type.name.clone(),
        zone: zone.clone(),
        spot: true,
    });
    let mut spot = spot.filter(|pool| market.likely(pool, now));
    if spot.next().is_some() {
        own.min(machine_type.spot_price)
    } else {
        own
    }
}

/// How long a machine is worth keeping idle: the time a new one needs to boot and to fetch
/// the images that this one has. Whoever waits at most that long never pays more than twice
/// what knowing the future would have cost.
fn idle_time_limit(machine: &Machine, machine_type: &MachineType) -> Duration {
    let images: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
    let fetch = images / machine_type.fetch_rate.max(f64::MIN_POSITIVE);
    machine_type.boot + crate::time::secs(fetch)
}
