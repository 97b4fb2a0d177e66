//! Idle machines whose keeping costs more than a new one likely would.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use super::{Market, Offer, Thrift};
use crate::cluster::{build_named, Cluster, KindId, Machine};
use crate::model::{Build, MachineId};
use crate::sched::Policy;

/// How much shorter a machine is kept idle that serves only classes which can wait for a boot.
const PATIENT_KEEP: f64 = 0.6;
/// How much longer a machine is kept idle that serves a class which has to start promptly: it
/// has the images, and nobody waits for a boot.
const PROMPT_KEEP: f64 = 3.0;

/// Idle machines whose keeping costs more than a new one likely would.
pub(super) fn machines(
    cluster: &Cluster,
    kept: &HashSet<MachineId>,
    leaving: &HashSet<MachineId>,
    policy: &Policy,
    market: &Market,
    thrift: Thrift,
    now: Instant,
) -> Vec<(MachineId, &'static str)> {
    let mut idle = Vec::new();
    let prompt_kinds = prompt_kinds(cluster, policy);
    for machine in cluster.machines.values() {
        let free = machine.reported.is_some()
            && machine.fenced
            && !machine.returning
            && !machine.busy()
            && !kept.contains(&machine.id)
            && !leaving.contains(&machine.id);
        if !free {
            continue;
        }
        let Some(build) = build_named(cluster.catalog(), &machine.build) else {
            // A type the catalog does not have is of no use to anybody.
            idle.push((machine.id.clone(), "its type is unknown"));
            continue;
        };
        let since = now.saturating_duration_since(machine.idle_since);
        let again = cheapest_again(build, machine, market, now);
        let part = (again / build.price_of(machine.spot)).clamp(0.0, 1.0);
        let worth = worth_keeping(machine, build).mul_f64(part);
        let prompt = machine
            .kind
            .is_some_and(|kind| prompt_kinds.contains(&kind));
        let worth = worth.mul_f64(if prompt { PROMPT_KEEP } else { PATIENT_KEEP });
        if since > worth.mul_f64(thrift.idle_factor) {
            idle.push((machine.id.clone(), "it is idle"));
        }
    }
    idle
}

/// Kinds of machine that a class which starts promptly has lately asked for.
fn prompt_kinds(cluster: &Cluster, policy: &Policy) -> HashSet<KindId> {
    let mut kinds = HashSet::new();
    for (id, kind) in cluster.kinds.iter() {
        let Some(build) = build_named(cluster.catalog(), &kind.build) else {
            continue;
        };
        let asked = cluster.arrivals.iter().any(|(_, spec)| {
            policy.prompt.contains_key(&spec.class)
                && spec.allows(&kind.build, &kind.zone, kind.spot)
                && spec.need.fits(&build.room)
        });
        if asked {
            kinds.insert(id);
        }
    }
    kinds
}

/// The price at which such a machine could likely be had again. An ordinary machine is not
/// worth keeping as long where a spot one would take its place.
fn cheapest_again(build: &Build, machine: &Machine, market: &Market, now: Instant) -> f64 {
    let own = build.price_of(machine.spot);
    let zones = build.zones.iter();
    let spot = zones.map(|zone| Offer {
        build: build.name.clone(),
        zone: zone.clone(),
        spot: true,
    });
    let mut spot = spot.filter(|offer| market.likely(offer, now));
    if spot.next().is_some() {
        own.min(build.spot_price)
    } else {
        own
    }
}

/// How long a machine is worth keeping idle: the time a new one needs to boot and to fetch
/// the images that this one has. Whoever waits at most that long never pays more than twice
/// what knowing the future would have cost.
fn worth_keeping(machine: &Machine, build: &Build) -> Duration {
    let images: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
    let fetch = images / build.fetch_rate.max(f64::MIN_POSITIVE);
    build.boot + crate::config::secs(fetch)
}
