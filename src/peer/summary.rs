//! Receives the leader's state summaries.

use std::time::Instant;

use actix_web::{web, HttpResponse};

use super::{decode, encode, BINCODE};
use crate::service::Shared;
use crate::state_summary::{StateSummary, SummaryReply};

/// Path of state summaries. The name on the wire stays.
pub const SUMMARY: &str = "/peer/digest";

/// `POST /peer/digest`
pub async fn receive_summary(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(summary) = decode::<StateSummary>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !shared.settings.knows(&summary.member) {
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
    response.content_type(BINCODE).body(reply)
}
