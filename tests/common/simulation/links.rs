//! Simulated link faults, for each direction of a link separately, and the connectivity rows that
//! controllers exchange when link monitoring is enabled.

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

use super::store::{RequestPurpose, StoreRequest, StoreResponse};
use super::{Message, Simulation};

/// Interval between the rows that a controller sends.
const ROW_INTERVAL_S: f64 = 1.0;
/// A row without a response within this time counts as a failed request.
const ROW_TIMEOUT_S: f64 = 0.9;
/// A longer time between two evaluations means that the process was paused.
const PAUSE_MIN_S: f64 = 2.5;

/// A controller's link state outside of its shared state; a restart clears it.
#[derive(Default)]
pub struct ControllerLinks {
    last_evaluated_at: f64,
    probe_count: u64,
    /// Time at which the controller first observed that there is no leader.
    pub(super) vacant_since: Option<f64>,
}

/// The mode of a link until a given time.
#[derive(Clone, Copy, Debug)]
pub struct TimedLinkFault {
    pub link: LinkId,
    pub mode: LinkMode,
    pub until: f64,
}

/// Outcome of a row for its sender.
#[derive(Clone, Debug)]
pub struct RowOutcome {
    to: usize,
    sent_s: f64,
    /// Absent if the row timed out; the inner value is absent if the receiver rejected the row.
    reply: Option<Option<RowReply>>,
}

impl Simulation {
    pub(super) fn features(&self) -> Features {
        Features {
            links: self.links_enabled.then(LinkFeatures::default),
        }
    }

    /// The active fault of a link that started last, or the default mode if no fault is active.
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

    /// Whether a link fault prevents the delivery of a request now. If the fault holds requests, `message`
    /// is delivered when the fault ends.
    pub(super) fn withholds_request(
        &mut self,
        link_fault: &TimedLinkFault,
        message: Option<Message>,
    ) -> bool {
        if link_fault.mode.refuses_connections || link_fault.mode.requests == Flow::Drop {
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

    /// Records the outcome of a store request as evidence for the store link.
    pub(super) fn record_store_outcome(
        &self,
        index: usize,
        purpose: &RequestPurpose,
        error: Option<&StoreError>,
        sent_s: f64,
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
        let sent_at = self.started_at + Duration::from_secs_f64(sent_s);
        let links = &self.controllers[index].shared.links;
        if error.is_some_and(StoreError::shows_outage) {
            links.store_failed(operation, sent_at, self.instant());
        } else {
            links.store_answered(operation, sent_at, self.instant());
        }
    }

    /// Evaluates the links of a controller, and sends its row to the others, once per interval.
    pub(super) fn step_links(&mut self, index: usize) {
        let shared = self.controllers[index].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let last_evaluated_at = self.controllers[index].links.last_evaluated_at;
        if self.now_s < last_evaluated_at + ROW_INTERVAL_S {
            return;
        }
        self.controllers[index].links.last_evaluated_at = self.now_s;
        let now = self.instant();
        if last_evaluated_at > 0.0 && self.now_s - last_evaluated_at > PAUSE_MIN_S {
            active.resume_after_pause(now);
        }
        active.evaluate(now);
        let leadership = shared.election.lock().leadership(now);
        if active.needs_write_probe(leadership.is_some(), now) {
            self.probe_writes(index);
        }
        if self.peers_refuse_connections {
            return;
        }
        let row = active.next_row(
            leadership.map(|held| held.term.0),
            now,
            self.wall_clock_of(index),
        );
        let bytes = encode(&row.to_message()).unwrap();
        for to in (0..3).filter(|to| *to != index) {
            self.send_row(index, to, bytes.clone());
        }
    }

    fn probe_writes(&mut self, index: usize) {
        self.controllers[index].links.probe_count += 1;
        let count = self.controllers[index].links.probe_count;
        let key = keys::probe(&self.controllers[index].name);
        let transaction = Transaction {
            conditions: Vec::new(),
            changes: vec![Change::put(key, to_value(&ProbeRecord { count }))],
        };
        self.send_store_request(
            index,
            StoreRequest::Commit(transaction),
            RequestPurpose::Probe,
        );
    }

    fn send_row(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let incarnation = self.controllers[from].incarnation;
        let unanswered = RowOutcome {
            to,
            sent_s: self.now_s,
            reply: None,
        };
        // The timeout of the row; a response that arrives after it is ignored.
        self.deliver_after(
            ROW_TIMEOUT_S,
            Message::RowOutcome(from, incarnation, unanswered),
        );
        let message = Message::Row(to, bytes.clone(), from, incarnation, self.now_s);
        // Some rows are delivered a second time, 1 to 60 s later.
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

    /// Delivers a row to a controller.
    pub(super) fn receive_row(
        &mut self,
        to: usize,
        bytes: &[u8],
        (from, incarnation, sent_s): (usize, u64, f64),
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
        if link_fault.mode.responses != Flow::Pass || link_fault.mode.refuses_connections {
            return;
        }
        let reply = Some(accepted.ok());
        let after = self.draw_latency() + link_fault.mode.delay.as_secs_f64();
        self.deliver_after(
            after,
            Message::RowOutcome(from, incarnation, RowOutcome { to, sent_s, reply }),
        );
    }

    /// Delivers the response to a row, or its timeout, to the sender.
    pub(super) fn receive_row_outcome(&mut self, index: usize, outcome: RowOutcome) {
        let now = self.instant();
        let shared = self.controllers[index].shared.clone();
        let Some(active) = shared.links.active() else {
            return;
        };
        let member = self.controllers[outcome.to].name.clone();
        let sent_at = self.started_at + Duration::from_secs_f64(outcome.sent_s);
        match outcome.reply {
            // Every row has a timeout. It has no effect if this row, or one sent later, got a response.
            None => {
                let table = active.table.lock();
                let links = table.named_links();
                let outbound = format!("requests to {member}");
                let mut links = links.filter(|(name, _)| name.to_string() == outbound);
                let has_later_success =
                    links.any(|(_, link)| link.last_success_sent_at() >= Some(sent_at));
                drop(links);
                drop(table);
                if !has_later_success {
                    active.record_peer_request(&member, sent_at, false, now);
                }
            }
            Some(reply) if self.now_s - outcome.sent_s <= ROW_TIMEOUT_S => {
                active.record_peer_request(&member, sent_at, true, now);
                if let Some(accepted) = reply {
                    active.handle_row_reply(accepted);
                }
            }
            Some(_) => {}
        }
    }

    /// Whether the leader hands over leadership because of the connectivity matrix. Records the handover.
    pub(super) fn decide_handover(&mut self, index: usize) -> bool {
        let now = self.instant();
        let shared = self.controllers[index].shared.clone();
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

    /// Whether a controller yields an election to a better connected one. It does so only in the first
    /// 0.7 s without a leader.
    pub(super) fn yields_election(&mut self, index: usize) -> bool {
        let (now_s, now) = (self.now_s, self.instant());
        let vacant_since = *self.controllers[index]
            .links
            .vacant_since
            .get_or_insert(now_s);
        let links = &self.controllers[index].shared.links;
        let active = links.active();
        now_s - vacant_since < 0.7 && active.is_some_and(|active| active.should_yield(now))
    }

    /// Response to a store request that is subject to a link fault; `None` if the link is intact.
    pub(super) fn apply_store_link_fault(
        &mut self,
        index: usize,
        request: &StoreRequest,
    ) -> Option<StoreResponse> {
        let link_fault = self.current_link_fault(LinkId::Store(index));
        let message_if_held = match request {
            StoreRequest::Commit(transaction) => Some(Message::LateWrite(transaction.clone())),
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

    /// Raises the incarnation of a restarted process above that of the previous one. All processes of the
    /// simulation start within the same millisecond, so the start time does not distinguish them.
    pub(super) fn raise_incarnation(&self, index: usize, incarnation: u64) {
        let started_at_ms = unix_ms(std::time::SystemTime::now());
        if let Some(active) = self.controllers[index].shared.links.active() {
            active.handle_row_reply(RowReply {
                newest_incarnation: started_at_ms + incarnation * 1_000,
            });
        }
    }
}
