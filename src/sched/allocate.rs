//! Tentative allocation: filters, then scores.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use super::zones_of;
use crate::cluster::{build_named, Cluster, Job, Phase};
use crate::model::{Amount, Build, JobSpec, MachineId};

/// What an unused part of a machine counts against it, in seconds of fetching.
const PACKING_S: f64 = 6.0;
/// What a machine's slowness or a busy line counts, in the same measure.
const SHARED_LINE_S: f64 = 4.0;

/// Free room on one machine.
#[derive(Debug, Clone)]
pub struct Room {
    /// What is free.
    pub free: Amount,
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// Free room on all machines that take tasks.
#[derive(Debug, Clone)]
pub struct Rooms(pub BTreeMap<MachineId, Room>);

impl Rooms {
    /// As the picture has it.
    pub fn of(cluster: &Cluster, now: Instant) -> Self {
        let mut rooms = BTreeMap::new();
        for (id, machine) in &cluster.machines {
            if !machine.takes_tasks(now, cluster.timing.quiet) {
                continue;
            }
            let Some(build) = build_named(cluster.catalog(), &machine.build) else {
                continue;
            };
            let mut free = build.room;
            free.sub(&machine.taken());
            let room = Room {
                free,
                build: machine.build.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
            };
            rooms.insert(id.clone(), room);
        }
        Self(rooms)
    }
}

/// What allocation found.
#[derive(Debug, Default)]
pub struct Found {
    /// Tasks with their machines.
    pub members: Vec<(u32, MachineId)>,
    /// The zone the rest is bound to.
    pub zone: Option<String>,
}

/// Seconds until a task's image would be there.
fn fetch_s(cluster: &Cluster, id: &MachineId, spec: &JobSpec, build: &Build) -> f64 {
    let Some(machine) = cluster.machines.get(id) else {
        return 0.0;
    };
    if machine.has_image(&spec.image) {
        return 0.0;
    }
    let rate = build.fetch_rate.max(f64::MIN_POSITIVE);
    let whole = spec.image_gb / rate;
    let mut cost = whole;
    for slot in machine.slots.values().filter(|slot| slot.occupies()) {
        let Some(other) = &slot.spec else { continue };
        if other.image == spec.image {
            // One fetch serves all tasks that wait for it.
            let under_way = matches!(slot.phase, Phase::Pulling);
            cost = cost.min(if under_way { whole / 2.0 } else { whole });
        } else if slot.phase == Phase::Pulling {
            cost += SHARED_LINE_S;
        }
    }
    cost
}

/// Lower is better.
fn score(cluster: &Cluster, id: &MachineId, room: &Room, spec: &JobSpec) -> f64 {
    let Some(build) = build_named(cluster.catalog(), &room.build) else {
        return f64::INFINITY;
    };
    let left = |free: f64, need: f64, whole: f64| {
        if whole > 0.0 {
            (free - need) / whole
        } else {
            0.0
        }
    };
    // What the task leaves unused, in the resource that the machine is rented for.
    let waste = if build.room.gpus > 0.0 {
        left(room.free.gpus, spec.need.gpus, build.room.gpus)
    } else {
        left(room.free.cpus, spec.need.cpus, build.room.cpus)
    };
    fetch_s(cluster, id, spec, build) + waste * PACKING_S
}

fn fits(cluster: &Cluster, job: &Job, id: &MachineId, room: &Room) -> bool {
    job.spec.allows(&room.build, &room.zone, room.spot)
        && job.spec.need.fits(&room.free)
        // A machine on which this job failed gets no second try while others are there.
        && (!job.failed_on.contains(id) || cluster.machines.len() <= job.failed_on.len())
}

/// Fills `tasks` in order as far as they fit, within `zone` if given.
fn fill(
    cluster: &Cluster,
    job: &Job,
    tasks: &[u32],
    zone: Option<&str>,
    rooms: &mut Rooms,
) -> (Vec<(u32, MachineId)>, f64) {
    let spec = &job.spec;
    let mut in_zone: HashMap<String, u32> = zones_of(cluster, job)
        .into_iter()
        .map(|(zone, count)| (zone.to_owned(), count))
        .collect();
    let mut candidates: Vec<(f64, MachineId)> = rooms
        .0
        .iter()
        .filter(|(_, room)| zone.is_none_or(|zone| zone == room.zone))
        .filter(|(id, room)| fits(cluster, job, id, room))
        .map(|(id, room)| (score(cluster, id, room, spec), id.clone()))
        .collect();
    let mut members = Vec::new();
    let mut total = 0.0;
    for index in tasks {
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = candidates.iter().position(|(_, id)| {
            let room = &rooms.0[id];
            let there = in_zone.get(&room.zone).copied().unwrap_or(0);
            there < spec.zone_cap()
        });
        let Some(best) = best else { break };
        let (cost, id) = candidates[best].clone();
        let Some(room) = rooms.0.get_mut(&id) else {
            break;
        };
        room.free.sub(&spec.need);
        *in_zone.entry(room.zone.clone()).or_default() += 1;
        total += cost;
        members.push((*index, id.clone()));
        if spec.need.fits(&room.free) {
            candidates[best].0 = score(cluster, &id, room, spec);
        } else {
            candidates.remove(best);
        }
    }
    (members, total)
}

/// The zones to be tried one by one: one settled, or each, for a job bound to one zone.
fn zones_to_try(cluster: &Cluster, job: &Job, rooms: &Rooms) -> Vec<Option<String>> {
    if !job.spec.one_zone {
        return vec![None];
    }
    let settled: HashSet<&str> = zones_of(cluster, job).into_keys().collect();
    if !settled.is_empty() {
        // In more than one zone already can't be: nothing is started until that is over.
        let mut settled: Vec<_> = settled.into_iter().map(|z| Some(z.to_owned())).collect();
        settled.truncate(if settled.len() > 1 { 0 } else { 1 });
        return settled;
    }
    let mut zones: Vec<String> = rooms.0.values().map(|room| room.zone.clone()).collect();
    zones.sort();
    zones.dedup();
    zones.into_iter().map(Some).collect()
}

/// Room for all of a gang's missing members, or what there is of it.
pub fn gang(cluster: &Cluster, job: &Job, missing: &[u32], rooms: &mut Rooms) -> Found {
    best_zone(cluster, job, missing, rooms)
}

/// Room for as many of an array's tasks as fit.
pub fn array(cluster: &Cluster, job: &Job, missing: &[u32], rooms: &mut Rooms) -> Found {
    best_zone(cluster, job, missing, rooms)
}

fn best_zone(cluster: &Cluster, job: &Job, missing: &[u32], rooms: &mut Rooms) -> Found {
    let zones = zones_to_try(cluster, job, rooms);
    let settled = job.spec.one_zone && job.placed();
    let mut best: Option<(usize, f64, Found, Rooms)> = None;
    for zone in zones {
        let mut left = rooms.clone();
        let (members, cost) = fill(cluster, job, missing, zone.as_deref(), &mut left);
        let better = best.as_ref().is_none_or(|(count, least, _, _)| {
            members.len() > *count || (members.len() == *count && cost < *least)
        });
        if better {
            let found = Found {
                zone: zone.filter(|_| settled),
                members,
            };
            best = Some((found.members.len(), cost, found, left));
        }
    }
    match best {
        Some((_, _, found, left)) => {
            *rooms = left;
            found
        }
        None => Found::default(),
    }
}
