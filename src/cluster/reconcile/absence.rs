//! Removal of instances that a fenced machine's newer heartbeat does not show any more.

use std::time::Instant;

use super::{HeartbeatSource, MessageOrder};
use crate::cluster::{Cluster, InstanceId, InstancePhase, TaskInstance, TerminationEvidence};
use crate::model::MachineId;

/// What a heartbeat of that order, from which an instance is absent, shows of it: nothing as
/// long as a start may still be on its way.
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
        // The answer to a direct command may overtake the answer that carried the start, so only
        // the worker's own next heartbeat shows that the start was lost.
        InstancePhase::Dispatched { in_reply_to }
            if source != HeartbeatSource::Worker || order <= in_reply_to =>
        {
            None
        }
        _ => Some(TerminationEvidence::AbsentFromHeartbeat),
    }
}

impl Cluster {
    /// Removes the instances that are not `listed` in the last heartbeat of a fenced machine.
    pub(super) fn remove_absent(
        &mut self,
        id: &MachineId,
        source: HeartbeatSource,
        listed: &[InstanceId],
        now: Instant,
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let absent: Vec<(InstanceId, TerminationEvidence)> = machine
            .instances
            .iter()
            .filter(|(instance, _)| !listed.contains(instance))
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
            // An answer of ours did not arrive: the next one may not either.
            machine.require_confirmation(now);
        }
    }
}
