//! One directed link: its evidence and the state that follows from it.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::damping::FlapDamping;
use crate::detector::PhiAccrual;
use crate::timing::LinkTiming;

/// Consecutive failures, with no success sent after the first of them, from which on a link is down. A
/// single request may fail for reasons of its own.
const FAILURES_DOWN: u32 = 2;
/// Fraction of the phi threshold from which on a link is suspect.
const SUSPECT_FRACTION: f64 = 0.5;

/// State of a directed link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// There is no evidence, or it is too old.
    Unknown,
    /// The newest evidence is a success.
    Up,
    /// There is evidence against it, but not enough to declare it down.
    Suspect,
    /// It is declared down.
    Down,
}

/// A change of state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The state before.
    pub from: LinkState,
    /// The state now.
    pub to: LinkState,
    /// Whether the link is suppressed now.
    pub suppressed: bool,
}

/// Parameters of failure detection and damping.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectionParams {
    /// Phi threshold from which on a link is down.
    pub phi_down_threshold: f64,
    /// Whether flapping links are suppressed.
    pub damping_enabled: bool,
}

/// One directed link.
#[derive(Debug, Clone)]
pub struct Link {
    params: DetectionParams,
    detector: Option<PhiAccrual>,
    damping: FlapDamping,
    /// Sending time of the newest request that succeeded.
    succeeded: Option<Instant>,
    /// Sending time of the newest request that failed.
    failed: Option<Instant>,
    failures: u32,
    state: LinkState,
    suppressed: bool,
    since: Instant,
}

impl Link {
    /// A link without evidence. `regular` is the interval at which it is used, if it is used regularly: only
    /// then is silence evidence.
    pub fn new(
        params: DetectionParams,
        timing: &LinkTiming,
        regular: Option<Duration>,
        now: Instant,
    ) -> Self {
        Self {
            params,
            detector: regular.map(PhiAccrual::new),
            damping: FlapDamping::new(timing.damping_half_life(), timing.suppression_max()),
            succeeded: None,
            failed: None,
            failures: 0,
            state: LinkState::Unknown,
            suppressed: false,
            since: now,
        }
    }

    /// Records at `now` that a message sent at `sent` arrived.
    pub fn success(&mut self, sent: Instant, now: Instant) -> Option<Transition> {
        self.succeeded = self.succeeded.max(Some(sent));
        if let Some(detector) = &mut self.detector {
            detector.heartbeat(now);
        }
        if self.succeeded >= self.failed {
            self.failures = 0;
        }
        self.evaluate(now)
    }

    /// Records at `now` that a message sent at `sent`, or its response, did not arrive. It is ignored if a
    /// message sent later did.
    pub fn failure(&mut self, sent: Instant, now: Instant) -> Option<Transition> {
        if self.succeeded.is_some_and(|succeeded| succeeded > sent) {
            return None;
        }
        self.failed = self.failed.max(Some(sent));
        self.failures = self.failures.saturating_add(1);
        self.evaluate(now)
    }

    /// Re-evaluates the link at `now`.
    pub fn evaluate(&mut self, now: Instant) -> Option<Transition> {
        let state = self.evaluate_state(now);
        if state == LinkState::Down && self.state != LinkState::Down {
            self.damping.record_loss(now);
        }
        let suppressed = self.params.damping_enabled && self.damping.suppressed(now);
        if state == self.state && suppressed == self.suppressed {
            return None;
        }
        let transition = Transition {
            from: self.state,
            to: state,
            suppressed,
        };
        if state != self.state {
            self.since = now;
        }
        self.state = state;
        self.suppressed = suppressed;
        Some(transition)
    }

    fn evaluate_state(&self, now: Instant) -> LinkState {
        let phi = self
            .detector
            .as_ref()
            .map_or(0.0, |detector| detector.phi(now));
        if self.failures >= FAILURES_DOWN || phi >= self.params.phi_down_threshold {
            return LinkState::Down;
        }
        if self.failures > 0 {
            // A link that is down stays down until a success.
            return match self.state {
                LinkState::Down => LinkState::Down,
                _ => LinkState::Suspect,
            };
        }
        if self.succeeded.is_none() {
            return LinkState::Unknown;
        }
        if phi >= self.params.phi_down_threshold * SUSPECT_FRACTION {
            return LinkState::Suspect;
        }
        LinkState::Up
    }

    /// Discards the evidence after a pause of the process: silence meanwhile is no evidence.
    pub fn forget(&mut self, now: Instant) -> Option<Transition> {
        if let Some(detector) = &mut self.detector {
            // The next message is due as if the last had arrived just now.
            detector.heartbeat(now);
        }
        self.failures = 0;
        self.evaluate(now)
    }

    /// The state, without regard to suppression.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether the link is suppressed for flapping.
    pub fn suppressed(&self) -> bool {
        self.suppressed
    }

    /// Whether the link is up and not suppressed.
    pub fn usable(&self) -> bool {
        self.state == LinkState::Up && !self.suppressed
    }

    /// Whether the link is down or suppressed.
    pub fn counts_as_down(&self) -> bool {
        self.state == LinkState::Down || self.suppressed
    }

    /// Time of the last change of state.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Sending time of the newest success.
    pub fn last_success_sent_at(&self) -> Option<Instant> {
        self.succeeded
    }
}

#[cfg(test)]
mod tests;
