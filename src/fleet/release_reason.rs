//! The reasons for which machines are released.

use std::cmp::Ordering;
use std::fmt;

/// Why the leader releases a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The cloud lists it as failed.
    Failed,
    /// It sent heartbeats in this term, and has stopped sending them.
    Unresponsive,
    /// Its heartbeats arrive, but do not acknowledge the responses to them.
    Unreachable,
    /// It is drained because it is faulty or slow, and no task is left on it.
    Unfit,
    /// It was up in an earlier term, and has sent no heartbeat in this one.
    NotReconciled,
    /// The cloud lists it as running, and it has never sent a heartbeat.
    NoFirstHeartbeat,
    /// Its boot takes many times the nominal boot time.
    BootTimeout,
    /// It is idle, and the catalog does not contain its machine type.
    UnknownMachineType,
    /// It is idle, and keeping it likely costs more than a new rental.
    Idle,
}

impl ReleaseReason {
    /// The text in logs. Tools of operators may depend on it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "it failed",
            Self::Unresponsive => "it is silent",
            Self::Unreachable => "it does not hear us",
            Self::Unfit => "it is not fit for work",
            Self::NotReconciled => "it did not report",
            Self::NoFirstHeartbeat => "it never reported",
            Self::BootTimeout => "its boot is hopeless",
            Self::UnknownMachineType => "its type is unknown",
            Self::Idle => "it is idle",
        }
    }
}

// Releases are requested in the order of their reasons. Comparing the texts keeps this order the
// same across versions, since it does not depend on the order of the variants.
impl Ord for ReleaseReason {
    fn cmp(&self, other: &Self) -> Ordering {
        self.as_str().cmp(other.as_str())
    }
}

impl PartialOrd for ReleaseReason {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Display for ReleaseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
