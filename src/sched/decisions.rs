//! What a scheduling cycle decides, and how it is applied to the cluster state.

use std::fmt;
use std::time::{Duration, Instant};

use crate::cluster::{CapacityReservation, Cluster, InstanceId, Job};
use crate::demand::UnmetDemand;
use crate::model::{Attempt, JobId, MachineId, TaskId};
use crate::pending_reason::PendingReason;

/// How long capacity freed by preemption is reserved for the gang it was freed for: saving,
/// stopping and the heartbeats that show it, for the slowest of its machines.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(20);

/// Which attempt a start belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptChoice {
    /// A new one: for a task of an array, or for a gang as a whole.
    New,
    /// The gang's present one: a member is replaced before the gang has started.
    Current(Attempt),
}

/// Tasks that start together.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptChoice,
    /// Tasks with their machines.
    pub members: Vec<(u32, MachineId)>,
}

/// A single task to be terminated.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskTermination {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Its machine.
    pub machine: MachineId,
    /// Time to save a checkpoint.
    pub grace_s: f64,
}

/// Why a gang is terminated as a whole and starts again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangRestartReason {
    /// A member was lost, and the rest is below the minimum or of another attempt.
    MemberLost,
    /// Capacity is needed for a job that goes first.
    Preempted,
    /// The machine of a member is drained or about to be taken back by the cloud.
    MachineLeaving,
}

impl fmt::Display for GangRestartReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MemberLost => "a member is gone",
            Self::Preempted => "preempted",
            Self::MachineLeaving => "its machine is leaving",
        })
    }
}

/// A gang to be terminated as a whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangRestart {
    /// The gang.
    pub job: JobId,
    /// Why.
    pub reason: GangRestartReason,
}

/// A job with tasks that stay pending in this cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingJob {
    /// The job.
    pub job: JobId,
    /// Why its tasks are pending.
    pub reason: PendingReason,
}

/// Capacity that is being freed for a gang and reserved for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The gang.
    pub job: JobId,
    /// The only zone in which it is freed, if the gang is bound to one.
    pub zone: Option<String>,
}

/// What a scheduling cycle decides.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Starts.
    pub starts: Vec<Start>,
    /// Gangs to be terminated as a whole.
    pub gang_restarts: Vec<GangRestart>,
    /// Tasks to be terminated.
    pub terminations: Vec<TaskTermination>,
    /// Gangs for which other work is preempted.
    pub reservations: Vec<Reservation>,
    /// Tasks without capacity, for the fleet.
    pub unmet_demand: Vec<UnmetDemand>,
    /// Why tasks of jobs stay pending.
    pub pending_jobs: Vec<PendingJob>,
}

impl Decisions {
    pub(super) fn keep_pending(&mut self, job: &JobId, reason: PendingReason) {
        let job = job.clone();
        self.pending_jobs.push(PendingJob { job, reason });
    }

    pub(super) fn restart_gang(&mut self, job: &JobId, reason: GangRestartReason) {
        let job = job.clone();
        self.gang_restarts.push(GangRestart { job, reason });
    }

    /// Terminates one task, or the gang it belongs to.
    pub(super) fn terminate(
        &mut self,
        job: &Job,
        machine: &MachineId,
        instance: &InstanceId,
        reason: GangRestartReason,
    ) {
        let id = &job.spec.id;
        if job.gang() {
            let mut restarts = self.gang_restarts.iter();
            if !restarts.any(|restart| restart.job == *id) {
                self.restart_gang(id, reason);
            }
            return;
        }
        let grace_s = if job.spec.can_checkpoint() {
            job.spec.grace()
        } else {
            0.0
        };
        self.terminations.push(TaskTermination {
            task: TaskId {
                job: id.clone(),
                index: instance.task.index,
            },
            attempt: instance.attempt,
            machine: machine.clone(),
            grace_s,
        });
    }
}

/// Applies the decisions to the cluster state.
pub fn apply(cluster: &mut Cluster, decisions: &Decisions, now: Instant) {
    for start in &decisions.starts {
        bind(cluster, start, now);
    }
    for GangRestart { job, reason } in &decisions.gang_restarts {
        tracing::info!(%job, %reason, "gang restarted");
        cluster.stop_gang(job);
    }
    for termination in &decisions.terminations {
        let TaskTermination { task, machine, .. } = termination;
        tracing::info!(%task, %machine, "task terminated");
        let instance = InstanceId {
            task: task.clone(),
            attempt: termination.attempt,
        };
        cluster.stop(machine, &instance, termination.grace_s);
    }
    for reservation in &decisions.reservations {
        if let Some(job) = cluster.jobs.get_mut(&reservation.job) {
            job.capacity_reservation = Some(CapacityReservation {
                zone: reservation.zone.clone(),
                until: now + RESERVATION_LIFETIME,
            });
        }
    }
    for PendingJob { job: id, reason } in &decisions.pending_jobs {
        if let Some(job) = cluster.jobs.get_mut(id) {
            if job.pending_reason != *reason {
                tracing::debug!(job = %id, %reason, "pending reason changed");
            }
            job.pending_reason = *reason;
        }
    }
}

/// Binds the tasks of a start to their machines, under one attempt.
fn bind(cluster: &mut Cluster, start: &Start, now: Instant) {
    let attempt = match start.attempt {
        AttemptChoice::New => cluster.next_attempt(),
        AttemptChoice::Current(attempt) => attempt,
    };
    for (index, machine) in &start.members {
        let task = TaskId {
            job: start.job.clone(),
            index: *index,
        };
        tracing::debug!(%task, %machine, attempt = attempt.0, "task bound to a machine");
        cluster.plan(&task, machine, attempt, now);
    }
}
