//! Optional subsystems, which are enabled by the features file named on the command line.
//!
//! Without a features file all of them are disabled. The file is read once at startup; an error in it
//! terminates the program with one line that names the file, the field, its value and the allowed values.

use std::path::Path;

use thiserror::Error;
use toml::{Table, Value};

/// Why a features file cannot be used.
#[derive(Debug, Error)]
pub enum FeaturesError {
    /// The file cannot be opened or read.
    #[error("cannot read features file {path}: {source}")]
    Unreadable {
        /// The path as it was given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML.
    #[error("features file {path} is not valid TOML: {reason}")]
    Malformed {
        /// The path as it was given.
        path: String,
        /// The parser's message, without the excerpt of the file.
        reason: String,
    },
    /// The file has a table or field with an unknown name, which may be misspelt.
    #[error("features file {path}: unknown field `{field}`; allowed are {allowed}")]
    UnknownField {
        /// The path as it was given.
        path: String,
        /// The field with its table.
        field: String,
        /// The allowed names in that table, separated by commas.
        allowed: String,
    },
    /// A field has a value of the wrong type or out of range.
    #[error("features file {path}: field `{field}` is {value}; allowed is {allowed}")]
    InvalidValue {
        /// The path as it was given.
        path: String,
        /// The field with its table.
        field: String,
        /// The value as it stands in the file.
        value: String,
        /// A description of the allowed values.
        allowed: String,
    },
}

/// The optional subsystems that are enabled.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Features {
    /// The evaluation of links with its parameters; `None` if it is disabled.
    pub links: Option<LinkFeatures>,
}

/// The features of the evaluation of links, and its parameters; see docs/links.md.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFeatures {
    /// Whether a leader suspends placements while it cannot read or write the key-value store.
    pub placement_gate: bool,
    /// Whether a flapping link counts as down.
    pub damping: bool,
    /// Whether the connectivity matrix may trigger handovers of leadership.
    pub leadership: bool,
    /// Suspicion level (phi) at or above which a link counts as down.
    pub detector_phi: f64,
    /// Maximum handovers by one controller within the handover window.
    pub handovers_max: usize,
}

impl Default for LinkFeatures {
    fn default() -> Self {
        Self {
            placement_gate: true,
            damping: true,
            leadership: true,
            detector_phi: 8.0,
            handovers_max: 3,
        }
    }
}

/// Allowed fields of the table `links`.
const LINK_FIELDS: [&str; 6] = [
    "enabled",
    "placement_gate",
    "damping",
    "leadership",
    "detector_phi",
    "handovers_max",
];

impl Features {
    /// Reads and validates a features file.
    pub fn load(path: &Path) -> Result<Self, FeaturesError> {
        let displayed_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| FeaturesError::Unreadable {
            path: displayed_path.clone(),
            source,
        })?;
        Self::parse(&text, &displayed_path)
    }

    /// Parses and validates features; `path` names the source in errors.
    pub fn parse(text: &str, path: &str) -> Result<Self, FeaturesError> {
        let file: Table =
            text.parse()
                .map_err(|error: toml::de::Error| FeaturesError::Malformed {
                    path: path.to_owned(),
                    reason: error.message().to_owned(),
                })?;
        let fields = FieldReader {
            path,
            table: "",
            values: &file,
        };
        fields.reject_unknown(&["links"])?;
        let links = match file.get("links") {
            None => None,
            Some(Value::Table(values)) => link_features(&FieldReader {
                path,
                table: "links",
                values,
            })?,
            Some(other) => return Err(fields.invalid("links", other, "a table")),
        };
        Ok(Self { links })
    }
}

fn link_features(fields: &FieldReader) -> Result<Option<LinkFeatures>, FeaturesError> {
    fields.reject_unknown(&LINK_FIELDS)?;
    let default = LinkFeatures::default();
    let links = LinkFeatures {
        placement_gate: fields.flag("placement_gate", default.placement_gate)?,
        damping: fields.flag("damping", default.damping)?,
        leadership: fields.flag("leadership", default.leadership)?,
        detector_phi: fields.number("detector_phi", default.detector_phi, 1.0, 20.0)?,
        handovers_max: fields.count("handovers_max", default.handovers_max, 1, 20)?,
    };
    Ok(fields.flag("enabled", true)?.then_some(links))
}

/// Reads the fields of one table; `table` is empty for the top level of the file.
struct FieldReader<'a> {
    path: &'a str,
    table: &'a str,
    values: &'a Table,
}

impl FieldReader<'_> {
    fn qualified_name(&self, field: &str) -> String {
        if self.table.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.table)
        }
    }

    /// Rejects the first field that is not allowed.
    fn reject_unknown(&self, allowed: &[&str]) -> Result<(), FeaturesError> {
        let unknown = self
            .values
            .keys()
            .find(|field| !allowed.contains(&field.as_str()));
        match unknown {
            None => Ok(()),
            Some(field) => Err(FeaturesError::UnknownField {
                path: self.path.to_owned(),
                field: self.qualified_name(field),
                allowed: allowed.join(", "),
            }),
        }
    }

    fn invalid(&self, field: &str, value: &Value, allowed: &str) -> FeaturesError {
        FeaturesError::InvalidValue {
            path: self.path.to_owned(),
            field: self.qualified_name(field),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        }
    }

    fn flag(&self, field: &str, default: bool) -> Result<bool, FeaturesError> {
        match self.values.get(field) {
            None => Ok(default),
            Some(Value::Boolean(flag)) => Ok(*flag),
            Some(other) => Err(self.invalid(field, other, "true or false")),
        }
    }

    fn number(&self, field: &str, default: f64, min: f64, max: f64) -> Result<f64, FeaturesError> {
        let Some(value) = self.values.get(field) else {
            return Ok(default);
        };
        let number = match value {
            Value::Float(number) => Some(*number),
            Value::Integer(number) => Some(*number as f64),
            _ => None,
        };
        number
            .filter(|number| (min..=max).contains(number))
            .ok_or_else(|| self.invalid(field, value, &format!("a number from {min} to {max}")))
    }

    fn count(
        &self,
        field: &str,
        default: usize,
        min: usize,
        max: usize,
    ) -> Result<usize, FeaturesError> {
        let Some(value) = self.values.get(field) else {
            return Ok(default);
        };
        let count = value.as_integer().and_then(|n| usize::try_from(n).ok());
        count
            .filter(|count| (min..=max).contains(count))
            .ok_or_else(|| {
                self.invalid(field, value, &format!("a whole number from {min} to {max}"))
            })
    }
}

#[cfg(test)]
mod tests;
