//! Owner of the rows that the nodes send each other, and of the regular judgement of all links.

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

/// Time for a peer's response to a row.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(900);
/// Ticks further apart than that: the process was paused.
const PAUSED_AFTER: Duration = Duration::from_millis(2500);
/// Backoff after a peer did not know rows.
const UNSUPPORTED_BACKOFF: Duration = Duration::from_secs(30);

/// A peer that receives rows.
struct RowPeer {
    member: String,
    address: SocketAddrV4,
    unsupported_until: Option<Instant>,
}

/// The actor.
pub struct LinksActor {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    peers: Vec<RowPeer>,
    last_tick: Instant,
    probes: u64,
}

/// A peer does not know rows.
#[derive(Message)]
#[rtype(result = "()")]
struct Unsupported(String);

impl LinksActor {
    /// Sends rows through `http` and writes probes through `store`.
    pub fn new(shared: Arc<Shared>, store: Addr<StoreActor>, http: Client) -> Self {
        let known = shared.settings.peers.iter();
        let peers = known.map(|peer| RowPeer {
            member: peer.member.clone(),
            address: peer.peer_addr,
            unsupported_until: None,
        });
        Self {
            peers: peers.collect(),
            shared,
            store,
            http,
            last_tick: Instant::now(),
            probes: 0,
        }
    }

    fn tick(&mut self, own: Addr<Self>) {
        let shared = self.shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let now = Instant::now();
        let paused = now.saturating_duration_since(self.last_tick) > PAUSED_AFTER;
        self.last_tick = now;
        if paused {
            active.stood_still(now);
        }
        active.evaluate(now);
        let leads = self.shared.election.lock().leadership(now);
        if active.needs_write_probe(leads.is_some(), now) {
            self.probe_writes();
        }
        if self.peers.is_empty() {
            return;
        }
        let row = active.next_row(
            leads.map(|leadership| leadership.term.0),
            now,
            SystemTime::now(),
        );
        let Some(body) = peer::encode(&row.to_message()).map(Bytes::from) else {
            return;
        };
        let due = |peer: &&RowPeer| peer.unsupported_until.is_none_or(|until| now >= until);
        for peer in self.peers.iter().filter(due) {
            self.send_row(peer, body.clone(), own.clone());
        }
    }

    /// While transactions fail, no placement causes another one, and followers rarely write: a write
    /// without effect shows whether they succeed.
    fn probe_writes(&mut self) {
        self.probes += 1;
        let key = keys::probe(&self.shared.settings.member);
        let record = to_value(&ProbeRecord { count: self.probes });
        let transaction = Transaction::new(Vec::new(), vec![Change::put(key, record)]);
        self.store.do_send(Commit(transaction, WritePriority::High));
    }

    fn send_row(&self, peer: &RowPeer, body: Bytes, own: Addr<Self>) {
        let request = self
            .http
            .post(format!("http://{}{ROWS_PATH}", peer.address))
            .timeout(RESPONSE_TIMEOUT)
            .content_type(BINCODE_CONTENT_TYPE)
            .send_body(body);
        let (shared, member) = (self.shared.clone(), peer.member.clone());
        actix::spawn(async move {
            let sent = Instant::now();
            let answer = request.await;
            let Some(active) = shared.links.active() else {
                return;
            };
            let answered = answer.is_ok();
            active.peer_asked(&member, sent, answered, Instant::now());
            let mut answer = match answer {
                Ok(answer) => answer,
                Err(error) => return debug!(%error, member, "row not answered"),
            };
            // Read to its end so that the connection can be used again.
            let body = answer.body().await.unwrap_or_default();
            if answer.status() == StatusCode::NOT_FOUND {
                own.do_send(Unsupported(member));
            } else if let Some(reply) = peer::decode::<RowReply>(&body) {
                active.row_answered(reply);
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

impl Handler<Unsupported> for LinksActor {
    type Result = ();

    fn handle(&mut self, Unsupported(member): Unsupported, _: &mut Self::Context) {
        let until = Instant::now() + UNSUPPORTED_BACKOFF;
        let peers = self.peers.iter_mut().filter(|peer| peer.member == member);
        peers.for_each(|peer| peer.unsupported_until = Some(until));
    }
}
