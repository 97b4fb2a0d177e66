//! Asks the peers whether they reach the key-value store, while this process does not.

use std::sync::Arc;
use std::time::Instant;

use awc::error::{ConnectError, SendRequestError};
use awc::Client;
use knotlanding_links::contact::PeerContactAnswer;

use super::RESPONSE_TIMEOUT;
use crate::peer::contact;
use crate::service::Shared;

/// Asks all peers, if requests to the key-value store fail; discards former answers if they succeed.
pub(super) fn query_peers(shared: &Arc<Shared>, http: &Client) {
    if shared.links.contact().failing_since.is_none() {
        shared.links.forget_peer_contacts();
        return;
    }
    shared.links.peers_asked(Instant::now());
    for peer in &shared.settings.peers {
        let sent = http
            .get(format!(
                "http://{}{}",
                peer.peer_addr,
                contact::STORE_CONTACT_PATH
            ))
            .timeout(RESPONSE_TIMEOUT)
            .send();
        let shared = shared.clone();
        actix::spawn(async move {
            let answer = match sent.await {
                Ok(response) if response.status().is_success() => PeerContactAnswer::Connected,
                Ok(_) => PeerContactAnswer::Disconnected,
                // Refused by a filter or by a node that is just starting: no evidence that this
                // node is the one cut off.
                Err(SendRequestError::Connect(ConnectError::Io(_))) => PeerContactAnswer::Refused,
                Err(_) => return,
            };
            shared.links.peer_contact_answered(answer, Instant::now());
        });
    }
}
