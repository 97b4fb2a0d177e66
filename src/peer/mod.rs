//! Messages between the nodes, as `bincode` over HTTP on `peer_bind`. Operators reach
//! [`crate::api::admin`] on the same address.
//!
//! [`summary`] takes the state summaries of the leader, [`cancelled`] notifications of cancellations,
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

/// Content type between the nodes.
pub const BINCODE: &str = "application/x-bincode";
/// Most memory that a decoded message may take. `bincode` counts a list by the size of its items in
/// memory, which is several times that of the message: with the limit of the body itself, a summary of
/// 4,000 machines arrived complete and could not be decoded.
const MESSAGE_LIMIT: usize = 8 * crate::state_summary::SUMMARY_BYTES_MAX;

/// Encodes for a peer.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).ok()
}

/// Decodes a message of a peer, which must fill the body.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, read) = decode_front(bytes)?;
    (read == bytes.len()).then_some(value)
}

/// Decodes the beginning of a message, such as its version.
pub fn decode_prefix<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode_front(bytes).map(|(value, _)| value)
}

fn decode_front<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, usize)> {
    let config = bincode::config::standard().with_limit::<MESSAGE_LIMIT>();
    bincode::serde::decode_from_slice(bytes, config).ok()
}

/// The routes between nodes.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .service(
            web::resource(summary::SUMMARY)
                .app_data(web::PayloadConfig::new(
                    crate::state_summary::SUMMARY_BYTES_MAX,
                ))
                .route(web::post().to(summary::receive_summary)),
        )
        .service(
            web::resource(cancelled::CANCELLED)
                .app_data(web::PayloadConfig::new(cancelled::CANCELLED_LIMIT))
                .route(web::post().to(cancelled::receive_cancelled)),
        )
        .service(
            web::resource(heartbeats::HEARTBEATS)
                .app_data(web::PayloadConfig::new(
                    crate::forwarding::messages::BATCH_BODY_BYTES_MAX,
                ))
                .route(web::post().to(heartbeats::receive_batch)),
        )
        .service(
            web::resource(links::LINKS)
                .app_data(web::PayloadConfig::new(ROW_BYTES_MAX))
                .route(web::post().to(links::receive_row)),
        )
        .route(contact::CONTACT, web::get().to(contact::store_contact));
}
