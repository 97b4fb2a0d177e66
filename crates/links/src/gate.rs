//! The placement gate: it refuses new placements of a leader whose links to the key-value store fail.
//!
//! The gate can only refuse. An open gate does not permit a placement: a start still requires the lease, a
//! replica that was read after the last failed request, and a completed write of its records.

use std::time::{Duration, Instant};

use serde::Serialize;
use thiserror::Error;

use crate::link::{Link, LinkState};

/// Why new placements are refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum GateRefusal {
    /// Reads receive no response.
    #[error("reads from the key-value store fail at this controller")]
    Unreadable,
    /// Transactions receive no response, or are refused.
    #[error("writes to the key-value store fail at this controller")]
    Unwritable,
    /// The link for reads or the link for transactions is suppressed because of flapping.
    #[error("the link to the key-value store is flapping")]
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

/// The decision of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateDecision {
    /// Number of decisions before this one, by which a decision that is published late can be recognized.
    pub number: u64,
    /// Why placements are refused; `None` while the gate is open.
    pub refusal: Option<GateRefusal>,
    /// When the gate opened, closed, or changed the reason of its refusal.
    pub changed_at: Instant,
}

/// The gate with its last decision.
#[derive(Debug)]
pub struct PlacementGate {
    decision: GateDecision,
    /// Total duration of the refusals before the current decision.
    past_refusals: Duration,
}

impl PlacementGate {
    /// Creates an open gate.
    pub fn new(now: Instant) -> Self {
        Self {
            decision: GateDecision {
                number: 0,
                refusal: None,
                changed_at: now,
            },
            past_refusals: Duration::ZERO,
        }
    }

    /// Decides by the links for reads and for transactions, and returns whether the decision has changed.
    pub fn evaluate(&mut self, read: &Link, write: &Link, now: Instant) -> bool {
        let refusal = refusal(read, write);
        if refusal == self.decision.refusal {
            return false;
        }
        if self.decision.refusal.is_some() {
            self.past_refusals += now.saturating_duration_since(self.decision.changed_at);
        }
        self.decision = GateDecision {
            number: self.decision.number + 1,
            refusal,
            changed_at: now,
        };
        true
    }

    /// The decision of the last evaluation; the gate is open before the first one.
    pub fn decision(&self) -> GateDecision {
        self.decision
    }

    /// Total time for which placements have been refused, including a refusal that still lasts.
    pub fn refused_for(&self, now: Instant) -> Duration {
        match self.decision.refusal {
            Some(_) => self.past_refusals + now.saturating_duration_since(self.decision.changed_at),
            None => self.past_refusals,
        }
    }
}

/// Why the states of the links require a refusal; `None` if they do not. A link in the state `Unknown`
/// requires none: a process that has just started either has read the records or is a follower, and a
/// placement waits in any case until its records are written.
fn refusal(read: &Link, write: &Link) -> Option<GateRefusal> {
    if read.state() == LinkState::Down {
        return Some(GateRefusal::Unreadable);
    }
    if write.state() == LinkState::Down {
        return Some(GateRefusal::Unwritable);
    }
    (read.is_suppressed() || write.is_suppressed()).then_some(GateRefusal::Flapping)
}

#[cfg(test)]
mod tests;
