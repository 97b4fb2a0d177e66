//! The operators' interface: JSON on the peer address.
//!
//! Settings live in the state service under a version, so that every controller takes them
//! up through its watch and they outlive all of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use actix::Addr;
use actix_web::http::header::{self, HeaderValue};
use actix_web::{web, HttpResponse};
use knotlanding_links::health::{HealthJudge, HealthState, LostDirection, WorkerHealth};
use serde::{Deserialize, Serialize};

use super::RETRY_AFTER_S;
use crate::cluster::{Cluster, DrainReason, Job, Machine, PlacementRefusal};
use crate::leader::Role;
use crate::model::{JobId, MachineId};
use crate::service::operator::OperatorSettings;
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::{
    keys, to_value, Change, Condition, Transaction, TransactionOutcome, WritePriority,
};
use crate::wire::Problem;

/// Largest body taken from an operator.
const BODY_LIMIT: usize = 64 * 1024;
/// A change of settings is answered by then.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

type Store = web::Data<Addr<StoreActor>>;

/// Settings with the version that a change has to name.
#[derive(Debug, Serialize, Deserialize)]
pub struct VersionedSettings {
    /// Version of the settings read; 0: none were ever set.
    pub version: u64,
    /// The settings.
    pub settings: OperatorSettings,
}

#[derive(Debug, Serialize)]
struct MachineStatus {
    #[serde(rename = "build")]
    machine_type: String,
    zone: String,
    spot: bool,
    tasks: usize,
    reported_s_ago: Option<f64>,
    drain: Option<&'static str>,
    #[serde(rename = "returning")]
    releasing: bool,
    /// Why it gets no new tasks.
    passed_over: Option<&'static str>,
    health: MachineHealth,
}

/// A machine's health with the time of the evidence.
#[derive(Debug, Serialize)]
struct MachineHealth {
    state: HealthState,
    /// What is lost, if it is unreachable.
    #[serde(skip_serializing_if = "Option::is_none")]
    lost: Option<LostDirection>,
    evidence_s_ago: Option<f64>,
}

impl MachineHealth {
    fn of(health: WorkerHealth, now: Instant) -> Self {
        let age = health.evidence_at;
        let age = age.map(|at| now.saturating_duration_since(at).as_secs_f64());
        Self {
            state: health.state,
            lost: health.lost,
            evidence_s_ago: age,
        }
    }
}

impl MachineStatus {
    fn of(cluster: &Cluster, machine: &Machine, judge: &HealthJudge) -> Self {
        let now = judge.now;
        let reported = machine
            .last_heartbeat
            .map(|at| now.saturating_duration_since(at));
        Self {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            tasks: machine.instances.values().filter(|s| s.occupies()).count(),
            reported_s_ago: reported.map(|d| d.as_secs_f64()),
            drain: machine.drain.map(DrainReason::label),
            releasing: machine.releasing,
            passed_over: machine
                .placement_refusal(now, cluster.timing.suspect_after)
                .map(PlacementRefusal::as_str),
            health: MachineHealth::of(judge.judge(&machine.evidence()), now),
        }
    }
}

#[derive(Debug, Serialize)]
struct JobStatus {
    class: String,
    team: String,
    tasks: u32,
    done: u32,
    placed: usize,
    age_s: f64,
    /// Why tasks of it don't run.
    #[serde(rename = "waits_for")]
    pending_reason: Option<crate::pending_reason::PendingReason>,
    /// Machines on which tasks of it failed.
    failed_on: usize,
    /// Whether it fails everywhere, as far as can be seen.
    suspected: bool,
}

impl JobStatus {
    fn of(job: &Job, now: Instant) -> Self {
        let waits = job.is_schedulable() && job.pending_count() > 0;
        Self {
            class: job.spec.class.clone(),
            team: job.spec.team.clone(),
            tasks: job.spec.tasks,
            done: job.done.len(),
            placed: job.placements.len(),
            age_s: now.saturating_duration_since(job.submitted).as_secs_f64(),
            pending_reason: waits.then_some(job.pending_reason),
            failed_on: job.failed_on.len(),
            suspected: job.suspected(),
        }
    }
}

#[derive(Debug, Serialize)]
struct Status {
    member: String,
    leading: bool,
    leader: Option<String>,
    term: Option<u64>,
    records_revision: u64,
    state_service_answers: bool,
    #[serde(rename = "unsettled_machines")]
    unsettled_machines: usize,
    /// Machines by their health; none on a node that does not lead and can't tell.
    worker_health: BTreeMap<HealthState, usize>,
    machines: BTreeMap<String, MachineStatus>,
    jobs: BTreeMap<String, JobStatus>,
}

/// `GET /admin/status`
pub async fn status(shared: web::Data<Shared>) -> HttpResponse {
    HttpResponse::Ok().json(view(&shared))
}

fn view(shared: &Shared) -> Status {
    let now = Instant::now();
    let role = shared.election.lock().role(now);
    let leading = matches!(role, Role::Leader(_));
    let me = shared.settings.member.clone();
    let (leader, term) = match role {
        Role::Leader(leadership) => (Some(me.clone()), Some(leadership.term.0)),
        Role::KeepAlive(_) => (None, None),
        Role::Follower(leader) => (leader.map(|leader| leader.member), None),
    };
    let mut status = Status {
        member: me,
        leading,
        leader,
        term,
        records_revision: shared.replica.lock().revision,
        state_service_answers: shared.links.contact().failing_since.is_none(),
        unsettled_machines: 0,
        worker_health: BTreeMap::new(),
        machines: BTreeMap::new(),
        jobs: BTreeMap::new(),
    };
    let guard = shared.cluster.lock();
    let Some(cluster) = guard.as_ref() else {
        return status;
    };
    status.unsettled_machines = cluster.unreconciled.len();
    let judge = cluster.health_judge(now);
    for (id, machine) in &cluster.machines {
        let shown = MachineStatus::of(cluster, machine, &judge);
        *status.worker_health.entry(shown.health.state).or_default() += 1;
        status.machines.insert(id.to_string(), shown);
    }
    for (id, job) in &cluster.jobs {
        status.jobs.insert(id.to_string(), JobStatus::of(job, now));
    }
    status
}

/// What the leader's cluster state has to say, or who to ask for it.
fn from_cluster<T: Serialize>(
    shared: &Shared,
    what: &str,
    find: impl Fn(&Cluster, Instant) -> Option<T>,
) -> HttpResponse {
    let now = Instant::now();
    let role = shared.election.lock().role(now);
    if !matches!(role, Role::Leader(_)) {
        let error = match role {
            Role::Follower(Some(leader)) => format!("{} leads; ask there", leader.member),
            _ => "nobody is known to lead; try again".to_owned(),
        };
        return refuse(HttpResponse::ServiceUnavailable(), error);
    }
    let found = {
        let cluster = shared.cluster.lock();
        cluster.as_ref().and_then(|cluster| find(cluster, now))
    };
    match found {
        Some(found) => HttpResponse::Ok().json(found),
        None => refuse(HttpResponse::NotFound(), format!("no such {what}")),
    }
}

/// `GET /admin/jobs/{id}`: one job that is not over.
pub async fn job(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let Some(id) = JobId::parse(&path) else {
        return refuse(HttpResponse::NotFound(), "no such job".to_owned());
    };
    from_cluster(&shared, "job under way", |cluster, now| {
        cluster.jobs.get(&id).map(|job| JobStatus::of(job, now))
    })
}

/// `GET /admin/machines/{name}`: one machine.
pub async fn machine(shared: web::Data<Shared>, path: web::Path<String>) -> HttpResponse {
    let id = MachineId(path.as_str().into());
    from_cluster(&shared, "machine", |cluster, now| {
        let machine = cluster.machines.get(&id)?;
        let judge = cluster.health_judge(now);
        Some(MachineStatus::of(cluster, machine, &judge))
    })
}

/// `GET /admin/metrics`
pub async fn metrics(shared: web::Data<Shared>) -> HttpResponse {
    let now = Instant::now();
    HttpResponse::Ok().json(shared.metrics_view(now))
}

/// `GET /admin/settings`
pub async fn settings(shared: web::Data<Shared>) -> HttpResponse {
    let (loaded, version) = {
        let replica = shared.replica.lock();
        (replica.loaded, replica.settings.version)
    };
    if !loaded {
        return unavailable();
    }
    let settings = shared.operator.lock().clone();
    HttpResponse::Ok().json(VersionedSettings { version, settings })
}

fn refuse(mut answer: actix_web::HttpResponseBuilder, error: String) -> HttpResponse {
    answer.json(Problem { error })
}

fn unavailable() -> HttpResponse {
    let error = "the state service does not answer; try again".to_owned();
    let mut answer = refuse(HttpResponse::ServiceUnavailable(), error);
    answer
        .headers_mut()
        .insert(header::RETRY_AFTER, HeaderValue::from(RETRY_AFTER_S));
    answer
}

/// `PUT /admin/settings`
pub async fn set_settings(
    shared: web::Data<Shared>,
    store: Store,
    body: web::Bytes,
) -> HttpResponse {
    let wanted: VersionedSettings = match serde_json::from_slice(&body) {
        Ok(wanted) => wanted,
        Err(error) => return refuse(HttpResponse::BadRequest(), error.to_string()),
    };
    change(&shared, &store, wanted).await
}

async fn change(
    shared: &Shared,
    store: &Addr<StoreActor>,
    wanted: VersionedSettings,
) -> HttpResponse {
    let value_kb = shared.settings.params.state.value_kb;
    if let Err(error) = wanted.settings.validate(value_kb) {
        return refuse(HttpResponse::BadRequest(), error.to_string());
    }
    if !shared.replica.lock().loaded {
        return unavailable();
    }
    let group = Transaction::new(
        vec![Condition::new(keys::SETTINGS, wanted.version)],
        vec![Change::put(keys::SETTINGS, to_value(&wanted.settings))],
    );
    let sent = actix::clock::timeout(CHANGE_LIMIT, store.send(Commit(group, WritePriority::High)));
    match sent.await {
        Ok(Ok(TransactionOutcome::Committed(version))) => {
            HttpResponse::Ok().json(VersionedSettings {
                version,
                settings: wanted.settings,
            })
        }
        Ok(Ok(TransactionOutcome::Conflict { .. })) => {
            let error = "the settings have changed since that version; read them again".to_owned();
            refuse(HttpResponse::Conflict(), error)
        }
        _ => unavailable(),
    }
}

/// `POST /admin/machines/{name}/drain`: no new tasks for the machine.
pub async fn drain(
    shared: web::Data<Shared>,
    store: Store,
    path: web::Path<String>,
) -> HttpResponse {
    let version = shared.replica.lock().settings.version;
    let mut settings = shared.operator.lock().clone();
    let name = path.into_inner();
    if !settings.drained.contains(&name) {
        settings.drained.push(name);
    }
    change(&shared, &store, VersionedSettings { version, settings }).await
}

/// The routes for operators.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service(
        web::scope("/admin")
            .app_data(web::PayloadConfig::new(BODY_LIMIT))
            .route("/status", web::get().to(status))
            .route("/links", web::get().to(super::links::links))
            .route("/metrics", web::get().to(metrics))
            .route("/jobs/{id}", web::get().to(job))
            .route("/machines/{name}", web::get().to(machine))
            .route("/settings", web::get().to(settings))
            .route("/settings", web::put().to(set_settings))
            .route("/machines/{name}/drain", web::post().to(drain)),
    );
}
