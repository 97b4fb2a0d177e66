//! The follower's side of forwarded reports: a bounded queue, and what is known of the path to the
//! leader.
//!
//! Pure state. The handler of reports queues into it, [`crate::actors::forward`] takes batches out
//! of it and sends them. A follower decides nothing about a report: it passes an answer on, once,
//! to the connection on which the report came, and only while the worker can still be waiting.

pub mod messages;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use self::messages::{ForwardedAnswer, ForwardedHeartbeat};
use crate::config::Settings;
use crate::leader::LeaderHint;
use crate::model::FencingToken;
use crate::wire::{Heartbeat, HeartbeatResponse, BODY_LIMIT};

/// A worker drops an answer 4 s after it sent the report. Nothing is passed on later than this
/// after the report came in: the rest is for its way here and back.
pub const ANSWER_LIMIT: Duration = Duration::from_millis(3500);
/// Time for the leader's answer to a batch.
pub const BATCH_LIMIT: Duration = Duration::from_millis(2500);
/// Batches under way at once: one that is answered late holds up only the next but one.
pub const BATCHES_IN_FLIGHT: usize = 2;
/// Reports in a batch.
pub const BATCH_HEARTBEATS_MAX: usize = 128;
/// Bytes of the workers' bodies in a batch. The largest single body always fits.
pub const BATCH_BYTES_MAX: usize = 4 * BODY_LIMIT;
/// Part of the memory that the bodies of waiting reports may take.
const QUEUE_MEMORY_PART: f64 = 1.0 / 64.0;
/// Least number of bytes that may wait.
const QUEUED_BYTES_MIN: usize = 16 * BODY_LIMIT;

/// What may wait for a batch at once. Beyond it a worker is told at once to try the next node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Reports: each worker has one under way, on a public connection of its own.
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

/// Processor time that a batch costs the leader besides its reports.
const BATCH_CPU_S: f64 = 0.0002;
/// Part of the leader's processor for that.
const BATCH_CPU_PART: f64 = 0.1;
/// Bounds on the time for which reports gather. It adds to the time until a start reaches its
/// machine.
const GATHER_MIN: Duration = Duration::from_millis(10);
const GATHER_MAX: Duration = Duration::from_millis(250);

/// How long a path on which a batch got no answer counts as silent.
const SILENT_FOR: Duration = Duration::from_secs(1);
/// How long a leader that refuses our connections, or a batch, is not asked again.
const REFUSED_FOR: Duration = Duration::from_secs(2);
/// How long a leader that does not know forwarded reports is not asked again.
const UNSUPPORTED_FOR: Duration = Duration::from_secs(30);

/// How long reports gather before they are sent together: the batches of all followers are to cost
/// the leader a small part of its processor.
pub fn gather_time(settings: &Settings) -> Duration {
    let followers = settings.params.count.saturating_sub(1).max(1);
    let cores = settings.params.resources.cores;
    let between_s = followers as f64 * BATCH_CPU_S / (cores * BATCH_CPU_PART);
    let between = Duration::try_from_secs_f64(between_s).unwrap_or(GATHER_MAX);
    between.clamp(GATHER_MIN, GATHER_MAX)
}

/// Why reports can't be forwarded to a leader just now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PathFailure {
    /// A batch got no answer in time.
    Silent,
    /// The leader's node takes no connection from us.
    ConnectionRefused,
    /// It does not lead the term that we believe in.
    NotLeading,
    /// It does not know forwarded reports, or not our version of them.
    Unsupported,
}

impl PathFailure {
    fn lasts(self) -> Duration {
        match self {
            Self::Silent => SILENT_FOR,
            Self::ConnectionRefused | Self::NotLeading => REFUSED_FOR,
            Self::Unsupported => UNSUPPORTED_FOR,
        }
    }

    /// Whether workers may get through where we don't.
    fn allows_redirect(self) -> bool {
        matches!(self, Self::ConnectionRefused | Self::Unsupported)
    }
}

/// What to do with a report that came to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Queue it for the leader.
    Forward,
    /// Name the leader to the worker.
    Redirect,
    /// Tell the worker to try another node.
    Refuse,
}

/// The queue is full.
#[derive(Debug, PartialEq, Eq)]
pub struct QueueFull;

/// A report that waits for a batch or for its answer.
#[derive(Debug)]
pub struct QueuedHeartbeat {
    /// The report.
    pub heartbeat: ForwardedHeartbeat,
    body_bytes: usize,
    received: Instant,
    token: FencingToken,
    answer: oneshot::Sender<ForwardedAnswer>,
}

impl QueuedHeartbeat {
    /// Hands the leader's answer to the worker's connection. If that is gone, nobody gets it.
    pub fn answer(self, answer: ForwardedAnswer) {
        let _ = self.answer.send(answer);
    }

    /// Whether the worker is still waiting, and would obey the leader of this term.
    fn wanted(&self, leader: &LeaderHint, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.received);
        !self.answer.is_closed() && waited < ANSWER_LIMIT && self.token.term() <= leader.term
    }
}

/// The worker's connection, waiting for what the leader decides.
#[derive(Debug)]
pub struct PendingHeartbeat {
    /// The worker.
    pub machine: String,
    /// When the report came.
    pub received: Instant,
    /// The highest token that the worker had seen.
    token: u64,
    /// Resolves to the leader's answer, or fails if there will be none.
    pub answer: oneshot::Receiver<ForwardedAnswer>,
}

impl PendingHeartbeat {
    /// The 200 to pass on, if it is one that the worker takes: in time, and under a token no
    /// lower than the highest that it has seen.
    pub fn passed_on(&self, answer: ForwardedAnswer, now: Instant) -> Option<HeartbeatResponse> {
        let in_time = now.saturating_duration_since(self.received) < ANSWER_LIMIT;
        let answer = answer.accepted().filter(|_| in_time)?;
        (answer.token >= self.token).then_some(answer)
    }
}

/// Reports on their way to the leader.
#[derive(Debug)]
pub struct Forwarding {
    limits: QueueLimits,
    queue: VecDeque<QueuedHeartbeat>,
    queued_bytes: usize,
    in_flight: usize,
    /// The leader whose path failed last, how, and when.
    failure: Option<(LeaderHint, PathFailure, Instant)>,
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

    /// What to do with a report for this leader. After a failure one batch tries the path again;
    /// until it is answered no further report waits for it.
    pub fn route(&self, leader: &LeaderHint, now: Instant) -> Route {
        let Some((failed, failure, at)) = &self.failure else {
            return Route::Forward;
        };
        if failed != leader {
            return Route::Forward;
        }
        let over = now.saturating_duration_since(*at) >= failure.lasts();
        if over && self.in_flight == 0 {
            return Route::Forward;
        }
        if failure.allows_redirect() {
            Route::Redirect
        } else {
            Route::Refuse
        }
    }

    /// Queues a report whose body had so many bytes.
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

    /// The next batch for this leader, counted as under way; reports that nobody waits for any
    /// more are left out. `None` if there is nothing to send, or enough under way.
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
            if queued.wanted(leader, now) {
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

    /// Whether reports wait for a batch.
    pub fn has_queued(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Gives up all that waits for a batch, as there is nobody to send it to. Its workers are told
    /// to try another node.
    pub fn give_up_queued(&mut self) {
        self.queue.clear();
        self.queued_bytes = 0;
    }

    /// A batch to this leader was answered.
    pub fn succeeded(&mut self, leader: &LeaderHint) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.failure.as_ref().is_some_and(|(l, ..)| l == leader) {
            self.failure = None;
        }
    }

    /// A batch to this leader was not answered. It is not repeated, since it may have been taken;
    /// what waits behind it is given up as well.
    pub fn failed(&mut self, leader: &LeaderHint, failure: PathFailure, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.failure = Some((leader.clone(), failure, now));
        self.give_up_queued();
    }
}

#[cfg(test)]
mod tests;
