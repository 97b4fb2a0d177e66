//! Publishes the leader's state summaries to the peers.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix_web::web::Bytes;
use awc::http::StatusCode;
use awc::Client;
use knotlanding_links::misdirected::CountSource;

use super::RESPONSE_TIMEOUT;
use crate::model::Term;
use crate::peer::summary::SUMMARY_PATH;
use crate::peer::{self, BINCODE_CONTENT_TYPE};
use crate::service::Shared;
use crate::state_summary::{
    StateSummary, SummaryContents, SummaryRecipient, SummaryReply, SUMMARY_BYTES_MAX,
};

/// A peer, with the record of the summaries that it has received.
struct SummaryPeer {
    member: String,
    address: SocketAddrV4,
    /// Which summaries the peer has confirmed; shared with the tasks that await its responses.
    recipient: Rc<RefCell<SummaryRecipient>>,
}

impl SummaryPeer {
    fn needs_full(&self, now: Instant) -> bool {
        self.recipient.borrow().needs_full(now)
    }
}

/// Publishes the changes of the cluster state to the peers, and the full state to those that lack it.
pub(super) struct SummaryPublisher {
    shared: Arc<Shared>,
    http: Client,
    peers: Vec<SummaryPeer>,
    term: Term,
    last_number: u64,
}

impl SummaryPublisher {
    pub(super) fn new(shared: Arc<Shared>, http: Client) -> Self {
        let known_peers = shared.settings.peers.iter();
        let peers = known_peers.map(|peer| SummaryPeer {
            member: peer.member.clone(),
            address: peer.peer_addr,
            recipient: Rc::default(),
        });
        Self {
            peers: peers.collect(),
            shared,
            http,
            term: Term(0),
            last_number: 0,
        }
    }

    /// Publishes a summary if this process leads and has recovered the cluster state of its term.
    pub(super) fn publish(&mut self) {
        let now = Instant::now();
        let Some(leadership) = self.shared.election.lock().leadership(now) else {
            return;
        };
        self.begin_term(leadership.term);
        let any_peer_needs_full = self.peers.iter().any(|peer| peer.needs_full(now));
        let contents = self.shared.with_cluster_of(self.term, |cluster| {
            let changes = cluster.take_summary_changes();
            let full_state = any_peer_needs_full.then(|| cluster.full_summary());
            (changes, full_state)
        });
        let Some((changes, full_state)) = contents else {
            return;
        };
        self.last_number += 1;
        let changes = self.encode(changes, false);
        let full_state = full_state.and_then(|contents| self.encode(contents, true));
        for peer in &self.peers {
            let full = peer.needs_full(now);
            let body = if full { &full_state } else { &changes };
            let Some(body) = body else {
                continue;
            };
            if full {
                peer.recipient
                    .borrow_mut()
                    .record_full_summary(self.last_number, now);
            }
            self.count_summary(full, body.len());
            self.send_summary(peer, body.clone());
        }
    }

    /// Resets the numbers and the records of the peers if the term has changed: no peer has received a
    /// summary of the new term. Responses to earlier summaries change only the former records.
    fn begin_term(&mut self, term: Term) {
        if term == self.term {
            return;
        }
        self.term = term;
        self.last_number = 0;
        for peer in &mut self.peers {
            peer.recipient = Rc::default();
        }
    }

    fn encode(&self, mut contents: SummaryContents, full: bool) -> Option<Bytes> {
        contents.shorten(SUMMARY_BYTES_MAX);
        let summary = StateSummary {
            term: self.term,
            member: self.shared.settings.member.clone(),
            number: self.last_number,
            full,
            contents,
        };
        peer::encode(&summary).map(Bytes::from)
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

    fn send_summary(&self, peer: &SummaryPeer, body: Bytes) {
        let request = self
            .http
            .post(format!("http://{}{}", peer.address, SUMMARY_PATH))
            .timeout(RESPONSE_TIMEOUT)
            .content_type(BINCODE_CONTENT_TYPE)
            .send_body(body);
        let (recipient, number) = (peer.recipient.clone(), self.last_number);
        let (shared, member) = (self.shared.clone(), peer.member.clone());
        actix::spawn(async move {
            // Without a response it is unknown whether the peer is in sync; its response to the next
            // summary shows it.
            let Ok(mut response) = request.await else {
                return;
            };
            let out_of_sync = response.status() == StatusCode::CONFLICT;
            recipient.borrow_mut().record_reply(number, out_of_sync);
            // The body is read to its end so that the connection can be reused.
            let body = response.body().await.unwrap_or_default();
            if let Some(SummaryReply { misdirected }) = peer::decode(&body) {
                let (source, now) = (CountSource::SummaryResponse, Instant::now());
                let links = &shared.links;
                links.record_misdirected_count(&member, source, misdirected, now);
            }
        });
    }
}

#[cfg(test)]
mod tests;
