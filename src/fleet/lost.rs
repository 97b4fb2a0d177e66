//! Machines to be given up whatever the demand.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{build_named, Cluster, Drain, Listed, Machine};
use crate::model::MachineId;

/// Part of the fleet that must be heard from before silence of the rest is believed: when
/// nobody is heard, it is more likely us.
const HEARD_PART: f64 = 0.5;
/// Machines of a zone that must be silent before the zone may count as cut off.
const LEAST_CUT: usize = 3;
/// A boot of this many times its nominal time is given up.
const HOPELESS_BOOT: f64 = 4.0;
/// A machine listed as running for that long without a report is given up.
const UNHEARD: Duration = Duration::from_secs(30);

/// Zones most of whose machines are silent at once.
fn silent_zones<'a>(up: &[&'a Machine], quiet: Duration, now: Instant) -> HashSet<&'a str> {
    let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
    for machine in up {
        let (all, silent) = zones.entry(machine.zone.as_str()).or_default();
        *all += 1;
        *silent += usize::from(machine.silent(now, quiet));
    }
    zones
        .into_iter()
        .filter(|(_, (all, silent))| *silent >= LEAST_CUT && *silent * 2 > *all)
        .map(|(zone, _)| zone)
        .collect()
}

/// Machines to be given up whatever the demand.
pub(super) fn machines(cluster: &Cluster, now: Instant) -> Vec<(MachineId, &'static str)> {
    let up: Vec<&Machine> = cluster
        .machines
        .values()
        .filter(|m| m.reported.is_some())
        .collect();
    let quiet = cluster.timing.quiet;
    let heard = up.iter().filter(|m| !m.silent(now, quiet)).count();
    let we_hear = !up.is_empty() && heard as f64 >= up.len() as f64 * HEARD_PART;
    let since_take_over = now.saturating_duration_since(cluster.since);
    let cut_off = silent_zones(&up, quiet, now);
    let mut lost = Vec::new();
    for machine in cluster.machines.values().filter(|m| !m.returning) {
        let id = machine.id.clone();
        let age = now.saturating_duration_since(machine.rented);
        let boot = build_named(cluster.catalog(), &machine.build).map(|build| build.boot);
        // With nobody heard, only a silence that ends all leases counts.
        let limit = if we_hear {
            cluster.timing.lost
        } else {
            cluster.timing.lease * 2
        };
        let why = if machine.listed == Listed::Failed {
            Some("it failed")
        } else if machine.reported.is_some() {
            // A zone that falls silent as a whole is more likely cut off than dead: its work
            // goes on for a lease, and its machines need not boot again.
            let limit = if cut_off.contains(machine.zone.as_str()) {
                limit.max(cluster.timing.lease * 2)
            } else {
                limit
            };
            let drained = machine.drain.is_some() && !machine.busy();
            let by_operator = machine.drain == Some(Drain::Operator);
            if machine.silent(now, limit) {
                Some("it is silent")
            } else if drained && !by_operator {
                Some("it is not fit for work")
            } else {
                None
            }
        } else if cluster.unsettled.contains(&machine.id) {
            // It may hold tasks and hasn't been heard since we took over.
            (since_take_over > limit).then_some("it did not report")
        } else if machine.listed == Listed::Running {
            let unheard = now.saturating_duration_since(machine.listed_since) > UNHEARD;
            (unheard && since_take_over > UNHEARD).then_some("it never reported")
        } else {
            let hopeless = boot.is_some_and(|boot| age > boot.mul_f64(HOPELESS_BOOT));
            hopeless.then_some("its boot is hopeless")
        };
        if let Some(why) = why {
            lost.push((id, why));
        }
    }
    lost
}
