//! What time alone ends.

use std::time::{Duration, Instant};

use tracing::info;

use super::{Cluster, InstanceId, Machine, TaskInstance, TerminationEvidence};
use crate::model::MachineId;

/// How long submissions are remembered for the expected demand.
pub const ARRIVAL_WINDOW: Duration = Duration::from_secs(180);

/// What has ended on a machine.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    /// The worker's lease is over, and with it all that was dispatched.
    lease: bool,
    /// The machine is suspected: plans for it are dropped.
    suspected: bool,
}

impl Expiry {
    fn of(machine: &Machine, now: Instant, lease: Duration, suspect_after: Duration) -> Self {
        let lease_over = |at: Instant| now.saturating_duration_since(at) > lease;
        Self {
            lease: machine.fenced && machine.last_response_at.is_some_and(lease_over),
            suspected: machine.heartbeat_overdue(now, suspect_after),
        }
    }

    /// Silence frees a plan, since nothing was dispatched; a start needs evidence.
    fn evidence(self, state: &TaskInstance) -> Option<TerminationEvidence> {
        if state.is_dispatched() {
            self.lease
                .then_some(TerminationEvidence::WorkerLeaseExpired)
        } else {
            self.suspected
                .then_some(TerminationEvidence::NeverDispatched)
        }
    }
}

impl Cluster {
    /// Ends what time alone ends. Only to be called while we lead.
    pub fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.became_leader_at) > self.timing.inherited_lease {
            self.reconcile_expired();
        }
        let mut over = Vec::new();
        for (id, machine) in &self.machines {
            let expiry = Expiry::of(machine, now, self.timing.lease, self.timing.suspect_after);
            if !(expiry.lease || expiry.suspected) {
                continue;
            }
            for (instance, state) in &machine.instances {
                if let Some(evidence) = expiry.evidence(state) {
                    over.push((id.clone(), instance.clone(), evidence));
                }
            }
        }
        self.remove_all(over);
        let recent = now.checked_sub(ARRIVAL_WINDOW);
        self.arrivals
            .retain(|(at, _)| recent.is_none_or(|recent| *at >= recent));
    }

    fn remove_all(&mut self, over: Vec<(MachineId, InstanceId, TerminationEvidence)>) {
        for (machine, instance, evidence) in over {
            self.remove_instance(&machine, &instance, evidence);
        }
    }

    /// Machines of earlier terms that this leader has not answered hold no tasks any more. How
    /// long to wait for the machines themselves is another matter.
    fn reconcile_expired(&mut self) {
        let expired = self.unreconciled.iter().filter(|id| {
            let machine = self.machines.get(*id);
            machine.is_none_or(|machine| machine.last_response_at.is_none())
        });
        let expired: Vec<MachineId> = expired.cloned().collect();
        if !expired.is_empty() {
            info!(machines = expired.len(), "leases of earlier terms expired");
        }
        for id in expired {
            self.mark_reconciled(&id);
        }
    }
}
