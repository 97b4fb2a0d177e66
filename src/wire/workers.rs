//! Bodies between the agents on machines and this system.

use serde::{Deserialize, Serialize};

use super::number::optional_number;

/// A task's phase on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Its image is being pulled.
    #[serde(rename = "pulling")]
    PullingImage,
    /// It waits at the gang barrier.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// It runs.
    Running,
    /// It writes a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// It has exited.
    Exited,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// It completed.
    Done,
    /// A command stopped it.
    Stopped,
    /// A member of its gang was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The gang barrier timed out.
    #[serde(rename = "alone")]
    GangBarrierTimeout,
    /// It failed.
    Error,
    /// Refused: insufficient capacity.
    #[serde(rename = "no_room")]
    InsufficientCapacity,
    /// Refused: another attempt of it is present.
    #[serde(rename = "in_use")]
    AlreadyPresent,
    /// Refused: the task is unknown.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A cause unknown to this version; handled as a failure that is attributed to nothing.
    #[serde(other)]
    Other,
}

/// The status of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// `job/number`.
    #[serde(rename = "strand")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its phase.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why it exited.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether it wrote its last checkpoint.
    #[serde(default)]
    pub saved: Option<bool>,
}

/// A heartbeat of the agent on a machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// The address that takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The agent epoch.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// The sequence number.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud preempts the machine, once it has given notice.
    #[serde(rename = "recallS", default, deserialize_with = "optional_number")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "strands", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to the agent on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start a task.
    Run {
        /// The task.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    Kill {
        /// The task.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// The grace period for its last checkpoint.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Forget an exited task.
    Clear {
        /// The task.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The fencing token of the sender.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Commands for the agent.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Redirects an agent to another controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The leader hint: the controller that takes heartbeats.
    #[serde(rename = "answerTo", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands that the leader sends directly to an agent.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommand {
    /// The fencing token of the sender.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The agent epoch that the commands are meant for.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// The commands.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
