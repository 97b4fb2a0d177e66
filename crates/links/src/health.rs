//! Health of an agent from the viewpoint of one controller, with the lost direction and the time of the
//! evidence. It is informational only: no machine is declared failed because of it.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Number of commands without a response since the newest heartbeat at which the direction to the agent
/// counts as lost.
const UNANSWERED_COMMANDS_LOST: u32 = 2;

/// Health of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Heartbeats arrive and confirm that responses reach the agent.
    Healthy,
    /// A heartbeat is overdue, the term or a token is not acknowledged, or a command has no response.
    Suspect,
    /// At least one direction is lost.
    Unreachable,
    /// This controller has no usable evidence.
    Unknown,
}

/// The lost direction of an unreachable agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LostDirection {
    /// Heartbeats do not arrive; nothing shows that responses and commands are lost.
    FromWorker,
    /// Heartbeats arrive, responses or commands do not reach the agent.
    ToWorker,
    /// Neither direction works.
    Both,
}

/// Evidence about one agent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerEvidence {
    /// When the newest heartbeat arrived; `None` before the first one.
    pub last_heartbeat_at: Option<Instant>,
    /// Whether the agent has acknowledged this controller's term and no acknowledgement is pending.
    pub is_confirmed: bool,
    /// When the pending acknowledgement was first required; `None` if none is pending.
    pub unacknowledged_since: Option<Instant>,
    /// Number of commands without a response since the newest heartbeat.
    pub unanswered_commands: u32,
}

/// Thresholds of the health states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// Time without a heartbeat after which an agent is suspect.
    pub suspect_after: Duration,
    /// Time without a heartbeat, or without a required acknowledgement, after which that direction counts as
    /// lost.
    pub lost_after: Duration,
}

/// Health of an agent at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerHealth {
    /// State at the moment of the evaluation.
    pub state: HealthState,
    /// The lost direction if the agent is unreachable, `None` otherwise.
    pub lost_direction: Option<LostDirection>,
    /// When the newest heartbeat arrived, also if the state is `Unknown`.
    pub evidence_at: Option<Instant>,
}

/// Evaluates the health of agents at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthEvaluator {
    /// Thresholds that apply to all agents.
    pub limits: HealthLimits,
    /// Whether heartbeats of enough agents arrive. A controller without them cannot distinguish failed agents
    /// from a failed connection of its own, and evaluates them as `Unknown` instead of by outdated evidence.
    pub receives_heartbeats: bool,
    /// The moment of the evaluation.
    pub now: Instant,
}

impl HealthEvaluator {
    /// Evaluates one agent. Without any heartbeat of the agent its health is `Unknown`.
    pub fn evaluate(&self, evidence: &WorkerEvidence) -> WorkerHealth {
        let (state, lost_direction) = match evidence.last_heartbeat_at {
            Some(last_heartbeat_at) if self.receives_heartbeats => {
                evaluate_evidence(evidence, last_heartbeat_at, &self.limits, self.now)
            }
            _ => (HealthState::Unknown, None),
        };
        WorkerHealth {
            state,
            lost_direction,
            evidence_at: evidence.last_heartbeat_at,
        }
    }
}

fn evaluate_evidence(
    evidence: &WorkerEvidence,
    last_heartbeat_at: Instant,
    limits: &HealthLimits,
    now: Instant,
) -> (HealthState, Option<LostDirection>) {
    let since_heartbeat = now.saturating_duration_since(last_heartbeat_at);
    let unacknowledged_for = evidence
        .unacknowledged_since
        .map(|since| now.saturating_duration_since(since));
    let heartbeats_lost = since_heartbeat > limits.lost_after;
    let commands_lost = unacknowledged_for.is_some_and(|pending| pending > limits.lost_after)
        || evidence.unanswered_commands >= UNANSWERED_COMMANDS_LOST;
    let lost_direction = match (heartbeats_lost, commands_lost) {
        (true, true) => Some(LostDirection::Both),
        (true, false) => Some(LostDirection::FromWorker),
        (false, true) => Some(LostDirection::ToWorker),
        (false, false) => None,
    };
    if lost_direction.is_some() {
        return (HealthState::Unreachable, lost_direction);
    }
    let is_suspect = since_heartbeat > limits.suspect_after
        || evidence.unacknowledged_since.is_some()
        || !evidence.is_confirmed
        || evidence.unanswered_commands > 0;
    if is_suspect {
        (HealthState::Suspect, None)
    } else {
        (HealthState::Healthy, None)
    }
}

#[cfg(test)]
mod tests;
