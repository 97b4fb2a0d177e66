//! Flap damping as in routing protocols (RFC 2439). Each loss of a link adds a penalty, which decays
//! exponentially. A link is suppressed when its penalty reaches the suppress threshold, and is used again
//! when the penalty falls below the reuse threshold.

use std::time::{Duration, Instant};

/// Penalty of one loss.
const LOSS_PENALTY: f64 = 1.0;
/// Penalty at which a link is suppressed. Two losses at different times stay below it, three in quick
/// succession reach it.
const SUPPRESS_THRESHOLD: f64 = 2.0;
/// Penalty below which a suppressed link is used again.
const REUSE_THRESHOLD: f64 = 0.75;

/// Damping state of one link.
#[derive(Debug, Clone)]
pub struct FlapDamping {
    half_life: Duration,
    penalty_max: f64,
    penalty: f64,
    penalty_updated_at: Option<Instant>,
    suppressed: bool,
}

impl FlapDamping {
    /// Creates a state without penalty. Penalties halve in `half_life`, and a suppression ends at most
    /// `suppression_max` after the last loss. A `suppression_max` shorter than the decay from the suppress
    /// threshold to the reuse threshold, about 1.4 half-lives, counts as that decay time.
    pub fn new(half_life: Duration, suppression_max: Duration) -> Self {
        let half_life = half_life.max(Duration::from_millis(1));
        let half_lives = suppression_max.as_secs_f64() / half_life.as_secs_f64();
        // A maximum below the suppress threshold would prevent any suppression.
        let penalty_max = (REUSE_THRESHOLD * half_lives.exp2()).max(SUPPRESS_THRESHOLD);
        Self {
            half_life,
            penalty_max,
            penalty: 0.0,
            penalty_updated_at: None,
            suppressed: false,
        }
    }

    /// Adds the penalty of one loss, up to the maximum penalty.
    pub fn record_loss(&mut self, now: Instant) {
        self.decay(now);
        self.penalty = (self.penalty + LOSS_PENALTY).min(self.penalty_max);
        if self.penalty >= SUPPRESS_THRESHOLD {
            self.suppressed = true;
        }
    }

    /// Whether the link is suppressed. A suppressed link counts as down even while it is up.
    pub fn is_suppressed(&mut self, now: Instant) -> bool {
        self.decay(now);
        if self.penalty < REUSE_THRESHOLD {
            self.suppressed = false;
        }
        self.suppressed
    }

    /// The penalty as of the last call of [`Self::record_loss`] or [`Self::is_suppressed`].
    pub fn penalty(&self) -> f64 {
        self.penalty
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = self
            .penalty_updated_at
            .map(|at| now.saturating_duration_since(at));
        self.penalty_updated_at = self.penalty_updated_at.max(Some(now));
        if let Some(elapsed) = elapsed {
            let half_lives = elapsed.as_secs_f64() / self.half_life.as_secs_f64();
            self.penalty *= (-half_lives).exp2();
        }
    }
}

#[cfg(test)]
mod tests;
