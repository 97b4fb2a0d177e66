//! The placement gate: it refuses new placements of a leader whose links to the state service fail.
//!
//! The gate can only refuse. An open gate permits nothing: a start still needs the lease, a replica read
//! since the last failed request, and its records written.

use std::time::{Duration, Instant};

use serde::Serialize;
use thiserror::Error;

use crate::link::{Link, LinkState};

/// Why new placements are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum GateRefusal {
    /// Reads are not answered.
    #[error("the state service can't be read from this controller")]
    Unreadable,
    /// Transactions are not answered, or are refused.
    #[error("the state service can't be written from this controller")]
    Unwritable,
    /// The link flaps.
    #[error("the link to the state service comes and goes")]
    Flapping,
}

impl GateRefusal {
    /// The missing condition, as part of a job's pending reason.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unreadable => "the state service, which this controller can't read",
            Self::Unwritable => "the state service, which this controller can't write",
            Self::Flapping => "a steady link to the state service",
        }
    }
}

/// The decision of the gate, and since when it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateDecision {
    /// Why placements are refused, if they are.
    pub refusal: Option<GateRefusal>,
    /// Since when.
    pub changed_at: Instant,
}

/// The gate with its last decision.
#[derive(Debug)]
pub struct PlacementGate {
    verdict: GateDecision,
    refused_for: Duration,
}

impl PlacementGate {
    /// An open gate.
    pub fn new(now: Instant) -> Self {
        Self {
            verdict: GateDecision {
                refusal: None,
                changed_at: now,
            },
            refused_for: Duration::ZERO,
        }
    }

    /// Re-evaluates the links and returns whether the decision changed.
    pub fn evaluate(&mut self, read: &Link, write: &Link, now: Instant) -> bool {
        let refusal = refusal(read, write);
        if refusal == self.verdict.refusal {
            return false;
        }
        if self.verdict.refusal.is_some() {
            self.refused_for += now.saturating_duration_since(self.verdict.changed_at);
        }
        self.verdict = GateDecision {
            refusal,
            changed_at: now,
        };
        true
    }

    /// The decision of the last evaluation.
    pub fn verdict(&self) -> GateDecision {
        self.verdict
    }

    /// Total time of refusal.
    pub fn refused_for(&self, now: Instant) -> Duration {
        match self.verdict.refusal {
            Some(_) => self.refused_for + now.saturating_duration_since(self.verdict.changed_at),
            None => self.refused_for,
        }
    }
}

/// An unknown link is no reason to refuse: a process that has just started has read its records, or is a
/// follower, and its first placement waits for its records to be written in any case.
fn refusal(read: &Link, write: &Link) -> Option<GateRefusal> {
    if read.state() == LinkState::Down {
        return Some(GateRefusal::Unreadable);
    }
    if write.state() == LinkState::Down {
        return Some(GateRefusal::Unwritable);
    }
    (read.suppressed() || write.suppressed()).then_some(GateRefusal::Flapping)
}

#[cfg(test)]
mod tests;
