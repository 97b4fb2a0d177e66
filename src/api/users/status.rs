//! A job's status as its user may see it.

use std::time::{Duration, Instant};

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::HttpResponse;

use super::super::{cbor, later};
use crate::model::{JobId, Verdict};
use crate::service::Shared;
use crate::store::actor::{ReadVerdict, StoreActor};
use crate::store::replica::JobVerdict;
use crate::store::StoreError;
use crate::wire::JobState;

/// A poll is answered by then.
const POLL_TIMEOUT: Duration = Duration::from_millis(1700);

/// A job's status as its user may see it. A verdict that is final by now is shown, even if it was not
/// final when it was read: the process may have been paused since, and another node may have shown it.
pub(super) fn job_state(shared: &Shared, id: &JobId, verdict: Verdict, tasks: u32) -> JobState {
    let known = shared.replica.lock().jobs.get(id).map(|job| job.record);
    let JobVerdict { verdict, tasks } = known
        .filter(JobVerdict::is_final)
        .unwrap_or(JobVerdict { verdict, tasks });
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

/// Completed and running tasks, as far as this node knows.
fn task_counts(shared: &Shared, id: &JobId) -> (u32, u32) {
    if let Some(cluster) = shared.cluster.lock().as_ref() {
        return cluster.task_counts(id);
    }
    let summary = shared.summary_cache.lock();
    summary.counts.get(id).copied().unwrap_or((0, 0))
}

/// The verdict on a job with its number of tasks. A final verdict never changes and is taken from the
/// replica; any other is read from the key-value store.
pub(super) async fn read_verdict(
    shared: &Shared,
    store: &Addr<StoreActor>,
    id: &JobId,
) -> Result<Option<JobVerdict>, StoreError> {
    let cached = {
        let replica = shared.replica.lock();
        replica.jobs.get(id).map(|job| job.record)
    };
    if cached.as_ref().is_some_and(JobVerdict::is_final) {
        return Ok(cached);
    }
    let began = Instant::now();
    let check = store.send(ReadVerdict(id.clone()));
    match actix::clock::timeout(POLL_TIMEOUT, check).await {
        // After a pause of the process, this answer may be older than what another node has shown.
        Ok(Ok(answer)) if began.elapsed() < POLL_TIMEOUT => answer,
        _ => Err(StoreError::OutcomeUnknown),
    }
}

/// The response with a verdict that has just been read.
pub(super) fn verdict_response(
    shared: &Shared,
    id: &JobId,
    read: Result<Option<JobVerdict>, StoreError>,
    absent: impl FnOnce() -> HttpResponse,
) -> HttpResponse {
    match read {
        Ok(Some(JobVerdict { verdict, tasks })) => state_response(shared, id, verdict, tasks),
        Ok(None) => absent(),
        Err(error) => store_failure(&error),
    }
}

/// The response with a job's status.
pub(super) fn state_response(
    shared: &Shared,
    id: &JobId,
    verdict: Verdict,
    tasks: u32,
) -> HttpResponse {
    cbor(StatusCode::OK, &job_state(shared, id, verdict, tasks))
}

/// The response where the key-value store gave no result.
pub(super) fn store_failure(error: &StoreError) -> HttpResponse {
    match error {
        StoreError::Refused(429) => later(StatusCode::TOO_MANY_REQUESTS, "too many requests"),
        _ => later(
            StatusCode::SERVICE_UNAVAILABLE,
            "the state service does not answer",
        ),
    }
}
