//! Subsystems that are turned on by a file of their own, named by an argument of the program.
//!
//! Without the argument none is on. The file is read once at the start; whatever is wrong with it ends
//! the program with one line that names file, field, value and what is allowed.

use std::path::Path;

use thiserror::Error;
use toml::{Table, Value};

/// Why a features file can't be used.
#[derive(Debug, Error)]
pub enum FeaturesError {
    /// The file can't be read.
    #[error("cannot read features file {path}: {source}")]
    Unreadable {
        /// The path as it was given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Not TOML.
    #[error("features file {path} is no TOML: {reason}")]
    Malformed {
        /// The path as it was given.
        path: String,
        /// The reason on one line.
        reason: String,
    },
    /// A table or field of an unknown name.
    #[error("features file {path}: unknown field `{field}`; allowed are {allowed}")]
    UnknownField {
        /// The path as it was given.
        path: String,
        /// The field with its table.
        field: String,
        /// Names that are known there.
        allowed: String,
    },
    /// A field whose value is out of range.
    #[error("features file {path}: field `{field}` is {value}; allowed is {allowed}")]
    WrongValue {
        /// The path as it was given.
        path: String,
        /// The field with its table.
        field: String,
        /// The value as it stands in the file.
        value: String,
        /// What is expected.
        allowed: String,
    },
}

/// What is turned on.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Features {
    /// The judgement of links, if it is turned on.
    pub links: Option<LinkFeatures>,
}

/// How links are judged and what depends on it; see docs/links.md.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFeatures {
    /// Whether a leader that can't read or write suspends placements.
    pub placement_gate: bool,
    /// Whether links that flap count as down.
    pub damping: bool,
    /// Whether the connectivity matrix decides on handovers.
    pub leadership: bool,
    /// Suspicion level (phi) from which on a link is down.
    pub detector_phi: f64,
    /// Handovers of one controller within the window of the timing.
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

/// Fields of the table `links`.
const LINK_FIELDS: [&str; 6] = [
    "enabled",
    "placement_gate",
    "damping",
    "leadership",
    "detector_phi",
    "handovers_max",
];

impl Features {
    /// Reads a features file.
    pub fn load(path: &Path) -> Result<Self, FeaturesError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| FeaturesError::Unreadable {
            path: shown.clone(),
            source,
        })?;
        Self::parse(&text, &shown)
    }

    /// Reads features from text; `path` names the source in errors.
    pub fn parse(text: &str, path: &str) -> Result<Self, FeaturesError> {
        let file: Table =
            text.parse()
                .map_err(|error: toml::de::Error| FeaturesError::Malformed {
                    path: path.to_owned(),
                    reason: error.message().to_owned(),
                })?;
        let fields = Fields {
            path,
            table: "",
            values: &file,
        };
        fields.only(&["links"])?;
        let links = match file.get("links") {
            None => None,
            Some(Value::Table(values)) => link_features(&Fields {
                path,
                table: "links",
                values,
            })?,
            Some(other) => return Err(fields.wrong("links", other, "a table")),
        };
        Ok(Self { links })
    }
}

fn link_features(fields: &Fields) -> Result<Option<LinkFeatures>, FeaturesError> {
    fields.only(&LINK_FIELDS)?;
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

/// A table of the file.
struct Fields<'a> {
    path: &'a str,
    table: &'a str,
    values: &'a Table,
}

impl Fields<'_> {
    fn full_name(&self, field: &str) -> String {
        if self.table.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.table)
        }
    }

    /// Refuses names that are not known, which may be misspelt.
    fn only(&self, allowed: &[&str]) -> Result<(), FeaturesError> {
        let unknown = self.values.keys().find(|k| !allowed.contains(&k.as_str()));
        match unknown {
            None => Ok(()),
            Some(field) => Err(FeaturesError::UnknownField {
                path: self.path.to_owned(),
                field: self.full_name(field),
                allowed: allowed.join(", "),
            }),
        }
    }

    fn wrong(&self, field: &str, value: &Value, allowed: &str) -> FeaturesError {
        FeaturesError::WrongValue {
            path: self.path.to_owned(),
            field: self.full_name(field),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        }
    }

    fn flag(&self, field: &str, default: bool) -> Result<bool, FeaturesError> {
        match self.values.get(field) {
            None => Ok(default),
            Some(Value::Boolean(flag)) => Ok(*flag),
            Some(other) => Err(self.wrong(field, other, "true or false")),
        }
    }

    fn number(
        &self,
        field: &str,
        default: f64,
        least: f64,
        most: f64,
    ) -> Result<f64, FeaturesError> {
        let Some(value) = self.values.get(field) else {
            return Ok(default);
        };
        let number = match value {
            Value::Float(number) => Some(*number),
            Value::Integer(number) => Some(*number as f64),
            _ => None,
        };
        number
            .filter(|number| (least..=most).contains(number))
            .ok_or_else(|| self.wrong(field, value, &format!("a number from {least} to {most}")))
    }

    fn count(
        &self,
        field: &str,
        default: usize,
        least: usize,
        most: usize,
    ) -> Result<usize, FeaturesError> {
        let Some(value) = self.values.get(field) else {
            return Ok(default);
        };
        let count = value.as_integer().and_then(|n| usize::try_from(n).ok());
        count
            .filter(|count| (least..=most).contains(count))
            .ok_or_else(|| {
                self.wrong(
                    field,
                    value,
                    &format!("a whole number from {least} to {most}"),
                )
            })
    }
}

#[cfg(test)]
mod tests;
