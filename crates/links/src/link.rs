//! One directed link: its evidence and the state that follows from the evidence.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::damping::FlapDamping;
use crate::detector::PhiAccrualDetector;
use crate::timing::LinkTiming;

/// Number of failures at which a link is down. A success resets the count if its request was sent no earlier
/// than the newest failed one. One failure is not enough: a single request may fail for reasons other than
/// the link.
const FAILURES_DOWN: u32 = 2;
/// Fraction of the phi threshold at which a link is suspect.
const SUSPECT_FRACTION: f64 = 0.5;

/// State of a directed link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// There is no evidence yet.
    Unknown,
    /// The newest evidence is a success, and the next message is not overdue.
    Up,
    /// There is evidence against the link, but not enough to declare it down.
    Suspect,
    /// At least two requests failed without a later success, or regular messages do not arrive.
    Down,
}

/// A change of the state or of the suppression of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// State before the transition.
    pub from: LinkState,
    /// State after the transition. It equals `from` if only the suppression changed.
    pub to: LinkState,
    /// Whether the link is suppressed after the transition.
    pub suppressed: bool,
}

/// Parameters of failure detection and damping.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DetectionParams {
    /// Value of phi at which a link is down.
    pub phi_down_threshold: f64,
    /// Whether flapping links are suppressed.
    pub damping_enabled: bool,
}

/// One directed link.
#[derive(Debug, Clone)]
pub struct Link {
    params: DetectionParams,
    detector: Option<PhiAccrualDetector>,
    damping: FlapDamping,
    last_success_sent_at: Option<Instant>,
    last_failure_sent_at: Option<Instant>,
    failures: u32,
    state: LinkState,
    suppressed: bool,
    state_changed_at: Instant,
}

impl Link {
    /// Creates a link without evidence. `message_interval` is the interval of its messages if they are
    /// regular; only then is the absence of messages evidence against the link.
    pub fn new(
        params: DetectionParams,
        timing: &LinkTiming,
        message_interval: Option<Duration>,
        now: Instant,
    ) -> Self {
        Self {
            params,
            detector: message_interval.map(PhiAccrualDetector::new),
            damping: FlapDamping::new(timing.damping_half_life(), timing.suppression_max()),
            last_success_sent_at: None,
            last_failure_sent_at: None,
            failures: 0,
            state: LinkState::Unknown,
            suppressed: false,
            state_changed_at: now,
        }
    }

    /// Records that a message sent at `sent_at` arrived, or that a request sent then received a response.
    pub fn record_success(&mut self, sent_at: Instant, now: Instant) -> Option<Transition> {
        self.last_success_sent_at = self.last_success_sent_at.max(Some(sent_at));
        if let Some(detector) = &mut self.detector {
            detector.record_arrival(now);
        }
        if self.last_success_sent_at >= self.last_failure_sent_at {
            self.failures = 0;
        }
        self.evaluate(now)
    }

    /// Records that a request sent at `sent_at` failed. The failure is ignored if a request sent later has
    /// succeeded.
    pub fn record_failure(&mut self, sent_at: Instant, now: Instant) -> Option<Transition> {
        if self
            .last_success_sent_at
            .is_some_and(|success_sent_at| success_sent_at > sent_at)
        {
            return None;
        }
        self.last_failure_sent_at = self.last_failure_sent_at.max(Some(sent_at));
        self.failures = self.failures.saturating_add(1);
        self.evaluate(now)
    }

    /// Re-evaluates the state and the suppression, and returns the transition if either changed.
    pub fn evaluate(&mut self, now: Instant) -> Option<Transition> {
        let state = self.evaluate_state(now);
        if state == LinkState::Down && self.state != LinkState::Down {
            self.damping.record_loss(now);
        }
        let suppressed = self.params.damping_enabled && self.damping.is_suppressed(now);
        if state == self.state && suppressed == self.suppressed {
            return None;
        }
        let transition = Transition {
            from: self.state,
            to: state,
            suppressed,
        };
        if state != self.state {
            self.state_changed_at = now;
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
            // A link that is down stays down until a success resets the failures.
            return match self.state {
                LinkState::Down => LinkState::Down,
                _ => LinkState::Suspect,
            };
        }
        if self.last_success_sent_at.is_none() {
            return LinkState::Unknown;
        }
        if phi >= self.params.phi_down_threshold * SUSPECT_FRACTION {
            return LinkState::Suspect;
        }
        LinkState::Up
    }

    /// Discards the failures and the time without messages after a pause of this process, during which no
    /// message could be received.
    pub fn resume_after_pause(&mut self, now: Instant) -> Option<Transition> {
        if let Some(detector) = &mut self.detector {
            // The next message is due as if the last one had arrived at `now`.
            detector.record_arrival(now);
        }
        self.failures = 0;
        self.evaluate(now)
    }

    /// State as of the last evaluation, regardless of suppression.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether the link is suppressed because of flapping, as of the last evaluation.
    pub fn is_suppressed(&self) -> bool {
        self.suppressed
    }

    /// Whether the link is up and not suppressed.
    pub fn is_usable(&self) -> bool {
        self.state == LinkState::Up && !self.suppressed
    }

    /// Whether the link is down or suppressed.
    pub fn counts_as_down(&self) -> bool {
        self.state == LinkState::Down || self.suppressed
    }

    /// When the state last changed; a change of the suppression alone does not count.
    pub fn state_changed_at(&self) -> Instant {
        self.state_changed_at
    }

    /// When the newest message or request that succeeded was sent.
    pub fn last_success_sent_at(&self) -> Option<Instant> {
        self.last_success_sent_at
    }
}

#[cfg(test)]
mod tests;
