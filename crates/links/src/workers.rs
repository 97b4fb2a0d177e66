//! Sets of workers as compressed bitmaps of worker numbers.

use roaring::RoaringBitmap;
use thiserror::Error;

/// Bit set in the number of a worker whose name does not end in digits.
const HASHED_NAME_BIT: u32 = 1 << 31;
/// Offset basis and prime of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// A set of workers. Machines are numbered in the order of their creation, `m-000231`, so that their
/// numbers are dense and a set of thousands takes a few hundred bytes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerSet(RoaringBitmap);

/// Error for bytes that do not encode a set of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a set of workers")]
pub struct MalformedSet;

/// The number of a worker. Two names may share one only if they don't end in digits, or if their
/// digits are the same and the rest is not.
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
    /// The workers with these names.
    pub fn from_names<'a>(names: impl Iterator<Item = &'a str>) -> Self {
        Self(names.map(worker_number).collect())
    }

    /// Adds the worker with this number.
    pub fn insert(&mut self, number: u32) {
        self.0.insert(number);
    }

    /// Whether the worker with this number is in the set.
    pub fn contains(&self, number: u32) -> bool {
        self.0.contains(number)
    }

    /// Number of workers.
    pub fn len(&self) -> u64 {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Adds all of another set.
    pub fn union_with(&mut self, other: &WorkerSet) {
        self.0 |= &other.0;
    }

    /// As bytes, in the portable format of the bitmap.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut optimized = self.0.clone();
        optimized.optimize();
        let mut bytes = Vec::with_capacity(optimized.serialized_size());
        // Writing to memory does not fail, and the receiver rejects an incomplete set.
        let _ = optimized.serialize_into(&mut bytes);
        bytes
    }

    /// From bytes. All of them must belong to the set.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MalformedSet> {
        let mut rest = bytes;
        let set = RoaringBitmap::deserialize_from(&mut rest).map_err(|_| MalformedSet)?;
        if rest.is_empty() {
            Ok(Self(set))
        } else {
            Err(MalformedSet)
        }
    }
}

#[cfg(test)]
mod tests;
