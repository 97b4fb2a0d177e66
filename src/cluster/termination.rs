//! Why a task may be taken for terminated.

use tracing::debug;

use crate::model::{MachineId, TaskId};

/// The evidence by which a task is not on a machine any more, or never was. Nothing else ends a
/// placement: a machine that is merely silent may still run its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminationEvidence {
    /// A newer heartbeat of a fenced machine does not show it.
    AbsentFromHeartbeat,
    /// The machine is in a later epoch than the one in which the start was dispatched.
    LaterEpoch,
    /// The machine has begun again under its old name.
    NewIncarnation,
    /// The cloud has confirmed that the machine is gone.
    ReleaseConfirmed,
    /// The worker's lease has ended while we lead, and we had fenced the machine.
    WorkerLeaseExpired,
    /// The start was planned and never sent.
    NeverDispatched,
    /// The worker says that it has exited.
    Exited,
}

impl TerminationEvidence {
    /// Logs that the task is taken for terminated by this evidence.
    pub(super) fn log(self, machine: &MachineId, task: &TaskId) {
        debug!(%machine, %task, evidence = ?self, "task terminated");
    }
}
