//! Cancellations of which a peer notifies this node, so that their tasks stop at once.

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::decode;
use crate::model::JobId;
use crate::service::Shared;

/// Path of cancelled jobs.
pub const CANCELLED: &str = "/peer/cancelled";
/// Largest body accepted: more than a peer queues at once, see
/// [`crate::service::UnpublishedCancellations`].
pub const CANCELLED_LIMIT: usize = 64 * 1024;

/// Jobs whose cancellation is on record, of which all other nodes are notified at once: a node that
/// alone can't reach the key-value store, and still answers heartbeats, learns of it in no other way.
/// The notification stops tasks earlier; that they stop in time follows from
/// [`crate::leader::ReplicaFreshness`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cancelled {
    /// The sender.
    pub member: String,
    /// The jobs.
    pub jobs: Vec<JobId>,
}

/// `POST /peer/cancelled`
pub async fn receive_cancelled(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(notification) = decode::<Cancelled>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !shared.settings.knows(&notification.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.cancel_tasks(&notification.jobs);
    HttpResponse::NoContent().finish()
}
