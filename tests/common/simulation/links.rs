//! The model's part for links that are cut, each direction by itself, and for the rows that the nodes
//! tell each other where links are turned on.

use std::time::Duration;

use knotlanding::features::{Features, LinkFeatures};
use knotlanding::peer::encode;
use knotlanding::peer::links::accept_encoded_row;
use knotlanding::store::keys::{self, ProbeRecord};
use knotlanding::store::{to_value, Change, StoreError, Transaction};
use knotlanding::time::unix_ms;
use knotlanding_links::handover::Decision;
use knotlanding_links::row::{RowRejection, RowReply};
use knotlanding_links::table::StoreOperation;
use knotlanding_testbed::proxy::{Flow, LinkMode};
use knotlanding_testbed::schedule::LinkId;
use rand::Rng;

use super::state_service::{RequestPurpose, StoreRequest, StoreResponse};
use super::{Message, Simulation};

/// Time between two rows, and after which one is not answered.
const ROW_INTERVAL_S: f64 = 1.0;
const ROW_TIMEOUT_S: f64 = 0.9;
/// Looks further apart than that: the node stood still.
const PAUSE_MIN_S: f64 = 2.5;

/// What a node keeps of its links besides what it shares; gone with its life.
#[derive(Default)]
pub struct ControllerLinks {
    evaluated_at: f64,
    probes: u64,
    /// Since when nobody leads, as far as it has looked.
    pub(super) vacant_since: Option<f64>,
}

/// A link that is cut for a while.
#[derive(Clone, Copy, Debug)]
pub struct TimedLinkFault {
    pub link: LinkId,
    pub mode: LinkMode,
    pub until: f64,
}

/// What became of a row, for its sender.
#[derive(Clone, Debug)]
pub struct RowOutcome {
    to: usize,
    sent: f64,
    /// Whether there was an answer at all, and what it said.
    receive_reply: Option<Option<RowReply>>,
}

impl Simulation {
    /// What is turned on at the nodes.
    pub(super) fn features(&self) -> Features {
        Features {
            links: self.links_enabled.then(LinkFeatures::default),
        }
    }

    /// How a link is now.
    pub(super) fn current_link_fault(&self, link: LinkId) -> TimedLinkFault {
        let newest_first = self.link_faults.iter().rev();
        let active = newest_first
            .clone()
            .find(|fault| fault.link == link && self.now_s < fault.until);
        active.copied().unwrap_or(TimedLinkFault {
            link,
            mode: LinkMode::default(),
            until: self.now_s,
        })
    }

    /// Whether a request is kept from arriving; held, it arrives when the link is whole again.
    pub(super) fn withholds_request(
        &mut self,
        link_fault: &TimedLinkFault,
        message: Option<Message>,
    ) -> bool {
        if link_fault.mode.refuse || link_fault.mode.requests == Flow::Drop {
            return true;
        }
        if link_fault.mode.requests == Flow::Hold {
            if let Some(message) = message {
                self.deliver_after((link_fault.until - self.now_s).max(0.0), message);
            }
            return true;
        }
        false
    }

    /// Takes what became of a request to the state service.
    pub(super) fn record_store_outcome(
        &self,
        controller: usize,
        purpose: &RequestPurpose,
        failed: Option<&StoreError>,
        sent: f64,
    ) {
        let operation = match purpose {
            RequestPurpose::Load
            | RequestPurpose::Read
            | RequestPurpose::Poll(_)
            | RequestPurpose::CancelRead(_) => StoreOperation::Read,
            RequestPurpose::Grant | RequestPurpose::Renew(_) | RequestPurpose::Revoke => {
                StoreOperation::Lease
            }
            RequestPurpose::Elect(_)
            | RequestPurpose::Write(..)
            | RequestPurpose::Submit(_)
            | RequestPurpose::Cancel(_)
            | RequestPurpose::Probe => StoreOperation::Write,
        };
        let sent_at = self.started_at + Duration::from_secs_f64(sent);
        let links = &self.controllers[controller].shared.links;
        if failed.is_some_and(StoreError::shows_outage) {
            links.store_failed(operation, sent_at, self.instant());
        } else {
            links.store_answered(operation, sent_at, self.instant());
        }
    }

    /// A node's regular look at its links, and its row to the others.
    pub(super) fn step_links(&mut self, controller: usize) {
        let shared = self.controllers[controller].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let last_evaluated_at = self.controllers[controller].links.evaluated_at;
        if self.now_s < last_evaluated_at + ROW_INTERVAL_S {
            return;
        }
        self.controllers[controller].links.evaluated_at = self.now_s;
        let now = self.instant();
        if last_evaluated_at > 0.0 && self.now_s - last_evaluated_at > PAUSE_MIN_S {
            active.resume_after_pause(now);
        }
        active.evaluate(now);
        let leadership = shared.election.lock().leadership(now);
        if active.needs_write_probe(leadership.is_some(), now) {
            self.probe_writes(controller);
        }
        if self.peers_refuse_connections {
            return;
        }
        let row = active.next_row(
            leadership.map(|held_messages| held_messages.term.0),
            now,
            self.wall_clock_of(controller),
        );
        let bytes = encode(&row.to_message()).unwrap();
        for to in (0..3).filter(|to| *to != controller) {
            self.send_row(controller, to, bytes.clone());
        }
    }

    fn probe_writes(&mut self, controller: usize) {
        self.controllers[controller].links.probes += 1;
        let count = self.controllers[controller].links.probes;
        let key = keys::probe(&self.controllers[controller].name);
        let transaction = Transaction {
            conditions: Vec::new(),
            changes: vec![Change::put(key, to_value(&ProbeRecord { count }))],
        };
        self.send_store_request(
            controller,
            StoreRequest::Commit(transaction),
            RequestPurpose::Probe,
        );
    }

    fn send_row(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let incarnation = self.controllers[from].incarnation;
        let unanswered = RowOutcome {
            to,
            sent: self.now_s,
            receive_reply: None,
        };
        // Nobody hears of an answer after this one.
        self.deliver_after(
            ROW_TIMEOUT_S,
            Message::RowOutcome(from, incarnation, unanswered),
        );
        let message = Message::Row(to, bytes.clone(), from, incarnation, self.now_s);
        // Some rows come again, seconds to a minute later.
        if self.rng.random_bool(0.02) {
            let after = self.rng.random_range(1.0..60.0);
            self.deliver_after(after, message.clone());
        }
        let link_fault = self.current_link_fault(LinkId::Peer(from, to));
        if !self.withholds_request(&link_fault, Some(message.clone())) {
            let after = self.draw_latency() + link_fault.mode.delay.as_secs_f64();
            self.deliver_after(after, message);
        }
    }

    /// A row reaches a node.
    pub(super) fn receive_row(
        &mut self,
        to: usize,
        bytes: &[u8],
        (from, incarnation, sent): (usize, u64, f64),
    ) {
        let (now, wall_clock) = (self.instant(), self.wall_clock_of(to));
        let shared = self.controllers[to].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let accepted = accept_encoded_row(active, bytes, now, wall_clock);
        assert!(!matches!(
            accepted,
            Err(RowRejection::Malformed | RowRejection::UnknownMember)
        ));
        let link_fault = self.current_link_fault(LinkId::Peer(from, to));
        if link_fault.mode.responses != Flow::Pass || link_fault.mode.refuse {
            return;
        }
        let receive_reply = Some(accepted.ok());
        let after = self.draw_latency() + link_fault.mode.delay.as_secs_f64();
        self.deliver_after(
            after,
            Message::RowOutcome(
                from,
                incarnation,
                RowOutcome {
                    to,
                    sent,
                    receive_reply,
                },
            ),
        );
    }

    /// The sender hears of its row, or has waited long enough.
    pub(super) fn receive_row_outcome(&mut self, controller: usize, outcome: RowOutcome) {
        let now = self.instant();
        let shared = self.controllers[controller].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let member = self.controllers[outcome.to].name.clone();
        let sent_at = self.started_at + Duration::from_secs_f64(outcome.sent);
        match outcome.receive_reply {
            // Also posted for rows that were answered: their successes were sent as late.
            None => {
                let table = active.table.lock();
                let links = table.named_links();
                let outbound = format!("requests to {member}");
                let mut links = links.filter(|(name, _)| name.to_string() == outbound);
                let answered = links.any(|(_, link)| link.evidence_at() >= Some(sent_at));
                drop(links);
                drop(table);
                if !answered {
                    active.record_peer_request(&member, sent_at, false, now);
                }
            }
            Some(receive_reply) if self.now_s - outcome.sent <= ROW_TIMEOUT_S => {
                active.record_peer_request(&member, sent_at, true, now);
                if let Some(receive_reply) = receive_reply {
                    active.handle_row_reply(receive_reply);
                }
            }
            Some(_) => {}
        }
    }

    /// Whether the leader hands over by what the matrix says.
    pub(super) fn should_hand_over(&mut self, controller: usize) -> bool {
        let now = self.instant();
        let shared = self.controllers[controller].shared.clone();
        let Some(active) = shared.links.active() else {
            return false;
        };
        if shared.election.lock().leadership(now).is_none() {
            return false;
        }
        let decision = active.decide_handover(now);
        if !matches!(decision, Decision::HandOver { .. }) {
            return false;
        }
        active.handed_over(now);
        self.handovers += 1;
        true
    }

    /// Whether a node leaves an election to a better connected one for a moment.
    pub(super) fn yields_election(&mut self, controller: usize) -> bool {
        let (now_s, now) = (self.now_s, self.instant());
        let vacant_since = *self.controllers[controller]
            .links
            .vacant_since
            .get_or_insert(now_s);
        let links = &self.controllers[controller].shared.links;
        let active = links.active();
        now_s - vacant_since < 0.7 && active.is_some_and(|active| active.should_yield(now))
    }

    /// What the link makes of a request to the state service; nothing if it is answered as usual.
    pub(super) fn apply_store_link_fault(
        &mut self,
        controller: usize,
        request: &StoreRequest,
    ) -> Option<StoreResponse> {
        let link_fault = self.current_link_fault(LinkId::Store(controller));
        let message_if_held = match request {
            StoreRequest::Commit(transaction) => {
                Some(Message::DelayedTransaction(transaction.clone()))
            }
            _ => None,
        };
        let unknown = StoreResponse::Failed(StoreError::OutcomeUnknown);
        if self.withholds_request(&link_fault, message_if_held) {
            return Some(unknown);
        }
        if link_fault.mode.responses != Flow::Pass {
            self.execute_store_request(request.clone());
            return Some(unknown);
        }
        None
    }

    /// Sets the numbers of a new life: all processes of the model start within the same millisecond.
    pub(super) fn raise_incarnation(&self, controller: usize, incarnation: u64) {
        let started_at_ms = unix_ms(std::time::SystemTime::now());
        if let Some(active) = self.controllers[controller].shared.links.active() {
            active.handle_row_reply(RowReply {
                newest_incarnation: started_at_ms + incarnation * 1_000,
            });
        }
    }
}
