//! One job in the leader's cluster state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Instant;

use super::done::DoneSet;
use super::faults::SuspectedJob;
use super::machine::Persistence;
use super::ImageId;
use crate::model::{Attempt, JobKind, JobSpec, MachineId, Verdict};
use crate::pending_reason::PendingReason;

/// A machine on which a task may be, with the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The machine for which the task is planned or dispatched, or whose heartbeats contain it.
    pub machine: MachineId,
    /// The attempt, which a gang's members share.
    pub attempt: Attempt,
}

/// Machines to which starts of a job may ever have been sent. Recorded before a start is
/// dispatched, so that a new leader need not wait for machines that can't hold a task of the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchTargets {
    /// Only these machines.
    Machines(BTreeSet<MachineId>),
    /// Any machine that the job may use.
    Anywhere,
}

impl DispatchTargets {
    /// No machine yet.
    pub fn none() -> Self {
        Self::Machines(BTreeSet::new())
    }

    /// The machines, unless any is possible.
    pub fn machines(&self) -> Option<&BTreeSet<MachineId>> {
        match self {
            Self::Machines(machines) => Some(machines),
            Self::Anywhere => None,
        }
    }

    /// Adds further targets.
    pub fn add(&mut self, more: DispatchTargets) {
        match (&mut *self, more) {
            (Self::Machines(machines), Self::Machines(more)) => machines.extend(more),
            (_, Self::Anywhere) => *self = Self::Anywhere,
            (Self::Anywhere, Self::Machines(_)) => {}
        }
    }

    /// Whether starts may be sent to the machine.
    pub fn covers(&self, machine: &MachineId) -> bool {
        match self {
            Self::Machines(machines) => machines.contains(machine),
            Self::Anywhere => true,
        }
    }
}

/// Limits on the machines that the dispatch records name for a job, and on the writes that add
/// machines to them. Beyond either limit they name no machines, which stands for any machine: a
/// large array soon runs everywhere. The limit on writes does not apply to gangs.
const NAMED_MACHINES_MAX: usize = 64;
const DISPATCH_WRITES_MAX: u32 = 3;

/// Capacity reserved for a job for which other tasks were terminated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityReservation {
    /// The zone of the capacity; `None`: any.
    pub zone: Option<String>,
    /// When the reservation ends.
    pub until: Instant,
}

/// A job with all placements of its tasks.
#[derive(Clone, Debug)]
pub struct Job {
    /// The description by the job's user.
    pub spec: Arc<JobSpec>,
    /// The image that its tasks run.
    pub image: ImageId,
    /// When it was submitted, on this process's monotonic clock.
    pub submitted_at: Instant,
    /// The store version of the verdict record, on which writes for the job are conditional.
    pub(super) version: u64,
    /// The verdict in the records, as the replica shows it.
    pub(super) verdict: Verdict,
    /// Whether its cancellation is committed, though the replica may not show it yet.
    pub(super) cancellation_requested: bool,
    /// Whether a record in the store shows that starts may have been sent.
    pub(super) dispatch_record: Persistence,
    /// Whether it was started in an earlier term, so that tasks of it may be on machines that are
    /// not reconciled yet.
    pub(super) started_in_earlier_term: bool,
    /// Machines to which starts may ever have been sent, according to the records.
    pub(super) dispatch_targets: DispatchTargets,
    /// How often these targets were written in this term.
    pub(super) dispatch_writes: u32,
    /// Completed tasks, recorded or not.
    pub done: DoneSet,
    /// Where each task may be, by task number. Normally a task has one placement.
    pub placements: BTreeMap<u32, Vec<Placement>>,
    /// The current attempt of a gang.
    pub attempt: Option<Attempt>,
    /// Whether a heartbeat has shown a member of the current attempt running.
    pub seen_running: bool,
    /// Whether all members of the current attempt are being terminated.
    pub terminating: bool,
    /// Capacity that other tasks were terminated for.
    pub capacity_reservation: Option<CapacityReservation>,
    /// Until when no further starts are planned for it.
    pub backoff_until: Option<Instant>,
    /// Machines on which tasks of it failed.
    pub failed_on: BTreeSet<MachineId>,
    /// Present while it has failed on several machines and completed nothing. It then gets only
    /// rare trials.
    pub(super) suspicion: Option<SuspectedJob>,
    /// Whether a write of its records is in flight.
    pub(super) writing: bool,
    /// Whether a version up to 0.3.0 recorded it, with a separate key for its description.
    pub(super) has_own_key: bool,
    /// When the last write of its completed tasks began, unless that write failed.
    pub(super) progress_written_at: Option<Instant>,
    /// When a heartbeat of this term first showed a task of it running.
    pub first_running_at: Option<Instant>,
    /// Why tasks of it are pending, for the admin interface.
    pub pending_reason: PendingReason,
}

impl Job {
    /// The targets missing from the dispatch records, if these do not cover all planned placements.
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
        let DispatchTargets::Machines(recorded) = &self.dispatch_targets else {
            return None;
        };
        let more: BTreeSet<MachineId> = planned()
            .filter(|m| !recorded.contains(*m))
            .cloned()
            .collect();
        let all = recorded.len() + more.len();
        let few = all <= NAMED_MACHINES_MAX && self.dispatch_writes < DISPATCH_WRITES_MAX;
        let gang = self.is_gang() && all <= NAMED_MACHINES_MAX;
        Some(if few || gang {
            DispatchTargets::Machines(more)
        } else {
            DispatchTargets::Anywhere
        })
    }

    /// Whether the records allow dispatching a start to the machine.
    pub fn may_dispatch_to(&self, machine: &MachineId) -> bool {
        self.dispatch_record == Persistence::Written && self.dispatch_targets.covers(machine)
    }

    /// The capacity reservation, unless it has ended.
    pub fn capacity_reserved(&self, now: Instant) -> Option<&CapacityReservation> {
        let reservation = self.capacity_reservation.as_ref();
        reservation.filter(|reservation| now < reservation.until)
    }

    /// Whether it has neither ended nor been cancelled.
    pub fn is_active(&self) -> bool {
        self.verdict == Verdict::Accepted && !self.cancellation_requested
    }

    /// Whether it is active and has unfinished tasks.
    pub fn is_schedulable(&self) -> bool {
        self.is_active() && self.done.len() < self.spec.tasks
    }

    /// Whether all its tasks have to run at the same time.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    /// Whether any task of it may be on a known machine.
    pub fn has_placements(&self) -> bool {
        !self.placements.is_empty()
    }

    /// Numbers of the unfinished tasks without a placement, ascending.
    pub fn pending(&self) -> impl Iterator<Item = u32> + '_ {
        (0..self.spec.tasks)
            .filter(|index| !self.done.contains(*index) && !self.placements.contains_key(index))
    }

    /// The number of unfinished tasks without a placement.
    pub fn pending_count(&self) -> u32 {
        let placed = self.placements.keys().filter(|i| !self.done.contains(**i));
        (self.spec.tasks - self.done.len()).saturating_sub(placed.count() as u32)
    }

    /// When it should be complete, if its user set a deadline.
    pub fn deadline(&self) -> Option<Instant> {
        let after = crate::time::secs(self.spec.deadline_s?);
        self.submitted_at.checked_add(after)
    }
}
