//! A row of the connectivity matrix: the state of one controller's links, which it publishes to the
//! others.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::link::LinkState;
use crate::workers::WorkerSet;

/// Version of [`RowMessage`].
pub const ROW_VERSION: u16 = 1;
/// Maximum size of an accepted row in bytes: two sets of 100,000 workers with gaps, and a hundred controllers.
pub const ROW_BYTES_MAX: usize = 64 * 1024;

/// A link as its owner sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Its state.
    pub state: LinkState,
    /// Whether it is suppressed for flapping.
    pub suppressed: bool,
    /// Age of the newest evidence for it at the time of sending.
    pub evidence_age_ms: Option<u64>,
}

impl LinkStatus {
    /// A link without evidence.
    pub const UNKNOWN: Self = Self {
        state: LinkState::Unknown,
        suppressed: false,
        evidence_age_ms: None,
    };

    /// Whether the link is up and not suppressed.
    pub fn usable(&self) -> bool {
        self.state == LinkState::Up && !self.suppressed
    }

    /// Whether the link is down or suppressed.
    pub fn counts_as_down(&self) -> bool {
        self.state == LinkState::Down || self.suppressed
    }
}

/// The links between the sender and another controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLinks {
    /// The other controller.
    pub member: String,
    /// Requests of the sender, answered by the other controller.
    pub outbound: LinkStatus,
    /// Requests of the other controller, arriving at the sender.
    pub inbound: LinkStatus,
}

/// A row in transit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowMessage {
    /// [`ROW_VERSION`]; first, so that it can be read whatever follows.
    pub version: u16,
    /// The sender.
    pub member: String,
    /// Incarnation of the sender's process: a later one has a higher number.
    pub incarnation: u64,
    /// Sequence number of the row within the incarnation.
    pub sequence: u64,
    /// Time of day at the sending, in milliseconds since 1970.
    pub sent_at_ms: u64,
    /// The term in which the sender is the leader.
    pub leads_term: Option<u64>,
    /// Reads of the state service.
    pub store_read: LinkStatus,
    /// Transactions at the state service.
    pub store_write: LinkStatus,
    /// The other controllers.
    pub peers: Vec<PeerLinks>,
    /// Workers whose heartbeats arrive at the sender itself, as [`WorkerSet::to_bytes`] has them.
    pub reporting_workers: Vec<u8>,
    /// Of these, those that confirm that the sender's responses arrive.
    pub reachable_workers: Vec<u8>,
}

/// The answer to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowReply {
    /// The highest incarnation of the sender that the receiver knows. A process whose clock is behind that
    /// of its former incarnation chooses a higher one.
    pub newest_incarnation: u64,
}

/// Why a row was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum RowRejection {
    /// The body is larger than [`ROW_BYTES_MAX`], or truncated.
    #[error("the row is too large or truncated")]
    InvalidBody,
    /// Not a row.
    #[error("malformed row")]
    Malformed,
    /// Of an unknown version.
    #[error("unknown row version {0}")]
    UnknownVersion(u16),
    /// Not from a known controller.
    #[error("the sender is not a known controller")]
    UnknownMember,
    /// Of a former incarnation of the sender.
    #[error("the row is of a former incarnation")]
    FormerIncarnation,
    /// Not newer than the last row of this incarnation.
    #[error("the row is repeated or was overtaken")]
    NotNewer,
    /// Sent too long ago.
    #[error("the row was sent too long ago")]
    TooOld,
}

/// A validated row.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The message without its sets of workers.
    pub message: RowMessage,
    /// Workers heard.
    pub reporting_workers: WorkerSet,
    /// Workers reached.
    pub reachable_workers: WorkerSet,
}

impl Row {
    /// Validates a message.
    pub fn from_message(mut message: RowMessage) -> Result<Self, RowRejection> {
        if message.version != ROW_VERSION {
            return Err(RowRejection::UnknownVersion(message.version));
        }
        let reporting_workers = std::mem::take(&mut message.reporting_workers);
        let reachable_workers = std::mem::take(&mut message.reachable_workers);
        let set = |bytes: &[u8]| WorkerSet::from_bytes(bytes).map_err(|_| RowRejection::Malformed);
        Ok(Self {
            reporting_workers: set(&reporting_workers)?,
            reachable_workers: set(&reachable_workers)?,
            message,
        })
    }

    /// Whether the sender can read from the state service, and has no evidence against writes: followers
    /// rarely write.
    pub fn store_usable(&self) -> bool {
        self.message.store_read.usable() && !self.message.store_write.counts_as_down()
    }

    /// Whether the sender can read, and has written at most `age_max` before it sent the row. Without this
    /// evidence a leader whose transactions are refused would hand over to a follower that has not tried.
    pub fn store_proven(&self, age_max: Duration) -> bool {
        let write = &self.message.store_write;
        let age = write.evidence_age_ms.map(Duration::from_millis);
        self.message.store_read.usable() && write.usable() && age.is_some_and(|age| age <= age_max)
    }

    /// Whether requests of the sender reach `member` and are answered.
    pub fn reaches(&self, member: &str) -> bool {
        let links = self.message.peers.iter().find(|l| l.member == member);
        links.is_some_and(|links| links.outbound.usable())
    }
}

#[cfg(test)]
mod tests;
