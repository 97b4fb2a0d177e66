//! Machines to be given up whatever the demand.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use super::ReleaseReason;
use crate::cluster::{find_machine_type, Cluster, DrainReason, Listed, Machine, Persistence};
use crate::model::MachineId;

/// Part of the fleet that must be heard from before silence of the rest is believed: when
/// nobody is heard, it is more likely us.
const HEARD_PART: f64 = 0.5;
/// Machines of a zone that must be silent before the zone may count as cut off.
const CUT_MACHINES_MIN: usize = 3;
/// Questions without an answer after which a machine that others wait for is not waited for
/// any longer than a report may take: its interval and a quarter, finding the new leader, and
/// some time on the way.
const VAIN_QUESTIONS: u32 = 2;
const LATEST_REPORT: f64 = 2.0;
/// The name under which it is remembered that hardly half of all machines was heard; no zone's,
/// since those have no spaces.
const EVERYWHERE: &str = "every zone";
/// Leases for which machines of a zone that is cut off are kept. Their work is gone with the first;
/// but to boot and to fetch images anew takes as long as most cuts last, and where all there are
/// of a kind are rented, nothing takes their place meanwhile.
const CUT_LEASES: u32 = 4;
/// A boot of this many times its nominal time is given up.
const HOPELESS_BOOT: f64 = 4.0;
/// A machine listed as running for that long without a report is given up.
const UNHEARD: Duration = Duration::from_secs(30);

/// Whether nothing comes of telling the machine anything: it is silent, or its reports arrive
/// and show nothing of what it was told.
fn mute(machine: &Machine, now: Instant, limit: Duration) -> bool {
    let met_long_ago = machine
        .first_heartbeat
        .is_some_and(|met| now.saturating_duration_since(met) > limit);
    machine.silent(now, limit)
        || machine.reachability.overdue(now, limit)
        || (met_long_ago && !machine.fenced)
}

/// Zones most of whose machines are mute at once: more likely cut off than dead.
fn mute_zones<'a>(machines: impl Iterator<Item = (&'a Machine, bool)>) -> HashSet<&'a str> {
    let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
    // A machine of which only the roster speaks has no zone that could be cut off. It is most
    // likely gone, and must not be kept for others like it: it holds up what may run on it.
    for (machine, mute) in machines.filter(|(machine, _)| !machine.zone.is_empty()) {
        let (all, lost) = zones.entry(machine.zone.as_str()).or_default();
        *all += 1;
        *lost += usize::from(mute);
    }
    zones
        .into_iter()
        .filter(|(_, (all, lost))| *lost >= CUT_MACHINES_MIN && *lost * 2 > *all)
        .map(|(zone, _)| zone)
        .collect()
}

/// How long a machine that reports at all may take to do so: its interval and a quarter, finding
/// the new leader, and some time on the way.
fn latest(cluster: &Cluster) -> Duration {
    cluster.timing.heartbeat_interval.mul_f64(LATEST_REPORT)
}

/// Sees which zones are cut off, and whether hardly half of all machines is heard, and remembers
/// it: when a cut is over, half of a zone's machines report before the other half, which must
/// not be given up for its silence until then.
pub fn see_cuts(cluster: &mut Cluster, now: Instant) {
    let timing = &cluster.timing;
    let since_take_over = now.saturating_duration_since(cluster.since);
    // What others wait for is judged before it may be given up: else a new leader would give up
    // a zone that is cut off machine by machine before it sees that the zone is.
    let late = latest(cluster);
    let is_mute = |machine: &Machine| {
        let vain = machine.unanswered_commands >= VAIN_QUESTIONS && since_take_over > late / 2;
        mute(machine, now, timing.suspect_after)
            || (machine.last_heartbeat.is_none()
                && (vain || since_take_over > late.min(timing.suspect_after)))
    };
    let known = || {
        let machines = cluster.machines.values();
        let known = machines.filter(|machine| {
            machine.last_heartbeat.is_some() || cluster.unreconciled.contains(&machine.id)
        });
        known.map(|machine| (machine, is_mute(machine)))
    };
    let (all, heard) = known().fold((0, 0), |(all, heard), (_, mute)| {
        (all + 1, heard + usize::from(!mute))
    });
    let we_hear = all > 0 && heard as f64 >= all as f64 * HEARD_PART;
    let mut cut: Vec<String> = mute_zones(known()).into_iter().map(str::to_owned).collect();
    if !we_hear {
        cut.push(EVERYWHERE.to_owned());
    }
    for zone in cut {
        cluster.note_cut(&zone, now);
    }
}

/// Whether a zone counts as cut off: what is silent there says nothing by it, and what would be
/// rented there could not be reached either.
pub(super) fn cut_off(cluster: &Cluster, zone: &str, now: Instant) -> bool {
    cluster.cut_lately(zone, now, latest(cluster))
}

/// Machines to be given up whatever the demand.
pub(super) fn machines(cluster: &Cluster, now: Instant) -> Vec<(MachineId, ReleaseReason)> {
    let timing = &cluster.timing;
    let since_take_over = now.saturating_duration_since(cluster.since);
    // Whether others wait for it or not: it was up in an earlier term.
    let waited_for = |machine: &Machine| {
        cluster.unreconciled.contains(&machine.id)
            || machine.inventory_record == Persistence::Written
    };
    let late = latest(cluster);
    let we_hear = !cluster.cut_lately(EVERYWHERE, now, late);
    let mut lost = Vec::new();
    for machine in cluster.machines.values().filter(|m| !m.releasing) {
        let id = machine.id.clone();
        let age = now.saturating_duration_since(machine.rented_at);
        let boot = find_machine_type(cluster.catalog(), &machine.machine_type)
            .map(|machine_type| machine_type.boot);
        let cut = cut_off(cluster, &machine.zone, now);
        let why = if machine.listed == Listed::Failed {
            Some(ReleaseReason::Failed)
        } else if machine.last_heartbeat.is_some() {
            // A zone that falls silent as a whole is more likely cut off than dead: its work
            // goes on for a lease, and its machines need not boot again. With nobody heard, it
            // is more likely us.
            let limit = if we_hear && !cut {
                timing.failed_after
            } else {
                timing.failed_after.max(timing.lease * CUT_LEASES)
            };
            let drained = machine.drain.is_some() && !machine.busy();
            let by_operator = machine.drain == Some(DrainReason::Operator);
            if machine.silent(now, limit) {
                Some(ReleaseReason::Unresponsive)
            } else if mute(machine, now, limit) {
                Some(ReleaseReason::Unreachable)
            } else if drained && !by_operator {
                Some(ReleaseReason::Unfit)
            } else {
                None
            }
        } else if waited_for(machine) {
            // It may hold tasks and hasn't been heard since we took over. Two questions in vain
            // and a report that should have come are enough where others are heard. In a zone
            // that is cut off, its work goes on, and it need not boot again, as above.
            let alone = machine.unanswered_commands >= VAIN_QUESTIONS || machine.zone.is_empty();
            let limit = match (we_hear && !cut, alone) {
                (true, true) => late,
                (true, false) => timing.failed_after,
                (false, _) => timing.failed_after.max(timing.lease * CUT_LEASES),
            };
            (since_take_over > limit).then_some(ReleaseReason::NotReconciled)
        } else if machine.listed == Listed::Running {
            let unheard = now.saturating_duration_since(machine.listed_since) > UNHEARD;
            (unheard && since_take_over > UNHEARD).then_some(ReleaseReason::NeverReported)
        } else {
            let hopeless = boot.is_some_and(|boot| age > boot.mul_f64(HOPELESS_BOOT));
            hopeless.then_some(ReleaseReason::HopelessBoot)
        };
        if let Some(why) = why {
            lost.push((id, why));
        }
    }
    lost
}
