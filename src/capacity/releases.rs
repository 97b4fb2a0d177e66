//! Capacity that running tasks are expected to release, by their run time estimates.

use std::collections::HashMap;
use std::time::Instant;

use super::CapacityIndex;
use crate::cluster::{ImageId, PoolId};
use crate::model::{JobSpec, Resources};

/// Shortest expected remaining time of a task, also of one that has exceeded its estimate.
const REMAINING_TIME_MIN_S: f64 = 3.0;
/// Time from the end of a task to the start of another in its place: its heartbeat, a scheduling
/// cycle, and the heartbeat whose response carries the start.
const TURNOVER_S: f64 = 2.0;

/// Capacity that a running task is expected to release.
#[derive(Debug, Clone)]
pub struct ExpectedRelease {
    /// Seconds from now until another task can start in its place.
    pub after_s: f64,
    /// The machine, as an index into [`CapacityIndex::machines`].
    pub machine: usize,
    /// The resources of the running task.
    pub resources: Resources,
}

/// Tasks of a job that could use expected releases.
#[derive(Debug, Clone, Copy)]
pub struct ReleaseRequest<'a> {
    /// The job, which determines pools and resources.
    pub spec: &'a JobSpec,
    /// The only zone in which the tasks may be placed; `None`: any.
    pub zone: Option<&'a str>,
    /// The number of tasks.
    pub tasks: u32,
    /// How long the tasks can wait, in seconds.
    pub within_s: f64,
}

/// A task that would wait for a machine whose cache has its image.
#[derive(Debug, Clone, Copy)]
pub struct ImageReleaseRequest<'a> {
    /// The pools that it may use.
    pub pools: &'a [PoolId],
    /// The image of its job.
    pub image: ImageId,
    /// How long pulling the image on another machine would take, in seconds.
    pub within_s: f64,
}

/// Expected releases, soonest first. A task waits for a release on a machine that has its image if
/// pulling the image elsewhere takes longer.
#[derive(Debug)]
pub struct ExpectedReleases {
    releases: Vec<ExpectedRelease>,
    reserved: Vec<bool>,
    /// Releases by the images of their machines, soonest first. Built on first use: where images
    /// are pulled in no time, no task waits for a machine that has one.
    by_image: Option<HashMap<ImageId, Vec<u32>>>,
}

/// Indices of the releases by the images on their machines, soonest first.
fn by_image(releases: &[ExpectedRelease], capacity: &CapacityIndex) -> HashMap<ImageId, Vec<u32>> {
    let mut by_image: HashMap<ImageId, Vec<u32>> = HashMap::new();
    for (index, release) in releases.iter().enumerate() {
        for (image, _) in &capacity.machines[release.machine].machine.images {
            by_image.entry(*image).or_default().push(index as u32);
        }
    }
    by_image
}

impl ExpectedReleases {
    /// The expected releases of all running tasks with an estimate.
    pub fn of(capacity: &CapacityIndex, now: Instant) -> Self {
        let mut releases = Vec::new();
        for (machine, candidate) in capacity.machines.iter().enumerate() {
            for instance in candidate.machine.instances.values() {
                let (Some(spec), Some(since)) = (&instance.spec, instance.running_since) else {
                    continue;
                };
                if instance.occupies() && spec.estimate_s > 0.0 {
                    let running_s = now.saturating_duration_since(since).as_secs_f64();
                    releases.push(ExpectedRelease {
                        after_s: (spec.estimate_s - running_s).max(REMAINING_TIME_MIN_S)
                            + TURNOVER_S,
                        machine,
                        resources: spec.task_resources,
                    });
                }
            }
        }
        releases.sort_by(|a: &ExpectedRelease, b| a.after_s.total_cmp(&b.after_s));
        Self {
            reserved: vec![false; releases.len()],
            releases,
            by_image: None,
        }
    }

    /// All releases, soonest first, including reserved ones.
    pub fn all(&self) -> &[ExpectedRelease] {
        &self.releases
    }

    /// Unreserved releases within the request's time after which a task of the request fits; one
    /// for each task.
    fn matching<'a>(
        &'a self,
        capacity: &'a CapacityIndex,
        request: ReleaseRequest<'a>,
    ) -> impl Iterator<Item = usize> + 'a {
        let pools = capacity.pools_for(request.spec, request.zone);
        let in_time = self
            .releases
            .iter()
            .take_while(move |release| release.after_s <= request.within_s);
        let fitting = in_time.enumerate().filter(move |(index, release)| {
            let candidate = &capacity.machines[release.machine];
            let mut free = candidate.free;
            free.add(&release.resources);
            !self.reserved[*index]
                && pools.contains(&candidate.pool)
                && request.spec.task_resources.fits(&free)
        });
        fitting.map(|(index, _)| index).take(request.tasks as usize)
    }

    /// The number of the request's tasks that unreserved releases could serve.
    pub fn count(&self, capacity: &CapacityIndex, request: ReleaseRequest) -> u32 {
        self.matching(capacity, request).count() as u32
    }

    /// Reserves releases for as many tasks as possible, and returns their number.
    pub fn reserve(&mut self, capacity: &CapacityIndex, request: ReleaseRequest) -> u32 {
        let matching: Vec<usize> = self.matching(capacity, request).collect();
        for index in &matching {
            self.reserved[*index] = true;
        }
        matching.len() as u32
    }

    /// Reserves the first release in time on a machine with the image, and returns whether there
    /// was one. `next_candidate` is where the search continues after earlier calls for the same
    /// job.
    pub fn reserve_with_image(
        &mut self,
        capacity: &CapacityIndex,
        request: ImageReleaseRequest,
        next_candidate: &mut usize,
    ) -> bool {
        let releases = &self.releases;
        let by_image = self
            .by_image
            .get_or_insert_with(|| by_image(releases, capacity));
        let Some(with_image) = by_image.get(&request.image) else {
            return false;
        };
        while let Some(index) = with_image.get(*next_candidate).map(|index| *index as usize) {
            let release = &self.releases[index];
            if release.after_s >= request.within_s {
                return false;
            }
            *next_candidate += 1;
            let pool = capacity.machines[release.machine].pool;
            if !self.reserved[index] && request.pools.contains(&pool) {
                self.reserved[index] = true;
                return true;
            }
        }
        false
    }
}
