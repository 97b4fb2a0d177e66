//! Responds to the query of a peer that has lost contact with the key-value store whether this controller has
//! contact.

use actix_web::{web, HttpResponse};

use crate::service::Shared;
use crate::timing::{FOLLOWER_WATCH_TIMEOUT, WATCH_GRACE};

/// Path of the query. The name dates from version 0.1.0 and stays for compatibility with controllers of older
/// versions.
pub const STORE_CONTACT_PATH: &str = "/peer/pulse";

/// `GET /peer/pulse`: 204 if this controller has recent contact with the key-value store, otherwise 503.
pub async fn store_contact(shared: web::Data<Shared>) -> HttpResponse {
    // After a pause of the process no failure may be recorded yet, so a recent contact is required too.
    let contact = shared.links.contact();
    let is_recent = contact
        .answered_request_sent_at
        .is_some_and(|at| at.elapsed() < FOLLOWER_WATCH_TIMEOUT * 2 + WATCH_GRACE);
    if contact.failing_since.is_none() && is_recent {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}
