//! A row of the connectivity matrix: what one controller tells the others of its links.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::link::LinkState;
use crate::workers::WorkerSet;

/// Version of [`RowMessage`].
pub const ROW_VERSION: u16 = 1;
/// Largest row taken, in bytes: two sets of 100,000 workers with gaps, and a hundred controllers.
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
    /// A link of which nothing is known.
    pub const UNKNOWN: Self = Self {
        state: LinkState::Unknown,
        suppressed: false,
        evidence_age_ms: None,
    };

    /// Whether the link can be counted on.
    pub fn usable(&self) -> bool {
        self.state == LinkState::Up && !self.suppressed
    }

    /// Whether the link counts as down: lost, or suppressed.
    pub fn counts_as_down(&self) -> bool {
        self.state == LinkState::Down || self.suppressed
    }
}

/// The links between the sender and another controller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerLinks {
    /// The other controller.
    pub member: String,
    /// Requests of the sender are answered by it.
    pub outbound: LinkStatus,
    /// Its requests arrive at the sender.
    pub inbound: LinkStatus,
}

/// A row on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowMessage {
    /// [`ROW_VERSION`]; first, so that it can be read whatever follows.
    pub version: u16,
    /// The sender.
    pub member: String,
    /// The life of the sender's process: a later one has a higher number.
    pub incarnation: u64,
    /// Counts the rows of a life.
    pub sequence: u64,
    /// Time of day at the sending, in milliseconds since 1970.
    pub sent_at_ms: u64,
    /// The term that the sender leads.
    pub leads_term: Option<u64>,
    /// Reads of the state service.
    pub store_read: LinkStatus,
    /// Transactions at the state service.
    pub store_write: LinkStatus,
    /// The other controllers.
    pub peers: Vec<PeerLinks>,
    /// Workers whose reports arrive at the sender itself, as [`WorkerSet::to_bytes`] has them.
    pub workers_heard: Vec<u8>,
    /// Of these, those that show that the sender's answers arrive.
    pub workers_reached: Vec<u8>,
}

/// The answer to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowReply {
    /// The highest life of the sender that the receiver knows. A process whose clock is behind that of
    /// its former life takes a higher one.
    pub newest_incarnation: u64,
}

/// Why a row was refused. It changes nothing then.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Error)]
pub enum RowRejection {
    /// The body is larger than [`ROW_BYTES_MAX`], or was cut off.
    #[error("the row is too large or cut off")]
    Body,
    /// Not a row.
    #[error("malformed row")]
    Malformed,
    /// Of a version that is not known here.
    #[error("unknown version {0} of rows")]
    UnknownVersion(u16),
    /// Not from a known controller.
    #[error("the sender is no known controller")]
    UnknownMember,
    /// Of a former life of the sender.
    #[error("the row is of a former life")]
    FormerIncarnation,
    /// Not newer than the last row of this life.
    #[error("the row is repeated or was overtaken")]
    NotNewer,
    /// Sent too long ago.
    #[error("the row was sent too long ago")]
    TooOld,
}

/// A row that was checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// The message without its sets of workers.
    pub message: RowMessage,
    /// Workers heard.
    pub heard: WorkerSet,
    /// Workers reached.
    pub reached: WorkerSet,
}

impl Row {
    /// Checks what a message says of itself.
    pub fn check(mut message: RowMessage) -> Result<Self, RowRejection> {
        if message.version != ROW_VERSION {
            return Err(RowRejection::UnknownVersion(message.version));
        }
        let heard = std::mem::take(&mut message.workers_heard);
        let reached = std::mem::take(&mut message.workers_reached);
        let set = |bytes: &[u8]| WorkerSet::from_bytes(bytes).map_err(|_| RowRejection::Malformed);
        Ok(Self {
            heard: set(&heard)?,
            reached: set(&reached)?,
            message,
        })
    }

    /// Whether the sender can read at the state service, and write as far as it knows: followers rarely
    /// do.
    pub fn store_usable(&self) -> bool {
        self.message.store_read.usable() && !self.message.store_write.counts_as_down()
    }

    /// Whether the sender can read, and has written at most so long before it sent the row. Without it a
    /// leader whose transactions are refused would hand over to a follower that has not tried.
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
