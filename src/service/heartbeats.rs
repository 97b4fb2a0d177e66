//! Decides the response to a heartbeat.
//!
//! [`decide`] is the only function that grants a 200, a fencing token and commands, whether a heartbeat
//! arrived at this controller directly or was forwarded by a peer. The staleness bound of the replica,
//! the lease, and the time until which a machine's tasks may run are all measured from the time of this
//! decision, which is never earlier than the time at which the agent sent the heartbeat.

use std::time::Instant;

use super::Shared;
use crate::cluster::{HeartbeatOrdering, HeartbeatSource};
use crate::leader::Role;
use crate::model::{MachineId, Term};
use crate::wire::{Heartbeat, HeartbeatResponse};

/// The response to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub enum HeartbeatDecision {
    /// 200 with this body, which extends the agent's lease.
    Accepted(HeartbeatResponse),
    /// 503: this controller does not act as leader of the term, or no longer does.
    NotLeading,
}

/// Decides on a heartbeat under `term`, in which this controller led when the heartbeat arrived. `clock` is
/// read again right before the response: the process may have been paused since the first reading, and its
/// leadership, or the period in which it may still extend leases, may have ended.
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
    let ordering = cluster.apply_heartbeat(heartbeat, HeartbeatSource::Worker, clock());
    if ordering == HeartbeatOrdering::Deposed {
        return not_leading;
    }
    // This is checked last and under the lock: a leader whose leadership has just ended must not send
    // starts, and a former leader whose period for extending leases has ended must not extend them.
    let now = clock();
    let Some(with_starts) = starts_allowed(shared, term, now) else {
        return not_leading;
    };
    let token = cluster.record_response(&id, now);
    // Terminations and clears are safe under any token that the agent still accepts. The response to a
    // duplicate or older heartbeat has no commands, since the agent no longer waits for it.
    let commands = match ordering {
        HeartbeatOrdering::Newer => cluster.respond(&id, now, with_starts),
        HeartbeatOrdering::Older | HeartbeatOrdering::Deposed => Vec::new(),
    };
    if cluster.scheduling_needed {
        shared.wake_ups.scheduler.notify_one();
    }
    let token = token.0;
    HeartbeatDecision::Accepted(HeartbeatResponse { token, commands })
}

/// Whether a response sent now may contain starts; `None` if no 200 may be sent.
fn starts_allowed(shared: &Shared, term: Term, now: Instant) -> Option<bool> {
    let election = shared.election.lock();
    match election.role(now) {
        Role::Leader(leadership) if leadership.term == term => {
            let is_refused = shared.links.placement_refusal().is_some();
            Some(!is_refused && election.leadership_for_starts(now).is_some())
        }
        Role::KeepAlive(own_term) if own_term == term => Some(false),
        _ => None,
    }
}
