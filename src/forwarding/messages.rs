//! Messages by which a follower forwards heartbeats to the leader.

use serde::{Deserialize, Serialize};

use crate::model::Term;
use crate::wire::{Heartbeat, HeartbeatResponse, TaskStatus, WorkerCommand};

/// Version of [`HeartbeatBatch`] and [`BatchAnswer`].
pub const BATCH_VERSION: u16 = 1;
/// Largest body of a batch that is accepted. Senders stay well below it, see
/// [`crate::forwarding::BATCH_BYTES_MAX`].
pub const BATCH_BODY_BYTES_MAX: usize = 1024 * 1024;

/// Heartbeats that arrived at a follower at about the same time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatBatch {
    /// [`BATCH_VERSION`]; first, so that it can be read whatever follows.
    pub version: u16,
    /// The follower.
    pub member: String,
    /// The term that the batch is meant for.
    pub term: Term,
    /// Time of day at the sending, in milliseconds since 1970.
    pub sent_at_ms: u64,
    /// The heartbeats.
    pub heartbeats: Vec<ForwardedHeartbeat>,
}

/// A heartbeat between nodes. [`Heartbeat`] itself takes numbers of any kind, which `bincode`
/// cannot express.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedHeartbeat {
    pub(crate) machine: String,
    pub(crate) address: String,
    pub(crate) machine_type: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) epoch: u64,
    pub(crate) sequence: u64,
    pub(crate) token: u64,
    pub(crate) notice_s: Option<f64>,
    pub(crate) tasks: Vec<TaskStatus>,
}

impl From<Heartbeat> for ForwardedHeartbeat {
    fn from(heartbeat: Heartbeat) -> Self {
        Self {
            machine: heartbeat.machine,
            address: heartbeat.address,
            machine_type: heartbeat.machine_type,
            zone: heartbeat.zone,
            spot: heartbeat.spot,
            epoch: heartbeat.epoch,
            sequence: heartbeat.sequence,
            token: heartbeat.token,
            notice_s: heartbeat.notice_s,
            tasks: heartbeat.tasks,
        }
    }
}

impl From<ForwardedHeartbeat> for Heartbeat {
    fn from(heartbeat: ForwardedHeartbeat) -> Self {
        Self {
            machine: heartbeat.machine,
            address: heartbeat.address,
            machine_type: heartbeat.machine_type,
            zone: heartbeat.zone,
            spot: heartbeat.spot,
            epoch: heartbeat.epoch,
            sequence: heartbeat.sequence,
            token: heartbeat.token,
            notice_s: heartbeat.notice_s,
            tasks: heartbeat.tasks,
        }
    }
}

/// A command between nodes. [`WorkerCommand`] itself is tagged by a field, which `bincode` cannot read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCommand {
    /// What to do.
    pub verb: ForwardedAction,
    /// The task.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
}

/// The action of a [`ForwardedCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum ForwardedAction {
    /// Start the task.
    Run,
    /// Stop it.
    Kill {
        /// The grace period for its last checkpoint.
        grace_s: f64,
    },
    /// Forget it.
    Clear,
}

impl From<WorkerCommand> for ForwardedCommand {
    fn from(command: WorkerCommand) -> Self {
        let (verb, task, attempt) = match command {
            WorkerCommand::Run { task, attempt } => (ForwardedAction::Run, task, attempt),
            WorkerCommand::Kill {
                task,
                attempt,
                grace_s,
            } => (ForwardedAction::Kill { grace_s }, task, attempt),
            WorkerCommand::Clear { task, attempt } => (ForwardedAction::Clear, task, attempt),
        };
        Self {
            verb,
            task,
            attempt,
        }
    }
}

impl From<ForwardedCommand> for WorkerCommand {
    fn from(command: ForwardedCommand) -> Self {
        let (task, attempt) = (command.task, command.attempt);
        match command.verb {
            ForwardedAction::Run => Self::Run { task, attempt },
            ForwardedAction::Kill { grace_s } => Self::Kill {
                task,
                attempt,
                grace_s,
            },
            ForwardedAction::Clear => Self::Clear { task, attempt },
        }
    }
}

/// The leader's decision on one heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedAnswer {
    /// The agent gets 200 with this token and these commands.
    Accepted {
        /// The fencing token.
        token: u64,
        /// The commands.
        commands: Vec<ForwardedCommand>,
    },
    /// The agent gets 503.
    Unavailable,
}

impl ForwardedAnswer {
    /// The body of the 200, if it is one.
    pub fn accepted(self) -> Option<HeartbeatResponse> {
        match self {
            Self::Accepted { token, commands } => Some(HeartbeatResponse {
                token,
                commands: commands.into_iter().map(WorkerCommand::from).collect(),
            }),
            Self::Unavailable => None,
        }
    }
}

/// The leader's decisions, in the order of the heartbeats.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// [`BATCH_VERSION`].
    pub version: u16,
    /// The decisions.
    pub answers: Vec<ForwardedAnswer>,
}
