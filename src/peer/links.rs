//! Rows of the connectivity matrix between the nodes. A node on which links are not turned on, or of an
//! earlier version, answers 404.

use std::time::{Instant, SystemTime};

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use knotlanding_links::row::{RowMessage, RowRejection, RowReply, ROW_VERSION};

use super::{decode, decode_prefix, encode, BINCODE};
use crate::service::links::ActiveLinks;
use crate::service::Shared;
use crate::time::unix_ms;

/// Path of rows.
pub const LINKS: &str = "/peer/links";

/// Decodes a row; what follows an unknown version is not decoded.
pub fn decode_row(bytes: &[u8]) -> Result<RowMessage, RowRejection> {
    let version = decode_prefix::<u16>(bytes).ok_or(RowRejection::Malformed)?;
    if version != ROW_VERSION {
        return Err(RowRejection::UnknownVersion(version));
    }
    decode(bytes).ok_or(RowRejection::Malformed)
}

/// Decodes a row and applies it. The sender of one that can't be decoded is unknown.
pub fn take_bytes(
    active: &ActiveLinks,
    bytes: &[u8],
    now: Instant,
    wall: SystemTime,
) -> Result<RowReply, RowRejection> {
    match decode_row(bytes) {
        Ok(message) => active.accept_row(message, now, unix_ms(wall)),
        Err(why) => {
            active.record_row_rejection("", why);
            Err(why)
        }
    }
}

fn status_of(why: RowRejection) -> StatusCode {
    match why {
        RowRejection::Body | RowRejection::Malformed | RowRejection::UnknownVersion(_) => {
            StatusCode::BAD_REQUEST
        }
        RowRejection::UnknownMember => StatusCode::FORBIDDEN,
        RowRejection::FormerIncarnation | RowRejection::NotNewer | RowRejection::TooOld => {
            StatusCode::CONFLICT
        }
    }
}

/// `POST /peer/links`
pub async fn receive_row(
    shared: web::Data<Shared>,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let Some(active) = shared.links.active() else {
        return HttpResponse::NotFound().finish();
    };
    let taken = match body {
        Ok(bytes) => take_bytes(active, &bytes, Instant::now(), SystemTime::now()),
        Err(_) => {
            active.record_row_rejection("", RowRejection::Body);
            Err(RowRejection::Body)
        }
    };
    match taken {
        Ok(reply) => {
            let bytes = encode(&reply).unwrap_or_default();
            HttpResponse::Ok().content_type(BINCODE).body(bytes)
        }
        Err(why) => HttpResponse::build(status_of(why)).finish(),
    }
}

#[cfg(test)]
mod tests;
