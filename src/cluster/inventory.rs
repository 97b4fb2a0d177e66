//! The names of the machines that may hold tasks, and which of their records have to be written.

use std::collections::{BTreeMap, BTreeSet};

use crate::model::MachineId;
use crate::store::keys::InventoryRecord;
use crate::store::replica::Versioned;

/// Bytes of a machine's name in a shard, including the envelope.
const MACHINE_NAME_BYTES: f64 = 32.0;
/// Fraction of a value that a shard may fill.
const SHARD_FILL_FRACTION: f64 = 0.5;

/// The names of the machines that may hold tasks, in shards that each fit one value.
#[derive(Debug, Default)]
pub struct MachineInventory {
    shards: BTreeMap<usize, BTreeSet<MachineId>>,
    machines_per_shard: usize,
    /// Shards that differ from their records. Released machines are removed as promptly as others
    /// are added, since a new leader waits for every machine named.
    dirty: BTreeSet<usize>,
    writing: BTreeSet<usize>,
}

impl MachineInventory {
    /// Loads the stored shards. `value_kb` is the store's limit on a value, in KiB.
    pub fn load(records: &BTreeMap<usize, Versioned<InventoryRecord>>, value_kb: f64) -> Self {
        let shards = records
            .iter()
            .map(|(shard, record)| {
                let names = record.record.machines.iter();
                let names = names.map(|name| MachineId(name.as_str().into()));
                (*shard, names.collect())
            })
            .collect();
        let machines_per_shard =
            (value_kb * 1024.0 * SHARD_FILL_FRACTION / MACHINE_NAME_BYTES).max(1.0) as usize;
        Self {
            shards,
            machines_per_shard,
            ..Self::default()
        }
    }

    /// All machines named in any shard.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.shards.values().flatten()
    }

    /// Adds a machine. The next write of its shard adds the name to the record.
    pub fn add(&mut self, id: &MachineId) {
        if self.shards.values().any(|shard| shard.contains(id)) {
            return;
        }
        let free = self
            .shards
            .iter()
            .find(|(_, s)| s.len() < self.machines_per_shard);
        let next = self.shards.keys().next_back().map_or(0, |last| last + 1);
        let shard = free.map_or(next, |(shard, _)| *shard);
        self.shards.entry(shard).or_default().insert(id.clone());
        self.dirty.insert(shard);
    }

    /// Removes a released machine. The next write of its shard removes the name from the record.
    pub fn remove(&mut self, id: &MachineId) {
        for (shard, names) in &mut self.shards {
            if names.remove(id) {
                self.dirty.insert(*shard);
            }
        }
    }

    /// The shards that differ from their records and are not being written, with their machines. Each is being written from
    /// now on, until [`Self::end_write`].
    pub fn take_dirty_shards(&mut self) -> Vec<(usize, Vec<MachineId>)> {
        let due: Vec<usize> = self.dirty.difference(&self.writing).copied().collect();
        due.into_iter()
            .map(|shard| {
                self.writing.insert(shard);
                self.dirty.remove(&shard);
                let names = self.shards.get(&shard).into_iter().flatten();
                (shard, names.cloned().collect())
            })
            .collect()
    }

    /// Ends the write of a shard. One that is not known to be committed is written again.
    pub fn end_write(&mut self, shard: usize, committed: bool) {
        self.writing.remove(&shard);
        if !committed {
            self.dirty.insert(shard);
        }
    }
}
