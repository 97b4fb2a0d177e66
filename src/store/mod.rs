//! The state service: its protocol, its limits, the key layout, and the replica that every
//! node keeps of our keys.

pub mod actor;
pub mod client;
pub mod keys;
pub mod limiter;
pub mod observer;
mod reads;
pub mod replica;
pub mod shared_replica;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A value as the service keeps it.
pub type Value = ciborium::Value;

/// Why a request to the state service brought nothing.
#[derive(Debug, Clone, Error, PartialEq)]
pub enum StoreError {
    /// Refused for sure: nothing was executed.
    #[error("the state service refuses requests ({0})")]
    Refused(u16),
    /// No answer: it may have been executed, or may yet be.
    #[error("no answer from the state service")]
    Unknown,
    /// An answer that makes no sense.
    #[error("the state service answered nonsense: {0}")]
    Nonsense(String),
    /// The lease is over.
    #[error("the lease is over")]
    LeaseOver,
    /// The history asked for is gone; the keys have to be read again.
    #[error("the history asked for is gone")]
    TooOld,
    /// It was answered with more than this process has memory for.
    #[error("the state service's answer is too large")]
    AnswerTooLarge,
}

impl StoreError {
    /// Whether it shows that the service can't be reached, and what others do there not be seen.
    /// What is refused for the limits was answered.
    pub fn contact_lost(&self) -> bool {
        match self {
            StoreError::Refused(status) => *status != 429,
            StoreError::Unknown => true,
            StoreError::Nonsense(_)
            | StoreError::LeaseOver
            | StoreError::TooOld
            | StoreError::AnswerTooLarge => false,
        }
    }
}

/// A condition: the key has this version (0: does not exist).
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct Condition {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Condition {
    /// UnmetDemand form.
    pub fn new(key: impl Into<String>, version: u64) -> Self {
        Self {
            key: key.into(),
            version,
        }
    }
}

/// A change of one key.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
#[serde(untagged)]
pub enum Change {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease it hangs on.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// A write without a lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Change::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }

    /// A delete.
    pub fn delete(key: impl Into<String>) -> Self {
        Change::Delete { key: key.into() }
    }

    /// The key changed.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// Conditions and changes that stand or fall together.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What changes then.
    pub changes: Vec<Change>,
}

impl Transaction {
    /// Makes these changes if these conditions hold.
    pub fn new(conditions: Vec<Condition>, changes: Vec<Change>) -> Self {
        Self {
            conditions,
            changes,
        }
    }
}

/// What goes before what, when more is to be written than the limits allow. Within each, first
/// come, first served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// The election.
    Election,
    /// What users wait for: verdicts, and what has to be written before starts.
    High,
    /// The same for jobs of the lowest rank.
    Low,
    /// What nobody waits for.
    Progress,
}

/// What became of a group.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// Applied, at this revision.
    Committed(u64),
    /// Not applied: these keys had other versions, as of this revision.
    Conflict {
        /// The keys.
        failed: Vec<String>,
        /// The revision.
        revision: u64,
    },
    /// Not applied, or not known to be.
    Failed(StoreError),
}

impl TransactionOutcome {
    /// Whether it was applied for sure.
    pub fn committed(&self) -> bool {
        matches!(self, TransactionOutcome::Committed(_))
    }

    /// Why it was not applied, or is not known to be.
    pub fn failure(&self) -> Option<&StoreError> {
        match self {
            TransactionOutcome::Failed(error) => Some(error),
            TransactionOutcome::Committed(_) | TransactionOutcome::Conflict { .. } => None,
        }
    }
}

/// A key with its value.
#[derive(Debug, Clone, Deserialize)]
pub struct Row {
    /// The key.
    #[serde(rename = "path")]
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// The version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of keys.
#[derive(Debug, Deserialize)]
pub struct Page {
    /// The keys.
    #[serde(default)]
    pub rows: Vec<Row>,
    /// Whether more follow.
    #[serde(default)]
    pub more: bool,
    /// As of this revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change seen through the watch.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// The key written.
    #[serde(rename = "set", default)]
    pub put: Option<String>,
    /// The key deleted.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// The value written.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// The version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// What a watch brought.
#[derive(Debug, Deserialize)]
pub struct Follow {
    /// Up to this revision.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// Turns one of our records into a value.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// Reads one of our records; `None` if it is of no form we know.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
