//! What this node knows of our records: everything up to one revision, from the watch.

use std::collections::{BTreeMap, HashMap, VecDeque};

use super::keys::{
    self, DoneRecord, InventoryRecord, JobRecord, Key, LeaderRecord, LiveRecord, MisdirectedRecord,
    SentRecord,
};
use super::{from_value, Event, Row, Value};
use crate::model::{JobId, Term, Verdict};

/// A record with its version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The version.
    pub version: u64,
    /// The record.
    pub record: T,
}

/// The records as of [`Replica::revision`].
#[derive(Debug, Default)]
pub struct Replica {
    /// All changes up to this one are in.
    pub revision: u64,
    /// Whether the first reading is complete.
    pub loaded: bool,
    /// Who leads.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// Highest term and the version of its key.
    pub term: Versioned<Term>,
    /// Operators' settings as they stand, and the version of their key.
    pub settings: Versioned<Option<Value>>,
    /// Verdicts: all that may still change, and the latest final ones. Of others the state service
    /// has to be asked.
    pub jobs: HashMap<JobId, Versioned<(Verdict, u32)>>,
    /// The final ones, oldest first.
    over: VecDeque<JobId>,
    /// Final verdicts kept at most; 0: all. They are kept for ever by the state service, and a
    /// small machine that runs for weeks must not be ended for them.
    most_over: usize,
    /// Whether any was let go: then not finding a job here says nothing.
    pub trimmed: bool,
    /// Descriptions.
    pub live: BTreeMap<JobId, Live>,
    /// Completed tasks.
    pub done: BTreeMap<(JobId, usize), Versioned<DoneRecord>>,
    /// Machines that may hold tasks.
    pub inventory: BTreeMap<usize, Versioned<InventoryRecord>>,
    /// Versions of what nodes said of the workers that report to them in vain.
    pub misdirected: BTreeMap<String, u64>,
    /// Where starts may have been sent, by key.
    pub sent: BTreeMap<String, Versioned<SentRecord>>,
}

/// A job's description as the records have it.
#[derive(Debug, Clone)]
pub struct Live {
    /// The version of its key.
    pub version: u64,
    /// The description.
    pub record: LiveRecord,
    /// Whether it has a key of its own, as versions up to 0.3.0 wrote it.
    pub has_own_key: bool,
}

impl<T: Default> Default for Versioned<T> {
    fn default() -> Self {
        Self {
            version: 0,
            record: T::default(),
        }
    }
}

/// What a leader has to hear of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaChange {
    /// This job's records changed.
    Job(JobId),
    /// Who leads changed.
    Leader,
    /// Operators' settings changed.
    Settings,
    /// A node says how many workers it has sent elsewhere.
    Misdirected(String, u64),
}

impl Replica {
    /// An empty one that keeps so many final verdicts at most.
    pub fn keeping(most_over: usize) -> Self {
        Self {
            most_over,
            ..Self::default()
        }
    }

    /// Starts over from a full reading.
    pub fn load(&mut self, rows: Vec<Row>, revision: u64) -> Vec<ReplicaChange> {
        let mut before: Vec<JobId> = self.jobs.keys().cloned().collect();
        let most_over = self.most_over;
        *self = Replica::default();
        let mut news = vec![ReplicaChange::Leader, ReplicaChange::Settings];
        for row in rows {
            self.put(&row.key, &row.value, row.version);
        }
        // Only now is it known of which jobs there is more than a verdict.
        self.most_over = most_over;
        self.trim();
        before.extend(self.jobs.keys().cloned());
        before.sort();
        before.dedup();
        news.extend(before.into_iter().map(ReplicaChange::Job));
        self.revision = revision;
        self.loaded = true;
        news
    }

    /// Takes what the watch brought.
    pub fn apply(&mut self, events: &[Event], revision: u64) -> Vec<ReplicaChange> {
        let mut news = Vec::new();
        let before = self.revision;
        // Two requests may bring the same changes, the older answer last: what is in already
        // must not come again over what came after it.
        for event in events.iter().filter(|e| e.version > before) {
            let told = match (&event.put, &event.delete, &event.value) {
                (Some(key), _, Some(value)) => self.put(key, value, event.version),
                (None, Some(key), _) => self.delete(key, event.version),
                _ => None,
            };
            news.extend(told.filter(|told| news.last() != Some(told)));
        }
        self.revision = self.revision.max(revision);
        news
    }

    fn put(&mut self, key: &str, value: &Value, version: u64) -> Option<ReplicaChange> {
        match keys::parse(key)? {
            Key::Leader => {
                self.leader = from_value(value).map(|record| Versioned { version, record });
                Some(ReplicaChange::Leader)
            }
            Key::Term => {
                let record: keys::TermRecord = from_value(value)?;
                self.term = Versioned {
                    version,
                    record: record.term,
                };
                None
            }
            Key::Settings => {
                self.settings = Versioned {
                    version,
                    record: Some(value.clone()),
                };
                Some(ReplicaChange::Settings)
            }
            Key::Job(id) => {
                let read: JobRecord = from_value(value)?;
                // After a first reading in pages the watch repeats changes; older ones lose.
                if self.jobs.get(&id).is_none_or(|old| old.version < version) {
                    let record = (read.verdict, read.tasks);
                    self.jobs.insert(id.clone(), Versioned { version, record });
                    if let Some(record) = read.live {
                        let live = Live {
                            version,
                            record,
                            has_own_key: false,
                        };
                        self.live.insert(id.clone(), live);
                    } else if self.live.get(&id).is_some_and(|live| !live.has_own_key) {
                        self.live.remove(&id);
                    }
                    if read.verdict != Verdict::Accepted {
                        self.over.push_back(id.clone());
                        self.trim();
                    }
                }
                Some(ReplicaChange::Job(id))
            }
            Key::Live(id) => {
                let record: LiveRecord = from_value(value)?;
                if self.live.get(&id).is_none_or(|old| old.version < version) {
                    let live = Live {
                        version,
                        record,
                        has_own_key: true,
                    };
                    self.live.insert(id.clone(), live);
                }
                Some(ReplicaChange::Job(id))
            }
            Key::Done(id, chunk) => {
                let record: DoneRecord = from_value(value)?;
                self.done.insert((id, chunk), Versioned { version, record });
                None
            }
            Key::Inventory(shard) => {
                let record: InventoryRecord = from_value(value)?;
                self.inventory.insert(shard, Versioned { version, record });
                None
            }
            Key::Misdirected(member) => {
                let record: MisdirectedRecord = from_value(value)?;
                self.misdirected.insert(member.clone(), version);
                Some(ReplicaChange::Misdirected(member, record.count))
            }
            Key::Sent(key) => {
                let record: SentRecord = from_value(value)?;
                self.sent.insert(key, Versioned { version, record });
                None
            }
        }
    }

    fn delete(&mut self, key: &str, version: u64) -> Option<ReplicaChange> {
        match keys::parse(key)? {
            Key::Leader => {
                self.leader = None;
                Some(ReplicaChange::Leader)
            }
            Key::Live(id) => {
                if self.live.get(&id).is_some_and(|old| old.version < version) {
                    self.live.remove(&id);
                }
                Some(ReplicaChange::Job(id))
            }
            Key::Done(id, chunk) => {
                self.done.remove(&(id, chunk));
                None
            }
            Key::Inventory(shard) => {
                self.inventory.remove(&shard);
                None
            }
            Key::Sent(key) => {
                self.sent.remove(&key);
                None
            }
            // These are never deleted by us.
            Key::Term | Key::Settings | Key::Job(_) | Key::Misdirected(_) => None,
        }
    }

    /// Lets the oldest final verdicts go, beyond the bound, of which nothing is under way.
    fn trim(&mut self) {
        if self.most_over == 0 {
            return;
        }
        for _ in self.most_over..self.over.len() {
            let Some(oldest) = self.over.pop_front() else {
                return;
            };
            if self.live.contains_key(&oldest) {
                // Its tasks may be somewhere still; the leader needs its verdict.
                self.over.push_back(oldest);
            } else {
                self.jobs.remove(&oldest);
                self.trimmed = true;
            }
        }
    }

    /// The version of a job's verdict; 0: there is none.
    pub fn job_version(&self, id: &JobId) -> u64 {
        self.jobs.get(id).map_or(0, |job| job.version)
    }

    /// A job's verdict, if it is known here: nothing is known of one that is not, where older
    /// verdicts were let go.
    pub fn verdict(&self, id: &JobId) -> Option<Option<(Verdict, u32)>> {
        match self.jobs.get(id) {
            Some(job) => Some(Some(job.record)),
            None if self.trimmed => None,
            None => Some(None),
        }
    }

    /// The version of a chunk of completed tasks; 0: there is none.
    pub fn done_version(&self, id: &JobId, chunk: usize) -> u64 {
        let kept = self.done.get(&(id.clone(), chunk));
        kept.map_or(0, |kept| kept.version)
    }

    /// The version of a shard of the roster; 0: there is none.
    pub fn inventory_version(&self, shard: usize) -> u64 {
        self.inventory.get(&shard).map_or(0, |kept| kept.version)
    }

    /// The version of what a node said of the workers that report to it in vain; 0: nothing.
    pub fn misdirected_version(&self, member: &str) -> u64 {
        self.misdirected.get(member).copied().unwrap_or(0)
    }

    /// The completed tasks of a job, for taking over.
    pub fn done_chunks<'a>(
        &'a self,
        id: &'a JobId,
    ) -> impl Iterator<Item = (usize, &'a DoneRecord)> + 'a {
        self.done
            .range((id.clone(), 0)..=(id.clone(), usize::MAX))
            .map(|((_, chunk), kept)| (*chunk, &kept.record))
    }
}

#[cfg(test)]
mod tests;
