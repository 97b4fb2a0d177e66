//! Checks a history against the rules: no task on two machines, no start without a valid lease or after
//! a confirmed cancellation, no job without an answer.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::history::{Entry, Event};

/// Bits of a token below the term.
const TOKEN_COUNT_BITS: u32 = 20;

/// Times that the rules name.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// A worker drops an answer that is older; so does a start of a lead that has ended.
    pub answer_dropped: Duration,
    /// A cancelled job's tasks are gone by then, and none starts after.
    pub cancel: Duration,
    /// Time after which a leader knows that it can't write: two transactions refused, and what it sent
    /// before has arrived.
    pub knows: Duration,
    /// A job about which no question is answered for so long is forgotten.
    pub forgotten: Duration,
}

/// What was found wrong; nothing, if all is well.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// Starts of a task that was on another machine.
    pub duplicate_starts: Vec<String>,
    /// Starts under a term whose lead had not begun, or had ended for longer than an answer may take.
    pub starts_without_lease: Vec<String>,
    /// Starts while nothing could be written, though the leader had time to know.
    pub placed_unwritable: Vec<String>,
    /// Tasks on a machine after the time that a confirmed cancellation has.
    pub after_cancellation: Vec<String>,
    /// Starts after a confirmed cancellation, however soon. They are counted, and no breach by themselves:
    /// one may be on its way.
    pub soon_after_cancellation: Vec<String>,
    /// Accepted jobs that were unknown, changed a final state, or got no answer in time.
    pub answers: Vec<String>,
}

impl Findings {
    /// Whether no rule is broken.
    pub fn clean(&self) -> bool {
        self.duplicate_starts.is_empty()
            && self.starts_without_lease.is_empty()
            && self.placed_unwritable.is_empty()
            && self.after_cancellation.is_empty()
            && self.answers.is_empty()
    }
}

#[derive(Debug)]
struct Lead {
    began: Instant,
    ended: Option<Instant>,
}

/// Checks a history up to `end`.
pub fn check(entries: &[Entry], rules: &Rules, end: Instant) -> Findings {
    let mut checker = Checker {
        rules: *rules,
        findings: Findings::default(),
        places: BTreeMap::new(),
        leads: BTreeMap::new(),
        refused_since: None,
        cancelled: BTreeMap::new(),
        answered: BTreeMap::new(),
        last: BTreeMap::new(),
    };
    for entry in entries {
        checker.take(entry);
    }
    checker.finish(end)
}

struct Checker {
    rules: Rules,
    findings: Findings,
    places: BTreeMap<String, BTreeSet<String>>,
    leads: BTreeMap<u64, Lead>,
    /// Since when transactions are refused.
    refused_since: Option<Instant>,
    cancelled: BTreeMap<String, Instant>,
    /// When a job was last answered for.
    answered: BTreeMap<String, Instant>,
    /// The last answer that is final.
    last: BTreeMap<String, String>,
}

fn job_of(task: &str) -> &str {
    task.split('/').next().unwrap_or(task)
}

impl Checker {
    fn take(&mut self, entry: &Entry) {
        let at = entry.at;
        match &entry.event {
            Event::Started {
                task,
                machine,
                token,
                ..
            } => self.started(task, machine, *token, at),
            Event::Ended { task, machine } => self.ended(task, machine, at),
            Event::LeadBegan { term, .. } => {
                let lead = Lead {
                    began: at,
                    ended: None,
                };
                self.leads.insert(*term, lead);
            }
            Event::LeadEnded { term } => {
                if let Some(lead) = self.leads.get_mut(term) {
                    lead.ended.get_or_insert(at);
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
            Event::Answered { job, status } => self.answer(job, status, at),
        }
    }

    fn started(&mut self, task: &str, machine: &str, token: u64, at: Instant) {
        let places = self.places.entry(task.to_owned()).or_default();
        if let Some(other) = places.iter().find(|other| *other != machine) {
            let what = format!("{task} on {machine} while on {other}");
            self.findings.duplicate_starts.push(what);
        }
        places.insert(machine.to_owned());
        let term = token >> TOKEN_COUNT_BITS;
        let valid = self.leads.get(&term).is_some_and(|lead| {
            let ended = lead.ended.map(|ended| ended + self.rules.answer_dropped);
            at >= lead.began && ended.is_none_or(|ended| at <= ended)
        });
        if !valid {
            let what = format!("{task} on {machine} under term {term}");
            self.findings.starts_without_lease.push(what);
        }
        let knew = self.refused_since.map(|since| since + self.rules.knows);
        if knew.is_some_and(|knew| at > knew) {
            let what = format!("{task} on {machine}");
            self.findings.placed_unwritable.push(what);
        }
        if let Some(cancelled) = self.cancelled.get(job_of(task)) {
            let late = at.saturating_duration_since(*cancelled);
            let what = format!("{task} on {machine}, {late:?} after its cancellation");
            let list = if late > self.rules.cancel {
                &mut self.findings.after_cancellation
            } else {
                &mut self.findings.soon_after_cancellation
            };
            list.push(what);
        }
    }

    fn ended(&mut self, task: &str, machine: &str, at: Instant) {
        if let Some(places) = self.places.get_mut(task) {
            places.remove(machine);
        }
        self.must_be_gone(task, machine, at);
    }

    fn must_be_gone(&mut self, task: &str, machine: &str, at: Instant) {
        let Some(cancelled) = self.cancelled.get(job_of(task)) else {
            return;
        };
        let late = at.saturating_duration_since(*cancelled);
        if late > self.rules.cancel {
            let what = format!("{task} still on {machine}, {late:?} after its cancellation");
            self.findings.after_cancellation.push(what);
        }
    }

    fn answer(&mut self, job: &str, status: &str, at: Instant) {
        let Some(answered) = self.answered.insert(job.to_owned(), at) else {
            // Not accepted as far as its user knows.
            self.answered.remove(job);
            return;
        };
        self.must_be_answered(job, answered, at);
        if status == "404" {
            self.findings.answers.push(format!("{job} is unknown"));
        }
        let last = self.last.get(job).map(String::as_str);
        let went_back = last.is_some_and(|last| last != status);
        if went_back {
            let what = format!("{job} was {} and is {status}", last.unwrap_or_default());
            self.findings.answers.push(what);
        }
        if status == "cancelled" && !self.cancelled.contains_key(job) {
            let what = format!("{job} is cancelled, and nobody did");
            self.findings.answers.push(what);
        }
        if matches!(status, "done" | "cancelled") {
            self.last.insert(job.to_owned(), status.to_owned());
        }
    }

    fn must_be_answered(&mut self, job: &str, before: Instant, at: Instant) {
        let waited = at.saturating_duration_since(before);
        if waited > self.rules.forgotten {
            let what = format!("{job} got no answer for {waited:?}");
            self.findings.answers.push(what);
        }
    }

    fn finish(mut self, end: Instant) -> Findings {
        let places = std::mem::take(&mut self.places);
        for (task, machines) in &places {
            for machine in machines {
                self.must_be_gone(task, machine, end);
            }
        }
        let answered = std::mem::take(&mut self.answered);
        for (job, at) in &answered {
            if !self.last.contains_key(job) {
                self.must_be_answered(job, *at, end);
            }
        }
        self.findings
    }
}

#[cfg(test)]
mod tests;
