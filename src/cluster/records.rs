//! What of the cluster state has to be written down before something else may happen.
//!
//! Written per job and per batch, never per task: where starts go before they do, the completed
//! tasks before their `clear`, the verdict, and the roster of machines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use super::machine::Persistence;
use super::quota::blocked_by;
use super::sent::{Entry, Page};
use super::{Cluster, Job};
use crate::model::{JobId, MachineId, Priority, Verdict};
use crate::store::keys::{self, DoneRecord, InventoryRecord, JobRecord};
use crate::store::replica::{Replica, Versioned};
use crate::store::{to_value, Change, Condition, Transaction, TransactionOutcome, WritePriority};

/// Time between two writes of a job's completed tasks while it has others: the machines keep the
/// results until then, and a large array would otherwise write all of them with every round.
const PROGRESS_EVERY: Duration = Duration::from_secs(2);
/// Time between two lists that name only jobs of the lowest rank: the starts of many jobs gather.
const LOW_LISTS_EVERY: Duration = Duration::from_millis(800);

/// Bytes a machine's name takes in a shard, envelope included.
const NAME_BYTES: f64 = 32.0;
/// Part of a value that a shard fills.
const SHARD_FILL: f64 = 0.5;

/// The machines that may hold tasks, in shards that each fit a value.
#[derive(Debug, Default)]
pub struct MachineInventory {
    shards: BTreeMap<usize, BTreeSet<MachineId>>,
    capacity: usize,
    /// Shards that the records don't show as they are. Machines that are gone are struck off as
    /// promptly as others are entered: a new leader waits for every machine named.
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
        let room = self.shards.iter().find(|(_, s)| s.len() < self.capacity);
        let next = self.shards.keys().next_back().map_or(0, |last| last + 1);
        let shard = room.map_or(next, |(shard, _)| *shard);
        self.shards.entry(shard).or_default().insert(id.clone());
        self.dirty.insert(shard);
    }

    /// The machine is gone. The record follows with the next write.
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
    /// A list of jobs with where starts of them may be sent; without jobs, the list goes.
    Sent(String, Vec<Entry>),
    /// A chunk of the job's completed tasks.
    Done(JobId, usize, String),
    /// The verdict `done`; the job's other records go with it.
    Finished(JobId),
    /// A cancelled job's records go.
    Retired(JobId),
    /// A shard of the roster.
    Inventory(usize, Vec<MachineId>),
}

/// A write the cluster state waits for.
#[derive(Debug, Clone)]
pub struct RecordWrite {
    /// What it is for.
    pub kind: RecordKind,
    /// Conditions and changes; the leader's own condition is added by who sends it.
    pub group: Transaction,
    /// What it may go before.
    pub urgency: WritePriority,
}

/// The change by which a job's records go, but for its verdict.
fn records_go(id: &JobId, job: &Job, verdict: Verdict) -> Vec<Change> {
    let record = JobRecord::bare(verdict, job.spec.tasks);
    let mut apply = vec![Change::put(keys::job(id), to_value(&record))];
    if job.has_own_key {
        apply.push(Change::delete(keys::live(id)));
    }
    let chunks = (0..job.done.chunks()).filter(|c| job.done.chunk_written(*c));
    apply.extend(chunks.map(|chunk| Change::delete(keys::done(id, chunk))));
    apply
}

/// How soon starts of such jobs have to be sent.
fn urgency_of(priority: Priority) -> WritePriority {
    if priority == Priority::BestEffort {
        WritePriority::Low
    } else {
        WritePriority::High
    }
}

impl Cluster {
    /// The writes that are due. Each is marked as under way until
    /// [`Cluster::written`] takes its outcome.
    ///
    /// A write of a chunk or a shard replaces the one before, so it is conditional on the
    /// version before: a write that got no answer may be applied minutes late, and must not
    /// then undo a newer one.
    pub fn due_writes(&mut self, replica: &Replica, now: Instant) -> Vec<RecordWrite> {
        let mut writes = Vec::new();
        let mut starts: BTreeMap<WritePriority, Vec<Entry>> = BTreeMap::new();
        for (id, job) in &mut self.jobs {
            if job.writing {
                continue;
            }
            let blocked = blocked_by(&self.unreconciled, &self.machines, job);
            let mut conditions = vec![Condition::new(keys::job(id), job.version)];
            let all_done = job.done.len() == job.spec.tasks;
            let rested = job
                .progress_at
                .is_none_or(|at| now.saturating_duration_since(at) >= PROGRESS_EVERY);
            if job.cancellation_requested && job.verdict == Verdict::Accepted {
                // The records say otherwise, and will be seen to in a moment.
                continue;
            }
            let (kind, apply, urgency) = match job.verdict {
                Verdict::Accepted if all_done && !job.has_placements() => (
                    RecordKind::Finished(id.clone()),
                    records_go(id, job, Verdict::Done),
                    WritePriority::High,
                ),
                Verdict::Cancelled if !(job.has_placements() || blocked) => (
                    RecordKind::Retired(id.clone()),
                    records_go(id, job, Verdict::Cancelled),
                    WritePriority::Progress,
                ),
                Verdict::Accepted => {
                    if let Some(sent) = job.sent_due() {
                        let due = starts.entry(urgency_of(job.spec.priority)).or_default();
                        due.push((id.clone(), sent));
                        continue;
                    }
                    let Some(chunk) = job.done.dirty_chunk().filter(|_| rested) else {
                        continue;
                    };
                    job.progress_at = Some(now);
                    let bits = job.done.encode(chunk);
                    let record = DoneRecord { bits: bits.clone() };
                    let key = keys::done(id, chunk);
                    let own = self.versions.get(&key).copied().unwrap_or(0);
                    let version = own.max(replica.done_version(id, chunk));
                    conditions.push(Condition::new(key.clone(), version));
                    let kind = RecordKind::Done(id.clone(), chunk, bits);
                    let apply = vec![Change::put(key, to_value(&record))];
                    (kind, apply, WritePriority::Progress)
                }
                Verdict::Cancelled | Verdict::Done => continue,
            };
            job.writing = true;
            writes.push(RecordWrite {
                kind,
                group: Transaction::new(conditions, apply),
                urgency,
            });
        }
        self.due_lists(starts, &mut writes, now);
        for machine in self.machines.values_mut() {
            if machine.last_heartbeat.is_some()
                && machine.inventory_record == Persistence::NotWritten
            {
                machine.inventory_record = Persistence::Writing;
                self.inventory.add(&machine.id);
            }
        }
        for (shard, names) in self.inventory.due() {
            let record = InventoryRecord {
                machines: names.iter().map(|id| id.0.to_string()).collect(),
            };
            let key = keys::inventory(shard);
            let own = self.versions.get(&key).copied().unwrap_or(0);
            let version = own.max(replica.inventory_version(shard));
            let conditions = vec![Condition::new(key.clone(), version)];
            let changes = vec![Change::put(key, to_value(&record))];
            writes.push(RecordWrite {
                kind: RecordKind::Inventory(shard, names),
                group: Transaction::new(conditions, changes),
                urgency: WritePriority::High,
            });
        }
        writes
    }

    /// Lists of the starts that are due, the urgent ones first, and one that nobody needs.
    fn due_lists(
        &mut self,
        starts: BTreeMap<WritePriority, Vec<Entry>>,
        writes: &mut Vec<RecordWrite>,
        now: Instant,
    ) {
        let mut add = |page: Page, urgency| {
            writes.push(RecordWrite {
                kind: RecordKind::Sent(page.key, page.entries),
                group: Transaction::new(vec![page.conditions], vec![page.change]),
                urgency,
            });
        };
        let most = starts.keys().next().copied();
        let rested = self
            .listed_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOW_LISTS_EVERY);
        let most = most.filter(|urgency| *urgency != WritePriority::Low || rested);
        if most.is_some() {
            self.listed_at = Some(now);
        }
        // Who can wait goes along with who can't.
        let mut due: Vec<Entry> = starts.into_values().flatten().collect();
        while let Some(urgency) = most.filter(|_| !due.is_empty() && self.sent.may_write()) {
            let Some(page) = self.sent.page(&mut due) else {
                break;
            };
            for (id, _) in &page.entries {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.writing = true;
                }
            }
            add(page, urgency);
        }
        // A delete that waits for its turn must not keep a list from being written.
        if due.is_empty() && self.sent.at_rest() {
            if let Some(page) = self.sent.surplus() {
                add(page, WritePriority::Progress);
            }
        }
    }

    /// Takes a write's outcome. Whatever is not known to be written is written again.
    pub fn written(&mut self, kind: &RecordKind, outcome: &TransactionOutcome) {
        let ok = outcome.committed();
        self.dirty = true;
        if let TransactionOutcome::Committed(revision) = outcome {
            let key = match kind {
                RecordKind::Done(id, chunk, _) => Some(keys::done(id, *chunk)),
                RecordKind::Inventory(shard, _) => Some(keys::inventory(*shard)),
                _ => None,
            };
            if let Some(key) = key {
                self.versions.insert(key, *revision);
            }
        }
        match kind {
            RecordKind::Sent(key, entries) => {
                let version = match outcome {
                    TransactionOutcome::Committed(revision) => Some(*revision),
                    _ => None,
                };
                let jobs = entries.iter().map(|(id, _)| id.clone());
                let known = jobs.filter(|id| self.jobs.contains_key(id)).collect();
                self.sent.written(key, known, version);
                for (id, sent) in entries {
                    if let Some(job) = self.jobs.get_mut(id) {
                        job.writing = false;
                        if ok {
                            job.started = Persistence::Written;
                            job.sent.add(sent.clone());
                            job.sent_writes += 1;
                        }
                    }
                }
            }
            RecordKind::Done(id, chunk, bits) => {
                if let Some(job) = self.jobs.get_mut(id) {
                    job.writing = false;
                    if ok {
                        job.done.mark_durable(*chunk, bits);
                    } else {
                        job.progress_at = None;
                    }
                }
            }
            RecordKind::Finished(id) | RecordKind::Retired(id) => {
                if ok {
                    self.forget_job(id);
                } else if let Some(job) = self.jobs.get_mut(id) {
                    job.writing = false;
                }
            }
            RecordKind::Inventory(shard, names) => {
                self.inventory.writing.remove(shard);
                if !ok {
                    self.inventory.dirty.insert(*shard);
                }
                for id in names {
                    if let Some(machine) = self.machines.get_mut(id) {
                        if ok {
                            machine.inventory_record = Persistence::Written;
                        }
                    }
                }
            }
        }
    }
}
