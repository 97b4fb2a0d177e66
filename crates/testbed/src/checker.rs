//! Checks the invariants of a history. No task runs on two machines. No task starts without a valid leader
//! lease, while the store refuses writes, or past the deadline of a confirmed cancellation. Each accepted job
//! has consistent status responses in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::history::{Entry, Event};

/// Number of bits of a fencing token below the term; they hold a counter within the term.
const TOKEN_COUNTER_BITS: u32 = 20;

/// Time limits of the invariants.
#[derive(Debug, Clone, Copy)]
pub struct InvariantLimits {
    /// Age above which an agent discards a heartbeat response. Until then a start by a former leader may
    /// arrive.
    pub response_timeout: Duration,
    /// Time after a confirmed cancellation by which the job's tasks have ended, and after which none starts.
    pub cancellation_deadline: Duration,
    /// Time within which a leader detects, from two refused transactions, that the store refuses writes, and
    /// commands that it sent before have arrived.
    pub unwritable_detection: Duration,
    /// Time without a status response after which a job counts as lost.
    pub status_response_deadline: Duration,
}

/// Violated invariants of a history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Violations {
    /// Starts of a task that had not ended on another machine.
    pub duplicate_executions: Vec<String>,
    /// Starts under a term that had not begun, or that had ended more than the response timeout earlier.
    pub starts_without_lease: Vec<String>,
    /// Starts while the store refused writes, after the time in which a leader detects that.
    pub starts_while_unwritable: Vec<String>,
    /// Tasks that started, ended or still ran after the deadline of a confirmed cancellation.
    pub ran_past_cancellation_deadline: Vec<String>,
    /// Starts between a confirmed cancellation and its deadline. They are counted but are no violation, since
    /// the command may have been in flight.
    pub starts_before_cancellation_deadline: Vec<String>,
    /// Accepted jobs that were unknown, left a final status, were cancelled without a confirmed cancellation,
    /// or had no status response in time.
    pub inconsistent_statuses: Vec<String>,
}

impl Violations {
    /// Whether no invariant is violated. Starts before a cancellation deadline do not count.
    pub fn is_empty(&self) -> bool {
        self.duplicate_executions.is_empty()
            && self.starts_without_lease.is_empty()
            && self.starts_while_unwritable.is_empty()
            && self.ran_past_cancellation_deadline.is_empty()
            && self.inconsistent_statuses.is_empty()
    }
}

#[derive(Debug)]
struct LeadershipInterval {
    began_at: Instant,
    ended_at: Option<Instant>,
}

/// Checks a history up to `end`, at which tasks that have not ended count as running.
pub fn check_history(entries: &[Entry], limits: &InvariantLimits, end: Instant) -> Violations {
    let mut checker = Checker {
        limits: *limits,
        violations: Violations::default(),
        placements: BTreeMap::new(),
        leaderships: BTreeMap::new(),
        writes_refused_since: None,
        cancelled_at: BTreeMap::new(),
        last_status_at: BTreeMap::new(),
        final_statuses: BTreeMap::new(),
    };
    for entry in entries {
        checker.observe(entry);
    }
    checker.finish(end)
}

struct Checker {
    limits: InvariantLimits,
    violations: Violations,
    /// For each task the machines on which it has started and not ended.
    placements: BTreeMap<String, BTreeSet<String>>,
    /// By term.
    leaderships: BTreeMap<u64, LeadershipInterval>,
    writes_refused_since: Option<Instant>,
    /// For each job the time of the first confirmed cancellation.
    cancelled_at: BTreeMap<String, Instant>,
    /// For each accepted job the time of the last status response, or of its acceptance.
    last_status_at: BTreeMap<String, Instant>,
    /// For each job the last final status: `done` or `cancelled`.
    final_statuses: BTreeMap<String, String>,
}

fn job_id(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Checker {
    fn observe(&mut self, entry: &Entry) {
        let at = entry.recorded_at;
        match &entry.event {
            Event::Started {
                task,
                machine,
                token,
                ..
            } => self.observe_start(task, machine, *token, at),
            Event::Ended { task, machine } => self.observe_end(task, machine, at),
            Event::LeadershipGained { term, .. } => {
                let interval = LeadershipInterval {
                    began_at: at,
                    ended_at: None,
                };
                self.leaderships.insert(*term, interval);
            }
            Event::LeadershipLost { term } => {
                if let Some(interval) = self.leaderships.get_mut(term) {
                    interval.ended_at.get_or_insert(at);
                }
            }
            Event::WritesRefused(refused) => self.writes_refused_since = refused.then_some(at),
            Event::Accepted { job } => {
                self.last_status_at.insert(job.clone(), at);
            }
            Event::Cancelled { job } => {
                self.cancelled_at.entry(job.clone()).or_insert(at);
                self.observe_status(job, "cancelled", at);
            }
            Event::Polled { job, status } => self.observe_status(job, status, at),
        }
    }

    fn observe_start(&mut self, task: &str, machine: &str, token: u64, at: Instant) {
        let machines = self.placements.entry(task.to_owned()).or_default();
        if let Some(other) = machines.iter().find(|other| *other != machine) {
            let description = format!("{task} on {machine} while on {other}");
            self.violations.duplicate_executions.push(description);
        }
        machines.insert(machine.to_owned());
        let term = token >> TOKEN_COUNTER_BITS;
        let lease_valid = self.leaderships.get(&term).is_some_and(|interval| {
            let valid_until = interval
                .ended_at
                .map(|ended_at| ended_at + self.limits.response_timeout);
            at >= interval.began_at && valid_until.is_none_or(|until| at <= until)
        });
        if !lease_valid {
            let description = format!("{task} on {machine} under term {term}");
            self.violations.starts_without_lease.push(description);
        }
        let detected_by = self
            .writes_refused_since
            .map(|since| since + self.limits.unwritable_detection);
        if detected_by.is_some_and(|deadline| at > deadline) {
            let description = format!("{task} on {machine}");
            self.violations.starts_while_unwritable.push(description);
        }
        if let Some(cancelled_at) = self.cancelled_at.get(job_id(task)) {
            let since_cancellation = at.saturating_duration_since(*cancelled_at);
            let description =
                format!("{task} on {machine}, {since_cancellation:?} after its cancellation");
            let violations = if since_cancellation > self.limits.cancellation_deadline {
                &mut self.violations.ran_past_cancellation_deadline
            } else {
                &mut self.violations.starts_before_cancellation_deadline
            };
            violations.push(description);
        }
    }

    fn observe_end(&mut self, task: &str, machine: &str, at: Instant) {
        if let Some(machines) = self.placements.get_mut(task) {
            machines.remove(machine);
        }
        self.check_cancellation_deadline(task, machine, at);
    }

    fn check_cancellation_deadline(&mut self, task: &str, machine: &str, at: Instant) {
        let Some(cancelled_at) = self.cancelled_at.get(job_id(task)) else {
            return;
        };
        let since_cancellation = at.saturating_duration_since(*cancelled_at);
        if since_cancellation > self.limits.cancellation_deadline {
            let description =
                format!("{task} still on {machine}, {since_cancellation:?} after its cancellation");
            self.violations
                .ran_past_cancellation_deadline
                .push(description);
        }
    }

    fn observe_status(&mut self, job: &str, status: &str, at: Instant) {
        let Some(last_status_at) = self.last_status_at.insert(job.to_owned(), at) else {
            // No user received a confirmation that this job is accepted, so it may be unknown.
            self.last_status_at.remove(job);
            return;
        };
        self.check_status_deadline(job, last_status_at, at);
        if status == "404" {
            self.violations
                .inconsistent_statuses
                .push(format!("{job} is unknown"));
        }
        let final_status = self.final_statuses.get(job).map(String::as_str);
        let reverted = final_status.is_some_and(|earlier| earlier != status);
        if reverted {
            let description = format!(
                "{job} was {} and is {status}",
                final_status.unwrap_or_default()
            );
            self.violations.inconsistent_statuses.push(description);
        }
        if status == "cancelled" && !self.cancelled_at.contains_key(job) {
            let description = format!("{job} is cancelled without a confirmed cancellation");
            self.violations.inconsistent_statuses.push(description);
        }
        if matches!(status, "done" | "cancelled") {
            self.final_statuses
                .insert(job.to_owned(), status.to_owned());
        }
    }

    fn check_status_deadline(&mut self, job: &str, last_status_at: Instant, at: Instant) {
        let waited = at.saturating_duration_since(last_status_at);
        if waited > self.limits.status_response_deadline {
            let description = format!("{job} had no status response for {waited:?}");
            self.violations.inconsistent_statuses.push(description);
        }
    }

    fn finish(mut self, end: Instant) -> Violations {
        let placements = std::mem::take(&mut self.placements);
        for (task, machines) in &placements {
            for machine in machines {
                self.check_cancellation_deadline(task, machine, end);
            }
        }
        let last_status_times = std::mem::take(&mut self.last_status_at);
        for (job, last_status_at) in &last_status_times {
            if !self.final_statuses.contains_key(job) {
                self.check_status_deadline(job, *last_status_at, end);
            }
        }
        self.violations
    }
}

#[cfg(test)]
mod tests;
