//! Tentative allocation: filters, then scores.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Instant;

use super::{zones_of, Policy, View};
use crate::cluster::{build_named, Cluster, Job, Phase};
use crate::model::{Amount, Build, JobSpec, MachineId};

/// What an unused part of a machine counts against it, in seconds of fetching.
const PACKING_S: f64 = 6.0;
/// What the rest of another image's fetch counts: it delays ours, and ours delays it.
const SHARED_LINE: f64 = 1.5;

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

/// What it counts to take room that a class of higher rank could use and may have to take
/// back by force.
const CONTESTED_S: f64 = 15.0;
/// Fetches shorter than this are never waited around.
const LONG_FETCH_S: f64 = 10.0;
/// A task that outlived its estimate is expected to go on for at least this long.
const LEAST_REST_S: f64 = 3.0;
/// Time from a task's end to the start of another in its place: two reports.
const TURNOVER_S: f64 = 3.0;

/// Places expected to come free, soonest first. A task whose image would take longer to fetch
/// than such a place takes to come free, on a machine that has the image, waits for it.
#[derive(Debug, Clone)]
pub struct Departures(Vec<Departure>);

/// A place that a running task is expected to leave.
#[derive(Debug, Clone)]
pub struct Departure {
    /// In so many seconds.
    pub rest_s: f64,
    /// Where.
    pub machine: MachineId,
    /// What it takes now.
    pub amount: Amount,
}

impl Departures {
    /// From what runs, by the owners' estimates.
    pub fn of(cluster: &Cluster, rooms: &Rooms, now: Instant) -> Self {
        let mut all = Vec::new();
        for id in rooms.0.keys() {
            let Some(machine) = cluster.machines.get(id) else {
                continue;
            };
            for slot in machine.slots.values() {
                let (Some(spec), Some(since)) = (&slot.spec, slot.running_since) else {
                    continue;
                };
                if slot.occupies() && spec.estimate_s > 0.0 {
                    let ran = now.saturating_duration_since(since).as_secs_f64();
                    let rest = (spec.estimate_s - ran).max(LEAST_REST_S) + TURNOVER_S;
                    all.push(Departure {
                        rest_s: rest,
                        machine: id.clone(),
                        amount: spec.need,
                    });
                }
            }
        }
        all.sort_by(|a: &Departure, b| a.rest_s.total_cmp(&b.rest_s));
        Self(all)
    }

    /// All places, soonest first.
    pub fn places(&self) -> &[Departure] {
        &self.0
    }

    /// Takes the first place that leaves room for a task of the job within `limit`.
    pub fn serve(&mut self, rooms: &Rooms, spec: &JobSpec, limit: f64) -> bool {
        let found = self.0.iter().position(|place| {
            rooms.0.get(&place.machine).is_some_and(|room| {
                let mut free = room.free;
                free.add(&place.amount);
                spec.allows(&room.build, &room.zone, room.spot) && spec.need.fits(&free)
            })
        });
        match found.filter(|at| self.0[*at].rest_s <= limit) {
            Some(at) => {
                self.0.remove(at);
                true
            }
            None => false,
        }
    }

    /// Takes the first place on a machine with the image that comes free within `limit`.
    fn claim(&mut self, cluster: &Cluster, spec: &JobSpec, limit: f64) -> bool {
        let found = self.0.iter().position(|place| {
            let machine = cluster.machines.get(&place.machine);
            machine
                .is_some_and(|m| spec.allows(&m.build, &m.zone, m.spot) && m.has_image(&spec.image))
        });
        match found.filter(|at| self.0[*at].rest_s < limit) {
            Some(at) => {
                self.0.remove(at);
                true
            }
            None => false,
        }
    }
}

/// What allocation found.
#[derive(Debug, Default)]
pub struct Found {
    /// Tasks with their machines.
    pub members: Vec<(u32, MachineId)>,
    /// The zone the rest is bound to.
    pub zone: Option<String>,
    /// Tasks that do better to wait for a place that comes free.
    pub deferred: u32,
}

/// Seconds until a task's image would be there.
fn fetch_s(cluster: &Cluster, id: &MachineId, spec: &JobSpec, build: &Build, now: Instant) -> f64 {
    let Some(machine) = cluster.machines.get(id) else {
        return 0.0;
    };
    if machine.has_image(&spec.image) {
        return 0.0;
    }
    let rate = build.fetch_rate.max(f64::MIN_POSITIVE);
    let whole = spec.image_gb / rate;
    let mut own = whole;
    // Images fetched at the same time share the line: each of them waits for the others.
    let mut others: HashMap<&str, f64> = HashMap::new();
    for slot in machine.slots.values() {
        let coming = matches!(
            slot.phase,
            Phase::Planned | Phase::Sent { .. } | Phase::Pulling
        );
        let Some(other) = slot.spec.as_ref().filter(|_| coming) else {
            continue;
        };
        let passed = now.saturating_duration_since(slot.since).as_secs_f64();
        let left = (other.image_gb / rate - passed).max(0.0);
        if other.image == spec.image {
            own = own.min(left);
        } else if !machine.has_image(&other.image) {
            let known = others.entry(&other.image).or_insert(left);
            *known = known.min(left);
        }
    }
    own + others.values().sum::<f64>() * SHARED_LINE
}

/// Whether a class of higher rank that has to start promptly could use the machine.
fn contested(cluster: &Cluster, policy: &Policy, room: &Room, spec: &JobSpec) -> bool {
    cluster.arrivals.iter().any(|(_, other)| {
        other.rank > spec.rank
            && policy.prompt.contains_key(&other.class)
            && other.allows(&room.build, &room.zone, room.spot)
            && other.need.fits(&room.free)
    })
}

/// Lower is better.
fn score(view: View, id: &MachineId, room: &Room, spec: &JobSpec) -> f64 {
    let View {
        cluster,
        policy,
        now,
    } = view;
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
    let claim = if contested(cluster, policy, room, spec) {
        CONTESTED_S
    } else {
        0.0
    };
    fetch_s(cluster, id, spec, build, now) + waste * PACKING_S + claim
}

fn fits(cluster: &Cluster, job: &Job, id: &MachineId, room: &Room) -> bool {
    job.spec.allows(&room.build, &room.zone, room.spot)
        && job.spec.need.fits(&room.free)
        // A machine on which this job failed gets no second try while others are there.
        && (!job.failed_on.contains(id) || cluster.machines.len() <= job.failed_on.len())
}

/// Fills `tasks` in order as far as they fit, within `zone` if given.
fn fill(
    view: View,
    job: &Job,
    tasks: &[u32],
    zone: Option<&str>,
    rooms: &mut Rooms,
    mut departures: Option<&mut Departures>,
) -> (Vec<(u32, MachineId)>, f64, u32) {
    let View { cluster, now, .. } = view;
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
        .map(|(id, room)| (score(view, id, room, spec), id.clone()))
        .collect();
    let mut members = Vec::new();
    let mut total = 0.0;
    let mut deferred = 0;
    for index in tasks {
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let best = candidates.iter().position(|(_, id)| {
            let room = &rooms.0[id];
            let there = in_zone.get(&room.zone).copied().unwrap_or(0);
            there < spec.zone_cap()
        });
        let Some(best) = best else { break };
        let (cost, id) = candidates[best].clone();
        if let Some(departures) = &mut departures {
            let build = rooms.0.get(&id).map(|room| room.build.as_str());
            let build = build.and_then(|name| build_named(cluster.catalog(), name));
            let fetch = build.map_or(0.0, |build| fetch_s(cluster, &id, spec, build, now));
            if fetch > LONG_FETCH_S && departures.claim(cluster, spec, fetch) {
                deferred += 1;
                continue;
            }
        }
        let Some(room) = rooms.0.get_mut(&id) else {
            break;
        };
        room.free.sub(&spec.need);
        *in_zone.entry(room.zone.clone()).or_default() += 1;
        total += cost;
        members.push((*index, id.clone()));
        if spec.need.fits(&room.free) {
            candidates[best].0 = score(view, &id, room, spec);
        } else {
            candidates.remove(best);
        }
    }
    (members, total, deferred)
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
pub fn gang(view: View, job: &Job, missing: &[u32], rooms: &mut Rooms) -> Found {
    best_zone(view, job, missing, rooms, None)
}

/// Room for as many of an array's tasks as fit.
pub fn array(
    view: View,
    job: &Job,
    missing: &[u32],
    rooms: &mut Rooms,
    departures: &mut Departures,
) -> Found {
    best_zone(view, job, missing, rooms, Some(departures))
}

fn best_zone(
    view: View,
    job: &Job,
    missing: &[u32],
    rooms: &mut Rooms,
    departures: Option<&mut Departures>,
) -> Found {
    let cluster = view.cluster;
    let zones = zones_to_try(cluster, job, rooms);
    let settled = job.spec.one_zone && job.placed();
    let mut best: Option<(f64, Found, Rooms, Option<Departures>)> = None;
    for zone in zones {
        let mut left = rooms.clone();
        let mut places = departures.as_deref().cloned();
        let (members, cost, deferred) = fill(
            view,
            job,
            missing,
            zone.as_deref(),
            &mut left,
            places.as_mut(),
        );
        let better = best.as_ref().is_none_or(|(least, found, _, _)| {
            let most = found.members.len();
            members.len() > most || (members.len() == most && cost < *least)
        });
        if better {
            let found = Found {
                zone: zone.filter(|_| settled),
                members,
                deferred,
            };
            best = Some((cost, found, left, places));
        }
    }
    let Some((_, found, left, places)) = best else {
        return Found::default();
    };
    *rooms = left;
    if let (Some(departures), Some(places)) = (departures, places) {
        *departures = places;
    }
    found
}
