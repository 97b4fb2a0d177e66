//! Simulated forwarding of heartbeats from followers to the leader, in batches that faults may lose,
//! delay or duplicate.

use std::collections::HashMap;
use std::time::Duration;

use futures_util::FutureExt;
use knotlanding::api::workers::{relay_response, upstream_unavailable};
use knotlanding::forwarding::messages::{BatchAnswer, HeartbeatBatch, BATCH_VERSION};
use knotlanding::forwarding::{
    batch_delay, PendingHeartbeat, QueuedHeartbeat, UpstreamFailure, BATCH_TIMEOUT, RELAY_TIMEOUT,
};
use knotlanding::leader::Role;
use knotlanding::peer::heartbeats::{answer_batch, BatchError};
use knotlanding::peer::{decode, encode};
use knotlanding::time::unix_ms;
use knotlanding_testbed::proxy::Flow;
use knotlanding_testbed::schedule::LinkId;
use rand::Rng;

use super::{Message, Simulation};

/// Shares of the batches that each fault affects.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchFaults {
    /// Batches that are not delivered.
    pub lost: f64,
    /// Batches that are delivered 2 to 60 s later.
    pub delayed: f64,
    /// Batches of which a second copy is delivered, up to 2 s after they are sent.
    pub duplicated: f64,
    /// Batches whose response is delayed by 1 to 8 s.
    pub responses_delayed: f64,
}

/// A worker's connection that a follower keeps open until the leader responds.
struct WaitingConnection {
    pending: PendingHeartbeat,
    name: String,
    epoch: u64,
    number: u64,
}

/// A batch that has no response yet, and the time at which it times out.
struct SentBatch {
    batch: Vec<QueuedHeartbeat>,
    leader: knotlanding::leader::LeaderHint,
    until: f64,
}

/// A follower's connections and batches; a restart clears them.
#[derive(Default)]
pub struct ForwardingState {
    waiting: Vec<WaitingConnection>,
    sent_batches: HashMap<u64, SentBatch>,
    last_batch_at: f64,
    /// Number of the last batch.
    last_batch_id: u64,
}

impl Simulation {
    /// Keeps the connection of a worker whose heartbeat was queued for the leader.
    pub(super) fn hold_connection(
        &mut self,
        index: usize,
        pending: PendingHeartbeat,
        (name, epoch, number): (String, u64, u64),
    ) {
        let connection = WaitingConnection {
            pending,
            name,
            epoch,
            number,
        };
        self.controllers[index]
            .forwarding_state
            .waiting
            .push(connection);
    }

    /// Relays responses to workers, and sends the queued heartbeats to the leader.
    pub(super) fn step_forwarding(&mut self, index: usize) {
        self.time_out_batches(index);
        self.relay_responses(index);
        let batch_delay_s = batch_delay(&self.settings).as_secs_f64();
        if self.now_s < self.controllers[index].forwarding_state.last_batch_at + batch_delay_s {
            return;
        }
        self.controllers[index].forwarding_state.last_batch_at = self.now_s;
        let now = self.instant();
        let shared = self.controllers[index].shared.clone();
        let role = shared.election.lock().role(now);
        let Role::Follower(Some(leader)) = role else {
            return shared.forwarding.lock().drop_queued();
        };
        let to = self
            .controllers
            .iter()
            .position(|other| other.name == leader.member);
        loop {
            let batch = shared.forwarding.lock().next_batch(&leader, now);
            let (Some(batch), Some(to)) = (batch, to) else {
                return;
            };
            if self.peers_refuse_connections {
                let failure = UpstreamFailure::ConnectionRefused;
                shared
                    .forwarding
                    .lock()
                    .record_batch_failure(&leader, failure, now);
                continue;
            }
            let message = HeartbeatBatch {
                version: BATCH_VERSION,
                member: self.controllers[index].name.clone(),
                term: leader.term,
                sent_at_ms: unix_ms(self.wall_clock_of(index)),
                heartbeats: batch
                    .iter()
                    .map(|queued| queued.heartbeat.clone())
                    .collect(),
            };
            let bytes = encode(&message).unwrap();
            let forwarding_state = &mut self.controllers[index].forwarding_state;
            forwarding_state.last_batch_id += 1;
            let id = forwarding_state.last_batch_id;
            let until = self.now_s + BATCH_TIMEOUT.as_secs_f64();
            let sent_batch = SentBatch {
                batch,
                leader: leader.clone(),
                until,
            };
            forwarding_state.sent_batches.insert(id, sent_batch);
            self.batches_sent += 1;
            self.send_batch(index, to, id, bytes);
        }
    }

    fn send_batch(&mut self, index: usize, to: usize, id: u64, bytes: Vec<u8>) {
        let (faults, until) = self.batch_faults;
        let faults = if self.now_s < until {
            faults
        } else {
            BatchFaults::default()
        };
        let isolated = self.isolated_follower;
        let is_isolated =
            isolated.is_some_and(|(follower, until)| follower == index && self.now_s < until);
        if is_isolated || self.rng.random_bool(faults.lost) {
            return;
        }
        let incarnation = self.controllers[index].incarnation;
        let message = |bytes| Message::Batch(to, bytes, index, incarnation, id);
        if self.rng.random_bool(faults.delayed) {
            let after = self.rng.random_range(2.0..60.0);
            return self.deliver_after(after, message(bytes));
        }
        let link_fault = self.current_link_fault(LinkId::Peer(index, to));
        if self.withholds_request(&link_fault, Some(message(bytes.clone()))) {
            return;
        }
        if self.rng.random_bool(faults.duplicated) {
            let after = self.rng.random_range(0.0..2.0);
            self.deliver_after(after, message(bytes.clone()));
        }
        self.send(message(bytes));
    }

    /// Delivers a batch to the controller that the sender observed as the leader.
    pub(super) fn receive_batch(
        &mut self,
        to: usize,
        bytes: &[u8],
        (from, incarnation, id): (usize, u64, u64),
    ) {
        let now = self.instant();
        let wall_clock = self.wall_clock_of(to);
        let answer = answer_batch(&self.controllers[to].shared, bytes, &|| now, wall_clock);
        if matches!(answer, Err(BatchError::Stale(_))) {
            self.stale_batches += 1;
        }
        // The follower receives only what is sent over the network: the encoded body or the status.
        let answer = answer.map_err(|error| error.status().as_u16());
        let answer = answer.map(|answer| encode(&answer).unwrap());
        let link_fault = self.current_link_fault(LinkId::Peer(from, to));
        if link_fault.mode.responses != Flow::Pass {
            return;
        }
        let (faults, until) = self.batch_faults;
        let message = Message::BatchResponse(from, incarnation, id, answer);
        self.copy_batch_answer(&message);
        if self.now_s < until && self.rng.random_bool(faults.responses_delayed) {
            let after = self.rng.random_range(1.0..8.0);
            self.deliver_after(after, message);
        } else {
            self.send(message);
        }
    }

    /// Delivers the response to a batch to the follower that sent it.
    pub(super) fn receive_batch_response(
        &mut self,
        index: usize,
        id: u64,
        response: Result<Vec<u8>, u16>,
    ) {
        let now = self.instant();
        let Some(sent_batch) = self.controllers[index]
            .forwarding_state
            .sent_batches
            .remove(&id)
        else {
            return;
        };
        let shared = self.controllers[index].shared.clone();
        match response {
            Ok(bytes) => {
                let answer: BatchAnswer = decode(&bytes).unwrap();
                shared
                    .forwarding
                    .lock()
                    .record_batch_success(&sent_batch.leader);
                for (queued, answer) in sent_batch.batch.into_iter().zip(answer.answers) {
                    queued.answer(answer);
                }
            }
            Err(status) => {
                assert_eq!(
                    status, 409,
                    "a batch may only be rejected because of its term or its age"
                );
                let failure = UpstreamFailure::NotLeading;
                shared
                    .forwarding
                    .lock()
                    .record_batch_failure(&sent_batch.leader, failure, now);
            }
        }
    }

    fn time_out_batches(&mut self, index: usize) {
        let (now_s, now) = (self.now_s, self.instant());
        let state = &mut self.controllers[index];
        let expired = state.forwarding_state.sent_batches.iter();
        let expired = expired.filter(|(_, sent_batch)| sent_batch.until < now_s);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            let Some(sent_batch) = state.forwarding_state.sent_batches.remove(&id) else {
                continue;
            };
            let mut forwarding = state.shared.forwarding.lock();
            forwarding.record_batch_failure(&sent_batch.leader, UpstreamFailure::Unresponsive, now);
        }
    }

    fn relay_responses(&mut self, index: usize) {
        let now = self.instant();
        let shared = self.controllers[index].shared.clone();
        let waiting = std::mem::take(&mut self.controllers[index].forwarding_state.waiting);
        for mut connection in waiting {
            let waited = now.saturating_duration_since(connection.pending.received_at);
            let response = match (&mut connection.pending.answer).now_or_never() {
                Some(Ok(answer)) => relay_response(&connection.pending, answer, now),
                Some(Err(_)) => upstream_unavailable(&shared, now),
                None if waited >= RELAY_TIMEOUT + Duration::from_millis(1) => {
                    upstream_unavailable(&shared, now)
                }
                None => {
                    self.controllers[index]
                        .forwarding_state
                        .waiting
                        .push(connection);
                    continue;
                }
            };
            if response.status() == 200 {
                self.responses_relayed += 1;
                let pending = &connection.pending;
                shared
                    .links
                    .record_worker_response(&pending.machine, pending.heartbeat);
            }
            self.send_response(
                &connection.name,
                (connection.epoch, connection.number),
                response,
            );
        }
    }
}
