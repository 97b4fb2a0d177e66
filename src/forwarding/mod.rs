//! The follower's side of heartbeat forwarding: a bounded queue, and the state of the path to the
//! leader.
//!
//! This module does no I/O. The HTTP handler of heartbeats enqueues them, and
//! [`crate::actors::forward`] sends them in batches. A follower makes no decision on a heartbeat: it
//! relays the leader's response, once, to the connection on which the heartbeat arrived, and only while
//! the agent may still wait for it.

pub mod messages;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use knotlanding_links::workers::HeartbeatId;
use tokio::sync::oneshot;

use self::messages::{ForwardedAnswer, ForwardedHeartbeat};
use crate::config::Settings;
use crate::leader::LeaderHint;
use crate::model::{FencingToken, Term};
use crate::wire::{Heartbeat, HeartbeatResponse, BODY_BYTES_MAX};

/// Longest time after the arrival of a heartbeat at which a response is relayed. The agent drops a
/// response 4 s after it sent the heartbeat; the remaining 0.5 s are for the network in both
/// directions.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(3500);
/// Timeout for the leader's response to a batch.
pub const BATCH_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum number of batches in flight to the leader. With two, a late response delays the batch after the
/// next one, but not the next one.
pub const BATCHES_IN_FLIGHT: usize = 2;
/// Maximum number of heartbeats in a batch.
pub const BATCH_HEARTBEATS_MAX: usize = 128;
/// Maximum number of bytes of the agents' request bodies in a batch. A single body of the largest size always
/// fits.
pub const BATCH_BYTES_MAX: usize = 4 * BODY_BYTES_MAX;
/// Fraction of the memory of the process for the bodies of queued heartbeats.
const QUEUE_MEMORY_FRACTION: f64 = 1.0 / 64.0;
/// Bytes that the queue may always hold, however small the memory of the process.
const QUEUED_BYTES_MIN: usize = 16 * BODY_BYTES_MAX;

/// Limits of the queue. A heartbeat that exceeds them is rejected at once, and its agent tries the next
/// controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of queued heartbeats. Each agent has one in flight, on a public connection of its own.
    pub heartbeats: usize,
    /// Maximum number of bytes of the bodies of queued heartbeats.
    pub bytes: usize,
}

impl QueueLimits {
    /// The limits of a process with this many public connections and `mem_mb` MiB of memory.
    pub fn new(public_connections: usize, mem_mb: f64) -> Self {
        let memory_bytes = mem_mb * 1024.0 * 1024.0 * QUEUE_MEMORY_FRACTION;
        Self {
            heartbeats: public_connections,
            bytes: (memory_bytes as usize).max(QUEUED_BYTES_MIN),
        }
    }
}

/// Processor time in seconds that a batch costs the leader in addition to its heartbeats.
const BATCH_CPU_S: f64 = 0.0002;
/// Fraction of the leader's processor time for the batches of all followers.
const BATCH_CPU_FRACTION: f64 = 0.1;
/// Bounds on the time for which heartbeats are collected into a batch, which delays the starts in the
/// leader's responses.
const BATCH_DELAY_MIN: Duration = Duration::from_millis(10);
const BATCH_DELAY_MAX: Duration = Duration::from_millis(250);

/// Backoff after a batch without a response, or with a server error as the response.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(1);
/// Backoff after the leader refused a connection or a batch.
const REFUSED_BACKOFF: Duration = Duration::from_secs(2);
/// Backoff after the leader responded that it does not support forwarded heartbeats.
const UNSUPPORTED_BACKOFF: Duration = Duration::from_secs(30);

/// How long heartbeats are collected into a batch, so that the batches of all followers cost the leader
/// a small fraction of its processor time.
pub fn batch_delay(settings: &Settings) -> Duration {
    let followers = settings.params.count.saturating_sub(1).max(1);
    let cores = settings.params.resources.cores;
    let delay_s = followers as f64 * BATCH_CPU_S / (cores * BATCH_CPU_FRACTION);
    let delay = Duration::try_from_secs_f64(delay_s).unwrap_or(BATCH_DELAY_MAX);
    delay.clamp(BATCH_DELAY_MIN, BATCH_DELAY_MAX)
}

/// Why heartbeats cannot be forwarded to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// The leader did not respond to a batch in time, or responded with a server error.
    Unresponsive,
    /// The leader's address refuses connections.
    ConnectionRefused,
    /// The leader rejected the batch with 409: it does not lead in the term of the batch, or the batch is too
    /// old.
    NotLeading,
    /// The leader does not support forwarded heartbeats, or not in this version, or rejected the batch for
    /// another reason.
    Unsupported,
}

impl UpstreamFailure {
    fn backoff(self) -> Duration {
        match self {
            Self::Unresponsive => UNRESPONSIVE_BACKOFF,
            Self::ConnectionRefused | Self::NotLeading => REFUSED_BACKOFF,
            Self::Unsupported => UNSUPPORTED_BACKOFF,
        }
    }

    /// Whether agents may reach the leader although this controller does not.
    fn allows_redirect(self) -> bool {
        matches!(self, Self::ConnectionRefused | Self::Unsupported)
    }
}

/// What to do with a heartbeat that arrived at a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardingRoute {
    /// Queue it for the leader.
    Forward,
    /// Redirect the agent to the leader.
    Redirect,
    /// Respond with an error, so that the agent tries another controller.
    Reject,
}

/// The heartbeat exceeds one of the [`QueueLimits`] and was not queued.
#[derive(Debug, PartialEq, Eq)]
pub struct QueueFull;

/// A heartbeat that waits to be sent in a batch, or for the response to its batch.
#[derive(Debug)]
pub struct QueuedHeartbeat {
    /// The heartbeat, in the form in which it is forwarded.
    pub heartbeat: ForwardedHeartbeat,
    /// The term of the leader for which it was queued. It may be sent to a later leader.
    leader_term: Term,
    body_bytes: usize,
    received_at: Instant,
    token: FencingToken,
    answer: oneshot::Sender<ForwardedAnswer>,
}

impl QueuedHeartbeat {
    /// Passes the leader's decision to the handler of the agent's connection, if the connection is
    /// still open.
    pub fn answer(self, answer: ForwardedAnswer) {
        let _ = self.answer.send(answer);
    }

    /// Whether the agent still waits, and accepts commands of this leader's term.
    fn is_deliverable(&self, leader: &LeaderHint, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.received_at);
        !self.answer.is_closed() && waited < RELAY_TIMEOUT && self.token.term() <= leader.term
    }
}

/// A heartbeat whose connection waits for the leader's decision. Dropping it marks the agent as no
/// longer waiting.
#[derive(Debug)]
pub struct PendingHeartbeat {
    /// The id of the agent's machine.
    pub machine: String,
    /// Which of the agent's heartbeats it is.
    pub heartbeat: HeartbeatId,
    /// When the heartbeat arrived at this controller.
    pub received_at: Instant,
    /// The highest fencing token that the agent had accepted when it sent the heartbeat.
    token: u64,
    /// Resolves to the leader's decision, or fails if the heartbeat is dropped without one.
    pub answer: oneshot::Receiver<ForwardedAnswer>,
}

impl PendingHeartbeat {
    /// The response to relay, if the agent accepts it: it is in time, and its fencing token is not
    /// lower than the highest that the agent has accepted.
    pub fn relayed_response(
        &self,
        answer: ForwardedAnswer,
        now: Instant,
    ) -> Option<HeartbeatResponse> {
        let in_time = now.saturating_duration_since(self.received_at) < RELAY_TIMEOUT;
        let response = answer.accepted().filter(|_| in_time)?;
        (response.token >= self.token).then_some(response)
    }
}

/// The last failure on the path to a leader.
#[derive(Debug)]
struct FailedPath {
    leader: LeaderHint,
    failure: UpstreamFailure,
    failed_at: Instant,
}

/// The batches in flight to a leader.
#[derive(Debug)]
struct BatchesInFlight {
    leader: LeaderHint,
    count: usize,
}

/// The queue of heartbeats to forward, with the state of the path to the leader.
///
/// The outcome of a batch may arrive seconds after the next leader is known. It changes only what belongs to
/// the leader of that batch.
#[derive(Debug)]
pub struct ForwardingQueue {
    limits: QueueLimits,
    queue: VecDeque<QueuedHeartbeat>,
    queued_bytes: usize,
    /// The batches to the leader of the newest batch. Those to a former leader do not count any more.
    in_flight: Option<BatchesInFlight>,
    /// The failure since which no batch to the same leader has succeeded.
    failure: Option<FailedPath>,
}

impl ForwardingQueue {
    /// An empty queue, with no failure on the path to any leader.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: None,
            failure: None,
        }
    }

    /// The route of a heartbeat for this leader. When the backoff after a failure has elapsed, one
    /// batch probes the path; no further heartbeat is queued while that batch is in flight.
    pub fn route(&self, leader: &LeaderHint, now: Instant) -> ForwardingRoute {
        let Some(failed) = &self.failure else {
            return ForwardingRoute::Forward;
        };
        if failed.leader != *leader {
            return ForwardingRoute::Forward;
        }
        let backoff_elapsed =
            now.saturating_duration_since(failed.failed_at) >= failed.failure.backoff();
        if backoff_elapsed && self.batches_in_flight(leader) == 0 {
            return ForwardingRoute::Forward;
        }
        if failed.failure.allows_redirect() {
            ForwardingRoute::Redirect
        } else {
            ForwardingRoute::Reject
        }
    }

    fn batches_in_flight(&self, leader: &LeaderHint) -> usize {
        let in_flight = self.in_flight.as_ref();
        let to_leader = in_flight.filter(|in_flight| in_flight.leader == *leader);
        to_leader.map_or(0, |in_flight| in_flight.count)
    }

    /// Queues a heartbeat for this leader; its request body had `body_bytes` bytes.
    pub fn enqueue(
        &mut self,
        heartbeat: Heartbeat,
        leader: &LeaderHint,
        body_bytes: usize,
        now: Instant,
    ) -> Result<PendingHeartbeat, QueueFull> {
        let full = self.queue.len() >= self.limits.heartbeats
            || self.queued_bytes + body_bytes > self.limits.bytes;
        if full {
            return Err(QueueFull);
        }
        let (sender, receiver) = oneshot::channel();
        let token = heartbeat.token;
        let machine = heartbeat.machine.clone();
        let id = heartbeat.id();
        self.queued_bytes += body_bytes;
        self.queue.push_back(QueuedHeartbeat {
            heartbeat: heartbeat.into(),
            leader_term: leader.term,
            body_bytes,
            received_at: now,
            token: FencingToken(token),
            answer: sender,
        });
        Ok(PendingHeartbeat {
            machine,
            heartbeat: id,
            received_at: now,
            token,
            answer: receiver,
        })
    }

    /// Takes the next batch for this leader from the queue and counts it as in flight. Heartbeats whose
    /// agents no longer wait, or accept no commands of the leader's term, are dropped. `None` if there
    /// is nothing to send, or the limit of batches in flight is reached.
    pub fn next_batch(
        &mut self,
        leader: &LeaderHint,
        now: Instant,
    ) -> Option<Vec<QueuedHeartbeat>> {
        let in_flight = self.batches_in_flight(leader);
        if in_flight >= BATCHES_IN_FLIGHT {
            return None;
        }
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(next) = self.queue.front() {
            let fits = batch.is_empty() || bytes + next.body_bytes <= BATCH_BYTES_MAX;
            if batch.len() >= BATCH_HEARTBEATS_MAX || !fits {
                break;
            }
            let Some(queued) = self.pop() else {
                break;
            };
            if queued.is_deliverable(leader, now) {
                bytes += queued.body_bytes;
                batch.push(queued);
            }
        }
        if batch.is_empty() {
            return None;
        }
        self.in_flight = Some(BatchesInFlight {
            leader: leader.clone(),
            count: in_flight + 1,
        });
        Some(batch)
    }

    fn pop(&mut self) -> Option<QueuedHeartbeat> {
        let queued = self.queue.pop_front()?;
        self.queued_bytes -= queued.body_bytes;
        Some(queued)
    }

    /// Whether any heartbeats wait to be sent in a batch.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Drops all heartbeats that wait to be sent, because the leader is unknown or unreachable. Their
    /// agents receive an error, or a redirect to the leader where it may still be reachable for them.
    pub fn drop_queued(&mut self) {
        self.queue.clear();
        self.queued_bytes = 0;
    }

    /// Records that the leader responded to a batch, which ends the failure on the path to it.
    pub fn record_batch_success(&mut self, leader: &LeaderHint) {
        self.record_batch_end(leader);
        if self
            .failure
            .as_ref()
            .is_some_and(|failed| failed.leader == *leader)
        {
            self.failure = None;
        }
    }

    fn record_batch_end(&mut self, leader: &LeaderHint) {
        let in_flight = self.in_flight.as_mut();
        if let Some(in_flight) = in_flight.filter(|in_flight| in_flight.leader == *leader) {
            in_flight.count = in_flight.count.saturating_sub(1);
        }
    }

    /// Records that a batch to this leader failed. The batch is not repeated, since the leader may have
    /// accepted it; the heartbeats that wait behind it are dropped as well, except those for a later leader.
    pub fn record_batch_failure(
        &mut self,
        leader: &LeaderHint,
        failure: UpstreamFailure,
        now: Instant,
    ) {
        self.record_batch_end(leader);
        self.drop_queued_up_to(leader.term);
        let later_failed = self.failure.as_ref();
        if later_failed.is_some_and(|failed| failed.leader > *leader) {
            return;
        }
        self.failure = Some(FailedPath {
            leader: leader.clone(),
            failure,
            failed_at: now,
        });
    }

    /// Drops the heartbeats that were queued for a leader of this term or an earlier one.
    fn drop_queued_up_to(&mut self, term: Term) {
        self.queue.retain(|queued| queued.leader_term > term);
        self.queued_bytes = self.queue.iter().map(|queued| queued.body_bytes).sum();
    }
}

#[cfg(test)]
mod tests;
