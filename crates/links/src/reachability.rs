//! Whether responses and commands of this controller reach an agent. Heartbeats do not show it, because
//! responses may be lost while heartbeats arrive. A fencing token that the agent has to acknowledge does.

use std::time::{Duration, Instant};

/// Fraction of the known agents. If fewer send heartbeats, this controller suspects its own connection.
const REPORTING_FRACTION_MIN: f64 = 0.25;

/// A token that the agent has to acknowledge.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingAcknowledgement {
    token: u64,
    required_at: Instant,
}

/// The pending acknowledgement of one agent, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reachability {
    pending: Option<PendingAcknowledgement>,
}

impl Reachability {
    /// Whether no acknowledgement is pending.
    pub fn is_confirmed(&self) -> bool {
        self.pending.is_none()
    }

    /// Requires the agent to acknowledge `token`, because none of its heartbeats shows the effect of a
    /// response or command. If an acknowledgement is already pending, it stays unchanged.
    pub fn require_acknowledgement(&mut self, token: u64, now: Instant) {
        self.pending.get_or_insert(PendingAcknowledgement {
            token,
            required_at: now,
        });
    }

    /// Records the token of a heartbeat. The required token or a higher one acknowledges.
    pub fn record_token(&mut self, token: u64) {
        if self.pending.is_some_and(|pending| token >= pending.token) {
            self.pending = None;
        }
    }

    /// Excludes a period in which no acknowledgement could arrive from the duration of a pending one.
    pub fn extend_wait(&mut self, missed: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.required_at += missed;
        }
    }

    /// When the pending acknowledgement was first required, moved by [`Self::extend_wait`]; `None` if none is
    /// pending.
    pub fn pending_since(&self) -> Option<Instant> {
        self.pending.map(|pending| pending.required_at)
    }

    /// Whether an acknowledgement has been pending for longer than `limit`.
    pub fn acknowledgement_overdue(&self, now: Instant, limit: Duration) -> bool {
        self.pending
            .is_some_and(|pending| now.saturating_duration_since(pending.required_at) > limit)
    }
}

/// Whether so few of the known agents send heartbeats that a loss of this controller's own connection is the
/// more likely cause. A simultaneous loss of nearly all agents is rarer.
pub fn few_workers_reporting(known: usize, reporting: usize) -> bool {
    known > 0 && (reporting as f64) < known as f64 * REPORTING_FRACTION_MIN
}

#[cfg(test)]
mod tests;
