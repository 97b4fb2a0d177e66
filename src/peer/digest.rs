//! Takes the leader's digests.

use std::sync::atomic::Ordering;
use std::time::Instant;

use actix_web::{web, HttpResponse};

use super::{decode, encode, BINCODE};
use crate::digest::{Digest, DigestReply};
use crate::service::Shared;

/// Path of the digest.
pub const DIGEST: &str = "/peer/digest";
/// `POST /peer/digest`
pub async fn take_digest(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(digest) = decode::<Digest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !shared.settings.knows(&digest.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.role.lock().hears(digest.term, &digest.member);
    shared.links.digest_came(Instant::now());
    let misdirected = shared.misdirected.load(Ordering::Relaxed);
    let heard = encode(&DigestReply { misdirected }).unwrap_or_default();
    let mut answer = if shared.digest_view.lock().take(digest) {
        HttpResponse::Ok()
    } else {
        HttpResponse::Conflict()
    };
    answer.content_type(BINCODE).body(heard)
}
