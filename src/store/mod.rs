//! The external key-value store: its protocol and limits, the keys and records, and the replica of them that
//! every controller keeps up to date with a watch.
//!
//! Writes are compare-and-swap transactions: either all conditions on key versions hold, or nothing
//! changes. Reads are served from the replica, after a linearizable read has brought it up to date.

pub mod actor;
pub mod cancellation;
pub mod client;
mod commit_queue;
mod commit_sender;
mod context;
pub mod election;
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

/// A decoded CBOR value, as the store keeps it below a key.
pub type Value = ciborium::Value;

/// The HTTP status with which the store refuses requests beyond its rate limits.
const STATUS_RATE_LIMITED: u16 = 429;

/// Why a request to the key-value store failed.
#[derive(Debug, Clone, Error, PartialEq)]
pub enum StoreError {
    /// The store refused the request with this status, and executed nothing.
    #[error("key-value store refused the request with status {0}")]
    Refused(u16),
    /// There was no usable response: the store may have executed the request, or may execute it later.
    #[error("no response; the outcome of the request is unknown")]
    OutcomeUnknown,
    /// The response does not follow the protocol.
    #[error("malformed response from the key-value store: {0}")]
    MalformedResponse(String),
    /// The lease expired or was revoked.
    #[error("lease expired or was revoked")]
    LeaseExpired,
    /// The store no longer has all changes since the watch's revision, so that all keys have to be read
    /// again.
    #[error("history since the watched revision was compacted")]
    HistoryCompacted,
    /// The response is larger than [`client::response_bytes_max`].
    #[error("response exceeds the memory limit of this process")]
    ResponseTooLarge,
}

impl StoreError {
    /// The refusal of a request that exceeds the rate limits, by the store or by this process itself.
    pub const RATE_LIMITED: Self = StoreError::Refused(STATUS_RATE_LIMITED);

    /// Whether the error shows that the store may be unavailable to this process, which then may miss the
    /// writes of other controllers. A refusal by the rate limits is a response of an available store.
    pub fn shows_outage(&self) -> bool {
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

/// A condition of a transaction on the version of one key.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Eq)]
pub struct Condition {
    /// The full key, with the prefix [`keys::ROOT`].
    #[serde(rename = "path")]
    pub key: String,
    /// The required version; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

impl Condition {
    /// Requires that `key` has `version`, or does not exist if `version` is 0.
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
    /// Creates the key or replaces its value.
    Put {
        /// The key to write.
        #[serde(rename = "set")]
        key: String,
        /// The new value, an encoded record of [`keys`].
        #[serde(rename = "v")]
        value: Value,
        /// The lease that the key is attached to: the store deletes the key when this lease ends.
        #[serde(rename = "hold", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes the key, if it exists.
    Delete {
        /// The key to delete.
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// Writes a key that is attached to no lease.
    pub fn put(key: impl Into<String>, value: Value) -> Self {
        Change::Put {
            key: key.into(),
            value,
            lease: None,
        }
    }

    /// Deletes a key.
    pub fn delete(key: impl Into<String>) -> Self {
        Change::Delete { key: key.into() }
    }

    /// The key that is written or deleted.
    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

/// A compare-and-swap transaction: the store applies all changes atomically if all conditions hold.
#[derive(Debug, Clone, Default)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The changes; none in a transaction that only checks conditions.
    pub changes: Vec<Change>,
}

impl Transaction {
    /// Creates a transaction that writes a record if its key has this version; 0 if the key must not exist.
    pub fn put_if_version<T: Serialize>(key: String, version: u64, record: &T) -> Self {
        Self::new(
            vec![Condition::new(key.clone(), version)],
            vec![Change::put(key, to_value(record))],
        )
    }

    /// Creates a transaction that applies `changes` if all `conditions` hold.
    pub fn new(conditions: Vec<Condition>, changes: Vec<Change>) -> Self {
        Self {
            conditions,
            changes,
        }
    }
}

/// The order in which queued writes are sent. Writes of the same priority are sent first in, first out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// Writes of the leader election, which are never refused.
    Election,
    /// Writes that users wait for: verdicts, and dispatch records that must precede starts.
    High,
    /// As `High`, for jobs of the lowest priority class.
    Low,
    /// Writes that no user waits for.
    Progress,
}

/// The outcome of a transaction, as far as it is known to this process.
#[derive(Debug, Clone, PartialEq)]
pub enum TransactionOutcome {
    /// The store committed it at this revision.
    Committed(u64),
    /// The store changed nothing, because at least one condition did not hold.
    Conflict {
        /// The keys whose conditions did not hold.
        failed: Vec<String>,
        /// The revision of the store at which the conditions were checked.
        revision: u64,
    },
    /// It was not committed, or its outcome is unknown ([`StoreError::OutcomeUnknown`]).
    Failed(StoreError),
}

impl TransactionOutcome {
    /// Whether the store confirmed the commit. An unknown outcome is not confirmed.
    pub fn committed(&self) -> bool {
        matches!(self, TransactionOutcome::Committed(_))
    }

    /// The revision of the commit; `None` if no commit is confirmed.
    pub fn revision(&self) -> Option<u64> {
        match self {
            TransactionOutcome::Committed(revision) => Some(*revision),
            TransactionOutcome::Conflict { .. } | TransactionOutcome::Failed(_) => None,
        }
    }

    /// The error of a failed transaction; `None` for a commit or a conflict.
    pub fn failure(&self) -> Option<&StoreError> {
        match self {
            TransactionOutcome::Failed(error) => Some(error),
            TransactionOutcome::Committed(_) | TransactionOutcome::Conflict { .. } => None,
        }
    }
}

/// A key with its value and version, as the store returns them for a read.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    /// The full key, with the prefix [`keys::ROOT`].
    #[serde(rename = "path")]
    pub key: String,
    /// An encoded record; [`keys`] defines its type for each key.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of the store at which the key was last written.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of a range of keys.
#[derive(Debug, Deserialize)]
pub struct KeyPage {
    /// The keys and values, in the order of the keys.
    #[serde(rename = "rows", default)]
    pub key_values: Vec<KeyValue>,
    /// Whether the range has keys after this page.
    #[serde(default)]
    pub more: bool,
    /// The revision of the store at which the page was read.
    #[serde(rename = "epoch")]
    pub revision: u64,
}

/// A change that a watch delivered. Either `put_key` and `value` are present, or `deleted_key`.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchEvent {
    /// The key that was written; absent for a deletion.
    #[serde(rename = "set", default)]
    pub put_key: Option<String>,
    /// The key that was deleted; absent for a write.
    #[serde(rename = "drop", default)]
    pub deleted_key: Option<String>,
    /// The value that was written; absent for a deletion.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// The revision of the store at which the change was committed.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// The response to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    /// The revision of the store up to which the events are complete.
    #[serde(rename = "epoch")]
    pub revision: u64,
    /// The changes since the requested revision; empty if the watch timed out.
    #[serde(default)]
    pub events: Vec<WatchEvent>,
}

/// Encodes a record as a value; null if it cannot be encoded.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// Decodes a record; `None` if the value does not have the form of `T`.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
