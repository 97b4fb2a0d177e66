//! Receives notifications of cancellations from peers, so that this controller terminates the tasks at once.

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::decode;
use crate::model::JobId;
use crate::service::Shared;

/// Path of notifications of cancelled jobs.
pub const CANCELLED_PATH: &str = "/peer/cancelled";
/// Largest body accepted, which holds more jobs than a peer queues at once, see
/// [`crate::service::UnpublishedCancellations`].
pub const CANCELLED_BYTES_MAX: usize = 64 * 1024;

/// A notification of jobs whose cancellation is on record, sent to all peers at once. A controller that
/// cannot reach the key-value store but still responds to heartbeats receives the cancellations in no other
/// way. The notification only leads to an earlier termination of the tasks;
/// [`crate::leader::ReplicaFreshness`] ensures that they have terminated by the cancellation deadline.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CancellationNotice {
    /// Name of the sending controller; notifications from unknown ones are rejected.
    pub member: String,
    /// The cancelled jobs, at most as many as the sender queues.
    pub jobs: Vec<JobId>,
}

/// `POST /peer/cancelled`: terminates the tasks of the cancelled jobs.
pub async fn receive_cancelled(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(notification) = decode::<CancellationNotice>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !shared.settings.has_peer(&notification.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.cancel_tasks(&notification.jobs);
    HttpResponse::NoContent().finish()
}
