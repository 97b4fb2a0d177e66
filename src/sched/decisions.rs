//! The decisions of a scheduling cycle, and their application to the cluster state.

use std::fmt;
use std::time::{Duration, Instant};

use crate::cluster::{CapacityReservation, Cluster, InstanceId, Job};
use crate::demand::UnmetDemand;
use crate::model::{Attempt, JobId, MachineId, TaskId};
use crate::pending_reason::PendingReason;

/// How long capacity freed by preemption stays reserved for the gang it was freed for. It covers
/// saving checkpoints, terminating tasks, and the heartbeats that show the termination, on the
/// slowest machine.
const RESERVATION_LIFETIME: Duration = Duration::from_secs(20);

/// The attempt under which tasks start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptChoice {
    /// A new attempt: for a task of an array, or for a whole gang.
    New,
    /// The current attempt of a gang, whose missing members are replaced.
    Current(Attempt),
}

/// Tasks of one job that start together, under one attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The job that all the tasks belong to.
    pub job: JobId,
    /// [`apply`] allocates the number of a new attempt.
    pub attempt: AttemptChoice,
    /// Indices of the tasks within the job, each with its machine. An array has one entry per
    /// start.
    pub members: Vec<(u32, MachineId)>,
}

/// A single task to be terminated: of an array, or a gang member to be replaced.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskTermination {
    /// The task; it becomes pending again when its termination is confirmed.
    pub task: TaskId,
    /// The attempt that is terminated; another attempt of the task is not affected.
    pub attempt: Attempt,
    /// The machine that the attempt is placed on.
    pub machine: MachineId,
    /// Seconds the task has to save a checkpoint; 0 if it saves none.
    pub grace_s: f64,
}

/// Why a whole gang is terminated and restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GangRestartReason {
    /// Members were lost, and the others are below the minimum or belong to another attempt.
    MemberLost,
    /// Its capacity is needed for a job of higher priority or within its team's guarantee.
    Preempted,
    /// The machine of a member is drained or about to be reclaimed by the cloud.
    MachineDraining,
}

impl fmt::Display for GangRestartReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::MemberLost => "a member is gone",
            Self::Preempted => "preempted",
            Self::MachineDraining => "its machine is drained or being reclaimed",
        })
    }
}

/// A gang all of whose members are to be terminated, so that it starts again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GangRestart {
    /// The job of the gang.
    pub job: JobId,
    /// The cause; it is logged only.
    pub reason: GangRestartReason,
}

/// A job with tasks that stay pending in this cycle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingJob {
    /// The job, at most once per cycle.
    pub job: JobId,
    /// The reason, which the status of the job shows to operators.
    pub reason: PendingReason,
}

/// Capacity that preemption is freeing for a gang, and that is reserved for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The job of the gang.
    pub job: JobId,
    /// The zone in which the capacity is freed, if the gang is bound to a single zone.
    pub zone: Option<String>,
}

/// The decisions of one scheduling cycle. They take effect when [`apply`] is called.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Tasks to be bound to machines.
    pub starts: Vec<Start>,
    /// Gangs to be terminated and restarted, each at most once.
    pub gang_restarts: Vec<GangRestart>,
    /// Single tasks to be terminated.
    pub terminations: Vec<TaskTermination>,
    /// Gangs for which other tasks are preempted.
    pub reservations: Vec<Reservation>,
    /// Tasks without capacity. The fleet rents machines for them; [`apply`] ignores them.
    pub unmet_demand: Vec<UnmetDemand>,
    /// Jobs with tasks that stay pending, with the reason.
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

    /// Terminates one task, or the whole gang it belongs to.
    pub(super) fn terminate(
        &mut self,
        job: &Job,
        machine: &MachineId,
        instance: &InstanceId,
        reason: GangRestartReason,
    ) {
        let id = &job.spec.id;
        if job.is_gang() {
            let mut restarts = self.gang_restarts.iter();
            if !restarts.any(|restart| restart.job == *id) {
                self.restart_gang(id, reason);
            }
            return;
        }
        let grace_s = if job.spec.can_checkpoint() {
            job.spec.checkpoint_grace_s()
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

/// Applies the decisions to the cluster state. `now` is the time of the cycle that decided them.
pub fn apply(cluster: &mut Cluster, decisions: &Decisions, now: Instant) {
    for start in &decisions.starts {
        bind(cluster, start, now);
    }
    for GangRestart { job, reason } in &decisions.gang_restarts {
        tracing::info!(%job, %reason, "gang restarted");
        cluster.terminate_gang(job);
    }
    for termination in &decisions.terminations {
        let TaskTermination { task, machine, .. } = termination;
        tracing::info!(%task, %machine, "task terminated");
        let instance = InstanceId {
            task: task.clone(),
            attempt: termination.attempt,
        };
        cluster.terminate(machine, &instance, termination.grace_s);
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
