//! Owner of forwarded heartbeats: collects those that arrived at this follower and sends them to the
//! leader in batches.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix::prelude::*;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::Client;
use tracing::{debug, info};

use crate::forwarding::messages::{BatchAnswer, HeartbeatBatch, BATCH_BODY_LIMIT, BATCH_VERSION};
use crate::forwarding::{batch_delay, QueuedHeartbeat, UpstreamFailure, BATCH_LIMIT};
use crate::leader::{LeaderHint, Role};
use crate::peer::heartbeats::HEARTBEATS_PATH;
use crate::peer::{self, BINCODE_CONTENT_TYPE};
use crate::service::Shared;
use crate::time::unix_ms;

/// The actor.
pub struct ForwardActor {
    shared: Arc<Shared>,
    http: Client,
}

impl ForwardActor {
    /// Forwards through `http`.
    pub fn new(shared: Arc<Shared>, http: Client) -> Self {
        Self { shared, http }
    }
}

impl Actor for ForwardActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let forwarder = Forwarder {
            batch_delay: batch_delay(&self.shared.settings),
            shared: self.shared.clone(),
            http: self.http.clone(),
        };
        actix::spawn(Rc::new(forwarder).run());
    }
}

struct Forwarder {
    shared: Arc<Shared>,
    http: Client,
    batch_delay: Duration,
}

impl Forwarder {
    async fn run(self: Rc<Self>) {
        loop {
            self.shared.wake_ups.forwarding.notified().await;
            actix::clock::sleep(self.batch_delay).await;
            self.send_queued();
        }
    }

    /// Sends queued heartbeats, as far as batches may be in flight. The end of a batch wakes the loop.
    fn send_queued(self: &Rc<Self>) {
        let now = Instant::now();
        let role = self.shared.election.lock().role(now);
        let leader = match role {
            Role::Follower(Some(leader)) => leader,
            _ => return self.shared.forwarding.lock().drop_queued(),
        };
        let Some(address) = self.shared.settings.peer_address(&leader.member) else {
            return self.shared.forwarding.lock().drop_queued();
        };
        loop {
            let batch = self.shared.forwarding.lock().next_batch(&leader, now);
            let Some(batch) = batch else {
                return;
            };
            actix::spawn(self.clone().forward(leader.clone(), address, batch));
        }
    }

    async fn forward(
        self: Rc<Self>,
        leader: LeaderHint,
        address: SocketAddrV4,
        batch: Vec<QueuedHeartbeat>,
    ) {
        let count = batch.len();
        let outcome = self.send(&leader, address, &batch).await;
        match outcome {
            Ok(answer) => {
                self.shared.forwarding.lock().succeeded(&leader);
                for (queued, answer) in batch.into_iter().zip(answer.answers) {
                    queued.answer(answer);
                }
            }
            Err(failure) => {
                if failure == UpstreamFailure::Unsupported {
                    info!(
                        leader = leader.member,
                        "leader does not support forwarded heartbeats"
                    );
                }
                debug!(
                    leader = leader.member,
                    count,
                    reason = ?failure,
                    "heartbeats not forwarded"
                );
                let now = Instant::now();
                let mut forwarding = self.shared.forwarding.lock();
                forwarding.failed(&leader, failure, now);
                // Only now: the waiting handlers read the state of the path to answer their agents.
                drop(batch);
            }
        }
        if self.shared.forwarding.lock().has_queued() {
            self.shared.wake_ups.forwarding.notify_one();
        }
    }

    async fn send(
        &self,
        leader: &LeaderHint,
        address: SocketAddrV4,
        batch: &[QueuedHeartbeat],
    ) -> Result<BatchAnswer, UpstreamFailure> {
        let body = peer::encode(&HeartbeatBatch {
            version: BATCH_VERSION,
            member: self.shared.settings.member.clone(),
            term: leader.term,
            sent_at_ms: unix_ms(SystemTime::now()),
            heartbeats: batch
                .iter()
                .map(|queued| queued.heartbeat.clone())
                .collect(),
        });
        let body = body.ok_or(UpstreamFailure::Unsupported)?;
        {
            let mut metrics = self.shared.metrics.lock();
            metrics.heartbeats.batches_sent += 1;
            metrics.heartbeats.forwarded += batch.len() as u64;
        }
        let sent = self
            .http
            .post(format!("http://{address}{HEARTBEATS_PATH}"))
            .timeout(BATCH_LIMIT)
            .content_type(BINCODE_CONTENT_TYPE)
            .send_body(body);
        let mut answer = sent.await.map_err(|error| failure_of(&error))?;
        let bytes = answer.body().limit(BATCH_BODY_LIMIT).await;
        let bytes = bytes.map_err(|_| UpstreamFailure::Unresponsive)?;
        match answer.status() {
            StatusCode::OK => decode_answer(&bytes, batch.len()),
            StatusCode::CONFLICT => Err(UpstreamFailure::NotLeading),
            status if status.is_server_error() => Err(UpstreamFailure::Unresponsive),
            _ => Err(UpstreamFailure::Unsupported),
        }
    }
}

fn failure_of(error: &SendRequestError) -> UpstreamFailure {
    match error {
        // Refused by a filter between the nodes, or by a node that is just starting.
        SendRequestError::Connect(ConnectError::Io(_)) => UpstreamFailure::ConnectionRefused,
        _ => UpstreamFailure::Unresponsive,
    }
}

/// A response of another version, or to another number of heartbeats, answers none of them.
fn decode_answer(bytes: &[u8], heartbeats: usize) -> Result<BatchAnswer, UpstreamFailure> {
    let answer: Option<BatchAnswer> = peer::decode(bytes);
    answer
        .filter(|answer| answer.version == BATCH_VERSION && answer.answers.len() == heartbeats)
        .ok_or(UpstreamFailure::Unsupported)
}
