//! Names of a controller's links, and the events on them.

use std::fmt;

use serde::Serialize;

use crate::link::Transition;

/// Kind of a request to the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOperation {
    /// A read, a watch or a comparison.
    Read,
    /// A transaction with changes.
    Write,
    /// Grant, renewal or release of a lease.
    Lease,
}

/// Name of a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkName {
    /// Reads of the state service.
    StoreRead,
    /// Transactions at the state service.
    StoreWrite,
    /// Leases at the state service.
    StoreLease,
    /// Requests to another controller and their responses.
    PeerOutbound(String),
    /// Arriving requests of another controller.
    PeerInbound(String),
}

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

/// A change of state of one link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkChange {
    /// The link.
    pub link: LinkName,
    /// The change of its state.
    pub transition: Transition,
}
