//! Reconciliation of the cluster state with a heartbeat: each step of it is one module.
//!
//! The steps run in a fixed order: [`ordering`] decides whether the heartbeat counts at all,
//! [`machine_status`] takes what the machine says of itself, [`task_status`] what it says of its
//! tasks, and [`absence`] removes what a fenced machine does not show any more.

mod absence;
mod exits;
mod incarnation;
mod machine_status;
mod ordering;
mod response;
mod task_status;

use std::time::Instant;

pub use self::ordering::{HeartbeatOrdering, HeartbeatSource, MessageOrder};
use super::Cluster;
use crate::model::{FencingToken, MachineId};
use crate::wire::Heartbeat;

impl Cluster {
    /// Reconciles the cluster state with a heartbeat. One that the worker sent by itself shows
    /// what became of starts sent in the answer to the one before, but may be a late copy; one
    /// that answers a command of ours is as recent as the command.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Instant,
    ) -> HeartbeatOrdering {
        if FencingToken(heartbeat.token).term() > self.term {
            return HeartbeatOrdering::Deposed;
        }
        let id = MachineId(heartbeat.machine.as_str().into());
        if self.terminated_machines.contains(&id) || !self.is_newer(&id, heartbeat, source, now) {
            return HeartbeatOrdering::Older;
        }
        let Some(was_busy) = self.apply_machine_status(&id, heartbeat, now) else {
            return HeartbeatOrdering::Older;
        };
        let listed = self.apply_task_statuses(&id, heartbeat, now);
        let Some(machine) = self.machines.get_mut(&id) else {
            return HeartbeatOrdering::Older;
        };
        machine.recount();
        if machine.fenced {
            self.remove_absent(&id, source, &listed, now);
            self.mark_reconciled(&id);
        }
        self.note_idle(&id, was_busy, now);
        HeartbeatOrdering::Newer
    }

    /// Notes since when a machine has had nothing to do.
    fn note_idle(&mut self, id: &MachineId, was_busy: bool, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        if was_busy && !machine.is_busy() {
            machine.idle_since = now;
            self.scheduling_needed = true;
        }
    }
}

#[cfg(test)]
mod tests;
