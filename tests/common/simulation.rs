//! Simulation of three controllers and their environment: store, network, cloud, workers and users.
//!
//! The controllers' replica, election, cluster state, scheduling cycle and heartbeat handler are the
//! production code. The simulation replaces the actors that drive them: it advances in steps, and a
//! seeded generator draws delays and the order of events. Every step checks the invariants.
//!
//! A time of type `f64` is in seconds since the start of the simulation.

#![allow(dead_code)]

#[path = "simulation/cloud.rs"]
mod cloud;
#[path = "simulation/cloud_requests.rs"]
mod cloud_requests;
#[path = "simulation/controllers.rs"]
mod controllers;
#[path = "simulation/copies.rs"]
mod copies;
#[path = "simulation/delivery.rs"]
mod delivery;
#[path = "simulation/faults.rs"]
mod faults;
#[path = "simulation/forwarding.rs"]
mod forwarding;
#[path = "simulation/invariants.rs"]
mod invariants;
#[path = "simulation/links.rs"]
mod links;
#[path = "simulation/run_hash.rs"]
mod run_hash;
#[path = "simulation/store.rs"]
mod store;
#[path = "simulation/users.rs"]
mod users;
#[path = "simulation/workers.rs"]
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix_web::HttpResponse;
use futures_util::FutureExt;
use knotlanding::api::workers::{receive_heartbeat, HeartbeatOutcome};
use knotlanding::cluster::{
    AddressedCommand, Cluster, HeartbeatOrdering, HeartbeatSource, RecordKind,
};
use knotlanding::config::{Peer, Settings, WorkerSettings};
use knotlanding::demand::UnmetDemand;
use knotlanding::fleet::outstanding::OutstandingRequests;
use knotlanding::fleet::{self, CapacityBackoff, IdlePolicy};
use knotlanding::leader::Leadership;
use knotlanding::model::{
    FencingToken, JobId, JobKind, JobSpec, MachineId, MachinePool, Resources, Term, Verdict,
};
use knotlanding::policy::SchedulingPolicy;
use knotlanding::sched::{self, Decisions};
use knotlanding::service::Shared;
use knotlanding::store::cancellation::{self, CancellationPlan};
use knotlanding::store::election::NextTerm;
use knotlanding::store::keys::{self, JobRecord, LeaderRecord};
use knotlanding::store::replica::VerdictState;
use knotlanding::store::{
    Change, Condition, KeyValue, StoreError, Transaction, TransactionOutcome, Value, WatchEvent,
};
use knotlanding::timing::{lease_renewal_interval, LEADER_LEASE_MIN};
use knotlanding::wire::{
    self, ExitCause, Heartbeat, HeartbeatResponse, ListedMachine, Redirect, TaskPhase, TaskStatus,
    WorkerCommand,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::test_leader::machine_types;
pub use cloud_requests::CloudFault;
use cloud_requests::{CloudCall, CloudExchange, CloudResponse, CloudState};
use controllers::Controller;
use copies::Copies;
pub use copies::CopyShares;
use delivery::Message;
pub use faults::{timed_fault, Fault, TimedFault};
pub use forwarding::BatchFaults;
use forwarding::ForwardingState;
pub use links::TimedLinkFault;
use links::{ControllerLinks, RowOutcome};
use run_hash::RunHash;
use store::{RequestPurpose, Store, StoreRequest, StoreResponse};
use users::UserJob;
use workers::{is_active, task_parts, Task, Worker};

/// Simulated time per step.
const STEP_S: f64 = 0.05;
/// A store request without a response within this time has an unknown outcome.
const STORE_TIMEOUT_S: f64 = 1.5;
/// Time after which a worker stops waiting for the response to a heartbeat.
const WORKER_TIMEOUT_S: f64 = 4.0;
/// Maximum number of running machines of each type in the cloud, which does not count booting ones.
const MACHINES_PER_TYPE_MAX: usize = 8;

/// State of the controllers and their environment.
pub struct Simulation {
    rng: StdRng,
    pub now_s: f64,
    started_at: Instant,
    settings: Settings,
    policy: SchedulingPolicy,
    store: Store,
    store_out_until: f64,
    /// Maximum additional delay of store responses in seconds, and the end of the fault.
    store_delay: (f64, f64),
    /// Controller whose store requests are refused, and the end of the fault.
    refused: Option<(usize, f64)>,
    /// Controller whose store reads get no response, and the end of the fault.
    reads_lost: Option<(usize, f64)>,
    /// Controller whose links to all workers are cut, and the end of the fault.
    cut_off: Option<(usize, f64)>,
    /// Share of transactions without a response, whether they are applied at once, and the end of the
    /// fault.
    late_writes: (f64, bool, f64),
    /// Share of heartbeats that are copied, whether the copies are kept for the next leader, and the
    /// end of the fault.
    heartbeat_copies: (f64, bool, f64),
    /// Share of new jobs that are cancelled when their last task completes, and the end of the fault.
    cancel_at_completion: (f64, f64),
    /// Maximum delay of a cancellation's handler in seconds, and the end of the fault.
    handler_delay: (f64, f64),
    batch_faults: (BatchFaults, f64),
    pub cloud: CloudState,
    pub copies: Copies,
    /// Follower whose batches are lost, and the end of the fault.
    isolated_follower: Option<(usize, f64)>,
    /// Whether link monitoring is enabled on every controller.
    links_enabled: bool,
    link_faults: Vec<TimedLinkFault>,
    writes_refused_until: f64,
    /// Handovers of leadership decided from the connectivity matrix.
    pub handovers: usize,
    /// Heartbeat batches that followers have sent.
    pub batches_sent: usize,
    /// Heartbeat batches that were rejected because of their age.
    pub stale_batches: usize,
    /// Successful responses that followers have relayed to workers.
    pub responses_relayed: usize,
    /// Copies of heartbeats that are delivered when the next leader takes over.
    kept_heartbeats: Vec<Heartbeat>,
    controllers: Vec<Controller>,
    workers: BTreeMap<String, Worker>,
    machines_created: usize,
    /// Terminated machines, with the time until which the machine list shows them as running; for
    /// 300 s after it, the list shows them as failed.
    failed_machines: BTreeMap<String, (MachinePool, f64)>,
    /// Messages to deliver, with the time of delivery and the number of the message.
    in_flight: Vec<(f64, u64, Message)>,
    messages_posted: u64,
    jobs: BTreeMap<String, UserJob>,
    completed_tasks: BTreeSet<String>,
    /// Violated invariants; the first one ends the run.
    pub violations: Vec<String>,
    /// Starts of tasks whose job's cancellation a user had already observed.
    pub starts_of_cancelled_jobs: usize,
    pub task_starts: usize,
    /// Number of times that a controller became the leader, including the first one.
    pub terms_started: usize,
    pub kept_heartbeats_delivered: usize,
    /// Whether controllers refuse each other's connections.
    pub peers_refuse_connections: bool,
    /// Time at which the last fault ends. Afterwards, jobs that have room may wait only for a limited time.
    pub faults_end_at: f64,
    /// Time since which a job waits although there is room for it, by job id.
    placeable_since: BTreeMap<String, f64>,
    /// Time since which the leader keeps a machine from tasks in order to release it, by machine.
    releasing_since: BTreeMap<String, f64>,
    run_hash: RunHash,
}

impl Simulation {
    pub fn new(seed: u64, settings_text: &str) -> Self {
        Self::with_links(seed, settings_text, false)
    }

    /// A simulation with link monitoring enabled or disabled; [`Self::new`] disables it.
    pub fn with_links(seed: u64, settings_text: &str, links_enabled: bool) -> Self {
        let settings = Settings::parse(settings_text, "a test").unwrap();
        let started_at = Instant::now();
        let mut simulation = Self {
            rng: StdRng::seed_from_u64(seed),
            now_s: 0.0,
            started_at,
            policy: SchedulingPolicy::new(&settings),
            store: Store::default(),
            store_out_until: 0.0,
            store_delay: (0.0, 0.0),
            refused: None,
            reads_lost: None,
            cut_off: None,
            late_writes: (0.0, false, 0.0),
            heartbeat_copies: (0.0, false, 0.0),
            cancel_at_completion: (0.0, 0.0),
            handler_delay: (0.0, 0.0),
            batch_faults: (BatchFaults::default(), 0.0),
            cloud: CloudState::default(),
            copies: Copies::default(),
            isolated_follower: None,
            links_enabled,
            link_faults: Vec::new(),
            writes_refused_until: 0.0,
            handovers: 0,
            batches_sent: 0,
            stale_batches: 0,
            responses_relayed: 0,
            kept_heartbeats: Vec::new(),
            controllers: Vec::new(),
            workers: BTreeMap::new(),
            machines_created: 0,
            failed_machines: BTreeMap::new(),
            in_flight: Vec::new(),
            messages_posted: 0,
            jobs: BTreeMap::new(),
            completed_tasks: BTreeSet::new(),
            violations: Vec::new(),
            starts_of_cancelled_jobs: 0,
            task_starts: 0,
            terms_started: 0,
            kept_heartbeats_delivered: 0,
            // Messages between controllers only reduce delays: every second seed runs without them, so
            // that nothing can depend on them.
            peers_refuse_connections: seed % 2 == 1,
            faults_end_at: f64::INFINITY,
            placeable_since: BTreeMap::new(),
            releasing_since: BTreeMap::new(),
            run_hash: RunHash::default(),
            settings,
        };
        for number in 0..3 {
            let controller = simulation.new_controller(number, 1);
            simulation.controllers.push(controller);
        }
        simulation.boot_initial_machines();
        simulation
    }

    /// Boots the machines with which every run begins: both types, in both zones.
    fn boot_initial_machines(&mut self) {
        for index in 0..6 {
            let pool = MachinePool {
                machine_type: if index % 2 == 0 { "cpu16" } else { "gpu2" }.to_owned(),
                zone: if index % 4 < 2 { "north" } else { "south" }.to_owned(),
                spot: false,
            };
            let name = self.new_machine_name();
            self.boot_machine(name, pool);
        }
    }

    fn instant(&self) -> Instant {
        self.started_at + Duration::from_secs_f64(self.now_s)
    }

    fn wall_clock(&self) -> SystemTime {
        crate::test_leader::fixed_wall_time() + Duration::from_secs_f64(self.now_s)
    }

    /// Wall clock of a controller. The clocks of the controllers differ by `clock_off_ms`.
    fn wall_clock_of(&self, index: usize) -> SystemTime {
        let skew = Duration::from_secs_f64(self.settings.params.clock_off_ms / 1_000.0);
        match index {
            0 => self.wall_clock() - skew,
            1 => self.wall_clock(),
            _ => self.wall_clock() + skew,
        }
    }

    /// Total time for which the placement gates of the running processes have refused placements.
    pub fn gates_refused_s(&self) -> f64 {
        let now = self.instant();
        let active = self
            .controllers
            .iter()
            .filter_map(|controller| controller.shared.links.active());
        let refused = active.map(|links| links.table.lock().gate_refused_for(now));
        refused.sum::<Duration>().as_secs_f64()
    }

    fn worker_settings(&self) -> WorkerSettings {
        self.settings.params.workers.clone()
    }

    fn draw_latency(&mut self) -> f64 {
        if self.rng.random_bool(0.03) {
            self.rng.random_range(0.05..0.4)
        } else {
            self.rng.random_range(0.001..0.03)
        }
    }

    fn deliver_after(&mut self, after: f64, message: Message) {
        self.messages_posted += 1;
        self.in_flight
            .push((self.now_s + after, self.messages_posted, message));
    }

    fn send(&mut self, message: Message) {
        let after = self.draw_latency();
        self.deliver_after(after, message);
    }

    /// Advances the simulation until the given time, or until an invariant is violated.
    pub fn run_until(&mut self, until: f64, faults: &[TimedFault]) {
        while self.now_s < until && self.violations.is_empty() {
            self.now_s += STEP_S;
            let now_s = self.now_s;
            for fault in faults {
                if fault.starts_at > now_s - STEP_S && fault.starts_at <= now_s {
                    self.start_fault(fault);
                }
            }
            let mut due: Vec<(f64, u64, Message)> = Vec::new();
            let mut later = Vec::new();
            for message in std::mem::take(&mut self.in_flight) {
                if message.0 <= now_s {
                    due.push(message);
                } else {
                    later.push(message);
                }
            }
            self.in_flight = later;
            due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            due.into_iter()
                .for_each(|(_, _, message)| self.deliver(message));
            (0..3).for_each(|index| self.step_controller(index));
            let names: Vec<String> = self.workers.keys().cloned().collect();
            names.iter().for_each(|name| self.step_worker(name));
            self.step_users();
            self.hash_step();
            self.check_invariants();
            // A check once per second is sufficient for a limit of 90 s.
            if now_s > self.faults_end_at && ((now_s / STEP_S) as u64).is_multiple_of(20) {
                self.check_waiting_jobs();
                self.check_releases();
            }
        }
    }

    /// Number of workers that send their heartbeats to each controller.
    pub fn workers_by_controller(&self) -> Vec<usize> {
        let count = |n| self.workers.values().filter(|w| w.controller == n).count();
        (0..self.controllers.len()).map(count).collect()
    }

    /// Number of sessions of the running workers that ended because a lease expired.
    pub fn sessions_ended(&self) -> u64 {
        self.workers.values().map(|worker| worker.epoch - 1).sum()
    }

    /// Index of the controller that leads in the latest term.
    pub fn leading_controller(&self) -> Option<usize> {
        self.leader()
    }

    /// Jobs whose end no user has observed.
    pub fn unfinished_jobs(&self) -> Vec<String> {
        let unfinished = self
            .jobs
            .iter()
            .filter(|(_, job)| job.seen_done_at.is_none() && job.seen_cancelled_at.is_none());
        unfinished.map(|(id, _)| id.clone()).collect()
    }

    /// State of a job in the controllers' cluster states and on the workers, for failure messages.
    pub fn describe_job(&self, id: &str) -> String {
        let mut lines = Vec::new();
        for (index, controller) in self.controllers.iter().enumerate() {
            if let Some(cluster) = controller.shared.cluster.lock().as_ref() {
                let job = cluster.jobs.get(&JobId::parse(id).unwrap());
                lines.push(format!(
                    "knot-{index}: {job:?}, unreconciled {:?}",
                    cluster.unreconciled
                ));
            }
        }
        for (name, worker) in &self.workers {
            for ((task, attempt), state) in &worker.tasks {
                if task_parts(task).0 == id {
                    lines.push(format!("{name}: {task}#{attempt:x} {state:?}"));
                }
            }
        }
        lines.join("\n")
    }

    /// Numbers of jobs that users have observed as done and as cancelled.
    pub fn ended_job_counts(&self) -> (usize, usize) {
        let jobs = || self.jobs.values();
        (
            jobs().filter(|job| job.seen_done_at.is_some()).count(),
            jobs().filter(|job| job.seen_cancelled_at.is_some()).count(),
        )
    }
}
