//! The dispatch records: where starts may have been sent. Each names many jobs, so that many small
//! jobs cost one change a batch and not one a job.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::job::DispatchTargets;
use crate::model::{JobId, MachineId, Term};
use crate::store::keys::{self, DispatchedJobsRecord};
use crate::store::replica::Versioned;
use crate::store::{to_value, Change, Condition};

/// Bytes that an entry takes in a record: its job, and each machine.
const ENTRY_BYTES: usize = 24;
const MACHINE_BYTES: usize = 20;
/// Part of a value that a record fills.
const FILL: f64 = 0.5;
/// Records being written at once. What comes meanwhile gathers for the next one, so that records
/// get longer with the load.
const WRITES_IN_FLIGHT_MAX: usize = 2;
/// Records without a job left that are kept to be written again; more are deleted.
const SPARE_RECORDS_KEPT: usize = 32;

/// A job with the machines to which starts of it are to be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchEntry {
    /// The job.
    pub job: JobId,
    /// Where starts of it may go.
    pub targets: DispatchTargets,
}

/// One record as it is stored.
#[derive(Debug)]
struct DispatchRecord {
    version: u64,
    /// Those of its jobs that are not over.
    jobs: BTreeSet<JobId>,
}

/// All dispatch records.
#[derive(Debug)]
pub struct DispatchLog {
    term: Term,
    records: BTreeMap<String, DispatchRecord>,
    /// Which records name a job.
    naming: HashMap<JobId, Vec<String>>,
    writing: BTreeSet<String>,
    given_out: u32,
    most_bytes: usize,
}

/// A record to be written, or deleted where it names no job.
#[derive(Debug)]
pub struct DispatchPage {
    /// Its key.
    pub key: String,
    /// What it is to name.
    pub entries: Vec<DispatchEntry>,
    /// The version that it replaces.
    pub condition: Condition,
    /// The change.
    pub change: Change,
}

impl DispatchLog {
    /// From the records, with what they say of each job.
    pub fn load(
        term: Term,
        records: &BTreeMap<String, Versioned<DispatchedJobsRecord>>,
        value_kb: f64,
    ) -> (Self, HashMap<JobId, DispatchTargets>) {
        let mut log = Self {
            term,
            records: BTreeMap::new(),
            naming: HashMap::new(),
            writing: BTreeSet::new(),
            given_out: 0,
            most_bytes: (value_kb * 1024.0 * FILL) as usize,
        };
        let mut targets: HashMap<JobId, DispatchTargets> = HashMap::new();
        for (key, kept) in records {
            for (id, machines) in &kept.record.jobs {
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
            let jobs = kept.record.jobs.iter().map(|(id, _)| id.clone());
            log.enter(key.clone(), kept.version, jobs.collect());
        }
        (log, targets)
    }

    fn enter(&mut self, key: String, version: u64, jobs: BTreeSet<JobId>) {
        for id in &jobs {
            self.naming.entry(id.clone()).or_default().push(key.clone());
        }
        self.records.insert(key, DispatchRecord { version, jobs });
    }

    /// The job is over: no record need name it any more.
    pub fn over(&mut self, id: &JobId) {
        for key in self.naming.remove(id).into_iter().flatten() {
            if let Some(record) = self.records.get_mut(&key) {
                record.jobs.remove(id);
            }
        }
    }

    /// Removes the jobs that are over already from the records.
    pub fn keep(&mut self, known: impl Fn(&JobId) -> bool) {
        let over: Vec<JobId> = self
            .naming
            .keys()
            .filter(|id| !known(id))
            .cloned()
            .collect();
        for id in over {
            self.over(&id);
        }
    }

    /// Whether another record may be written now.
    pub fn may_write(&self) -> bool {
        self.writing.len() < WRITES_IN_FLIGHT_MAX
    }

    /// Whether no record is being written.
    pub fn is_idle(&self) -> bool {
        self.writing.is_empty()
    }

    /// A record of as many entries as fit a value, taken from `entries`.
    pub fn next_page(&mut self, entries: &mut Vec<DispatchEntry>) -> Option<DispatchPage> {
        let mut bytes = 0;
        let fitting = entries.iter().take_while(|entry| {
            bytes +=
                ENTRY_BYTES + MACHINE_BYTES * entry.targets.machines().map_or(0, BTreeSet::len);
            bytes <= self.most_bytes
        });
        // One that is larger than that is within the limit on its own: its machines are bounded.
        let count = fitting.count().max(1).min(entries.len());
        let entries: Vec<DispatchEntry> = entries.drain(..count).collect();
        if entries.is_empty() {
            return None;
        }
        let spare = self.spare().next().cloned();
        let key = spare.unwrap_or_else(|| {
            self.given_out += 1;
            keys::dispatch(self.term, self.given_out)
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
        Some(self.write(key, entries, change))
    }

    /// A record that nobody needs, to be deleted.
    pub fn surplus(&mut self) -> Option<DispatchPage> {
        let key = self.spare().nth(SPARE_RECORDS_KEPT)?.clone();
        let change = Change::delete(key.clone());
        Some(self.write(key, Vec::new(), change))
    }

    fn write(&mut self, key: String, entries: Vec<DispatchEntry>, change: Change) -> DispatchPage {
        let version = self.records.get(&key).map_or(0, |record| record.version);
        self.writing.insert(key.clone());
        DispatchPage {
            condition: Condition::new(key.clone(), version),
            key,
            entries,
            change,
        }
    }

    fn spare(&self) -> impl Iterator<Item = &String> {
        let records = self.records.iter();
        let empty =
            records.filter(|(key, record)| record.jobs.is_empty() && !self.writing.contains(*key));
        empty.map(|(key, _)| key)
    }

    /// Takes what became of a write: the version it has now, if it is known to have been applied.
    /// Of another one nothing is known: it may be applied yet, so its key is not used again.
    pub fn written(&mut self, key: &str, jobs: BTreeSet<JobId>, version: Option<u64>) {
        self.writing.remove(key);
        self.records.remove(key);
        if let Some(version) = version.filter(|_| !jobs.is_empty()) {
            self.enter(key.to_owned(), version, jobs);
        }
    }
}

#[cfg(test)]
mod tests;
