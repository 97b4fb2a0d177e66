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

/// Where starts of a job may ever have been sent. Recorded before a start is dispatched, so that a
/// new leader need not wait for machines on which the job can't be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchTargets {
    /// To these machines at most.
    Machines(BTreeSet<MachineId>),
    /// To any that the job may use.
    Anywhere,
}

impl DispatchTargets {
    /// To no machine so far.
    pub fn none() -> Self {
        Self::Machines(BTreeSet::new())
    }

    /// The machines, where they are named.
    pub fn machines(&self) -> Option<&BTreeSet<MachineId>> {
        match self {
            Self::Machines(machines) => Some(machines),
            Self::Anywhere => None,
        }
    }

    /// Takes more of them.
    pub fn add(&mut self, more: DispatchTargets) {
        match (&mut *self, more) {
            (Self::Machines(machines), Self::Machines(more)) => machines.extend(more),
            (_, Self::Anywhere) => *self = Self::Anywhere,
            (Self::Anywhere, Self::Machines(_)) => {}
        }
    }

    /// Whether starts may be sent there.
    pub fn covers(&self, machine: &MachineId) -> bool {
        match self {
            Self::Machines(machines) => machines.contains(machine),
            Self::Anywhere => true,
        }
    }
}

/// Machines named in a job's record at most, and times the record is written for new ones.
/// Beyond either it says "anywhere": a large array is everywhere soon.
const NAMED_MACHINES_MAX: usize = 64;
const DISPATCH_WRITES_MAX: u32 = 3;

/// Other work was terminated for a job: the capacity that this frees is reserved for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityReservation {
    /// The zone, or any if there is none.
    pub zone: Option<String>,
    /// When the reservation ends.
    pub until: Instant,
}

/// A job with all places where tasks of it may be.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its user described.
    pub spec: Arc<JobSpec>,
    /// Its image.
    pub image: ImageId,
    /// When it was taken, on this process's steady clock.
    pub submitted_at: Instant,
    /// Version of its verdict.
    pub(super) version: u64,
    /// Its verdict.
    pub(super) verdict: Verdict,
    /// Cancelled for good, though our replica does not show it yet.
    pub(super) cancellation_requested: bool,
    /// Whether the records say that starts may have been sent.
    pub(super) dispatch_record: Persistence,
    /// Started in an earlier term: until all machines of that time are reconciled,
    /// tasks of it may be anywhere.
    pub(super) started_in_earlier_term: bool,
    /// Where starts of it may ever have been sent, as the records have it.
    pub(super) dispatch_targets: DispatchTargets,
    /// Times that this was written.
    pub(super) dispatch_writes: u32,
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
    /// Capacity that was freed for it.
    pub capacity_reservation: Option<CapacityReservation>,
    /// Takes no new starts until then.
    pub backoff_until: Option<Instant>,
    /// Machines on which its tasks failed.
    pub failed_on: BTreeSet<MachineId>,
    /// It fails everywhere, as far as can be seen, and is tried now and then only.
    pub(super) suspicion: Option<SuspectedJob>,
    /// A write of its records is under way.
    pub(super) writing: bool,
    /// Whether versions up to 0.3.0 wrote it down, with a key for its description.
    pub(super) has_own_key: bool,
    /// When its completed tasks were last written down.
    pub(super) progress_written_at: Option<Instant>,
    /// When a task of it was first seen running, for the metrics.
    pub first_running_at: Option<Instant>,
    /// Why tasks of it are pending, for the admin interface.
    pub pending_reason: PendingReason,
}

impl Job {
    /// The targets that the dispatch records lack, if they do not cover the planned placements.
    pub fn unrecorded_targets(&self) -> Option<DispatchTargets> {
        let planned = || {
            self.placements
                .values()
                .flatten()
                .map(|placement| &placement.machine)
        };
        if planned().all(|machine| self.dispatch_targets.covers(machine)) {
            return None;
        }
        let DispatchTargets::Machines(hosts) = &self.dispatch_targets else {
            return None;
        };
        let more: BTreeSet<MachineId> =
            planned().filter(|m| !hosts.contains(*m)).cloned().collect();
        let all = hosts.len() + more.len();
        let few = all <= NAMED_MACHINES_MAX && self.dispatch_writes < DISPATCH_WRITES_MAX;
        let gang = self.is_gang() && all <= NAMED_MACHINES_MAX;
        Some(if few || gang {
            DispatchTargets::Machines(more)
        } else {
            DispatchTargets::Anywhere
        })
    }

    /// Whether a start may be dispatched to a machine, by the records.
    pub fn may_dispatch_to(&self, machine: &MachineId) -> bool {
        self.dispatch_record == Persistence::Written && self.dispatch_targets.covers(machine)
    }

    /// The capacity that is still reserved for it.
    pub fn capacity_reserved(&self, now: Instant) -> Option<&CapacityReservation> {
        let reservation = self.capacity_reservation.as_ref();
        reservation.filter(|reservation| now < reservation.until)
    }

    /// Whether it is neither over nor cancelled.
    pub fn is_active(&self) -> bool {
        self.verdict == Verdict::Accepted && !self.cancellation_requested
    }

    /// Whether tasks of it may still be scheduled.
    pub fn is_schedulable(&self) -> bool {
        self.is_active() && self.done.len() < self.spec.tasks
    }

    /// Whether it is a gang.
    pub fn is_gang(&self) -> bool {
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
    pub fn deadline(&self) -> Option<Instant> {
        let after = crate::time::secs(self.spec.deadline_s?);
        self.submitted_at.checked_add(after)
    }
}
