//! Sets of agents as compressed bitmaps of the numbers that [`worker_number`] derives from their names.

use roaring::RoaringBitmap;
use thiserror::Error;

/// Bit that is set in the number of an agent if the number is a hash of the name, because the name does not
/// end in a number below this bit.
const HASHED_NAME_BIT: u32 = 1 << 31;
/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// A set of agents. Machines are numbered in the order of their creation, such as `m-000231`, so their
/// numbers are dense and a set of thousands takes a few hundred bytes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerSet(RoaringBitmap);

/// Identifies a heartbeat of one agent. Later heartbeats are greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatId {
    /// The agent's epoch.
    pub epoch: u64,
    /// The number of the heartbeat within the epoch.
    pub sequence: u64,
}

impl HeartbeatId {
    /// Whether this heartbeat directly follows the other one within an epoch.
    pub fn is_successor_of(self, other: Self) -> bool {
        self.epoch == other.epoch && self.sequence == other.sequence + 1
    }
}

/// The bytes do not encode a set of agents.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("malformed encoding of a worker set")]
pub struct MalformedWorkerSet;

/// The number of an agent: the number at the end of its name, or a hash of the name if there is none or it is
/// too large. Two agents share a number only if their names end in the same number or their hashes collide.
pub fn worker_number(name: &str) -> u32 {
    let digits = name.len() - name.trim_end_matches(|c: char| c.is_ascii_digit()).len();
    let number = name[name.len() - digits..].parse::<u32>().ok();
    match number.filter(|number| *number < HASHED_NAME_BIT) {
        Some(number) => number,
        None => {
            let hash = name.bytes().fold(FNV_OFFSET, |hash, byte| {
                (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME)
            });
            hash | HASHED_NAME_BIT
        }
    }
}

impl WorkerSet {
    /// The set of the agents with these names; see [`worker_number`] for names that share a number.
    pub fn from_names<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        Self(names.map(worker_number).collect())
    }

    /// Adds the agent with this number.
    pub fn insert(&mut self, number: u32) {
        self.0.insert(number);
    }

    /// Whether the set contains the agent with this number.
    pub fn contains(&self, number: u32) -> bool {
        self.0.contains(number)
    }

    /// Number of distinct agent numbers.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether the set contains no agent.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds all agents of `other`.
    pub fn union_with(&mut self, other: &WorkerSet) {
        self.0 |= &other.0;
    }

    /// Encodes the set in the portable Roaring bitmap format.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut optimized = self.0.clone();
        optimized.optimize();
        let mut bytes = Vec::with_capacity(optimized.serialized_size());
        // Writing to memory does not fail, and the receiver would reject an incomplete set.
        let _ = optimized.serialize_into(&mut bytes);
        bytes
    }

    /// Decodes a set. Bytes that follow the encoded set are an error.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MalformedWorkerSet> {
        let mut rest = bytes;
        let set = RoaringBitmap::deserialize_from(&mut rest).map_err(|_| MalformedWorkerSet)?;
        if rest.is_empty() {
            Ok(Self(set))
        } else {
            Err(MalformedWorkerSet)
        }
    }
}

#[cfg(test)]
mod tests;
