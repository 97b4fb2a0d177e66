//! Owner of the rows that the nodes tell each other, and of the regular look at all links.

use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix::prelude::*;
use actix_web::web::Bytes;
use awc::http::StatusCode;
use awc::Client;
use knotlanding_links::row::RowReply;
use tracing::debug;

use crate::peer::links::LINKS;
use crate::peer::{self, BINCODE};
use crate::service::links::ROW_INTERVAL;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, ProbeRecord};
use crate::store::{to_value, Change, Transaction, WritePriority};

/// A peer that takes longer to answer a row has not answered.
const ROW_LIMIT: Duration = Duration::from_millis(900);
/// Looks further apart than that: the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(2500);
/// How long a peer that knows no rows is not sent any.
const UNSUPPORTED_FOR: Duration = Duration::from_secs(30);

struct Peer {
    member: String,
    address: SocketAddrV4,
    unsupported_until: Option<Instant>,
}

/// The actor.
pub struct LinksActor {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    peers: Vec<Peer>,
    last: Instant,
    probes: u64,
}

/// A peer does not know rows.
#[derive(Message)]
#[rtype(result = "()")]
struct Unsupported(String);

impl LinksActor {
    /// Tells rows through `http` and writes probes through `store`.
    pub fn new(shared: Arc<Shared>, store: Addr<StoreActor>, http: Client) -> Self {
        let known = shared.settings.known.iter();
        let peers = known.map(|peer| Peer {
            member: peer.member.clone(),
            address: peer.peer_addr,
            unsupported_until: None,
        });
        Self {
            peers: peers.collect(),
            shared,
            store,
            http,
            last: Instant::now(),
            probes: 0,
        }
    }

    fn look(&mut self, own: Addr<Self>) {
        let shared = self.shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let now = Instant::now();
        let stood_still = now.saturating_duration_since(self.last) > STOOD_STILL;
        self.last = now;
        if stood_still {
            active.stood_still(now);
        }
        active.evaluate(now);
        let leads = self.shared.election.lock().leadership(now);
        if active.wants_probe(leads.is_some(), now) {
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
        let due = |peer: &&Peer| peer.unsupported_until.is_none_or(|until| now >= until);
        for peer in self.peers.iter().filter(due) {
            self.tell(peer, body.clone(), own.clone());
        }
    }

    /// While transactions fail, no placement brings about another one, and followers rarely write: a write
    /// of no consequence shows whether they succeed.
    fn probe_writes(&mut self) {
        self.probes += 1;
        let key = keys::probe(&self.shared.settings.member);
        let record = to_value(&ProbeRecord { count: self.probes });
        let group = Transaction::new(Vec::new(), vec![Change::put(key, record)]);
        self.store.do_send(Commit(group, WritePriority::High));
    }

    fn tell(&self, peer: &Peer, body: Bytes, own: Addr<Self>) {
        let request = self
            .http
            .post(format!("http://{}{LINKS}", peer.address))
            .timeout(ROW_LIMIT)
            .content_type(BINCODE)
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
            actor.look(context.address());
        });
    }
}

impl Handler<Unsupported> for LinksActor {
    type Result = ();

    fn handle(&mut self, Unsupported(member): Unsupported, _: &mut Self::Context) {
        let until = Instant::now() + UNSUPPORTED_FOR;
        let peers = self.peers.iter_mut().filter(|peer| peer.member == member);
        peers.for_each(|peer| peer.unsupported_until = Some(until));
    }
}
