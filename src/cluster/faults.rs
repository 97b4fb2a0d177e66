//! Whose fault it is when tasks fail: their machine's, or their user's, whose job can never succeed.
//!
//! A job that can never succeed fails on every machine and never completes a task; a machine that is
//! faulty fails every job. What completes anywhere tells the one from the other.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::machine::{DrainReason, Machine};
use super::{Cluster, Job};
use crate::model::{JobId, MachineId};

/// Distinct jobs that fail on a machine, and complete elsewhere, before it is given up.
const PROVEN_JOBS: usize = 2;
/// Distinct jobs that fail on a machine, whatever becomes of them elsewhere, before it is given
/// up. Two jobs may both be at fault.
const ANY_JOBS: usize = 3;
/// Machines on which a job fails, before it has completed anything, until the job is suspected.
const MACHINES_TO_SUSPECT: usize = 3;
/// How long a machine rests after a failure, so that a faulty one does not draw all tasks.
const MACHINE_RESTS: Duration = Duration::from_secs(10);
/// How long a suspected job rests after its first trial, and at most: each one that fails
/// doubles it. Its user may notice late, or never.
const JOB_RESTS: Duration = Duration::from_secs(15);
const JOB_RESTS_AT_MOST: Duration = Duration::from_secs(120);

/// A job that failed on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultAttribution {
    /// The job.
    pub job: JobId,
    /// Whether it has completed something elsewhere, so that the fault is not its own.
    pub proven: bool,
}

/// Trials of a job that fails wherever it is started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectedJob {
    /// Those that have failed since the job is suspected.
    pub trials: u32,
}

impl SuspectedJob {
    fn rest(&self) -> Duration {
        let doubled = JOB_RESTS.saturating_mul(1 << self.trials.min(8));
        doubled.min(JOB_RESTS_AT_MOST)
    }
}

impl Job {
    /// Whether it has failed on several machines and has completed nothing.
    pub fn suspected(&self) -> bool {
        self.suspicion.is_some()
    }
}

impl Machine {
    /// Gives the machine up once enough speaks against it.
    fn judge(&mut self) {
        let proven = self.blame.iter().filter(|blame| blame.proven).count();
        let guilty = proven >= PROVEN_JOBS || self.blame.len() >= ANY_JOBS;
        if guilty && self.drain.is_none() {
            warn!(machine = %self.id, blame = ?self.blame, "tasks of several jobs fail here");
            self.drain = Some(DrainReason::Faulty);
        }
    }

    /// The job's failures are its own.
    fn exonerate(&mut self, job: &JobId) {
        self.blame.retain(|blame| blame.job != *job);
        if self.blame.is_empty() {
            self.backoff_until = None;
            if self.drain == Some(DrainReason::Faulty) {
                self.drain = None;
            }
        }
    }
}

impl Cluster {
    /// A task of the job has failed there.
    pub(super) fn failed(&mut self, id: &MachineId, job_id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.failed_on.insert(id.clone());
        if let Some(suspicion) = &mut job.suspicion {
            // Several tasks of one trial fail together.
            if job.backoff_until.is_none_or(|until| now >= until) {
                suspicion.trials += 1;
                job.backoff_until = Some(now + suspicion.rest());
            }
            return;
        }
        if job.done.is_empty() && job.failed_on.len() >= MACHINES_TO_SUSPECT {
            let suspicion = SuspectedJob::default();
            info!(job = %job_id, machines = job.failed_on.len(), "fails everywhere");
            job.backoff_until = Some(now + suspicion.rest());
            job.suspicion = Some(suspicion);
            for machine in job.failed_on.clone() {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.exonerate(job_id);
                }
            }
            return;
        }
        let proven = !job.done.is_empty();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        match machine.blame.iter_mut().find(|blame| blame.job == *job_id) {
            Some(blame) => blame.proven |= proven,
            None => machine.blame.push(FaultAttribution {
                job: job_id.clone(),
                proven,
            }),
        }
        machine.backoff_until = Some(now + MACHINE_RESTS);
        machine.judge();
    }

    /// A task of the job has completed there: neither can be at fault, and where the job failed
    /// the machine was.
    pub(super) fn succeeded(&mut self, id: &MachineId, job_id: &JobId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.blame.clear();
        }
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if job.suspicion.take().is_some() {
            info!(job = %job_id, "completes after all");
            job.backoff_until = None;
        }
        self.prove(job_id);
    }

    /// The job runs elsewhere: where it failed, its machine was at fault.
    pub(super) fn prove(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        for machine in &job.failed_on {
            let Some(machine) = self.machines.get_mut(machine) else {
                continue;
            };
            let mut blame = machine.blame.iter_mut();
            if let Some(blame) = blame.find(|blame| blame.job == *job_id && !blame.proven) {
                blame.proven = true;
                machine.judge();
            }
        }
    }
}
