//! Why tasks of a job are pending, as decided by the scheduler and shown to operators.

use std::fmt;

use knotlanding_links::gate::GateRefusal;
use serde::{Serialize, Serializer};

/// Why tasks of a job are pending.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PendingReason {
    /// No scheduling cycle has considered the job yet.
    NotConsidered,
    /// The replica of the records is too old to start tasks.
    StaleReplica,
    /// The gate suspends placements, since this controller's connection to the key-value store is
    /// poor.
    Gate(GateRefusal),
    /// Tasks of the job may be on machines of an earlier term that are not reconciled yet.
    UnreconciledMachines,
    /// The job is suspected of failing everywhere, and its next trial is not due yet.
    TrialBackoff,
    /// The backoff after a failure has not ended.
    FailureBackoff,
    /// Tasks of the gang are still being terminated.
    Terminating,
    /// The limit of the team's quota is reached.
    TeamLimit,
    /// The next trial of a suspected job is due and finds no capacity.
    TrialCapacity,
    /// There is no capacity for all missing members of the gang.
    GangCapacity,
    /// A machine that has the image is expected to release capacity sooner than the image could be
    /// pulled elsewhere.
    ImageLocality,
    /// There is no free capacity.
    Capacity,
}

impl PendingReason {
    /// All reasons, including all refusals of the gate.
    pub const ALL: [Self; 14] = [
        Self::NotConsidered,
        Self::StaleReplica,
        Self::Gate(GateRefusal::Unreadable),
        Self::Gate(GateRefusal::Unwritable),
        Self::Gate(GateRefusal::Flapping),
        Self::UnreconciledMachines,
        Self::TrialBackoff,
        Self::FailureBackoff,
        Self::Terminating,
        Self::TeamLimit,
        Self::TrialCapacity,
        Self::GangCapacity,
        Self::ImageLocality,
        Self::Capacity,
    ];

    /// The text in the admin interface. Operators' scripts may match it, so it must not change.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotConsidered => "its first round",
            Self::StaleReplica => "a fresh read of the records",
            Self::Gate(refusal) => refusal.reason(),
            Self::UnreconciledMachines => "machines of an earlier term to report",
            Self::TrialBackoff => "its next trial, since it fails everywhere",
            Self::FailureBackoff => "its rest after a failure",
            Self::Terminating => "its tasks to stop",
            Self::TeamLimit => "its team's limit",
            Self::TrialCapacity => "room for a trial, since it fails everywhere",
            Self::GangCapacity => "room for all its members",
            Self::ImageLocality => "a place with its image to come free",
            Self::Capacity => "room",
        }
    }
}

impl fmt::Display for PendingReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for PendingReason {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}
