//! Notifies the peers of cancellations.

use std::sync::Arc;

use awc::Client;

use super::RESPONSE_TIMEOUT;
use crate::peer::{self, cancelled, BINCODE_CONTENT_TYPE};
use crate::service::Shared;

/// Notifies the peers of cancellations as they are confirmed, for as long as the process lives. A peer
/// that can't be notified in time learns of them from the records.
pub(super) async fn publish(shared: Arc<Shared>, http: Client) {
    let known = shared.settings.peers.iter();
    let urls: Vec<String> = known
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
            let sent = http
                .post(url)
                .timeout(RESPONSE_TIMEOUT)
                .content_type(BINCODE_CONTENT_TYPE)
                .send_body(body.clone());
            async move {
                if let Ok(mut response) = sent.await {
                    // Read to its end so that the connection can be used again.
                    let _ = response.body().await;
                }
            }
        });
        // One list at a time: what comes meanwhile is collected for the next.
        futures_util::future::join_all(requests).await;
    }
}
