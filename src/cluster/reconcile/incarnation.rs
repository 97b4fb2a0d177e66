//! The restart of a machine under the same name.

use knotlanding_links::reachability::Reachability;

use crate::cluster::{Cluster, InstanceId, TerminationEvidence};
use crate::model::MachineId;

impl Cluster {
    /// Begins a new incarnation of the machine: all instances ended with the former one, and
    /// responses to the former one's heartbeats can't reach it.
    pub(super) fn begin_incarnation(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.last_response_at = None;
        if let Some(raised) = machine.token.raised() {
            // The former incarnation never had this token; the new one gets it with the next
            // response.
            machine.token = raised;
            machine.incarnation_token = raised;
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
