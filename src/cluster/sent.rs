//! The lists of where starts may have been sent, each naming many jobs, so that many small
//! jobs costs a change a batch and not one a job.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::job::Sent;
use crate::model::{JobId, MachineId, Term};
use crate::store::keys::{self, SentRecord};
use crate::store::replica::Versioned;
use crate::store::{to_value, Change, Condition};

/// Bytes that an entry takes in a list: its job, and each machine.
const ENTRY_BYTES: usize = 24;
const HOST_BYTES: usize = 20;
/// Part of a value that a list fills.
const FILL: f64 = 0.5;
/// Lists being written at once. What comes meanwhile gathers for the next one, so that lists
/// get longer with the load.
const LISTS_IN_FLIGHT_MAX: usize = 2;
/// Lists without a job left that are kept to be written again; more are deleted.
const EMPTY_LISTS_KEPT: usize = 32;

/// A job with the machines to which starts of it are to be sent.
pub type Entry = (JobId, Sent);

/// One list as the records have it.
#[derive(Debug)]
struct List {
    version: u64,
    /// Those of its jobs that are not over.
    jobs: BTreeSet<JobId>,
}

/// All lists.
#[derive(Debug)]
pub struct SentLists {
    term: Term,
    lists: BTreeMap<String, List>,
    /// Which lists name a job.
    naming: HashMap<JobId, Vec<String>>,
    writing: BTreeSet<String>,
    given_out: u32,
    most_bytes: usize,
}

/// A list to be written, or deleted where it names nobody.
#[derive(Debug)]
pub struct Page {
    /// Its key.
    pub key: String,
    /// What it is to say.
    pub entries: Vec<Entry>,
    /// The version that it replaces.
    pub conditions: Condition,
    /// The change.
    pub change: Change,
}

impl SentLists {
    /// From the records, with what they say of each job.
    pub fn load(
        term: Term,
        records: &BTreeMap<String, Versioned<SentRecord>>,
        value_kb: f64,
    ) -> (Self, HashMap<JobId, Sent>) {
        let mut sent_lists = Self {
            term,
            lists: BTreeMap::new(),
            naming: HashMap::new(),
            writing: BTreeSet::new(),
            given_out: 0,
            most_bytes: (value_kb * 1024.0 * FILL) as usize,
        };
        let mut said: HashMap<JobId, Sent> = HashMap::new();
        for (key, kept) in records {
            for (id, hosts) in &kept.record.jobs {
                let hosts = hosts.as_ref().map(|hosts| {
                    let names = hosts.iter().map(|host| MachineId(host.as_str().into()));
                    names.collect()
                });
                let more = hosts.map_or(Sent::Anywhere, Sent::Hosts);
                let sent = said.entry(id.clone()).or_insert_with(Sent::nowhere);
                sent.add(more);
            }
            let jobs = kept.record.jobs.iter().map(|(id, _)| id.clone());
            sent_lists.enter(key.clone(), kept.version, jobs.collect());
        }
        (sent_lists, said)
    }

    fn enter(&mut self, key: String, version: u64, jobs: BTreeSet<JobId>) {
        for id in &jobs {
            self.naming.entry(id.clone()).or_default().push(key.clone());
        }
        self.lists.insert(key, List { version, jobs });
    }

    /// The job is over: no list need name it any more.
    pub fn over(&mut self, id: &JobId) {
        for key in self.naming.remove(id).into_iter().flatten() {
            if let Some(list) = self.lists.get_mut(&key) {
                list.jobs.remove(id);
            }
        }
    }

    /// Strikes off what lists name of jobs that are over already.
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

    /// Whether another list may be written now.
    pub fn may_write(&self) -> bool {
        self.writing.len() < LISTS_IN_FLIGHT_MAX
    }

    /// Whether nothing of the lists is being written.
    pub fn at_rest(&self) -> bool {
        self.writing.is_empty()
    }

    /// A list of as many entries as fit a value, taken from `entries`.
    pub fn page(&mut self, entries: &mut Vec<Entry>) -> Option<Page> {
        let mut bytes = 0;
        let fitting = entries.iter().take_while(|(_, sent)| {
            bytes += ENTRY_BYTES + HOST_BYTES * sent.hosts().map_or(0, BTreeSet::len);
            bytes <= self.most_bytes
        });
        // One that is larger than that is within the limit on its own: its hosts are bounded.
        let count = fitting.count().max(1).min(entries.len());
        let entries: Vec<Entry> = entries.drain(..count).collect();
        if entries.is_empty() {
            return None;
        }
        let spare = self.spare().next().cloned();
        let key = spare.unwrap_or_else(|| {
            self.given_out += 1;
            keys::sent(self.term, self.given_out)
        });
        let record = SentRecord {
            jobs: entries
                .iter()
                .map(|(id, sent)| {
                    let names = sent.hosts().map(|hosts| {
                        let names = hosts.iter().map(|host| host.0.to_string());
                        names.collect()
                    });
                    (id.clone(), names)
                })
                .collect(),
        };
        let change = Change::put(key.clone(), to_value(&record));
        Some(self.write(key, entries, change))
    }

    /// A list that nobody needs, to be deleted.
    pub fn surplus(&mut self) -> Option<Page> {
        let key = self.spare().nth(EMPTY_LISTS_KEPT)?.clone();
        let change = Change::delete(key.clone());
        Some(self.write(key, Vec::new(), change))
    }

    fn write(&mut self, key: String, entries: Vec<Entry>, change: Change) -> Page {
        let version = self.lists.get(&key).map_or(0, |list| list.version);
        self.writing.insert(key.clone());
        Page {
            conditions: Condition::new(key.clone(), version),
            key,
            entries,
            change,
        }
    }

    fn spare(&self) -> impl Iterator<Item = &String> {
        let lists = self.lists.iter();
        let empty =
            lists.filter(|(key, list)| list.jobs.is_empty() && !self.writing.contains(*key));
        empty.map(|(key, _)| key)
    }

    /// Takes what became of a write: the version it has now, if it is known to have been applied.
    /// Of another one nothing is known: it may be applied yet, so its key is not used again.
    pub fn written(&mut self, key: &str, jobs: BTreeSet<JobId>, version: Option<u64>) {
        self.writing.remove(key);
        self.lists.remove(key);
        if let Some(version) = version.filter(|_| !jobs.is_empty()) {
            self.enter(key.to_owned(), version, jobs);
        }
    }
}

#[cfg(test)]
mod tests;
