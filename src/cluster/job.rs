//! One job as the leader sees it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use super::done::DoneSet;
use super::faults::SuspectedJob;
use super::machine::Persistence;
use super::ImageId;
use crate::model::{Attempt, JobKind, JobSpec, MachineId, Verdict};
use crate::pending_reason::PendingReason;

/// A place where a task may be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The machine.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: Attempt,
}

/// Where starts of a job may ever have been sent. On record before the start is, so that a new
/// leader need not wait for machines on which the job can't be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Sent {
    /// To these machines at most.
    Hosts(BTreeSet<MachineId>),
    /// To any that the job may use.
    Anywhere,
}

impl Sent {
    /// To no machine so far.
    pub fn nowhere() -> Self {
        Self::Hosts(BTreeSet::new())
    }

    /// The machines, where they are named.
    pub fn hosts(&self) -> Option<&BTreeSet<MachineId>> {
        match self {
            Self::Hosts(hosts) => Some(hosts),
            Self::Anywhere => None,
        }
    }

    /// Takes more of them.
    pub fn add(&mut self, more: Sent) {
        match (&mut *self, more) {
            (Self::Hosts(hosts), Self::Hosts(more)) => hosts.extend(more),
            (_, Self::Anywhere) => *self = Self::Anywhere,
            (Self::Anywhere, Self::Hosts(_)) => {}
        }
    }

    /// Whether starts may be sent there.
    pub fn covers(&self, machine: &MachineId) -> bool {
        match self {
            Self::Hosts(hosts) => hosts.contains(machine),
            Self::Anywhere => true,
        }
    }
}

/// Machines named in a job's record at most, and times the record is written for new ones.
/// Beyond either it says "anywhere": a large array is everywhere soon.
const NAMED_MACHINES_MAX: usize = 64;
const SENT_WRITES_MAX: u32 = 3;

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
    /// Cancelled for good, though our replica does not show it yet.
    pub cancellation_requested: bool,
    /// Whether the record says that starts may have been sent.
    pub started: Persistence,
    /// Started in an earlier term: until all machines of that time are settled, tasks of it
    /// may be anywhere.
    pub inherited: bool,
    /// Where starts of it may ever have been sent, as the record has it.
    pub sent: Sent,
    /// Times that this was written.
    pub sent_writes: u32,
    /// Completed tasks.
    pub done: DoneSet,
    /// Where each task may be. Normally one place a task.
    pub placements: BTreeMap<u32, Vec<Placement>>,
    /// A gang's present attempt.
    pub attempt: Option<Attempt>,
    /// Whether the present attempt was seen running.
    pub seen_running: bool,
    /// The present attempt is being stopped, all members of it.
    pub stopping: bool,
    /// Other work was stopped for it, in this zone or anywhere: the room that this frees is
    /// its own until then.
    pub claim: Option<(Option<String>, Instant)>,
    /// Takes no new starts until then.
    pub backoff_until: Option<Instant>,
    /// Machines on which its tasks failed.
    pub failed_on: BTreeSet<MachineId>,
    /// It fails everywhere, as far as can be seen, and is tried now and then only.
    pub suspicion: Option<SuspectedJob>,
    /// A write of its records is under way.
    pub writing: bool,
    /// Whether versions up to 0.3.0 wrote it down, with a key for its description.
    pub has_own_key: bool,
    /// When its completed tasks were last written down.
    pub progress_at: Option<Instant>,
    /// When a task of it was first seen running, for the metrics.
    pub first_run: Option<Instant>,
    /// Why tasks of it are pending, for the admin interface.
    pub pending_reason: PendingReason,
}

impl Job {
    /// What the records should say besides of where starts were sent, if they do not cover the
    /// places planned.
    pub fn sent_due(&self) -> Option<Sent> {
        let planned = || {
            self.placements
                .values()
                .flatten()
                .map(|placement| &placement.machine)
        };
        if planned().all(|machine| self.sent.covers(machine)) {
            return None;
        }
        let Sent::Hosts(hosts) = &self.sent else {
            return None;
        };
        let more: BTreeSet<MachineId> =
            planned().filter(|m| !hosts.contains(*m)).cloned().collect();
        let all = hosts.len() + more.len();
        let few = all <= NAMED_MACHINES_MAX && self.sent_writes < SENT_WRITES_MAX;
        let gang = self.gang() && all <= NAMED_MACHINES_MAX;
        Some(if few || gang {
            Sent::Hosts(more)
        } else {
            Sent::Anywhere
        })
    }

    /// Whether a start may be sent to a machine, by the records.
    pub fn may_send(&self, machine: &MachineId) -> bool {
        self.started == Persistence::Written && self.sent.covers(machine)
    }

    /// Whether anybody wants it to run.
    pub fn wanted(&self) -> bool {
        self.verdict == Verdict::Accepted && !self.cancellation_requested
    }

    /// Whether tasks of it may still be started.
    pub fn open(&self) -> bool {
        self.wanted() && self.done.len() < self.spec.tasks
    }

    /// Whether it is a gang.
    pub fn gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether any task of it may be anywhere we know of.
    pub fn has_placements(&self) -> bool {
        !self.placements.is_empty()
    }

    /// Unfinished tasks without a place, in order.
    pub fn pending(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.spec.tasks)
            .filter(|index| !self.done.contains(*index) && !self.placements.contains_key(index))
    }

    /// Number of unfinished tasks without a place.
    pub fn pending_count(&self) -> u32 {
        let placed = self.placements.keys().filter(|i| !self.done.contains(**i));
        (self.spec.tasks - self.done.len()).saturating_sub(placed.count() as u32)
    }

    /// When it is due.
    pub fn due(&self) -> Option<Instant> {
        let after = crate::time::secs(self.spec.deadline_s?);
        self.submitted.checked_add(after)
    }
}
