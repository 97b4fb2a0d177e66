//! Handler of heartbeats from the agents on machines.

use std::time::Instant;

use actix_web::http::{ConnectionType, StatusCode};
use actix_web::{web, HttpRequest, HttpResponse};

use super::{cbor_response, error_response};
use crate::forwarding::messages::ForwardedAnswer;
use crate::forwarding::{ForwardingRoute, PendingHeartbeat, QueueFull, RELAY_TIMEOUT};
use crate::leader::{LeaderHint, Role};
use crate::model::FencingToken;
use crate::service::heartbeats::{decide, HeartbeatDecision};
use crate::service::{OpenConnection, Shared};
use crate::wire::{self, Heartbeat, Redirect};

/// The result of receiving a heartbeat.
#[derive(Debug)]
pub enum HeartbeatOutcome {
    /// This controller responds at once.
    Answered(HttpResponse),
    /// The heartbeat is queued for the leader, whose response will be relayed.
    Queued(PendingHeartbeat),
}

/// `POST /hello`: a heartbeat.
///
/// The connection is closed after the response while more public connections are open than the threshold for
/// heartbeats, and after any response other than 200: the agent then sends to another controller and does not
/// use this connection again.
pub async fn heartbeat(
    shared: web::Data<Shared>,
    request: HttpRequest,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let first_request = request
        .conn_data::<OpenConnection>()
        .is_some_and(OpenConnection::first_request);
    let mut response = match receive_heartbeat(&shared, body, &Instant::now) {
        HeartbeatOutcome::Answered(response) => response,
        HeartbeatOutcome::Queued(pending) => relay_from_leader(&shared, pending).await,
    };
    let status = response.status().as_u16();
    shared
        .metrics
        .lock()
        .heartbeats
        .record_response(first_request, status);
    let agent_stays = response.status() == StatusCode::OK;
    if !agent_stays {
        shared.forwarding.count_misdirected();
    }
    if !agent_stays || shared.connections.open() > shared.sockets.heartbeat_close_threshold {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

/// Responds to a heartbeat, or queues it for the leader. `clock` is read again right before the response is
/// built, because the process may have been paused since the first reading.
pub fn receive_heartbeat(
    shared: &Shared,
    body: Result<web::Bytes, actix_web::Error>,
    clock: &dyn Fn() -> Instant,
) -> HeartbeatOutcome {
    let Ok(body) = body else {
        let response = error_response(StatusCode::BAD_REQUEST, "body too large or cut off");
        return HeartbeatOutcome::Answered(response);
    };
    let role = shared.election.lock().role(clock());
    let term = match role {
        Role::Leader(leadership) => leadership.term,
        Role::KeepAlive(term) => term,
        Role::Follower(Some(leader)) => return queue_for_leader(shared, &leader, &body, clock()),
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
            let (machine, id) = (&heartbeat.machine, heartbeat.id());
            shared.links.record_worker_response(machine, id);
            cbor_response(StatusCode::OK, &answer)
        }
        HeartbeatDecision::NotLeading => unavailable(Unavailable::LeadershipChanging),
    })
}

/// Why a heartbeat gets the status 503.
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
    /// The error text of the response, which is part of the interface.
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
    error_response(StatusCode::SERVICE_UNAVAILABLE, reason.text())
}

fn malformed(error: &wire::WireError) -> HttpResponse {
    error_response(StatusCode::BAD_REQUEST, error.to_string())
}

/// Queues a heartbeat for the leader, or responds at once if it cannot be forwarded.
fn queue_for_leader(
    shared: &Shared,
    leader: &LeaderHint,
    body: &[u8],
    now: Instant,
) -> HeartbeatOutcome {
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
            let response = unavailable(Unavailable::LeaderUnreachable);
            return HeartbeatOutcome::Answered(response);
        }
    }
    let heartbeat: Heartbeat = match wire::decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return HeartbeatOutcome::Answered(malformed(&error)),
    };
    if FencingToken(heartbeat.token).term() > leader.term {
        let response = unavailable(Unavailable::NewerLeaderKnown);
        return HeartbeatOutcome::Answered(response);
    }
    shared.links.record_worker_heartbeat(&heartbeat, now);
    let queued = shared
        .forwarding
        .lock()
        .enqueue(heartbeat, leader, body.len(), now);
    match queued {
        Ok(pending) => {
            shared.wake_ups.forwarding.notify_one();
            HeartbeatOutcome::Queued(pending)
        }
        Err(QueueFull) => HeartbeatOutcome::Answered(unavailable(Unavailable::QueueFull)),
    }
}

/// Redirects an agent to the leader, unless the rate limit for redirects is reached.
fn redirect(shared: &Shared, leader: &LeaderHint, now: Instant) -> HttpResponse {
    if !shared.forwarding.try_redirect(now) {
        return unavailable(Unavailable::RedirectLimit);
    }
    let report_to = Some(leader.member.clone());
    cbor_response(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to })
}

async fn relay_from_leader(shared: &Shared, mut pending: PendingHeartbeat) -> HttpResponse {
    let answer = actix::clock::timeout(RELAY_TIMEOUT, &mut pending.answer).await;
    let answer = answer.ok().and_then(Result::ok);
    let now = Instant::now();
    match answer {
        Some(answer) => {
            let response = relay_response(&pending, answer, now);
            if response.status() == StatusCode::OK {
                let (machine, id) = (&pending.machine, pending.heartbeat);
                shared.links.record_worker_response(machine, id);
            }
            response
        }
        None => upstream_unavailable(shared, now),
    }
}

/// Builds the response to an agent from the leader's decision. If the agent cannot use the decision, the
/// response is an error, so that the agent tries another controller.
pub fn relay_response(
    pending: &PendingHeartbeat,
    answer: ForwardedAnswer,
    now: Instant,
) -> HttpResponse {
    match pending.relayed_response(answer, now) {
        Some(response) => cbor_response(StatusCode::OK, &response),
        None => unavailable(Unavailable::ResponseUnusable),
    }
}

/// Builds the response for a forwarded heartbeat without a decision of the leader. It redirects the agent to
/// the leader where the route allows that: the agent may reach the leader although this controller does not.
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
