//! One start of a task on one machine: its phase, and its requested termination.

use std::sync::Arc;
use std::time::Instant;

use super::{ImageId, MessageOrder};
use crate::model::{Attempt, JobSpec, TaskId};
use crate::wire::ExitCause;

/// One start of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// The task, which may have further instances while an earlier one is being terminated.
    pub task: TaskId,
    /// The attempt of the task or of its gang.
    pub attempt: Attempt,
}

/// The phase of a task instance. This leader sets the first two; heartbeats contain the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstancePhase {
    /// The start is decided and not sent, so it can have had no effect.
    Planned,
    /// The start was sent in the response to a heartbeat. The next heartbeat that the agent sends
    /// on its own shows whether it arrived.
    Dispatched {
        /// The heartbeat whose response carried the start.
        in_reply_to: MessageOrder,
    },
    /// The machine pulls the image.
    PullingImage,
    /// The task waits until all members of its gang are ready.
    AwaitingGang,
    /// The task runs.
    Running,
    /// The task writes a checkpoint.
    Checkpointing,
    /// The task has ended and occupies nothing, but the machine's heartbeats still contain it.
    Exited(ExitCause),
}

/// A requested termination.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Termination {
    /// Time for a checkpoint, in seconds; 0: none.
    pub(super) grace_s: f64,
    /// When it was last sent to the machine.
    pub(super) last_sent_at: Option<Instant>,
}

/// A task instance on one machine.
#[derive(Clone, Debug)]
pub struct TaskInstance {
    /// The job's description, if the job was known when the instance was first seen.
    pub spec: Option<Arc<JobSpec>>,
    /// The phase in the last heartbeat that contains the instance; until there is one, the phase
    /// that this leader set.
    pub phase: InstancePhase,
    /// When it was planned or first seen.
    pub known_since: Instant,
    /// When a heartbeat first showed it running.
    pub running_since: Option<Instant>,
    /// The requested termination, if any.
    pub termination: Option<Termination>,
    /// The image, present together with `spec`.
    pub image: Option<ImageId>,
}

impl TaskInstance {
    /// Whether the task may be on the machine.
    pub fn occupies(&self) -> bool {
        !matches!(self.phase, InstancePhase::Exited(_))
    }

    /// Whether its start was sent, by this leader or an earlier one.
    pub fn is_dispatched(&self) -> bool {
        self.phase != InstancePhase::Planned
    }
}
