//! The actor that sends this controller's row of the connectivity matrix to the peers and evaluates all
//! links at regular intervals.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix::prelude::*;
use actix_web::web::Bytes;
use awc::http::StatusCode;
use awc::Client;
use knotlanding_links::row::RowReply;
use tracing::debug;

use crate::peer::links::ROWS_PATH;
use crate::peer::{self, BINCODE_CONTENT_TYPE};
use crate::service::links::ROW_INTERVAL;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, ProbeRecord};
use crate::store::{to_value, Change, Transaction, WritePriority};

/// Timeout for a peer's response to a row. It is shorter than the interval between rows.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Two ticks that are further apart than this show that the process was paused.
const PROCESS_PAUSE_MIN: Duration = Duration::from_millis(2500);
/// Backoff after a peer responded that it does not support rows or that links are disabled there.
const UNSUPPORTED_BACKOFF: Duration = Duration::from_secs(30);

/// A peer that receives rows.
struct RowPeer {
    member: String,
    address: SocketAddrV4,
    unsupported_until: Option<Instant>,
}

/// Sends rows and evaluates the links once per interval; started only if the features file enables links.
pub struct LinksActor {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    peers: Vec<RowPeer>,
    last_tick_at: Instant,
    probe_count: u64,
}

/// Message that the named peer accepts no rows, sent to the actor by the task that awaited the peer's
/// response.
#[derive(Message)]
#[rtype(result = "()")]
struct RowsUnsupported(String);

impl LinksActor {
    /// Sends rows through `http` and writes probes through `store`.
    pub fn new(shared: Arc<Shared>, store: Addr<StoreActor>, http: Client) -> Self {
        let known_peers = shared.settings.peers.iter();
        let peers = known_peers.map(|peer| RowPeer {
            member: peer.member.clone(),
            address: peer.peer_addr,
            unsupported_until: None,
        });
        Self {
            peers: peers.collect(),
            shared,
            store,
            http,
            last_tick_at: Instant::now(),
            probe_count: 0,
        }
    }

    fn tick(&mut self, address: Addr<Self>) {
        let shared = self.shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let now = Instant::now();
        let paused = now.saturating_duration_since(self.last_tick_at) > PROCESS_PAUSE_MIN;
        self.last_tick_at = now;
        if paused {
            active.resume_after_pause(now);
        }
        active.evaluate(now);
        let own_leadership = self.shared.election.lock().leadership(now);
        if active.needs_write_probe(own_leadership.is_some(), now) {
            self.probe_writes();
        }
        if self.peers.is_empty() {
            return;
        }
        let row = active.next_row(
            own_leadership.map(|leadership| leadership.term.0),
            now,
            SystemTime::now(),
        );
        let Some(body) = peer::encode(&row.to_message()).map(Bytes::from) else {
            return;
        };
        let is_due = |peer: &&RowPeer| peer.unsupported_until.is_none_or(|until| now >= until);
        for peer in self.peers.iter().filter(is_due) {
            self.send_row(peer, body.clone(), address.clone());
        }
    }

    /// Writes a probe record, whose only purpose is to show whether transactions succeed again. It is
    /// needed because the leader places nothing while transactions fail, and followers rarely write.
    fn probe_writes(&mut self) {
        self.probe_count += 1;
        let key = keys::probe(&self.shared.settings.member);
        let record = to_value(&ProbeRecord {
            count: self.probe_count,
        });
        let transaction = Transaction::new(Vec::new(), vec![Change::put(key, record)]);
        self.store.do_send(Commit(transaction, WritePriority::High));
    }

    fn send_row(&self, peer: &RowPeer, body: Bytes, address: Addr<Self>) {
        let request = self
            .http
            .post(format!("http://{}{ROWS_PATH}", peer.address))
            .timeout(RESPONSE_TIMEOUT)
            .content_type(BINCODE_CONTENT_TYPE)
            .send_body(body);
        let (shared, member) = (self.shared.clone(), peer.member.clone());
        actix::spawn(async move {
            let sent_at = Instant::now();
            let response = request.await;
            let Some(active) = shared.links.active() else {
                return;
            };
            let is_answered = response.is_ok();
            active.record_peer_request(&member, sent_at, is_answered, Instant::now());
            let mut response = match response {
                Ok(response) => response,
                Err(error) => return debug!(%error, member, "row not answered"),
            };
            // The body is read to its end so that the connection can be reused.
            let body = response.body().await.unwrap_or_default();
            if response.status() == StatusCode::NOT_FOUND {
                address.do_send(RowsUnsupported(member));
            } else if let Some(reply) = peer::decode::<RowReply>(&body) {
                active.handle_row_reply(reply);
            }
        });
    }
}

impl Actor for LinksActor {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(ROW_INTERVAL, |actor, context| {
            actor.tick(context.address());
        });
    }
}

impl Handler<RowsUnsupported> for LinksActor {
    type Result = ();

    fn handle(&mut self, RowsUnsupported(member): RowsUnsupported, _: &mut Self::Context) {
        let until = Instant::now() + UNSUPPORTED_BACKOFF;
        let peers = self.peers.iter_mut().filter(|peer| peer.member == member);
        peers.for_each(|peer| peer.unsupported_until = Some(until));
    }
}
