//! Handler of `POST /api/jobs/{id}/abort`.

use std::time::Instant;

use actix::Addr;
use actix_web::{web, HttpResponse};
use tracing::{debug, info};

use super::status::{read_verdict, state_response, store_failure};
use super::{no_such_job, StoreAddr, WRITE_TIMEOUT};
use crate::model::{JobId, Verdict};
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, JobRecord};
use crate::store::replica::JobVerdict;
use crate::store::{
    to_value, Change, Condition, StoreError, Transaction, TransactionOutcome, WritePriority,
};

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
        let JobVerdict { verdict, tasks } = match read_verdict(shared, store, id).await {
            Ok(Some(found)) => found,
            Ok(None) => return no_such_job(),
            Err(error) => return store_failure(&error),
        };
        if verdict != Verdict::Accepted {
            return state_response(shared, id, verdict, tasks);
        }
        let (version, replicated_verdict, inline_description) = {
            let replica = shared.replica.lock();
            let replicated = replica
                .descriptions
                .get(id)
                .filter(|description| !description.has_own_key);
            (
                replica.job_version(id),
                replica.jobs.get(id).map(|job| job.record.verdict),
                replicated.map(|description| description.record.clone()),
            )
        };
        debug!(job = %id, read = ?verdict, replicated = ?replicated_verdict, version, "recording cancellation");
        // The record keeps the job's specification until every task is confirmed terminated.
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks,
            description: inline_description,
        };
        let transaction = Transaction::new(
            vec![Condition::new(keys::job(id), version)],
            vec![Change::put(keys::job(id), to_value(&record))],
        );
        let outcome = store.send(Commit(transaction, WritePriority::High)).await;
        match outcome.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown)) {
            TransactionOutcome::Committed(revision) => {
                info!(job = %id, replaced = version, revision, "job cancelled");
                shared.cancellation_recorded(id);
                return state_response(shared, id, Verdict::Cancelled, tasks);
            }
            // Another write changed the record first. The next attempt reads it again.
            TransactionOutcome::Conflict { .. } => {}
            TransactionOutcome::Failed(error) => return store_failure(&error),
        }
    }
    store_failure(&StoreError::OutcomeUnknown)
}
