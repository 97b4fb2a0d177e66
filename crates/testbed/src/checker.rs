//! Checks the invariants of a history: no task on two machines, no start without a valid lease or after
//! a confirmed cancellation, no job without an answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::history::{Entry, Event};

/// Bits of a fencing token below the term.
const TOKEN_COUNT_BITS: u32 = 20;

/// Time limits of the invariants.
#[derive(Debug, Clone, Copy)]
pub struct InvariantLimits {
    /// A worker drops a response that is older, and with it a start by a former leader.
    pub response_timeout: Duration,
    /// Time after a cancellation by which the job's tasks have ended, and after which none starts.
    pub cancellation_deadline: Duration,
    /// Time in which a leader detects that it cannot write: two transactions are refused, and commands
    /// sent earlier have arrived.
    pub unwritable_detection: Duration,
    /// Time after which a job without an answered status query counts as lost.
    pub answer_deadline: Duration,
}

/// Violated invariants of a history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Violations {
    /// Starts of a task that was on another machine.
    pub duplicate_executions: Vec<String>,
    /// Starts under a term whose leadership had not begun, or had ended before the response timeout.
    pub starts_without_lease: Vec<String>,
    /// Starts while writes failed, after the time in which a leader detects that.
    pub starts_while_unwritable: Vec<String>,
    /// Tasks on a machine after the deadline of a confirmed cancellation.
    pub ran_past_cancellation_deadline: Vec<String>,
    /// Starts after a confirmed cancellation, before its deadline. They are counted and are no violation:
    /// the command may have been in flight.
    pub starts_before_cancellation_deadline: Vec<String>,
    /// Accepted jobs that were unknown, left a final state, or had no answered query in time.
    pub inconsistent_answers: Vec<String>,
}

impl Violations {
    /// Whether no invariant is violated.
    pub fn is_empty(&self) -> bool {
        self.duplicate_executions.is_empty()
            && self.starts_without_lease.is_empty()
            && self.starts_while_unwritable.is_empty()
            && self.ran_past_cancellation_deadline.is_empty()
            && self.inconsistent_answers.is_empty()
    }
}

#[derive(Debug)]
struct LeadershipInterval {
    began: Instant,
    ended: Option<Instant>,
}

/// Checks a history up to `end`.
pub fn check_history(entries: &[Entry], rules: &InvariantLimits, end: Instant) -> Violations {
    let mut checker = Checker {
        rules: *rules,
        violations: Violations::default(),
        placements: BTreeMap::new(),
        leaderships: BTreeMap::new(),
        refused_since: None,
        cancelled: BTreeMap::new(),
        answered: BTreeMap::new(),
        last: BTreeMap::new(),
    };
    for entry in entries {
        checker.observe(entry);
    }
    checker.finish(end)
}

struct Checker {
    rules: InvariantLimits,
    violations: Violations,
    placements: BTreeMap<String, BTreeSet<String>>,
    leaderships: BTreeMap<u64, LeadershipInterval>,
    /// Since when transactions are refused.
    refused_since: Option<Instant>,
    cancelled: BTreeMap<String, Instant>,
    /// Time of the last answered status query of a job.
    answered: BTreeMap<String, Instant>,
    /// The last final status of a job.
    last: BTreeMap<String, String>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Checker {
    fn observe(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Started {
                task,
                machine,
                token,
                ..
            } => self.started(task, machine, *token, at),
            Event::Ended { task, machine } => self.ended(task, machine, at),
            Event::LeadershipGained { term, .. } => {
                let interval = LeadershipInterval {
                    began: at,
                    ended: None,
                };
                self.leaderships.insert(*term, interval);
            }
            Event::LeadershipLost { term } => {
                if let Some(interval) = self.leaderships.get_mut(term) {
                    interval.ended.get_or_insert(at);
                }
            }
            Event::WritesRefused(refused) => self.refused_since = refused.then_some(at),
            Event::Accepted { job } => {
                self.answered.insert(job.clone(), at);
            }
            Event::Cancelled { job } => {
                self.cancelled.entry(job.clone()).or_insert(at);
                self.answer(job, "cancelled", at);
            }
            Event::Polled { job, status } => self.answer(job, status, at),
        }
    }

    fn started(&mut self, task: &str, machine: &str, token: u64, at: Instant) {
        let machines = self.placements.entry(task.to_owned()).or_default();
        if let Some(other) = machines.iter().find(|other| *other != machine) {
            let what = format!("{task} on {machine} while on {other}");
            self.violations.duplicate_executions.push(what);
        }
        machines.insert(machine.to_owned());
        let term = token >> TOKEN_COUNT_BITS;
        let valid = self.leaderships.get(&term).is_some_and(|interval| {
            let ended = interval
                .ended
                .map(|ended| ended + self.rules.response_timeout);
            at >= interval.began && ended.is_none_or(|ended| at <= ended)
        });
        if !valid {
            let what = format!("{task} on {machine} under term {term}");
            self.violations.starts_without_lease.push(what);
        }
        let detected = self
            .refused_since
            .map(|since| since + self.rules.unwritable_detection);
        if detected.is_some_and(|detected| at > detected) {
            let what = format!("{task} on {machine}");
            self.violations.starts_while_unwritable.push(what);
        }
        if let Some(cancelled) = self.cancelled.get(job_of(task)) {
            let late = at.saturating_duration_since(*cancelled);
            let what = format!("{task} on {machine}, {late:?} after its cancellation");
            let list = if late > self.rules.cancellation_deadline {
                &mut self.violations.ran_past_cancellation_deadline
            } else {
                &mut self.violations.starts_before_cancellation_deadline
            };
            list.push(what);
        }
    }

    fn ended(&mut self, task: &str, machine: &str, at: Instant) {
        if let Some(machines) = self.placements.get_mut(task) {
            machines.remove(machine);
        }
        self.require_ended(task, machine, at);
    }

    fn require_ended(&mut self, task: &str, machine: &str, at: Instant) {
        let Some(cancelled) = self.cancelled.get(job_of(task)) else {
            return;
        };
        let late = at.saturating_duration_since(*cancelled);
        if late > self.rules.cancellation_deadline {
            let what = format!("{task} still on {machine}, {late:?} after its cancellation");
            self.violations.ran_past_cancellation_deadline.push(what);
        }
    }

    fn answer(&mut self, job: &str, status: &str, at: Instant) {
        let Some(answered) = self.answered.insert(job.to_owned(), at) else {
            // Its user has no confirmation that it was accepted.
            self.answered.remove(job);
            return;
        };
        self.require_answer(job, answered, at);
        if status == "404" {
            self.violations
                .inconsistent_answers
                .push(format!("{job} is unknown"));
        }
        let last = self.last.get(job).map(String::as_str);
        let reverted = last.is_some_and(|last| last != status);
        if reverted {
            let what = format!("{job} was {} and is {status}", last.unwrap_or_default());
            self.violations.inconsistent_answers.push(what);
        }
        if status == "cancelled" && !self.cancelled.contains_key(job) {
            let what = format!("{job} is cancelled without a request");
            self.violations.inconsistent_answers.push(what);
        }
        if matches!(status, "done" | "cancelled") {
            self.last.insert(job.to_owned(), status.to_owned());
        }
    }

    fn require_answer(&mut self, job: &str, before: Instant, at: Instant) {
        let waited = at.saturating_duration_since(before);
        if waited > self.rules.answer_deadline {
            let what = format!("{job} had no answer for {waited:?}");
            self.violations.inconsistent_answers.push(what);
        }
    }

    fn finish(mut self, end: Instant) -> Violations {
        let placements = std::mem::take(&mut self.placements);
        for (task, machines) in &placements {
            for machine in machines {
                self.require_ended(task, machine, end);
            }
        }
        let answered = std::mem::take(&mut self.answered);
        for (job, at) in &answered {
            if !self.last.contains_key(job) {
                self.require_answer(job, *at, end);
            }
        }
        self.violations
    }
}

#[cfg(test)]
mod tests;
