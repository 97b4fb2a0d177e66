//! The actor that forwards heartbeats: it collects those that arrived at this follower and sends them
//! to the leader in batches.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix::prelude::*;
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::Client;
use tracing::{debug, info};

use crate::forwarding::messages::{
    BatchAnswer, HeartbeatBatch, BATCH_BODY_BYTES_MAX, BATCH_VERSION,
};
use crate::forwarding::{batch_delay, QueuedHeartbeat, UpstreamFailure, BATCH_TIMEOUT};
use crate::leader::{LeaderHint, Role};
use crate::peer::heartbeats::HEARTBEATS_PATH;
use crate::peer::{self, BINCODE_CONTENT_TYPE};
use crate::service::Shared;
use crate::time::unix_ms;

/// Runs the forwarding loop of this process until the process ends.
pub struct ForwardActor {
    shared: Arc<Shared>,
    http: Client,
}

impl ForwardActor {
    /// Batches are sent to the leader through `http`.
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

    /// Sends queued heartbeats until the limit of batches in flight is reached. The loop is woken again
    /// when a batch ends while heartbeats are queued.
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
            actix::spawn(self.clone().forward_batch(leader.clone(), address, batch));
        }
    }

    async fn forward_batch(
        self: Rc<Self>,
        leader: LeaderHint,
        address: SocketAddrV4,
        batch: Vec<QueuedHeartbeat>,
    ) {
        let count = batch.len();
        let outcome = self.send_batch(&leader, address, &batch).await;
        match outcome {
            Ok(response) => {
                self.shared.forwarding.lock().record_batch_success(&leader);
                for (queued, answer) in batch.into_iter().zip(response.answers) {
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
                forwarding.record_batch_failure(&leader, failure, now);
                // The batch is dropped only after the failure is recorded: dropping it wakes the handlers
                // that wait for it, and they read the state of the path to respond to their agents.
                drop(batch);
            }
        }
        if self.shared.forwarding.lock().has_queued() {
            self.shared.wake_ups.forwarding.notify_one();
        }
    }

    async fn send_batch(
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
        let request = self
            .http
            .post(format!("http://{address}{HEARTBEATS_PATH}"))
            .timeout(BATCH_TIMEOUT)
            .content_type(BINCODE_CONTENT_TYPE)
            .send_body(body);
        let mut response = request.await.map_err(|error| upstream_failure(&error))?;
        let bytes = response.body().limit(BATCH_BODY_BYTES_MAX).await;
        let bytes = bytes.map_err(|_| UpstreamFailure::Unresponsive)?;
        match response.status() {
            StatusCode::OK => decode_response(&bytes, batch.len()),
            StatusCode::CONFLICT => Err(UpstreamFailure::NotLeading),
            status if status.is_server_error() => Err(UpstreamFailure::Unresponsive),
            _ => Err(UpstreamFailure::Unsupported),
        }
    }
}

fn upstream_failure(error: &SendRequestError) -> UpstreamFailure {
    match error {
        // A filter between the controllers refused the connection, or the leader's process is just
        // starting.
        SendRequestError::Connect(ConnectError::Io(_)) => UpstreamFailure::ConnectionRefused,
        _ => UpstreamFailure::Unresponsive,
    }
}

/// Decodes the response to a batch. One of another version, or with another number of decisions than
/// the batch has heartbeats, is rejected as a whole.
fn decode_response(bytes: &[u8], heartbeat_count: usize) -> Result<BatchAnswer, UpstreamFailure> {
    let response: Option<BatchAnswer> = peer::decode(bytes);
    response
        .filter(|answer| answer.version == BATCH_VERSION && answer.answers.len() == heartbeat_count)
        .ok_or(UpstreamFailure::Unsupported)
}
