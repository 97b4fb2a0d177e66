//! Reasons to place no new tasks on a machine, with their texts for operators.

use std::fmt;
use std::time::{Duration, Instant};

use super::{DrainReason, Machine};
use crate::wire::BODY_BYTES_MAX;

/// Bytes of a task in a heartbeat, in the encoding by which the body limit is measured.
const TASK_STATUS_BYTES: usize = 80;
/// Number of tasks on a machine, including exited ones whose results are not recorded yet, at which
/// the machine gets no more. It is half of what a heartbeat can hold. While records can't be
/// written, results of short tasks would otherwise accumulate until the agent could send no
/// heartbeat.
const TASKS_PER_MACHINE_MAX: usize = BODY_BYTES_MAX / TASK_STATUS_BYTES / 2;

/// Why a machine gets no new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// It has sent no heartbeat in this term.
    NoHeartbeat,
    /// It does not reject commands of an earlier leader yet.
    NotFenced,
    /// It has not acknowledged this leader's responses or commands.
    Unreachable,
    /// Its release has been requested.
    Releasing,
    /// It is drained as faulty, since tasks of several jobs failed on it.
    Faulty,
    /// It is drained as slow, since it is much slower than others.
    Slow,
    /// It is drained on an operator's request.
    Drained,
    /// It has received a spot notice: the cloud will reclaim it.
    SpotNotice,
    /// Its heartbeats are late.
    Suspected,
    /// A task failed on it recently.
    Backoff,
    /// A task of unknown size is on it.
    UnknownTask,
    /// More tasks could make its heartbeats exceed the body limit.
    TooManyTasks,
}

impl PlacementRefusal {
    /// All reasons, in the order in which they are checked.
    pub const ALL: [Self; 12] = [
        Self::NoHeartbeat,
        Self::NotFenced,
        Self::Unreachable,
        Self::Releasing,
        Self::Faulty,
        Self::Slow,
        Self::Drained,
        Self::SpotNotice,
        Self::Suspected,
        Self::Backoff,
        Self::UnknownTask,
        Self::TooManyTasks,
    ];

    /// The text in the admin interface. Operators' scripts may match it, so it must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoHeartbeat => "it has not reported in this term",
            Self::NotFenced => "it has not shown this term's token",
            Self::Unreachable => "it does not seem to hear us",
            Self::Releasing => "it is being returned",
            Self::Faulty => "tasks of several jobs failed on it",
            Self::Slow => "it is much slower than others",
            Self::Drained => "an operator drains it",
            Self::SpotNotice => "the cloud takes it back",
            Self::Suspected => "it is silent",
            Self::Backoff => "it rests after a failure",
            Self::UnknownTask => "something unknown runs on it",
            Self::TooManyTasks => "its reports would get too long",
        }
    }
}

impl fmt::Display for PlacementRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Machine {
    /// Why it gets no new tasks, or `None` if it may get some.
    pub fn placement_refusal(
        &self,
        now: Instant,
        suspect_after: Duration,
    ) -> Option<PlacementRefusal> {
        let fenced = self.fenced || self.never_fenced;
        let in_backoff = self.backoff_until.is_some_and(|until| now < until);
        let full = self.instances.len() >= TASKS_PER_MACHINE_MAX;
        // The first condition that holds is shown to operators.
        let refusals = [
            (
                self.last_heartbeat_at.is_none(),
                PlacementRefusal::NoHeartbeat,
            ),
            (!fenced, PlacementRefusal::NotFenced),
            (
                !self.reachability.is_confirmed(),
                PlacementRefusal::Unreachable,
            ),
            (self.releasing, PlacementRefusal::Releasing),
            (
                self.drain == Some(DrainReason::Faulty),
                PlacementRefusal::Faulty,
            ),
            (
                self.drain == Some(DrainReason::Slow),
                PlacementRefusal::Slow,
            ),
            (
                self.drain == Some(DrainReason::Operator),
                PlacementRefusal::Drained,
            ),
            (self.spot_deadline.is_some(), PlacementRefusal::SpotNotice),
            (
                self.heartbeat_overdue(now, suspect_after),
                PlacementRefusal::Suspected,
            ),
            (in_backoff, PlacementRefusal::Backoff),
            (self.has_unknown_task(), PlacementRefusal::UnknownTask),
            (full, PlacementRefusal::TooManyTasks),
        ];
        let first = refusals.into_iter().find(|(holds, _)| *holds);
        first.map(|(_, refusal)| refusal)
    }
}
