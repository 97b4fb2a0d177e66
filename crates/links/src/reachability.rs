//! Whether a worker hears this controller. Its reports do not show that: answers and commands may be
//! lost while reports arrive. A token that it has to bring back does.

use std::time::{Duration, Instant};

/// Part of the workers below which hardly any is heard.
const FEW_PART: f64 = 0.25;

/// A token that a worker has to report, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Doubt {
    token: u64,
    since: Instant,
}

/// What shows whether one worker hears this controller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reachability {
    doubt: Option<Doubt>,
}

impl Reachability {
    /// Whether nothing speaks against it.
    pub fn fine(&self) -> bool {
        self.doubt.is_none()
    }

    /// Something that it was told did not show: it has to report this token.
    pub fn doubt(&mut self, token: u64, now: Instant) {
        self.doubt.get_or_insert(Doubt { token, since: now });
    }

    /// It reported this token.
    pub fn heard(&mut self, token: u64) {
        if self.doubt.is_some_and(|doubt| token >= doubt.token) {
            self.doubt = None;
        }
    }

    /// The doubt could not have been ended for so long.
    pub fn wait(&mut self, missed: Duration) {
        if let Some(doubt) = &mut self.doubt {
            doubt.since += missed;
        }
    }

    /// Since when it is in doubt.
    pub fn doubted_since(&self) -> Option<Instant> {
        self.doubt.map(|doubt| doubt.since)
    }

    /// Whether it has been in doubt for longer than `limit`.
    pub fn deaf(&self, now: Instant, limit: Duration) -> bool {
        self.doubt
            .is_some_and(|doubt| now.saturating_duration_since(doubt.since) > limit)
    }
}

/// Whether so few of the workers that are known are heard that it is more likely this controller that is
/// cut off: all of them lost at once are rarer.
pub fn hears_few(known: usize, heard: usize) -> bool {
    known > 0 && (heard as f64) < known as f64 * FEW_PART
}

#[cfg(test)]
mod tests;
