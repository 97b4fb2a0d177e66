//! One directed link: what was observed of it, and what state that puts it in.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::damping::FlapDamping;
use crate::detector::PhiAccrual;
use crate::timing::LinkTiming;

/// Failures in a row, with no success sent after the first of them, that make a link count as down. One
/// request alone may fail for its own reasons.
const FAILURES_DOWN: u32 = 2;
/// Part of the threshold of phi from which on a link is suspect.
const SUSPECT_PART: f64 = 0.5;

/// State of a directed link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Nothing is known, or what was known is too old.
    Unknown,
    /// The newest evidence is a success.
    Up,
    /// The newest evidence speaks against it, not yet enough.
    Suspect,
    /// It is lost.
    Down,
}

/// A change of state, to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Transition {
    /// The state before.
    pub from: LinkState,
    /// The state now.
    pub to: LinkState,
    /// Whether the link is suppressed now.
    pub suppressed: bool,
}

/// What decides how a link is judged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judgement {
    /// Phi from which on a link counts as down.
    pub phi_down: f64,
    /// Whether links that flap are suppressed.
    pub damping: bool,
}

/// One directed link.
#[derive(Debug, Clone)]
pub struct Link {
    judgement: Judgement,
    detector: Option<PhiAccrual>,
    damping: FlapDamping,
    /// Sending of the newest request that succeeded.
    succeeded: Option<Instant>,
    /// Sending of the newest request that failed.
    failed: Option<Instant>,
    failures: u32,
    state: LinkState,
    suppressed: bool,
    since: Instant,
}

impl Link {
    /// A link of which nothing is known. `regular` is the interval at which it is used, if it is used
    /// regularly: only then does silence say anything.
    pub fn new(
        judgement: Judgement,
        timing: &LinkTiming,
        regular: Option<Duration>,
        now: Instant,
    ) -> Self {
        Self {
            judgement,
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

    /// A message sent at `sent` arrived, as is known since `now`.
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

    /// A message sent at `sent` did not arrive, or its answer did not, as is known since `now`. If one
    /// sent later did, it says nothing.
    pub fn failure(&mut self, sent: Instant, now: Instant) -> Option<Transition> {
        if self.succeeded.is_some_and(|succeeded| succeeded > sent) {
            return None;
        }
        self.failed = self.failed.max(Some(sent));
        self.failures = self.failures.saturating_add(1);
        self.evaluate(now)
    }

    /// Looks at the link again, for what time alone changes.
    pub fn evaluate(&mut self, now: Instant) -> Option<Transition> {
        let state = self.judged(now);
        if state == LinkState::Down && self.state != LinkState::Down {
            self.damping.lost(now);
        }
        let suppressed = self.judgement.damping && self.damping.suppressed(now);
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

    fn judged(&self, now: Instant) -> LinkState {
        let phi = self.detector.as_ref().map_or(0.0, |d| d.phi(now));
        if self.failures >= FAILURES_DOWN || phi >= self.judgement.phi_down {
            return LinkState::Down;
        }
        if self.failures > 0 {
            // A link that was down is not better for one failure more or less.
            return match self.state {
                LinkState::Down => LinkState::Down,
                _ => LinkState::Suspect,
            };
        }
        if self.succeeded.is_none() {
            return LinkState::Unknown;
        }
        if phi >= self.judgement.phi_down * SUSPECT_PART {
            return LinkState::Suspect;
        }
        LinkState::Up
    }

    /// Forgets what was observed, as after standing still: silence meanwhile says nothing.
    pub fn forget(&mut self, now: Instant) -> Option<Transition> {
        if let Some(detector) = &mut self.detector {
            // A message may be as late as if the last had come just now.
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

    /// Whether the link can be counted on: up, and not suppressed.
    pub fn usable(&self) -> bool {
        self.state == LinkState::Up && !self.suppressed
    }

    /// Whether the link counts as down: lost, or suppressed.
    pub fn counts_as_down(&self) -> bool {
        self.state == LinkState::Down || self.suppressed
    }

    /// Since when it is in its state.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// When the newest success was sent.
    pub fn evidence_at(&self) -> Option<Instant> {
        self.succeeded
    }
}

#[cfg(test)]
mod tests;
