//! Attribution of task failures to a faulty machine or to a job that can never succeed.
//!
//! A job that can never succeed fails on every machine and never completes a task; a faulty machine
//! fails every job. Completed tasks of the same job elsewhere distinguish the two cases.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::machine::{DrainReason, Machine};
use super::{Cluster, Job};
use crate::model::{JobId, MachineId};

/// A machine is drained as faulty when this many jobs that complete tasks elsewhere have failed on
/// it.
const PROVEN_JOBS_TO_DECLARE_FAULTY: usize = 2;
/// A machine is drained as faulty when this many jobs have failed on it, whatever their results
/// elsewhere. Three jobs are required, since two jobs may both be faulty themselves.
const JOBS_TO_DECLARE_FAULTY: usize = 3;
/// A job without a completed task is suspected when it has failed on this many machines.
const MACHINES_TO_SUSPECT_JOB: usize = 3;
/// How long a machine gets no new tasks after a failure, so that a faulty machine does not attract
/// all tasks.
const MACHINE_BACKOFF: Duration = Duration::from_secs(10);
/// First and longest backoff of a suspected job; each failed trial doubles it. The job's user may
/// notice the failure late or never.
const JOB_BACKOFF_INITIAL: Duration = Duration::from_secs(15);
const JOB_BACKOFF_MAX: Duration = Duration::from_secs(120);

/// A job that failed on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultAttribution {
    /// The job, at most once per machine.
    pub job: JobId,
    /// Whether the job has completed tasks elsewhere, which proves that the machine is at fault.
    pub(super) proven: bool,
}

/// The trials of a job that fails on every machine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectedJob {
    /// Trials that have failed since the job became suspected.
    pub(super) failed_trials: u32,
}

impl SuspectedJob {
    fn backoff(&self) -> Duration {
        let doubled = JOB_BACKOFF_INITIAL.saturating_mul(1 << self.failed_trials.min(8));
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
    fn drain_if_faulty(&mut self) {
        let proven = self.faults.iter().filter(|fault| fault.proven).count();
        let faulty =
            proven >= PROVEN_JOBS_TO_DECLARE_FAULTY || self.faults.len() >= JOBS_TO_DECLARE_FAULTY;
        if faulty && self.drain.is_none() {
            warn!(machine = %self.id, faults = ?self.faults, "machine declared faulty");
            self.drain = Some(DrainReason::Faulty);
        }
    }

    /// Discards the failures of a job that is itself at fault.
    fn discard_faults_of(&mut self, job: &JobId) {
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
    /// Records that a task of the job has failed on the machine.
    pub(super) fn attribute_failure(&mut self, id: &MachineId, job_id: &JobId, now: Instant) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.failed_on.insert(id.clone());
        if let Some(suspicion) = &mut job.suspicion {
            // Several tasks of one trial fail together and count once.
            if job.backoff_until.is_none_or(|until| now >= until) {
                suspicion.failed_trials += 1;
                job.backoff_until = Some(now + suspicion.backoff());
            }
            return;
        }
        if job.done.is_empty() && job.failed_on.len() >= MACHINES_TO_SUSPECT_JOB {
            let suspicion = SuspectedJob::default();
            info!(job = %job_id, machines = job.failed_on.len(), "job suspected of failing everywhere");
            job.backoff_until = Some(now + suspicion.backoff());
            job.suspicion = Some(suspicion);
            for machine in job.failed_on.clone() {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.discard_faults_of(job_id);
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
        machine.drain_if_faulty();
    }

    /// Records that a task of the job has completed on the machine: neither is at fault, so the
    /// job's failures elsewhere were due to the machines.
    pub(super) fn record_completion(&mut self, id: &MachineId, job_id: &JobId) {
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

    /// Marks the job's failures as faults of the machines, since the job runs elsewhere.
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
                machine.drain_if_faulty();
            }
        }
    }
}
