//! Handlers of messages between the controllers: `bincode` over HTTP on `peer_bind`. The address also
//! serves operators, see [`crate::api::admin`].
//!
//! [`summary`] receives the leader's state summaries, [`cancelled`] notifications of cancellations,
//! [`contact`] queries about the key-value store, [`heartbeats`] the heartbeats that followers forward
//! (see also [`crate::forwarding`]), and [`links`] rows of the connectivity matrix.

pub mod cancelled;
pub mod contact;
pub mod heartbeats;
pub mod links;
pub mod summary;

use actix_web::web;
use knotlanding_links::row::ROW_BYTES_MAX;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Content type of the bodies between the controllers.
pub const BINCODE_CONTENT_TYPE: &str = "application/x-bincode";
/// Maximum memory of a decoded message in bytes. `bincode` counts a list by the size of its items in
/// memory, which is several times their encoded size: with the limit of the body itself, a state summary
/// of 4,000 machines arrived complete but could not be decoded.
const DECODED_BYTES_MAX: usize = 8 * crate::state_summary::SUMMARY_BYTES_MAX;

/// Encodes a message for a peer; `None` if encoding fails.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).ok()
}

/// Decodes a message from a peer; `None` if it is malformed or bytes follow it in the body.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, bytes_read) = decode_counted(bytes)?;
    (bytes_read == bytes.len()).then_some(value)
}

/// Decodes the first field of a message, such as its version, and ignores the bytes after it.
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode_counted(bytes).map(|(value, _)| value)
}

/// Decodes a value from the start of `bytes` and returns it with the number of bytes that it takes.
fn decode_counted<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let config = bincode::config::standard().with_limit::<DECODED_BYTES_MAX>();
    bincode::serde::decode_from_slice(bytes, config).ok()
}

/// Registers the routes for the other controllers.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource(summary::SUMMARY_PATH)
                .app_data(web::PayloadConfig::new(
                    crate::state_summary::SUMMARY_BYTES_MAX,
                ))
                .route(web::post().to(summary::receive_summary)),
        )
        .service(
            web::resource(cancelled::CANCELLED_PATH)
                .app_data(web::PayloadConfig::new(cancelled::CANCELLED_BYTES_MAX))
                .route(web::post().to(cancelled::receive_cancelled)),
        )
        .service(
            web::resource(heartbeats::HEARTBEATS_PATH)
                .app_data(web::PayloadConfig::new(
                    crate::forwarding::messages::BATCH_BODY_BYTES_MAX,
                ))
                .route(web::post().to(heartbeats::receive_batch)),
        )
        .service(
            web::resource(links::ROWS_PATH)
                .app_data(web::PayloadConfig::new(ROW_BYTES_MAX))
                .route(web::post().to(links::receive_row)),
        )
        .route(
            contact::STORE_CONTACT_PATH,
            web::get().to(contact::store_contact),
        );
}
