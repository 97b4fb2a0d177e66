//! Receives batches of heartbeats that followers forward to the leader.
//!
//! The leader handles each heartbeat like a direct one, see [`crate::service::heartbeats`]. A batch for
//! another term and a stale batch are rejected whole. The heartbeats of a batch that arrives twice are no
//! newer than those already applied, so the second responses carry no commands.

use std::time::{Duration, Instant, SystemTime};

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use thiserror::Error;
use tracing::{debug, warn};

use super::BINCODE_CONTENT_TYPE;
use crate::forwarding::messages::{BatchAnswer, ForwardedAnswer, HeartbeatBatch, BATCH_VERSION};
use crate::leader::Role;
use crate::service::heartbeats::{decide, HeartbeatDecision};
use crate::service::Shared;
use crate::time::unix_ms;
use crate::wire::Heartbeat;

/// Path of forwarded heartbeats; the name is part of the wire format.
pub const HEARTBEATS_PATH: &str = "/peer/reports";
/// Maximum age of a batch by the wall clocks of sender and receiver. No agent still waits for the responses
/// to an older one.
pub const BATCH_AGE_MAX: Duration = Duration::from_secs(4);

impl From<HeartbeatDecision> for ForwardedAnswer {
    fn from(decision: HeartbeatDecision) -> Self {
        match decision {
            HeartbeatDecision::Accepted(response) => Self::Accepted {
                token: response.token,
                commands: response.commands.into_iter().map(Into::into).collect(),
            },
            HeartbeatDecision::NotLeading => Self::Unavailable,
        }
    }
}

/// Why a whole batch is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BatchError {
    /// The body exceeds the size limit or was truncated.
    #[error("the body is too large or truncated")]
    Unreadable,
    /// The batch has a format version that this controller does not support.
    #[error("unsupported version {0} of forwarded heartbeats")]
    UnknownVersion(u16),
    /// The body does not decode as a batch.
    #[error("malformed heartbeat batch")]
    Malformed,
    /// The sender is not one of the controllers in the settings.
    #[error("the sender `{0}` is not a known controller")]
    UnknownMember(String),
    /// This controller does not lead the term to which the batch is addressed.
    #[error("the batch is for term {0}, which this controller does not lead")]
    OtherTerm(u64),
    /// The batch is older than the limit; its age in milliseconds.
    #[error("the batch was sent {0} ms ago, which is too old")]
    Stale(u64),
}

impl BatchError {
    /// The HTTP status for the follower. After 400 or 403 the follower treats this leader as one without
    /// support for forwarding, and redirects agents to it for a while; after 409 it rejects heartbeats for
    /// this leader during a shorter backoff, see [`crate::forwarding::UpstreamFailure`].
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Unreadable | Self::UnknownVersion(_) | Self::Malformed => StatusCode::BAD_REQUEST,
            Self::UnknownMember(_) => StatusCode::FORBIDDEN,
            Self::OtherTerm(_) | Self::Stale(_) => StatusCode::CONFLICT,
        }
    }
}

fn decode_batch(bytes: &[u8]) -> Result<HeartbeatBatch, BatchError> {
    let version = super::decode_prefix::<u16>(bytes).ok_or(BatchError::Malformed)?;
    if version != BATCH_VERSION {
        return Err(BatchError::UnknownVersion(version));
    }
    super::decode(bytes).ok_or(BatchError::Malformed)
}

/// Decodes a batch and handles its heartbeats, in order. `clock` is the monotonic clock, which is read for
/// each decision; `wall_time` is the wall-clock time.
pub fn answer_batch(
    shared: &Shared,
    bytes: &[u8],
    clock: &dyn Fn() -> Instant,
    wall_time: SystemTime,
) -> Result<BatchAnswer, BatchError> {
    let batch = decode_batch(bytes)?;
    if !shared.settings.has_peer(&batch.member) {
        return Err(BatchError::UnknownMember(batch.member));
    }
    check_age(shared, &batch, wall_time)?;
    check_term(shared, &batch, clock())?;
    {
        let mut metrics = shared.metrics.lock();
        metrics.heartbeats.batches_taken += 1;
        metrics.heartbeats.taken_from_batches += batch.heartbeats.len() as u64;
    }
    let answers = batch.heartbeats.into_iter().map(|heartbeat| {
        let heartbeat = Heartbeat::from(heartbeat);
        ForwardedAnswer::from(decide(shared, &heartbeat, batch.term, clock))
    });
    Ok(BatchAnswer {
        version: BATCH_VERSION,
        answers: answers.collect(),
    })
}

/// Rejects a stale batch. The wall clocks of both controllers may be off by the bound in the settings.
fn check_age(
    shared: &Shared,
    batch: &HeartbeatBatch,
    wall_time: SystemTime,
) -> Result<(), BatchError> {
    let age_ms = unix_ms(wall_time).saturating_sub(batch.sent_at_ms);
    let clock_error_ms = shared.settings.params.clock_off_ms.max(0.0) * 2.0;
    let age_max_ms = BATCH_AGE_MAX.as_millis() as u64 + clock_error_ms as u64;
    if age_ms > age_max_ms {
        return Err(BatchError::Stale(age_ms));
    }
    Ok(())
}

fn check_term(shared: &Shared, batch: &HeartbeatBatch, now: Instant) -> Result<(), BatchError> {
    let led_term = match shared.election.lock().role(now) {
        Role::Leader(leadership) => Some(leadership.term),
        Role::KeepAlive(term) => Some(term),
        Role::Follower(_) => None,
    };
    if led_term != Some(batch.term) {
        return Err(BatchError::OtherTerm(batch.term.0));
    }
    Ok(())
}

/// `POST /peer/reports`: a batch of heartbeats.
pub async fn receive_batch(
    shared: web::Data<Shared>,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let result = body
        .map_err(|_| BatchError::Unreadable)
        .and_then(|bytes| answer_batch(&shared, &bytes, &Instant::now, SystemTime::now()));
    match result {
        Ok(answer) => match super::encode(&answer) {
            Some(bytes) => HttpResponse::Ok()
                .content_type(BINCODE_CONTENT_TYPE)
                .body(bytes),
            None => HttpResponse::InternalServerError().finish(),
        },
        Err(error) => reject(&error),
    }
}

fn reject(error: &BatchError) -> HttpResponse {
    match error {
        // These rejections are expected during every election.
        BatchError::OtherTerm(_) | BatchError::Stale(_) => {
            debug!(reason = %error, "heartbeat batch rejected");
        }
        _ => warn!(reason = %error, "heartbeat batch rejected"),
    }
    HttpResponse::build(error.status()).finish()
}

#[cfg(test)]
mod tests;
