//! The records that have to be in the store before something else may happen.
//!
//! Written per job and per batch, never per task: where starts may go before they are dispatched,
//! the completed tasks before their `clear`, the verdict, and the machine inventory.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

use super::dispatch_log::{DispatchEntry, DispatchPage};
use super::machine::Persistence;
use super::quota::blocked_by;
use super::{Cluster, Job};
use crate::model::{JobId, MachineId, Priority, Verdict};
use crate::store::keys::{self, DoneRecord, InventoryRecord, JobRecord};
use crate::store::replica::{Replica, Versioned};
use crate::store::{to_value, Change, Condition, Transaction, TransactionOutcome, WritePriority};

/// Time between two writes of a job's completed tasks while it has others: the machines keep the
/// results until then, and a large array would otherwise write all of them with every scheduling cycle.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two dispatch records that name only jobs of the lowest priority: the starts of
/// many jobs gather.
const LOW_DISPATCH_INTERVAL: Duration = Duration::from_millis(800);

/// Bytes a machine's name takes in a shard, envelope included.
const NAME_BYTES: f64 = 32.0;
/// Part of a value that a shard fills.
const SHARD_FILL: f64 = 0.5;

/// The machines that may hold tasks, in shards that each fit a value.
#[derive(Debug, Default)]
pub struct MachineInventory {
    shards: BTreeMap<usize, BTreeSet<MachineId>>,
    capacity: usize,
    /// Shards that the records don't show as they are. Terminated machines are removed as
    /// promptly as others are added: a new leader waits for every machine named.
    dirty: BTreeSet<usize>,
    writing: BTreeSet<usize>,
}

impl MachineInventory {
    /// From the records.
    pub fn load(records: &BTreeMap<usize, Versioned<InventoryRecord>>, value_kb: f64) -> Self {
        let shards = records
            .iter()
            .map(|(shard, record)| {
                let names = record.record.machines.iter();
                let names = names.map(|name| MachineId(name.as_str().into()));
                (*shard, names.collect())
            })
            .collect();
        let capacity = (value_kb * 1024.0 * SHARD_FILL / NAME_BYTES).max(1.0) as usize;
        Self {
            shards,
            capacity,
            ..Self::default()
        }
    }

    /// All machines named.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.shards.values().flatten()
    }

    fn add(&mut self, id: &MachineId) {
        if self.shards.values().any(|shard| shard.contains(id)) {
            return;
        }
        let free = self.shards.iter().find(|(_, s)| s.len() < self.capacity);
        let next = self.shards.keys().next_back().map_or(0, |last| last + 1);
        let shard = free.map_or(next, |(shard, _)| *shard);
        self.shards.entry(shard).or_default().insert(id.clone());
        self.dirty.insert(shard);
    }

    /// The machine is confirmed terminated. The record follows with the next write.
    pub fn remove(&mut self, id: &MachineId) {
        for (shard, names) in &mut self.shards {
            if names.remove(id) {
                self.dirty.insert(*shard);
            }
        }
    }

    fn due(&mut self) -> Vec<(usize, Vec<MachineId>)> {
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
}

/// What a write is for, so that its outcome can be taken in.
#[derive(Debug, Clone)]
pub enum RecordKind {
    /// A dispatch record: jobs with where starts of them may be sent. Without jobs, it is deleted.
    Dispatch {
        /// Its key.
        key: String,
        /// The jobs.
        entries: Vec<DispatchEntry>,
    },
    /// A chunk of the job's completed tasks.
    Progress {
        /// The job.
        job: JobId,
        /// The number of the chunk.
        chunk: usize,
        /// The completed tasks in it, see [`super::done::DoneSet::encode`].
        digits: String,
    },
    /// The verdict `done`; the job's other records are deleted with it.
    Finished {
        /// The job.
        job: JobId,
    },
    /// A cancelled job's records are deleted.
    Retired {
        /// The job.
        job: JobId,
    },
    /// A shard of the machine inventory.
    Inventory {
        /// The number of the shard.
        shard: usize,
        /// The machines in it.
        machines: Vec<MachineId>,
    },
}

/// A write the cluster state waits for.
#[derive(Debug, Clone)]
pub struct RecordWrite {
    /// What it is for.
    pub kind: RecordKind,
    /// Conditions and changes; the leader's own condition is added by who sends it.
    pub transaction: Transaction,
    /// What it may go before.
    pub priority: WritePriority,
}

/// The changes that delete a job's records, but for its verdict.
fn delete_records(id: &JobId, job: &Job, verdict: Verdict) -> Vec<Change> {
    let record = JobRecord::bare(verdict, job.spec.tasks);
    let mut apply = vec![Change::put(keys::job(id), to_value(&record))];
    if job.has_own_key {
        apply.push(Change::delete(keys::live(id)));
    }
    let chunks = (0..job.done.chunks()).filter(|c| job.done.chunk_written(*c));
    apply.extend(chunks.map(|chunk| Change::delete(keys::done(id, chunk))));
    apply
}

/// Dispatches that are to be recorded, by the urgency of their jobs.
type DueDispatches = BTreeMap<WritePriority, Vec<DispatchEntry>>;

/// How soon starts of such jobs have to be dispatched.
fn urgency_of(priority: Priority) -> WritePriority {
    if priority == Priority::BestEffort {
        WritePriority::Low
    } else {
        WritePriority::High
    }
}

/// The write by which a job ends in the records, if it is due.
fn verdict_write(id: &JobId, job: &Job, blocked: bool) -> Option<RecordWrite> {
    let all_done = job.done.len() == job.spec.tasks;
    let (kind, verdict, urgency) = match job.verdict {
        Verdict::Accepted if all_done && !job.has_placements() => (
            RecordKind::Finished { job: id.clone() },
            Verdict::Done,
            WritePriority::High,
        ),
        Verdict::Cancelled if !(job.has_placements() || blocked) => (
            RecordKind::Retired { job: id.clone() },
            Verdict::Cancelled,
            WritePriority::Progress,
        ),
        Verdict::Accepted | Verdict::Cancelled | Verdict::Done => return None,
    };
    let conditions = vec![Condition::new(keys::job(id), job.version)];
    Some(RecordWrite {
        kind,
        transaction: Transaction::new(conditions, delete_records(id, job, verdict)),
        priority: urgency,
    })
}

/// The versions of records by which a write is conditional: the later of our own and the replica's.
struct KnownVersions<'a> {
    own: &'a HashMap<String, u64>,
    replica: &'a Replica,
}

impl KnownVersions<'_> {
    fn own(&self, key: &str) -> u64 {
        self.own.get(key).copied().unwrap_or(0)
    }

    fn of_chunk(&self, key: &str, id: &JobId, chunk: usize) -> u64 {
        self.own(key).max(self.replica.done_version(id, chunk))
    }

    fn of_shard(&self, key: &str, shard: usize) -> u64 {
        self.own(key).max(self.replica.inventory_version(shard))
    }
}

/// The write of a chunk of completed tasks, if one is due.
fn progress_write(
    id: &JobId,
    job: &mut Job,
    versions: &KnownVersions,
    now: Instant,
) -> Option<RecordWrite> {
    let rested = job
        .progress_written_at
        .is_none_or(|at| now.saturating_duration_since(at) >= PROGRESS_INTERVAL);
    let chunk = job.done.dirty_chunk().filter(|_| rested)?;
    job.progress_written_at = Some(now);
    let digits = job.done.encode(chunk);
    let record = DoneRecord {
        bits: digits.clone(),
    };
    let key = keys::done(id, chunk);
    let version = versions.of_chunk(&key, id, chunk);
    let conditions = vec![
        Condition::new(keys::job(id), job.version),
        Condition::new(key.clone(), version),
    ];
    Some(RecordWrite {
        kind: RecordKind::Progress {
            job: id.clone(),
            chunk,
            digits,
        },
        transaction: Transaction::new(conditions, vec![Change::put(key, to_value(&record))]),
        priority: WritePriority::Progress,
    })
}

impl Cluster {
    /// The writes that are due. Each is marked as under way until
    /// [`Cluster::apply_write_outcome`] takes its outcome.
    ///
    /// A write of a chunk or a shard replaces the one before, so it is conditional on the
    /// version before: a write that got no answer may be applied minutes late, and must not
    /// then undo a newer one.
    pub fn due_writes(&mut self, replica: &Replica, now: Instant) -> Vec<RecordWrite> {
        let mut writes = Vec::new();
        let dispatches = self.due_job_writes(replica, &mut writes, now);
        self.due_dispatch_writes(dispatches, &mut writes, now);
        self.due_inventory_writes(replica, &mut writes);
        writes
    }

    /// Adds the writes of verdicts and of progress; the dispatches that are to be recorded.
    fn due_job_writes(
        &mut self,
        replica: &Replica,
        writes: &mut Vec<RecordWrite>,
        now: Instant,
    ) -> DueDispatches {
        let mut dispatches = DueDispatches::new();
        let versions = KnownVersions {
            own: &self.written_versions,
            replica,
        };
        for (id, job) in &mut self.jobs {
            // What is cancelled without the replica showing it will be seen to in a moment.
            let cancelling = job.cancellation_requested && job.verdict == Verdict::Accepted;
            if job.writing || cancelling {
                continue;
            }
            let blocked = blocked_by(&self.unreconciled, &self.machines, job);
            let mut write = verdict_write(id, job, blocked);
            if write.is_none() && job.verdict == Verdict::Accepted {
                if let Some(targets) = job.unrecorded_targets() {
                    let due = dispatches.entry(urgency_of(job.spec.priority)).or_default();
                    let job = id.clone();
                    due.push(DispatchEntry { job, targets });
                    continue;
                }
                write = progress_write(id, job, &versions, now);
            }
            if let Some(write) = write {
                job.writing = true;
                writes.push(write);
            }
        }
        dispatches
    }

    /// Adds dispatch records for the starts that are due, the urgent ones first, and the deletion
    /// of one that nobody needs.
    fn due_dispatch_writes(
        &mut self,
        dispatches: DueDispatches,
        writes: &mut Vec<RecordWrite>,
        now: Instant,
    ) {
        let highest = dispatches.keys().next().copied();
        let rested = self
            .dispatch_recorded_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOW_DISPATCH_INTERVAL);
        let highest = highest.filter(|urgency| *urgency != WritePriority::Low || rested);
        if highest.is_some() {
            self.dispatch_recorded_at = Some(now);
        }
        // Entries that could wait go along with those that can't.
        let mut due: Vec<DispatchEntry> = dispatches.into_values().flatten().collect();
        while let Some(urgency) =
            highest.filter(|_| !due.is_empty() && self.dispatch_log.may_write())
        {
            let Some(page) = self.dispatch_log.next_page(&mut due) else {
                break;
            };
            for entry in &page.entries {
                if let Some(job) = self.jobs.get_mut(&entry.job) {
                    job.writing = true;
                }
            }
            writes.push(dispatch_write(page, urgency));
        }
        // A deletion that waits for its turn must not keep a record from being written.
        if due.is_empty() && self.dispatch_log.is_idle() {
            let surplus = self.dispatch_log.surplus();
            writes.extend(surplus.map(|page| dispatch_write(page, WritePriority::Progress)));
        }
    }

    /// Adds the shards of the machine inventory that the records don't show as they are.
    fn due_inventory_writes(&mut self, replica: &Replica, writes: &mut Vec<RecordWrite>) {
        for machine in self.machines.values_mut() {
            if machine.last_heartbeat_at.is_some()
                && machine.inventory_record == Persistence::NotWritten
            {
                machine.inventory_record = Persistence::Writing;
                self.inventory.add(&machine.id);
            }
        }
        let versions = KnownVersions {
            own: &self.written_versions,
            replica,
        };
        for (shard, machines) in self.inventory.due() {
            let record = InventoryRecord {
                machines: machines.iter().map(|id| id.0.to_string()).collect(),
            };
            let key = keys::inventory(shard);
            let version = versions.of_shard(&key, shard);
            let conditions = vec![Condition::new(key.clone(), version)];
            let changes = vec![Change::put(key, to_value(&record))];
            writes.push(RecordWrite {
                kind: RecordKind::Inventory { shard, machines },
                transaction: Transaction::new(conditions, changes),
                priority: WritePriority::High,
            });
        }
    }

    /// Takes a write's outcome. Whatever is not known to be written is written again.
    pub fn apply_write_outcome(&mut self, kind: &RecordKind, outcome: &TransactionOutcome) {
        self.scheduling_needed = true;
        let committed = outcome.committed();
        let version = match outcome {
            TransactionOutcome::Committed(revision) => Some(*revision),
            _ => None,
        };
        match kind {
            RecordKind::Dispatch { key, entries } => {
                self.dispatch_written(key, entries, committed, version);
            }
            RecordKind::Progress { job, chunk, digits } => {
                self.note_version(keys::done(job, *chunk), version);
                self.progress_written(job, *chunk, digits, committed);
            }
            RecordKind::Finished { job } | RecordKind::Retired { job } => {
                self.verdict_written(job, committed);
            }
            RecordKind::Inventory { shard, machines } => {
                self.note_version(keys::inventory(*shard), version);
                self.inventory_written(*shard, machines, committed);
            }
        }
    }

    fn note_version(&mut self, key: String, version: Option<u64>) {
        if let Some(version) = version {
            self.written_versions.insert(key, version);
        }
    }

    fn dispatch_written(
        &mut self,
        key: &str,
        entries: &[DispatchEntry],
        committed: bool,
        version: Option<u64>,
    ) {
        let jobs = entries.iter().map(|entry| entry.job.clone());
        let known = jobs.filter(|id| self.jobs.contains_key(id)).collect();
        self.dispatch_log.written(key, known, version);
        for entry in entries {
            let Some(job) = self.jobs.get_mut(&entry.job) else {
                continue;
            };
            job.writing = false;
            if committed {
                job.dispatch_record = Persistence::Written;
                job.dispatch_targets.add(entry.targets.clone());
                job.dispatch_writes += 1;
            }
        }
    }

    fn progress_written(&mut self, id: &JobId, chunk: usize, digits: &str, committed: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.writing = false;
        if committed {
            job.done.mark_durable(chunk, digits);
        } else {
            job.progress_written_at = None;
        }
    }

    fn verdict_written(&mut self, id: &JobId, committed: bool) {
        if committed {
            self.forget_job(id);
        } else if let Some(job) = self.jobs.get_mut(id) {
            job.writing = false;
        }
    }

    fn inventory_written(&mut self, shard: usize, machines: &[MachineId], committed: bool) {
        self.inventory.writing.remove(&shard);
        if !committed {
            self.inventory.dirty.insert(shard);
            return;
        }
        for id in machines {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.inventory_record = Persistence::Written;
            }
        }
    }
}

/// The write of a dispatch record.
fn dispatch_write(page: DispatchPage, urgency: WritePriority) -> RecordWrite {
    RecordWrite {
        kind: RecordKind::Dispatch {
            key: page.key,
            entries: page.entries,
        },
        transaction: Transaction::new(vec![page.condition], vec![page.change]),
        priority: urgency,
    }
}
