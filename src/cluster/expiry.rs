//! Expiry of leases, of plans for suspected machines and of old submissions.

use std::time::{Duration, Instant};

use tracing::info;

use super::{Cluster, InstanceId, Machine, TaskInstance, TerminationEvidence};
use crate::model::MachineId;

/// How long submissions are kept for the estimate of the expected demand.
pub const ARRIVAL_WINDOW: Duration = Duration::from_secs(180);

/// What has expired on one machine.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    /// The worker lease has expired, so that all tasks dispatched to the machine have ended.
    lease_expired: bool,
    /// The machine's heartbeats are late, so that plans for it are dropped.
    suspected: bool,
}

impl Expiry {
    fn of(machine: &Machine, now: Instant, lease: Duration, suspect_after: Duration) -> Self {
        let lease_expired = |at: Instant| now.saturating_duration_since(at) > lease;
        Self {
            lease_expired: machine.fenced && machine.last_response_at.is_some_and(lease_expired),
            suspected: machine.heartbeat_overdue(now, suspect_after),
        }
    }

    /// Late heartbeats suffice to drop a plan, since nothing was dispatched; a dispatched start
    /// needs proof that it ended.
    fn evidence(self, state: &TaskInstance) -> Option<TerminationEvidence> {
        if state.is_dispatched() {
            self.lease_expired
                .then_some(TerminationEvidence::WorkerLeaseExpired)
        } else {
            self.suspected
                .then_some(TerminationEvidence::NeverDispatched)
        }
    }
}

impl Cluster {
    /// Removes what expires without an event: plans, task instances, worker leases of earlier terms
    /// and old submissions. Only the current leader may call this.
    pub fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.became_leader_at) > self.timing.inherited_lease {
            self.reconcile_expired();
        }
        let mut ended = Vec::new();
        for (id, machine) in &self.machines {
            let expiry = Expiry::of(machine, now, self.timing.lease, self.timing.suspect_after);
            if !(expiry.lease_expired || expiry.suspected) {
                continue;
            }
            for (instance, state) in &machine.instances {
                if let Some(evidence) = expiry.evidence(state) {
                    ended.push((id.clone(), instance.clone(), evidence));
                }
            }
        }
        self.remove_instances(ended);
        let recent = now.checked_sub(ARRIVAL_WINDOW);
        self.arrivals
            .retain(|(at, _)| recent.is_none_or(|recent| *at >= recent));
    }

    fn remove_instances(&mut self, ended: Vec<(MachineId, InstanceId, TerminationEvidence)>) {
        for (machine, instance, evidence) in ended {
            self.remove_instance(&machine, &instance, evidence);
        }
    }

    /// Reconciles machines of earlier terms to which this leader has sent no response: their worker
    /// leases have expired, so that no task can be on them. The fleet decides separately when they
    /// are released.
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
