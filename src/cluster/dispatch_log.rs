//! The dispatch records: the machines to which starts may have been sent. Each record names many
//! jobs, so that small jobs cost one change per batch instead of one per job.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::job::DispatchTargets;
use crate::model::{JobId, MachineId, Term};
use crate::store::keys::{self, DispatchedJobsRecord};
use crate::store::replica::Versioned;
use crate::store::{to_value, Change, Condition};

/// Bytes that a job takes in a record, and bytes that each of its machines takes in addition.
const ENTRY_BYTES: usize = 24;
const MACHINE_BYTES: usize = 20;
/// Fraction of a value that a record may fill.
const RECORD_FILL_FRACTION: f64 = 0.5;
/// Records written concurrently. Entries that become due meanwhile are collected for the next
/// record, so that records get longer under load.
const WRITES_IN_FLIGHT_MAX: usize = 2;
/// Records without jobs that are kept to be overwritten; any more are deleted.
const EMPTY_RECORDS_KEPT: usize = 32;

/// A job with the machines to which its starts are to be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchEntry {
    /// A job with planned starts.
    pub job: JobId,
    /// Machines that the record adds to the job's earlier targets.
    pub targets: DispatchTargets,
}

#[derive(Debug)]
struct DispatchRecord {
    version: u64,
    /// The jobs that it names and that have not ended.
    jobs: BTreeSet<JobId>,
}

/// The dispatch records of all terms, as this leader last read or wrote them.
#[derive(Debug)]
pub struct DispatchLog {
    term: Term,
    records: BTreeMap<String, DispatchRecord>,
    /// Keys of the records that name a job.
    records_by_job: HashMap<JobId, Vec<String>>,
    writing: BTreeSet<String>,
    keys_issued: u32,
    record_bytes_max: usize,
}

/// A record to be written, or to be deleted if it has no entries.
#[derive(Debug)]
pub struct DispatchRecordChange {
    /// The key of the record.
    pub key: String,
    /// The jobs that the record will name, with their machines; none if it is to be deleted.
    pub entries: Vec<DispatchEntry>,
    /// Requires the version that the change replaces; 0 for a new key.
    pub condition: Condition,
    /// The put or the deletion.
    pub change: Change,
}

impl DispatchLog {
    /// Loads the stored records, and returns the dispatch targets of each job that they name.
    pub fn load(
        term: Term,
        records: &BTreeMap<String, Versioned<DispatchedJobsRecord>>,
        value_kb: f64,
    ) -> (Self, HashMap<JobId, DispatchTargets>) {
        let mut log = Self {
            term,
            records: BTreeMap::new(),
            records_by_job: HashMap::new(),
            writing: BTreeSet::new(),
            keys_issued: 0,
            record_bytes_max: (value_kb * 1024.0 * RECORD_FILL_FRACTION) as usize,
        };
        let mut targets: HashMap<JobId, DispatchTargets> = HashMap::new();
        for (key, stored) in records {
            for (id, machines) in &stored.record.jobs {
                let machines = machines.as_ref().map(|names| {
                    let ids = names.iter().map(|name| MachineId(name.as_str().into()));
                    ids.collect()
                });
                let more = machines.map_or(DispatchTargets::Anywhere, DispatchTargets::Machines);
                let known = targets
                    .entry(id.clone())
                    .or_insert_with(DispatchTargets::none);
                known.add(more);
            }
            let jobs = stored.record.jobs.iter().map(|(id, _)| id.clone());
            log.insert_record(key.clone(), stored.version, jobs.collect());
        }
        (log, targets)
    }

    fn insert_record(&mut self, key: String, version: u64, jobs: BTreeSet<JobId>) {
        for id in &jobs {
            self.records_by_job
                .entry(id.clone())
                .or_default()
                .push(key.clone());
        }
        self.records.insert(key, DispatchRecord { version, jobs });
    }

    /// Removes a job that has ended, which no record needs to name any more.
    pub fn remove_job(&mut self, id: &JobId) {
        for key in self.records_by_job.remove(id).into_iter().flatten() {
            if let Some(record) = self.records.get_mut(&key) {
                record.jobs.remove(id);
            }
        }
    }

    /// Removes the jobs that have ended already: those for which `known` returns false.
    pub fn retain_jobs(&mut self, known: impl Fn(&JobId) -> bool) {
        let ended: Vec<JobId> = self
            .records_by_job
            .keys()
            .filter(|id| !known(id))
            .cloned()
            .collect();
        for id in ended {
            self.remove_job(&id);
        }
    }

    /// Whether another record may be written now.
    pub fn may_write(&self) -> bool {
        self.writing.len() < WRITES_IN_FLIGHT_MAX
    }

    /// Whether no write of a record is in flight.
    pub fn is_idle(&self) -> bool {
        self.writing.is_empty()
    }

    /// Removes as many `entries` as fit one record, and returns the write of this record; `None` if
    /// there are no entries.
    pub fn next_record_change(
        &mut self,
        entries: &mut Vec<DispatchEntry>,
    ) -> Option<DispatchRecordChange> {
        let mut bytes = 0;
        let fitting = entries.iter().take_while(|entry| {
            bytes +=
                ENTRY_BYTES + MACHINE_BYTES * entry.targets.machines().map_or(0, BTreeSet::len);
            bytes <= self.record_bytes_max
        });
        // A single larger entry still fits a value, since its number of machines is limited.
        let count = fitting.count().max(1).min(entries.len());
        let entries: Vec<DispatchEntry> = entries.drain(..count).collect();
        if entries.is_empty() {
            return None;
        }
        let spare = self.empty_records().next().cloned();
        let key = spare.unwrap_or_else(|| {
            self.keys_issued += 1;
            keys::dispatch(self.term, self.keys_issued)
        });
        let record = DispatchedJobsRecord {
            jobs: entries
                .iter()
                .map(|entry| {
                    let names = entry.targets.machines().map(|machines| {
                        let names = machines.iter().map(|id| id.0.to_string());
                        names.collect()
                    });
                    (entry.job.clone(), names)
                })
                .collect(),
        };
        let change = Change::put(key.clone(), to_value(&record));
        Some(self.begin_write(key, entries, change))
    }

    /// The deletion of one record without jobs, if there are more than [`EMPTY_RECORDS_KEPT`].
    pub fn next_surplus_deletion(&mut self) -> Option<DispatchRecordChange> {
        let key = self.empty_records().nth(EMPTY_RECORDS_KEPT)?.clone();
        let change = Change::delete(key.clone());
        Some(self.begin_write(key, Vec::new(), change))
    }

    fn begin_write(
        &mut self,
        key: String,
        entries: Vec<DispatchEntry>,
        change: Change,
    ) -> DispatchRecordChange {
        let version = self.records.get(&key).map_or(0, |record| record.version);
        self.writing.insert(key.clone());
        DispatchRecordChange {
            condition: Condition::new(key.clone(), version),
            key,
            entries,
            change,
        }
    }

    fn empty_records(&self) -> impl Iterator<Item = &String> {
        let records = self.records.iter();
        let empty =
            records.filter(|(key, record)| record.jobs.is_empty() && !self.writing.contains(*key));
        empty.map(|(key, _)| key)
    }

    /// Applies the outcome of a write: `version` is that of the record in the store, which names `jobs` of those that
    /// have not ended. It is absent if the record was deleted, or is not known to be committed. A write of
    /// unknown outcome may still be committed later, so its key is not used again.
    pub fn apply_write_outcome(&mut self, key: &str, jobs: BTreeSet<JobId>, version: Option<u64>) {
        self.writing.remove(key);
        self.records.remove(key);
        if let Some(version) = version {
            self.insert_record(key.to_owned(), version, jobs);
        }
    }
}

#[cfg(test)]
mod tests;
