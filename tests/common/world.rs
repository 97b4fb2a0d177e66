//! A model of everything around the controllers: state service, network, cloud, workers, users.
//!
//! The controllers' own parts (replica, role, cluster state, round, the handler of reports) run as they
//! are; what their actors do between them is played here step by step, in an order that a seed
//! draws. After every step the protocol's rules are checked as invariants.

#![allow(dead_code)]

#[path = "forwarding.rs"]
mod forwarding;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use actix_web::HttpResponse;
use futures_util::FutureExt;
use knotlanding::api::workers::{receive, Reception};
use knotlanding::cluster::{Cluster, Direct, Machine, RecordKind, ReportSource, Verified};
use knotlanding::config::{Peer, Settings, WorkerSettings};
use knotlanding::fleet::{self, Action, FleetView, IdlePolicy, Market, Offer};
use knotlanding::leader::{renew_every, Lead, OwnLease, LEASE_TIME_MIN};
use knotlanding::model::{Amount, JobId, JobSpec, MachineId, Shape, Term, Token, Verdict};
use knotlanding::sched::{self, Decisions, Short};
use knotlanding::service::Shared;
use knotlanding::store::keys::{self, JobRecord, LeaderRecord, LiveRecord, TermRecord};
use knotlanding::store::{
    to_value, Change, Condition, Event, Group, Outcome, Row, StoreError, Value,
};
use knotlanding::wire::{
    self, Cause, ListedMachine, Order, Redirect, Report, ReportAnswer, ReportedTask, TaskPhase,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::scene::builds;
pub use forwarding::BatchTrouble;
use forwarding::Forwarded;

/// Time of one step.
const STEP: f64 = 0.05;
/// A request to the state service without an answer by then has an unknown outcome.
const ANSWER_LIMIT: f64 = 1.5;
/// A worker gives an answer up.
const GIVES_UP: f64 = 4.0;
/// Machines that the cloud has of each type.
const CAPACITY: usize = 8;

/// What can go wrong.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The state service is out for all.
    StoreOut,
    /// It refuses whoever leads.
    RefuseLeader,
    /// Whoever leads gets no answer to what it reads; its renewals and writes get theirs.
    NoReads,
    /// Each of its answers takes up to that many seconds.
    StoreSlow(f64),
    /// That share of transactions gets no answer; carried out at once, or 2 to 12 s later.
    LateWrites { share: f64, at_once: bool },
    /// Of that share of reports a copy comes again, or is kept for the next leader.
    LateReports { share: f64, for_next: bool },
    /// Answers and commands to that share of the machines are lost.
    Deaf(f64),
    /// Reports of that share of the machines are lost.
    Mute(f64),
    /// That share of the machines hangs.
    Hang(f64),
    /// So many machines die.
    Die(usize),
    /// Whoever leads ends, and is back after that time.
    CrashLeader(f64),
    /// A follower ends, and is back after that time.
    CrashFollower(f64),
    /// All end, and are back after that time.
    CrashAll(f64),
    /// Whoever leads stands still.
    FreezeLeader,
    /// Whoever leads loses the workers.
    CutFromWorkers,
    /// Users call off so many jobs.
    CancelNow(usize),
    /// Jobs are called off as their last task ends, that share of them.
    CancelAtEnd(f64),
    /// Batches of forwarded reports are lost, held or doubled.
    Batches(BatchTrouble),
    /// A follower can't reach the leader; its workers and the state service reach both.
    CutFollower,
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub at: f64,
    pub lasts: f64,
    pub fault: Fault,
}

pub fn trouble(at: f64, lasts: f64, fault: Fault) -> Trouble {
    Trouble { at, lasts, fault }
}

#[derive(Clone, Debug)]
enum StoreRequest {
    Load,
    Read(u64),
    Grant,
    Renew(u64),
    End(u64),
    Multi(Group),
}

#[derive(Clone, Debug)]
enum StoreResponse {
    Rows(Vec<Row>, u64),
    Events(Vec<Event>, u64),
    Lease(u64),
    Fine,
    LeaseOver,
    Outcome(Outcome),
    Failed(StoreError),
}

/// Why a node asked.
#[derive(Clone, Debug)]
enum RequestPurpose {
    Load,
    Read,
    Poll(String),
    Grant,
    Elect(u64),
    Renew(u64),
    End,
    Write(RecordKind, Term),
    Submit(String),
    CancelRead(String),
    Cancel(String),
}

#[derive(Clone, Debug)]
enum Mail {
    ToStore(usize, u64, StoreRequest, RequestPurpose, f64),
    FromStore(usize, u64, StoreResponse, RequestPurpose, f64),
    /// Applied late, nobody waits for it.
    LateWrite(Group),
    Report(usize, Box<Report>, Option<u64>),
    Reply(
        String,
        u64,
        u64,
        u16,
        Option<String>,
        Option<(u64, Vec<Order>)>,
    ),
    Direct(usize, u64, String, u64, u64, Vec<Order>, Instant),
    DirectReply(usize, u64, Box<Report>, u64, Instant),
    Cancelled(usize, Vec<JobId>),
    Return(usize, u64, Vec<MachineId>),
    Returned(usize, u64, Vec<MachineId>),
    Rent(usize, u64, Offer, u32),
    Rented(usize, u64, Offer, Vec<String>),
    Boot(String, Offer),
    /// To a node: the bytes, the follower with its life, and the batch's number there.
    Batch(usize, Vec<u8>, usize, u64, u64),
    /// To a follower: its life, the batch's number, and the body or the status.
    BatchAnswer(usize, u64, u64, Result<Vec<u8>, u16>),
}

#[derive(Default)]
struct Store {
    revision: u64,
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    events: Vec<(u64, Event)>,
    leases: BTreeMap<u64, f64>,
    next_lease: u64,
}

impl Store {
    fn expire(&mut self, now: f64) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, until)| **until < now)
            .map(|(id, _)| *id)
            .collect();
        over.iter().for_each(|id| self.end(*id));
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.keys.iter().filter(|(_, k)| k.2 == Some(lease));
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if held.is_empty() {
            return;
        }
        self.revision += 1;
        for key in held {
            self.change(&Change::delete(key));
        }
    }

    fn change(&mut self, change: &Change) {
        let version = self.revision;
        let event = match change {
            Change::Put { key, value, lease } => {
                self.keys
                    .insert(key.clone(), (value.clone(), version, *lease));
                Event {
                    put: Some(key.clone()),
                    delete: None,
                    value: Some(value.clone()),
                    version,
                }
            }
            Change::Delete { key } => {
                if self.keys.remove(key).is_none() {
                    return;
                }
                Event {
                    put: None,
                    delete: Some(key.clone()),
                    value: None,
                    version,
                }
            }
        };
        self.events.push((version, event));
    }

    fn multi(&mut self, group: &Group) -> Outcome {
        let failed: Vec<String> = group
            .when
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |k| k.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        let revision = self.revision;
        if !failed.is_empty() {
            return Outcome::Conflict { failed, revision };
        }
        let leases = group.apply.iter().filter_map(|change| match change {
            Change::Put { lease, .. } => *lease,
            Change::Delete { .. } => None,
        });
        if leases.into_iter().any(|l| !self.leases.contains_key(&l)) {
            return Outcome::Failed(StoreError::LeaseOver);
        }
        self.revision += 1;
        group.apply.iter().for_each(|change| self.change(change));
        Outcome::Committed(self.revision)
    }
}

struct Node {
    name: String,
    shared: Arc<Shared>,
    life: u64,
    up: bool,
    back_at: f64,
    frozen_until: f64,
    loaded: bool,
    reading: bool,
    read_at: f64,
    elect_at: f64,
    electing: bool,
    renewing: bool,
    round_at: f64,
    round_due: Option<(Term, f64)>,
    rest_until: f64,
    fleet_at: f64,
    short: Vec<Short>,
    market: Market,
    held: Vec<Mail>,
    forwarded: Forwarded,
}

#[derive(Clone, Debug)]
struct Task {
    phase: TaskPhase,
    cause: Option<Cause>,
    until: f64,
    began: f64,
    missing_since: Option<f64>,
}

struct Worker {
    zone: String,
    build: String,
    spot: bool,
    session: u64,
    seq: u64,
    token: u64,
    base: f64,
    node: usize,
    next_report: f64,
    /// Number, session and time of the report under way.
    waits: Option<(u64, u64, f64)>,
    changed: bool,
    last_report: f64,
    rose_at: f64,
    hung_until: f64,
    deaf_until: f64,
    mute_until: f64,
    held: Vec<Mail>,
    tasks: BTreeMap<(String, u64), Task>,
}

struct Wanted {
    spec: JobSpec,
    run_s: f64,
    told_accepted: Option<f64>,
    asked_to_cancel: bool,
    told_cancelled: Option<f64>,
    told_done: Option<f64>,
    cancel_at_end: bool,
}

/// Everything.
pub struct World {
    rng: StdRng,
    pub t: f64,
    start: Instant,
    settings: Settings,
    policy: sched::Policy,
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
    /// Batches that followers sent.
    pub batches_sent: usize,
    /// Batches that were refused for their age.
    pub stale_batches: usize,
    /// Answers that followers passed on.
    pub passed_on: usize,
    kept: Vec<Report>,
    nodes: Vec<Node>,
    workers: BTreeMap<String, Worker>,
    machines_ever: usize,
    /// Gone machines that the list still shows, with the time until which it does.
    dead: BTreeMap<String, (Offer, f64)>,
    mail: Vec<(f64, u64, Mail)>,
    posted: u64,
    jobs: BTreeMap<String, Wanted>,
    completed: BTreeSet<String>,
    pub broken: Vec<String>,
    /// Starts of a task whose job's user had been told of its cancellation.
    pub started_cancelled: usize,
    /// Started tasks.
    pub starts: usize,
    pub take_overs: usize,
    pub kept_delivered: usize,
    /// The nodes refuse each other's connections.
    pub peers_refuse: bool,
    /// From then on there are no troubles, and nobody waits for nothing.
    pub calm_from: f64,
    /// Since when jobs wait though there is room for them.
    neglected: BTreeMap<String, f64>,
}

/// How long a job may wait while a machine that fits has room and its team is under its limit.
const WAIT_WITH_ROOM_MAX_S: f64 = 90.0;

fn task_parts(task: &str) -> (&str, u32) {
    let (job, index) = task.split_once('/').unwrap();
    (job, index.parse().unwrap())
}

impl World {
    pub fn new(seed: u64, text: &str) -> Self {
        let settings = Settings::parse(text, "a test").unwrap();
        let start = Instant::now();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            t: 0.0,
            start,
            policy: sched::Policy::new(&settings),
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
            take_overs: 0,
            kept_delivered: 0,
            // What peers tell only makes things faster; nothing may hang on it.
            peers_refuse: seed % 2 == 1,
            calm_from: f64::INFINITY,
            neglected: BTreeMap::new(),
            settings,
        };
        for number in 0..3 {
            let node = world.fresh_node(number, 1);
            world.nodes.push(node);
        }
        for at in 0..6 {
            let offer = Offer {
                build: if at % 2 == 0 { "cpu16" } else { "gpu2" }.to_owned(),
                zone: if at % 4 < 2 { "north" } else { "south" }.to_owned(),
                spot: false,
            };
            let name = world.new_name();
            world.boot(name, offer);
        }
        world
    }

    fn fresh_node(&self, number: usize, life: u64) -> Node {
        let mut settings = self.settings.clone();
        settings.member = format!("knot-{number}");
        let others = (0..3).filter(|other| *other != number);
        settings.known = others
            .map(|other| Peer {
                member: format!("knot-{other}"),
                area: "north".to_owned(),
                peer_addr: "127.0.0.1:9".parse().unwrap(),
            })
            .collect();
        let shared = Shared::new(settings);
        *shared.catalog.lock() = Some(Arc::new(builds()));
        Node {
            name: format!("knot-{number}"),
            shared,
            life,
            up: true,
            back_at: 0.0,
            frozen_until: 0.0,
            loaded: false,
            reading: false,
            read_at: self.t,
            elect_at: self.t,
            electing: false,
            renewing: false,
            round_at: self.t,
            round_due: None,
            rest_until: 0.0,
            fleet_at: self.t + 1.0,
            short: Vec::new(),
            market: Market::default(),
            held: Vec::new(),
            forwarded: Forwarded::default(),
        }
    }

    fn new_name(&mut self) -> String {
        self.machines_ever += 1;
        format!("m-{:06}", self.machines_ever)
    }

    fn boot(&mut self, name: String, offer: Offer) {
        let worker = Worker {
            zone: offer.zone,
            build: offer.build,
            spot: offer.spot,
            session: 1,
            seq: 0,
            token: 0,
            base: self.t,
            node: self.rng.random_range(0..3),
            next_report: self.t + self.rng.random_range(0.0..1.0),
            waits: None,
            changed: false,
            last_report: self.t,
            rose_at: -1000.0,
            hung_until: 0.0,
            deaf_until: 0.0,
            mute_until: 0.0,
            held: Vec::new(),
            tasks: BTreeMap::new(),
        };
        self.workers.insert(name, worker);
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_secs_f64(self.t)
    }

    fn wall(&self) -> SystemTime {
        crate::scene::wall() + Duration::from_secs_f64(self.t)
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

    fn break_rule(&mut self, rule: &str, what: String) {
        let line = format!("{:.2}s {rule}: {what}", self.t);
        if self.broken.len() < 20 {
            self.broken.push(line);
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |node: &Node| node.up && node.shared.role.lock().own_term().is_some();
        let mut leading: Vec<usize> = (0..3).filter(|n| leads(&self.nodes[*n])).collect();
        leading.sort_by_key(|n| self.nodes[*n].shared.role.lock().own_term());
        leading.pop()
    }

    fn some_node(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..3)
            .filter(|n| self.nodes[*n].up && self.nodes[*n].frozen_until <= self.t)
            .collect();
        (!up.is_empty()).then(|| up[self.rng.random_range(0..up.len())])
    }

    // Users.

    pub fn want(&mut self, spec: JobSpec, run_s: f64) {
        let id = spec.id.to_string();
        let (share, until) = self.cancel_at_end;
        let cancel_at_end = self.t < until && self.rng.random_bool(share);
        let wanted = Wanted {
            spec,
            run_s,
            told_accepted: None,
            asked_to_cancel: false,
            told_cancelled: None,
            told_done: None,
            cancel_at_end,
        };
        self.jobs.insert(id.clone(), wanted);
        self.submit(&id);
    }

    fn submit(&mut self, id: &str) {
        let Some(node) = self.some_node() else {
            return;
        };
        let job = JobRecord {
            verdict: Verdict::Accepted,
            tasks: self.jobs[id].spec.tasks,
            live: Some(LiveRecord {
                spec: self.jobs[id].spec.clone(),
                submitted_ms: self
                    .wall()
                    .duration_since(SystemTime::UNIX_EPOCH)
                    .unwrap()
                    .as_millis() as u64,
                started: false,
                hosts: None,
            }),
        };
        let key = keys::job(&JobId::parse(id).unwrap());
        let group = Group {
            when: vec![Condition::new(key.clone(), 0)],
            apply: vec![Change::put(key, to_value(&job))],
        };
        self.ask(
            node,
            StoreRequest::Multi(group),
            RequestPurpose::Submit(id.to_owned()),
        );
    }

    pub fn cancel(&mut self, id: &str) {
        let Some(node) = self.some_node().filter(|n| self.nodes[*n].loaded) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(id) {
            job.asked_to_cancel = true;
        }
        let after = self.nodes[node].shared.replica.lock().revision;
        self.ask(
            node,
            StoreRequest::Read(after),
            RequestPurpose::CancelRead(id.to_owned()),
        );
    }

    fn poll(&mut self, id: &str) {
        let Some(node) = self.some_node().filter(|n| self.nodes[*n].loaded) else {
            return;
        };
        let after = self.nodes[node].shared.replica.lock().revision;
        self.ask(
            node,
            StoreRequest::Read(after),
            RequestPurpose::Poll(id.to_owned()),
        );
    }

    /// Users' habits in one step.
    fn users(&mut self) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = &self.jobs[&id];
            let over = job.told_cancelled.is_some() || job.told_done.is_some();
            if job.told_accepted.is_none() && self.rng.random_bool(STEP) {
                self.submit(&id);
            } else if self.rng.random_bool(if over { 0.004 } else { STEP / 4.0 }) {
                self.poll(&id);
            }
            let job = &self.jobs[&id];
            let repeats = job.asked_to_cancel && !over && self.rng.random_bool(STEP);
            let begins = job.cancel_at_end && !job.asked_to_cancel && self.all_completed(&id);
            if repeats || begins {
                self.cancel(&id);
            }
        }
    }

    fn all_completed(&self, id: &str) -> bool {
        let tasks = self.jobs[id].spec.tasks;
        (0..tasks).all(|index| self.completed.contains(&format!("{id}/{index}")))
    }

    /// What a user is told, against all that anybody was told before the question was sent.
    fn told(&mut self, id: &str, sent: f64, verdict: Option<Verdict>) {
        let job = &self.jobs[id];
        let before = |at: Option<f64>| at.is_some_and(|at| at < sent);
        let fault = match verdict {
            None if before(job.told_accepted) => Some("forgotten"),
            Some(Verdict::Accepted | Verdict::Done) if before(job.told_cancelled) => {
                Some("went_back")
            }
            Some(Verdict::Accepted | Verdict::Cancelled) if before(job.told_done) => {
                Some("went_back")
            }
            Some(Verdict::Cancelled) if !job.asked_to_cancel => Some("went_back"),
            Some(Verdict::Done) if !self.all_completed(id) => Some("not_done"),
            _ => None,
        };
        if let Some(rule) = fault {
            self.break_rule(rule, format!("{id} {verdict:?}"));
        }
        let t = self.t;
        if let Some(job) = self.jobs.get_mut(id) {
            let at = match verdict {
                None => return,
                Some(Verdict::Accepted) => &mut job.told_accepted,
                Some(Verdict::Done) => &mut job.told_done,
                Some(Verdict::Cancelled) => &mut job.told_cancelled,
            };
            at.get_or_insert(t);
            job.told_accepted.get_or_insert(t);
        }
    }

    // The state service.

    fn ask(&mut self, node: usize, ask: StoreRequest, why: RequestPurpose) {
        let life = self.nodes[node].life;
        let sent = self.t;
        self.send(Mail::ToStore(node, life, ask, why, sent));
    }

    fn serve(&mut self, node: usize, life: u64, ask: StoreRequest, why: RequestPurpose, sent: f64) {
        let refused = self
            .refused
            .is_some_and(|(n, until)| n == node && self.t < until);
        let unread = self
            .no_reads
            .is_some_and(|(n, until)| n == node && self.t < until);
        if unread && matches!(ask, StoreRequest::Load | StoreRequest::Read(_)) {
            let left = (sent + ANSWER_LIMIT - self.t).max(0.0);
            let unknown = StoreResponse::Failed(StoreError::Unknown);
            self.post(left, Mail::FromStore(node, life, unknown, why, sent));
            return;
        }
        let answered = if self.t < self.out_until || refused {
            StoreResponse::Failed(StoreError::Refused(503))
        } else {
            self.store.expire(self.t);
            match ask {
                StoreRequest::Load => {
                    let rows = self
                        .store
                        .keys
                        .iter()
                        .map(|(key, (value, version, _))| Row {
                            key: key.clone(),
                            value: value.clone(),
                            version: *version,
                        });
                    StoreResponse::Rows(rows.collect(), self.store.revision)
                }
                StoreRequest::Read(after) => {
                    let new = self.store.events.iter().filter(|(at, _)| *at > after);
                    let new = new.map(|(_, event)| event.clone()).collect();
                    StoreResponse::Events(new, self.store.revision)
                }
                StoreRequest::Grant => {
                    self.store.next_lease += 1;
                    let id = self.store.next_lease;
                    self.store
                        .leases
                        .insert(id, self.t + LEASE_TIME_MIN.as_secs_f64());
                    StoreResponse::Lease(id)
                }
                StoreRequest::Renew(id) => match self.store.leases.get_mut(&id) {
                    Some(until) => {
                        *until = self.t + LEASE_TIME_MIN.as_secs_f64();
                        StoreResponse::Fine
                    }
                    None => StoreResponse::LeaseOver,
                },
                StoreRequest::End(id) => {
                    self.store.end(id);
                    StoreResponse::Fine
                }
                StoreRequest::Multi(group) => {
                    let (share, at_once, until) = self.late_writes;
                    if self.t < until && self.rng.random_bool(share) {
                        if at_once {
                            self.store.multi(&group);
                        } else {
                            let after = self.rng.random_range(2.0..12.0);
                            self.post(after, Mail::LateWrite(group));
                        }
                        let left = (sent + ANSWER_LIMIT - self.t).max(0.0);
                        let unknown = StoreResponse::Failed(StoreError::Unknown);
                        self.post(left, Mail::FromStore(node, life, unknown, why, sent));
                        return;
                    }
                    StoreResponse::Outcome(self.store.multi(&group))
                }
            }
        };
        let mut after = self.latency();
        let (most, until) = self.slow;
        if self.t < until {
            after += self.rng.random_range(0.0..most);
        }
        // Too late an answer counts as none.
        let left = (sent + ANSWER_LIMIT - self.t).max(0.0);
        if after > left {
            let unknown = StoreResponse::Failed(StoreError::Unknown);
            self.post(left, Mail::FromStore(node, life, unknown, why, sent));
        } else {
            self.post(after, Mail::FromStore(node, life, answered, why, sent));
        }
    }

    // The controllers.

    fn answered(&mut self, n: usize, answered: StoreResponse, why: RequestPurpose, sent: f64) {
        let now = self.instant();
        let sent_at = self.start + Duration::from_secs_f64(sent);
        let shared = self.nodes[n].shared.clone();
        let failed = match &answered {
            StoreResponse::Failed(error) => Some(error.clone()),
            StoreResponse::Outcome(Outcome::Failed(error)) => Some(error.clone()),
            _ => None,
        };
        if failed.as_ref().is_some_and(StoreError::contact_lost) {
            shared.role.lock().freshness().doubt(now);
        }
        match (&why, answered) {
            (RequestPurpose::Load, StoreResponse::Rows(rows, revision)) => {
                let news = shared.replica.lock().load(rows, revision);
                shared.tell(&news);
                shared.replica_complete(sent_at);
                self.nodes[n].loaded = true;
            }
            (
                RequestPurpose::Read | RequestPurpose::Poll(_) | RequestPurpose::CancelRead(_),
                StoreResponse::Events(events, revision),
            ) => {
                let news = shared.replica.lock().apply(&events, revision);
                shared.tell(&news);
                shared.replica_complete(sent_at);
            }
            (RequestPurpose::Grant, StoreResponse::Lease(id)) => {
                shared.role.lock().lease = Some(OwnLease {
                    id,
                    renewed: sent_at,
                });
                self.stand(n, id);
                return;
            }
            (RequestPurpose::Renew(id), StoreResponse::Fine) => {
                shared.role.lock().renewed(*id, sent_at)
            }
            (RequestPurpose::Renew(_), StoreResponse::LeaseOver) => self.step_down(n),
            (RequestPurpose::Write(kind, term), StoreResponse::Outcome(outcome)) => {
                self.written(n, kind, *term, &outcome);
            }
            (RequestPurpose::Write(kind, term), StoreResponse::Failed(error)) => {
                self.written(n, kind, *term, &Outcome::Failed(error));
            }
            (RequestPurpose::Submit(id), StoreResponse::Outcome(Outcome::Committed(_))) => {
                // The answer reaches the user a little later; by then others may know more.
                self.told(id, sent, Some(Verdict::Accepted));
            }
            (RequestPurpose::Submit(id), StoreResponse::Outcome(Outcome::Conflict { .. })) => {
                self.poll(id)
            }
            (RequestPurpose::Cancel(id), StoreResponse::Outcome(Outcome::Committed(_))) => {
                let job = JobId::parse(id).unwrap();
                shared.cancellation_recorded(&job);
                let jobs = std::mem::take(&mut *shared.cancelled.lock());
                let refuse = self.peers_refuse;
                for peer in (0..3).filter(|peer| *peer != n && !refuse) {
                    self.send(Mail::Cancelled(peer, jobs.clone()));
                }
                self.told(id, sent, Some(Verdict::Cancelled));
            }
            _ => {}
        }
        match why {
            RequestPurpose::Load | RequestPurpose::Read => self.nodes[n].reading = false,
            RequestPurpose::Renew(_) => self.nodes[n].renewing = false,
            RequestPurpose::Grant | RequestPurpose::Elect(_) => {
                self.nodes[n].electing = false;
                self.nodes[n].elect_at = self.t + self.rng.random_range(0.15..0.3);
            }
            RequestPurpose::Poll(id) if failed.is_none() => {
                let verdict = shared.replica.lock().verdict(&JobId::parse(&id).unwrap());
                let verdict = verdict.unwrap().map(|(verdict, _)| verdict);
                self.told(&id, sent, verdict);
            }
            RequestPurpose::CancelRead(id) if failed.is_none() => {
                self.write_cancellation(n, &id, sent)
            }
            _ => {}
        }
    }

    fn write_cancellation(&mut self, n: usize, id: &str, sent: f64) {
        let job = JobId::parse(id).unwrap();
        let shared = self.nodes[n].shared.clone();
        let (verdict, version, live) = {
            let replica = shared.replica.lock();
            let live = replica.live.get(&job).map(|live| live.record.clone());
            let verdict = replica.verdict(&job).unwrap().map(|(verdict, _)| verdict);
            (verdict, replica.job_version(&job), live)
        };
        if verdict != Some(Verdict::Accepted) {
            self.told(id, sent, verdict);
            return;
        }
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks: self.jobs[id].spec.tasks,
            live,
        };
        let group = Group {
            when: vec![Condition::new(keys::job(&job), version)],
            apply: vec![Change::put(keys::job(&job), to_value(&record))],
        };
        self.ask(
            n,
            StoreRequest::Multi(group),
            RequestPurpose::Cancel(id.to_owned()),
        );
    }

    /// The election's transaction under a lease just granted.
    fn stand(&mut self, n: usize, lease: u64) {
        let (term, version) = {
            let replica = self.nodes[n].shared.replica.lock();
            (Term(replica.term.record.0 + 1), replica.term.version)
        };
        let record = LeaderRecord {
            member: self.nodes[n].name.clone(),
            address: String::new(),
            term,
            lease,
        };
        let group = Group {
            when: vec![
                Condition::new(keys::LEADER, 0),
                Condition::new(keys::TERM, version),
            ],
            apply: vec![
                Change::Put {
                    key: keys::LEADER.to_owned(),
                    value: to_value(&record),
                    lease: Some(lease),
                },
                Change::put(keys::TERM, to_value(&TermRecord { term })),
            ],
        };
        self.ask(n, StoreRequest::Multi(group), RequestPurpose::Elect(lease));
    }

    fn step_down(&mut self, n: usize) {
        let shared = &self.nodes[n].shared;
        let mut role = shared.role.lock();
        role.lease = None;
        role.drop_lead();
        *shared.cluster.lock() = None;
    }

    fn leave_lease(&mut self, n: usize) {
        let lease = self.nodes[n].shared.role.lock().lease.map(|lease| lease.id);
        self.step_down(n);
        if let Some(lease) = lease {
            self.ask(n, StoreRequest::End(lease), RequestPurpose::End);
        }
    }

    fn elect(&mut self, n: usize) {
        let shared = self.nodes[n].shared.clone();
        let now = self.instant();
        let leader = shared.replica.lock().leader.clone();
        let Some(leader) = leader else {
            let stands_back = shared.role.lock().stands_back(now);
            if !self.nodes[n].electing && self.t >= self.nodes[n].elect_at && !stands_back {
                self.leave_lease(n);
                self.nodes[n].electing = true;
                self.ask(n, StoreRequest::Grant, RequestPurpose::Grant);
            }
            return;
        };
        if shared.role.lock().record_is_ours(&leader.record) {
            if shared.role.lock().own_term().is_none() {
                self.take_over(n, leader.record.term, leader.version);
            }
            if shared.role.lock().reads_nothing(now) {
                shared.role.lock().stand_back(now);
                self.leave_lease(n);
                return;
            }
            let lease = shared.role.lock().lease.unwrap();
            if !self.nodes[n].renewing && now >= lease.renewed + renew_every(LEASE_TIME_MIN) {
                self.nodes[n].renewing = true;
                self.ask(
                    n,
                    StoreRequest::Renew(lease.id),
                    RequestPurpose::Renew(lease.id),
                );
            }
            return;
        }
        if shared.role.lock().lease.is_some() && !self.nodes[n].electing {
            self.leave_lease(n);
        }
        let former = leader.record.member == self.nodes[n].name;
        if former && !self.nodes[n].electing && self.t >= self.nodes[n].elect_at {
            self.nodes[n].elect_at = self.t + 0.2;
            self.ask(
                n,
                StoreRequest::End(leader.record.lease),
                RequestPurpose::End,
            );
        }
    }

    fn take_over(&mut self, n: usize, term: Term, version: u64) {
        self.take_overs += 1;
        let shared = self.nodes[n].shared.clone();
        let catalog = shared.catalog.lock().clone().unwrap();
        let cluster = Cluster::take_over(
            term,
            &shared.settings,
            &shared.replica.lock(),
            catalog,
            self.instant(),
            self.wall(),
        );
        *shared.cluster.lock() = Some(cluster);
        shared.role.lock().take(Lead { term, version });
        // Copies that were kept for the next leader come to every node now.
        for report in std::mem::take(&mut self.kept) {
            for node in 0..3 {
                self.kept_delivered += 1;
                let after = self.rng.random_range(0.0..3.0);
                let report = Box::new(report.clone());
                self.post(after, Mail::Report(node, report, None));
            }
        }
    }

    fn written(&mut self, n: usize, kind: &RecordKind, term: Term, outcome: &Outcome) {
        if !outcome.committed() {
            self.nodes[n].rest_until = self.t + 0.4;
        }
        let shared = self.nodes[n].shared.clone();
        let mut guard = shared.cluster.lock();
        if let Some(cluster) = guard.as_mut().filter(|c| c.term == term) {
            cluster.written(kind, outcome);
        }
    }

    fn round(&mut self, n: usize) {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        let Some(lead) = shared.role.lock().leading(now) else {
            return;
        };
        let starting = shared.role.lock().starting(now).is_some();
        let due = self.nodes[n].round_due.replace((lead.term, self.t + 1.0));
        let direct = {
            let mut guard = shared.cluster.lock();
            let Some(cluster) = guard.as_mut().filter(|c| c.term == lead.term) else {
                return;
            };
            if let Some((_, due)) = due.filter(|(term, _)| *term == lead.term) {
                if self.t - due > 1.5 {
                    cluster.resume(Duration::from_secs_f64(self.t - due), now);
                }
            }
            cluster.expire(now);
            let decisions = if starting {
                sched::round(cluster, &self.policy, now)
            } else {
                Decisions::default()
            };
            sched::apply(cluster, &decisions, now);
            cluster.dirty = false;
            if starting {
                self.nodes[n].short = decisions.short;
            }
            cluster.direct_orders(now)
        };
        if self.t >= self.nodes[n].rest_until {
            let writes = {
                let replica = shared.replica.lock();
                let mut guard = shared.cluster.lock();
                guard.as_mut().unwrap().due_writes(&replica, now)
            };
            for mut write in writes {
                let condition = Condition::new(keys::LEADER, lead.version);
                write.group.when.push(condition);
                let why = RequestPurpose::Write(write.kind, lead.term);
                self.ask(n, StoreRequest::Multi(write.group), why);
            }
        }
        for Direct { machine, body, .. } in direct {
            let life = self.nodes[n].life;
            let machine = machine.0.to_string();
            let mail = Mail::Direct(n, life, machine, body.token, body.session, body.orders, now);
            if !self.cut_from_workers(n) {
                self.send(mail);
            }
        }
    }

    fn cut_from_workers(&self, n: usize) -> bool {
        self.cut
            .is_some_and(|(node, until)| node == n && self.t < until)
    }

    fn fleet(&mut self, n: usize) {
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        if shared.role.lock().leading(now).is_none() {
            return;
        }
        let list = self.list();
        let life = self.nodes[n].life;
        let actions = {
            let mut guard = shared.cluster.lock();
            let Some(cluster) = guard.as_mut() else {
                return;
            };
            cluster.listed(&list, now);
            let unheard = cluster.machines.values().any(Machine::expected);
            if unheard && now.saturating_duration_since(cluster.since) < Duration::from_secs(5) {
                return;
            }
            fleet::see_cuts(cluster, now);
            let actions = fleet::plan(&FleetView {
                cluster,
                policy: &self.policy,
                short: &self.nodes[n].short,
                market: &self.nodes[n].market,
                idle_policy: IdlePolicy::default(),
                now,
            });
            for action in &actions {
                if let Action::Return(ids, _) = action {
                    for id in ids {
                        if let Some(machine) = cluster.machines.get_mut(id) {
                            machine.returning = true;
                        }
                    }
                }
            }
            actions
        };
        for action in actions {
            match action {
                Action::Rent(offer, count) => self.send(Mail::Rent(n, life, offer, count)),
                Action::Return(ids, _) => self.send(Mail::Return(n, life, ids)),
            }
        }
    }

    fn list(&mut self) -> Vec<ListedMachine> {
        let t = self.t;
        self.dead.retain(|_, (_, until)| *until + 300.0 > t);
        let entry = |name: &String, build: &str, zone: &str, spot, status: &str| ListedMachine {
            id: name.clone(),
            address: "127.0.0.1:9".to_owned(),
            build: build.to_owned(),
            zone: zone.to_owned(),
            spot,
            status: status.to_owned(),
            age_s: 60.0,
        };
        let up = self.workers.iter();
        let up = up.map(|(name, w)| entry(name, &w.build, &w.zone, w.spot, "running"));
        let dead = self.dead.iter().map(|(name, (offer, until))| {
            let status = if *until > t { "running" } else { "failed" };
            entry(name, &offer.build, &offer.zone, offer.spot, status)
        });
        up.chain(dead).collect()
    }

    fn rent(&mut self, offer: &Offer, count: u32) -> Vec<String> {
        let has = self.workers.values().filter(|w| w.build == offer.build);
        let room = CAPACITY.saturating_sub(has.count()).min(count as usize);
        let names: Vec<String> = (0..room).map(|_| self.new_name()).collect();
        for name in &names {
            let after = self.rng.random_range(0.2..2.0);
            self.post(after, Mail::Boot(name.clone(), offer.clone()));
        }
        names
    }

    fn node(&mut self, n: usize) {
        if !self.nodes[n].up {
            if self.t >= self.nodes[n].back_at {
                let life = self.nodes[n].life + 1;
                self.nodes[n] = self.fresh_node(n, life);
            }
            return;
        }
        if self.nodes[n].frozen_until > self.t {
            return;
        }
        for mail in std::mem::take(&mut self.nodes[n].held) {
            self.deliver(mail);
        }
        let now = self.instant();
        let wants = self.nodes[n].shared.role.lock().wants_proof(now);
        let due = self.t >= self.nodes[n].read_at || wants;
        if !self.nodes[n].reading && due {
            self.nodes[n].reading = true;
            self.nodes[n].read_at = self.t + self.rng.random_range(0.2..1.2);
            if self.nodes[n].loaded {
                let after = self.nodes[n].shared.replica.lock().revision;
                self.ask(n, StoreRequest::Read(after), RequestPurpose::Read);
            } else {
                self.ask(n, StoreRequest::Load, RequestPurpose::Load);
            }
        }
        if self.nodes[n].loaded {
            self.elect(n);
        }
        self.forward(n);
        if self.t >= self.nodes[n].round_at {
            self.nodes[n].round_at = self.t + self.rng.random_range(0.15..0.6);
            self.round(n);
        }
        if self.t >= self.nodes[n].fleet_at {
            self.nodes[n].fleet_at = self.t + 1.0;
            self.fleet(n);
        }
    }

    // Workers.

    fn report_of(&mut self, name: &str) -> Box<Report> {
        let worker = self.workers.get_mut(name).unwrap();
        worker.seq += 1;
        let tasks = worker
            .tasks
            .iter()
            .map(|((task, attempt), state)| ReportedTask {
                task: task.clone(),
                attempt: *attempt,
                phase: state.phase,
                cause: state.cause,
                saved: None,
            });
        Box::new(Report {
            machine: name.to_owned(),
            address: "127.0.0.1:9".to_owned(),
            build: worker.build.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            session: worker.session,
            seq: worker.seq,
            token: worker.token,
            notice_s: None,
            tasks: tasks.collect(),
        })
    }

    fn worker(&mut self, name: &str) {
        let timing = self.timing();
        let t = self.t;
        let worker = self.workers.get_mut(name).unwrap();
        if worker.hung_until > t {
            return;
        }
        if t - worker.base > timing.lease_s {
            worker.session += 1;
            worker.base = t;
            worker.tasks.clear();
            worker.waits = None;
            worker.changed = true;
        }
        for mail in std::mem::take(&mut worker.held) {
            self.deliver(mail);
        }
        self.progress(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some((_, _, sent)) = worker.waits {
            if t - sent > GIVES_UP {
                worker.waits = None;
                worker.node = (worker.node + 1) % 3;
                worker.next_report = t + 1.0;
            }
            return;
        }
        let due = t >= worker.next_report || (worker.changed && t - worker.last_report > 0.5);
        if !due {
            return;
        }
        worker.changed = false;
        worker.last_report = t;
        worker.waits = Some((worker.seq + 1, worker.session, t));
        let (node, mute) = (worker.node, worker.mute_until > t);
        let every = timing.report_s * self.rng.random_range(0.75..1.25);
        self.workers.get_mut(name).unwrap().next_report = t + every;
        let report = self.report_of(name);
        if !mute {
            let (share, for_next, until) = self.late_reports;
            if t < until && self.rng.random_bool(share) {
                if for_next {
                    self.kept.push((*report).clone());
                } else {
                    let after = self.rng.random_range(2.0..timing.lease_s * 2.0);
                    self.post(after, Mail::Report(node, report.clone(), None));
                }
            }
            let number = report.seq;
            self.send(Mail::Report(node, report, Some(number)));
        }
    }

    /// Tasks go on, and gangs.
    fn progress(&mut self, name: &str) {
        let t = self.t;
        let timing = self.timing();
        let keys: Vec<(String, u64)> = self.workers[name].tasks.keys().cloned().collect();
        for key in keys {
            let state = self.workers[name].tasks[&key].clone();
            let (job, _) = task_parts(&key.0);
            let gang = self
                .jobs
                .get(job)
                .is_some_and(|j| j.spec.shape == Shape::Gang);
            let next = match state.phase {
                TaskPhase::Pulling if t >= state.until => {
                    self.starts_on(name, &key.0);
                    if self.completed.contains(&key.0) {
                        Some((TaskPhase::Exited, Some(Cause::Done)))
                    } else if gang {
                        Some((TaskPhase::Gathering, None))
                    } else {
                        Some((TaskPhase::Running, None))
                    }
                }
                TaskPhase::Gathering if self.gathered(&key) => Some((TaskPhase::Running, None)),
                TaskPhase::Gathering if t - state.began > timing.gang_wait_s => {
                    Some((TaskPhase::Exited, Some(Cause::Alone)))
                }
                TaskPhase::Running if gang && self.gang_done(&key) => {
                    Some((TaskPhase::Exited, Some(Cause::Done)))
                }
                TaskPhase::Running if gang && !self.gang_whole(&key) => {
                    let since = *self.task(name, &key).missing_since.get_or_insert(t);
                    (t - since > timing.gang_peer_s)
                        .then_some((TaskPhase::Exited, Some(Cause::MatesGone)))
                }
                TaskPhase::Running if !gang && t - state.began > self.jobs[job].run_s => {
                    Some((TaskPhase::Exited, Some(Cause::Done)))
                }
                TaskPhase::Flushing if t >= state.until => {
                    Some((TaskPhase::Exited, Some(Cause::Stopped)))
                }
                _ => None,
            };
            if let Some((phase, cause)) = next {
                let state = self.task(name, &key);
                state.phase = phase;
                state.cause = cause;
                state.began = t;
                let worker = self.workers.get_mut(name).unwrap();
                worker.changed = true;
                if cause == Some(Cause::Done) {
                    self.completed.insert(key.0.clone());
                }
            }
        }
    }

    fn task(&mut self, name: &str, key: &(String, u64)) -> &mut Task {
        let worker = self.workers.get_mut(name).unwrap();
        worker.tasks.get_mut(key).unwrap()
    }

    /// The phases of a gang's attempt on machines that go on.
    fn members(&self, key: &(String, u64)) -> Vec<(&Task, bool)> {
        let (job, _) = task_parts(&key.0);
        let mut members = Vec::new();
        for worker in self.workers.values() {
            for ((task, attempt), state) in &worker.tasks {
                if *attempt == key.1 && task_parts(task).0 == job {
                    members.push((state, worker.hung_until > self.t));
                }
            }
        }
        members
    }

    fn gang_size(&self, key: &(String, u64)) -> usize {
        let (job, _) = task_parts(&key.0);
        self.jobs[job].spec.tasks as usize
    }

    fn gathered(&self, key: &(String, u64)) -> bool {
        let ready = self.members(key).into_iter().filter(|(task, hung)| {
            !hung
                && (matches!(task.phase, TaskPhase::Gathering | TaskPhase::Running)
                    || task.cause == Some(Cause::Done))
        });
        ready.count() >= self.gang_size(key)
    }

    fn gang_whole(&self, key: &(String, u64)) -> bool {
        let there = self.members(key).into_iter().filter(|(task, hung)| {
            !hung && (task.phase == TaskPhase::Running || task.cause == Some(Cause::Done))
        });
        there.count() >= self.gang_size(key)
    }

    fn gang_done(&self, key: &(String, u64)) -> bool {
        let (job, _) = task_parts(&key.0);
        let run_s = self.jobs[job].run_s;
        let members = self.members(key);
        let any = members
            .iter()
            .any(|(task, _)| task.cause == Some(Cause::Done));
        let ran = |task: &Task| task.phase == TaskPhase::Running && self.t - task.began > run_s;
        any || (self.gang_whole(key) && members.iter().all(|(task, _)| ran(task)))
    }

    /// A task is on its machine from now on: the rules about where.
    fn starts_on(&mut self, name: &str, task: &str) {
        self.starts += 1;
        let (job, _) = task_parts(task);
        let elsewhere = self.workers.iter().find(|(other, worker)| {
            let on = |((at, _), state): (&(String, u64), &Task)| at == task && on_machine(state);
            *other != name && self.goes_on(worker) && worker.tasks.iter().any(on)
        });
        if let Some((other, _)) = elsewhere {
            let what = format!("{task} on {other} and {name}");
            self.break_rule("ran_twice", what);
        }
        let spec = self.jobs[job].spec.clone();
        let (build, zone) = {
            let worker = &self.workers[name];
            (worker.build.clone(), worker.zone.clone())
        };
        if spec.builds.as_ref().is_some_and(|b| !b.contains(&build)) {
            self.break_rule("wrong_place", format!("{task} on {build}"));
        }
        let mut zones: Vec<String> = Vec::new();
        for (other, worker) in &self.workers {
            let on = |((at, _), state): (&(String, u64), &Task)| {
                task_parts(at).0 == job && on_machine(state)
            };
            if other != name && self.goes_on(worker) && worker.tasks.iter().any(on) {
                zones.push(worker.zone.clone());
            }
        }
        if spec.one_zone && zones.iter().any(|other| *other != zone) {
            self.break_rule(
                "wrong_place",
                format!("{task} in {zone}, others in {zones:?}"),
            );
        }
        if self.jobs[job].told_cancelled.is_some() {
            self.started_cancelled += 1;
        }
    }

    /// Whether its tasks may go on: one that hangs beyond its lease kills them when it wakes up.
    fn goes_on(&self, worker: &Worker) -> bool {
        let lease_s = self.settings.params.workers.lease_s;
        worker.hung_until <= self.t || self.t - worker.base <= lease_s
    }

    fn obey(&mut self, name: &str, orders: &[Order]) {
        let t = self.t;
        for order in orders {
            match order {
                Order::Run { task, attempt } => {
                    // Some machines have the image.
                    let until = t + [0.0, 0.3, 4.0][self.rng.random_range(0..3)];
                    let worker = self.workers.get_mut(name).unwrap();
                    if worker.tasks.contains_key(&(task.clone(), *attempt)) {
                        continue;
                    }
                    let other = |(at, state): (&(String, u64), &Task)| {
                        at.0 == *task && state.phase != TaskPhase::Exited
                    };
                    let refused = worker.tasks.iter().any(other);
                    worker.changed = true;
                    worker.tasks.insert(
                        (task.clone(), *attempt),
                        Task {
                            phase: if refused {
                                TaskPhase::Exited
                            } else {
                                TaskPhase::Pulling
                            },
                            cause: refused.then_some(Cause::InUse),
                            until,
                            began: t,
                            missing_since: None,
                        },
                    );
                }
                Order::Kill {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let worker = self.workers.get_mut(name).unwrap();
                    let key = (task.clone(), *attempt);
                    let Some(state) = worker.tasks.get_mut(&key) else {
                        continue;
                    };
                    if state.phase == TaskPhase::Running && *grace_s > 0.0 {
                        state.phase = TaskPhase::Flushing;
                        state.until = t + 1.0;
                    } else if state.phase != TaskPhase::Exited {
                        state.phase = TaskPhase::Exited;
                        state.cause = Some(Cause::Stopped);
                    }
                    worker.changed = true;
                }
                Order::Clear { task, attempt } => {
                    let worker = self.workers.get_mut(name).unwrap();
                    let key = (task.clone(), *attempt);
                    let exited = worker.tasks.get(&key);
                    if exited.is_some_and(|state| state.phase == TaskPhase::Exited) {
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    fn reply(
        &mut self,
        name: &str,
        (session, number, status): (u64, u64, u16),
        redirect: Option<String>,
        body: Option<(u64, Vec<Order>)>,
    ) {
        let t = self.t;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((waits, _, sent)) = worker.waits else {
            return;
        };
        if waits != number || worker.session != session || t - sent > GIVES_UP {
            return;
        }
        worker.waits = None;
        match (status, body) {
            (200, Some((token, orders))) => {
                if token < worker.token {
                    return;
                }
                worker.base = sent;
                worker.token = token;
                self.obey(name, &orders);
            }
            (421, _) => {
                let to = redirect.and_then(|member| {
                    let mut nodes = self.nodes.iter();
                    nodes.position(|node| node.name == member)
                });
                match to.filter(|to| *to != worker.node) {
                    Some(to) => {
                        worker.node = to;
                        worker.next_report = t + 0.2;
                    }
                    None => {
                        worker.node = (worker.node + 1) % 3;
                        worker.next_report = t + 1.0;
                    }
                }
            }
            _ => {
                worker.node = (worker.node + 1) % 3;
                worker.next_report = t + 1.0;
            }
        }
    }

    /// Sends a node's answer to the worker that waits for it.
    fn answer_worker(&mut self, name: &str, (session, number): (u64, u64), answer: HttpResponse) {
        let status = answer.status().as_u16();
        let body = actix_web::body::to_bytes(answer.into_body());
        let body = body.now_or_never().unwrap().unwrap();
        let redirect = (status == 421).then(|| {
            let redirect: Redirect = wire::decode(&body).unwrap();
            redirect.report_to
        });
        let redirect = redirect.flatten();
        let told = (status == 200).then(|| {
            let answer: ReportAnswer = wire::decode(&body).unwrap();
            (answer.token, answer.orders)
        });
        let t = self.t;
        let deaf = |w: &Worker| w.deaf_until > t;
        if !self.workers.get(name).is_some_and(deaf) {
            let name = name.to_owned();
            self.send(Mail::Reply(name, session, number, status, redirect, told));
        }
    }

    // Time goes on.

    fn deliver(&mut self, mail: Mail) {
        let t = self.t;
        match mail {
            Mail::ToStore(n, life, ask, why, sent) => self.serve(n, life, ask, why, sent),
            Mail::LateWrite(group) => {
                if t < self.out_until {
                    self.post(1.0, Mail::LateWrite(group));
                } else {
                    self.store.expire(t);
                    self.store.multi(&group);
                }
            }
            Mail::FromStore(n, life, answered, why, sent) => {
                if self.at_node(n, Some(life), || {
                    Mail::FromStore(n, life, answered.clone(), why.clone(), sent)
                }) {
                    self.answered(n, answered, why, sent);
                }
            }
            Mail::Cancelled(n, jobs) => {
                if self.at_node(n, None, || Mail::Cancelled(n, jobs.clone())) {
                    self.nodes[n].shared.cancel_tasks(&jobs);
                }
            }
            Mail::Report(n, report, number) => {
                if self.cut_from_workers(n) {
                    return;
                }
                if !self.at_node(n, None, || Mail::Report(n, report.clone(), number)) {
                    return;
                }
                let now = self.instant();
                let body = wire::encode(&*report);
                let received = receive(&self.nodes[n].shared, Ok(body.into()), &|| now);
                let (name, session) = (report.machine.clone(), report.session);
                match (received, number) {
                    (Reception::Answered(answer), Some(number)) => {
                        self.answer_worker(&name, (session, number), answer);
                    }
                    (Reception::Forwarded(pending), Some(number)) => {
                        self.wait_for_leader(n, pending, (name, session, number));
                    }
                    // A copy: it is forwarded as any report, and nobody waits for its answer.
                    (Reception::Forwarded(pending), None) => {
                        self.wait_for_leader(n, pending, (name, session, 0));
                    }
                    (Reception::Answered(_), None) => {}
                }
            }
            Mail::Batch(to, bytes, from, life, id) => {
                let again = || Mail::Batch(to, bytes.clone(), from, life, id);
                if self.at_node(to, None, again) {
                    self.batch_arrives(to, &bytes, (from, life, id));
                }
            }
            Mail::BatchAnswer(n, life, id, answer) => {
                let again = || Mail::BatchAnswer(n, life, id, answer.clone());
                if self.at_node(n, Some(life), again) {
                    self.batch_answered(n, id, answer);
                }
            }
            Mail::Reply(name, session, number, status, redirect, told) => {
                let hung = |w: &Worker| w.hung_until > t;
                if self.workers.get(&name).is_some_and(hung) {
                    return;
                }
                self.reply(&name, (session, number, status), redirect, told);
            }
            Mail::Direct(n, life, name, token, session, orders, asked) => {
                let Some(worker) = self.workers.get_mut(&name) else {
                    return;
                };
                if worker.deaf_until > t {
                    return;
                }
                if worker.hung_until > t {
                    let mail = Mail::Direct(n, life, name, token, session, orders, asked);
                    worker.held.push(mail);
                    return;
                }
                let obeys = token >= worker.token && session == worker.session;
                if obeys {
                    // Heeded once in half a lease.
                    let heeds = t - worker.rose_at > self.settings.params.workers.lease_s / 2.0;
                    if token > worker.token && heeds {
                        worker.rose_at = t;
                        worker.changed = true;
                    }
                    worker.token = token;
                    self.obey(&name, &orders);
                }
                let report = self.report_of(&name);
                self.send(Mail::DirectReply(n, life, report, token, asked));
            }
            Mail::DirectReply(n, life, report, token, asked) => {
                if !self.at_node(n, Some(life), || {
                    Mail::DirectReply(n, life, report.clone(), token, asked)
                }) {
                    return;
                }
                let now = self.instant();
                let late = now.saturating_duration_since(asked) > Duration::from_secs(2);
                let shared = self.nodes[n].shared.clone();
                let mut guard = shared.cluster.lock();
                let term = Token(token).term();
                if let Some(cluster) = guard.as_mut().filter(|c| c.term == term && !late) {
                    let verified = cluster.report(&report, ReportSource::Command(asked), now);
                    assert_ne!(verified, Verified::Deposed, "ours was executed or refused");
                }
            }
            Mail::Return(n, life, ids) => {
                for id in &ids {
                    self.workers.remove(&*id.0);
                    self.dead.remove(&*id.0);
                }
                self.send(Mail::Returned(n, life, ids));
            }
            Mail::Returned(n, life, ids) => {
                if self.at_node(n, Some(life), || Mail::Returned(n, life, ids.clone())) {
                    self.nodes[n].shared.machine_gone(&ids);
                }
            }
            Mail::Rent(n, life, offer, count) => {
                let names = self.rent(&offer, count);
                self.send(Mail::Rented(n, life, offer, names));
            }
            Mail::Rented(n, life, offer, names) => {
                if !self.at_node(n, Some(life), || {
                    Mail::Rented(n, life, offer.clone(), names.clone())
                }) {
                    return;
                }
                let now = self.instant();
                let shared = self.nodes[n].shared.clone();
                if let Some(cluster) = shared.cluster.lock().as_mut() {
                    cluster.hired(&names, &offer, now);
                }
                if names.is_empty() {
                    self.nodes[n].market.exhausted(&offer, now);
                }
            }
            Mail::Boot(name, offer) => self.boot(name, offer),
        }
    }

    /// Whether what came for a node is taken now; held while it stands still, lost with its life.
    fn at_node(&mut self, n: usize, life: Option<u64>, again: impl Fn() -> Mail) -> bool {
        let node = &mut self.nodes[n];
        if !node.up || life.is_some_and(|life| life != node.life) {
            return false;
        }
        if node.frozen_until > self.t {
            node.held.push(again());
            return false;
        }
        true
    }

    fn some_workers(&mut self, share: f64) -> Vec<String> {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let drawn = names.into_iter().filter(|_| self.rng.random_bool(share));
        drawn.collect()
    }

    fn begin(&mut self, trouble: &Trouble) {
        let until = self.t + trouble.lasts;
        match trouble.fault.clone() {
            Fault::StoreOut => {
                self.out_until = until;
                // Every lease has its full time again afterwards.
                let full = until + LEASE_TIME_MIN.as_secs_f64();
                self.store.leases.values_mut().for_each(|at| *at = full);
            }
            Fault::RefuseLeader => self.refused = self.leader().map(|n| (n, until)),
            Fault::NoReads => self.no_reads = self.leader().map(|n| (n, until)),
            Fault::StoreSlow(most) => self.slow = (most, until),
            Fault::LateWrites { share, at_once } => self.late_writes = (share, at_once, until),
            Fault::LateReports { share, for_next } => self.late_reports = (share, for_next, until),
            Fault::Deaf(share) => {
                for name in self.some_workers(share) {
                    self.workers.get_mut(&name).unwrap().deaf_until = until;
                }
            }
            Fault::Mute(share) => {
                for name in self.some_workers(share) {
                    self.workers.get_mut(&name).unwrap().mute_until = until;
                }
            }
            Fault::Hang(share) => {
                for name in self.some_workers(share) {
                    self.workers.get_mut(&name).unwrap().hung_until = until;
                }
            }
            Fault::Die(count) => {
                for _ in 0..count {
                    let names: Vec<String> = self.workers.keys().cloned().collect();
                    if names.is_empty() {
                        return;
                    }
                    let name = &names[self.rng.random_range(0..names.len())];
                    let worker = self.workers.remove(name).unwrap();
                    let offer = Offer {
                        build: worker.build,
                        zone: worker.zone,
                        spot: worker.spot,
                    };
                    self.dead.insert(name.clone(), (offer, self.t + 30.0));
                }
            }
            Fault::CrashLeader(away) => {
                if let Some(n) = self.leader() {
                    self.nodes[n].up = false;
                    self.nodes[n].back_at = self.t + away;
                }
            }
            Fault::CrashFollower(away) => {
                let leader = self.leader();
                if let Some(n) = (0..3).find(|n| Some(*n) != leader) {
                    self.nodes[n].up = false;
                    self.nodes[n].back_at = self.t + away;
                }
            }
            Fault::CrashAll(away) => {
                for node in &mut self.nodes {
                    node.up = false;
                    node.back_at = self.t + away;
                }
            }
            Fault::FreezeLeader => {
                if let Some(n) = self.leader() {
                    self.nodes[n].frozen_until = until;
                }
            }
            Fault::Batches(kinds) => self.batch_trouble = (kinds, until),
            Fault::CutFollower => {
                let leader = self.leader();
                let follower = (0..3).find(|n| Some(*n) != leader);
                self.cut_follower = follower.map(|n| (n, until));
            }
            Fault::CutFromWorkers => self.cut = self.leader().map(|n| (n, until)),
            Fault::CancelNow(count) => {
                let open = self.jobs.iter().filter(|(_, job)| {
                    job.told_accepted.is_some() && !job.asked_to_cancel && job.told_done.is_none()
                });
                let ids: Vec<String> = open.map(|(id, _)| id.clone()).collect();
                for _ in 0..count.min(ids.len()) {
                    let id = ids[self.rng.random_range(0..ids.len())].clone();
                    self.cancel(&id);
                }
            }
            Fault::CancelAtEnd(share) => {
                self.cancel_at_end = (share, until);
                let ids: Vec<String> = self.jobs.keys().cloned().collect();
                for id in ids {
                    let drawn = self.rng.random_bool(share);
                    self.jobs.get_mut(&id).unwrap().cancel_at_end |= drawn;
                }
            }
        }
    }

    /// What must hold at every moment.
    fn check(&mut self) {
        let cancel_s = self.timing().cancel_s;
        let mut broken = Vec::new();
        let mut used: HashMap<String, Amount> = HashMap::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| self.goes_on(w)) {
            for ((task, _), state) in &worker.tasks {
                let (job, _) = task_parts(task);
                let Some(job) = self.jobs.get(job).filter(|_| on_machine(state)) else {
                    continue;
                };
                let sum = used.entry(job.spec.team.clone()).or_default();
                sum.add(&job.spec.need);
                let late = job.told_cancelled.is_some_and(|at| self.t > at + cancel_s);
                if late && worker.hung_until <= self.t {
                    broken.push(("ran_cancelled", format!("{task} on {name}")));
                }
            }
        }
        for (team, sum) in used {
            if !self.policy.within_limit(&team, &sum) {
                broken.push(("quota", format!("{team} uses {sum:?}")));
            }
        }
        for (rule, what) in broken {
            self.break_rule(rule, what);
        }
    }

    /// Whether tasks of the job wait while there is room for them.
    fn waits_in_vain(&self, id: &str) -> bool {
        let job = &self.jobs[id];
        let over = job.told_done.is_some() || job.asked_to_cancel;
        if job.told_accepted.is_none() || over {
            return false;
        }
        let placed = |task: &str| {
            let on = |((at, _), state): (&(String, u64), &Task)| {
                at == task && state.phase != TaskPhase::Exited
            };
            self.workers.values().any(|w| w.tasks.iter().any(on))
        };
        let tasks = (0..job.spec.tasks).map(|index| format!("{id}/{index}"));
        let waiting = tasks.filter(|task| !self.completed.contains(task) && !placed(task));
        let waiting = waiting.count() as u32;
        if waiting == 0 {
            return false;
        }
        let gang = job.spec.shape == Shape::Gang;
        if gang && waiting < job.spec.tasks {
            // The rest of it has to stop first.
            return false;
        }
        let wanted = if gang { waiting } else { 1 };
        let mut used = job.spec.need.times(wanted);
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let mut taken = job.spec.need;
            for ((task, _), state) in &worker.tasks {
                let other = &self.jobs[task_parts(task).0].spec;
                if state.phase != TaskPhase::Exited {
                    taken.add(&other.need);
                    if other.team == job.spec.team {
                        used.add(&other.need);
                    }
                }
            }
            let build = builds().into_iter().find(|b| b.name == worker.build);
            if build.is_some_and(|build| taken.fits(&build.room)) {
                *zones.entry(&worker.zone).or_default() += 1;
            }
        }
        let room = zones.values().any(|count| *count >= wanted);
        // An array bound to one zone has room where its other tasks are, or anywhere without any.
        let bound = job.spec.one_zone && !gang && waiting < job.spec.tasks;
        room && !bound && self.policy.within_limit(&job.spec.team, &used)
    }

    /// Nobody waits for nothing once the troubles are over.
    fn check_waits(&mut self) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            if !self.waits_in_vain(&id) {
                self.neglected.remove(&id);
                continue;
            }
            let t = self.t;
            let since = *self.neglected.entry(id.clone()).or_insert(t);
            if t - since > WAIT_WITH_ROOM_MAX_S {
                self.break_rule("neglected", id);
            }
        }
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
        self.workers.values().map(|w| w.session - 1).sum()
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
                    cluster.unsettled
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

fn on_machine(task: &Task) -> bool {
    matches!(
        task.phase,
        TaskPhase::Gathering | TaskPhase::Running | TaskPhase::Flushing
    )
}
