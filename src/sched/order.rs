//! Ordering: the queue of jobs as a scheduling cycle considers them.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job};
use crate::model::{JobId, Priority, Resources};
use crate::policy::SchedulingPolicy;

/// Every job, the largest too, has to start within this time of its submission.
const START_DEADLINE: Duration = Duration::from_secs(240);
/// A job that was pending for this part of it without any start goes first within its priority,
/// whatever else: the rest of the time is for capacity to come free for it.
const START_DEADLINE_DIVISOR: u32 = 2;

/// Without an objective on it, a deadline missed by up to this factor still counts for something.
const DEADLINE_GRACE_FACTOR: f64 = 1.5;

/// A job in the queue.
#[derive(Debug)]
pub struct QueueEntry<'a> {
    /// The job.
    pub job: &'a Job,
    /// Its unfinished tasks without a placement.
    pub pending: u32,
    /// Whether it is within its team's guarantee.
    pub guaranteed: bool,
    /// The first objective on its completion that it can still meet.
    pub objective: Instant,
    /// Objectives that it can't meet any more.
    pub missed_objectives: usize,
}

/// All schedulable jobs, the first to be considered first.
#[derive(Debug)]
pub struct JobQueue<'a> {
    /// Jobs with unplaced tasks.
    pub entries: Vec<QueueEntry<'a>>,
    /// All jobs within their teams' guarantees, those without unplaced tasks as well.
    pub guaranteed: HashSet<&'a JobId>,
}

/// The times by which a job should be complete, soonest first: by its deadline, else by the
/// objectives of its class.
fn objectives(job: &Job, policy: &SchedulingPolicy) -> Vec<Instant> {
    if let Some(due) = job.spec.deadline_s.map(crate::time::secs) {
        let times = policy
            .deadline_objectives
            .get(&job.spec.class)
            .map_or(&[1.0, DEADLINE_GRACE_FACTOR][..], |t| t);
        return times
            .iter()
            .map(|times| job.submitted_at + due.mul_f64(*times))
            .collect();
    }
    let completion = policy.completion_objectives.get(&job.spec.class);
    let start = policy.start_objectives.get(&job.spec.class);
    let times = completion.into_iter().flatten().chain(start);
    let mut times: Vec<Instant> = times.map(|time| job.submitted_at + *time).collect();
    if times.is_empty() {
        times.push(job.submitted_at + job.spec.estimate());
    }
    times.sort();
    times
}

/// The number of objectives that the job can't meet any more, and the first one that it can.
fn reachable_objective(job: &Job, policy: &SchedulingPolicy, now: Instant) -> (usize, Instant) {
    let objectives = objectives(job, policy);
    let at_best = now + job.spec.estimate();
    let missed = objectives
        .iter()
        .filter(|objective| **objective < at_best)
        .count();
    let objective = objectives.get(missed).or(objectives.last()).copied();
    (missed, objective.unwrap_or(at_best))
}

/// Schedulable jobs with unplaced tasks, the first to be considered first.
pub fn order<'a>(cluster: &'a Cluster, policy: &SchedulingPolicy, now: Instant) -> JobQueue<'a> {
    let mut jobs: Vec<&Job> = cluster
        .jobs
        .values()
        .filter(|job| job.is_schedulable())
        .collect();
    jobs.sort_by_key(|job| job.submitted_at);
    let mut sums: HashMap<&str, Resources> = HashMap::new();
    let mut guaranteed = HashSet::new();
    let mut entries: Vec<QueueEntry> = Vec::with_capacity(jobs.len());
    for job in jobs {
        let sum = sums.entry(job.spec.team.as_str()).or_default();
        let unfinished = job.spec.tasks - job.done.len();
        // What fails everywhere holds no guarantee against work that doesn't.
        if !job.is_suspected() {
            sum.add(&job.spec.task_resources.times(unfinished));
        }
        let within = !job.is_suspected()
            && policy.has_guarantee_for(&job.spec.team, &job.spec.task_resources)
            && policy.within_guarantee(&job.spec.team, sum);
        if within {
            guaranteed.insert(&job.spec.id);
        }
        let pending = job.pending_count();
        if pending == 0 {
            continue;
        }
        let (missed_objectives, objective) = reachable_objective(job, policy, now);
        entries.push(QueueEntry {
            job,
            pending,
            guaranteed: within,
            objective,
            missed_objectives,
        });
    }
    // A guarantee holds against other teams; alone, a team's jobs go by their objectives.
    let contested = sums.len() > 1;
    entries.sort_by_cached_key(|entry| QueueKey::new(entry, contested, now));
    JobQueue {
        entries,
        guaranteed,
    }
}

/// The place of a job in the queue. The fields are compared in their order, the least goes first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// Jobs that fail everywhere go last.
    suspected: bool,
    priority: Reverse<Priority>,
    /// Jobs past their start deadline go first within their priority.
    before_start_deadline: bool,
    /// Jobs within their team's guarantee go before others, where teams compete.
    outside_guarantee: bool,
    missed_objectives: usize,
    /// Among jobs that can meet as many objectives, the least work goes first.
    remaining_work: Duration,
    /// The objective, or the submission of a job past its start deadline.
    time: Instant,
}

impl QueueKey {
    fn new(entry: &QueueEntry, contested: bool, now: Instant) -> Self {
        let job = entry.job;
        let age = now.saturating_duration_since(job.submitted_at);
        let priority = Reverse(job.spec.priority);
        if past_start_deadline(job, age) && !job.is_suspected() {
            return Self {
                suspected: false,
                priority,
                before_start_deadline: false,
                outside_guarantee: false,
                missed_objectives: 0,
                remaining_work: Duration::ZERO,
                time: job.submitted_at,
            };
        }
        Self {
            suspected: job.is_suspected(),
            priority,
            before_start_deadline: true,
            outside_guarantee: contested && !entry.guaranteed,
            missed_objectives: entry.missed_objectives,
            remaining_work: job.spec.estimate() * entry.pending,
            time: entry.objective,
        }
    }
}

/// Whether no task of a job was ever started although the job has been pending for so long that it
/// has to go first, to start in time.
pub(super) fn past_start_deadline(job: &Job, age: Duration) -> bool {
    age >= START_DEADLINE / START_DEADLINE_DIVISOR
        && !job.has_placements()
        && job.done.is_empty()
        && job.first_running_at.is_none()
}
