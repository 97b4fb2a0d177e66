//! The placement gate: when the links to the state service forbid a leader to place anything new.
//!
//! It can only refuse. Without a refusal a start still needs what it needs without the gate: the lease,
//! a replica that was read since a request last failed, and its records written.

use std::time::{Duration, Instant};

use serde::Serialize;
use thiserror::Error;

use crate::link::{Link, LinkState};

/// Why nothing new is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum GateRefusal {
    /// Requests that read are not answered.
    #[error("the state service can't be read from this controller")]
    Unreadable,
    /// Transactions are not answered, or refused.
    #[error("the state service can't be written from this controller")]
    Unwritable,
    /// The link comes and goes.
    #[error("the link to the state service comes and goes")]
    Flapping,
}

impl GateRefusal {
    /// The same as a constant text, for those who tell why a job waits.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Unreadable => "the state service, which this controller can't read",
            Self::Unwritable => "the state service, which this controller can't write",
            Self::Flapping => "a steady link to the state service",
        }
    }
}

/// What the gate says, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateVerdict {
    /// Why placements are refused, if they are.
    pub refusal: Option<GateRefusal>,
    /// Since when.
    pub since: Instant,
}

/// The gate with its last verdict.
#[derive(Debug)]
pub struct PlacementGate {
    verdict: GateVerdict,
    refused_for: Duration,
}

impl PlacementGate {
    /// An open gate.
    pub fn new(now: Instant) -> Self {
        Self {
            verdict: GateVerdict {
                refusal: None,
                since: now,
            },
            refused_for: Duration::ZERO,
        }
    }

    /// Looks at the links again; whether the verdict changed.
    pub fn evaluate(&mut self, read: &Link, write: &Link, now: Instant) -> bool {
        let refusal = refusal(read, write);
        if refusal == self.verdict.refusal {
            return false;
        }
        if self.verdict.refusal.is_some() {
            self.refused_for += now.saturating_duration_since(self.verdict.since);
        }
        self.verdict = GateVerdict {
            refusal,
            since: now,
        };
        true
    }

    /// The verdict of the last look.
    pub fn verdict(&self) -> GateVerdict {
        self.verdict
    }

    /// How long it has refused in all.
    pub fn refused_for(&self, now: Instant) -> Duration {
        match self.verdict.refusal {
            Some(_) => self.refused_for + now.saturating_duration_since(self.verdict.since),
            None => self.refused_for,
        }
    }
}

/// Unknown is no reason to refuse: a process that has just started has read its records, or does not
/// lead, and its first placement waits for its records to be written in any case.
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
