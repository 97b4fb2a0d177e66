//! The messages by which a follower forwards heartbeats to the leader, and the leader's responses.

use serde::{Deserialize, Serialize};

use crate::model::Term;
use crate::wire::{Heartbeat, HeartbeatResponse, TaskStatus, WorkerCommand};

/// The version of [`HeartbeatBatch`] and [`BatchAnswer`].
pub const BATCH_VERSION: u16 = 1;
/// Largest accepted body of a batch or of the response to one. Senders stay well below it, see
/// [`crate::forwarding::BATCH_BYTES_MAX`].
pub const BATCH_BODY_BYTES_MAX: usize = 1024 * 1024;

/// Heartbeats that arrived at one follower and are forwarded in one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatBatch {
    /// [`BATCH_VERSION`]. It is the first field, so that it can be decoded whatever follows.
    pub version: u16,
    /// The name of the follower that sends the batch.
    pub member: String,
    /// The term for which the batch is meant; a leader of another term rejects it.
    pub term: Term,
    /// When the follower sent the batch by its clock, in milliseconds since the Unix epoch.
    pub sent_at_ms: u64,
    /// The heartbeats in the order of their arrival.
    pub heartbeats: Vec<ForwardedHeartbeat>,
}

/// A heartbeat as controllers send it to each other. [`Heartbeat`] itself accepts numbers of any kind,
/// which `bincode` cannot express.
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

/// A command as controllers send it to each other. [`WorkerCommand`] itself is tagged by a field, which
/// `bincode` cannot decode.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedCommand {
    /// What the agent should do with the task.
    pub verb: ForwardedAction,
    /// The id of the task.
    pub task: String,
    /// The attempt of the task to which the action applies.
    pub attempt: u64,
}

/// The action of a [`ForwardedCommand`].
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum ForwardedAction {
    /// Start the attempt.
    Run,
    /// Terminate the attempt.
    Kill {
        /// Grace period for a last checkpoint, in seconds.
        grace_s: f64,
    },
    /// Drop the state of the attempt, which has ended.
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

/// The leader's decision on one forwarded heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedAnswer {
    /// The follower responds to the agent with 200.
    Accepted {
        /// The fencing token, which the agent compares with the highest that it has accepted.
        token: u64,
        /// The commands for the agent.
        commands: Vec<ForwardedCommand>,
    },
    /// The follower responds to the agent with 503.
    Unavailable,
}

impl ForwardedAnswer {
    /// The body of the 200, if the heartbeat was accepted.
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

/// The leader's response to a [`HeartbeatBatch`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// [`BATCH_VERSION`], as the first field.
    pub version: u16,
    /// One decision for each heartbeat of the batch, in the same order.
    pub answers: Vec<ForwardedAnswer>,
}
