//! Receives rows of the connectivity matrix from peers. A controller responds with 404 if links are not
//! enabled there, or if its version does not support them.

use std::time::{Instant, SystemTime};

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use knotlanding_links::row::{RowMessage, RowRejection, RowReply, ROW_VERSION};

use super::{decode, decode_prefix, encode, BINCODE_CONTENT_TYPE};
use crate::service::links::ActiveLinks;
use crate::service::Shared;
use crate::time::unix_ms;

/// Path of rows of the connectivity matrix.
pub const ROWS_PATH: &str = "/peer/links";

/// Decodes a row; after an unknown version the rest is not decoded.
pub fn decode_row(bytes: &[u8]) -> Result<RowMessage, RowRejection> {
    let version = decode_prefix::<u16>(bytes).ok_or(RowRejection::Malformed)?;
    if version != ROW_VERSION {
        return Err(RowRejection::UnknownVersion(version));
    }
    decode(bytes).ok_or(RowRejection::Malformed)
}

/// Decodes a row and applies it to the matrix. A row that cannot be decoded is counted as rejected, without a
/// sender.
pub fn accept_encoded_row(
    active: &ActiveLinks,
    bytes: &[u8],
    now: Instant,
    wall_time: SystemTime,
) -> Result<RowReply, RowRejection> {
    match decode_row(bytes) {
        Ok(message) => active.accept_row(message, now, unix_ms(wall_time)),
        Err(rejection) => {
            active.record_row_rejection("", rejection);
            Err(rejection)
        }
    }
}

fn rejection_status(rejection: RowRejection) -> StatusCode {
    match rejection {
        RowRejection::InvalidBody | RowRejection::Malformed | RowRejection::UnknownVersion(_) => {
            StatusCode::BAD_REQUEST
        }
        RowRejection::UnknownMember => StatusCode::FORBIDDEN,
        RowRejection::FormerIncarnation | RowRejection::NotNewer | RowRejection::TooOld => {
            StatusCode::CONFLICT
        }
    }
}

/// `POST /peer/links`: a row of the connectivity matrix.
pub async fn receive_row(
    shared: web::Data<Shared>,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let Some(active) = shared.links.active() else {
        return HttpResponse::NotFound().finish();
    };
    let result = match body {
        Ok(bytes) => accept_encoded_row(active, &bytes, Instant::now(), SystemTime::now()),
        Err(_) => {
            active.record_row_rejection("", RowRejection::InvalidBody);
            Err(RowRejection::InvalidBody)
        }
    };
    match result {
        Ok(reply) => {
            let bytes = encode(&reply).unwrap_or_default();
            HttpResponse::Ok()
                .content_type(BINCODE_CONTENT_TYPE)
                .body(bytes)
        }
        Err(rejection) => HttpResponse::build(rejection_status(rejection)).finish(),
    }
}

#[cfg(test)]
mod tests;
