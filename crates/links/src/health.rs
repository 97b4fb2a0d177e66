//! Health of a worker as one controller sees it, with the direction that is lost and the time of the
//! evidence. It describes; no machine is given up because of it.

use std::time::{Duration, Instant};

use serde::Serialize;

/// Commands without an answer, in a row, from which on they count as lost.
const COMMANDS_LOST: u32 = 2;

/// How a worker stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Reports arrive, and show that answers do.
    Healthy,
    /// A report is overdue, or something that it was told has not shown yet.
    Suspect,
    /// One direction or both are lost.
    Unreachable,
    /// This controller can't tell.
    Unknown,
}

/// A direction that is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LostDirection {
    /// Its reports don't arrive, commands do.
    FromWorker,
    /// Its reports arrive, answers and commands don't.
    ToWorker,
    /// Neither arrives.
    Both,
}

/// What is known of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerEvidence {
    /// When its newest report arrived.
    pub last_heartbeat: Option<Instant>,
    /// It has shown that it hears this controller's term.
    pub hears: bool,
    /// Since when something that it was told has not shown.
    pub doubted_since: Option<Instant>,
    /// Commands sent to it without an answer since it last spoke.
    pub unanswered_commands: u32,
}

/// By what a worker is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthLimits {
    /// Silence from which on a worker is suspect.
    pub suspect: Duration,
    /// Silence, or doubt, from which on a direction counts as lost.
    pub lost: Duration,
}

/// A worker's health at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerHealth {
    /// How it stands.
    pub state: HealthState,
    /// What is lost, if it is unreachable.
    pub lost: Option<LostDirection>,
    /// When the newest evidence came.
    pub evidence_at: Option<Instant>,
}

/// Judges workers at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthJudge {
    /// The limits.
    pub limits: HealthLimits,
    /// Whether this controller hears its workers at all. One that hears hardly any can't tell their
    /// silence from its own, and says so instead of repeating what it knew.
    pub hears_workers: bool,
    /// The moment.
    pub now: Instant,
}

impl HealthJudge {
    /// Judges one worker.
    pub fn judge(&self, evidence: &WorkerEvidence) -> WorkerHealth {
        let (state, lost) = match evidence.last_heartbeat {
            Some(reported) if self.hears_workers => {
                judge_heard(evidence, reported, &self.limits, self.now)
            }
            _ => (HealthState::Unknown, None),
        };
        WorkerHealth {
            state,
            lost,
            evidence_at: evidence.last_heartbeat,
        }
    }
}

fn judge_heard(
    evidence: &WorkerEvidence,
    reported: Instant,
    limits: &HealthLimits,
    now: Instant,
) -> (HealthState, Option<LostDirection>) {
    let silent_for = now.saturating_duration_since(reported);
    let doubted_for = evidence
        .doubted_since
        .map(|since| now.saturating_duration_since(since));
    let no_reports = silent_for > limits.lost;
    let no_commands = doubted_for.is_some_and(|d| d > limits.lost)
        || evidence.unanswered_commands >= COMMANDS_LOST;
    let lost = match (no_reports, no_commands) {
        (true, true) => Some(LostDirection::Both),
        (true, false) => Some(LostDirection::FromWorker),
        (false, true) => Some(LostDirection::ToWorker),
        (false, false) => None,
    };
    if lost.is_some() {
        return (HealthState::Unreachable, lost);
    }
    let suspect = silent_for > limits.suspect
        || evidence.doubted_since.is_some()
        || !evidence.hears
        || evidence.unanswered_commands > 0;
    if suspect {
        (HealthState::Suspect, None)
    } else {
        (HealthState::Healthy, None)
    }
}

#[cfg(test)]
mod tests;
