//! Bodies between the agents on machines and the controllers.

use knotlanding_links::workers::HeartbeatId;
use serde::{Deserialize, Serialize};

use super::number::optional_number;

/// A task's phase on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// The agent is pulling the task's image.
    #[serde(rename = "pulling")]
    PullingImage,
    /// The task waits at the gang barrier for the other members.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// The task's process is running.
    Running,
    /// The task is writing a checkpoint.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// The task has exited; the agent's heartbeats contain it until it is cleared.
    Exited,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// The task completed.
    Done,
    /// A command terminated the task.
    Stopped,
    /// Another member of the gang was lost.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// The gang barrier timed out.
    #[serde(rename = "alone")]
    GangBarrierTimeout,
    /// The task failed.
    Error,
    /// The agent rejected the start: insufficient capacity.
    #[serde(rename = "no_room")]
    InsufficientCapacity,
    /// The agent rejected the start: another attempt of the task is present.
    #[serde(rename = "in_use")]
    AlreadyPresent,
    /// The agent rejected the start: the task is unknown to it.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A cause that this version does not support; handled as a failure that is attributed to neither the job
    /// nor the machine.
    #[serde(other)]
    Other,
}

/// The status of one task in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// The task's id, `job/number`.
    #[serde(rename = "strand")]
    pub task: String,
    /// The attempt number of the start.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// The phase at the time of the heartbeat.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why the task exited; absent in other phases.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether the task wrote its last checkpoint; absent if the agent does not report it.
    #[serde(default)]
    pub saved: Option<bool>,
}

/// A heartbeat of the agent on a machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine's name in the cloud's list.
    #[serde(rename = "host")]
    pub machine: String,
    /// The agent's address for direct commands; empty if not reported.
    #[serde(default)]
    pub address: String,
    /// The machine type; empty if not reported.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// The machine's zone; empty if not reported.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The agent epoch; messages of a later epoch supersede those of earlier ones.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// The heartbeat's sequence number within the epoch.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the agent has accepted.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud preempts the machine; absent without a preemption notice.
    #[serde(rename = "recallS", default, deserialize_with = "optional_number")]
    pub notice_s: Option<f64>,
    /// All tasks present on the machine.
    #[serde(rename = "strands", default)]
    pub tasks: Vec<TaskStatus>,
}

impl Heartbeat {
    /// Which of the agent's heartbeats this is. Copies have the same id.
    pub fn id(&self) -> HeartbeatId {
        HeartbeatId {
            epoch: self.epoch,
            sequence: self.sequence,
        }
    }
}

/// A command to the agent on a machine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start a task.
    Run {
        /// The task's id.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt number of the start.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Terminate a task.
    Kill {
        /// The task's id.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt number of the start.
        #[serde(rename = "try")]
        attempt: u64,
        /// The grace period for the last checkpoint, in seconds.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Remove an exited task from the agent's heartbeats.
    Clear {
        /// The task's id.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt number of the start.
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
    /// The commands for the agent, in order.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The body of a response that redirects an agent to another controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The leader hint: the name of the controller that accepts heartbeats; absent if no leader is known.
    #[serde(rename = "answerTo", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands that the leader sends directly to an agent instead of in a heartbeat response.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommand {
    /// The fencing token of the sender.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The agent epoch for which the commands are intended.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// The commands for the agent, in order of execution.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}
