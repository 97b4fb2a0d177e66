//! Names of a controller's links, and changes of their states.

use std::fmt;

use serde::Serialize;

use crate::link::Transition;

/// Kind of a request to the key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOperation {
    /// A read, a watch, or a transaction that only compares.
    Read,
    /// A transaction with changes.
    Write,
    /// Grant, renewal or revocation of a lease.
    Lease,
}

/// Name of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkName {
    /// Reads from the key-value store.
    StoreRead,
    /// Transactions at the key-value store.
    StoreWrite,
    /// Lease operations at the key-value store.
    StoreLease,
    /// Requests to the controller of this name, and its responses.
    PeerOutbound(String),
    /// Rows that arrive from the controller of this name.
    PeerInbound(String),
}

/// The text in the admin interface. Scripts of operators may depend on it.
impl fmt::Display for LinkName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StoreRead => write!(f, "state service, reads"),
            Self::StoreWrite => write!(f, "state service, writes"),
            Self::StoreLease => write!(f, "state service, leases"),
            Self::PeerOutbound(member) => write!(f, "requests to {member}"),
            Self::PeerInbound(member) => write!(f, "requests from {member}"),
        }
    }
}

/// A transition of a named link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkChange {
    /// The link whose state or suppression changed.
    pub link: LinkName,
    /// The states before and after the change.
    pub transition: Transition,
}
