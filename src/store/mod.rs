//! The external key-value store: its protocol and limits, the keys and records, and the replica of
//! them that every controller keeps by a watch.
//!
//! Writes are compare-and-swap transactions: all conditions on key versions hold, or nothing changes.
//! Reads come from the replica; a linearizable read brings it up to date first.

pub mod actor;
pub mod client;
mod commit_queue;
mod commit_sender;
mod context;
pub mod keys;
pub mod limiter;
pub mod observer;
mod pending_reads;
pub mod replica;
pub mod shared_replica;
mod verdict_lookup;
mod watch;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A value as the store keeps it.
pub type Value = ciborium::Value;

/// The status of requests beyond the rate limits.
const STATUS_RATE_LIMITED: u16 = 429;

/// Why a request to the key-value store failed.
#[derive(Debug, Clone, Error, PartialEq)]
pub enum StoreError {
    /// The store refused the request with this status, and executed nothing.
    #[error("request refused with status {0}")]
    Refused(u16),
    /// There was no response: the request may have been executed, or may be executed later.
    #[error("no response, outcome unknown")]
    OutcomeUnknown,
    /// The response is not of the protocol's form.
    #[error("malformed response: {0}")]
    MalformedResponse(String),
    /// The lease expired or was revoked.
    #[error("lease expired")]
    LeaseExpired,
    /// The store no longer has the changes after the watch's revision; all keys have to be read again.
    #[error("history compacted")]
    HistoryCompacted,
    /// The response is larger than this process has memory for.
    #[error("response too large")]
    ResponseTooLarge,
}

impl StoreError {
    /// Refused for the rate limits.
    pub const RATE_LIMITED: Self = StoreError::Refused(STATUS_RATE_LIMITED);

    /// Whether the error shows that contact with the store is lost, so that writes of others may go
    /// unseen. A request refused by the rate limits was answered.
    pub fn store_unavailable(&self) -> bool {
        match self {
            StoreError::Refused(status) => *status != STATUS_RATE_LIMITED,
            StoreError::OutcomeUnknown => true,
            StoreError::MalformedResponse(_)
            | StoreError::LeaseExpired
            | StoreError::HistoryCompacted
            | StoreError::ResponseTooLarge => false,
        }
    }
}

/// A condition of a transaction: the key has this version (0: the key does not exist).
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
    /// A condition on this key and version.
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
    /// Writes the key.
    Put {
        /// The key.
        #[serde(rename = "set")]
        key: String,
        /// The value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease with whose end the store deletes the key.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes the key.
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

/// A compare-and-swap transaction: the changes are made atomically if all conditions hold.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// The conditions.
    pub conditions: Vec<Condition>,
    /// The changes.
    pub changes: Vec<Change>,
}

impl Transaction {
    /// A transaction that makes these changes if these conditions hold.
    pub fn new(conditions: Vec<Condition>, changes: Vec<Change>) -> Self {
        Self {
            conditions,
            changes,
        }
    }
}

/// The order of writes when there are more than the rate limits allow. Writes of the same priority
/// are sent first in, first out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// The election.
    Election,
    /// Writes that users wait for: verdicts, and dispatch records that must precede starts.
    High,
    /// The same for jobs of the lowest priority class.
    Low,
    /// Writes that nobody waits for.
    Progress,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// It was committed at this revision.
    Committed(u64),
    /// Nothing was changed: these keys had other versions, as of this revision.
    Conflict {
        /// The keys.
        failed: Vec<String>,
        /// The revision.
        revision: u64,
    },
    /// It was not committed, or its outcome is unknown.
    Failed(StoreError),
}

impl TransactionOutcome {
    /// Whether it is known to be committed.
    pub fn committed(&self) -> bool {
        matches!(self, TransactionOutcome::Committed(_))
    }

    /// Why it was not committed, or why its outcome is unknown.
    pub fn failure(&self) -> Option<&StoreError> {
        match self {
            TransactionOutcome::Failed(error) => Some(error),
            TransactionOutcome::Committed(_) | TransactionOutcome::Conflict { .. } => None,
        }
    }
}

/// A key with its value and version.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
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

/// One page of a range of keys.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// The keys.
    #[serde(rename = "rows", default)]
    pub key_values: Vec<KeyValue>,
    /// Whether more follow.
    #[serde(default)]
    pub more: bool,
    /// The revision of the store as of which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change that the watch delivered.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// The key written.
    #[serde(rename = "set", default)]
    pub put_key: Option<String>,
    /// The key deleted.
    #[serde(rename = "drop", default)]
    pub deleted_key: Option<String>,
    /// The value written.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// The version.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// The changes that a watch delivered.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision up to which the changes are complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Encodes a record as a value.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// Decodes a record; `None` if the value has no known form.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
