//! Tentative allocation: filtering and scoring of machines for the tasks of one job.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::order::past_start_deadline;
use super::{zones_of, View};
use crate::capacity::releases::{ExpectedReleases, ImageReleaseRequest};
use crate::capacity::{CapacityIndex, IndexedPool, MachineCapacity};
use crate::cluster::{ImageId, InstancePhase, Job, PoolId};
use crate::model::{JobSpec, MachineId, Resources};

/// Score of the part of a machine that stays unused, in seconds of pulling an image.
const FRAGMENTATION_S: f64 = 6.0;
/// Factor of the rest of another image's pull: it delays ours, and ours delays it.
const CONCURRENT_PULL_FACTOR: f64 = 1.5;
/// Score of capacity that a class of higher priority could use and may have to preempt.
const CONTENTION_S: f64 = 15.0;
/// Score of an on-demand machine where a spot machine would do.
const ON_DEMAND_S: f64 = 2.0;
/// A pull shorter than this is never avoided by waiting for a machine that has the image.
const LONG_PULL_S: f64 = 10.0;

/// Machines for tasks of one job. Nothing is taken from their capacity until it is reserved.
#[derive(Debug, Default)]
pub struct Allocation {
    /// Tasks with their machines, as indices into [`CapacityIndex::machines`].
    pub members: Vec<(u32, usize)>,
    /// The zone to which the rest of the tasks is bound.
    pub zone: Option<String>,
    /// Tasks that start sooner on an expected release.
    pub deferred: u32,
    score: f64,
}

impl Allocation {
    /// Takes the capacity, for this cycle.
    pub fn reserve(&self, capacity: &mut CapacityIndex, need: &Resources) {
        for (_, at) in &self.members {
            capacity.machines[*at].free.sub(need);
        }
    }

    /// Tasks with their machines.
    pub fn machines(&self, capacity: &CapacityIndex) -> Vec<(u32, MachineId)> {
        let members = self.members.iter();
        members
            .map(|(index, at)| (*index, capacity.machines[*at].machine.id.clone()))
            .collect()
    }
}

/// A class with an objective on its start, by the latest of its jobs.
#[derive(Debug)]
pub struct LatencySensitiveClass<'a>(&'a JobSpec);

/// The classes with an objective on their start of which jobs arrived lately.
pub fn latency_sensitive_classes<'a>(view: View<'a>) -> Vec<LatencySensitiveClass<'a>> {
    let mut seen: HashSet<&str> = HashSet::new();
    let arrivals = view.cluster.arrivals.iter().rev();
    arrivals
        .map(|(_, spec)| spec.as_ref())
        .filter(|spec| view.policy.start_objectives.contains_key(&spec.class))
        .filter(|spec| seen.insert(&spec.class))
        .map(LatencySensitiveClass)
        .collect()
}

/// What scoring needs of a job, looked up once for all machines.
struct PlacementRequest<'a> {
    view: View<'a>,
    spec: &'a JobSpec,
    image: ImageId,
    latency_sensitive: &'a [LatencySensitiveClass<'a>],
}

impl<'a> PlacementRequest<'a> {
    fn of(
        view: View<'a>,
        latency_sensitive: &'a [LatencySensitiveClass<'a>],
        job: &'a Job,
    ) -> Self {
        Self {
            view,
            spec: &job.spec,
            image: job.image,
            latency_sensitive,
        }
    }

    /// Seconds until the image would be on the machine.
    fn pull_s(&self, candidate: &MachineCapacity, rate: f64) -> f64 {
        let machine = candidate.machine;
        if machine.has_image(self.image) {
            return 0.0;
        }
        let rate = rate.max(f64::MIN_POSITIVE);
        let mut own = self.spec.image_gb / rate;
        // Images pulled at the same time share the bandwidth: each of them delays the others.
        let mut others: Vec<(ImageId, f64)> = Vec::new();
        for instance in machine.instances.values() {
            let pulling = matches!(
                instance.phase,
                InstancePhase::Planned
                    | InstancePhase::Dispatched { .. }
                    | InstancePhase::PullingImage
            );
            let Some((other, image)) = instance
                .spec
                .as_ref()
                .zip(instance.image)
                .filter(|_| pulling)
            else {
                continue;
            };
            let elapsed = self
                .view
                .now
                .saturating_duration_since(instance.known_since);
            let left = (other.image_gb / rate - elapsed.as_secs_f64()).max(0.0);
            if image == self.image {
                own = own.min(left);
            } else if !machine.has_image(image) {
                match others.iter_mut().find(|(known, _)| *known == image) {
                    Some((_, known)) => *known = known.min(left),
                    None => others.push((image, left)),
                }
            }
        }
        own + others.iter().map(|(_, left)| left).sum::<f64>() * CONCURRENT_PULL_FACTOR
    }

    /// The score of a machine with this much free capacity.
    fn score(
        &self,
        capacity: &CapacityIndex,
        candidate: &MachineCapacity,
        free: &Resources,
    ) -> Score {
        let IndexedPool { pool, machine_type } = capacity.pool(candidate.pool);
        let Some(machine_type) = machine_type else {
            return Score {
                total: f64::INFINITY,
                pull_s: 0.0,
            };
        };
        let left = |free: f64, need: f64, whole: f64| {
            if whole > 0.0 {
                (free - need) / whole
            } else {
                0.0
            }
        };
        let need = &self.spec.task_resources;
        // The part that stays unused, of the resource that the machine is rented for.
        let fragmentation = if machine_type.capacity.gpus > 0.0 {
            left(free.gpus, need.gpus, machine_type.capacity.gpus)
        } else {
            left(free.cpus, need.cpus, machine_type.capacity.cpus)
        };
        let mut classes = self.latency_sensitive.iter();
        let contested = classes.any(|LatencySensitiveClass(other)| {
            other.priority > self.spec.priority
                && other.allows(&pool.machine_type, &pool.zone, pool.spot)
                && other.task_resources.fits(free)
        });
        let contention = if contested { CONTENTION_S } else { 0.0 };
        let pull_s = self.pull_s(candidate, machine_type.pull_gb_per_s);
        // Of two machines that are alike, the more expensive one is to become idle and be released.
        let on_demand = if pool.spot { 0.0 } else { ON_DEMAND_S };
        Score {
            total: pull_s + fragmentation * FRAGMENTATION_S + contention + on_demand,
            pull_s,
        }
    }
}

/// The score of a machine for a task, in seconds of pulling an image; lower is better.
#[derive(Debug, Clone, Copy)]
struct Score {
    total: f64,
    /// The part of it that is pulling the image.
    pull_s: f64,
}

/// A machine with capacity for a task; the best one is the greatest.
struct Candidate {
    score: Score,
    machine: usize,
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
        let by_score = other.score.total.total_cmp(&self.score.total);
        by_score.then(other.machine.cmp(&self.machine))
    }
}

/// Expected releases that tasks of a job may wait for.
struct AwaitedReleases<'a> {
    releases: &'a mut ExpectedReleases,
    /// How far earlier tasks of the job have searched them.
    searched: usize,
}

/// Filtering: machines that may take a task of the job, each with its score.
fn candidates(
    request: &PlacementRequest,
    job: &Job,
    pools: &[PoolId],
    capacity: &CapacityIndex,
) -> BinaryHeap<Candidate> {
    // A machine on which this job failed gets no second attempt while others are there.
    let all_failed = capacity.machines.len() <= job.failed_on.len();
    let eligible =
        |at: &usize| all_failed || !job.failed_on.contains(&capacity.machines[*at].machine.id);
    capacity
        .machines_fitting(pools, &request.spec.task_resources)
        .filter(eligible)
        .map(|at| {
            let candidate = &capacity.machines[at];
            Candidate {
                score: request.score(capacity, candidate, &candidate.free),
                machine: at,
                free: candidate.free,
            }
        })
        .collect()
}

/// Pools whose machines the job may use.
fn pools_of(view: View, job: &Job, zone: Option<&str>, capacity: &CapacityIndex) -> Vec<PoolId> {
    let age = view.now.saturating_duration_since(job.submitted_at);
    if past_start_deadline(job, age) {
        // Whatever it costs, it has to start.
        capacity.pools_for_at_any_price(&job.spec, zone)
    } else {
        capacity.pools_for(&job.spec, zone)
    }
}

/// Allocates machines to `tasks` in their order as far as there is capacity, within `zone` if
/// given.
fn allocate(
    request: &PlacementRequest,
    job: &Job,
    tasks: &[u32],
    zone: Option<&str>,
    capacity: &CapacityIndex,
    mut awaited: Option<AwaitedReleases>,
) -> Allocation {
    let spec = request.spec;
    let cap = spec.max_tasks_per_zone();
    let mut in_zone: HashMap<&str, u32> = if spec.zone_spread {
        zones_of(request.view.cluster, job)
    } else {
        HashMap::new()
    };
    let pools = pools_of(request.view, job, zone, capacity);
    let mut candidates = candidates(request, job, &pools, capacity);
    let mut allocation = Allocation::default();
    let mut tasks = tasks.iter();
    let mut next = tasks.next();
    while let (Some(index), Some(mut best)) = (next, candidates.pop()) {
        let machine = &capacity.machines[best.machine];
        if spec.zone_spread {
            let zone = capacity.pool(machine.pool).pool.zone.as_str();
            let placed = in_zone.entry(zone).or_default();
            if *placed >= cap {
                continue;
            }
            *placed += 1;
        }
        let pull_s = best.score.pull_s;
        if let Some(awaited) = awaited.as_mut().filter(|_| pull_s > LONG_PULL_S) {
            let wanted = ImageReleaseRequest {
                pools: &pools,
                image: request.image,
                within_s: pull_s,
            };
            let releases = &mut awaited.releases;
            if releases.reserve_with_image(capacity, wanted, &mut awaited.searched) {
                allocation.deferred += 1;
                next = tasks.next();
                candidates.push(best);
                continue;
            }
        }
        allocation.score += best.score.total;
        allocation.members.push((*index, best.machine));
        next = tasks.next();
        best.free.sub(&spec.task_resources);
        if spec.task_resources.fits(&best.free) {
            best.score = request.score(capacity, machine, &best.free);
            candidates.push(best);
        }
    }
    allocation
}

/// The zones to be tried one by one, for a job bound to one zone: the one where its tasks are, or
/// each.
pub(super) fn zones_to_try(view: View, job: &Job, capacity: &CapacityIndex) -> Vec<Option<String>> {
    if !job.spec.single_zone {
        return vec![None];
    }
    let settled: HashSet<&str> = zones_of(view.cluster, job).into_keys().collect();
    if !settled.is_empty() {
        // Tasks in several zones must not be: nothing is started until that is over.
        let mut settled: Vec<_> = settled.into_iter().map(|z| Some(z.to_owned())).collect();
        settled.truncate(if settled.len() > 1 { 0 } else { 1 });
        return settled;
    }
    capacity.zones().into_iter().map(Some).collect()
}

/// Machines for all missing members of a gang, or for as many as there is capacity.
pub fn gang(
    view: View,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    missing: &[u32],
    capacity: &CapacityIndex,
) -> Allocation {
    best_zone(view, latency_sensitive, job, missing, capacity, None)
}

/// Machines for the missing members of a gang in the zone where capacity is being freed for it, or
/// anywhere.
pub fn reserved(
    view: View,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    missing: &[u32],
    (capacity, zone): (&CapacityIndex, Option<&str>),
) -> Allocation {
    let request = PlacementRequest::of(view, latency_sensitive, job);
    allocate(&request, job, missing, zone, capacity, None)
}

/// Machines for as many tasks of an array as there is capacity.
pub fn array(
    view: View,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    missing: &[u32],
    capacity: &CapacityIndex,
    expected_releases: &mut ExpectedReleases,
) -> Allocation {
    best_zone(
        view,
        latency_sensitive,
        job,
        missing,
        capacity,
        Some(expected_releases),
    )
}

fn best_zone(
    view: View,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    missing: &[u32],
    capacity: &CapacityIndex,
    mut expected_releases: Option<&mut ExpectedReleases>,
) -> Allocation {
    let request = PlacementRequest::of(view, latency_sensitive, job);
    let zones = zones_to_try(view, job, capacity);
    let settled = job.spec.single_zone && job.has_placements();
    // Expected releases are taken into account where there is one zone only.
    let only_zone = zones.len() == 1;
    let mut best: Option<Allocation> = None;
    for zone in zones {
        let awaited = expected_releases
            .as_deref_mut()
            .filter(|_| only_zone)
            .map(|releases| AwaitedReleases {
                releases,
                searched: 0,
            });
        let mut allocation = allocate(&request, job, missing, zone.as_deref(), capacity, awaited);
        allocation.zone = zone.filter(|_| settled);
        let better = best.as_ref().is_none_or(|best| {
            let (more, most) = (allocation.members.len(), best.members.len());
            more > most || (more == most && allocation.score < best.score)
        });
        if better {
            best = Some(allocation);
        }
    }
    best.unwrap_or_default()
}
