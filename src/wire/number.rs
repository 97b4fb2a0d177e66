//! Deserializers for numbers that other parties may send as integers or as floating-point values.

use std::fmt;

use serde::de::{Deserializer, Visitor};
use serde::Deserialize;

/// A number in the body as an integer or a floating-point value.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Number(f64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct NumberVisitor;
        impl Visitor<'_> for NumberVisitor {
            type Value = Number;
            fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
                formatter.write_str("a number")
            }
            fn visit_f64<E>(self, value: f64) -> Result<Number, E> {
                Ok(Number(value))
            }
            fn visit_u64<E>(self, value: u64) -> Result<Number, E> {
                Ok(Number(value as f64))
            }
            fn visit_i64<E>(self, value: i64) -> Result<Number, E> {
                Ok(Number(value as f64))
            }
        }
        deserializer.deserialize_any(NumberVisitor)
    }
}

/// Deserializes a number of either form.
pub(super) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    Number::deserialize(deserializer).map(|number| number.0)
}

/// Deserializes a number of either form, or `None` for null.
pub(super) fn optional_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    Option::<Number>::deserialize(deserializer).map(|number| number.map(|number| number.0))
}
