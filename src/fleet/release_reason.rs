//! Why a machine is released.

use std::cmp::Ordering;
use std::fmt;

/// Why a machine is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseReason {
    /// The cloud lists it as failed.
    Failed,
    /// No heartbeat arrives any more.
    Unresponsive,
    /// Its heartbeats arrive, and show nothing of the answers to them.
    Unreachable,
    /// It is drained for a fault.
    Unfit,
    /// It was up in an earlier term, and did not send a heartbeat in this one.
    NotReconciled,
    /// It is listed as running, and never sent a heartbeat.
    NeverReported,
    /// Its boot takes many times the nominal time.
    HopelessBoot,
    /// The catalog does not have its machine type.
    UnknownType,
    /// It is idle, and keeping it costs more than a new rental likely would.
    Idle,
}

impl ReleaseReason {
    /// The reason as text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "it failed",
            Self::Unresponsive => "it is silent",
            Self::Unreachable => "it does not hear us",
            Self::Unfit => "it is not fit for work",
            Self::NotReconciled => "it did not report",
            Self::NeverReported => "it never reported",
            Self::HopelessBoot => "its boot is hopeless",
            Self::UnknownType => "its type is unknown",
            Self::Idle => "it is idle",
        }
    }
}

// Releases are requested in the order of their reasons. The order of the texts, which does not
// depend on how the variants are arranged, keeps it the same from version to version.
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
