//! Handler of `POST /api/jobs`.

use std::time::{Instant, SystemTime};

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use tracing::{debug, info};

use super::super::{cbor_response, error_response, retry_later};
use super::status::{job_state, read_verdict, store_failure, verdict_response};
use super::{StoreAddr, WRITE_TIMEOUT};
use crate::cluster::Catalog;
use crate::model::{JobId, JobKind, JobSpec, Priority, Resources};
use crate::policy::SchedulingPolicy;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, JobRecord};
use crate::store::replica::JobVerdict;
use crate::store::{StoreError, Transaction, TransactionOutcome, WritePriority};
use crate::wire::{self, JobSubmission};

/// `POST /api/jobs`: records a new job; for a job already on record, responds with its status.
pub async fn submit(
    shared: web::Data<Shared>,
    store: StoreAddr,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let started_at = Instant::now();
    shared.metrics.lock().requests.submissions += 1;
    let Ok(body) = body else {
        return error_response(StatusCode::BAD_REQUEST, "body too large or cut off");
    };
    let decoded = wire::decode::<JobSubmission>(&body).and_then(JobSubmission::into_spec);
    let spec = match decoded {
        Ok(spec) => spec,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let response = match actix::clock::timeout(WRITE_TIMEOUT, accept(&shared, &store, spec)).await {
        // After a pause of the process, another controller may have responded with a later status than this
        // response has.
        Ok(response) if started_at.elapsed() < WRITE_TIMEOUT => response,
        _ => store_failure(&StoreError::OutcomeUnknown),
    };
    let mut metrics = shared.metrics.lock();
    metrics.submissions.record(started_at.elapsed());
    match response.status() {
        StatusCode::CREATED => metrics.counts.accepted += 1,
        status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
            metrics.counts.refused += 1;
        }
        _ => {}
    }
    response
}

/// The reason why a job can never run; `None` if it is feasible.
fn infeasibility(spec: &JobSpec, policy: &SchedulingPolicy, catalog: &Catalog) -> Option<String> {
    if !policy.teams.contains_key(&spec.team) {
        return Some(format!("unknown team {}", spec.team));
    }
    let fits_any_type = catalog.iter().any(|machine_type| {
        let mut zones = machine_type.zones.iter();
        let zone_allowed = zones.any(|zone| spec.allows(&machine_type.name, zone, false));
        zone_allowed && spec.task_resources.fits(&machine_type.capacity)
    });
    if !fits_any_type {
        return Some("a task fits no machine type allowed".to_owned());
    }
    // A gang runs all its tasks at once; the tasks of other kinds may run one after another.
    let needed_at_once: Resources = match spec.kind {
        JobKind::Array | JobKind::Service => spec.task_resources,
        JobKind::Gang => spec.task_resources.times(spec.tasks),
    };
    if !policy.within_limit(&spec.team, &needed_at_once) {
        return Some("the job needs more than its team's limit".to_owned());
    }
    None
}

async fn accept(shared: &Shared, store: &Addr<StoreActor>, spec: JobSpec) -> HttpResponse {
    let id = spec.id.clone();
    let is_on_record = shared.replica.lock().jobs.contains_key(&id);
    if is_on_record {
        return existing_job(shared, store, &id).await;
    }
    let Some(catalog) = shared.catalog.lock().clone() else {
        return retry_later(
            StatusCode::SERVICE_UNAVAILABLE,
            "the machine types are not known yet",
        );
    };
    if let Some(reason) = infeasibility(&spec, &shared.policy, &catalog) {
        // A job that was accepted is never rejected as infeasible later, even if the catalog has changed.
        let read = read_verdict(shared, store, &id).await;
        return verdict_response(shared, &id, read, || {
            error_response(StatusCode::UNPROCESSABLE_ENTITY, reason)
        });
    }
    debug!(job = %id, class = %spec.class, team = %spec.team, priority = ?spec.priority,
        tasks = spec.tasks, need = ?spec.task_resources, "job submitted");
    record_acceptance(shared, store, spec).await
}

/// Writes the record of a new job, unless the key-value store already has one.
async fn record_acceptance(
    shared: &Shared,
    store: &Addr<StoreActor>,
    spec: JobSpec,
) -> HttpResponse {
    let (id, tasks) = (spec.id.clone(), spec.tasks);
    // When writes queue up at the rate limit, those for the lowest priority class are sent last.
    let write_priority = if spec.priority == Priority::BestEffort {
        WritePriority::Low
    } else {
        WritePriority::High
    };
    let accepted = JobRecord::accepted(spec, SystemTime::now());
    let transaction = Transaction::put_if_version(keys::job(&id), 0, &accepted);
    let outcome = store.send(Commit(transaction, write_priority)).await;
    match outcome.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown)) {
        TransactionOutcome::Committed(_) => {
            info!(job = %id, tasks, "job accepted");
            let state = job_state(shared, &id, JobVerdict::from_record(&accepted));
            cbor_response(StatusCode::CREATED, &state)
        }
        TransactionOutcome::Conflict { .. } => existing_job(shared, store, &id).await,
        TransactionOutcome::Failed(error) => {
            debug!(job = %id, %error, "job not accepted");
            store_failure(&error)
        }
    }
}

async fn existing_job(shared: &Shared, store: &Addr<StoreActor>, id: &JobId) -> HttpResponse {
    let read = read_verdict(shared, store, id).await;
    // The record existed a moment ago, so its absence now does not establish an outcome.
    verdict_response(shared, id, read, || {
        store_failure(&StoreError::OutcomeUnknown)
    })
}
