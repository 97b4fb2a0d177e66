//! Reasons to place no new tasks on a machine, with their texts for operators.

use std::fmt;

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
