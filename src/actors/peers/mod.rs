//! The actor that sends the regular messages to the peers: the leader's state summaries, cancellations, and
//! queries about contact with the key-value store.

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

/// Time between two state summaries. Their counts of tasks only serve display.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout for a peer's response to any of these messages.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Two ticks that are further apart than this show that the process was paused.
const PROCESS_PAUSE_MIN: Duration = Duration::from_millis(2500);

/// Sends the messages of this process to all peers once per interval.
pub struct PeersActor {
    shared: Arc<Shared>,
    http: Client,
    summaries: SummaryPublisher,
    misdirected: MisdirectedRecorder,
    last_tick_at: Instant,
}

impl PeersActor {
    /// Messages are sent through `http`; misdirected heartbeats are recorded through `store` when no
    /// summaries of the leader arrive.
    pub fn new(shared: Arc<Shared>, store: Addr<StoreActor>, http: Client) -> Self {
        let now = Instant::now();
        Self {
            summaries: SummaryPublisher::new(shared.clone(), http.clone()),
            misdirected: MisdirectedRecorder::new(shared.clone(), store, now),
            shared,
            http,
            last_tick_at: now,
        }
    }

    fn tick(&mut self, now: Instant) {
        let since_last = now.saturating_duration_since(self.last_tick_at);
        self.last_tick_at = now;
        if since_last > PROCESS_PAUSE_MIN {
            // This process processed no responses while it was paused, so their absence is no evidence that
            // the peers are unreachable.
            self.shared.links.discard_peer_contacts();
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
