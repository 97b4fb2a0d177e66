//! Detection of network partitions: if most machines of a zone are unresponsive at once, a network
//! partition is more likely than the failure of all of them.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Machine};

/// The part of the fleet that must be responsive before the others may be declared failed. If fewer
/// machines are responsive, the fault is more likely on the side of this controller.
const RESPONSIVE_PART_MIN: f64 = 0.5;
/// The least number of unresponsive machines with which a zone may count as partitioned.
const PARTITIONED_MACHINES_MIN: usize = 3;
/// Number of unanswered status probes after which an unreconciled machine, which blocks jobs, gets
/// no more time for its first heartbeat than [`heartbeat_delay_max`].
pub(super) const UNANSWERED_PROBES_MAX: u32 = 2;
/// The longest time until a heartbeat arrives, in heartbeat intervals: one and a quarter intervals
/// to the next heartbeat, the time to find a new leader, and the transmission.
const HEARTBEAT_DELAY_FACTOR: f64 = 2.0;
/// The key under which a partition from most of all machines is recorded. It can't be the name of a
/// zone, since those contain no spaces.
const ALL_ZONES: &str = "every zone";

/// Whether commands have no effect on a machine: it has sent no heartbeat for longer than `limit`,
/// or its heartbeats do not acknowledge the responses to them.
pub(super) fn is_unresponsive(machine: &Machine, now: Instant, limit: Duration) -> bool {
    let first_heartbeat_past_limit = machine
        .first_heartbeat_at
        .is_some_and(|first| now.saturating_duration_since(first) > limit);
    machine.heartbeat_overdue(now, limit)
        || machine.reachability.acknowledgement_overdue(now, limit)
        || (first_heartbeat_past_limit && !machine.fenced)
}

/// Returns the longest time until the next heartbeat of a responsive machine arrives.
pub(super) fn heartbeat_delay_max(cluster: &Cluster) -> Duration {
    let interval = cluster.timing.heartbeat_interval;
    interval.mul_f64(HEARTBEAT_DELAY_FACTOR)
}

/// Whether a zone counts as partitioned. Then a missing heartbeat is no evidence that a machine in
/// it has failed, and machines rented in it would be unreachable too.
pub(super) fn is_partitioned(cluster: &Cluster, zone: &str, now: Instant) -> bool {
    cluster.zone_recently_partitioned(zone, now, heartbeat_delay_max(cluster))
}

/// Whether this controller counts as partitioned from most of all machines.
pub(super) fn is_isolated(cluster: &Cluster, now: Instant) -> bool {
    is_partitioned(cluster, ALL_ZONES, now)
}

/// Detects which zones are partitioned and whether this controller is isolated, and records the
/// time of each finding. When a partition ends, the machines of a zone resume their heartbeats one
/// after another. The record keeps the later half of them from being declared failed meanwhile.
pub fn detect_partitions(cluster: &mut Cluster, now: Instant) {
    let (mut machines, mut responsive) = (0, 0);
    for (_, unresponsive) in known_machines(cluster, now) {
        machines += 1;
        responsive += usize::from(!unresponsive);
    }
    let isolated = machines == 0 || (responsive as f64) < machines as f64 * RESPONSIVE_PART_MIN;
    let zones = unresponsive_zones(known_machines(cluster, now));
    let mut partitions: Vec<String> = zones.into_iter().map(str::to_owned).collect();
    if isolated {
        partitions.push(ALL_ZONES.to_owned());
    }
    for zone in partitions {
        cluster.record_zone_partition(&zone, now);
    }
}

/// Returns the machines that should be sending heartbeats, and whether each is unresponsive.
fn known_machines(cluster: &Cluster, now: Instant) -> impl Iterator<Item = (&Machine, bool)> {
    let timing = &cluster.timing;
    let observed_for = now.saturating_duration_since(cluster.observing_since);
    // An unreconciled machine counts as unresponsive before it may be declared failed. Otherwise a
    // new leader would release a partitioned zone machine by machine before it detects the
    // partition.
    let delay_max = heartbeat_delay_max(cluster);
    let first_heartbeat_overdue = move |machine: &Machine| {
        let probes_unanswered =
            machine.unanswered_commands >= UNANSWERED_PROBES_MAX && observed_for > delay_max / 2;
        probes_unanswered || observed_for > delay_max.min(timing.suspect_after)
    };
    let known = cluster.machines.values().filter(|machine| {
        machine.last_heartbeat_at.is_some() || cluster.unreconciled.contains(&machine.id)
    });
    known.map(move |machine| {
        let unresponsive = is_unresponsive(machine, now, timing.suspect_after)
            || (machine.last_heartbeat_at.is_none() && first_heartbeat_overdue(machine));
        (machine, unresponsive)
    })
}

/// Returns the zones most of whose machines are unresponsive.
fn unresponsive_zones<'a>(machines: impl Iterator<Item = (&'a Machine, bool)>) -> HashSet<&'a str> {
    #[derive(Default)]
    struct Count {
        machines: usize,
        unresponsive: usize,
    }
    let mut zones: HashMap<&str, Count> = HashMap::new();
    // The zone of a machine that is known from its inventory record only is unknown. Most likely
    // the machine no longer exists, and it blocks jobs that may run on it. An unknown zone
    // therefore never counts as partitioned.
    for (machine, unresponsive) in machines.filter(|(machine, _)| !machine.zone.is_empty()) {
        let count = zones.entry(machine.zone.as_str()).or_default();
        count.machines += 1;
        count.unresponsive += usize::from(unresponsive);
    }
    let partitioned = zones.into_iter().filter(|(_, count)| {
        count.unresponsive >= PARTITIONED_MACHINES_MIN && count.unresponsive * 2 > count.machines
    });
    partitioned.map(|(zone, _)| zone).collect()
}
