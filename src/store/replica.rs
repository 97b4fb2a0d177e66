//! The replica of all records in this process. The watch keeps it complete up to one store revision.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::de::DeserializeOwned;

use super::keys::{
    self, CompletedTasksRecord, DispatchedJobsRecord, InventoryRecord, JobDescription, JobRecord,
    Key, LeaderRecord, MisdirectedRecord, TermRecord,
};
use super::{from_value, KeyValue, Value, WatchEvent};
use crate::model::{JobId, Term, Verdict};

/// A record with the version of its key.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The store revision at which the key was last written; 0 if the key does not exist.
    pub version: u64,
    /// The decoded record, or the part of it that this process needs.
    pub record: T,
}

/// The part of a [`JobRecord`] that remains after the job has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobVerdict {
    /// The verdict as of the revision at which the record was read.
    pub verdict: Verdict,
    /// Number of the job's tasks, for display.
    pub tasks: u32,
}

impl JobVerdict {
    /// Extracts the verdict from a job's record.
    pub fn from_record(record: &JobRecord) -> Self {
        Self {
            verdict: record.verdict,
            tasks: record.tasks,
        }
    }

    /// Whether the verdict can no longer change: only [`Verdict::Accepted`] can.
    pub fn is_final(&self) -> bool {
        self.verdict != Verdict::Accepted
    }
}

/// The result of a lookup of a verdict in the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VerdictState {
    /// The replica holds this verdict.
    Recorded(JobVerdict),
    /// No job with this id existed at the replica's revision.
    NoSuchJob,
    /// The replica holds no verdict, but may have evicted one.
    MayBeEvicted,
}

/// The records as of [`Replica::revision`].
#[derive(Debug, Default)]
pub struct Replica {
    /// The store revision up to which all changes are applied.
    pub revision: u64,
    /// Whether a complete read of all keys has been applied.
    pub loaded: bool,
    /// The leader's record; `None` while the key does not exist.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The highest term of any election, with the version of its key.
    pub term: Versioned<Term>,
    /// The operators' settings, undecoded, with the version of their key; `None` if none are recorded.
    pub settings: Versioned<Option<Value>>,
    /// All verdicts that may still change, and the newest final verdicts. Older ones have to be looked up
    /// in the store.
    pub jobs: HashMap<JobId, Versioned<JobVerdict>>,
    /// Jobs with a final verdict in `jobs`, the oldest first.
    final_verdicts: VecDeque<JobId>,
    /// Largest number of final verdicts kept; 0 for no limit. The store keeps verdicts without a time limit,
    /// and a process on a small machine must not run out of memory for them after weeks.
    final_verdicts_max: usize,
    /// Whether any verdict was evicted, so that a job without a verdict here may exist.
    has_evicted: bool,
    /// Descriptions of the jobs whose tasks may run.
    pub descriptions: BTreeMap<JobId, ReplicatedDescription>,
    /// Completed tasks, by job and number of the chunk.
    pub completed_tasks: BTreeMap<(JobId, usize), Versioned<CompletedTasksRecord>>,
    /// The machine inventory, by number of the shard.
    pub inventory: BTreeMap<usize, Versioned<InventoryRecord>>,
    /// Versions of the counts of misdirected heartbeats, by name of the controller.
    pub misdirected_versions: BTreeMap<String, u64>,
    /// The dispatch records, by full key. They name the machines to which starts may have been sent.
    pub dispatch_records: BTreeMap<String, Versioned<DispatchedJobsRecord>>,
}

/// A job's description in the replica.
#[derive(Debug, Clone)]
pub struct ReplicatedDescription {
    /// The version of the key that holds the description.
    pub version: u64,
    /// The description as last written.
    pub record: JobDescription,
    /// Whether the description has a key of its own, as versions up to 0.3.0 wrote it, instead of being
    /// part of the [`JobRecord`].
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

/// A change of the replica that the [observer](super::observer::StoreObserver) is notified of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaChange {
    /// The verdict on this job or its description may have changed.
    Job(JobId),
    /// The leader's record may have changed, or was deleted.
    Leader,
    /// The operators' settings may have changed.
    Settings,
    /// The controller with this name recorded this count of misdirected heartbeats.
    Misdirected(String, u64),
}

impl Replica {
    /// Creates an empty replica that keeps at most this many final verdicts; 0 for no limit.
    pub fn with_final_verdicts_max(final_verdicts_max: usize) -> Self {
        Self {
            final_verdicts_max,
            ..Self::default()
        }
    }

    /// Replaces the contents by the keys of a complete read. Returns the changes, which include all jobs
    /// from before and after the read.
    pub fn load(&mut self, keys_read: Vec<KeyValue>, revision: u64) -> Vec<ReplicaChange> {
        let mut job_ids: Vec<JobId> = self.jobs.keys().cloned().collect();
        let final_verdicts_max = self.final_verdicts_max;
        *self = Replica::default();
        let mut changes = vec![ReplicaChange::Leader, ReplicaChange::Settings];
        for read in keys_read {
            self.put(&read.key, &read.value, read.version);
        }
        // A description exempts the job's verdict from eviction, so that eviction has to wait until all
        // descriptions are loaded.
        self.final_verdicts_max = final_verdicts_max;
        self.evict_final_verdicts();
        job_ids.extend(self.jobs.keys().cloned());
        job_ids.sort();
        job_ids.dedup();
        changes.extend(job_ids.into_iter().map(ReplicaChange::Job));
        self.revision = revision;
        self.loaded = true;
        changes
    }

    /// Applies the changes that a watch or a read delivered up to `revision`.
    pub fn apply(&mut self, events: &[WatchEvent], revision: u64) -> Vec<ReplicaChange> {
        let mut changes = Vec::new();
        let applied_revision = self.revision;
        // Two requests may deliver the same changes, and the older response may arrive last. A change that
        // has been applied already must not overwrite a later one.
        for event in events.iter().filter(|e| e.version > applied_revision) {
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
            Key::Description(id) => self.put_own_description(id, from_value(value)?, version),
            Key::CompletedTasks(id, chunk) => {
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
                self.misdirected_versions.insert(member.clone(), version);
                Some(ReplicaChange::Misdirected(member, record.count))
            }
            Key::Dispatch(key) => {
                self.dispatch_records
                    .insert(key, versioned(value, version)?);
                None
            }
        }
    }

    fn put_job(&mut self, id: JobId, record: JobRecord, version: u64) -> Option<ReplicaChange> {
        // After a load in pages the watch repeats earlier changes. An older version must not replace a newer
        // one.
        let outdated = self.jobs.get(&id).is_some_and(|old| old.version >= version);
        if outdated {
            return Some(ReplicaChange::Job(id));
        }
        let verdict = JobVerdict::from_record(&record);
        let versioned_verdict = Versioned {
            version,
            record: verdict,
        };
        self.jobs.insert(id.clone(), versioned_verdict);
        self.put_record_description(&id, record.description, version);
        if verdict.is_final() {
            self.final_verdicts.push_back(id.clone());
            self.evict_final_verdicts();
        }
        Some(ReplicaChange::Job(id))
    }

    /// Applies the description in a job's record, or its absence. A description that has a key of its own is
    /// not removed when the record has none.
    fn put_record_description(
        &mut self,
        id: &JobId,
        in_record: Option<JobDescription>,
        version: u64,
    ) {
        if let Some(record) = in_record {
            let description = ReplicatedDescription {
                version,
                record,
                has_own_key: false,
            };
            self.descriptions.insert(id.clone(), description);
        } else if self
            .descriptions
            .get(id)
            .is_some_and(|description| !description.has_own_key)
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
            let description = ReplicatedDescription {
                version,
                record,
                has_own_key: true,
            };
            self.descriptions.insert(id.clone(), description);
        }
        Some(ReplicaChange::Job(id))
    }

    fn delete(&mut self, key: &str, version: u64) -> Option<ReplicaChange> {
        match keys::parse(key)? {
            Key::Leader => {
                self.leader = None;
                Some(ReplicaChange::Leader)
            }
            Key::Description(id) => {
                if self
                    .descriptions
                    .get(&id)
                    .is_some_and(|old| old.version < version)
                {
                    self.descriptions.remove(&id);
                }
                Some(ReplicaChange::Job(id))
            }
            Key::CompletedTasks(id, chunk) => {
                self.completed_tasks.remove(&(id, chunk));
                None
            }
            Key::Inventory(shard) => {
                self.inventory.remove(&shard);
                None
            }
            Key::Dispatch(key) => {
                self.dispatch_records.remove(&key);
                None
            }
            // No controller deletes these keys.
            Key::Term | Key::Settings | Key::Job(_) | Key::Misdirected(_) => None,
        }
    }

    /// Evicts the oldest final verdicts in excess of the limit, except those of jobs with a description.
    fn evict_final_verdicts(&mut self) {
        if self.final_verdicts_max == 0 {
            return;
        }
        for _ in self.final_verdicts_max..self.final_verdicts.len() {
            let Some(oldest) = self.final_verdicts.pop_front() else {
                return;
            };
            if self.descriptions.contains_key(&oldest) {
                // A task of this job may still run, in which case the leader needs the verdict.
                self.final_verdicts.push_back(oldest);
            } else {
                self.jobs.remove(&oldest);
                self.has_evicted = true;
            }
        }
    }

    /// Looks up the verdict on a job.
    pub fn verdict(&self, id: &JobId) -> VerdictState {
        match self.jobs.get(id) {
            Some(job) => VerdictState::Recorded(job.record),
            None if self.has_evicted => VerdictState::MayBeEvicted,
            None => VerdictState::NoSuchJob,
        }
    }

    /// The version of a chunk of completed tasks; 0 if there is no record.
    pub fn completed_tasks_version(&self, id: &JobId, chunk: usize) -> u64 {
        let entry = self.completed_tasks.get(&(id.clone(), chunk));
        entry.map_or(0, |entry| entry.version)
    }

    /// The version of a shard of the machine inventory; 0 if there is no record.
    pub fn inventory_version(&self, shard: usize) -> u64 {
        self.inventory.get(&shard).map_or(0, |entry| entry.version)
    }

    /// The version of a controller's count of misdirected heartbeats; 0 if there is no record.
    pub fn misdirected_version(&self, member: &str) -> u64 {
        self.misdirected_versions.get(member).copied().unwrap_or(0)
    }

    /// The recorded chunks of a job's completed tasks, by their number. A new leader recovers from them.
    pub fn completed_task_chunks<'a>(
        &'a self,
        id: &'a JobId,
    ) -> impl Iterator<Item = (usize, &'a CompletedTasksRecord)> + 'a {
        self.completed_tasks
            .range((id.clone(), 0)..=(id.clone(), usize::MAX))
            .map(|((_, chunk), entry)| (*chunk, &entry.record))
    }
}

fn versioned<T: DeserializeOwned>(value: &Value, version: u64) -> Option<Versioned<T>> {
    from_value(value).map(|record| Versioned { version, record })
}

#[cfg(test)]
mod tests;
