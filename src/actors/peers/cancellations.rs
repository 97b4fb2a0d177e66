//! Notifies the peers of cancellations.

use std::sync::Arc;

use awc::Client;

use super::RESPONSE_TIMEOUT;
use crate::peer::{self, cancelled, BINCODE_CONTENT_TYPE};
use crate::service::Shared;

/// Notifies the peers of cancellations as they are recorded, until the process ends. A peer that cannot be
/// notified in time reads them from the records.
pub(super) async fn publish(shared: Arc<Shared>, http: Client) {
    let peers = shared.settings.peers.iter();
    let urls: Vec<String> = peers
        .map(|peer| format!("http://{}{}", peer.peer_addr, cancelled::CANCELLED_PATH))
        .collect();
    loop {
        shared.wake_ups.cancellations.notified().await;
        let jobs = shared.cancellations.take();
        if jobs.is_empty() || urls.is_empty() {
            continue;
        }
        let member = shared.settings.member.clone();
        let Some(body) = peer::encode(&cancelled::CancellationNotice { member, jobs }) else {
            continue;
        };
        let requests = urls.iter().map(|url| {
            let request = http
                .post(url)
                .timeout(RESPONSE_TIMEOUT)
                .content_type(BINCODE_CONTENT_TYPE)
                .send_body(body.clone());
            async move {
                if let Ok(mut response) = request.await {
                    // The body is read to its end so that the connection can be reused.
                    let _ = response.body().await;
                }
            }
        });
        // One list is sent at a time; cancellations recorded meanwhile go into the next one.
        futures_util::future::join_all(requests).await;
    }
}
