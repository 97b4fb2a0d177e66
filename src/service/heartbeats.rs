//! Decides the answer to a worker's report.
//!
//! [`decide`] is the only place that grants a 200, a token and orders, whether a report came to
//! this node directly or was forwarded by another one. ReplicaFreshness, lease and the time up to which
//! a machine's tasks may live all count from the moment of this decision, which is never earlier
//! than the moment at which the worker sent the report.

use std::time::Instant;

use super::Shared;
use crate::cluster::{HeartbeatOrdering, HeartbeatSource};
use crate::leader::Role;
use crate::model::{MachineId, Term};
use crate::wire::{Heartbeat, HeartbeatResponse};

/// What a worker is told.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// 200 with this body.
    Accepted(HeartbeatResponse),
    /// 503: this node does not, or no longer, act for the term.
    Unavailable(&'static str),
}

/// Decides under `term`, which this node led when the report came. `clock` is read again right
/// before the answer is given: the process may have stood still since the first look, and its
/// lead, or its time to keep leases alive, be over.
pub fn decide(
    shared: &Shared,
    heartbeat: &Heartbeat,
    term: Term,
    clock: &dyn Fn() -> Instant,
) -> HeartbeatDecision {
    let passing_on = HeartbeatDecision::Unavailable("the lead is passing on");
    let id = MachineId(heartbeat.machine.as_str().into());
    let mut guard = shared.cluster.lock();
    let Some(cluster) = guard.as_mut().filter(|cluster| cluster.term == term) else {
        return passing_on;
    };
    let verified = cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, clock());
    if verified == HeartbeatOrdering::Deposed {
        return passing_on;
    }
    // Looked at under the lock and at the last moment: a lead that has just ended must not send
    // starts, and one whose time to keep leases alive is over must not renew them.
    let now = clock();
    let Some(starts) = starts_allowed(shared, term, now) else {
        return passing_on;
    };
    let token = cluster.mark_answered(&id, now);
    // Stops and clears are safe from whoever holds a token that the worker still obeys. A copy or
    // an older report gets none: its worker does not wait for them.
    let commands = match verified {
        HeartbeatOrdering::Newer => cluster.respond(&id, now, starts),
        HeartbeatOrdering::Older | HeartbeatOrdering::Deposed => Vec::new(),
    };
    if cluster.scheduling_needed {
        shared.wake_scheduler.notify_one();
    }
    let token = token.0;
    HeartbeatDecision::Accepted(HeartbeatResponse { token, commands })
}

/// Whether an answer given now may carry starts; `None` if there may be no answer.
fn starts_allowed(shared: &Shared, term: Term, now: Instant) -> Option<bool> {
    let election = shared.election.lock();
    match election.role(now) {
        Role::Leader(leadership) if leadership.term == term => {
            let refused = shared.links.placement_refusal().is_some();
            Some(!refused && election.leadership_for_starts(now).is_some())
        }
        Role::KeepAlive(own) if own == term => Some(false),
        _ => None,
    }
}
