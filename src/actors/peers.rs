//! Owner of what the nodes tell each other: the leader's digest.

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use awc::Client;

use crate::peer::{self, Digest};
use crate::service::Shared;

/// Time between two digests. The counts in them are for display.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// A peer that takes longer misses one.
const TELL_LIMIT: Duration = Duration::from_millis(900);

/// The actor.
pub struct PeersActor {
    shared: Arc<Shared>,
    http: Client,
}

impl PeersActor {
    /// Tells the peers through `http`.
    pub fn new(shared: Arc<Shared>, http: Client) -> Self {
        Self { shared, http }
    }
}

impl Actor for PeersActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        ctx.run_interval(TELL_EVERY, |actor, _| {
            if let Some(digest) = actor.digest() {
                actor.tell(&digest);
            }
        });
    }
}

impl PeersActor {
    /// What there is to tell; only a leader has anything.
    fn digest(&self) -> Option<Digest> {
        let now = Instant::now();
        let lead = self.shared.role.lock().leading(now)?;
        let (counts, images) = {
            let guard = self.shared.cluster.lock();
            let cluster = guard.as_ref()?;
            (cluster.counts(), cluster.images())
        };
        Some(Digest {
            term: lead.term,
            member: self.shared.settings.member.clone(),
            counts,
            images,
        })
    }

    fn tell(&self, digest: &Digest) {
        let Some(body) = peer::encode(digest) else {
            return;
        };
        for known in &self.shared.settings.known {
            let sent = self
                .http
                .post(format!("http://{}{}", known.peer_addr, peer::DIGEST))
                .timeout(TELL_LIMIT)
                .content_type(peer::BINCODE)
                .send_body(body.clone());
            actix::spawn(async move {
                if let Ok(mut answer) = sent.await {
                    // Read to its end so that the connection can be used again.
                    let _ = answer.body().await;
                }
            });
        }
    }
}
