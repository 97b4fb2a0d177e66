//! Detection of network partitions: zones most of whose machines are unresponsive at once are more
//! likely cut off than failed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Machine};

/// Part of the fleet that must be responsive before the rest is taken for failed: when hardly any
/// machine is, the fault is more likely this controller's.
const RESPONSIVE_PART: f64 = 0.5;
/// Machines of a zone that must be unresponsive before the zone may count as partitioned.
const PARTITIONED_MACHINES_MIN: usize = 3;
/// Status probes without an answer after which a machine that others wait for is not waited for
/// any longer than a heartbeat may take.
pub(super) const UNANSWERED_PROBES_MAX: u32 = 2;
/// Times the heartbeat interval that a heartbeat may take: the interval and a quarter, finding the
/// new leader, and some time on the way.
const HEARTBEAT_DELAY_FACTOR: f64 = 2.0;
/// The name under which a partition from most of all machines is remembered; no zone's, since
/// those have no spaces.
const ALL_ZONES: &str = "every zone";

/// Whether commands to a machine have no effect: it sends no heartbeats, or they show nothing of
/// the answers to them.
pub(super) fn unresponsive(machine: &Machine, now: Instant, limit: Duration) -> bool {
    let known_for_long = machine
        .first_heartbeat_at
        .is_some_and(|first| now.saturating_duration_since(first) > limit);
    machine.heartbeat_overdue(now, limit)
        || machine.reachability.overdue(now, limit)
        || (known_for_long && !machine.fenced)
}

/// How long a heartbeat of a machine that sends them at all may take.
pub(super) fn heartbeat_delay_max(cluster: &Cluster) -> Duration {
    let interval = cluster.timing.heartbeat_interval;
    interval.mul_f64(HEARTBEAT_DELAY_FACTOR)
}

/// Whether a zone counts as partitioned: that a machine there is unresponsive is no evidence that it
/// failed, and what would be rented there could not be reached either.
pub(super) fn partitioned(cluster: &Cluster, zone: &str, now: Instant) -> bool {
    cluster.zone_recently_partitioned(zone, now, heartbeat_delay_max(cluster))
}

/// Whether this controller counts as partitioned from most of all machines.
pub(super) fn isolated(cluster: &Cluster, now: Instant) -> bool {
    partitioned(cluster, ALL_ZONES, now)
}

/// Detects which zones are partitioned, and whether this controller is isolated, and remembers it:
/// when a partition is over, half of a zone's machines send heartbeats before the other half, which
/// must not be declared failed until then.
pub fn detect_partitions(cluster: &mut Cluster, now: Instant) {
    let (mut machines, mut responsive) = (0, 0);
    for (_, unresponsive) in known_machines(cluster, now) {
        machines += 1;
        responsive += usize::from(!unresponsive);
    }
    let isolated = machines == 0 || (responsive as f64) < machines as f64 * RESPONSIVE_PART;
    let zones = unresponsive_zones(known_machines(cluster, now));
    let mut partitions: Vec<String> = zones.into_iter().map(str::to_owned).collect();
    if isolated {
        partitions.push(ALL_ZONES.to_owned());
    }
    for zone in partitions {
        cluster.record_zone_partition(&zone, now);
    }
}

/// Machines that should send heartbeats, and whether they are unresponsive.
fn known_machines(cluster: &Cluster, now: Instant) -> impl Iterator<Item = (&Machine, bool)> {
    let timing = &cluster.timing;
    let leader_for = now.saturating_duration_since(cluster.observing_since);
    // Machines that others wait for are judged before they may be declared failed: else a new leader
    // would give up a partitioned zone machine by machine before it detects the partition.
    let delay_max = heartbeat_delay_max(cluster);
    let never_heard = move |machine: &Machine| {
        let unanswered =
            machine.unanswered_commands >= UNANSWERED_PROBES_MAX && leader_for > delay_max / 2;
        unanswered || leader_for > delay_max.min(timing.suspect_after)
    };
    let known = cluster.machines.values().filter(|machine| {
        machine.last_heartbeat_at.is_some() || cluster.unreconciled.contains(&machine.id)
    });
    known.map(move |machine| {
        let unresponsive = unresponsive(machine, now, timing.suspect_after)
            || (machine.last_heartbeat_at.is_none() && never_heard(machine));
        (machine, unresponsive)
    })
}

/// Zones most of whose machines are unresponsive.
fn unresponsive_zones<'a>(machines: impl Iterator<Item = (&'a Machine, bool)>) -> HashSet<&'a str> {
    #[derive(Default)]
    struct Count {
        all: usize,
        unresponsive: usize,
    }
    let mut zones: HashMap<&str, Count> = HashMap::new();
    // A machine known by its inventory record only has no zone that could be partitioned. It is most
    // likely gone, and must not be kept for others like it: it blocks jobs that may run on it.
    for (machine, unresponsive) in machines.filter(|(machine, _)| !machine.zone.is_empty()) {
        let count = zones.entry(machine.zone.as_str()).or_default();
        count.all += 1;
        count.unresponsive += usize::from(unresponsive);
    }
    let partitioned = zones.into_iter().filter(|(_, count)| {
        count.unresponsive >= PARTITIONED_MACHINES_MIN && count.unresponsive * 2 > count.all
    });
    partitioned.map(|(zone, _)| zone).collect()
}
