//! Queries the peers whether they reach the key-value store, while this process does not.

use std::sync::Arc;
use std::time::Instant;

use awc::error::{ConnectError, SendRequestError};
use awc::Client;
use knotlanding_links::contact::PeerContactResult;

use super::RESPONSE_TIMEOUT;
use crate::peer::contact;
use crate::service::Shared;

/// Sends a query to all peers if requests to the key-value store fail; discards former responses otherwise.
pub(super) fn query_peers(shared: &Arc<Shared>, http: &Client) {
    if shared.links.contact().failing_since.is_none() {
        shared.links.discard_peer_contacts();
        return;
    }
    shared.links.record_peer_queries(Instant::now());
    for peer in &shared.settings.peers {
        let request = http
            .get(format!(
                "http://{}{}",
                peer.peer_addr,
                contact::STORE_CONTACT_PATH
            ))
            .timeout(RESPONSE_TIMEOUT)
            .send();
        let shared = shared.clone();
        actix::spawn(async move {
            let answer = match request.await {
                Ok(response) if response.status().is_success() => PeerContactResult::Connected,
                Ok(_) => PeerContactResult::Disconnected,
                // A filter refused the connection, or the peer's process is just starting. Neither is
                // evidence that this controller is the disconnected one.
                Err(SendRequestError::Connect(ConnectError::Io(_))) => PeerContactResult::Refused,
                Err(_) => return,
            };
            shared.links.record_peer_contact(answer, Instant::now());
        });
    }
}
