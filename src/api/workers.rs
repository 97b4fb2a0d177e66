//! Heartbeats of the agents on machines.

use std::time::Instant;

use actix_web::http::{ConnectionType, StatusCode};
use actix_web::{web, HttpRequest, HttpResponse};

use super::{cbor, problem};
use crate::forwarding::messages::ForwardedAnswer;
use crate::forwarding::{ForwardingRoute, PendingHeartbeat, QueueFull, RELAY_TIMEOUT};
use crate::leader::{LeaderHint, Role};
use crate::model::FencingToken;
use crate::service::heartbeats::{decide, HeartbeatDecision};
use crate::service::{OpenConnection, Shared};
use crate::wire::{self, Heartbeat, Redirect};

/// How a heartbeat is answered.
#[derive(Debug)]
pub enum HeartbeatOutcome {
    /// By this node.
    Answered(HttpResponse),
    /// By the leader, for which it was queued.
    Queued(PendingHeartbeat),
}

/// `POST /hello`
///
/// The connection is closed after the response where connections are scarce, and where the agent has to
/// go elsewhere: it would not use this one again.
pub async fn heartbeat(
    shared: web::Data<Shared>,
    request: HttpRequest,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let first = request
        .conn_data::<OpenConnection>()
        .is_some_and(OpenConnection::first_request);
    let mut answer = match receive(&shared, body, &Instant::now) {
        HeartbeatOutcome::Answered(answer) => answer,
        HeartbeatOutcome::Queued(pending) => await_leader(&shared, pending).await,
    };
    let status = answer.status().as_u16();
    shared.metrics.lock().heartbeats.answered(first, status);
    let stays = answer.status() == StatusCode::OK;
    if !stays {
        shared.forwarding.count_misdirected();
    }
    if !stays || shared.connections.open() > shared.sockets.heartbeats_close {
        let head = answer.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    answer
}

/// Answers a heartbeat, or queues it for the leader. `clock` is read again right before the response:
/// the process may have been paused since the first reading.
pub fn receive(
    shared: &Shared,
    body: Result<web::Bytes, actix_web::Error>,
    clock: &dyn Fn() -> Instant,
) -> HeartbeatOutcome {
    let Ok(body) = body else {
        let answer = problem(StatusCode::BAD_REQUEST, "body too large or cut off");
        return HeartbeatOutcome::Answered(answer);
    };
    let role = shared.election.lock().role(clock());
    let term = match role {
        Role::Leader(leadership) => leadership.term,
        Role::KeepAlive(term) => term,
        Role::Follower(Some(leader)) => return to_leader(shared, &leader, &body, clock()),
        Role::Follower(None) => {
            return HeartbeatOutcome::Answered(unavailable(Unavailable::NoLeader))
        }
    };
    let heartbeat: Heartbeat = match wire::decode(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return HeartbeatOutcome::Answered(malformed(&error)),
    };
    shared.links.record_worker_heartbeat(&heartbeat, clock());
    HeartbeatOutcome::Answered(match decide(shared, &heartbeat, term, clock) {
        HeartbeatDecision::Accepted(answer) => {
            shared.links.record_worker_response(&heartbeat.machine);
            cbor(StatusCode::OK, &answer)
        }
        HeartbeatDecision::NotLeading => unavailable(Unavailable::LeadershipChanging),
    })
}

/// Why a heartbeat is answered with 503.
#[derive(Debug, Clone, Copy)]
enum Unavailable {
    NoLeader,
    LeadershipChanging,
    LeaderUnreachable,
    NewerLeaderKnown,
    QueueFull,
    RedirectLimit,
    ResponseUnusable,
    NoResponse,
}

impl Unavailable {
    /// The text of the response; it is part of the interface.
    fn text(self) -> &'static str {
        match self {
            Self::NoLeader => "nobody leads",
            Self::LeadershipChanging => "the lead is passing on",
            Self::LeaderUnreachable => "the leader is out of this node's reach",
            Self::NewerLeaderKnown => "the worker knows a newer leader",
            Self::QueueFull => "too many reports wait for the leader",
            Self::RedirectLimit => "too many go to the leader",
            Self::ResponseUnusable => "the leader's answer is of no use to the worker",
            Self::NoResponse => "the leader did not answer",
        }
    }
}

fn unavailable(reason: Unavailable) -> HttpResponse {
    problem(StatusCode::SERVICE_UNAVAILABLE, reason.text())
}

fn malformed(error: &wire::WireError) -> HttpResponse {
    problem(StatusCode::BAD_REQUEST, error.to_string())
}

/// Queues a heartbeat for the leader, or answers at once.
fn to_leader(shared: &Shared, leader: &LeaderHint, body: &[u8], now: Instant) -> HeartbeatOutcome {
    let route = match shared.settings.peer_address(&leader.member) {
        Some(_) => shared.forwarding.lock().route(leader, now),
        None => ForwardingRoute::Redirect,
    };
    match route {
        ForwardingRoute::Forward => {}
        ForwardingRoute::Redirect => {
            return HeartbeatOutcome::Answered(redirect(shared, leader, now))
        }
        ForwardingRoute::Reject => {
            let answer = unavailable(Unavailable::LeaderUnreachable);
            return HeartbeatOutcome::Answered(answer);
        }
    }
    let heartbeat: Heartbeat = match wire::decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return HeartbeatOutcome::Answered(malformed(&error)),
    };
    if FencingToken(heartbeat.token).term() > leader.term {
        let answer = unavailable(Unavailable::NewerLeaderKnown);
        return HeartbeatOutcome::Answered(answer);
    }
    shared.links.record_worker_heartbeat(&heartbeat, now);
    let queued = shared.forwarding.lock().enqueue(heartbeat, body.len(), now);
    match queued {
        Ok(pending) => {
            shared.wake_ups.forwarding.notify_one();
            HeartbeatOutcome::Queued(pending)
        }
        Err(QueueFull) => HeartbeatOutcome::Answered(unavailable(Unavailable::QueueFull)),
    }
}

/// Redirects an agent to the leader, unless the rate limit of redirects is reached.
fn redirect(shared: &Shared, leader: &LeaderHint, now: Instant) -> HttpResponse {
    if !shared.forwarding.try_redirect(now) {
        return unavailable(Unavailable::RedirectLimit);
    }
    let report_to = Some(leader.member.clone());
    cbor(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to })
}

async fn await_leader(shared: &Shared, mut pending: PendingHeartbeat) -> HttpResponse {
    let answer = actix::clock::timeout(RELAY_TIMEOUT, &mut pending.answer).await;
    let answer = answer.ok().and_then(Result::ok);
    let now = Instant::now();
    match answer {
        Some(answer) => {
            let relayed = relay_response(&pending, answer, now);
            if relayed.status() == StatusCode::OK {
                shared.links.record_worker_response(&pending.machine);
            }
            relayed
        }
        None => upstream_unavailable(shared, now),
    }
}

/// Relays the leader's response, or answers with an error so that the agent tries another node.
pub fn relay_response(
    pending: &PendingHeartbeat,
    answer: ForwardedAnswer,
    now: Instant,
) -> HttpResponse {
    match pending.relayed_response(answer, now) {
        Some(answer) => cbor(StatusCode::OK, &answer),
        None => unavailable(Unavailable::ResponseUnusable),
    }
}

/// The response where the leader did not answer: where the nodes can't reach each other, the agent may
/// still reach the leader.
pub fn upstream_unavailable(shared: &Shared, now: Instant) -> HttpResponse {
    let role = shared.election.lock().role(now);
    if let Role::Follower(Some(leader)) = role {
        let route = shared.forwarding.lock().route(&leader, now);
        if route == ForwardingRoute::Redirect {
            return redirect(shared, &leader, now);
        }
    }
    unavailable(Unavailable::NoResponse)
}
