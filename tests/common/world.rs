//! A model of everything around the controllers: state service, network, cloud, workers, users.
//!
//! The controllers' own parts (replica, role, cluster state, round, the handler of reports) run as they
//! are; what their actors do between them is played here step by step, in an order that a seed
//! draws. After every step the protocol's rules are checked as invariants.

#![allow(dead_code)]

#[path = "world/cloud.rs"]
mod cloud;
#[path = "world/controllers.rs"]
mod controllers;
#[path = "world/delivery.rs"]
mod delivery;
#[path = "world/faults.rs"]
mod faults;
#[path = "world/forwarding.rs"]
mod forwarding;
#[path = "world/invariants.rs"]
mod invariants;
#[path = "world/links.rs"]
mod links;
#[path = "world/run_hash.rs"]
mod run_hash;
#[path = "world/state_service.rs"]
mod state_service;
#[path = "world/users.rs"]
mod users;
#[path = "world/workers.rs"]
mod workers;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix_web::HttpResponse;
use futures_util::FutureExt;
use knotlanding::api::workers::{receive_heartbeat, HeartbeatOutcome};
use knotlanding::cluster::{
    AddressedCommand, Cluster, HeartbeatOrdering, HeartbeatSource, Machine, RecordKind,
};
use knotlanding::config::{Peer, Settings, WorkerSettings};
use knotlanding::demand::UnmetDemand;
use knotlanding::fleet::{self, CapacityBackoff, FleetView, IdlePolicy, ScalingAction};
use knotlanding::leader::Leadership;
use knotlanding::model::{
    FencingToken, JobId, JobKind, JobSpec, MachineId, MachinePool, Resources, Term, Verdict,
};
use knotlanding::policy::SchedulingPolicy;
use knotlanding::sched::{self, Decisions};
use knotlanding::service::Shared;
use knotlanding::store::keys::{self, JobDescription, JobRecord, LeaderRecord, TermRecord};
use knotlanding::store::replica::VerdictState;
use knotlanding::store::{
    to_value, Change, Condition, KeyValue, StoreError, Transaction, TransactionOutcome, Value,
    WatchEvent,
};
use knotlanding::timing::{lease_renewal_interval, LEADER_LEASE_MIN};
use knotlanding::wire::{
    self, ExitCause, Heartbeat, HeartbeatResponse, ListedMachine, Redirect, TaskPhase, TaskStatus,
    WorkerCommand,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::scene::machine_types;
use controllers::Node;
use delivery::Mail;
pub use faults::{trouble, Fault, Trouble};
pub use forwarding::BatchTrouble;
use forwarding::Forwarded;
pub use links::CutLink;
use links::{NodeLinks, RowAnswer};
use run_hash::RunHash;
use state_service::{RequestPurpose, Store, StoreRequest, StoreResponse};
use users::Wanted;
use workers::{on_machine, task_parts, Task, Worker};

/// Time of one step.
const STEP: f64 = 0.05;
/// A request to the state service without an answer by then has an unknown outcome.
const ANSWER_LIMIT: f64 = 1.5;
/// A worker gives an answer up.
const GIVES_UP: f64 = 4.0;
/// Machines that the cloud has of each type.
const CAPACITY: usize = 8;

/// Everything.
pub struct World {
    rng: StdRng,
    pub t: f64,
    start: Instant,
    settings: Settings,
    policy: SchedulingPolicy,
    store: Store,
    out_until: f64,
    slow: (f64, f64),
    refused: Option<(usize, f64)>,
    no_reads: Option<(usize, f64)>,
    cut: Option<(usize, f64)>,
    late_writes: (f64, bool, f64),
    late_reports: (f64, bool, f64),
    cancel_at_end: (f64, f64),
    batch_trouble: (BatchTrouble, f64),
    cut_follower: Option<(usize, f64)>,
    /// Links are turned on at every node.
    links_on: bool,
    cut_links: Vec<CutLink>,
    writes_fail_until: f64,
    /// Leads that were handed over by what the matrix said.
    pub handovers: usize,
    /// Batches that followers sent.
    pub batches_sent: usize,
    /// Batches that were refused for their age.
    pub stale_batches: usize,
    /// Answers that followers passed on.
    pub passed_on: usize,
    kept: Vec<Heartbeat>,
    nodes: Vec<Node>,
    workers: BTreeMap<String, Worker>,
    machines_ever: usize,
    /// Gone machines that the list still shows, with the time until which it does.
    dead: BTreeMap<String, (MachinePool, f64)>,
    mail: Vec<(f64, u64, Mail)>,
    posted: u64,
    jobs: BTreeMap<String, Wanted>,
    completed: BTreeSet<String>,
    pub broken: Vec<String>,
    /// Starts of a task whose job's user had been told of its cancellation.
    pub started_cancelled: usize,
    /// Started tasks.
    pub starts: usize,
    pub failovers: usize,
    pub kept_delivered: usize,
    /// The nodes refuse each other's connections.
    pub peers_refuse: bool,
    /// From then on there are no troubles, and nobody waits for nothing.
    pub calm_from: f64,
    /// Since when jobs wait though there is room for them.
    neglected: BTreeMap<String, f64>,
    run_hash: RunHash,
}

impl World {
    pub fn new(seed: u64, text: &str) -> Self {
        Self::with_links(seed, text, false)
    }

    /// The same with links turned on, or not.
    pub fn with_links(seed: u64, text: &str, links_on: bool) -> Self {
        let settings = Settings::parse(text, "a test").unwrap();
        let start = Instant::now();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            t: 0.0,
            start,
            policy: SchedulingPolicy::new(&settings),
            store: Store::default(),
            out_until: 0.0,
            slow: (0.0, 0.0),
            refused: None,
            no_reads: None,
            cut: None,
            late_writes: (0.0, false, 0.0),
            late_reports: (0.0, false, 0.0),
            cancel_at_end: (0.0, 0.0),
            batch_trouble: (BatchTrouble::default(), 0.0),
            cut_follower: None,
            links_on,
            cut_links: Vec::new(),
            writes_fail_until: 0.0,
            handovers: 0,
            batches_sent: 0,
            stale_batches: 0,
            passed_on: 0,
            kept: Vec::new(),
            nodes: Vec::new(),
            workers: BTreeMap::new(),
            machines_ever: 0,
            dead: BTreeMap::new(),
            mail: Vec::new(),
            posted: 0,
            jobs: BTreeMap::new(),
            completed: BTreeSet::new(),
            broken: Vec::new(),
            started_cancelled: 0,
            starts: 0,
            failovers: 0,
            kept_delivered: 0,
            // What peers tell only makes things faster; nothing may hang on it.
            peers_refuse: seed % 2 == 1,
            calm_from: f64::INFINITY,
            neglected: BTreeMap::new(),
            run_hash: RunHash::default(),
            settings,
        };
        for number in 0..3 {
            let node = world.fresh_node(number, 1);
            world.nodes.push(node);
        }
        for at in 0..6 {
            let pool = MachinePool {
                machine_type: if at % 2 == 0 { "cpu16" } else { "gpu2" }.to_owned(),
                zone: if at % 4 < 2 { "north" } else { "south" }.to_owned(),
                spot: false,
            };
            let name = world.new_name();
            world.boot(name, pool);
        }
        world
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.t)
    }

    fn wall(&self) -> SystemTime {
        crate::scene::fixed_wall_time() + Duration::from_secs_f64(self.t)
    }

    /// The time of day by a node's own clock: they differ by the bound in the settings.
    fn wall_of(&self, n: usize) -> SystemTime {
        let off = Duration::from_secs_f64(self.settings.params.clock_off_ms / 1_000.0);
        match n {
            0 => self.wall() - off,
            1 => self.wall(),
            _ => self.wall() + off,
        }
    }

    /// How long the gates of the present processes have refused placements, in seconds.
    pub fn gates_refused_s(&self) -> f64 {
        let now = self.instant();
        let active = self.nodes.iter().filter_map(|n| n.shared.links.active());
        let refused = active.map(|links| links.table.lock().gate_refused_for(now));
        refused.sum::<Duration>().as_secs_f64()
    }

    fn timing(&self) -> WorkerSettings {
        self.settings.params.workers.clone()
    }

    fn latency(&mut self) -> f64 {
        if self.rng.random_bool(0.03) {
            self.rng.random_range(0.05..0.4)
        } else {
            self.rng.random_range(0.001..0.03)
        }
    }

    fn post(&mut self, after: f64, mail: Mail) {
        self.posted += 1;
        self.mail.push((self.t + after, self.posted, mail));
    }

    fn send(&mut self, mail: Mail) {
        let after = self.latency();
        self.post(after, mail);
    }

    /// Plays until then.
    pub fn play(&mut self, until: f64, troubles: &[Trouble]) {
        while self.t < until && self.broken.is_empty() {
            self.t += STEP;
            let t = self.t;
            for trouble in troubles {
                if trouble.at > t - STEP && trouble.at <= t {
                    self.begin(trouble);
                }
            }
            let mut due: Vec<(f64, u64, Mail)> = Vec::new();
            let mut later = Vec::new();
            for mail in std::mem::take(&mut self.mail) {
                if mail.0 <= t {
                    due.push(mail);
                } else {
                    later.push(mail);
                }
            }
            self.mail = later;
            due.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            due.into_iter().for_each(|(_, _, mail)| self.deliver(mail));
            (0..3).for_each(|n| self.node(n));
            let names: Vec<String> = self.workers.keys().cloned().collect();
            names.iter().for_each(|name| self.worker(name));
            self.users();
            self.hash_step();
            self.check();
            // Once a second is enough for a wait of ninety.
            if t > self.calm_from && ((t / STEP) as u64).is_multiple_of(20) {
                self.check_waits();
            }
        }
    }

    /// Workers by the node to which they report.
    pub fn workers_by_node(&self) -> Vec<usize> {
        let at = |n| self.workers.values().filter(|w| w.node == n).count();
        (0..self.nodes.len()).map(at).collect()
    }

    /// Sessions that ended with their lease, on the machines that are there.
    pub fn sessions_ended(&self) -> u64 {
        self.workers.values().map(|w| w.epoch - 1).sum()
    }

    /// Who leads.
    pub fn leading_node(&self) -> Option<usize> {
        self.leader()
    }

    /// Jobs that are neither over nor known to be, for the test that everything ends.
    pub fn unfinished(&self) -> Vec<String> {
        let open = self
            .jobs
            .iter()
            .filter(|(_, job)| job.told_done.is_none() && job.told_cancelled.is_none());
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Where a job's tasks are by the leader's cluster state, and by the machines themselves.
    pub fn explain(&self, id: &str) -> String {
        let mut lines = Vec::new();
        for (n, node) in self.nodes.iter().enumerate() {
            if let Some(cluster) = node.shared.cluster.lock().as_ref() {
                let job = cluster.jobs.get(&JobId::parse(id).unwrap());
                lines.push(format!(
                    "knot-{n}: {job:?}, unsettled {:?}",
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

    /// How many were told as done, and as cancelled.
    pub fn over(&self) -> (usize, usize) {
        let jobs = || self.jobs.values();
        (
            jobs().filter(|job| job.told_done.is_some()).count(),
            jobs().filter(|job| job.told_cancelled.is_some()).count(),
        )
    }
}
