//! Flap damping as in routing protocols (RFC 2439): each loss of a link adds a penalty that decays
//! exponentially; at the suppress threshold the link is suppressed, below the reuse threshold it is used
//! again.

use std::time::{Duration, Instant};

/// Penalty of one loss.
const LOSS_PENALTY: f64 = 1.0;
/// Penalty from which on a link is suppressed: two losses never reach it, three in a row do.
const SUPPRESS_ABOVE: f64 = 2.0;
/// Penalty below which a suppressed link is used again.
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
        // Below the suppress threshold the ceiling would keep any link from being suppressed.
        let ceiling = (REUSE_BELOW * half_lives.exp2()).max(SUPPRESS_ABOVE);
        Self {
            half_life,
            ceiling,
            penalty: 0.0,
            updated: None,
            suppressed: false,
        }
    }

    /// Adds the penalty of a loss.
    pub fn record_loss(&mut self, now: Instant) {
        self.decay(now);
        self.penalty = (self.penalty + LOSS_PENALTY).min(self.ceiling);
        if self.penalty >= SUPPRESS_ABOVE {
            self.suppressed = true;
        }
    }

    /// Whether the link is suppressed: it counts as down even while it is up.
    pub fn suppressed(&mut self, now: Instant) -> bool {
        self.decay(now);
        if self.penalty < REUSE_BELOW {
            self.suppressed = false;
        }
        self.suppressed
    }

    /// The penalty as of the last update.
    pub fn penalty(&self) -> f64 {
        self.penalty
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self.updated.map(|at| now.saturating_duration_since(at));
        self.updated = self.updated.max(Some(now));
        if let Some(elapsed) = elapsed {
            let half_lives = elapsed.as_secs_f64() / self.half_life.as_secs_f64();
            self.penalty *= (-half_lives).exp2();
        }
    }
}

#[cfg(test)]
mod tests;
