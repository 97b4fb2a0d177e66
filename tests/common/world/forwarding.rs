//! The model's part for reports that followers forward: batches on their way, lost, held or doubled.

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

use super::{Mail, World};

/// What happens to batches, each with its share.
#[derive(Clone, Copy, Debug, Default)]
pub struct BatchTrouble {
    /// They don't arrive.
    pub lost: f64,
    /// They arrive seconds to a minute later.
    pub held: f64,
    /// They arrive twice, the second time up to two seconds later.
    pub doubled: f64,
    /// Their answers are held for seconds.
    pub answers_held: f64,
}

/// A worker's connection that waits at a follower.
struct Waiting {
    pending: PendingHeartbeat,
    name: String,
    epoch: u64,
    number: u64,
}

/// A batch under way, with the time by which it is given up.
struct Underway {
    batch: Vec<QueuedHeartbeat>,
    leader: knotlanding::leader::LeaderHint,
    until: f64,
}

/// What a follower holds of forwarded reports; gone with its life.
#[derive(Default)]
pub struct Forwarded {
    waiting: Vec<Waiting>,
    underway: HashMap<u64, Underway>,
    batch_at: f64,
    batches: u64,
}

impl World {
    /// A report was queued at a follower.
    pub(super) fn await_leader(
        &mut self,
        n: usize,
        pending: PendingHeartbeat,
        (name, epoch, number): (String, u64, u64),
    ) {
        let waiting = Waiting {
            pending,
            name,
            epoch,
            number,
        };
        self.nodes[n].forwarded.waiting.push(waiting);
    }

    /// One step of a follower: sends what has gathered, passes answers on.
    pub(super) fn forward(&mut self, n: usize) {
        self.give_up_batches(n);
        self.pass_answers_on(n);
        let gather = batch_delay(&self.settings).as_secs_f64();
        if self.t < self.nodes[n].forwarded.batch_at + gather {
            return;
        }
        self.nodes[n].forwarded.batch_at = self.t;
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        let role = shared.election.lock().role(now);
        let Role::Follower(Some(leader)) = role else {
            return shared.forwarding.lock().drop_queued();
        };
        let to = self
            .nodes
            .iter()
            .position(|node| node.name == leader.member);
        loop {
            let batch = shared.forwarding.lock().next_batch(&leader, now);
            let (Some(batch), Some(to)) = (batch, to) else {
                return;
            };
            if self.peers_refuse {
                let failure = UpstreamFailure::ConnectionRefused;
                shared
                    .forwarding
                    .lock()
                    .record_batch_failure(&leader, failure, now);
                continue;
            }
            let message = HeartbeatBatch {
                version: BATCH_VERSION,
                member: self.nodes[n].name.clone(),
                term: leader.term,
                sent_at_ms: unix_ms(self.wall_of(n)),
                heartbeats: batch
                    .iter()
                    .map(|queued| queued.heartbeat.clone())
                    .collect(),
            };
            let bytes = encode(&message).unwrap();
            let forwarded = &mut self.nodes[n].forwarded;
            forwarded.batches += 1;
            let id = forwarded.batches;
            let until = self.t + BATCH_TIMEOUT.as_secs_f64();
            let underway = Underway {
                batch,
                leader: leader.clone(),
                until,
            };
            forwarded.underway.insert(id, underway);
            self.batches_sent += 1;
            self.post_batch(n, to, id, bytes);
        }
    }

    fn post_batch(&mut self, n: usize, to: usize, id: u64, bytes: Vec<u8>) {
        let (trouble, until) = self.batch_trouble;
        let trouble = if self.t < until {
            trouble
        } else {
            BatchTrouble::default()
        };
        let cut = self.cut_follower;
        let is_cut = cut.is_some_and(|(follower, until)| follower == n && self.t < until);
        if is_cut || self.rng.random_bool(trouble.lost) {
            return;
        }
        let incarnation = self.nodes[n].incarnation;
        let mail = |bytes| Mail::Batch(to, bytes, n, incarnation, id);
        if self.rng.random_bool(trouble.held) {
            let after = self.rng.random_range(2.0..60.0);
            return self.post(after, mail(bytes));
        }
        let link = self.link_mode(LinkId::Peer(n, to));
        if self.keeps_request(&link, Some(mail(bytes.clone()))) {
            return;
        }
        if self.rng.random_bool(trouble.doubled) {
            let after = self.rng.random_range(0.0..2.0);
            self.post(after, mail(bytes.clone()));
        }
        self.send(mail(bytes));
    }

    /// A batch reaches the node that led when it was sent.
    pub(super) fn batch_arrives(
        &mut self,
        to: usize,
        bytes: &[u8],
        (from, incarnation, id): (usize, u64, u64),
    ) {
        let now = self.instant();
        let wall = self.wall_of(to);
        let answer = answer_batch(&self.nodes[to].shared, bytes, &|| now, wall);
        if matches!(answer, Err(BatchError::Stale(_))) {
            self.stale_batches += 1;
        }
        // Only what goes over the wire reaches the follower.
        let answer = answer.map_err(|error| error.status().as_u16());
        let answer = answer.map(|answer| encode(&answer).unwrap());
        let link = self.link_mode(LinkId::Peer(from, to));
        if link.mode.responses != Flow::Pass {
            return;
        }
        let (trouble, until) = self.batch_trouble;
        let mail = Mail::BatchAnswer(from, incarnation, id, answer);
        if self.t < until && self.rng.random_bool(trouble.answers_held) {
            let after = self.rng.random_range(1.0..8.0);
            self.post(after, mail);
        } else {
            self.send(mail);
        }
    }

    /// The leader's answer reaches the follower.
    pub(super) fn batch_answered(&mut self, n: usize, id: u64, answer: Result<Vec<u8>, u16>) {
        let now = self.instant();
        let Some(underway) = self.nodes[n].forwarded.underway.remove(&id) else {
            return;
        };
        let shared = self.nodes[n].shared.clone();
        match answer {
            Ok(bytes) => {
                let answer: BatchAnswer = decode(&bytes).unwrap();
                shared
                    .forwarding
                    .lock()
                    .record_batch_success(&underway.leader);
                for (queued, answer) in underway.batch.into_iter().zip(answer.answers) {
                    queued.answer(answer);
                }
            }
            Err(status) => {
                assert_eq!(status, 409, "only the term or the age can be wrong");
                let failure = UpstreamFailure::NotLeading;
                shared
                    .forwarding
                    .lock()
                    .record_batch_failure(&underway.leader, failure, now);
            }
        }
    }

    fn give_up_batches(&mut self, n: usize) {
        let (t, now) = (self.t, self.instant());
        let node = &mut self.nodes[n];
        let over = node.forwarded.underway.iter();
        let over = over.filter(|(_, underway)| underway.until < t);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
            let Some(underway) = node.forwarded.underway.remove(&id) else {
                continue;
            };
            let mut forwarding = node.shared.forwarding.lock();
            forwarding.record_batch_failure(&underway.leader, UpstreamFailure::Unresponsive, now);
        }
    }

    fn pass_answers_on(&mut self, n: usize) {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        let waiting = std::mem::take(&mut self.nodes[n].forwarded.waiting);
        for mut each in waiting {
            let waited = now.saturating_duration_since(each.pending.received_at);
            let answer = match (&mut each.pending.answer).now_or_never() {
                Some(Ok(answer)) => relay_response(&each.pending, answer, now),
                Some(Err(_)) => upstream_unavailable(&shared, now),
                None if waited >= RELAY_TIMEOUT + Duration::from_millis(1) => {
                    upstream_unavailable(&shared, now)
                }
                None => {
                    self.nodes[n].forwarded.waiting.push(each);
                    continue;
                }
            };
            if answer.status() == 200 {
                self.passed_on += 1;
                shared.links.record_worker_response(&each.pending.machine);
            }
            self.answer_worker(&each.name, (each.epoch, each.number), answer);
        }
    }
}
