//! Owner of the regular messages to the peers: the leader's state summaries, cancellations, and
//! queries about the key-value store.

mod cancellations;
mod misdirected;
mod store_contact;
mod summaries;

use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use awc::Client;

use self::misdirected::MisdirectedRecorder;
use self::summaries::SummaryPublisher;
use crate::service::Shared;
use crate::store::actor::StoreActor;

/// Time between two state summaries. The counts in them are for display.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Time for a peer's response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Ticks further apart than that: the process was paused.
const PAUSED_AFTER: Duration = Duration::from_millis(2500);

/// The actor.
pub struct PeersActor {
    shared: Arc<Shared>,
    http: Client,
    summaries: SummaryPublisher,
    misdirected: MisdirectedRecorder,
    last_tick: Instant,
}

impl PeersActor {
    /// Sends to the peers through `http`, and through `store` what must arrive without them.
    pub fn new(shared: Arc<Shared>, store: Addr<StoreActor>, http: Client) -> Self {
        let now = Instant::now();
        Self {
            summaries: SummaryPublisher::new(shared.clone(), http.clone()),
            misdirected: MisdirectedRecorder::new(shared.clone(), store, now),
            shared,
            http,
            last_tick: now,
        }
    }

    fn tick(&mut self, now: Instant) {
        let since_last = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if since_last > PAUSED_AFTER {
            // A peer that was silent while this process was paused is not unreachable for that.
            self.shared.links.forget_peer_contacts();
        }
        self.summaries.publish();
        store_contact::query_peers(&self.shared, &self.http);
        self.misdirected.record(now);
    }
}

impl Actor for PeersActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        let publish = cancellations::publish(self.shared.clone(), self.http.clone());
        actix::spawn(publish);
        context.run_interval(PUBLISH_INTERVAL, |actor, _| actor.tick(Instant::now()));
    }
}
