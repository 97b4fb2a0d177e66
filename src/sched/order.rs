//! The order in which jobs are considered.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::Policy;
use crate::cluster::{Cluster, Job};
use crate::model::{Amount, Rank};

/// A job that waited this long goes first within its priority, whatever else: nothing starves.
const OLD: Duration = Duration::from_secs(600);
/// A job this many times its allowed time late has lost most of its worth; jobs that can
/// still be in time go first.
const LOST_AFTER: f64 = 1.5;

/// A job with its place in the order.
#[derive(Debug)]
pub struct Entry<'a> {
    /// The job.
    pub job: &'a Job,
    /// Whether it is within its team's guarantee.
    pub guaranteed: bool,
    /// When it should be over.
    pub target: Instant,
}

/// When a job should be over: its deadline, else the shortest time its class's aims allow.
pub fn target(job: &Job, policy: &Policy) -> Instant {
    let due = job.due();
    let aim = policy.aims.get(&job.spec.class).copied();
    let fallback = aim.unwrap_or_else(|| job.spec.estimate());
    due.unwrap_or(job.submitted + fallback)
}

/// Open jobs with unplaced tasks, or places to be looked after, first things first.
pub fn order<'a>(cluster: &'a Cluster, policy: &Policy, now: Instant) -> Vec<Entry<'a>> {
    let mut jobs: Vec<&Job> = cluster.jobs.values().filter(|job| job.open()).collect();
    jobs.sort_by_key(|job| job.submitted);
    let mut sums: HashMap<&str, Amount> = HashMap::new();
    let mut entries: Vec<Entry> = Vec::with_capacity(jobs.len());
    for job in jobs {
        let sum = sums.entry(job.spec.team.as_str()).or_default();
        let unfinished = job.spec.tasks - job.done.len();
        sum.add(&job.spec.need.times(unfinished));
        entries.push(Entry {
            job,
            guaranteed: policy.within_guarantee(&job.spec.team, sum),
            target: target(job, policy),
        });
    }
    entries.sort_by_key(|entry| key(entry, now));
    entries
}

type Key = (Reverse<Rank>, bool, bool, bool, Instant);

fn key(entry: &Entry, now: Instant) -> Key {
    let job = entry.job;
    let age = now.saturating_duration_since(job.submitted);
    let allowed = entry.target.saturating_duration_since(job.submitted);
    let lost = age > allowed.mul_f64(LOST_AFTER);
    (
        Reverse(job.spec.rank),
        !entry.guaranteed,
        age < OLD,
        lost,
        entry.target,
    )
}
