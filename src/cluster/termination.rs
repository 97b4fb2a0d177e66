//! The evidence that a task has terminated.

use tracing::debug;

use crate::model::{MachineId, TaskId};

/// The evidence that a task is not on a machine any more or never was. Nothing else ends a
/// placement: a machine that sends no heartbeats may still run its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminationEvidence {
    /// A newer heartbeat of a fenced machine does not show it.
    AbsentFromHeartbeat,
    /// The machine is in a later epoch than the one in which the start was dispatched.
    LaterEpoch,
    /// The machine has restarted under the same name.
    NewIncarnation,
    /// The cloud has confirmed that the machine is released.
    ReleaseConfirmed,
    /// The worker lease of a fenced machine has expired during this leader's term.
    WorkerLeaseExpired,
    /// The start was planned and never sent.
    NeverDispatched,
    /// A heartbeat shows that the task has exited.
    Exited,
}

impl TerminationEvidence {
    pub(super) fn log(self, machine: &MachineId, task: &TaskId) {
        debug!(%machine, %task, evidence = ?self, "task terminated");
    }
}
