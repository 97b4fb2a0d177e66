//! Tentative allocation: filters, then scores.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::order::overdue;
use super::{zones_of, View};
use crate::capacity::{CapacityIndex, ExpectedReleases, MachineCapacity};
use crate::cluster::{ImageId, InstancePhase, Job};
use crate::model::{JobSpec, MachineId, Resources};

/// What an unused part of a machine counts against it, in seconds of fetching.
const PACKING_S: f64 = 6.0;
/// What the rest of another image's fetch counts: it delays ours, and ours delays it.
const SHARED_LINE: f64 = 1.5;
/// What it counts to take room that a class of higher rank could use and may have to take
/// back by force.
const CONTESTED_S: f64 = 15.0;
/// What it counts to take an ordinary machine where a spot one would do, in seconds of fetching.
const DEAR_S: f64 = 2.0;
/// Fetches shorter than this are never waited around.
const LONG_FETCH_S: f64 = 10.0;

/// What allocation found.
#[derive(Debug, Default)]
pub struct Found {
    /// Tasks with their rooms.
    pub members: Vec<(u32, usize)>,
    /// The zone the rest is bound to.
    pub zone: Option<String>,
    /// Tasks that do better to wait for a place that comes free.
    pub deferred: u32,
    cost: f64,
}

impl Found {
    /// Takes the room, for this round.
    pub fn keep(&self, rooms: &mut CapacityIndex, need: &Resources) {
        for (_, at) in &self.members {
            rooms.all[*at].free.sub(need);
        }
    }

    /// Tasks with their machines.
    pub fn machines(&self, rooms: &CapacityIndex) -> Vec<(u32, MachineId)> {
        let members = self.members.iter();
        members
            .map(|(index, at)| (*index, rooms.all[*at].machine.id.clone()))
            .collect()
    }
}

/// A class of jobs that has to start promptly, with what it needs.
#[derive(Debug)]
pub struct Claim<'a>(&'a JobSpec);

/// The classes that start promptly and arrived lately, by a sample of each.
pub fn claims<'a>(view: View<'a>) -> Vec<Claim<'a>> {
    let mut seen: HashSet<&str> = HashSet::new();
    let arrivals = view.cluster.arrivals.iter().rev();
    arrivals
        .map(|(_, spec)| spec.as_ref())
        .filter(|spec| view.policy.prompt.contains_key(&spec.class))
        .filter(|spec| seen.insert(&spec.class))
        .map(Claim)
        .collect()
}

/// What a job asks of a room, looked up once a job.
struct RoomRequest<'a> {
    view: View<'a>,
    spec: &'a JobSpec,
    image: ImageId,
    claims: &'a [Claim<'a>],
}

impl<'a> RoomRequest<'a> {
    fn of(view: View<'a>, claims: &'a [Claim<'a>], job: &'a Job) -> Self {
        Self {
            view,
            spec: &job.spec,
            image: job.image,
            claims,
        }
    }

    /// Seconds until a task's image would be there.
    fn fetch_s(&self, room: &MachineCapacity, rate: f64) -> f64 {
        let machine = room.machine;
        if machine.has_image(self.image) {
            return 0.0;
        }
        let rate = rate.max(f64::MIN_POSITIVE);
        let mut own = self.spec.image_gb / rate;
        // Images fetched at the same time share the line: each of them waits for the others.
        let mut others: Vec<(ImageId, f64)> = Vec::new();
        for instance in machine.instances.values() {
            let coming = matches!(
                instance.phase,
                InstancePhase::Planned
                    | InstancePhase::Dispatched { .. }
                    | InstancePhase::PullingImage
            );
            let Some((other, image)) = instance
                .spec
                .as_ref()
                .zip(instance.image)
                .filter(|_| coming)
            else {
                continue;
            };
            let passed = self
                .view
                .now
                .saturating_duration_since(instance.known_since);
            let left = (other.image_gb / rate - passed.as_secs_f64()).max(0.0);
            if image == self.image {
                own = own.min(left);
            } else if !machine.has_image(image) {
                match others.iter_mut().find(|(known, _)| *known == image) {
                    Some((_, known)) => *known = known.min(left),
                    None => others.push((image, left)),
                }
            }
        }
        own + others.iter().map(|(_, left)| left).sum::<f64>() * SHARED_LINE
    }

    /// Lower is better; with the part of it that is fetching.
    fn score(&self, rooms: &CapacityIndex, room: &MachineCapacity, free: &Resources) -> (f64, f64) {
        let (pool, machine_type) = rooms.pool(room.pool);
        let Some(machine_type) = machine_type else {
            return (f64::INFINITY, 0.0);
        };
        let left = |free: f64, need: f64, whole: f64| {
            if whole > 0.0 {
                (free - need) / whole
            } else {
                0.0
            }
        };
        let need = &self.spec.task_resources;
        // What the task leaves unused, in the resource that the machine is rented for.
        let waste = if machine_type.room.gpus > 0.0 {
            left(free.gpus, need.gpus, machine_type.room.gpus)
        } else {
            left(free.cpus, need.cpus, machine_type.room.cpus)
        };
        let contested = self.claims.iter().any(|Claim(other)| {
            other.priority > self.spec.priority
                && other.allows(&pool.machine_type, &pool.zone, pool.spot)
                && other.task_resources.fits(free)
        });
        let claim = if contested { CONTESTED_S } else { 0.0 };
        let fetch = self.fetch_s(room, machine_type.fetch_rate);
        // The dearer of two machines that are alike is the one to be emptied and returned.
        let dear = if pool.spot { 0.0 } else { DEAR_S };
        (fetch + waste * PACKING_S + claim + dear, fetch)
    }
}

/// A room that a task fits in; the best one comes first.
struct Candidate {
    score: f64,
    fetch: f64,
    at: usize,
    free: Resources,
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_score = other.score.total_cmp(&self.score);
        by_score.then(other.at.cmp(&self.at))
    }
}

/// The places to be left that a job's tasks may wait for.
struct AwaitedDepartures<'a> {
    departures: &'a mut ExpectedReleases,
    from: usize,
}

/// Fills `tasks` in order as far as they fit, within `zone` if given. Nothing is taken yet.
fn fill(
    request: &RoomRequest,
    job: &Job,
    tasks: &[u32],
    zone: Option<&str>,
    rooms: &CapacityIndex,
    mut awaited: Option<AwaitedDepartures>,
) -> Found {
    let spec = request.spec;
    let cap = spec.zone_cap();
    let mut in_zone: HashMap<&str, u32> = if spec.zone_spread {
        zones_of(request.view.cluster, job)
    } else {
        HashMap::new()
    };
    let age = request.view.now.saturating_duration_since(job.submitted);
    let pools = if overdue(job, age) {
        // Whatever it costs, it has to begin.
        rooms.all_pools_for(spec, zone)
    } else {
        rooms.pools_for(spec, zone)
    };
    // A machine on which this job failed gets no second try while others are there.
    let all_failed = rooms.all.len() <= job.failed_on.len();
    let fine = |at: &usize| all_failed || !job.failed_on.contains(&rooms.all[*at].machine.id);
    let mut candidates: BinaryHeap<Candidate> = rooms
        .fitting(&pools, &spec.task_resources)
        .filter(fine)
        .map(|at| {
            let room = &rooms.all[at];
            let (score, fetch) = request.score(rooms, room, &room.free);
            Candidate {
                score,
                fetch,
                at,
                free: room.free,
            }
        })
        .collect();
    let mut found = Found::default();
    let mut tasks = tasks.iter();
    let mut next = tasks.next();
    while let (Some(index), Some(mut best)) = (next, candidates.pop()) {
        let room = &rooms.all[best.at];
        if spec.zone_spread {
            let zone = rooms.pool(room.pool).0.zone.as_str();
            let there = in_zone.entry(zone).or_default();
            if *there >= cap {
                continue;
            }
            *there += 1;
        }
        if let Some(awaited) = awaited.as_mut().filter(|_| best.fetch > LONG_FETCH_S) {
            let wanted = (&pools[..], request.image);
            let limit = best.fetch;
            let departures = &mut awaited.departures;
            if departures.claim(rooms, wanted, limit, &mut awaited.from) {
                found.deferred += 1;
                next = tasks.next();
                candidates.push(best);
                continue;
            }
        }
        found.cost += best.score;
        found.members.push((*index, best.at));
        next = tasks.next();
        best.free.sub(&spec.task_resources);
        if spec.task_resources.fits(&best.free) {
            let (score, fetch) = request.score(rooms, room, &best.free);
            candidates.push(Candidate {
                score,
                fetch,
                ..best
            });
        }
    }
    found
}

/// The zones to be tried one by one: one settled, or each, for a job bound to one zone.
pub(super) fn zones_to_try(view: View, job: &Job, rooms: &CapacityIndex) -> Vec<Option<String>> {
    if !job.spec.single_zone {
        return vec![None];
    }
    let settled: HashSet<&str> = zones_of(view.cluster, job).into_keys().collect();
    if !settled.is_empty() {
        // In more than one zone already can't be: nothing is started until that is over.
        let mut settled: Vec<_> = settled.into_iter().map(|z| Some(z.to_owned())).collect();
        settled.truncate(if settled.len() > 1 { 0 } else { 1 });
        return settled;
    }
    rooms.zones().into_iter().map(Some).collect()
}

/// MachineCapacity for all of a gang's missing members, or what there is of it. Nothing is taken yet.
pub fn gang(
    view: View,
    claims: &[Claim],
    job: &Job,
    missing: &[u32],
    rooms: &CapacityIndex,
) -> Found {
    best_zone(view, claims, job, missing, rooms, None)
}

/// What room there is for a gang's missing members in the zone where it is being made, or
/// anywhere.
pub fn claimed(
    view: View,
    claims: &[Claim],
    job: &Job,
    missing: &[u32],
    (rooms, zone): (&CapacityIndex, Option<&str>),
) -> Found {
    let request = RoomRequest::of(view, claims, job);
    fill(&request, job, missing, zone, rooms, None)
}

/// MachineCapacity for as many of an array's tasks as fit. Nothing is taken yet.
pub fn array(
    view: View,
    claims: &[Claim],
    job: &Job,
    missing: &[u32],
    rooms: &CapacityIndex,
    departures: &mut ExpectedReleases,
) -> Found {
    best_zone(view, claims, job, missing, rooms, Some(departures))
}

fn best_zone(
    view: View,
    claims: &[Claim],
    job: &Job,
    missing: &[u32],
    rooms: &CapacityIndex,
    mut departures: Option<&mut ExpectedReleases>,
) -> Found {
    let request = RoomRequest::of(view, claims, job);
    let zones = zones_to_try(view, job, rooms);
    let settled = job.spec.single_zone && job.has_placements();
    // Waiting for places to come free is worked out for one zone only.
    let alone = zones.len() == 1;
    let mut best: Option<Found> = None;
    for zone in zones {
        let awaited = departures
            .as_deref_mut()
            .filter(|_| alone)
            .map(|departures| AwaitedDepartures {
                departures,
                from: 0,
            });
        let mut found = fill(&request, job, missing, zone.as_deref(), rooms, awaited);
        found.zone = zone.filter(|_| settled);
        let better = best.as_ref().is_none_or(|best| {
            let (more, most) = (found.members.len(), best.members.len());
            more > most || (more == most && found.cost < best.cost)
        });
        if better {
            best = Some(found);
        }
    }
    best.unwrap_or_default()
}
