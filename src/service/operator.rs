//! Operators' own settings.

use serde::{Deserialize, Serialize};
use thiserror::Error;

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
/// Part of a value in the state service that the names of drained machines may fill.
const DRAINED_NAMES_PART: f64 = 0.75;
/// Bytes around each name, in the form by which values are measured.
const NAME_ENVELOPE_BYTES: usize = 4;

/// A field of the operators' settings that can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("field `{field}` is out of range")]
pub struct FieldOutOfRange {
    /// The field's name.
    pub field: &'static str,
}

impl OperatorSettings {
    /// Checks that every field is in its range, and that one value of so many KiB in the key-value
    /// store can hold them.
    pub fn validate(&self, value_kb: f64) -> Result<(), FieldOutOfRange> {
        let factor_ok = |f: f64| f.is_finite() && (0.0..=FACTOR_MAX).contains(&f);
        if !factor_ok(self.idle_factor) {
            return Err(FieldOutOfRange {
                field: "idle_factor",
            });
        }
        if !factor_ok(self.spare_factor) {
            return Err(FieldOutOfRange {
                field: "spare_factor",
            });
        }
        let names_ok = self.drained.iter().all(|name| !name.is_empty());
        let bytes = self.drained.iter().map(|n| n.len() + NAME_ENVELOPE_BYTES);
        let fits = bytes.sum::<usize>() as f64 <= value_kb * 1024.0 * DRAINED_NAMES_PART;
        if !fits || !names_ok {
            return Err(FieldOutOfRange { field: "drained" });
        }
        Ok(())
    }

    /// What of it the fleet needs.
    pub fn idle_policy(&self) -> IdlePolicy {
        IdlePolicy {
            idle_factor: self.idle_factor,
            spare_factor: self.spare_factor,
        }
    }
}
