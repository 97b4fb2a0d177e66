//! Whose fault it is when tasks fail: their machine's, or their user's, whose job can never succeed.
//!
//! A job that can never succeed fails on every machine and never completes a task; a machine that is
//! faulty fails every job. What completes anywhere tells the one from the other.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::machine::{DrainReason, Machine};
use super::{Cluster, Job};
use crate::model::{JobId, MachineId};

/// Distinct jobs that fail on a machine, and complete elsewhere, before it is quarantined.
const PROVEN_JOBS: usize = 2;
/// Distinct jobs that fail on a machine, whatever becomes of them elsewhere, before it is
/// quarantined. Two jobs may both be at fault.
const ANY_JOBS: usize = 3;
/// Machines on which a job fails, before it has completed anything, until the job is suspected.
const MACHINES_TO_SUSPECT: usize = 3;
/// How long a machine gets no new tasks after a failure, so that a faulty one does not draw all tasks.
const MACHINE_BACKOFF: Duration = Duration::from_secs(10);
/// The backoff of a suspected job after its first trial, and at most: each one that fails
/// doubles it. Its user may notice late, or never.
const JOB_BACKOFF: Duration = Duration::from_secs(15);
const JOB_BACKOFF_MAX: Duration = Duration::from_secs(120);

/// A job that failed on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultAttribution {
    /// The job.
    pub job: JobId,
    /// Whether it has completed something elsewhere, so that the fault is not its own.
    pub(super) proven: bool,
}

/// Trials of a job that fails wherever it is started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectedJob {
    /// Those that have failed since the job is suspected.
    pub(super) trials: u32,
}

impl SuspectedJob {
    fn backoff(&self) -> Duration {
        let doubled = JOB_BACKOFF.saturating_mul(1 << self.trials.min(8));
        doubled.min(JOB_BACKOFF_MAX)
    }
}

impl Job {
    /// Whether it has failed on several machines and has completed nothing.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.is_some()
    }
}

impl Machine {
    /// Quarantines the machine once enough jobs have failed on it.
    fn quarantine_if_faulty(&mut self) {
        let proven = self.faults.iter().filter(|fault| fault.proven).count();
        let guilty = proven >= PROVEN_JOBS || self.faults.len() >= ANY_JOBS;
        if guilty && self.drain.is_none() {
            warn!(machine = %self.id, faults = ?self.faults, "machine declared faulty");
            self.drain = Some(DrainReason::Faulty);
        }
    }

    /// The job's failures are its own.
    fn exonerate(&mut self, job: &JobId) {
        self.faults.retain(|fault| fault.job != *job);
        if self.faults.is_empty() {
            self.backoff_until = None;
            if self.drain == Some(DrainReason::Faulty) {
                self.drain = None;
            }
        }
    }
}

impl Cluster {
    /// A task of the job has failed there.
    pub(super) fn attribute_failure(&mut self, id: &MachineId, job_id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.failed_on.insert(id.clone());
        if let Some(suspicion) = &mut job.suspicion {
            // Several tasks of one trial fail together.
            if job.backoff_until.is_none_or(|until| now >= until) {
                suspicion.trials += 1;
                job.backoff_until = Some(now + suspicion.backoff());
            }
            return;
        }
        if job.done.is_empty() && job.failed_on.len() >= MACHINES_TO_SUSPECT {
            let suspicion = SuspectedJob::default();
            info!(job = %job_id, machines = job.failed_on.len(), "job suspected of failing everywhere");
            job.backoff_until = Some(now + suspicion.backoff());
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
        match machine.faults.iter_mut().find(|fault| fault.job == *job_id) {
            Some(fault) => fault.proven |= proven,
            None => machine.faults.push(FaultAttribution {
                job: job_id.clone(),
                proven,
            }),
        }
        machine.backoff_until = Some(now + MACHINE_BACKOFF);
        machine.quarantine_if_faulty();
    }

    /// A task of the job has completed there: neither can be at fault, and where the job failed
    /// the machine was.
    pub(super) fn note_completion(&mut self, id: &MachineId, job_id: &JobId) {
        if let Some(machine) = self.machines.get_mut(id) {
            machine.faults.clear();
        }
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if job.suspicion.take().is_some() {
            info!(job = %job_id, "job no longer suspected");
            job.backoff_until = None;
        }
        self.confirm_machine_faults(job_id);
    }

    /// The job runs elsewhere: where it failed, its machine was at fault.
    pub(super) fn confirm_machine_faults(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        for machine in &job.failed_on {
            let Some(machine) = self.machines.get_mut(machine) else {
                continue;
            };
            let mut faults = machine.faults.iter_mut();
            if let Some(fault) = faults.find(|fault| fault.job == *job_id && !fault.proven) {
                fault.proven = true;
                machine.quarantine_if_faulty();
            }
        }
    }
}
