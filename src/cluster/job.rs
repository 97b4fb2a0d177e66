//! One job as the leader sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use super::done::DoneSet;
use super::machine::Durable;
use super::ImageId;
use crate::model::{Attempt, JobSpec, MachineId, Shape, Verdict};

/// A place where a task may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The machine.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: Attempt,
}

/// A job with all places where tasks of it may be.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its user described.
    pub spec: Arc<JobSpec>,
    /// Its image.
    pub image: ImageId,
    /// When it was taken, on this process's steady clock.
    pub submitted: Instant,
    /// The same on the time of day, as recorded.
    pub submitted_ms: u64,
    /// Version of its verdict.
    pub version: u64,
    /// Its verdict.
    pub verdict: Verdict,
    /// Whether the record says that starts may have been sent.
    pub started: Durable,
    /// Started in an earlier term: until all machines of that time are settled, tasks of it
    /// may be anywhere.
    pub inherited: bool,
    /// Completed tasks.
    pub done: DoneSet,
    /// Where each task may be. Normally one place a task.
    pub places: BTreeMap<u32, Vec<Place>>,
    /// A gang's present attempt.
    pub attempt: Option<Attempt>,
    /// Whether the present attempt was seen running.
    pub begun: bool,
    /// The present attempt is being stopped, all members of it.
    pub stopping: bool,
    /// Takes no new starts until then.
    pub rests_until: Option<Instant>,
    /// Machines on which its tasks failed.
    pub failed_on: BTreeSet<MachineId>,
    /// A write of its records is under way.
    pub writing: bool,
    /// When a task of it was first seen running, for the metrics.
    pub first_run: Option<Instant>,
    /// Why it waits, for the status page.
    pub waits_for: &'static str,
}

impl Job {
    /// Whether tasks of it may still be started.
    pub fn open(&self) -> bool {
        self.verdict == Verdict::Accepted && self.done.len() < self.spec.tasks
    }

    /// Whether it is a gang.
    pub fn gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Whether any task of it may be anywhere we know of.
    pub fn placed(&self) -> bool {
        !self.places.is_empty()
    }

    /// Unfinished tasks without a place, in order.
    pub fn pending(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.spec.tasks)
            .filter(|index| !self.done.contains(*index) && !self.places.contains_key(index))
    }

    /// Number of unfinished tasks without a place.
    pub fn pending_count(&self) -> u32 {
        let placed = self.places.keys().filter(|i| !self.done.contains(**i));
        (self.spec.tasks - self.done.len()).saturating_sub(placed.count() as u32)
    }

    /// When it is due.
    pub fn due(&self) -> Option<Instant> {
        let after = crate::config::secs(self.spec.due_s?);
        self.submitted.checked_add(after)
    }
}
