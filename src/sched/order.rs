//! The queue: the order in which a scheduling cycle considers jobs.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{Cluster, Job};
use crate::model::{JobId, Priority, Resources};
use crate::policy::SchedulingPolicy;

/// Every job, however large, has to start within this time of its submission.
const START_DEADLINE: Duration = Duration::from_secs(240);
/// A job none of whose tasks has started after [`START_DEADLINE`] divided by this is considered
/// first within its priority, before all other criteria. The rest of the time is for capacity to be
/// freed.
const START_DEADLINE_DIVISOR: u32 = 2;

/// A second objective after the deadline, as a factor of the deadline, for classes without deadline
/// objectives. A job that misses its deadline but completes by this time still meets one objective.
const DEADLINE_GRACE_FACTOR: f64 = 1.5;

/// A job in the queue, with what its position depends on.
#[derive(Debug)]
pub struct QueueEntry<'a> {
    /// The job; it has at least one unplaced task.
    pub job: &'a Job,
    /// The number of unfinished tasks without a placement; at least 1.
    pub pending_tasks: u32,
    /// Whether the job, with the team's jobs submitted earlier, is within the team's guarantee.
    pub guaranteed: bool,
    /// The earliest objective that the job can still meet, or the latest one if it can meet none.
    pub complete_by: Instant,
    /// The number of objectives that the job can no longer meet.
    pub missed_objectives: usize,
}

/// The jobs that one scheduling cycle considers.
#[derive(Debug)]
pub struct JobQueue<'a> {
    /// Schedulable jobs with unplaced tasks, in the order in which they are considered.
    pub entries: Vec<QueueEntry<'a>>,
    /// All schedulable jobs within their teams' guarantees, including those without unplaced tasks.
    pub guaranteed: HashSet<&'a JobId>,
}

/// Returns the times by which a job should be complete, earliest first: from its deadline if it has
/// one, otherwise from the completion and start objectives of its class, or from its estimate.
fn objective_times(job: &Job, policy: &SchedulingPolicy) -> Vec<Instant> {
    if let Some(deadline) = job.spec.deadline_s.map(crate::time::secs) {
        let factors = policy
            .deadline_objectives
            .get(&job.spec.class)
            .map_or(&[1.0, DEADLINE_GRACE_FACTOR][..], |factors| factors);
        return factors
            .iter()
            .map(|factor| job.submitted_at + deadline.mul_f64(*factor))
            .collect();
    }
    let completion = policy.completion_objectives.get(&job.spec.class);
    let start = policy.start_objectives.get(&job.spec.class);
    let durations = completion.into_iter().flatten().chain(start);
    let mut times: Vec<Instant> = durations
        .map(|duration| job.submitted_at + *duration)
        .collect();
    if times.is_empty() {
        times.push(job.submitted_at + job.spec.estimate());
    }
    times.sort();
    times
}

/// Returns the number of objectives that the job can no longer meet, and the earliest one that it
/// can still meet (the latest one if there is none).
fn reachable_objective(job: &Job, policy: &SchedulingPolicy, now: Instant) -> (usize, Instant) {
    let times = objective_times(job, policy);
    let earliest_completion = now + job.spec.estimate();
    let missed_objectives = times
        .iter()
        .filter(|time| **time < earliest_completion)
        .count();
    let objective = times.get(missed_objectives).or(times.last()).copied();
    (missed_objectives, objective.unwrap_or(earliest_completion))
}

/// Orders the schedulable jobs and determines which are within their teams' guarantees.
pub fn build_queue<'a>(
    cluster: &'a Cluster,
    policy: &SchedulingPolicy,
    now: Instant,
) -> JobQueue<'a> {
    let mut jobs: Vec<&Job> = cluster
        .jobs
        .values()
        .filter(|job| job.is_schedulable())
        .collect();
    jobs.sort_by_key(|job| job.submitted_at);
    let mut demand_by_team: HashMap<&str, Resources> = HashMap::new();
    let mut guaranteed = HashSet::new();
    let mut entries: Vec<QueueEntry> = Vec::with_capacity(jobs.len());
    for job in jobs {
        let team_demand = demand_by_team.entry(job.spec.team.as_str()).or_default();
        let unfinished = job.spec.tasks - job.done.len();
        // A suspected job has no guarantee against jobs that don't fail.
        if !job.is_suspected() {
            team_demand.add(&job.spec.task_resources.times(unfinished));
        }
        let within_guarantee = !job.is_suspected()
            && policy.has_guarantee_for(&job.spec.team, &job.spec.task_resources)
            && policy.within_guarantee(&job.spec.team, team_demand);
        if within_guarantee {
            guaranteed.insert(&job.spec.id);
        }
        let pending_tasks = job.pending_count();
        if pending_tasks == 0 {
            continue;
        }
        let (missed_objectives, complete_by) = reachable_objective(job, policy, now);
        entries.push(QueueEntry {
            job,
            pending_tasks,
            guaranteed: within_guarantee,
            complete_by,
            missed_objectives,
        });
    }
    // A guarantee holds against other teams. The jobs of a single team are ordered by objectives.
    let contested = demand_by_team.len() > 1;
    entries.sort_by_cached_key(|entry| QueueKey::new(entry, contested, now));
    JobQueue {
        entries,
        guaranteed,
    }
}

/// The sort key of a job in the queue. Fields are compared in declaration order; the least key is
/// considered first.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    /// Suspected jobs, which have failed on several machines, come last.
    suspected: bool,
    priority: Reverse<Priority>,
    /// Jobs near their start deadline come first within their priority.
    not_near_start_deadline: bool,
    /// Jobs within their team's guarantee come before others, if several teams have jobs.
    outside_guarantee: bool,
    missed_objectives: usize,
    /// Among jobs that have missed equally many objectives, the least remaining work comes first.
    remaining_work: Duration,
    /// The earliest objective the job can meet; for a job near its start deadline, its submission.
    deadline_or_submission: Instant,
}

impl QueueKey {
    fn new(entry: &QueueEntry, contested: bool, now: Instant) -> Self {
        let job = entry.job;
        let age = now.saturating_duration_since(job.submitted_at);
        let priority = Reverse(job.spec.priority);
        if near_start_deadline(job, age) && !job.is_suspected() {
            return Self {
                suspected: false,
                priority,
                not_near_start_deadline: false,
                outside_guarantee: false,
                missed_objectives: 0,
                remaining_work: Duration::ZERO,
                deadline_or_submission: job.submitted_at,
            };
        }
        Self {
            suspected: job.is_suspected(),
            priority,
            not_near_start_deadline: true,
            outside_guarantee: contested && !entry.guaranteed,
            missed_objectives: entry.missed_objectives,
            remaining_work: job.spec.estimate() * entry.pending_tasks,
            deadline_or_submission: entry.complete_by,
        }
    }
}

/// Whether no task of a job has ever started although the job has been pending for so long that it
/// has to be considered first to start by [`START_DEADLINE`].
pub(super) fn near_start_deadline(job: &Job, age: Duration) -> bool {
    age >= START_DEADLINE / START_DEADLINE_DIVISOR
        && !job.has_placements()
        && job.done.is_empty()
        && job.first_running_at.is_none()
}
