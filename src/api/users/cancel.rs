//! Handler of `POST /api/jobs/{id}/abort`.

use std::time::Instant;

use actix::Addr;
use actix_web::{web, HttpResponse};
use tracing::{debug, info};

use super::status::{read_verdict, state_response, store_failure};
use super::{no_such_job, StoreAddr, WRITE_TIMEOUT};
use crate::model::JobId;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::cancellation::{self, CancellationPlan};
use crate::store::replica::JobVerdict;
use crate::store::{StoreError, TransactionOutcome, WritePriority};

/// Maximum number of transactions per cancellation; each attempt after a conflict reads the record again.
const ATTEMPTS_MAX: usize = 3;

/// `POST /api/jobs/{id}/abort`: cancels a job; responds with the status that is then on record.
pub async fn cancel(
    shared: web::Data<Shared>,
    store: StoreAddr,
    path: web::Path<String>,
) -> HttpResponse {
    shared.metrics.lock().requests.cancellations += 1;
    let Some(id) = JobId::parse(&path) else {
        return no_such_job();
    };
    let started_at = Instant::now();
    match actix::clock::timeout(WRITE_TIMEOUT, record_cancellation(&shared, &store, &id)).await {
        // After a pause of the process, another controller may have responded with a later status than this
        // response has.
        Ok(response) if started_at.elapsed() < WRITE_TIMEOUT => response,
        _ => store_failure(&StoreError::OutcomeUnknown),
    }
}

async fn record_cancellation(
    shared: &Shared,
    store: &Addr<StoreActor>,
    id: &JobId,
) -> HttpResponse {
    for _ in 0..ATTEMPTS_MAX {
        let read = match read_verdict(shared, store, id).await {
            Ok(Some(read)) => read,
            Ok(None) => return no_such_job(),
            Err(error) => return store_failure(&error),
        };
        if read.is_final() {
            return state_response(shared, id, read);
        }
        // The read shows that the job exists and brings the replica up to date. What is written follows from
        // the replica alone: the process may have been paused since the read, and the job may have ended.
        let plan = cancellation::plan(&shared.replica.lock(), id);
        let write = match plan {
            CancellationPlan::Write(write) => write,
            CancellationPlan::AlreadyFinal(verdict) => return state_response(shared, id, verdict),
            // The next attempt's read brings the record into the replica.
            CancellationPlan::NotReplicated => continue,
        };
        let replaced = write.replaced_version;
        debug!(job = %id, replaced, "recording cancellation");
        let commit = Commit(write.transaction(id), WritePriority::High);
        let outcome = store.send(commit).await;
        match outcome.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown)) {
            TransactionOutcome::Committed(revision) => {
                info!(job = %id, replaced, revision, "job cancelled");
                shared.cancellation_recorded(id);
                return state_response(shared, id, JobVerdict::from_record(&write.record));
            }
            // Another write changed the record first. The next attempt reads it again.
            TransactionOutcome::Conflict { .. } => {}
            TransactionOutcome::Failed(error) => return store_failure(&error),
        }
    }
    store_failure(&StoreError::OutcomeUnknown)
}
