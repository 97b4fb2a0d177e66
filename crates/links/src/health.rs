//! Health of a worker from the viewpoint of one controller, with the lost direction and the time of the
//! evidence. It is descriptive only: no machine is declared failed because of it.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Consecutive commands without a response from which on the direction to the worker counts as lost.
const UNANSWERED_COMMANDS_LOST: u32 = 2;

/// Health of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Heartbeats arrive and confirm that responses do.
    Healthy,
    /// A heartbeat is overdue, or an acknowledgement is pending.
    Suspect,
    /// One direction or both are lost.
    Unreachable,
    /// This controller has no usable evidence.
    Unknown,
}

/// The lost direction of an unreachable worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LostDirection {
    /// Heartbeats do not arrive, commands do.
    FromWorker,
    /// Heartbeats arrive, responses and commands do not.
    ToWorker,
    /// Neither arrives.
    Both,
}

/// Evidence about one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerEvidence {
    /// When its newest heartbeat arrived.
    pub last_heartbeat_at: Option<Instant>,
    /// It has confirmed this controller's term and owes no acknowledgement.
    pub is_confirmed: bool,
    /// Since when an acknowledgement is pending.
    pub unacknowledged_since: Option<Instant>,
    /// Commands without a response since its last heartbeat.
    pub unanswered_commands: u32,
}

/// Thresholds of the health states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// Time without a heartbeat from which on a worker is suspect.
    pub suspect_after: Duration,
    /// Time without a heartbeat, or without an acknowledgement, from which on a direction counts as lost.
    pub lost_after: Duration,
}

/// A worker's health at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerHealth {
    /// The health state.
    pub state: HealthState,
    /// The lost direction, if the worker is unreachable.
    pub lost_direction: Option<LostDirection>,
    /// Arrival of the newest evidence.
    pub evidence_at: Option<Instant>,
}

/// Evaluates the health of workers at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthEvaluator {
    /// The limits.
    pub limits: HealthLimits,
    /// Whether heartbeats of enough workers arrive. A controller without them cannot tell failed workers
    /// from a failed connection of its own, and reports `Unknown` instead of a stale state.
    pub receives_heartbeats: bool,
    /// The moment of the evaluation.
    pub now: Instant,
}

impl HealthEvaluator {
    /// The health of one worker.
    pub fn evaluate(&self, evidence: &WorkerEvidence) -> WorkerHealth {
        let (state, lost) = match evidence.last_heartbeat_at {
            Some(last_heartbeat) if self.receives_heartbeats => {
                judge_by_evidence(evidence, last_heartbeat, &self.limits, self.now)
            }
            _ => (HealthState::Unknown, None),
        };
        WorkerHealth {
            state,
            lost_direction: lost,
            evidence_at: evidence.last_heartbeat_at,
        }
    }
}

fn judge_by_evidence(
    evidence: &WorkerEvidence,
    last_heartbeat: Instant,
    limits: &HealthLimits,
    now: Instant,
) -> (HealthState, Option<LostDirection>) {
    let silent_for = now.saturating_duration_since(last_heartbeat);
    let unacknowledged_for = evidence
        .unacknowledged_since
        .map(|since| now.saturating_duration_since(since));
    let no_heartbeats = silent_for > limits.lost_after;
    let no_commands = unacknowledged_for.is_some_and(|pending| pending > limits.lost_after)
        || evidence.unanswered_commands >= UNANSWERED_COMMANDS_LOST;
    let lost = match (no_heartbeats, no_commands) {
        (true, true) => Some(LostDirection::Both),
        (true, false) => Some(LostDirection::FromWorker),
        (false, true) => Some(LostDirection::ToWorker),
        (false, false) => None,
    };
    if lost.is_some() {
        return (HealthState::Unreachable, lost);
    }
    let suspect = silent_for > limits.suspect_after
        || evidence.unacknowledged_since.is_some()
        || !evidence.is_confirmed
        || evidence.unanswered_commands > 0;
    if suspect {
        (HealthState::Suspect, None)
    } else {
        (HealthState::Healthy, None)
    }
}

#[cfg(test)]
mod tests;
