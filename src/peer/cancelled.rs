//! Cancellations told directly, so that whoever answers reports stops those tasks at once.

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::decode;
use crate::model::JobId;
use crate::service::Shared;

/// Path of cancelled jobs.
pub const CANCELLED: &str = "/peer/cancelled";
/// Largest list taken: more than wait at once, see [`crate::service::Shared`].
pub const CANCELLED_LIMIT: usize = 64 * 1024;

/// Jobs whose cancellation is on record, told to the other nodes at once: one that the state
/// service refuses alone, and that answers reports for a while yet, learns it no other way. It
/// makes the end of their tasks sooner; that they end in time rests on
/// [`crate::leader::ReplicaFreshness`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Who tells.
    pub member: String,
    /// The jobs.
    pub jobs: Vec<JobId>,
}

/// `POST /peer/cancelled`
pub async fn take_cancelled(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(told) = decode::<Cancelled>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !shared.settings.knows(&told.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.cancel_tasks(&told.jobs);
    HttpResponse::NoContent().finish()
}
