//! Operators' own settings.

use serde::{Deserialize, Serialize};

use crate::fleet::IdlePolicy;

/// Operators' settings, kept in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Idle machines are kept this many times as long as a new one takes to be as useful.
    #[serde(default = "one")]
    pub idle_factor: f64,
    /// Spare room for classes that start promptly, as a part of what is expected.
    #[serde(default = "one")]
    pub spare_factor: f64,
    /// Machines that get no new tasks.
    #[serde(default)]
    pub drained: Vec<String>,
}

fn one() -> f64 {
    1.0
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            idle_factor: one(),
            spare_factor: one(),
            drained: Vec::new(),
        }
    }
}

/// Largest factor operators may set: beyond it nothing would ever be returned.
const FACTOR_MAX: f64 = 100.0;
/// Most machines drained by name.
const DRAINED_MACHINES_MAX: usize = 500;

impl OperatorSettings {
    /// The first field that makes no sense.
    pub fn wrong_field(&self) -> Option<&'static str> {
        let factor_ok = |f: f64| f.is_finite() && (0.0..=FACTOR_MAX).contains(&f);
        if !factor_ok(self.idle_factor) {
            return Some("idle_factor");
        }
        if !factor_ok(self.spare_factor) {
            return Some("spare_factor");
        }
        let names_ok = self.drained.iter().all(|name| !name.is_empty());
        (self.drained.len() > DRAINED_MACHINES_MAX || !names_ok).then_some("drained")
    }

    /// What of it the fleet needs.
    pub fn idle_policy(&self) -> IdlePolicy {
        IdlePolicy {
            idle_factor: self.idle_factor,
            spare_factor: self.spare_factor,
        }
    }
}
