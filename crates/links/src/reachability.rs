//! Whether responses and commands of this controller reach a worker. Heartbeats do not show that:
//! responses may be lost while heartbeats arrive. A fencing token that the worker has to acknowledge does.

use std::time::{Duration, Instant};

/// Fraction of the known workers below which the controller itself is suspected to be disconnected.
const REPORTING_FRACTION_MIN: f64 = 0.25;

/// A token that a worker has to acknowledge, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingAcknowledgement {
    token: u64,
    since: Instant,
}

/// The acknowledgement that one worker still owes, if any.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reachability {
    pending: Option<PendingAcknowledgement>,
}

impl Reachability {
    /// Whether no acknowledgement is pending.
    pub fn is_confirmed(&self) -> bool {
        self.pending.is_none()
    }

    /// The worker shows no effect of a response or command: it has to acknowledge this token. An earlier
    /// pending acknowledgement stays.
    pub fn require_acknowledgement(&mut self, token: u64, now: Instant) {
        self.pending
            .get_or_insert(PendingAcknowledgement { token, since: now });
    }

    /// A heartbeat carried this token. The required token, or a higher one, ends the wait.
    pub fn record_token(&mut self, token: u64) {
        if self.pending.is_some_and(|pending| token >= pending.token) {
            self.pending = None;
        }
    }

    /// Extends the wait by a period in which no acknowledgement could have arrived.
    pub fn extend_wait(&mut self, missed: Duration) {
        if let Some(pending) = &mut self.pending {
            pending.since += missed;
        }
    }

    /// Since when an acknowledgement is pending.
    pub fn pending_since(&self) -> Option<Instant> {
        self.pending.map(|pending| pending.since)
    }

    /// Whether an acknowledgement has been pending for longer than `limit`.
    pub fn acknowledgement_overdue(&self, now: Instant, limit: Duration) -> bool {
        self.pending
            .is_some_and(|pending| now.saturating_duration_since(pending.since) > limit)
    }
}

/// Whether so few of the known workers send heartbeats that a loss of this controller's own connection is
/// the likelier cause: a simultaneous loss of nearly all workers is rarer.
pub fn few_workers_reporting(known: usize, reporting: usize) -> bool {
    known > 0 && (reporting as f64) < known as f64 * REPORTING_FRACTION_MIN
}

#[cfg(test)]
mod tests;
