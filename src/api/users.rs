//! Users' requests. Any node answers them, whoever leads: verdicts are written to and read
//! from the state service, and nothing else may be told as if it were one.

use std::time::{Duration, Instant, SystemTime};

use actix::Addr;
use actix_web::http::StatusCode;
use actix_web::{web, HttpResponse};
use tracing::{debug, info};

use super::{cbor, later, problem};
use crate::cluster::Catalog;
use crate::model::{JobId, JobKind, JobSpec, Priority, Resources, Verdict};
use crate::policy::SchedulingPolicy;
use crate::service::Shared;
use crate::store::actor::{Commit, ReadVerdict, StoreActor};
use crate::store::keys::{self, JobRecord, LiveRecord};
use crate::store::replica::JobVerdict;
use crate::store::{
    to_value, Change, Condition, StoreError, Transaction, TransactionOutcome, WritePriority,
};
use crate::time::unix_ms;
use crate::wire::{self, JobBody, JobState};

/// A submission is answered by then, while its user still waits.
const SUBMIT_LIMIT: Duration = Duration::from_secs(3);
/// A poll is answered by then.
const POLL_LIMIT: Duration = Duration::from_millis(1700);
/// Attempts at a cancellation whose conditions failed, each after reading what stands.
const ABORT_ATTEMPTS: usize = 3;

type Store = web::Data<Addr<StoreActor>>;

/// `GET /up`
pub async fn up(shared: web::Data<Shared>) -> HttpResponse {
    shared.metrics.lock().requests.health_checks += 1;
    if shared.fit_for_requests(Instant::now()) {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// A job's state as its user may see it. What is final by now is told, though it was not when it
/// was looked up: the process may have stood still since, and another node have told it.
fn state(shared: &Shared, id: &JobId, verdict: Verdict, tasks: u32) -> JobState {
    let known = shared.replica.lock().jobs.get(id).map(|job| job.record);
    let JobVerdict { verdict, tasks } = known
        .filter(JobVerdict::is_final)
        .unwrap_or(JobVerdict { verdict, tasks });
    let (done, running) = match verdict {
        Verdict::Done => (tasks, 0),
        Verdict::Cancelled => (0, 0),
        Verdict::Accepted => counts(shared, id),
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

fn counts(shared: &Shared, id: &JobId) -> (u32, u32) {
    if let Some(cluster) = shared.cluster.lock().as_ref() {
        return cluster.count(id);
    }
    let told = shared.summary_cache.lock();
    told.counts.get(id).copied().unwrap_or((0, 0))
}

/// What is known for good of a job, as of now: a final verdict never changes, everything
/// else is looked up.
async fn verdict(
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
    match actix::clock::timeout(POLL_LIMIT, check).await {
        // After standing still what was true when it was asked may be older than what another
        // node has told since.
        Ok(Ok(answer)) if began.elapsed() < POLL_LIMIT => answer,
        _ => Err(StoreError::OutcomeUnknown),
    }
}

fn refusal(error: &StoreError) -> HttpResponse {
    match error {
        StoreError::Refused(429) => later(StatusCode::TOO_MANY_REQUESTS, "too many requests"),
        _ => later(
            StatusCode::SERVICE_UNAVAILABLE,
            "the state service does not answer",
        ),
    }
}

/// `GET /api/jobs/{id}`
pub async fn poll(
    shared: web::Data<Shared>,
    store: Store,
    path: web::Path<String>,
) -> HttpResponse {
    shared.metrics.lock().requests.polls += 1;
    let Some(id) = JobId::parse(&path) else {
        return problem(StatusCode::NOT_FOUND, "no such job");
    };
    match verdict(&shared, &store, &id).await {
        Ok(Some(JobVerdict { verdict, tasks })) => {
            cbor(StatusCode::OK, &state(&shared, &id, verdict, tasks))
        }
        Ok(None) => problem(StatusCode::NOT_FOUND, "no such job"),
        Err(error) => refusal(&error),
    }
}

/// Why a job can never run, if that is so.
fn impossible(spec: &JobSpec, policy: &SchedulingPolicy, catalog: &Catalog) -> Option<String> {
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
    let answer = match actix::clock::timeout(SUBMIT_LIMIT, accept(&shared, &store, spec)).await {
        // After standing still another node may have told something newer than this answer.
        Ok(answer) if began.elapsed() < SUBMIT_LIMIT => answer,
        _ => refusal(&StoreError::OutcomeUnknown),
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

async fn accept(shared: &Shared, store: &Addr<StoreActor>, spec: JobSpec) -> HttpResponse {
    let id = spec.id.clone();
    let known = shared.replica.lock().jobs.contains_key(&id);
    if known {
        return known_state(shared, store, &id).await;
    }
    let Some(catalog) = shared.catalog.lock().clone() else {
        return later(
            StatusCode::SERVICE_UNAVAILABLE,
            "the machine types are not known yet",
        );
    };
    if let Some(why) = impossible(&spec, &shared.policy, &catalog) {
        // An accepted job must never be called impossible, whatever the catalog says now.
        return match verdict(shared, store, &id).await {
            Ok(Some(JobVerdict { verdict, tasks })) => {
                cbor(StatusCode::OK, &state(shared, &id, verdict, tasks))
            }
            Ok(None) => problem(StatusCode::UNPROCESSABLE_ENTITY, why),
            Err(error) => refusal(&error),
        };
    }
    let tasks = spec.tasks;
    debug!(job = %id, class = %spec.class, team = %spec.team, priority = ?spec.priority, tasks,
        need = ?spec.task_resources, "submitted");
    let submitted_ms = unix_ms(SystemTime::now());
    // When more is asked than can be written, what has time waits for what has none.
    let urgency = if spec.priority == Priority::BestEffort {
        WritePriority::Low
    } else {
        WritePriority::High
    };
    let job = JobRecord {
        verdict: Verdict::Accepted,
        tasks,
        live: Some(LiveRecord {
            spec,
            submitted_ms,
            started: false,
            hosts: None,
        }),
    };
    let group = Transaction::new(
        vec![Condition::new(keys::job(&id), 0)],
        vec![Change::put(keys::job(&id), to_value(&job))],
    );
    let outcome = store.send(Commit(group, urgency)).await;
    match outcome.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown)) {
        TransactionOutcome::Committed(_) => {
            info!(job = %id, tasks, "accepted");
            let new = state(shared, &id, Verdict::Accepted, tasks);
            cbor(StatusCode::CREATED, &new)
        }
        TransactionOutcome::Conflict { .. } => known_state(shared, store, &id).await,
        TransactionOutcome::Failed(error) => {
            debug!(job = %id, %error, "not accepted");
            refusal(&error)
        }
    }
}

async fn known_state(shared: &Shared, store: &Addr<StoreActor>, id: &JobId) -> HttpResponse {
    match verdict(shared, store, id).await {
        Ok(Some(JobVerdict { verdict, tasks })) => {
            cbor(StatusCode::OK, &state(shared, id, verdict, tasks))
        }
        // It was there a moment ago; only a second look can tell.
        Ok(None) => refusal(&StoreError::OutcomeUnknown),
        Err(error) => refusal(&error),
    }
}

/// `POST /api/jobs/{id}/abort`
pub async fn abort(
    shared: web::Data<Shared>,
    store: Store,
    path: web::Path<String>,
) -> HttpResponse {
    shared.metrics.lock().requests.cancellations += 1;
    let Some(id) = JobId::parse(&path) else {
        return problem(StatusCode::NOT_FOUND, "no such job");
    };
    let began = Instant::now();
    match actix::clock::timeout(SUBMIT_LIMIT, cancel(&shared, &store, &id)).await {
        Ok(answer) if began.elapsed() < SUBMIT_LIMIT => answer,
        _ => refusal(&StoreError::OutcomeUnknown),
    }
}

async fn cancel(shared: &Shared, store: &Addr<StoreActor>, id: &JobId) -> HttpResponse {
    for _ in 0..ABORT_ATTEMPTS {
        let JobVerdict { verdict, tasks } = match verdict(shared, store, id).await {
            Ok(Some(found)) => found,
            Ok(None) => return problem(StatusCode::NOT_FOUND, "no such job"),
            Err(error) => return refusal(&error),
        };
        if verdict != Verdict::Accepted {
            return cbor(StatusCode::OK, &state(shared, id, verdict, tasks));
        }
        let (version, live) = {
            let replica = shared.replica.lock();
            let live = replica.live.get(id).filter(|live| !live.has_own_key);
            (
                replica.job_version(id),
                live.map(|live| live.record.clone()),
            )
        };
        // The description stays until no task of the job can be anywhere.
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks,
            live,
        };
        let group = Transaction::new(
            vec![Condition::new(keys::job(id), version)],
            vec![Change::put(keys::job(id), to_value(&record))],
        );
        let outcome = store.send(Commit(group, WritePriority::High)).await;
        match outcome.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown)) {
            TransactionOutcome::Committed(_) => {
                info!(job = %id, "cancelled");
                shared.cancellation_recorded(id);
                let cancelled = state(shared, id, Verdict::Cancelled, tasks);
                return cbor(StatusCode::OK, &cancelled);
            }
            // Something else was written first; what stands decides.
            TransactionOutcome::Conflict { .. } => {}
            TransactionOutcome::Failed(error) => return refusal(&error),
        }
    }
    refusal(&StoreError::OutcomeUnknown)
}
