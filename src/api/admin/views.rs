//! JSON views of the cluster state for operators.

use std::collections::BTreeMap;
use std::time::Instant;

use knotlanding_links::health::{HealthEvaluator, HealthState, LostDirection, WorkerHealth};
use serde::Serialize;

use crate::cluster::{Cluster, DrainReason, Job, Machine, PlacementRefusal};
use crate::leader::Role;
use crate::pending_reason::PendingReason;
use crate::service::Shared;

#[derive(Debug, Serialize)]
pub(super) struct MachineStatus {
    #[serde(rename = "build")]
    machine_type: String,
    zone: String,
    spot: bool,
    tasks: usize,
    reported_s_ago: Option<f64>,
    drain: Option<&'static str>,
    #[serde(rename = "returning")]
    releasing: bool,
    /// Why no new tasks are placed on it.
    passed_over: Option<&'static str>,
    health: MachineHealth,
}

/// A machine's health with the age of the evidence for it.
#[derive(Debug, Serialize)]
pub(super) struct MachineHealth {
    state: HealthState,
    /// The direction that is lost if the machine is unreachable.
    #[serde(skip_serializing_if = "Option::is_none")]
    lost: Option<LostDirection>,
    evidence_s_ago: Option<f64>,
}

impl MachineHealth {
    pub(super) fn of(health: WorkerHealth, now: Instant) -> Self {
        let evidence_at = health.evidence_at;
        let age = evidence_at.map(|at| now.saturating_duration_since(at).as_secs_f64());
        Self {
            state: health.state,
            lost: health.lost_direction,
            evidence_s_ago: age,
        }
    }
}

impl MachineStatus {
    pub(super) fn of(cluster: &Cluster, machine: &Machine, evaluator: &HealthEvaluator) -> Self {
        let now = evaluator.now;
        let since_heartbeat = machine
            .last_heartbeat_at
            .map(|at| now.saturating_duration_since(at));
        Self {
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            tasks: machine
                .instances
                .values()
                .filter(|instance| instance.occupies())
                .count(),
            reported_s_ago: since_heartbeat.map(|age| age.as_secs_f64()),
            drain: machine.drain.map(DrainReason::label),
            releasing: machine.is_releasing(),
            passed_over: machine
                .placement_refusal(now, cluster.timing.suspect_after)
                .map(PlacementRefusal::as_str),
            health: MachineHealth::of(evaluator.evaluate(&machine.health_evidence()), now),
        }
    }
}

/// A job without a final verdict.
#[derive(Debug, Serialize)]
pub(super) struct JobStatus {
    class: String,
    team: String,
    tasks: u32,
    done: u32,
    placed: usize,
    age_s: f64,
    /// Why tasks of the job are pending; absent if none is.
    #[serde(rename = "waits_for")]
    pending_reason: Option<PendingReason>,
    /// Number of machines on which tasks of the job failed.
    failed_on: usize,
    /// Whether the job is suspected of failing on every machine.
    suspected: bool,
}

impl JobStatus {
    pub(super) fn of(job: &Job, now: Instant) -> Self {
        let has_pending_tasks = job.is_schedulable() && job.pending_count() > 0;
        Self {
            class: job.spec.class.clone(),
            team: job.spec.team.clone(),
            tasks: job.spec.tasks,
            done: job.done.len(),
            placed: job.placements.len(),
            age_s: now
                .saturating_duration_since(job.submitted_at)
                .as_secs_f64(),
            pending_reason: has_pending_tasks.then_some(job.pending_reason),
            failed_on: job.failed_on.len(),
            suspected: job.is_suspected(),
        }
    }
}

/// The state of this controller, and on the leader that of all machines and jobs.
#[derive(Debug, Serialize)]
pub(super) struct Status {
    member: String,
    leading: bool,
    leader: Option<String>,
    term: Option<u64>,
    records_revision: u64,
    state_service_answers: bool,
    unsettled_machines: usize,
    /// Number of machines by health; empty on a controller that does not lead.
    worker_health: BTreeMap<HealthState, usize>,
    machines: BTreeMap<String, MachineStatus>,
    jobs: BTreeMap<String, JobStatus>,
}

impl Status {
    /// The status of a controller that shows no cluster state.
    fn without_cluster(shared: &Shared, leader: Option<String>) -> Self {
        Self {
            member: shared.settings.member.clone(),
            leading: false,
            leader,
            term: None,
            records_revision: shared.replica.lock().revision,
            state_service_answers: shared.links.contact().failing_since.is_none(),
            unsettled_machines: 0,
            worker_health: BTreeMap::new(),
            machines: BTreeMap::new(),
            jobs: BTreeMap::new(),
        }
    }

    fn add_cluster(&mut self, cluster: &Cluster, now: Instant) {
        self.unsettled_machines = cluster.unreconciled.len();
        let evaluator = cluster.health_evaluator(now);
        for (id, machine) in &cluster.machines {
            let machine_status = MachineStatus::of(cluster, machine, &evaluator);
            *self
                .worker_health
                .entry(machine_status.health.state)
                .or_default() += 1;
            self.machines.insert(id.to_string(), machine_status);
        }
        for (id, job) in &cluster.jobs {
            self.jobs.insert(id.to_string(), JobStatus::of(job, now));
        }
    }
}

/// The status of this controller. A leader is shown as leading only together with the cluster state of its
/// term; while the leadership changes, neither is shown.
pub(super) fn controller_status(shared: &Shared) -> Status {
    let now = Instant::now();
    let role = shared.election.lock().role(now);
    let (leader, cluster_term) = match &role {
        Role::Leader(leadership) => (None, Some(leadership.term)),
        Role::KeepAlive(term) => (None, Some(*term)),
        Role::Follower(leader) => (leader.as_ref().map(|leader| leader.member.clone()), None),
    };
    let mut status = Status::without_cluster(shared, leader);
    let Some(term) = cluster_term else {
        return status;
    };
    shared.with_cluster_of(term, |cluster| {
        if let Role::Leader(_) = role {
            status.leading = true;
            status.leader = Some(status.member.clone());
            status.term = Some(term.0);
        }
        status.add_cluster(cluster, now);
    });
    status
}
