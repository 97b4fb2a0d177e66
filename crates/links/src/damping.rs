//! Flap damping, after the scheme of routing protocols: each loss of a link adds a penalty that decays
//! exponentially; above one threshold the link is suppressed, below a lower one it is used again.

use std::time::{Duration, Instant};

/// Penalty for one loss.
const LOSS_PENALTY: f64 = 1.0;
/// A link is suppressed from this penalty on: not by two losses however close, by three in a row.
const SUPPRESS_ABOVE: f64 = 2.0;
/// A suppressed link is used again below this.
const REUSE_BELOW: f64 = 0.75;

/// The damping of one link.
#[derive(Debug, Clone)]
pub struct FlapDamping {
    half_life: Duration,
    ceiling: f64,
    penalty: f64,
    updated: Option<Instant>,
    suppressed: bool,
}

impl FlapDamping {
    /// Damping whose penalties halve in `half_life`; after the last loss no link stays suppressed for
    /// longer than `longest`.
    pub fn new(half_life: Duration, longest: Duration) -> Self {
        let half_life = half_life.max(Duration::from_millis(1));
        let half_lives = longest.as_secs_f64() / half_life.as_secs_f64();
        // A link above the threshold is suppressed at all.
        let ceiling = (REUSE_BELOW * half_lives.exp2()).max(SUPPRESS_ABOVE);
        Self {
            half_life,
            ceiling,
            penalty: 0.0,
            updated: None,
            suppressed: false,
        }
    }

    /// The link was lost.
    pub fn lost(&mut self, now: Instant) {
        self.decay(now);
        self.penalty = (self.penalty + LOSS_PENALTY).min(self.ceiling);
        if self.penalty >= SUPPRESS_ABOVE {
            self.suppressed = true;
        }
    }

    /// Whether the link counts as down though it may be up.
    pub fn suppressed(&mut self, now: Instant) -> bool {
        self.decay(now);
        if self.penalty < REUSE_BELOW {
            self.suppressed = false;
        }
        self.suppressed
    }

    /// The penalty as of the last look.
    pub fn penalty(&self) -> f64 {
        self.penalty
    }

    fn decay(&mut self, now: Instant) {
        let passed = self.updated.map(|at| now.saturating_duration_since(at));
        self.updated = self.updated.max(Some(now));
        if let Some(passed) = passed {
            let half_lives = passed.as_secs_f64() / self.half_life.as_secs_f64();
            self.penalty *= (-half_lives).exp2();
        }
    }
}

#[cfg(test)]
mod tests;
