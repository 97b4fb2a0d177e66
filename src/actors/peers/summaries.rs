//! Publishes the leader's state summaries to the peers.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_web::web::Bytes;
use awc::http::StatusCode;
use awc::Client;

use super::RESPONSE_TIMEOUT;
use crate::model::Term;
use crate::peer::summary::SUMMARY_PATH;
use crate::peer::{self, BINCODE_CONTENT_TYPE};
use crate::service::Shared;
use crate::state_summary::{
    StateSummary, SummaryContents, SummaryRecipient, SummaryReply, SUMMARY_BYTES_MAX,
};

/// A peer that receives summaries.
struct SummaryPeer {
    member: String,
    address: SocketAddrV4,
    /// Whether it needs a full summary; shared with the requests in flight.
    recipient: Rc<RefCell<SummaryRecipient>>,
}

impl SummaryPeer {
    fn needs_full(&self, now: Instant) -> bool {
        self.recipient.borrow().needs_full(now)
    }
}

/// Publishes the changes of the cluster state, and the full state to peers that miss it.
pub(super) struct SummaryPublisher {
    shared: Arc<Shared>,
    http: Client,
    peers: Vec<SummaryPeer>,
    term: Term,
    number: u64,
}

impl SummaryPublisher {
    pub(super) fn new(shared: Arc<Shared>, http: Client) -> Self {
        let known = shared.settings.peers.iter();
        let peers = known.map(|peer| SummaryPeer {
            member: peer.member.clone(),
            address: peer.peer_addr,
            recipient: Rc::default(),
        });
        Self {
            peers: peers.collect(),
            shared,
            http,
            term: Term(0),
            number: 0,
        }
    }

    /// Publishes a summary, if this process leads.
    pub(super) fn publish(&mut self) {
        let now = Instant::now();
        let Some(leadership) = self.shared.election.lock().leadership(now) else {
            return;
        };
        self.begin_term(leadership.term);
        let anyone_needs_full = self.peers.iter().any(|peer| peer.needs_full(now));
        let (changes, full_state) = {
            let mut guard = self.shared.cluster.lock();
            let Some(cluster) = guard.as_mut().filter(|cluster| cluster.term == self.term) else {
                return;
            };
            (
                cluster.take_summary_changes(),
                anyone_needs_full.then(|| cluster.full_summary()),
            )
        };
        self.number += 1;
        let changes = self.encode(changes, false);
        let full_state = full_state.and_then(|contents| self.encode(contents, true));
        for peer in &self.peers {
            let full = peer.needs_full(now);
            let body = if full { &full_state } else { &changes };
            let Some(body) = body else {
                continue;
            };
            if full {
                peer.recipient.borrow_mut().full_sent(self.number, now);
            }
            self.count(full, body.len());
            self.send(peer, body.clone());
        }
    }

    /// Numbers start anew with a term, and no peer is known to need a full summary.
    fn begin_term(&mut self, term: Term) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.number = 0;
        for peer in &self.peers {
            *peer.recipient.borrow_mut() = SummaryRecipient::default();
        }
    }

    fn encode(&self, mut contents: SummaryContents, full: bool) -> Option<Bytes> {
        contents.shorten(SUMMARY_BYTES_MAX);
        let summary = StateSummary {
            term: self.term,
            member: self.shared.settings.member.clone(),
            number: self.number,
            full,
            contents,
        };
        peer::encode(&summary).map(Bytes::from)
    }

    fn count(&self, full: bool, bytes: usize) {
        let mut metrics = self.shared.metrics.lock();
        let summaries = &mut metrics.summaries;
        if full {
            summaries.full += 1;
        } else {
            summaries.changes += 1;
        }
        summaries.bytes += bytes as u64;
    }

    fn send(&self, peer: &SummaryPeer, body: Bytes) {
        let sent = self
            .http
            .post(format!("http://{}{}", peer.address, SUMMARY_PATH))
            .timeout(RESPONSE_TIMEOUT)
            .content_type(BINCODE_CONTENT_TYPE)
            .send_body(body);
        let (recipient, number) = (peer.recipient.clone(), self.number);
        let (shared, member) = (self.shared.clone(), peer.member.clone());
        actix::spawn(async move {
            // Without a response nothing is known: that to the next changes will tell.
            let Ok(mut response) = sent.await else {
                return;
            };
            let out_of_sync = response.status() == StatusCode::CONFLICT;
            recipient.borrow_mut().answered(number, out_of_sync);
            // Read to its end so that the connection can be used again.
            let body = response.body().await.unwrap_or_default();
            if let Some(SummaryReply { misdirected }) = peer::decode(&body) {
                let now = Instant::now();
                shared.links.misdirected_counted(&member, misdirected, now);
            }
        });
    }
}
