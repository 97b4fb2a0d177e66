//! Decides the response to a heartbeat.
//!
//! [`decide`] is the only place that grants a 200, a fencing token and commands, whether a heartbeat
//! arrived at this node directly or was forwarded by another one. The staleness bound of the replica,
//! the lease, and the time until which a machine's tasks may run all count from the moment of this
//! decision, which is never earlier than the moment at which the agent sent the heartbeat.

use std::time::Instant;

use super::Shared;
use crate::cluster::{HeartbeatOrdering, HeartbeatSource};
use crate::leader::Role;
use crate::model::{MachineId, Term};
use crate::wire::{Heartbeat, HeartbeatResponse};

/// The response to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// 200 with this body.
    Accepted(HeartbeatResponse),
    /// 503: this node does not, or no longer, act for the term.
    NotLeading,
}

/// Decides under `term`, which this node led when the heartbeat arrived. `clock` is read again right
/// before the response: the process may have been paused since the first reading, and its leadership,
/// or its time to keep leases alive, may be over.
pub fn decide(
    shared: &Shared,
    heartbeat: &Heartbeat,
    term: Term,
    clock: &dyn Fn() -> Instant,
) -> HeartbeatDecision {
    let not_leading = HeartbeatDecision::NotLeading;
    let id = MachineId(heartbeat.machine.as_str().into());
    let mut guard = shared.cluster.lock();
    let Some(cluster) = guard.as_mut().filter(|cluster| cluster.term == term) else {
        return not_leading;
    };
    let verified = cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, clock());
    if verified == HeartbeatOrdering::Deposed {
        return not_leading;
    }
    // Checked under the lock and at the last moment: a leadership that has just ended must not send
    // starts, and one whose time to keep leases alive is over must not renew them.
    let now = clock();
    let Some(starts) = starts_allowed(shared, term, now) else {
        return not_leading;
    };
    let token = cluster.record_response(&id, now);
    // Terminations and clears are safe under any token that the agent still accepts. A copy or an
    // older heartbeat gets none: its agent does not wait for them.
    let commands = match verified {
        HeartbeatOrdering::Newer => cluster.respond(&id, now, starts),
        HeartbeatOrdering::Older | HeartbeatOrdering::Deposed => Vec::new(),
    };
    if cluster.scheduling_needed {
        shared.wake_ups.scheduler.notify_one();
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
