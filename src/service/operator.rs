//! The settings that operators change at run time.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fleet::IdlePolicy;
use crate::store::from_value;
use crate::store::replica::Replica;

/// The settings that operators change at run time, kept in the key-value store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Factor on the time for which idle machines are kept; at 1 it is the time that a new machine
    /// takes to become as useful.
    #[serde(default = "one")]
    pub idle_factor: f64,
    /// Factor on the spare capacity for classes that start promptly; at 1 it is what their expected
    /// demand needs.
    #[serde(default = "one")]
    pub spare_factor: f64,
    /// Names of machines that get no new tasks.
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

/// Largest factor that operators may set. With a larger one, no machine would ever be released.
const FACTOR_MAX: f64 = 100.0;
/// Fraction of the value size limit of the key-value store that the names of drained machines may fill.
const DRAINED_NAMES_FRACTION: f64 = 0.75;
/// Bytes that the encoding of a value, whose size is limited, adds to each name.
const NAME_OVERHEAD_BYTES: usize = 4;

/// A field of the operators' settings that failed validation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("field `{field}` is out of range")]
pub struct FieldOutOfRange {
    /// The name of the field in the settings.
    pub field: &'static str,
}

impl OperatorSettings {
    /// The settings in the replica; the defaults if none are recorded or the record cannot be decoded.
    pub fn of_replica(replica: &Replica) -> Self {
        let record = replica.settings.record.as_ref();
        record.and_then(from_value).unwrap_or_default()
    }

    /// Checks that every field is in its range, and that the settings fit into one value of `value_kb`
    /// KiB in the key-value store.
    pub fn validate(&self, value_kb: f64) -> Result<(), FieldOutOfRange> {
        let is_valid_factor =
            |factor: f64| factor.is_finite() && (0.0..=FACTOR_MAX).contains(&factor);
        if !is_valid_factor(self.idle_factor) {
            return Err(FieldOutOfRange {
                field: "idle_factor",
            });
        }
        if !is_valid_factor(self.spare_factor) {
            return Err(FieldOutOfRange {
                field: "spare_factor",
            });
        }
        let names_are_valid = self.drained.iter().all(|name| !name.is_empty());
        let name_bytes = self
            .drained
            .iter()
            .map(|name| name.len() + NAME_OVERHEAD_BYTES);
        let fits = name_bytes.sum::<usize>() as f64 <= value_kb * 1024.0 * DRAINED_NAMES_FRACTION;
        if !fits || !names_are_valid {
            return Err(FieldOutOfRange { field: "drained" });
        }
        Ok(())
    }

    /// The part of the settings that scaling uses.
    pub fn idle_policy(&self) -> IdlePolicy {
        IdlePolicy {
            idle_factor: self.idle_factor,
            spare_factor: self.spare_factor,
        }
    }
}
