//! The write that records a job's cancellation.
//!
//! The verdict that allows the write and the version that the write is conditional on are taken from the same
//! state of the replica. A verdict that was read earlier, or by another request, must not be combined with a
//! later version: the condition would then hold for a record that the decision did not take into account.

use super::keys::{self, JobRecord};
use super::replica::{JobVerdict, Replica};
use super::Transaction;
use crate::model::{JobId, Verdict};

/// What the cancellation of a job requires, by one state of the replica.
#[derive(Debug, Clone)]
pub enum CancellationPlan {
    /// The job has this final verdict, so there is nothing to write.
    AlreadyFinal(JobVerdict),
    /// The job can be cancelled by this write, which is encoded after the lock on the replica is released.
    Write(Box<CancellationWrite>),
    /// The replica has no record of the job; it may have been accepted after the replica's revision.
    NotReplicated,
}

/// A write that cancels a job, unless the job's record has changed.
#[derive(Debug, Clone)]
pub struct CancellationWrite {
    /// The version of the record that is replaced, on which the write is conditional.
    pub replaced_version: u64,
    /// The new record.
    pub record: JobRecord,
}

impl CancellationWrite {
    /// Encodes the write for the job that it was planned for.
    pub fn transaction(&self, id: &JobId) -> Transaction {
        Transaction::put_if_version(keys::job(id), self.replaced_version, &self.record)
    }
}

/// Plans the cancellation of a job.
pub fn plan(replica: &Replica, id: &JobId) -> CancellationPlan {
    let Some(job) = replica.jobs.get(id) else {
        return CancellationPlan::NotReplicated;
    };
    if job.record.is_final() {
        return CancellationPlan::AlreadyFinal(job.record);
    }
    // The record keeps the job's description until every task is confirmed terminated.
    let description = replica.descriptions.get(id);
    let inline_description = description.filter(|description| !description.has_own_key);
    let record = JobRecord {
        verdict: Verdict::Cancelled,
        tasks: job.record.tasks,
        description: inline_description.map(|description| description.record.clone()),
    };
    CancellationPlan::Write(Box::new(CancellationWrite {
        replaced_version: job.version,
        record,
    }))
}
