//! Reports of workers.

use std::sync::atomic::Ordering;
use std::time::Instant;

use actix_web::http::{ConnectionType, StatusCode};
use actix_web::{web, HttpResponse};

use super::{cbor, problem};
use crate::cluster::{Verified, Way};
use crate::leader::Standing;
use crate::model::{MachineId, Term, Token};
use crate::service::Shared;
use crate::wire::{self, Order, Redirect, Report, ReportAnswer};

/// `POST /hello`
///
/// Connections are closed after the answer where they run short, and wherever the worker is
/// sent elsewhere: all workers leave a former leader at once, and come to it again when they
/// look for a new one.
pub async fn hello(
    shared: web::Data<Shared>,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let mut answer = respond(&shared, body, &Instant::now);
    let stays = answer.status() == StatusCode::OK;
    if !stays {
        shared.misdirected.fetch_add(1, Ordering::Relaxed);
    }
    if !stays || shared.open() > shared.sockets.reports_close {
        let head = answer.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    answer
}

/// The answer to a report. `clock` is read again right before the answer is given: the process
/// may have stood still since the first look, and its lead or its time as a caretaker be over.
pub fn respond(
    shared: &Shared,
    body: Result<web::Bytes, actix_web::Error>,
    clock: &dyn Fn() -> Instant,
) -> HttpResponse {
    let Ok(body) = body else {
        return problem(StatusCode::BAD_REQUEST, "body too large or cut off");
    };
    let standing = shared.role.lock().standing(clock());
    let term = match standing {
        Standing::Lead(lead) => lead.term,
        Standing::Caretake(term) => term,
        Standing::Follow(Some(_)) if !sends_on(shared, clock()) => {
            return problem(StatusCode::SERVICE_UNAVAILABLE, "too many go to the leader");
        }
        Standing::Follow(Some(member)) => {
            let report_to = Some(member);
            return cbor(StatusCode::MISDIRECTED_REQUEST, &Redirect { report_to });
        }
        Standing::Follow(None) => {
            return problem(StatusCode::SERVICE_UNAVAILABLE, "nobody leads");
        }
    };
    let report: Report = match wire::decode(&body) {
        Ok(report) => report,
        Err(error) => return problem(StatusCode::BAD_REQUEST, error.to_string()),
    };
    match take(shared, &report, term, clock) {
        Some((token, orders, wake)) => {
            if wake {
                shared.wake_round.notify_one();
            }
            let token = token.0;
            cbor(StatusCode::OK, &ReportAnswer { token, orders })
        }
        None => problem(StatusCode::SERVICE_UNAVAILABLE, "the lead is passing on"),
    }
}

/// Whether another worker may be sent to the leader now.
fn sends_on(shared: &Shared, now: Instant) -> bool {
    let mut redirects = shared.redirects.lock();
    let may = redirects.level(now) >= 1.0;
    if may {
        redirects.take(1.0, now);
    }
    may
}

/// The token and the orders for the worker, and whether a round should look; `None` if another one leads.
fn take(
    shared: &Shared,
    report: &Report,
    term: Term,
    clock: &dyn Fn() -> Instant,
) -> Option<(Token, Vec<Order>, bool)> {
    let id = MachineId(report.machine.as_str().into());
    let mut guard = shared.cluster.lock();
    let cluster = guard.as_mut().filter(|cluster| cluster.term == term)?;
    let verified = cluster.report(report, Way::Own, clock());
    if verified == Verified::Deposed {
        return None;
    }
    // Looked at under the lock and at the last moment: a lead that has just ended must not send
    // starts, and a caretaker whose time is over must not renew leases.
    let now = clock();
    let starts = {
        let role = shared.role.lock();
        match role.standing(now) {
            Standing::Lead(lead) if lead.term == term => role.starting(now).is_some(),
            Standing::Caretake(own) if own == term => false,
            _ => return None,
        }
    };
    let token = cluster.touch(&id, now);
    // Stops and clears are safe from whoever holds a token that the worker still obeys.
    let orders = if verified == Verified::Newer {
        cluster.answer(&id, now, starts)
    } else {
        Vec::new()
    };
    Some((token, orders, cluster.dirty))
}
