//! The follower's side of forwarded heartbeats: a bounded queue, and the state of the path to the
//! leader.
//!
//! Pure state. The handler of heartbeats enqueues, [`crate::actors::forward`] takes batches and sends
//! them. A follower decides nothing about a heartbeat: it relays a response, once, to the connection
//! on which the heartbeat arrived, and only while the agent can still be waiting.

pub mod messages;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use self::messages::{ForwardedAnswer, ForwardedHeartbeat};
use crate::config::Settings;
use crate::leader::LeaderHint;
use crate::model::FencingToken;
use crate::wire::{Heartbeat, HeartbeatResponse, BODY_BYTES_MAX};

/// An agent drops a response 4 s after it sent the heartbeat. No response is relayed later than this
/// after the heartbeat arrived: the rest is for its way here and back.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(3500);
/// Time for the leader's response to a batch.
pub const BATCH_LIMIT: Duration = Duration::from_millis(2500);
/// Batches in flight at once: one that is answered late delays only the next but one.
pub const BATCHES_IN_FLIGHT: usize = 2;
/// Heartbeats in a batch.
pub const BATCH_HEARTBEATS_MAX: usize = 128;
/// Bytes of the agents' bodies in a batch. The largest single body always fits.
pub const BATCH_BYTES_MAX: usize = 4 * BODY_BYTES_MAX;
/// Part of the memory for the bodies of queued heartbeats.
const QUEUE_MEMORY_PART: f64 = 1.0 / 64.0;
/// The queue may always hold this many bytes.
const QUEUED_BYTES_MIN: usize = 16 * BODY_BYTES_MAX;

/// Limits of the queue. Beyond them an agent is rejected at once, and tries the next node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Heartbeats: each agent has one in flight, on a public connection of its own.
    pub heartbeats: usize,
    /// Bytes of their bodies.
    pub bytes: usize,
}

impl QueueLimits {
    /// For a process with so many public connections and so much memory.
    pub fn new(public_connections: usize, mem_mb: f64) -> Self {
        let part = mem_mb * 1024.0 * 1024.0 * QUEUE_MEMORY_PART;
        Self {
            heartbeats: public_connections,
            bytes: (part as usize).max(QUEUED_BYTES_MIN),
        }
    }
}

/// Processor time that a batch costs the leader besides its heartbeats.
const BATCH_CPU_S: f64 = 0.0002;
/// Part of the leader's processor for that.
const BATCH_CPU_PART: f64 = 0.1;
/// Bounds on the delay for which heartbeats are batched. It adds to the time until a start reaches its
/// machine.
const BATCH_DELAY_MIN: Duration = Duration::from_millis(10);
const BATCH_DELAY_MAX: Duration = Duration::from_millis(250);

/// How long a path counts as unresponsive after a batch without response.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(1);
/// Backoff after a leader refused a connection or a batch.
const REFUSED_FOR: Duration = Duration::from_secs(2);
/// Backoff after a leader did not know forwarded heartbeats.
const UNSUPPORTED_FOR: Duration = Duration::from_secs(30);

/// How long heartbeats are collected into a batch: the batches of all followers are to cost the leader
/// a small part of its processor.
pub fn batch_delay(settings: &Settings) -> Duration {
    let followers = settings.params.count.saturating_sub(1).max(1);
    let cores = settings.params.resources.cores;
    let between_s = followers as f64 * BATCH_CPU_S / (cores * BATCH_CPU_PART);
    let between = Duration::try_from_secs_f64(between_s).unwrap_or(BATCH_DELAY_MAX);
    between.clamp(BATCH_DELAY_MIN, BATCH_DELAY_MAX)
}

/// Why heartbeats can't be forwarded to a leader at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// A batch got no response in time.
    Unresponsive,
    /// The leader's node refuses connections.
    ConnectionRefused,
    /// It does not lead the term that this node knows.
    NotLeading,
    /// It does not know forwarded heartbeats, or not this version of them.
    Unsupported,
}

impl UpstreamFailure {
    fn backoff(self) -> Duration {
        match self {
            Self::Unresponsive => UNRESPONSIVE_FOR,
            Self::ConnectionRefused | Self::NotLeading => REFUSED_FOR,
            Self::Unsupported => UNSUPPORTED_FOR,
        }
    }

    /// Whether agents may reach the leader although this node does not.
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
    /// Answer with an error, so that the agent tries another node.
    Reject,
}

/// The queue is full.
#[derive(Debug, PartialEq, Eq)]
pub struct QueueFull;

/// A heartbeat that waits for a batch or for its response.
#[derive(Debug)]
pub struct QueuedHeartbeat {
    /// The heartbeat.
    pub heartbeat: ForwardedHeartbeat,
    body_bytes: usize,
    received: Instant,
    token: FencingToken,
    answer: oneshot::Sender<ForwardedAnswer>,
}

impl QueuedHeartbeat {
    /// Hands the leader's response to the agent's connection, if it is still open.
    pub fn answer(self, answer: ForwardedAnswer) {
        let _ = self.answer.send(answer);
    }

    /// Whether the agent is still waiting, and accepts commands of this term.
    fn is_deliverable(&self, leader: &LeaderHint, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.received);
        !self.answer.is_closed() && waited < ANSWER_LIMIT && self.token.term() <= leader.term
    }
}

/// The agent's connection, waiting for the leader's decision.
#[derive(Debug)]
pub struct PendingHeartbeat {
    /// The machine.
    pub machine: String,
    /// When the heartbeat arrived.
    pub received: Instant,
    /// The highest fencing token that the agent had seen.
    token: u64,
    /// Resolves to the leader's response, or fails if there will be none.
    pub answer: oneshot::Receiver<ForwardedAnswer>,
}

impl PendingHeartbeat {
    /// The response to relay, if the agent accepts it: in time, and under a fencing token no lower than
    /// the highest that it has seen.
    pub fn relayed_response(
        &self,
        answer: ForwardedAnswer,
        now: Instant,
    ) -> Option<HeartbeatResponse> {
        let in_time = now.saturating_duration_since(self.received) < ANSWER_LIMIT;
        let answer = answer.accepted().filter(|_| in_time)?;
        (answer.token >= self.token).then_some(answer)
    }
}

/// A path that failed: to which leader, how, and when.
#[derive(Debug)]
struct FailedPath {
    leader: LeaderHint,
    failure: UpstreamFailure,
    at: Instant,
}

/// Heartbeats on their way to the leader.
#[derive(Debug)]
pub struct Forwarding {
    limits: QueueLimits,
    queue: VecDeque<QueuedHeartbeat>,
    queued_bytes: usize,
    in_flight: usize,
    /// The last failure on the path to a leader.
    failure: Option<FailedPath>,
}

impl Forwarding {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            queue: VecDeque::new(),
            queued_bytes: 0,
            in_flight: 0,
            failure: None,
        }
    }

    /// What to do with a heartbeat for this leader. After a failure one batch tries the path again; until
    /// it is answered no further heartbeat is queued.
    pub fn route(&self, leader: &LeaderHint, now: Instant) -> ForwardingRoute {
        let Some(failed) = &self.failure else {
            return ForwardingRoute::Forward;
        };
        if failed.leader != *leader {
            return ForwardingRoute::Forward;
        }
        let over = now.saturating_duration_since(failed.at) >= failed.failure.backoff();
        if over && self.in_flight == 0 {
            return ForwardingRoute::Forward;
        }
        if failed.failure.allows_redirect() {
            ForwardingRoute::Redirect
        } else {
            ForwardingRoute::Reject
        }
    }

    /// Queues a heartbeat whose body had so many bytes.
    pub fn enqueue(
        &mut self,
        heartbeat: Heartbeat,
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
        self.queued_bytes += body_bytes;
        self.queue.push_back(QueuedHeartbeat {
            heartbeat: heartbeat.into(),
            body_bytes,
            received: now,
            token: FencingToken(token),
            answer: sender,
        });
        Ok(PendingHeartbeat {
            machine,
            received: now,
            token,
            answer: receiver,
        })
    }

    /// The next batch for this leader, counted as in flight; heartbeats whose agents no longer wait are
    /// left out. `None` if there is nothing to send, or enough is in flight.
    pub fn next_batch(
        &mut self,
        leader: &LeaderHint,
        now: Instant,
    ) -> Option<Vec<QueuedHeartbeat>> {
        if self.in_flight >= BATCHES_IN_FLIGHT {
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
        self.in_flight += 1;
        Some(batch)
    }

    fn pop(&mut self) -> Option<QueuedHeartbeat> {
        let queued = self.queue.pop_front()?;
        self.queued_bytes -= queued.body_bytes;
        Some(queued)
    }

    /// Whether heartbeats wait for a batch.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Drops all that waits for a batch, as there is no leader to send it to. The agents get an error and
    /// try another node.
    pub fn drop_queued(&mut self) {
        self.queue.clear();
        self.queued_bytes = 0;
    }

    /// A batch to this leader was answered.
    pub fn succeeded(&mut self, leader: &LeaderHint) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self
            .failure
            .as_ref()
            .is_some_and(|failed| failed.leader == *leader)
        {
            self.failure = None;
        }
    }

    /// A batch to this leader was not answered. It is not repeated, since it may have been accepted; what
    /// waits behind it is dropped as well.
    pub fn failed(&mut self, leader: &LeaderHint, failure: UpstreamFailure, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.failure = Some(FailedPath {
            leader: leader.clone(),
            failure,
            at: now,
        });
        self.drop_queued();
    }
}

#[cfg(test)]
mod tests;
