//! A machine that begins again under its old name.

use knotlanding_links::reachability::Reachability;

use crate::cluster::{Cluster, InstanceId, TerminationEvidence};
use crate::model::MachineId;

impl Cluster {
    /// The machine runs a new incarnation: whatever was on it ended with the former one, and
    /// answers to the former one's heartbeats can't reach it.
    pub(super) fn begin_incarnation(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.last_response_at = None;
        if let Some(raised) = machine.token.raised() {
            // The former incarnation never had this one; the new one gets it with the next answer.
            machine.token = raised;
            machine.incarnation = raised;
        }
        machine.token_raised_at = None;
        machine.reachability = Reachability::default();
        machine.images.clear();
        let instances: Vec<InstanceId> = machine.instances.keys().cloned().collect();
        for instance in instances {
            self.remove_instance(id, &instance, TerminationEvidence::NewIncarnation);
        }
        self.scheduling_needed = true;
    }
}
