//! Reconciliation of the cluster state with a heartbeat. Each step has its own module.
//!
//! The steps run in a fixed order: [`ordering`] decides whether the heartbeat is applied,
//! [`machine_status`] applies the part about the machine and [`task_status`] that about its tasks,
//! and [`absence`] removes the instances that a fenced machine does not show.

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
    /// Reconciles the cluster state with a heartbeat. A heartbeat that the agent sends on its own
    /// shows the effect of the starts in the response to the previous one, but may be a late copy.
    /// A heartbeat in response to a direct command is at least as recent as the command.
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
        if self.released_machines.contains(&id) || !self.is_newer(&id, heartbeat, source, now) {
            return HeartbeatOrdering::Older;
        }
        let Some(was_busy) = self.apply_machine_status(&id, heartbeat, now) else {
            return HeartbeatOrdering::Older;
        };
        let reported = self.apply_task_statuses(&id, heartbeat, now);
        let Some(machine) = self.machines.get_mut(&id) else {
            return HeartbeatOrdering::Older;
        };
        machine.update_load();
        if machine.fenced {
            self.remove_absent(&id, source, &reported, now);
            self.mark_reconciled(&id);
        }
        self.update_idle_since(&id, was_busy, now);
        HeartbeatOrdering::Newer
    }

    /// Updates `idle_since` of a machine that a heartbeat has shown to be idle again.
    fn update_idle_since(&mut self, id: &MachineId, was_busy: bool, now: Instant) {
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
