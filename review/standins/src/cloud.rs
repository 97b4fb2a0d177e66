//! The cloud and the workers on its machines, as the protocol's page describes them. Only arrays are run.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use knotlanding_testbed::message::{decode, encode, field, number, respond, text};
use rand::Rng;
use tokio::sync::Notify;

use crate::nodes::{LEASE_S, REPORT_S};
use crate::record::Record;

/// Cores of a `heavybid` and of a `lightbid` machine.
const HEAVYBID_CORES: f64 = 32.0;
const LIGHTBID_CORES: f64 = 8.0;
const LIST_LAG: Duration = Duration::from_secs(4);
const RESPONSE_LIMIT: Duration = Duration::from_secs(4);
const PULL: Duration = Duration::from_millis(100);
const REPORT_PAUSE_MIN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Pulling(Instant),
    Running(Instant),
    Done,
    Stopped,
}

struct Task {
    id: String,
    attempt: u64,
    phase: Phase,
}

struct WorkerState {
    alive: bool,
    /// Whether it has booted.
    up: bool,
    /// Jobs of which it got a start.
    seen: BTreeSet<String>,
    tenure: u64,
    tally: u64,
    baton: u64,
    baton_change_at: Option<Instant>,
    /// The node to which it reports.
    node: usize,
    renewed_at: Instant,
    tasks: Vec<Task>,
}

struct Worker {
    host: String,
    address: String,
    build: String,
    yard: String,
    rented_at: Instant,
    nodes: Vec<String>,
    run_time: Arc<Mutex<Duration>>,
    /// Tasks of jobs named here end at this time instead.
    ends: Arc<Mutex<BTreeMap<String, Instant>>>,
    record: Record,
    change: Notify,
    state: Mutex<WorkerState>,
}

impl Worker {
    fn pass_time(&self, state: &mut WorkerState) {
        let now = Instant::now();
        if now.duration_since(state.renewed_at).as_secs_f64() > LEASE_S {
            self.record.line(format!(
                "{}: lease over, session {} ends",
                self.host, state.tenure
            ));
            state.tasks.clear();
            state.tenure += 1;
            state.renewed_at = now;
        }
        let run_time = *self.run_time.lock().unwrap();
        let ends = self.ends.lock().unwrap();
        for task in &mut state.tasks {
            if let Phase::Pulling(since) = task.phase {
                if now.duration_since(since) >= PULL {
                    self.record.line(format!(
                        "{}: {} try {} starts",
                        self.host, task.id, task.attempt
                    ));
                    task.phase = Phase::Running(now);
                    self.change.notify_one();
                }
            }
            if let Phase::Running(since) = task.phase {
                let job = task.id.split('/').next().unwrap_or_default();
                let end = ends.get(job).copied().unwrap_or(since + run_time);
                if now >= end {
                    self.record.line(format!(
                        "{}: {} try {} done",
                        self.host, task.id, task.attempt
                    ));
                    task.phase = Phase::Done;
                    self.change.notify_one();
                }
            }
        }
    }

    fn report(&self) -> Value {
        let mut state = self.state.lock().unwrap();
        self.pass_time(&mut state);
        state.tally += 1;
        let tasks: Vec<Value> = state.tasks.iter().map(status).collect();
        cbor!({
            "host" => self.host, "address" => self.address, "build" => self.build,
            "yard" => self.yard, "loaners" => false, "tenure" => state.tenure,
            "tally" => state.tally, "baton" => state.baton, "recallS" => null, "strands" => tasks
        })
        .unwrap()
    }

    fn raise_baton(&self, state: &mut WorkerState, baton: u64) {
        if baton <= state.baton {
            return;
        }
        state.baton = baton;
        let half_lease = Duration::from_secs_f64(LEASE_S / 2.0);
        if state
            .baton_change_at
            .is_none_or(|at| at.elapsed() >= half_lease)
        {
            state.baton_change_at = Some(Instant::now());
            self.change.notify_one();
        }
    }

    fn execute(&self, state: &mut WorkerState, body: &Value) {
        let orders = field(body, "orders")
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default();
        for order in &orders {
            let (id, attempt) = (text(order, "strand"), number(order, "try"));
            let known = state
                .tasks
                .iter()
                .position(|t| t.id == id && t.attempt == attempt);
            let verb = text(order, "verb");
            match (verb.as_str(), known) {
                ("run", None) => {
                    self.record
                        .line(format!("{}: run {id} try {attempt}", self.host));
                    state
                        .seen
                        .insert(id.split('/').next().unwrap_or_default().to_owned());
                    let phase = Phase::Pulling(Instant::now());
                    state.tasks.push(Task { id, attempt, phase });
                }
                ("kill", Some(at))
                    if matches!(state.tasks[at].phase, Phase::Pulling(_) | Phase::Running(_)) =>
                {
                    self.record
                        .line(format!("{}: kill {id} try {attempt}", self.host));
                    state.tasks[at].phase = Phase::Stopped;
                }
                ("clear", Some(at))
                    if matches!(state.tasks[at].phase, Phase::Done | Phase::Stopped) =>
                {
                    state.tasks.remove(at);
                }
                _ => continue,
            }
            self.change.notify_one();
        }
    }

    /// Handles a 200 to a report that was sent at `sent_at` in session `tenure`.
    fn accept(&self, sent_at: Instant, tenure: u64, body: &Value) {
        let mut state = self.state.lock().unwrap();
        self.pass_time(&mut state);
        let baton = number(body, "baton");
        if tenure != state.tenure || baton < state.baton || sent_at.elapsed() > RESPONSE_LIMIT {
            return;
        }
        self.raise_baton(&mut state, baton);
        state.renewed_at = sent_at;
        self.execute(&mut state, body);
    }

    fn is_alive(&self) -> bool {
        self.state.lock().unwrap().alive
    }
}

fn status(task: &Task) -> Value {
    let (id, attempt) = (task.id.as_str(), task.attempt);
    let value = match task.phase {
        Phase::Pulling(_) => cbor!({"strand" => id, "try" => attempt, "status" => "pulling"}),
        Phase::Running(_) => cbor!({"strand" => id, "try" => attempt, "status" => "running"}),
        Phase::Done => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "done"})
        }
        Phase::Stopped => {
            cbor!({"strand" => id, "try" => attempt, "status" => "exited", "cause" => "stopped"})
        }
    };
    value.unwrap()
}

/// Sends reports, one at a time, until the machine is returned.
async fn send_reports(worker: Arc<Worker>, http: awc::Client) {
    let count = worker.nodes.len();
    let mut node = rand::rng().random_range(0..count);
    while worker.is_alive() {
        worker.state.lock().unwrap().node = node;
        let report = worker.report();
        let tenure = number(&report, "tenure");
        let sent_at = Instant::now();
        let request = http.post(format!("http://{}/hello", worker.nodes[node]));
        let next = (node + 1) % count;
        let mut retry = Duration::from_secs(1);
        match request
            .timeout(RESPONSE_LIMIT)
            .send_body(encode(&report))
            .await
        {
            Ok(mut response) => {
                let body = response.body().limit(1 << 20).await;
                let body = body.map_or(Value::Null, |bytes| decode(&bytes));
                match response.status().as_u16() {
                    200 => {
                        worker.accept(sent_at, tenure, &body);
                        retry = Duration::ZERO;
                    }
                    421 => {
                        let named = text(&body, "answerTo");
                        let index = named
                            .strip_prefix("knot-")
                            .and_then(|n| n.parse::<usize>().ok());
                        match index.filter(|index| *index != node && *index < count) {
                            Some(index) => {
                                node = index;
                                retry = Duration::from_millis(10);
                            }
                            None => node = next,
                        }
                    }
                    _ => node = next,
                }
            }
            Err(_) => node = next,
        }
        if !retry.is_zero() {
            actix::clock::sleep(retry).await;
            continue;
        }
        let due =
            sent_at + Duration::from_secs_f64(REPORT_S * rand::rng().random_range(0.75..1.25));
        let earliest = sent_at + REPORT_PAUSE_MIN;
        loop {
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            // Running tasks are looked at ten times a second.
            let wait = left.min(Duration::from_millis(100));
            let changed = actix::clock::timeout(wait, worker.change.notified())
                .await
                .is_ok();
            if changed {
                actix::clock::sleep_until(earliest.into()).await;
                break;
            }
            worker.pass_time(&mut worker.state.lock().unwrap());
        }
    }
}

#[derive(Clone)]
pub struct Cloud {
    machines: Arc<Mutex<BTreeMap<String, Arc<Worker>>>>,
    hires: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    rented: Arc<Mutex<usize>>,
    nodes: Arc<Mutex<Vec<String>>>,
    addresses: Arc<Vec<String>>,
    record: Record,
    http: awc::Client,
    /// A machine is up this long after its rental. At times machines are up within a second or two.
    pub boot: Arc<Mutex<Duration>>,
    pub run_time: Arc<Mutex<Duration>>,
    pub ends: Arc<Mutex<BTreeMap<String, Instant>>>,
}

impl Cloud {
    /// Starts the cloud's interface, and a server that takes the direct commands to all machines.
    pub fn start(capacity: usize, build: &'static str, record: Record) -> (Self, String) {
        let listeners: Vec<TcpListener> = (0..capacity * 2)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let addresses = listeners
            .iter()
            .map(|l| l.local_addr().unwrap().to_string())
            .collect();
        let cloud = Self {
            machines: Arc::default(),
            hires: Arc::default(),
            rented: Arc::default(),
            nodes: Arc::default(),
            addresses: Arc::new(addresses),
            record,
            http: awc::Client::builder()
                .connector(awc::Connector::new().limit(1000))
                .finish(),
            boot: Arc::new(Mutex::new(Duration::from_secs(1))),
            run_time: Arc::new(Mutex::new(Duration::from_secs(5))),
            ends: Arc::default(),
        };
        let machines = cloud.machines.clone();
        let mut server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(machines.clone()))
                .app_data(web::PayloadConfig::new(1 << 20))
                .route("/orders", web::post().to(orders))
                .route("/inspect", web::get().to(inspect))
        })
        .workers(1)
        .disable_signals();
        for listener in listeners {
            server = server.listen(listener).unwrap();
        }
        actix::spawn(server.run());
        // The handlers start tasks on this thread, on which the client of the workers lives.
        let (sender, mut rentals) = tokio::sync::mpsc::unbounded_channel::<Arc<Worker>>();
        let (http, boot) = (cloud.http.clone(), cloud.boot.clone());
        actix::spawn(async move {
            while let Some(worker) = rentals.recv().await {
                let (http, boot) = (http.clone(), *boot.lock().unwrap());
                actix::spawn(async move {
                    actix::clock::sleep(boot).await;
                    worker.state.lock().unwrap().up = true;
                    worker.state.lock().unwrap().renewed_at = Instant::now();
                    send_reports(worker, http).await;
                });
            }
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let api = Api {
            machines: cloud.machines.clone(),
            hires: cloud.hires.clone(),
            rented: cloud.rented.clone(),
            nodes: cloud.nodes.clone(),
            addresses: cloud.addresses.clone(),
            capacity,
            build,
            record: cloud.record.clone(),
            run_time: cloud.run_time.clone(),
            ends: cloud.ends.clone(),
            rentals: sender,
        };
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(api.clone()))
                .route("/flavors", web::get().to(flavors))
                .route("/machines", web::get().to(list))
                .route("/machines", web::post().to(rent))
                .route("/machines/return", web::post().to(give_back))
        });
        actix::spawn(
            server
                .workers(1)
                .disable_signals()
                .listen(listener)
                .unwrap()
                .run(),
        );
        (cloud, address)
    }

    pub fn set_nodes(&self, nodes: &[String]) {
        *self.nodes.lock().unwrap() = nodes.to_vec();
    }

    /// Number of tasks that run now.
    pub fn running(&self) -> usize {
        let machines = self.machines.lock().unwrap();
        let running = |worker: &Arc<Worker>| {
            let state = worker.state.lock().unwrap();
            state
                .tasks
                .iter()
                .filter(|t| matches!(t.phase, Phase::Running(_)))
                .count()
        };
        machines.values().map(running).sum()
    }

    /// Whether a machine with running tasks reports to this node.
    pub fn hears_tasks(&self, node: usize) -> bool {
        let machines = self.machines.lock().unwrap();
        let hears = |worker: &Arc<Worker>| {
            let state = worker.state.lock().unwrap();
            state.node == node
                && state
                    .tasks
                    .iter()
                    .any(|t| matches!(t.phase, Phase::Running(_)))
        };
        machines.values().any(hears)
    }

    /// Whether a start of a task of this job was ever sent to a machine.
    pub fn has_started(&self, job: &str) -> bool {
        let machines = self.machines.lock().unwrap();
        let started = |worker: &Arc<Worker>| worker.state.lock().unwrap().seen.contains(job);
        machines.values().any(started)
    }

    /// Machines that are up with room for one more task of so many cores, and the tasks that are on them.
    pub fn rooms(&self, cores: f64) -> Vec<(String, usize)> {
        let machines = self.machines.lock().unwrap();
        let mut rooms = Vec::new();
        for worker in machines.values() {
            let state = worker.state.lock().unwrap();
            let on = state
                .tasks
                .iter()
                .filter(|t| matches!(t.phase, Phase::Pulling(_) | Phase::Running(_)));
            let tasks = on.count();
            let whole = if worker.build == "lightbid" {
                LIGHTBID_CORES
            } else {
                HEAVYBID_CORES
            };
            if state.up && (tasks + 1) as f64 * cores <= whole {
                rooms.push((worker.host.clone(), tasks));
            }
        }
        rooms
    }

    pub fn machine_count(&self) -> usize {
        self.machines.lock().unwrap().len()
    }
}

#[derive(Clone)]
struct Api {
    machines: Arc<Mutex<BTreeMap<String, Arc<Worker>>>>,
    hires: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    rented: Arc<Mutex<usize>>,
    nodes: Arc<Mutex<Vec<String>>>,
    addresses: Arc<Vec<String>>,
    capacity: usize,
    build: &'static str,
    record: Record,
    run_time: Arc<Mutex<Duration>>,
    ends: Arc<Mutex<BTreeMap<String, Instant>>>,
    rentals: tokio::sync::mpsc::UnboundedSender<Arc<Worker>>,
}

async fn flavors(api: web::Data<Api>) -> HttpResponse {
    let (cores, ram, rate, market) = match api.build {
        "lightbid" => (LIGHTBID_CORES, 64.0, 0.55, 0.21),
        _ => (HEAVYBID_CORES, 128.0, 2.09, 0.79),
    };
    let build = cbor!({
        "name" => api.build, "cores" => cores, "cards" => 0.0, "ramGb" => ram, "localGb" => 35.0,
        "pullGbPerS" => 1.0, "rate" => rate, "marketPrice" => market, "bootS" => 30.0,
        "yards" => ["karachi"]
    });
    respond(200, &cbor!({"builds" => [build.unwrap()]}).unwrap())
}

async fn list(api: web::Data<Api>, query: web::Query<BTreeMap<String, String>>) -> HttpResponse {
    let after = query.get("after").cloned().unwrap_or_default();
    let machines = api.machines.lock().unwrap();
    let listed = machines
        .values()
        .filter(|w| w.host > after && w.rented_at.elapsed() > LIST_LAG);
    let hosts: Vec<Value> = listed
        .map(|w| {
            cbor!({
                "nameId" => w.host, "address" => w.address, "build" => w.build, "yard" => w.yard,
                "loaners" => false, "status" => if w.state.lock().unwrap().up { "running" } else { "booting" }, "heldS" => w.rented_at.elapsed().as_secs_f64()
            })
            .unwrap()
        })
        .collect();
    respond(200, &cbor!({"hosts" => hosts, "more" => false}).unwrap())
}

async fn rent(api: web::Data<Api>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    let hire = text(&body, "hire");
    let known = api.hires.lock().unwrap().get(&hire).cloned();
    if let Some(hosts) = known {
        return respond(200, &cbor!({"hosts" => hosts}).unwrap());
    }
    let spot = matches!(field(&body, "loaners"), Some(Value::Bool(true)));
    let free = api
        .capacity
        .saturating_sub(api.machines.lock().unwrap().len());
    let left = api.addresses.len() - *api.rented.lock().unwrap();
    let granted = (number(&body, "number") as usize).min(free).min(left);
    if granted == 0 || spot {
        return respond(503, &cbor!({"error" => "no capacity"}).unwrap());
    }
    let mut hosts = Vec::new();
    for _ in 0..granted {
        let at = {
            let mut rented = api.rented.lock().unwrap();
            *rented += 1;
            *rented
        };
        let host = format!("m-{at:06}");
        let worker = Arc::new(Worker {
            host: host.clone(),
            address: api.addresses[at - 1].clone(),
            build: api.build.to_owned(),
            yard: text(&body, "yard"),
            rented_at: Instant::now(),
            nodes: api.nodes.lock().unwrap().clone(),
            run_time: api.run_time.clone(),
            ends: api.ends.clone(),
            record: api.record.clone(),
            change: Notify::new(),
            state: Mutex::new(WorkerState {
                alive: true,
                up: false,
                seen: BTreeSet::new(),
                tenure: 1,
                tally: 0,
                baton: 0,
                baton_change_at: None,
                node: 0,
                renewed_at: Instant::now(),
                tasks: Vec::new(),
            }),
        });
        api.machines
            .lock()
            .unwrap()
            .insert(host.clone(), worker.clone());
        let _ = api.rentals.send(worker);
        hosts.push(host);
    }
    api.record
        .line(format!("cloud: {hire} rents {} machines", hosts.len()));
    api.hires.lock().unwrap().insert(hire, hosts.clone());
    respond(200, &cbor!({"hosts" => hosts}).unwrap())
}

async fn give_back(api: web::Data<Api>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    let hosts = field(&body, "hosts")
        .and_then(Value::as_array)
        .cloned()
        .unwrap_or_default();
    for host in hosts.iter().filter_map(Value::as_text) {
        let removed = api.machines.lock().unwrap().remove(host);
        if let Some(worker) = removed {
            api.record.line(format!("cloud: {host} returned"));
            let mut state = worker.state.lock().unwrap();
            state.alive = false;
            state.tasks.clear();
        }
    }
    respond(200, &cbor!({}).unwrap())
}

type Machines = web::Data<Arc<Mutex<BTreeMap<String, Arc<Worker>>>>>;

fn machine_at(machines: &Machines, request: &HttpRequest) -> Option<Arc<Worker>> {
    let address = request.app_config().local_addr().to_string();
    let machines = machines.lock().unwrap();
    let found = machines.values().find(|worker| worker.address == address);
    found.cloned()
}

async fn orders(machines: Machines, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    let Some(worker) = machine_at(&machines, &request) else {
        return HttpResponse::NotFound().finish();
    };
    let body = decode(&body);
    let valid = {
        let mut state = worker.state.lock().unwrap();
        worker.pass_time(&mut state);
        let valid =
            number(&body, "baton") >= state.baton && number(&body, "tenure") == state.tenure;
        if valid {
            worker.raise_baton(&mut state, number(&body, "baton"));
            worker.execute(&mut state, &body);
        }
        valid
    };
    respond(if valid { 200 } else { 409 }, &worker.report())
}

async fn inspect(machines: Machines, request: HttpRequest) -> HttpResponse {
    match machine_at(&machines, &request) {
        Some(worker) => respond(200, &worker.report()),
        None => HttpResponse::NotFound().finish(),
    }
}
