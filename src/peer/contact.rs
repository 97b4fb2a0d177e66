//! Answers a peer that lost the key-value store whether this node reaches it.

use actix_web::{web, HttpResponse};

use crate::service::Shared;
use crate::timing::{FOLLOWER_WATCH_TIMEOUT, WATCH_GRACE};

/// Path of the query. Its name dates from 0.1.0 and stays for the sake of older nodes.
pub const CONTACT: &str = "/peer/pulse";

/// `GET /peer/pulse`
pub async fn store_contact(shared: web::Data<Shared>) -> HttpResponse {
    // After a pause of the process, neither a failure nor a recent contact is known yet.
    let contact = shared.links.contact();
    let recent = contact
        .answered_request_sent_at
        .is_some_and(|at| at.elapsed() < FOLLOWER_WATCH_TIMEOUT * 2 + WATCH_GRACE);
    if contact.failing_since.is_none() && recent {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}
