//! Removal of instances that a newer heartbeat of a fenced machine does not show.

use std::time::Instant;

use super::{HeartbeatSource, MessageOrder};
use crate::cluster::{Cluster, InstanceId, InstancePhase, TaskInstance, TerminationEvidence};
use crate::model::MachineId;

/// The evidence given by the absence of an instance from a heartbeat with this order. There is none
/// while its start may still be in flight.
pub(super) fn evidence_of_absence(
    state: &TaskInstance,
    order: MessageOrder,
    source: HeartbeatSource,
) -> Option<TerminationEvidence> {
    match state.phase {
        InstancePhase::Planned => None,
        InstancePhase::Dispatched { in_reply_to } if order.epoch > in_reply_to.epoch => {
            Some(TerminationEvidence::LaterEpoch)
        }
        // The response to a direct command may overtake the response that carried the start, so
        // only the next heartbeat that the agent sends on its own proves that the start was lost.
        InstancePhase::Dispatched { in_reply_to }
            if source != HeartbeatSource::Worker || order <= in_reply_to =>
        {
            None
        }
        _ => Some(TerminationEvidence::AbsentFromHeartbeat),
    }
}

impl Cluster {
    /// Removes the instances that the last heartbeat of a fenced machine does not contain.
    /// `reported` are those that it contains.
    pub(super) fn remove_absent(
        &mut self,
        id: &MachineId,
        source: HeartbeatSource,
        reported: &[InstanceId],
        now: Instant,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let absent: Vec<(InstanceId, TerminationEvidence)> = machine
            .instances
            .iter()
            .filter(|(instance, _)| !reported.contains(instance))
            .filter_map(|(instance, state)| {
                let evidence = evidence_of_absence(state, machine.last_message, source)?;
                Some((instance.clone(), evidence))
            })
            .collect();
        let start_lost = absent.iter().any(|(instance, _)| {
            let state = machine.instances.get(instance);
            state.is_some_and(|state| matches!(state.phase, InstancePhase::Dispatched { .. }))
        });
        for (instance, evidence) in absent {
            self.remove_instance(id, &instance, evidence);
        }
        if let Some(machine) = self.machines.get_mut(id).filter(|_| start_lost) {
            // A response did not arrive, and the next one may be lost as well.
            machine.require_confirmation(now);
        }
    }
}
