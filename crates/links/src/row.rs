//! A row of the connectivity matrix: the states of one controller's links, which it publishes to the other
//! controllers.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::link::LinkState;
use crate::workers::WorkerSet;

/// Version of [`RowMessage`]. Rows of any other version are rejected.
pub const ROW_VERSION: u16 = 1;
/// Maximum size of an accepted row in bytes. It is enough for two sets of 100,000 agents with gaps, and for a
/// hundred controllers.
pub const ROW_BYTES_MAX: usize = 64 * 1024;

/// A link from the viewpoint of the controller that observes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// State regardless of suppression.
    pub state: LinkState,
    /// Whether the link is suppressed because of flapping.
    pub suppressed: bool,
    /// Age of the newest success when the row is created, from the sending of its message or request; `None`
    /// without a success.
    pub evidence_age_ms: Option<u64>,
}

impl LinkStatus {
    /// Status of a link without evidence.
    pub const UNKNOWN: Self = Self {
        state: LinkState::Unknown,
        suppressed: false,
        evidence_age_ms: None,
    };

    /// Whether the link is up and not suppressed.
    pub fn is_usable(&self) -> bool {
        self.state == LinkState::Up && !self.suppressed
    }

    /// Whether the link is down or suppressed.
    pub fn counts_as_down(&self) -> bool {
        self.state == LinkState::Down || self.suppressed
    }
}

/// The links between the sender of the row and another controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLinks {
    /// Name of the other controller.
    pub member: String,
    /// Requests of the sender and the responses of the other controller.
    pub outbound: LinkStatus,
    /// Rows of the other controller that arrive at the sender.
    pub inbound: LinkStatus,
}

/// A row as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowMessage {
    /// [`ROW_VERSION`] of the sender. It is the first field, so that a receiver can decode it in any version.
    pub version: u16,
    /// Name of the sender.
    pub member: String,
    /// Incarnation of the sender's process. A later incarnation has a higher number.
    pub incarnation: u64,
    /// Sequence number of the row within the incarnation.
    pub sequence: u64,
    /// Time of day when the row was sent, in milliseconds since 1970.
    pub sent_at_ms: u64,
    /// The term in which the sender is the leader; `None` for a follower.
    pub leads_term: Option<u64>,
    /// Link for reads from the key-value store.
    pub store_read: LinkStatus,
    /// Link for transactions at the key-value store.
    pub store_write: LinkStatus,
    /// Links to all other controllers.
    pub peers: Vec<PeerLinks>,
    /// Agents whose heartbeats arrive at the sender itself, encoded by [`WorkerSet::to_bytes`].
    pub reporting_workers: Vec<u8>,
    /// The subset of these agents that confirm that responses of the sender arrive.
    pub reachable_workers: Vec<u8>,
}

/// The response to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowReply {
    /// The highest incarnation of the sender that the receiver has accepted. A process whose clock is behind
    /// that of its former incarnation then chooses a higher one.
    pub newest_incarnation: u64,
}

/// Why a row was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum RowRejection {
    /// The body is larger than [`ROW_BYTES_MAX`], or truncated.
    #[error("the row is too large or truncated")]
    InvalidBody,
    /// The body or one of its sets of agents cannot be decoded.
    #[error("the row is malformed")]
    Malformed,
    /// The version differs from [`ROW_VERSION`].
    #[error("unknown row version {0}")]
    UnknownVersion(u16),
    /// The sender is not in the settings of this controller.
    #[error("the sender is not a known controller")]
    UnknownMember,
    /// A row of a later incarnation of the sender has been accepted.
    #[error("the row is from a former incarnation of the sender")]
    FormerIncarnation,
    /// A row of the same incarnation with this sequence number or a higher one has been accepted.
    #[error("the row is a duplicate or arrived out of order")]
    NotNewer,
    /// The row is older than [`LinkTiming::row_age_max`](crate::timing::LinkTiming::row_age_max).
    #[error("the row was sent too long ago")]
    TooOld,
}

/// A validated row.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The message. Its encoded sets of agents are empty, because the decoded ones are in this struct.
    pub message: RowMessage,
    /// Agents whose heartbeats arrive at the sender itself.
    pub reporting_workers: WorkerSet,
    /// The subset of these agents that confirm that responses of the sender arrive.
    pub reachable_workers: WorkerSet,
}

impl Row {
    /// Checks the version and decodes the sets of agents. Whether the row is new enough is left to
    /// [`ConnectivityMatrix::accept_row`](crate::matrix::ConnectivityMatrix::accept_row).
    pub fn from_message(mut message: RowMessage) -> Result<Self, RowRejection> {
        if message.version != ROW_VERSION {
            return Err(RowRejection::UnknownVersion(message.version));
        }
        let reporting_workers = std::mem::take(&mut message.reporting_workers);
        let reachable_workers = std::mem::take(&mut message.reachable_workers);
        let decode =
            |bytes: &[u8]| WorkerSet::from_bytes(bytes).map_err(|_| RowRejection::Malformed);
        Ok(Self {
            reporting_workers: decode(&reporting_workers)?,
            reachable_workers: decode(&reachable_workers)?,
            message,
        })
    }

    /// Whether the sender can read from the key-value store and has no evidence against writes. Evidence for
    /// writes is not required, because followers rarely write.
    pub fn store_usable(&self) -> bool {
        self.message.store_read.is_usable() && !self.message.store_write.counts_as_down()
    }

    /// Whether the sender can read and write, and sent its newest successful transaction at most `age_max`
    /// before it created the row. Without this evidence, a leader whose transactions are refused would hand
    /// over to a follower that has not tried to write.
    pub fn store_proven(&self, age_max: Duration) -> bool {
        let write = &self.message.store_write;
        let age = write.evidence_age_ms.map(Duration::from_millis);
        self.message.store_read.is_usable()
            && write.is_usable()
            && age.is_some_and(|age| age <= age_max)
    }

    /// Whether requests of the sender reach `member` and are answered.
    pub fn reaches(&self, member: &str) -> bool {
        let links = self.message.peers.iter().find(|l| l.member == member);
        links.is_some_and(|links| links.outbound.is_usable())
    }
}

#[cfg(test)]
mod tests;
