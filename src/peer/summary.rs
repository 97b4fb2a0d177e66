//! Receives state summaries from the leader.

use std::time::Instant;

use actix_web::{web, HttpResponse};

use super::{decode, encode, BINCODE_CONTENT_TYPE};
use crate::service::Shared;
use crate::state_summary::{StateSummary, SummaryReply};

/// Path of state summaries; the name is part of the wire format.
pub const SUMMARY_PATH: &str = "/peer/digest";

/// `POST /peer/digest`: a state summary; 409 if it cannot be applied and the leader must send a full one.
pub async fn receive_summary(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(summary) = decode::<StateSummary>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !shared.settings.has_peer(&summary.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared
        .election
        .lock()
        .observe_leader(summary.term, &summary.member);
    shared.links.record_summary(Instant::now());
    let misdirected = shared.forwarding.misdirected();
    let reply = encode(&SummaryReply { misdirected }).unwrap_or_default();
    let mut response = if shared.summary_cache.lock().apply(summary) {
        HttpResponse::Ok()
    } else {
        HttpResponse::Conflict()
    };
    response.content_type(BINCODE_CONTENT_TYPE).body(reply)
}
