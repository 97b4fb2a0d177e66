//! The order in which jobs are considered.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job};
use crate::model::{JobId, Priority, Resources};
use crate::policy::SchedulingPolicy;

/// Every job, the largest too, has to begin within this time of its submission.
const BEGIN_WITHIN: Duration = Duration::from_secs(240);
/// A job that waited for this part of it without any start goes first within its priority,
/// whatever else: the rest of the time is for its room to come free.
const OLD_PART: u32 = 2;

/// Without an aim on it, a deadline missed by up to this much still counts for something.
const GRACE_PART: f64 = 1.5;

/// A job with its place in the order.
#[derive(Debug)]
pub struct Entry<'a> {
    /// The job.
    pub job: &'a Job,
    /// Its unfinished tasks without a place.
    pub pending: u32,
    /// Whether it is within its team's guarantee.
    pub guaranteed: bool,
    /// When it should be over, as far as that can still be.
    pub target: Instant,
    /// Targets it can't meet any more.
    pub missed: usize,
}

/// All that is open, first things first.
#[derive(Debug)]
pub struct Ordered<'a> {
    /// Jobs with unplaced tasks.
    pub entries: Vec<Entry<'a>>,
    /// All jobs within their teams' guarantees, those without unplaced tasks as well.
    pub guaranteed: HashSet<&'a JobId>,
}

/// The times by which a job should be over, first things first: its deadline, else what the
/// aims allow its class.
fn targets(job: &Job, policy: &SchedulingPolicy) -> Vec<Instant> {
    if let Some(due) = job.spec.deadline_s.map(crate::time::secs) {
        let times = policy
            .deadlines
            .get(&job.spec.class)
            .map_or(&[1.0, GRACE_PART][..], |t| t);
        return times
            .iter()
            .map(|times| job.submitted + due.mul_f64(*times))
            .collect();
    }
    let aims = policy.aims.get(&job.spec.class);
    let prompt = policy.prompt.get(&job.spec.class);
    let times = aims.into_iter().flatten().chain(prompt);
    let mut times: Vec<Instant> = times.map(|time| job.submitted + *time).collect();
    if times.is_empty() {
        times.push(job.submitted + job.spec.estimate());
    }
    times.sort();
    times
}

/// The first target that the job can still meet, with the number of those it can't.
fn reachable(job: &Job, policy: &SchedulingPolicy, now: Instant) -> (usize, Instant) {
    let targets = targets(job, policy);
    let at_best = now + job.spec.estimate();
    let missed = targets.iter().filter(|target| **target < at_best).count();
    let target = targets.get(missed).or(targets.last()).copied();
    (missed, target.unwrap_or(at_best))
}

/// Open jobs with unplaced tasks, first things first.
pub fn order<'a>(cluster: &'a Cluster, policy: &SchedulingPolicy, now: Instant) -> Ordered<'a> {
    let mut jobs: Vec<&Job> = cluster
        .jobs
        .values()
        .filter(|job| job.is_schedulable())
        .collect();
    jobs.sort_by_key(|job| job.submitted);
    let mut sums: HashMap<&str, Resources> = HashMap::new();
    let mut guaranteed = HashSet::new();
    let mut entries: Vec<Entry> = Vec::with_capacity(jobs.len());
    for job in jobs {
        let sum = sums.entry(job.spec.team.as_str()).or_default();
        let unfinished = job.spec.tasks - job.done.len();
        // What fails everywhere holds no guarantee against work that doesn't.
        if !job.suspected() {
            sum.add(&job.spec.task_resources.times(unfinished));
        }
        let within = !job.suspected()
            && policy.claims(&job.spec.team, &job.spec.task_resources)
            && policy.within_guarantee(&job.spec.team, sum);
        if within {
            guaranteed.insert(&job.spec.id);
        }
        let pending = job.pending_count();
        if pending == 0 {
            continue;
        }
        let (missed, target) = reachable(job, policy, now);
        entries.push(Entry {
            job,
            pending,
            guaranteed: within,
            target,
            missed,
        });
    }
    // A guarantee is a claim against other teams; alone, a team's jobs go by their targets.
    let contested = sums.len() > 1;
    entries.sort_by_cached_key(|entry| key(entry, contested, now));
    Ordered {
        entries,
        guaranteed,
    }
}

/// Last what fails everywhere. First what has waited for too long, oldest first; then what is guaranteed; then what can
/// still meet most of its aims, the least work first.
type Key = (
    bool,
    Reverse<Priority>,
    bool,
    bool,
    usize,
    Duration,
    Instant,
);

fn key(entry: &Entry, contested: bool, now: Instant) -> Key {
    let job = entry.job;
    let age = now.saturating_duration_since(job.submitted);
    if overdue(job, age) && !job.suspected() {
        let priority = Reverse(job.spec.priority);
        return (
            false,
            priority,
            false,
            false,
            0,
            Duration::ZERO,
            job.submitted,
        );
    }
    (
        job.suspected(),
        Reverse(job.spec.priority),
        true,
        contested && !entry.guaranteed,
        entry.missed,
        job.spec.estimate() * entry.pending,
        entry.target,
    )
}

/// Whether nothing of a job was ever started although it has waited for long.
pub(super) fn overdue(job: &Job, age: Duration) -> bool {
    age >= BEGIN_WITHIN / OLD_PART
        && !job.has_placements()
        && job.done.is_empty()
        && job.first_running_at.is_none()
}
