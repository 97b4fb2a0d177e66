//! Takes the leader's digests.

use std::sync::atomic::Ordering;
use std::time::Instant;

use actix_web::{web, HttpResponse};

use super::{decode, encode, BINCODE};
use crate::service::Shared;
use crate::state_summary::{StateSummary, SummaryReply};

/// Path of the digest.
pub const SUMMARY: &str = "/peer/digest";
/// `POST /peer/summary`
pub async fn take_summary(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
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
    shared.links.summary_received(Instant::now());
    let misdirected = shared.misdirected.load(Ordering::Relaxed);
    let heard = encode(&SummaryReply { misdirected }).unwrap_or_default();
    let mut answer = if shared.summary_cache.lock().take(summary) {
        HttpResponse::Ok()
    } else {
        HttpResponse::Conflict()
    };
    answer.content_type(BINCODE).body(heard)
}
