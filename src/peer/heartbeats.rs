//! Batches of heartbeats that a follower forwards to the leader.
//!
//! The leader decides each heartbeat as it decides a direct one, see [`crate::service::heartbeats`].
//! A batch that was sent to another term, that is old, or that arrives twice grants nothing: the first
//! two are rejected whole, and the heartbeats of the third are no newer than those applied.

use std::time::{Duration, Instant, SystemTime};

use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use thiserror::Error;
use tracing::{debug, warn};

use super::BINCODE;
use crate::forwarding::messages::{BatchAnswer, ForwardedAnswer, HeartbeatBatch, BATCH_VERSION};
use crate::leader::Role;
use crate::service::heartbeats::{decide, HeartbeatDecision};
use crate::service::Shared;
use crate::time::unix_ms;
use crate::wire::Heartbeat;

/// Path of forwarded heartbeats. The name on the wire stays.
pub const HEARTBEATS: &str = "/peer/reports";
/// A batch that was sent longer ago, by the time of day, is rejected: no agent waits for its responses
/// any more.
pub const BATCH_AGE_MAX: Duration = Duration::from_secs(4);

impl From<HeartbeatDecision> for ForwardedAnswer {
    fn from(decision: HeartbeatDecision) -> Self {
        match decision {
            HeartbeatDecision::Accepted(answer) => Self::Accepted {
                token: answer.token,
                commands: answer.commands.into_iter().map(Into::into).collect(),
            },
            HeartbeatDecision::NotLeading => Self::Unavailable,
        }
    }
}

/// Why a batch is rejected whole.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BatchError {
    /// The body is too large or was cut off.
    #[error("the body is too large or cut off")]
    Body,
    /// Another version of the messages.
    #[error("unknown version {0} of forwarded heartbeats")]
    UnknownVersion(u16),
    /// Not a batch.
    #[error("malformed batch of heartbeats")]
    Malformed,
    /// The sender is not among the known nodes.
    #[error("`{0}` is no known node")]
    UnknownMember(String),
    /// This node does not lead the term that the batch is meant for.
    #[error("the batch is meant for term {0}, which this node does not lead")]
    OtherTerm(u64),
    /// The batch was sent too long ago.
    #[error("the batch was sent {0} ms ago")]
    Stale(u64),
}

impl BatchError {
    /// The status for the follower: 400 and 403 suspend forwarding to this leader for a while, 409
    /// concerns this batch only.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::Body | Self::UnknownVersion(_) | Self::Malformed => StatusCode::BAD_REQUEST,
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

/// Decodes a batch and decides its heartbeats. `clock` and `wall` are the process's clocks.
pub fn answer_batch(
    shared: &Shared,
    bytes: &[u8],
    clock: &dyn Fn() -> Instant,
    wall: SystemTime,
) -> Result<BatchAnswer, BatchError> {
    let batch = decode_batch(bytes)?;
    if !shared.settings.knows(&batch.member) {
        return Err(BatchError::UnknownMember(batch.member));
    }
    check_age(shared, &batch, wall)?;
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

/// Both clocks may be off by the bound in the settings.
fn check_age(shared: &Shared, batch: &HeartbeatBatch, wall: SystemTime) -> Result<(), BatchError> {
    let age = unix_ms(wall).saturating_sub(batch.sent_at_ms);
    let off = shared.settings.params.clock_off_ms.max(0.0) * 2.0;
    let limit = BATCH_AGE_MAX.as_millis() as u64 + off as u64;
    if age > limit {
        return Err(BatchError::Stale(age));
    }
    Ok(())
}

fn check_term(shared: &Shared, batch: &HeartbeatBatch, now: Instant) -> Result<(), BatchError> {
    let own = match shared.election.lock().role(now) {
        Role::Leader(leadership) => Some(leadership.term),
        Role::KeepAlive(term) => Some(term),
        Role::Follower(_) => None,
    };
    if own != Some(batch.term) {
        return Err(BatchError::OtherTerm(batch.term.0));
    }
    Ok(())
}

/// `POST /peer/reports`
pub async fn receive_batch(
    shared: web::Data<Shared>,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let answered = body
        .map_err(|_| BatchError::Body)
        .and_then(|bytes| answer_batch(&shared, &bytes, &Instant::now, SystemTime::now()));
    match answered {
        Ok(answer) => match super::encode(&answer) {
            Some(bytes) => HttpResponse::Ok().content_type(BINCODE).body(bytes),
            None => HttpResponse::InternalServerError().finish(),
        },
        Err(error) => reject(&error),
    }
}

fn reject(error: &BatchError) -> HttpResponse {
    match error {
        // Expected around every election.
        BatchError::OtherTerm(_) | BatchError::Stale(_) => {
            debug!(reason = %error, "heartbeat batch rejected");
        }
        _ => warn!(reason = %error, "heartbeat batch rejected"),
    }
    HttpResponse::build(error.status()).finish()
}

#[cfg(test)]
mod tests;
