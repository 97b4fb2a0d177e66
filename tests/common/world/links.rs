//! The model's part for links that are cut, each direction by itself, and for the rows that the nodes
//! tell each other where links are turned on.

use std::time::Duration;

use knotlanding::features::{Features, LinkFeatures};
use knotlanding::peer::encode;
use knotlanding::peer::links::accept_encoded_row;
use knotlanding::store::keys::{self, ProbeRecord};
use knotlanding::store::{to_value, Change, StoreError, Transaction};
use knotlanding::time::unix_ms;
use knotlanding_links::handover::HandoverDecision;
use knotlanding_links::row::{RowRejection, RowReply};
use knotlanding_links::table::StoreOperation;
use knotlanding_testbed::proxy::{Flow, LinkMode};
use knotlanding_testbed::schedule::LinkId;
use rand::Rng;

use super::state_service::{RequestPurpose, StoreRequest, StoreResponse};
use super::{Mail, World};

/// Time between two rows, and after which one is not answered.
const ROW_INTERVAL: f64 = 1.0;
const ROW_LIMIT: f64 = 0.9;
/// Looks further apart than that: the node stood still.
const STOOD_STILL: f64 = 2.5;

/// What a node keeps of its links besides what it shares; gone with its life.
#[derive(Default)]
pub struct NodeLinks {
    looked_at: f64,
    probes: u64,
    /// Since when nobody leads, as far as it has looked.
    pub(super) vacant_since: Option<f64>,
}

/// A link that is cut for a while.
#[derive(Clone, Copy, Debug)]
pub struct CutLink {
    pub link: LinkId,
    pub mode: LinkMode,
    pub until: f64,
}

/// What became of a row, for its sender.
#[derive(Clone, Debug)]
pub struct RowAnswer {
    to: usize,
    sent: f64,
    /// Whether there was an answer at all, and what it said.
    answer: Option<Option<RowReply>>,
}

impl World {
    /// What is turned on at the nodes.
    pub(super) fn features(&self) -> Features {
        Features {
            links: self.links_on.then(LinkFeatures::default),
        }
    }

    /// How a link is now.
    pub(super) fn link_mode(&self, link: LinkId) -> CutLink {
        let now = self.cut_links.iter().rev();
        let cut = now
            .clone()
            .find(|cut| cut.link == link && self.t < cut.until);
        cut.copied().unwrap_or(CutLink {
            link,
            mode: LinkMode::default(),
            until: self.t,
        })
    }

    /// Whether a request is kept from arriving; held, it arrives when the link is whole again.
    pub(super) fn keeps_request(&mut self, cut: &CutLink, late: Option<Mail>) -> bool {
        if cut.mode.refuses_connections || cut.mode.requests == Flow::Drop {
            return true;
        }
        if cut.mode.requests == Flow::Hold {
            if let Some(mail) = late {
                self.post((cut.until - self.t).max(0.0), mail);
            }
            return true;
        }
        false
    }

    /// Takes what became of a request to the state service.
    pub(super) fn note_store(
        &self,
        n: usize,
        why: &RequestPurpose,
        failed: Option<&StoreError>,
        sent: f64,
    ) {
        let operation = match why {
            RequestPurpose::Load
            | RequestPurpose::Read
            | RequestPurpose::Poll(_)
            | RequestPurpose::CancelRead(_) => StoreOperation::Read,
            RequestPurpose::Grant | RequestPurpose::Renew(_) | RequestPurpose::End => {
                StoreOperation::Lease
            }
            RequestPurpose::Elect(_)
            | RequestPurpose::Write(..)
            | RequestPurpose::Submit(_)
            | RequestPurpose::Cancel(_)
            | RequestPurpose::Probe => StoreOperation::Write,
        };
        let sent = self.start + Duration::from_secs_f64(sent);
        let links = &self.nodes[n].shared.links;
        if failed.is_some_and(StoreError::shows_outage) {
            links.store_failed(operation, sent, self.instant());
        } else {
            links.store_answered(operation, sent, self.instant());
        }
    }

    /// A node's regular look at its links, and its row to the others.
    pub(super) fn look_at_links(&mut self, n: usize) {
        let shared = self.nodes[n].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let last = self.nodes[n].links.looked_at;
        if self.t < last + ROW_INTERVAL {
            return;
        }
        self.nodes[n].links.looked_at = self.t;
        let now = self.instant();
        if last > 0.0 && self.t - last > STOOD_STILL {
            active.resume_after_pause(now);
        }
        active.evaluate(now);
        let leads = shared.election.lock().leadership(now);
        if active.needs_write_probe(leads.is_some(), now) {
            self.probe_writes(n);
        }
        if self.peers_refuse {
            return;
        }
        let row = active.next_row(
            leads.map(|leadership| leadership.term.0),
            now,
            self.wall_of(n),
        );
        let bytes = encode(&row.to_message()).unwrap();
        for to in (0..3).filter(|to| *to != n) {
            self.send_row(n, to, bytes.clone());
        }
    }

    fn probe_writes(&mut self, n: usize) {
        self.nodes[n].links.probes += 1;
        let count = self.nodes[n].links.probes;
        let key = keys::probe(&self.nodes[n].name);
        let group = Transaction {
            conditions: Vec::new(),
            changes: vec![Change::put(key, to_value(&ProbeRecord { count }))],
        };
        self.ask(n, StoreRequest::Multi(group), RequestPurpose::Probe);
    }

    fn send_row(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let incarnation = self.nodes[from].incarnation;
        let unanswered = RowAnswer {
            to,
            sent: self.t,
            answer: None,
        };
        // Nobody hears of an answer after this one.
        self.post(ROW_LIMIT, Mail::RowAnswered(from, incarnation, unanswered));
        let mail = Mail::Row(to, bytes.clone(), from, incarnation, self.t);
        // Some rows come again, seconds to a minute later.
        if self.rng.random_bool(0.02) {
            let after = self.rng.random_range(1.0..60.0);
            self.post(after, mail.clone());
        }
        let cut = self.link_mode(LinkId::Peer(from, to));
        if !self.keeps_request(&cut, Some(mail.clone())) {
            let after = self.latency() + cut.mode.delay.as_secs_f64();
            self.post(after, mail);
        }
    }

    /// A row reaches a node.
    pub(super) fn row_arrives(
        &mut self,
        to: usize,
        bytes: &[u8],
        (from, incarnation, sent): (usize, u64, f64),
    ) {
        let (now, wall) = (self.instant(), self.wall_of(to));
        let shared = self.nodes[to].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let taken = accept_encoded_row(active, bytes, now, wall);
        assert!(!matches!(
            taken,
            Err(RowRejection::Malformed | RowRejection::UnknownMember)
        ));
        let cut = self.link_mode(LinkId::Peer(from, to));
        if cut.mode.responses != Flow::Pass || cut.mode.refuses_connections {
            return;
        }
        let answer = Some(taken.ok());
        let after = self.latency() + cut.mode.delay.as_secs_f64();
        self.post(
            after,
            Mail::RowAnswered(from, incarnation, RowAnswer { to, sent, answer }),
        );
    }

    /// The sender hears of its row, or has waited long enough.
    pub(super) fn row_answered(&mut self, n: usize, answer: RowAnswer) {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let member = self.nodes[answer.to].name.clone();
        let sent = self.start + Duration::from_secs_f64(answer.sent);
        match answer.answer {
            // Also posted for rows that were answered: their successes were sent as late.
            None => {
                let table = active.table.lock();
                let links = table.named_links();
                let outbound = format!("requests to {member}");
                let mut links = links.filter(|(name, _)| name.to_string() == outbound);
                let answered = links.any(|(_, link)| link.last_success_sent_at() >= Some(sent));
                drop(links);
                drop(table);
                if !answered {
                    active.record_peer_request(&member, sent, false, now);
                }
            }
            Some(reply) if self.t - answer.sent <= ROW_LIMIT => {
                active.record_peer_request(&member, sent, true, now);
                if let Some(reply) = reply {
                    active.handle_row_reply(reply);
                }
            }
            Some(_) => {}
        }
    }

    /// Whether the leader hands over by what the matrix says.
    pub(super) fn outclassed(&mut self, n: usize) -> bool {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        let Some(active) = shared.links.active() else {
            return false;
        };
        if shared.election.lock().leadership(now).is_none() {
            return false;
        }
        let decision = active.decide_handover(now);
        if !matches!(decision, HandoverDecision::HandOver { .. }) {
            return false;
        }
        active.handed_over(now);
        self.handovers += 1;
        true
    }

    /// Whether a node leaves an election to a better connected one for a moment.
    pub(super) fn yields(&mut self, n: usize) -> bool {
        let (t, now) = (self.t, self.instant());
        let since = *self.nodes[n].links.vacant_since.get_or_insert(t);
        let links = &self.nodes[n].shared.links;
        let active = links.active();
        t - since < 0.7 && active.is_some_and(|active| active.should_yield(now))
    }

    /// What the link makes of a request to the state service; nothing if it is answered as usual.
    pub(super) fn cut_from_state(
        &mut self,
        node: usize,
        ask: &StoreRequest,
    ) -> Option<StoreResponse> {
        let cut = self.link_mode(LinkId::Store(node));
        let late = match ask {
            StoreRequest::Multi(group) => Some(Mail::LateWrite(group.clone())),
            _ => None,
        };
        let unknown = StoreResponse::Failed(StoreError::OutcomeUnknown);
        if self.keeps_request(&cut, late) {
            return Some(unknown);
        }
        if cut.mode.responses != Flow::Pass {
            self.carry_out(ask.clone());
            return Some(unknown);
        }
        None
    }

    /// Sets the numbers of a new life: all processes of the model start within the same millisecond.
    pub(super) fn number_incarnation(&self, n: usize, incarnation: u64) {
        let base = unix_ms(std::time::SystemTime::now());
        if let Some(active) = self.nodes[n].shared.links.active() {
            active.handle_row_reply(RowReply {
                newest_incarnation: base + incarnation * 1_000,
            });
        }
    }
}
