//! Owner of what the nodes tell each other: the leader's digest.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use actix_web::web::Bytes;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::Client;
use knotlanding_links::contact::PeerContactAnswer;
use knotlanding_links::misdirected::MANY_MISDIRECTED;

use crate::model::Term;
use crate::peer::summary::SUMMARY;
use crate::peer::{self, cancelled, contact};
use crate::service::Shared;
use crate::state_summary::{
    StateSummary, SummaryContents, SummaryRecipient, SummaryReply, SUMMARY_BYTES_MAX,
};
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, MisdirectedRecord};
use crate::store::{to_value, Change, Condition, Transaction, WritePriority};

/// Time between two digests. The counts in them are for display.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// A peer that takes longer misses one.
const TELL_LIMIT: Duration = Duration::from_millis(900);

/// Looks further apart than that: the process stood still.
const STOOD_STILL: Duration = Duration::from_millis(2500);

/// How long digests of a leader have to be missing before workers' misdirected reports are told through the
/// state service, which a leader that is not cut off from it still reads.
const DIGESTS_MISSED: Duration = Duration::from_secs(3);
/// Time between two such records of one node, so that all of them together cost a change or two
/// a second.
const MISDIRECTED_EVERY: Duration = Duration::from_millis(2500);

/// A peer as far as digests go.
struct Peer {
    member: String,
    address: SocketAddrV4,
    /// What it lacks, shared with the requests under way.
    recipient: Rc<RefCell<SummaryRecipient>>,
}

/// The actor.
pub struct PeersActor {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    peers: Vec<Peer>,
    term: Term,
    number: u64,
    last: Instant,
    /// What was last written of the workers that report here in vain, and when.
    written: (u64, Instant),
}

impl PeersActor {
    /// Tells the peers through `http`, or through `store` what can't reach them.
    pub fn new(shared: Arc<Shared>, store: Addr<StoreActor>, http: Client) -> Self {
        let known = shared.settings.known.iter();
        let peers = known.map(|peer| Peer {
            member: peer.member.clone(),
            address: peer.peer_addr,
            recipient: Rc::default(),
        });
        Self {
            peers: peers.collect(),
            shared,
            store,
            http,
            term: Term(0),
            number: 0,
            last: Instant::now(),
            written: (0, Instant::now()),
        }
    }
}

impl Actor for PeersActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        let peers = self.peers.iter().map(|peer| peer.address).collect();
        let told = tell_cancelled(self.shared.clone(), self.http.clone(), peers);
        actix::spawn(told);
        ctx.run_interval(TELL_EVERY, |actor, _| {
            let now = Instant::now();
            let missed = now.saturating_duration_since(actor.last);
            actor.last = now;
            if missed > STOOD_STILL {
                // Who has said nothing while we stood still is not out of reach for that.
                actor.shared.links.forget_peer_contacts();
            }
            actor.tell();
            actor.ask();
            actor.write_misdirected(now);
        });
    }
}

/// Tells the other nodes of cancellations as they are confirmed, for as long as the process lives.
/// Who can't be told within the limit learns it from the records.
async fn tell_cancelled(shared: Arc<Shared>, http: Client, peers: Vec<SocketAddrV4>) {
    loop {
        shared.wake_peers.notified().await;
        let jobs = std::mem::take(&mut *shared.cancelled.lock());
        if jobs.is_empty() || peers.is_empty() {
            continue;
        }
        let member = shared.settings.member.clone();
        let Some(body) = peer::encode(&cancelled::Cancelled { member, jobs }) else {
            continue;
        };
        let told = peers.iter().map(|address| {
            let sent = http
                .post(format!("http://{address}{}", cancelled::CANCELLED))
                .timeout(TELL_LIMIT)
                .content_type(peer::BINCODE)
                .send_body(body.clone());
            async move {
                if let Ok(mut answer) = sent.await {
                    // Read to its end so that the connection can be used again.
                    let _ = answer.body().await;
                }
            }
        });
        // One list at a time: what comes meanwhile gathers for the next.
        futures_util::future::join_all(told).await;
    }
}

impl PeersActor {
    /// Tells what changed; all of it only to who lacks it. Only a leader has anything to tell.
    fn tell(&mut self) {
        let now = Instant::now();
        let Some(leadership) = self.shared.election.lock().leadership(now) else {
            return;
        };
        if leadership.term != self.term {
            self.term = leadership.term;
            self.number = 0;
            for peer in &self.peers {
                *peer.recipient.borrow_mut() = SummaryRecipient::default();
            }
        }
        let wants_full = |peer: &Peer| peer.recipient.borrow().wants_full(now);
        let anyone_lacks = self.peers.iter().any(wants_full);
        let (changes, all) = {
            let mut guard = self.shared.cluster.lock();
            let Some(cluster) = guard.as_mut().filter(|c| c.term == leadership.term) else {
                return;
            };
            (
                cluster.take_summary_changes(),
                anyone_lacks.then(|| cluster.full_summary()),
            )
        };
        self.number += 1;
        let summary = |mut contents: SummaryContents, full| {
            contents.shorten(SUMMARY_BYTES_MAX);
            peer::encode(&StateSummary {
                term: leadership.term,
                member: self.shared.settings.member.clone(),
                number: self.number,
                full,
                contents,
            })
        };
        let changes = summary(changes, false);
        let all = all.and_then(|contents| summary(contents, true));
        let (changes, all) = (changes.map(Bytes::from), all.map(Bytes::from));
        for peer in &self.peers {
            let full = wants_full(peer);
            let body = if full { &all } else { &changes };
            let Some(body) = body else {
                continue;
            };
            if full {
                peer.recipient.borrow_mut().full_sent(self.number, now);
            }
            self.count_summary(full, body.len());
            self.send(peer, body.clone());
        }
    }

    fn count_summary(&self, full: bool, bytes: usize) {
        let mut metrics = self.shared.metrics.lock();
        let summaries = &mut metrics.summaries;
        if full {
            summaries.full += 1;
        } else {
            summaries.changes += 1;
        }
        summaries.bytes += bytes as u64;
    }

    /// Writes down that workers report here in vain, where the leader's digests don't arrive: it may have
    /// lost its workers while the nodes refuse each other's connections, and would keep a lead
    /// that is of no use to anybody.
    fn write_misdirected(&mut self, now: Instant) {
        let count = self.shared.misdirected.load(Ordering::Relaxed);
        let (written, at) = self.written;
        let heard = self.shared.links.last_summary();
        let missed = heard.is_none_or(|at| now.saturating_duration_since(at) > DIGESTS_MISSED);
        if !missed {
            self.written = (count, at);
            return;
        }
        let leads = self.shared.election.lock().own_term().is_some();
        let known = self.shared.replica.lock().leader.is_some();
        let many = count >= written + MANY_MISDIRECTED;
        let rested = now.saturating_duration_since(at) >= MISDIRECTED_EVERY;
        if leads || !known || !many || !rested {
            return;
        }
        self.written = (count, now);
        let member = &self.shared.settings.member;
        let version = self.shared.replica.lock().misdirected_version(member);
        let key = keys::misdirected(member);
        let record = to_value(&MisdirectedRecord { count });
        let group = Transaction {
            // One that is carried out late must not take a newer count back: the next one would
            // look as if many had come in between.
            conditions: vec![Condition::new(key.clone(), version)],
            changes: vec![Change::put(key, record)],
        };
        // Should it be lost, the next one says the same and more.
        self.store.do_send(Commit(group, WritePriority::High));
    }

    /// Asks the others whether they have the state service, while we don't.
    fn ask(&self) {
        if self.shared.links.contact().failing_since.is_none() {
            self.shared.links.forget_peer_contacts();
            return;
        }
        self.shared.links.peers_asked(Instant::now());
        for peer in &self.peers {
            let sent = self
                .http
                .get(format!("http://{}{}", peer.address, contact::CONTACT))
                .timeout(TELL_LIMIT)
                .send();
            let shared = self.shared.clone();
            actix::spawn(async move {
                let said = match sent.await {
                    Ok(answer) if answer.status().is_success() => PeerContactAnswer::Connected,
                    Ok(_) => PeerContactAnswer::Disconnected,
                    // Refused by a filter or by a node that is just starting: no sign that we
                    // are the ones cut off.
                    Err(SendRequestError::Connect(ConnectError::Io(_))) => {
                        PeerContactAnswer::Refused
                    }
                    Err(_) => return,
                };
                shared.links.peer_contact_answered(said, Instant::now());
            });
        }
    }

    fn send(&self, peer: &Peer, body: Bytes) {
        let sent = self
            .http
            .post(format!("http://{}{}", peer.address, SUMMARY))
            .timeout(TELL_LIMIT)
            .content_type(peer::BINCODE)
            .send_body(body);
        let (recipient, number) = (peer.recipient.clone(), self.number);
        let (shared, member) = (self.shared.clone(), peer.member.clone());
        actix::spawn(async move {
            // Without an answer nothing is known: the next digest of changes will tell.
            if let Ok(mut answer) = sent.await {
                let lacks = answer.status() == StatusCode::CONFLICT;
                recipient.borrow_mut().answered(number, lacks);
                // Read to its end so that the connection can be used again.
                let body = answer.body().await.unwrap_or_default();
                if let Some(SummaryReply { misdirected }) = peer::decode(&body) {
                    let now = Instant::now();
                    shared.links.misdirected_counted(&member, misdirected, now);
                }
            }
        });
    }
}
