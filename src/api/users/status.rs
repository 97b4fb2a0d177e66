//! Reads verdicts and builds the responses that report a job's status to its user.

use std::time::{Duration, Instant};

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::HttpResponse;

use super::super::{cbor_response, retry_later};
use crate::model::{JobId, Verdict};
use crate::service::Shared;
use crate::store::actor::{ReadVerdict, StoreActor};
use crate::store::replica::JobVerdict;
use crate::store::StoreError;
use crate::wire::JobState;

/// Timeout for reading a verdict from the key-value store.
const READ_TIMEOUT: Duration = Duration::from_millis(1700);

/// The status of a job as reported to its user. If the replica now has a final verdict, it replaces the given
/// one: the process may have been paused since the given one was read, and another controller may have
/// responded with the final one.
pub(super) fn job_state(shared: &Shared, id: &JobId, given: JobVerdict) -> JobState {
    let replicated = shared.replica.lock().jobs.get(id).map(|job| job.record);
    let JobVerdict { verdict, tasks } = replicated.filter(JobVerdict::is_final).unwrap_or(given);
    let (done, running) = match verdict {
        Verdict::Done => (tasks, 0),
        Verdict::Cancelled => (0, 0),
        Verdict::Accepted => task_counts(shared, id),
    };
    let status = match verdict {
        Verdict::Done => "done",
        Verdict::Cancelled => "cancelled",
        Verdict::Accepted if running > 0 => "running",
        Verdict::Accepted => "pending",
    };
    JobState {
        id: id.to_string(),
        status: status.to_owned(),
        done,
        running,
    }
}

/// The numbers of completed and running tasks: on the leader from the cluster state, elsewhere from the
/// last state summary.
fn task_counts(shared: &Shared, id: &JobId) -> (u32, u32) {
    if let Some(cluster) = shared.cluster.lock().as_ref() {
        return cluster.task_counts(id);
    }
    let summary = shared.summary_cache.lock();
    summary.task_counts.get(id).copied().unwrap_or((0, 0))
}

/// Reads the verdict on a job and its number of tasks. A final verdict never changes and is taken from the
/// replica; any other is read from the key-value store.
pub(super) async fn read_verdict(
    shared: &Shared,
    store: &Addr<StoreActor>,
    id: &JobId,
) -> Result<Option<JobVerdict>, StoreError> {
    let replicated = {
        let replica = shared.replica.lock();
        replica.jobs.get(id).map(|job| job.record)
    };
    if replicated.as_ref().is_some_and(JobVerdict::is_final) {
        return Ok(replicated);
    }
    let started_at = Instant::now();
    let read = store.send(ReadVerdict(id.clone()));
    match actix::clock::timeout(READ_TIMEOUT, read).await {
        // After a pause of the process, this result may be older than a response of another controller.
        Ok(Ok(result)) if started_at.elapsed() < READ_TIMEOUT => result,
        _ => Err(StoreError::OutcomeUnknown),
    }
}

/// Builds the response to a request from the result of [`read_verdict`]; `absent` builds it for a job
/// without a record.
pub(super) fn verdict_response(
    shared: &Shared,
    id: &JobId,
    read: Result<Option<JobVerdict>, StoreError>,
    absent: impl FnOnce() -> HttpResponse,
) -> HttpResponse {
    match read {
        Ok(Some(verdict)) => state_response(shared, id, verdict),
        Ok(None) => absent(),
        Err(error) => store_failure(&error),
    }
}

/// Builds the response that reports a job's status.
pub(super) fn state_response(shared: &Shared, id: &JobId, verdict: JobVerdict) -> HttpResponse {
    cbor_response(StatusCode::OK, &job_state(shared, id, verdict))
}

/// Builds the error response for an operation on the key-value store that failed or has no known outcome.
pub(super) fn store_failure(error: &StoreError) -> HttpResponse {
    match error {
        StoreError::Refused(429) => retry_later(StatusCode::TOO_MANY_REQUESTS, "too many requests"),
        _ => retry_later(
            StatusCode::SERVICE_UNAVAILABLE,
            "the state service does not answer",
        ),
    }
}
