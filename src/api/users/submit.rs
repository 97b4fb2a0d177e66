//! `POST /api/jobs`: the submission of a job.

use std::time::{Instant, SystemTime};

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use tracing::{debug, info};

use super::super::{cbor, later, problem};
use super::status::{job_state, read_verdict, store_failure, verdict_response};
use super::{Store, WRITE_TIMEOUT};
use crate::cluster::Catalog;
use crate::model::{JobId, JobKind, JobSpec, Priority, Resources, Verdict};
use crate::policy::SchedulingPolicy;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::keys::{self, JobDescription, JobRecord};
use crate::store::{
    to_value, Change, Condition, StoreError, Transaction, TransactionOutcome, WritePriority,
};
use crate::time::unix_ms;
use crate::wire::{self, JobBody};

/// `POST /api/jobs`
pub async fn submit(
    shared: web::Data<Shared>,
    store: Store,
    body: Result<web::Bytes, actix_web::Error>,
) -> HttpResponse {
    let began = Instant::now();
    shared.metrics.lock().requests.submissions += 1;
    let Ok(body) = body else {
        return problem(StatusCode::BAD_REQUEST, "body too large or cut off");
    };
    let read = wire::decode::<JobBody>(&body).and_then(JobBody::check);
    let spec = match read {
        Ok(spec) => spec,
        Err(error) => return problem(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let answer = match actix::clock::timeout(WRITE_TIMEOUT, accept(&shared, &store, spec)).await {
        // After a pause of the process another node may have shown something newer than this answer.
        Ok(answer) if began.elapsed() < WRITE_TIMEOUT => answer,
        _ => store_failure(&StoreError::OutcomeUnknown),
    };
    let mut metrics = shared.metrics.lock();
    metrics.submissions.add(began.elapsed());
    match answer.status() {
        StatusCode::CREATED => metrics.counts.accepted += 1,
        status if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS => {
            metrics.counts.refused += 1;
        }
        _ => {}
    }
    answer
}

/// Why a job is infeasible, if it can never run.
fn infeasible(spec: &JobSpec, policy: &SchedulingPolicy, catalog: &Catalog) -> Option<String> {
    if !policy.teams.contains_key(&spec.team) {
        return Some(format!("unknown team {}", spec.team));
    }
    let fits_one = catalog.iter().any(|machine_type| {
        let mut zones = machine_type.zones.iter();
        let zone = zones.any(|zone| spec.allows(&machine_type.name, zone, false));
        zone && spec.task_resources.fits(&machine_type.capacity)
    });
    if !fits_one {
        return Some("a task fits no machine type allowed".to_owned());
    }
    let most: Resources = match spec.kind {
        JobKind::Array | JobKind::Service => spec.task_resources,
        JobKind::Gang => spec.task_resources.times(spec.tasks),
    };
    if !policy.within_limit(&spec.team, &most) {
        return Some("the job needs more than its team's limit".to_owned());
    }
    None
}

async fn accept(shared: &Shared, store: &Addr<StoreActor>, spec: JobSpec) -> HttpResponse {
    let id = spec.id.clone();
    let known = shared.replica.lock().jobs.contains_key(&id);
    if known {
        return existing_job(shared, store, &id).await;
    }
    let Some(catalog) = shared.catalog.lock().clone() else {
        return later(
            StatusCode::SERVICE_UNAVAILABLE,
            "the machine types are not known yet",
        );
    };
    if let Some(reason) = infeasible(&spec, &shared.policy, &catalog) {
        // An accepted job must never be called infeasible, whatever the catalog says now.
        let read = read_verdict(shared, store, &id).await;
        return verdict_response(shared, &id, read, || {
            problem(StatusCode::UNPROCESSABLE_ENTITY, reason)
        });
    }
    debug!(job = %id, class = %spec.class, team = %spec.team, priority = ?spec.priority,
        tasks = spec.tasks, need = ?spec.task_resources, "job submitted");
    record_acceptance(shared, store, spec).await
}

/// Writes the record of a new job, unless there is one.
async fn record_acceptance(
    shared: &Shared,
    store: &Addr<StoreActor>,
    spec: JobSpec,
) -> HttpResponse {
    let (id, tasks) = (spec.id.clone(), spec.tasks);
    let submitted_ms = unix_ms(SystemTime::now());
    // When more writes wait than the limits allow, those of the lowest priority class wait longest.
    let write_priority = if spec.priority == Priority::BestEffort {
        WritePriority::Low
    } else {
        WritePriority::High
    };
    let job = JobRecord {
        verdict: Verdict::Accepted,
        tasks,
        description: Some(JobDescription {
            spec,
            submitted_ms,
            started: false,
            hosts: None,
        }),
    };
    let transaction = Transaction::new(
        vec![Condition::new(keys::job(&id), 0)],
        vec![Change::put(keys::job(&id), to_value(&job))],
    );
    let outcome = store.send(Commit(transaction, write_priority)).await;
    match outcome.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown)) {
        TransactionOutcome::Committed(_) => {
            info!(job = %id, tasks, "job accepted");
            let accepted = job_state(shared, &id, Verdict::Accepted, tasks);
            cbor(StatusCode::CREATED, &accepted)
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
    // The record existed a moment ago; only another read can tell.
    verdict_response(shared, id, read, || {
        store_failure(&StoreError::OutcomeUnknown)
    })
}
