//! Reports of workers.

use std::sync::atomic::Ordering;
use std::time::Instant;

use actix_web::http::{ConnectionType, StatusCode};
use actix_web::{web, HttpRequest, HttpResponse};

use super::{cbor, problem};
use crate::forwarding::messages::ForwardedAnswer;
use crate::forwarding::{PendingHeartbeat, QueueFull, Route, ANSWER_LIMIT};
use crate::leader::{LeaderHint, Role};
use crate::model::FencingToken;
use crate::service::heartbeats::{decide, HeartbeatDecision};
use crate::service::{OpenConnection, Shared};
use crate::wire::{self, Heartbeat, Redirect};

/// What becomes of a report.
#[derive(Debug)]
pub enum Reception {
    /// This node answers it.
    Answered(HttpResponse),
    /// It was queued for the leader.
    Forwarded(PendingHeartbeat),
}

/// `POST /hello`
///
/// Connections are closed after the answer where they run short, and wherever the worker is
/// sent elsewhere: it would not come back to this one.
pub async fn hello(
    shared: web::Data<Shared>,
    request: HttpRequest,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let first = request
        .conn_data::<OpenConnection>()
        .is_some_and(OpenConnection::first_request);
    let mut answer = match receive(&shared, body, &Instant::now) {
        Reception::Answered(answer) => answer,
        Reception::Forwarded(pending) => await_leader(&shared, pending).await,
    };
    let status = answer.status().as_u16();
    shared.metrics.lock().heartbeats.answered(first, status);
    let stays = answer.status() == StatusCode::OK;
    if !stays {
        shared.misdirected.fetch_add(1, Ordering::Relaxed);
    }
    if !stays || shared.open() > shared.sockets.heartbeats_close {
        let head = answer.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    answer
}

/// Answers a report, or queues it for the leader. `clock` is read again right before an answer is
/// given: the process may have stood still since the first look.
pub fn receive(
    shared: &Shared,
    body: Result<web::Bytes, actix_web::Error>,
    clock: &dyn Fn() -> Instant,
) -> Reception {
    let Ok(body) = body else {
        let answer = problem(StatusCode::BAD_REQUEST, "body too large or cut off");
        return Reception::Answered(answer);
    };
    let role = shared.election.lock().role(clock());
    let term = match role {
        Role::Leader(leadership) => leadership.term,
        Role::KeepAlive(term) => term,
        Role::Follower(Some(leader)) => return to_leader(shared, &leader, &body, clock()),
        Role::Follower(None) => return Reception::Answered(unavailable("nobody leads")),
    };
    let heartbeat: Heartbeat = match wire::decode(&body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return Reception::Answered(malformed(&error)),
    };
    shared.links.worker_reported(&heartbeat, clock());
    Reception::Answered(match decide(shared, &heartbeat, term, clock) {
        HeartbeatDecision::Accepted(answer) => {
            shared.links.worker_answered(&heartbeat.machine);
            cbor(StatusCode::OK, &answer)
        }
        HeartbeatDecision::Unavailable(why) => unavailable(why),
    })
}

fn unavailable(why: &str) -> HttpResponse {
    problem(StatusCode::SERVICE_UNAVAILABLE, why)
}

fn malformed(error: &wire::WireError) -> HttpResponse {
    problem(StatusCode::BAD_REQUEST, error.to_string())
}

/// Queues a report for the leader, or says at once why not.
fn to_leader(shared: &Shared, leader: &LeaderHint, body: &[u8], now: Instant) -> Reception {
    let route = match shared.settings.peer_address(&leader.member) {
        Some(_) => shared.forwarding.lock().route(leader, now),
        None => Route::Redirect,
    };
    match route {
        Route::Forward => {}
        Route::Redirect => return Reception::Answered(redirect(shared, leader, now)),
        Route::Refuse => {
            let answer = unavailable("the leader is out of this node's reach");
            return Reception::Answered(answer);
        }
    }
    let heartbeat: Heartbeat = match wire::decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => return Reception::Answered(malformed(&error)),
    };
    if FencingToken(heartbeat.token).term() > leader.term {
        let answer = unavailable("the worker knows a newer leader");
        return Reception::Answered(answer);
    }
    shared.links.worker_reported(&heartbeat, now);
    let queued = shared.forwarding.lock().enqueue(heartbeat, body.len(), now);
    match queued {
        Ok(pending) => {
            shared.wake_forwarding.notify_one();
            Reception::Forwarded(pending)
        }
        Err(QueueFull) => Reception::Answered(unavailable("too many reports wait for the leader")),
    }
}

/// Names the leader to a worker, unless more go there than it can take in.
fn redirect(shared: &Shared, leader: &LeaderHint, now: Instant) -> HttpResponse {
    if !may_redirect(shared, now) {
        return unavailable("too many go to the leader");
    }
    let report_to = Some(leader.member.clone());
    cbor(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to })
}

/// Whether another worker may be sent to the leader now.
fn may_redirect(shared: &Shared, now: Instant) -> bool {
    let mut redirects = shared.redirects.lock();
    let may = redirects.level(now) >= 1.0;
    if may {
        redirects.take(1.0, now);
    }
    may
}

async fn await_leader(shared: &Shared, mut pending: PendingHeartbeat) -> HttpResponse {
    let answer = actix::clock::timeout(ANSWER_LIMIT, &mut pending.answer).await;
    let answer = answer.ok().and_then(Result::ok);
    let now = Instant::now();
    match answer {
        Some(answer) => {
            let passed_on = pass_on(&pending, answer, now);
            if passed_on.status() == StatusCode::OK {
                shared.links.worker_answered(&pending.machine);
            }
            passed_on
        }
        None => no_answer(shared, now),
    }
}

/// Passes the leader's answer on, or tells the worker to try another node.
pub fn pass_on(pending: &PendingHeartbeat, answer: ForwardedAnswer, now: Instant) -> HttpResponse {
    match pending.passed_on(answer, now) {
        Some(answer) => cbor(StatusCode::OK, &answer),
        None => unavailable("the leader's answer is of no use to the worker"),
    }
}

/// The answer to a worker whose report the leader did not answer: where the nodes can't reach
/// each other, the worker may reach the leader.
pub fn no_answer(shared: &Shared, now: Instant) -> HttpResponse {
    let role = shared.election.lock().role(now);
    if let Role::Follower(Some(leader)) = role {
        let route = shared.forwarding.lock().route(&leader, now);
        if route == Route::Redirect {
            return redirect(shared, &leader, now);
        }
    }
    unavailable("the leader did not answer")
}
