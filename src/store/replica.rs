//! The replica of all records in this process: complete up to one revision, by the watch.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::de::DeserializeOwned;

use super::keys::{
    self, CompletedTasksRecord, DispatchedJobsRecord, InventoryRecord, JobDescription, JobRecord,
    Key, LeaderRecord, MisdirectedRecord, TermRecord,
};
use super::{from_value, KeyValue, Value, WatchEvent};
use crate::model::{JobId, Term, Verdict};

/// A record with its version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The version.
    pub version: u64,
    /// The record.
    pub record: T,
}

/// The verdict on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobVerdict {
    /// The verdict.
    pub verdict: Verdict,
    /// Number of the job's tasks.
    pub tasks: u32,
}

impl JobVerdict {
    /// The verdict in a job's record.
    pub fn of(record: &JobRecord) -> Self {
        Self {
            verdict: record.verdict,
            tasks: record.tasks,
        }
    }

    /// Whether it never changes again.
    pub fn is_final(&self) -> bool {
        self.verdict != Verdict::Accepted
    }
}

/// What the replica knows of the verdict on a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictState {
    /// There is this verdict.
    Recorded(JobVerdict),
    /// There is no such job.
    NoSuchJob,
    /// There is no verdict in the replica, but one may have been evicted.
    MayBeEvicted,
}

/// The records as of [`Replica::revision`].
#[derive(Debug, Default)]
pub struct Replica {
    /// All changes up to this revision are applied.
    pub revision: u64,
    /// Whether all keys were read once.
    pub loaded: bool,
    /// The leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The highest term and the version of its key.
    pub term: Versioned<Term>,
    /// The operators' settings and the version of their key.
    pub settings: Versioned<Option<Value>>,
    /// Verdicts: all that may still change, and the latest final ones. Others have to be looked up in
    /// the store.
    pub jobs: HashMap<JobId, Versioned<JobVerdict>>,
    /// Jobs with a final verdict, the oldest first.
    final_verdicts: VecDeque<JobId>,
    /// Bound on the final verdicts kept; 0: no bound. The store keeps them for ever, and a small
    /// machine must not run out of memory for them after weeks.
    final_verdicts_max: usize,
    /// Whether any was evicted: then a job without a verdict here may exist.
    has_evicted: bool,
    /// Descriptions of jobs with tasks that may run.
    pub descriptions: BTreeMap<JobId, ReplicatedDescription>,
    /// Completed tasks.
    pub completed_tasks: BTreeMap<(JobId, usize), Versioned<CompletedTasksRecord>>,
    /// The machine inventory, by shard.
    pub inventory: BTreeMap<usize, Versioned<InventoryRecord>>,
    /// Versions of the controllers' counts of misdirected heartbeats.
    pub misdirected: BTreeMap<String, u64>,
    /// The dispatch records, by key: where starts may have been sent.
    pub dispatch_records: BTreeMap<String, Versioned<DispatchedJobsRecord>>,
}

/// The description of a job.
#[derive(Debug, Clone)]
pub struct ReplicatedDescription {
    /// The version of its key.
    pub version: u64,
    /// The description.
    pub record: JobDescription,
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

/// A change that others have to be notified of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaChange {
    /// This job's records changed.
    Job(JobId),
    /// The leader changed.
    Leader,
    /// The operators' settings changed.
    Settings,
    /// A controller recorded this count of misdirected heartbeats.
    Misdirected(String, u64),
}

impl Replica {
    /// An empty replica that keeps at most so many final verdicts.
    pub fn with_final_verdicts_max(final_verdicts_max: usize) -> Self {
        Self {
            final_verdicts_max,
            ..Self::default()
        }
    }

    /// Replaces everything by the keys of a complete read.
    pub fn load(&mut self, keys_read: Vec<KeyValue>, revision: u64) -> Vec<ReplicaChange> {
        let mut before: Vec<JobId> = self.jobs.keys().cloned().collect();
        let final_verdicts_max = self.final_verdicts_max;
        *self = Replica::default();
        let mut changes = vec![ReplicaChange::Leader, ReplicaChange::Settings];
        for read in keys_read {
            self.put(&read.key, &read.value, read.version);
        }
        // Only now all descriptions are known, which keep verdicts from eviction.
        self.final_verdicts_max = final_verdicts_max;
        self.evict_final_verdicts();
        before.extend(self.jobs.keys().cloned());
        before.sort();
        before.dedup();
        changes.extend(before.into_iter().map(ReplicaChange::Job));
        self.revision = revision;
        self.loaded = true;
        changes
    }

    /// Applies the changes that the watch delivered.
    pub fn apply(&mut self, events: &[WatchEvent], revision: u64) -> Vec<ReplicaChange> {
        let mut changes = Vec::new();
        let before = self.revision;
        // Two requests may deliver the same changes, the older response last: a change that is applied
        // already must not overwrite later ones.
        for event in events.iter().filter(|e| e.version > before) {
            let change = match (&event.put_key, &event.deleted_key, &event.value) {
                (Some(key), _, Some(value)) => self.put(key, value, event.version),
                (None, Some(key), _) => self.delete(key, event.version),
                _ => None,
            };
            changes.extend(change.filter(|change| changes.last() != Some(change)));
        }
        self.revision = self.revision.max(revision);
        changes
    }

    fn put(&mut self, key: &str, value: &Value, version: u64) -> Option<ReplicaChange> {
        match keys::parse(key)? {
            Key::Leader => {
                self.leader = versioned(value, version);
                Some(ReplicaChange::Leader)
            }
            Key::Term => {
                let record: TermRecord = from_value(value)?;
                self.term = Versioned {
                    version,
                    record: record.term,
                };
                None
            }
            Key::Settings => {
                let record = Some(value.clone());
                self.settings = Versioned { version, record };
                Some(ReplicaChange::Settings)
            }
            Key::Job(id) => self.put_job(id, from_value(value)?, version),
            Key::Live(id) => self.put_own_description(id, from_value(value)?, version),
            Key::Done(id, chunk) => {
                self.completed_tasks
                    .insert((id, chunk), versioned(value, version)?);
                None
            }
            Key::Inventory(shard) => {
                self.inventory.insert(shard, versioned(value, version)?);
                None
            }
            Key::Misdirected(member) => {
                let record: MisdirectedRecord = from_value(value)?;
                self.misdirected.insert(member.clone(), version);
                Some(ReplicaChange::Misdirected(member, record.count))
            }
            Key::Sent(key) => {
                self.dispatch_records
                    .insert(key, versioned(value, version)?);
                None
            }
        }
    }

    fn put_job(&mut self, id: JobId, record: JobRecord, version: u64) -> Option<ReplicaChange> {
        // After a load in pages the watch repeats changes, and an older version must not replace a
        // newer one.
        let outdated = self.jobs.get(&id).is_some_and(|old| old.version >= version);
        if outdated {
            return Some(ReplicaChange::Job(id));
        }
        let verdict = JobVerdict::of(&record);
        let versioned_verdict = Versioned {
            version,
            record: verdict,
        };
        self.jobs.insert(id.clone(), versioned_verdict);
        self.put_description_of_record(&id, record.description, version);
        if verdict.is_final() {
            self.final_verdicts.push_back(id.clone());
            self.evict_final_verdicts();
        }
        Some(ReplicaChange::Job(id))
    }

    /// Takes the description in a job's record; one with a key of its own does not depend on that record.
    fn put_description_of_record(
        &mut self,
        id: &JobId,
        live: Option<JobDescription>,
        version: u64,
    ) {
        if let Some(record) = live {
            let live = ReplicatedDescription {
                version,
                record,
                has_own_key: false,
            };
            self.descriptions.insert(id.clone(), live);
        } else if self
            .descriptions
            .get(id)
            .is_some_and(|live| !live.has_own_key)
        {
            self.descriptions.remove(id);
        }
    }

    fn put_own_description(
        &mut self,
        id: JobId,
        record: JobDescription,
        version: u64,
    ) -> Option<ReplicaChange> {
        if self
            .descriptions
            .get(&id)
            .is_none_or(|old| old.version < version)
        {
            let live = ReplicatedDescription {
                version,
                record,
                has_own_key: true,
            };
            self.descriptions.insert(id.clone(), live);
        }
        Some(ReplicaChange::Job(id))
    }

    fn delete(&mut self, key: &str, version: u64) -> Option<ReplicaChange> {
        match keys::parse(key)? {
            Key::Leader => {
                self.leader = None;
                Some(ReplicaChange::Leader)
            }
            Key::Live(id) => {
                if self
                    .descriptions
                    .get(&id)
                    .is_some_and(|old| old.version < version)
                {
                    self.descriptions.remove(&id);
                }
                Some(ReplicaChange::Job(id))
            }
            Key::Done(id, chunk) => {
                self.completed_tasks.remove(&(id, chunk));
                None
            }
            Key::Inventory(shard) => {
                self.inventory.remove(&shard);
                None
            }
            Key::Sent(key) => {
                self.dispatch_records.remove(&key);
                None
            }
            // No controller deletes these.
            Key::Term | Key::Settings | Key::Job(_) | Key::Misdirected(_) => None,
        }
    }

    /// Evicts the oldest final verdicts beyond the bound, of jobs without a description.
    fn evict_final_verdicts(&mut self) {
        if self.final_verdicts_max == 0 {
            return;
        }
        for _ in self.final_verdicts_max..self.final_verdicts.len() {
            let Some(oldest) = self.final_verdicts.pop_front() else {
                return;
            };
            if self.descriptions.contains_key(&oldest) {
                // A task of it may run somewhere still, and then the leader needs the verdict.
                self.final_verdicts.push_back(oldest);
            } else {
                self.jobs.remove(&oldest);
                self.has_evicted = true;
            }
        }
    }

    /// The version of a job's verdict; 0: there is none.
    pub fn job_version(&self, id: &JobId) -> u64 {
        self.jobs.get(id).map_or(0, |job| job.version)
    }

    /// The state of the verdict on a job.
    pub fn verdict(&self, id: &JobId) -> VerdictState {
        match self.jobs.get(id) {
            Some(job) => VerdictState::Recorded(job.record),
            None if self.has_evicted => VerdictState::MayBeEvicted,
            None => VerdictState::NoSuchJob,
        }
    }

    /// The version of a chunk of completed tasks; 0: there is none.
    pub fn completed_tasks_version(&self, id: &JobId, chunk: usize) -> u64 {
        let kept = self.completed_tasks.get(&(id.clone(), chunk));
        kept.map_or(0, |kept| kept.version)
    }

    /// The version of a shard of the machine inventory; 0: there is none.
    pub fn inventory_version(&self, shard: usize) -> u64 {
        self.inventory.get(&shard).map_or(0, |kept| kept.version)
    }

    /// The version of a controller's count of misdirected heartbeats; 0: there is none.
    pub fn misdirected_version(&self, member: &str) -> u64 {
        self.misdirected.get(member).copied().unwrap_or(0)
    }

    /// The chunks of completed tasks of a job, for recovery.
    pub fn completed_task_chunks<'a>(
        &'a self,
        id: &'a JobId,
    ) -> impl Iterator<Item = (usize, &'a CompletedTasksRecord)> + 'a {
        self.completed_tasks
            .range((id.clone(), 0)..=(id.clone(), usize::MAX))
            .map(|((_, chunk), kept)| (*chunk, &kept.record))
    }
}

fn versioned<T: DeserializeOwned>(value: &Value, version: u64) -> Option<Versioned<T>> {
    from_value(value).map(|record| Versioned { version, record })
}

#[cfg(test)]
mod tests;
