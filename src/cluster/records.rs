//! The records that have to be in the store before dependent steps may follow.
//!
//! They are written per job and per batch, never per task: dispatch targets before a start is
//! dispatched, completed tasks before their `clear`, the verdict, and the machine inventory.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use super::dispatch_log::{DispatchEntry, DispatchRecordChange};
use super::machine::Persistence;
use super::quota::may_have_unreconciled_tasks;
use super::{Cluster, Job};
use crate::model::{JobId, MachineId, Priority, Verdict};
use crate::store::keys::{self, CompletedTasksRecord, InventoryRecord, JobRecord};
use crate::store::replica::Replica;
use crate::store::{to_value, Change, Condition, Transaction, TransactionOutcome, WritePriority};

/// Interval between two writes of a job's completed tasks. The machines keep the results until
/// then; otherwise a large array would write them in every scheduling cycle.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two dispatch records that name only jobs of the lowest priority, so that each
/// names many.
const LOW_DISPATCH_INTERVAL: Duration = Duration::from_millis(800);

/// The purpose of a write, by which its outcome is applied.
#[derive(Debug, Clone)]
pub enum RecordKind {
    /// A dispatch record with jobs and their targets. Without jobs, it is deleted.
    Dispatch {
        /// The key of the record.
        key: String,
        /// The jobs with the targets that the record adds.
        entries: Vec<DispatchEntry>,
    },
    /// A chunk of the job's completed tasks.
    Progress {
        /// The job whose tasks completed.
        job: JobId,
        /// The number of the chunk.
        chunk: usize,
        /// The completed tasks in it, see [`super::done::DoneSet::encode`].
        digits: String,
    },
    /// The verdict `done`, with the deletion of the job's other records.
    Finished {
        /// The job that completed.
        job: JobId,
    },
    /// The deletion of a cancelled job's records.
    Retired {
        /// The job that was cancelled.
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

/// A write for which the cluster state waits.
#[derive(Debug, Clone)]
pub struct RecordWrite {
    /// The purpose of the write, with what its outcome changes.
    pub kind: RecordKind,
    /// The conditions and changes. The sender adds the condition that this process is the leader.
    pub transaction: Transaction,
    /// The priority among all writes to the store.
    pub priority: WritePriority,
}

/// The changes that write a job's verdict and delete all its other records.
fn record_deletions(id: &JobId, job: &Job, verdict: Verdict) -> Vec<Change> {
    let record = JobRecord::without_description(verdict, job.spec.tasks);
    let mut changes = vec![Change::put(keys::job(id), to_value(&record))];
    if job.has_own_key {
        changes.push(Change::delete(keys::description(id)));
    }
    let chunks = (0..job.done.chunks()).filter(|c| job.done.chunk_written(*c));
    changes.extend(chunks.map(|chunk| Change::delete(keys::completed_tasks(id, chunk))));
    changes
}

/// Dispatches to be recorded, by the write priority of their jobs.
type DueDispatches = BTreeMap<WritePriority, Vec<DispatchEntry>>;

/// The write priority of dispatch records for jobs of this priority.
fn write_priority_of(priority: Priority) -> WritePriority {
    if priority == Priority::BestEffort {
        WritePriority::Low
    } else {
        WritePriority::High
    }
}

/// The write that finishes or retires a job, if it is due.
fn verdict_write(id: &JobId, job: &Job, may_be_running: bool) -> Option<RecordWrite> {
    let all_done = job.done.len() == job.spec.tasks;
    let (kind, verdict, priority) = match job.verdict {
        Verdict::Accepted if all_done && !job.has_placements() => (
            RecordKind::Finished { job: id.clone() },
            Verdict::Done,
            WritePriority::High,
        ),
        Verdict::Cancelled if !(job.has_placements() || may_be_running) => (
            RecordKind::Retired { job: id.clone() },
            Verdict::Cancelled,
            WritePriority::Progress,
        ),
        Verdict::Accepted | Verdict::Cancelled | Verdict::Done => return None,
    };
    let conditions = vec![Condition::new(keys::job(id), job.version)];
    Some(RecordWrite {
        kind,
        transaction: Transaction::new(conditions, record_deletions(id, job, verdict)),
        priority,
    })
}

/// The record versions on which writes are conditional: the later of this leader's last write and
/// the replica's.
struct KnownVersions<'a> {
    own: &'a HashMap<String, u64>,
    replica: &'a Replica,
}

impl KnownVersions<'_> {
    fn own(&self, key: &str) -> u64 {
        self.own.get(key).copied().unwrap_or(0)
    }

    fn of_chunk(&self, key: &str, id: &JobId, chunk: usize) -> u64 {
        self.own(key)
            .max(self.replica.completed_tasks_version(id, chunk))
    }

    fn of_shard(&self, key: &str, shard: usize) -> u64 {
        self.own(key).max(self.replica.inventory_version(shard))
    }
}

/// The write of a chunk of completed tasks, if it is due.
fn progress_write(
    id: &JobId,
    job: &mut Job,
    versions: &KnownVersions,
    now: Instant,
) -> Option<RecordWrite> {
    let interval_elapsed = job
        .progress_written_at
        .is_none_or(|at| now.saturating_duration_since(at) >= PROGRESS_INTERVAL);
    let chunk = job.done.dirty_chunk().filter(|_| interval_elapsed)?;
    job.progress_written_at = Some(now);
    let digits = job.done.encode(chunk);
    let record = CompletedTasksRecord {
        bits: digits.clone(),
    };
    let key = keys::completed_tasks(id, chunk);
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
    /// The writes that are due. Each is marked as in flight until [`Cluster::apply_write_outcome`]
    /// is called.
    ///
    /// A write of a chunk or a shard replaces the one before and is conditional on its version: a
    /// write without a response may be committed minutes later, and must not revert a newer one.
    pub fn due_writes(&mut self, replica: &Replica, now: Instant) -> Vec<RecordWrite> {
        let mut writes = Vec::new();
        let dispatches = self.due_job_writes(replica, &mut writes, now);
        self.due_dispatch_writes(dispatches, &mut writes, now);
        self.due_inventory_writes(replica, &mut writes);
        writes
    }

    /// Adds the writes of verdicts and progress, and returns the dispatches to be recorded.
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
            // The replica does not show the cancellation yet. The job's records are written once it
            // does.
            let cancelling = job.cancellation_requested && job.verdict == Verdict::Accepted;
            if job.writing || cancelling {
                continue;
            }
            let may_be_running =
                may_have_unreconciled_tasks(&self.unreconciled, &self.machines, job);
            let mut write = verdict_write(id, job, may_be_running);
            if write.is_none() && job.verdict == Verdict::Accepted {
                if let Some(targets) = job.unrecorded_targets() {
                    let due = dispatches
                        .entry(write_priority_of(job.spec.priority))
                        .or_default();
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

    /// Adds dispatch records, those with high priority first, and the deletion of one surplus
    /// record.
    fn due_dispatch_writes(
        &mut self,
        dispatches: DueDispatches,
        writes: &mut Vec<RecordWrite>,
        now: Instant,
    ) {
        let highest_priority = dispatches.keys().next().copied();
        let interval_elapsed = self
            .dispatch_recorded_at
            .is_none_or(|at| now.saturating_duration_since(at) >= LOW_DISPATCH_INTERVAL);
        let highest_priority =
            highest_priority.filter(|priority| *priority != WritePriority::Low || interval_elapsed);
        if highest_priority.is_some() {
            self.dispatch_recorded_at = Some(now);
        }
        // Entries with low priority are written along with those with high priority.
        let mut due: Vec<DispatchEntry> = dispatches.into_values().flatten().collect();
        while let Some(priority) =
            highest_priority.filter(|_| !due.is_empty() && self.dispatch_log.may_write())
        {
            let Some(record_change) = self.dispatch_log.next_record_change(&mut due) else {
                break;
            };
            for entry in &record_change.entries {
                if let Some(job) = self.jobs.get_mut(&entry.job) {
                    job.writing = true;
                }
            }
            writes.push(dispatch_write(record_change, priority));
        }
        // A deletion that waits for its turn must not delay the write of a record.
        if due.is_empty() && self.dispatch_log.is_idle() {
            let deletion = self.dispatch_log.next_surplus_deletion();
            writes.extend(
                deletion
                    .map(|record_change| dispatch_write(record_change, WritePriority::Progress)),
            );
        }
    }

    /// Adds the shards of the machine inventory that differ from their records.
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
        for (shard, machines) in self.inventory.take_dirty_shards() {
            let record = InventoryRecord {
                machines: machines.iter().map(|id| id.0.to_string()).collect(),
            };
            let key = keys::inventory(shard);
            let version = versions.of_shard(&key, shard);
            writes.push(RecordWrite {
                kind: RecordKind::Inventory { shard, machines },
                transaction: Transaction::put_if_version(key, version, &record),
                priority: WritePriority::High,
            });
        }
    }

    /// Applies the outcome of a write. Whatever is not known to be committed is written again.
    pub fn apply_write_outcome(&mut self, kind: &RecordKind, outcome: &TransactionOutcome) {
        self.scheduling_needed = true;
        let committed = outcome.committed();
        let version = outcome.revision();
        match kind {
            RecordKind::Dispatch { key, entries } => {
                self.dispatch_written(key, entries, committed, version);
            }
            RecordKind::Progress { job, chunk, digits } => {
                self.record_version(keys::completed_tasks(job, *chunk), version);
                self.progress_written(job, *chunk, digits, committed);
            }
            RecordKind::Finished { job } | RecordKind::Retired { job } => {
                self.verdict_written(job, committed);
            }
            RecordKind::Inventory { shard, machines } => {
                self.record_version(keys::inventory(*shard), version);
                self.inventory_written(*shard, machines, committed);
            }
        }
    }

    fn record_version(&mut self, key: String, version: Option<u64>) {
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
        let is_deletion = entries.is_empty();
        let record_version = version.filter(|_| !is_deletion);
        self.dispatch_log
            .apply_write_outcome(key, known, record_version);
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
            self.remove_ended_job(id);
        } else if let Some(job) = self.jobs.get_mut(id) {
            job.writing = false;
        }
    }

    fn inventory_written(&mut self, shard: usize, machines: &[MachineId], committed: bool) {
        self.inventory.end_write(shard, committed);
        if !committed {
            return;
        }
        for id in machines {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.inventory_record = Persistence::Written;
            }
        }
    }
}

fn dispatch_write(record_change: DispatchRecordChange, priority: WritePriority) -> RecordWrite {
    RecordWrite {
        kind: RecordKind::Dispatch {
            key: record_change.key,
            entries: record_change.entries,
        },
        transaction: Transaction::new(vec![record_change.condition], vec![record_change.change]),
        priority,
    }
}
