//! Capacity that running tasks are expected to release, by the estimates of their run times.

use std::collections::HashMap;
use std::time::Instant;

use super::CapacityIndex;
use crate::cluster::{ImageId, PoolId};
use crate::model::{JobSpec, Resources};

/// A task that outlived its estimate is expected to go on for at least this long.
const REMAINING_TIME_MIN_S: f64 = 3.0;
/// Time from a task's end to the start of another in its place: its heartbeat, a scheduling cycle,
/// and the heartbeat whose answer takes the start.
const TURNOVER_S: f64 = 2.0;

/// Capacity that a running task is expected to release.
#[derive(Debug, Clone)]
pub struct ExpectedRelease {
    /// In so many seconds.
    pub after_s: f64,
    /// The machine, as an index into [`CapacityIndex::machines`].
    pub machine: usize,
    /// What the task takes now.
    pub resources: Resources,
}

/// Tasks of a job that could use expected releases.
#[derive(Debug, Clone, Copy)]
pub struct ReleaseRequest<'a> {
    /// The job.
    pub spec: &'a JobSpec,
    /// The only zone in which they can go.
    pub zone: Option<&'a str>,
    /// How many tasks.
    pub tasks: u32,
    /// How long they can wait.
    pub within_s: f64,
}

/// A task that would rather wait for a machine that has its image.
#[derive(Debug, Clone, Copy)]
pub struct ImageReleaseRequest<'a> {
    /// Pools that it may use.
    pub pools: &'a [PoolId],
    /// Its image.
    pub image: ImageId,
    /// How long it would take to pull the image elsewhere.
    pub within_s: f64,
}

/// Expected releases, soonest first. A task whose image would take longer to pull than capacity
/// takes to be released, on a machine that has the image, waits for it.
#[derive(Debug)]
pub struct ExpectedReleases {
    releases: Vec<ExpectedRelease>,
    reserved: Vec<bool>,
    /// Releases by the images of their machines, soonest first. Made when it is first needed: where
    /// images are pulled in no time, no task waits for a machine that has one.
    by_image: Option<HashMap<ImageId, Vec<u32>>>,
}

/// See [`ExpectedReleases`].
fn by_image(releases: &[ExpectedRelease], capacity: &CapacityIndex) -> HashMap<ImageId, Vec<u32>> {
    let mut by_image: HashMap<ImageId, Vec<u32>> = HashMap::new();
    for (at, release) in releases.iter().enumerate() {
        for (image, _) in &capacity.machines[release.machine].machine.images {
            by_image.entry(*image).or_default().push(at as u32);
        }
    }
    by_image
}

impl ExpectedReleases {
    /// The expected releases of all running tasks.
    pub fn of(capacity: &CapacityIndex, now: Instant) -> Self {
        let mut releases = Vec::new();
        for (machine, candidate) in capacity.machines.iter().enumerate() {
            for instance in candidate.machine.instances.values() {
                let (Some(spec), Some(since)) = (&instance.spec, instance.running_since) else {
                    continue;
                };
                if instance.occupies() && spec.estimate_s > 0.0 {
                    let ran_s = now.saturating_duration_since(since).as_secs_f64();
                    releases.push(ExpectedRelease {
                        after_s: (spec.estimate_s - ran_s).max(REMAINING_TIME_MIN_S) + TURNOVER_S,
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

    /// All releases, soonest first.
    pub fn all(&self) -> &[ExpectedRelease] {
        &self.releases
    }

    /// Releases after which a task of the request fits, each for one task.
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
        let fitting = in_time.enumerate().filter(move |(at, release)| {
            let candidate = &capacity.machines[release.machine];
            let mut free = candidate.free;
            free.add(&release.resources);
            !self.reserved[*at]
                && pools.contains(&candidate.pool)
                && request.spec.task_resources.fits(&free)
        });
        fitting.map(|(at, _)| at).take(request.tasks as usize)
    }

    /// The number of tasks that releases could serve.
    pub fn count(&self, capacity: &CapacityIndex, request: ReleaseRequest) -> u32 {
        self.matching(capacity, request).count() as u32
    }

    /// Reserves releases for as many tasks as possible; returns their number.
    pub fn reserve(&mut self, capacity: &CapacityIndex, request: ReleaseRequest) -> u32 {
        let matching: Vec<usize> = self.matching(capacity, request).collect();
        for at in &matching {
            self.reserved[*at] = true;
        }
        matching.len() as u32
    }

    /// Reserves the first release on a machine with the image, if there is one in time. `searched`
    /// is how far earlier calls for the same job have searched.
    pub fn reserve_with_image(
        &mut self,
        capacity: &CapacityIndex,
        request: ImageReleaseRequest,
        searched: &mut usize,
    ) -> bool {
        let releases = &self.releases;
        let by_image = self
            .by_image
            .get_or_insert_with(|| by_image(releases, capacity));
        let Some(with_image) = by_image.get(&request.image) else {
            return false;
        };
        while let Some(at) = with_image.get(*searched).map(|at| *at as usize) {
            let release = &self.releases[at];
            if release.after_s >= request.within_s {
                return false;
            }
            *searched += 1;
            let pool = capacity.machines[release.machine].pool;
            if !self.reserved[at] && request.pools.contains(&pool) {
                self.reserved[at] = true;
                return true;
            }
        }
        false
    }
}
