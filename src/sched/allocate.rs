//! Tentative allocation: filters and scores machines for the tasks of one job.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, HashSet};

use super::order::near_start_deadline;
use super::{placements_by_zone, SchedulingView};
use crate::capacity::releases::{ExpectedReleases, ImageReleaseRequest};
use crate::capacity::{CapacityIndex, IndexedPool, MachineCapacity};
use crate::cluster::{ImageId, InstancePhase, Job, PoolId};
use crate::model::{JobSpec, MachineId, Resources};

/// Penalty, in seconds of pulling an image, for a machine all of whose capacity would stay unused.
/// A part that stays unused counts in proportion.
const FRAGMENTATION_PENALTY_S: f64 = 6.0;
/// Factor on the remaining time of a concurrent pull of another image. Each of the two pulls delays
/// the other.
const CONCURRENT_PULL_FACTOR: f64 = 1.5;
/// Penalty for capacity that a class of higher priority could use, and that it would have to free
/// by preemption later.
const CONTENTION_PENALTY_S: f64 = 15.0;
/// Penalty for an on-demand machine, so that a spot machine is preferred.
const ON_DEMAND_PENALTY_S: f64 = 2.0;
/// A task waits for a machine that already has its image only if the pull would take longer than
/// this.
const DEFERRABLE_PULL_MIN_S: f64 = 10.0;

/// Machines chosen for tasks of one job. Their capacity stays free until [`Allocation::reserve`].
#[derive(Debug, Default)]
pub struct Allocation {
    /// Indices of tasks within the job, with the indices of their machines in
    /// [`CapacityIndex::machines`].
    pub members: Vec<(u32, usize)>,
    /// The zone to which existing placements bind a single-zone job; absent if there are none.
    pub zone: Option<String>,
    /// The number of tasks left unplaced because an expected release lets them start sooner.
    pub deferred_tasks: u32,
    score: f64,
}

impl Allocation {
    /// Subtracts the resources `need` of each task from the free capacity of its machine, for the
    /// rest of the cycle.
    pub fn reserve(&self, capacity: &mut CapacityIndex, need: &Resources) {
        for (_, machine_index) in &self.members {
            capacity.machines[*machine_index].free.sub(need);
        }
    }

    /// Returns the allocated tasks with the ids of their machines.
    pub fn assignments(&self, capacity: &CapacityIndex) -> Vec<(u32, MachineId)> {
        let members = self.members.iter();
        members
            .map(|(task, index)| (*task, capacity.machines[*index].machine.id.clone()))
            .collect()
    }
}

/// A job class with a start objective, represented by the spec of its latest job.
#[derive(Debug)]
pub struct LatencySensitiveClass<'a>(&'a JobSpec);

/// Returns the classes with a start objective of which jobs have arrived recently.
pub fn latency_sensitive_classes<'a>(view: SchedulingView<'a>) -> Vec<LatencySensitiveClass<'a>> {
    let mut seen: HashSet<&str> = HashSet::new();
    let arrivals = view.cluster.arrivals.iter().rev();
    arrivals
        .map(|(_, spec)| spec.as_ref())
        .filter(|spec| view.policy.start_objectives.contains_key(&spec.class))
        .filter(|spec| seen.insert(&spec.class))
        .map(LatencySensitiveClass)
        .collect()
}

/// The inputs of scoring that are the same for all machines.
struct PlacementRequest<'a> {
    view: SchedulingView<'a>,
    spec: &'a JobSpec,
    image: ImageId,
    latency_sensitive: &'a [LatencySensitiveClass<'a>],
}

impl<'a> PlacementRequest<'a> {
    fn of(
        view: SchedulingView<'a>,
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

    /// Returns the seconds until the job's image would be on the machine, which pulls `rate` GB per
    /// second.
    fn pull_s(&self, candidate: &MachineCapacity, rate: f64) -> f64 {
        let machine = candidate.machine;
        if machine.has_image(self.image) {
            return 0.0;
        }
        let rate = rate.max(f64::MIN_POSITIVE);
        let mut own_s = self.spec.image_gb / rate;
        // Images that are pulled concurrently share the bandwidth: each pull delays the others.
        let mut other_pulls: Vec<(ImageId, f64)> = Vec::new();
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
            let remaining_s = (other.image_gb / rate - elapsed.as_secs_f64()).max(0.0);
            if image == self.image {
                own_s = own_s.min(remaining_s);
            } else if !machine.has_image(image) {
                match other_pulls.iter_mut().find(|(known, _)| *known == image) {
                    Some((_, known_s)) => *known_s = known_s.min(remaining_s),
                    None => other_pulls.push((image, remaining_s)),
                }
            }
        }
        own_s
            + other_pulls
                .iter()
                .map(|(_, remaining_s)| remaining_s)
                .sum::<f64>()
                * CONCURRENT_PULL_FACTOR
    }

    /// Scores a machine as if its free capacity were `free`.
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
        let unused_share = |free: f64, need: f64, total: f64| {
            if total > 0.0 {
                (free - need) / total
            } else {
                0.0
            }
        };
        let need = &self.spec.task_resources;
        // The unused part is measured on the resource that the machine type is rented for.
        let fragmentation = if machine_type.capacity.gpus > 0.0 {
            unused_share(free.gpus, need.gpus, machine_type.capacity.gpus)
        } else {
            unused_share(free.cpus, need.cpus, machine_type.capacity.cpus)
        };
        let mut classes = self.latency_sensitive.iter();
        let is_contested = classes.any(|LatencySensitiveClass(other)| {
            other.priority > self.spec.priority
                && other.allows(&pool.machine_type, &pool.zone, pool.spot)
                && other.task_resources.fits(free)
        });
        let contention_s = if is_contested {
            CONTENTION_PENALTY_S
        } else {
            0.0
        };
        let pull_s = self.pull_s(candidate, machine_type.pull_gb_per_s);
        // Of two otherwise equal machines, the more expensive one should become idle and be
        // released.
        let on_demand_s = if pool.spot { 0.0 } else { ON_DEMAND_PENALTY_S };
        Score {
            total: pull_s + fragmentation * FRAGMENTATION_PENALTY_S + contention_s + on_demand_s,
            pull_s,
        }
    }
}

/// The score of a machine for a task, in seconds of pulling an image; lower is better.
#[derive(Debug, Clone, Copy)]
struct Score {
    total: f64,
    /// The part of the total that is the time to pull the image.
    pull_s: f64,
}

/// A machine with capacity for a task. The machine with the best score compares as the greatest, as
/// [`BinaryHeap`] requires.
struct Candidate {
    score: Score,
    machine_index: usize,
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
        by_score.then(other.machine_index.cmp(&self.machine_index))
    }
}

/// Expected releases that tasks of a job may wait for.
struct AwaitedReleases<'a> {
    releases: &'a mut ExpectedReleases,
    /// How many releases earlier tasks of the job have examined; the search continues there.
    examined: usize,
}

/// Filters the machines that may take a task of the job, and scores them.
fn candidates(
    request: &PlacementRequest,
    job: &Job,
    pools: &[PoolId],
    capacity: &CapacityIndex,
) -> BinaryHeap<Candidate> {
    // Machines on which this job failed are excluded, unless it failed on at least as many machines
    // as take tasks now.
    let all_failed = capacity.machines.len() <= job.failed_on.len();
    let eligible =
        |i: &usize| all_failed || !job.failed_on.contains(&capacity.machines[*i].machine.id);
    capacity
        .machines_fitting(pools, &request.spec.task_resources)
        .filter(eligible)
        .map(|index| {
            let candidate = &capacity.machines[index];
            Candidate {
                score: request.score(capacity, candidate, &candidate.free),
                machine_index: index,
                free: candidate.free,
            }
        })
        .collect()
}

/// Returns the pools whose machines the job may use.
fn allowed_pools(
    view: SchedulingView,
    job: &Job,
    zone: Option<&str>,
    capacity: &CapacityIndex,
) -> Vec<PoolId> {
    let age = view.now.saturating_duration_since(job.submitted_at);
    if near_start_deadline(job, age) {
        // The job has to start now, at any price.
        capacity.pools_for_at_any_price(&job.spec, zone)
    } else {
        capacity.pools_for(&job.spec, zone)
    }
}

/// Allocates machines to `tasks`, in their order, until there is no more capacity; only machines in
/// `zone` if it is given.
fn allocate(
    request: &PlacementRequest,
    job: &Job,
    tasks: &[u32],
    zone: Option<&str>,
    capacity: &CapacityIndex,
    mut awaited_releases: Option<AwaitedReleases>,
) -> Allocation {
    let spec = request.spec;
    let zone_cap = spec.max_tasks_per_zone();
    let mut placed_by_zone: HashMap<&str, u32> = if spec.zone_spread {
        placements_by_zone(request.view.cluster, job)
    } else {
        HashMap::new()
    };
    let pools = allowed_pools(request.view, job, zone, capacity);
    let mut candidates = candidates(request, job, &pools, capacity);
    let mut allocation = Allocation::default();
    let mut tasks = tasks.iter();
    let mut next_task = tasks.next();
    while let (Some(task_index), Some(mut best)) = (next_task, candidates.pop()) {
        let machine = &capacity.machines[best.machine_index];
        if spec.zone_spread {
            let zone = capacity.pool(machine.pool).pool.zone.as_str();
            let placed = placed_by_zone.entry(zone).or_default();
            if *placed >= zone_cap {
                continue;
            }
            *placed += 1;
        }
        let pull_s = best.score.pull_s;
        if let Some(awaited_releases) = awaited_releases
            .as_mut()
            .filter(|_| pull_s > DEFERRABLE_PULL_MIN_S)
        {
            let release_request = ImageReleaseRequest {
                pools: &pools,
                image: request.image,
                within_s: pull_s,
            };
            let releases = &mut awaited_releases.releases;
            if releases.reserve_with_image(
                capacity,
                release_request,
                &mut awaited_releases.examined,
            ) {
                allocation.deferred_tasks += 1;
                next_task = tasks.next();
                candidates.push(best);
                continue;
            }
        }
        allocation.score += best.score.total;
        allocation.members.push((*task_index, best.machine_index));
        next_task = tasks.next();
        best.free.sub(&spec.task_resources);
        if spec.task_resources.fits(&best.free) {
            best.score = request.score(capacity, machine, &best.free);
            candidates.push(best);
        }
    }
    allocation
}

/// Returns the zones to try one by one: for a single-zone job the zone of its placements, or every
/// zone with machines that take tasks if it has none; for other jobs one `None`, which stands for
/// all zones.
pub(super) fn candidate_zones(
    view: SchedulingView,
    job: &Job,
    capacity: &CapacityIndex,
) -> Vec<Option<String>> {
    if !job.spec.single_zone {
        return vec![None];
    }
    let occupied: HashSet<&str> = placements_by_zone(view.cluster, job).into_keys().collect();
    if !occupied.is_empty() {
        // A single-zone job must not have tasks in several zones. If it has, nothing is started
        // until only one zone has any.
        let mut zones: Vec<_> = occupied
            .into_iter()
            .map(|zone| Some(zone.to_owned()))
            .collect();
        zones.truncate(if zones.len() > 1 { 0 } else { 1 });
        return zones;
    }
    capacity.zones().into_iter().map(Some).collect()
}

/// Allocates machines for all missing members of a gang, or for as many as there is capacity.
pub fn allocate_gang(
    view: SchedulingView,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    missing: &[u32],
    capacity: &CapacityIndex,
) -> Allocation {
    allocate_in_best_zone(view, latency_sensitive, job, missing, capacity, None)
}

/// Allocates machines for the missing members of a gang in the zone where capacity is being freed
/// for it, or in any zone if none is given.
pub fn allocate_in_reserved_zone(
    view: SchedulingView,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    missing: &[u32],
    (capacity, zone): (&CapacityIndex, Option<&str>),
) -> Allocation {
    let request = PlacementRequest::of(view, latency_sensitive, job);
    allocate(&request, job, missing, zone, capacity, None)
}

/// Allocates machines for as many tasks of an array as there is capacity. Tasks that start sooner
/// on an expected release are deferred.
pub fn allocate_array(
    view: SchedulingView,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    tasks: &[u32],
    capacity: &CapacityIndex,
    expected_releases: &mut ExpectedReleases,
) -> Allocation {
    allocate_in_best_zone(
        view,
        latency_sensitive,
        job,
        tasks,
        capacity,
        Some(expected_releases),
    )
}

fn allocate_in_best_zone(
    view: SchedulingView,
    latency_sensitive: &[LatencySensitiveClass],
    job: &Job,
    tasks: &[u32],
    capacity: &CapacityIndex,
    mut expected_releases: Option<&mut ExpectedReleases>,
) -> Allocation {
    let request = PlacementRequest::of(view, latency_sensitive, job);
    let zones = candidate_zones(view, job, capacity);
    let bound_to_zone = job.spec.single_zone && job.has_placements();
    // Expected releases are considered only if there is a single zone to try.
    let only_zone = zones.len() == 1;
    let mut best: Option<Allocation> = None;
    for zone in zones {
        let awaited_releases =
            expected_releases
                .as_deref_mut()
                .filter(|_| only_zone)
                .map(|releases| AwaitedReleases {
                    releases,
                    examined: 0,
                });
        let mut allocation = allocate(
            &request,
            job,
            tasks,
            zone.as_deref(),
            capacity,
            awaited_releases,
        );
        allocation.zone = zone.filter(|_| bound_to_zone);
        let better = best.as_ref().is_none_or(|best| {
            let (count, best_count) = (allocation.members.len(), best.members.len());
            count > best_count || (count == best_count && allocation.score < best.score)
        });
        if better {
            best = Some(allocation);
        }
    }
    best.unwrap_or_default()
}
