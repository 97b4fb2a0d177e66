//! `POST /api/jobs/{id}/abort`: the cancellation of a job.

use std::time::Instant;

use actix::Addr;
use actix_web::{web, HttpResponse};
use tracing::info;

use super::status::{read_verdict, state_response, store_failure};
use super::{no_such_job, Store, WRITE_TIMEOUT};
use crate::model::{JobId, Verdict};
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, JobRecord};
use crate::store::replica::JobVerdict;
use crate::store::{
    to_value, Change, Condition, StoreError, Transaction, TransactionOutcome, WritePriority,
};

/// Attempts at a cancellation whose conditions failed, each after reading the record again.
const ATTEMPTS_MAX: usize = 3;

/// `POST /api/jobs/{id}/abort`
pub async fn cancel(
    shared: web::Data<Shared>,
    store: Store,
    path: web::Path<String>,
) -> HttpResponse {
    shared.metrics.lock().requests.cancellations += 1;
    let Some(id) = JobId::parse(&path) else {
        return no_such_job();
    };
    let began = Instant::now();
    match actix::clock::timeout(WRITE_TIMEOUT, record_cancellation(&shared, &store, &id)).await {
        Ok(answer) if began.elapsed() < WRITE_TIMEOUT => answer,
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
        let (version, live) = {
            let replica = shared.replica.lock();
            let live = replica
                .descriptions
                .get(id)
                .filter(|live| !live.has_own_key);
            (
                replica.job_version(id),
                live.map(|live| live.record.clone()),
            )
        };
        // The specification stays until every task of the job is confirmed terminated.
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks,
            description: live,
        };
        let group = Transaction::new(
            vec![Condition::new(keys::job(id), version)],
            vec![Change::put(keys::job(id), to_value(&record))],
        );
        let outcome = store.send(Commit(group, WritePriority::High)).await;
        match outcome.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown)) {
            TransactionOutcome::Committed(_) => {
                info!(job = %id, "job cancelled");
                shared.cancellation_recorded(id);
                return state_response(shared, id, Verdict::Cancelled, tasks);
            }
            // Another write came first; the record as it is now decides.
            TransactionOutcome::Conflict { .. } => {}
            TransactionOutcome::Failed(error) => return store_failure(&error),
        }
    }
    store_failure(&StoreError::OutcomeUnknown)
}
