//! The cloud and its machines, by the users' protocol page: rentals, the machine list, workers with reports,
//! leases, tokens, tasks and gangs.
//!
//! Only what the cases need is played: no task of a running gang is lost, no start of a gang waits for longer
//! than `gang_wait_s`, no task saves, and a machine fetches an image in a fixed time and keeps it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use knotlanding_testbed::message::{decode, encode, field, number, respond, text};

/// A machine type of the cloud.
#[derive(Clone)]
pub struct Flavor {
    pub name: &'static str,
    pub cores: f64,
    pub ram_gb: f64,
    pub boot_s: f64,
}

/// What the cloud and the workers are set up with.
#[derive(Clone)]
pub struct Setup {
    pub flavors: Vec<Flavor>,
    pub zones: Vec<&'static str>,
    /// Time from a rental until the machine reports.
    pub up_after: Duration,
    /// Most machines at a time.
    pub machines_max: usize,
    pub report_s: f64,
    pub lease_s: f64,
}

/// What a user uploads for a job: how long its tasks really run.
#[derive(Clone)]
pub struct JobInfo {
    pub strands: usize,
    pub gang: bool,
    pub run: Duration,
    pub fetch: Duration,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Pulling(Instant),
    Gathering,
    Running(Instant),
    Exited(&'static str),
}

struct Task {
    strand: String,
    attempt: u64,
    state: State,
}

impl Task {
    fn job(&self) -> &str {
        self.strand.split('/').next().unwrap_or_default()
    }
}

struct Machine {
    flavor: Flavor,
    zone: &'static str,
    address: String,
    rented_at: Instant,
    up_at: Instant,
    tenure: u64,
    tally: u64,
    token: u64,
    token_change_at: Option<Instant>,
    lease_from: Instant,
    changed: bool,
    images: BTreeSet<String>,
    tasks: Vec<Task>,
}

/// How long a task runs: three quarters to one and a half times the job's time.
fn run_time(task: &Task, info: &JobInfo) -> Duration {
    let hash = task.strand.bytes().fold(7_u64, |sum, b| {
        (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    let luck = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
    info.run.mul_f64(0.75 + 0.75 * luck as f64 / 255.0)
}

/// A start that a worker executed.
#[derive(Clone)]
pub struct Start {
    pub strand: String,
    pub machine: String,
    /// When the report was sent whose response carried the command.
    pub asked_at: Instant,
    pub at: Instant,
}

#[derive(Default)]
struct Inner {
    machines: BTreeMap<String, Machine>,
    rented: usize,
    hires: BTreeMap<String, Vec<String>>,
    jobs: BTreeMap<String, JobInfo>,
    starts: Vec<Start>,
    ended: usize,
    lease_ends: usize,
    refused_reports: BTreeMap<u16, usize>,
    log: Vec<(Instant, String)>,
}

/// All machines, jobs and events. Clones share them.
#[derive(Clone)]
pub struct World {
    inner: Arc<Mutex<Inner>>,
    setup: Setup,
    controllers: Arc<Mutex<Vec<String>>>,
}

impl World {
    pub fn new(setup: Setup) -> Self {
        Self {
            inner: Arc::default(),
            setup,
            controllers: Arc::default(),
        }
    }

    pub fn set_controllers(&self, addresses: Vec<String>) {
        *self.controllers.lock().unwrap() = addresses;
    }

    pub fn add_job(&self, id: &str, info: JobInfo) {
        self.inner.lock().unwrap().jobs.insert(id.to_owned(), info);
    }

    pub fn log(&self, line: impl Into<String>) {
        self.inner
            .lock()
            .unwrap()
            .log
            .push((Instant::now(), line.into()));
    }

    pub fn log_lines(&self, since: Instant) -> Vec<String> {
        let inner = self.inner.lock().unwrap();
        let line = |(at, line): &(Instant, String)| {
            let at = at.saturating_duration_since(since).as_secs_f64();
            format!("{at:8.3} {line}")
        };
        inner.log.iter().map(line).collect()
    }

    pub fn starts_of(&self, job: &str) -> Vec<Start> {
        let inner = self.inner.lock().unwrap();
        let prefix = format!("{job}/");
        let of_job = inner
            .starts
            .iter()
            .filter(|s| s.strand.starts_with(&prefix));
        of_job.cloned().collect()
    }

    pub fn ended(&self) -> usize {
        self.inner.lock().unwrap().ended
    }

    pub fn lease_ends(&self) -> usize {
        self.inner.lock().unwrap().lease_ends
    }

    /// Reports that were answered by another status than 200 and 421, by status.
    pub fn refused_reports(&self) -> BTreeMap<u16, usize> {
        self.inner.lock().unwrap().refused_reports.clone()
    }

    /// Machines that are up.
    pub fn machines_up(&self) -> usize {
        let now = Instant::now();
        let inner = self.inner.lock().unwrap();
        inner.machines.values().filter(|m| m.up_at <= now).count()
    }

    /// Starts the cloud and the clock of the machines; returns the cloud's address.
    pub fn start(&self) -> String {
        let world = web::Data::new(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(world.clone())
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
        let world = self.clone();
        actix::spawn(async move {
            loop {
                world.inner.lock().unwrap().tick(&world.setup);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        });
        address
    }

    /// Adds machines of the first type that are there from the beginning.
    pub fn add_machines(&self, count: usize) {
        for index in 0..count {
            let zone = self.setup.zones[index % self.setup.zones.len()];
            self.add_machine(self.setup.flavors[0].clone(), zone);
        }
    }

    fn add_machine(&self, flavor: Flavor, zone: &'static str) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let now = Instant::now();
        let up_at = now + self.setup.up_after;
        let name = {
            let mut inner = self.inner.lock().unwrap();
            inner.rented += 1;
            let name = format!("m-{:06}", inner.rented);
            inner.machines.insert(
                name.clone(),
                Machine {
                    flavor,
                    zone,
                    address,
                    rented_at: now,
                    up_at,
                    tenure: 1,
                    tally: 0,
                    token: 0,
                    token_change_at: None,
                    lease_from: up_at,
                    changed: false,
                    images: BTreeSet::new(),
                    tasks: Vec::new(),
                },
            );
            name
        };
        let data = web::Data::new((self.clone(), name.clone()));
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route("/orders", web::post().to(orders))
                .route("/inspect", web::get().to(inspect))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        actix::spawn(run_worker(self.clone(), name.clone()));
        name
    }
}

impl Inner {
    /// Lets time pass on all machines.
    fn tick(&mut self, setup: &Setup) {
        let now = Instant::now();
        let mut gathered: BTreeMap<(String, u64), usize> = BTreeMap::new();
        for (name, machine) in &mut self.machines {
            if machine.up_at > now {
                continue;
            }
            if now.duration_since(machine.lease_from).as_secs_f64() > setup.lease_s {
                self.lease_ends += 1;
                self.log.push((
                    now,
                    format!("{name}: lease ended, {} tasks gone", machine.tasks.len()),
                ));
                machine.tasks.clear();
                machine.tenure += 1;
                machine.lease_from = now;
                machine.changed = true;
            }
            for task in &mut machine.tasks {
                let Some(info) = self.jobs.get(task.job()) else {
                    continue;
                };
                match task.state {
                    State::Pulling(until) if now >= until => {
                        machine.images.insert(task.job().to_owned());
                        task.state = match info.gang {
                            true => State::Gathering,
                            false => State::Running(now),
                        };
                        machine.changed = true;
                    }
                    State::Running(since) if now.duration_since(since) >= run_time(task, info) => {
                        task.state = State::Exited("done");
                        machine.changed = true;
                        self.ended += 1;
                    }
                    _ => {}
                }
                if task.state == State::Gathering {
                    let key = (task.job().to_owned(), task.attempt);
                    *gathered.entry(key).or_default() += 1;
                }
            }
        }
        let jobs = &self.jobs;
        gathered.retain(|(job, _), count| jobs.get(job).is_some_and(|i| *count >= i.strands));
        for machine in self.machines.values_mut() {
            for task in &mut machine.tasks {
                let key = (task.job().to_owned(), task.attempt);
                if task.state == State::Gathering && gathered.contains_key(&key) {
                    task.state = State::Running(now);
                    machine.changed = true;
                }
            }
        }
    }

    fn report(&mut self, name: &str) -> Option<Value> {
        let machine = self.machines.get_mut(name)?;
        machine.tally += 1;
        let tasks: Vec<Value> = machine
            .tasks
            .iter()
            .map(|task| {
                let (strand, attempt) = (task.strand.as_str(), task.attempt);
                let status = match task.state {
                    State::Pulling(_) => "pulling",
                    State::Gathering => "gathering",
                    State::Running(_) => "running",
                    State::Exited(cause) => {
                        return cbor!({"strand" => strand, "try" => attempt,
                            "status" => "exited", "cause" => cause})
                        .unwrap()
                    }
                };
                cbor!({"strand" => strand, "try" => attempt, "status" => status}).unwrap()
            })
            .collect();
        let report = cbor!({
            "host" => name, "address" => machine.address, "build" => machine.flavor.name,
            "yard" => machine.zone, "loaners" => false, "tenure" => machine.tenure,
            "tally" => machine.tally, "baton" => machine.token, "recallS" => null,
            "strands" => tasks
        });
        Some(report.unwrap())
    }

    fn see_token(&mut self, name: &str, token: u64, lease_s: f64) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        if token > machine.token {
            machine.token = token;
            let half = Duration::from_secs_f64(lease_s / 2.0);
            if machine
                .token_change_at
                .is_none_or(|at| at.elapsed() >= half)
            {
                machine.token_change_at = Some(Instant::now());
                machine.changed = true;
            }
        }
    }

    fn execute(&mut self, name: &str, body: &Value, asked_at: Instant) {
        let now = Instant::now();
        let Some(Value::Array(commands)) = field(body, "orders") else {
            return;
        };
        for command in commands {
            let (strand, attempt) = (text(command, "strand"), number(command, "try"));
            let job = strand.split('/').next().unwrap_or_default().to_owned();
            let Some(machine) = self.machines.get_mut(name) else {
                return;
            };
            let found = machine
                .tasks
                .iter()
                .position(|t| t.strand == strand && t.attempt == attempt);
            match (text(command, "verb").as_str(), found) {
                ("run", None) => {
                    let state = match self.jobs.get(&job) {
                        None => State::Exited("unknown"),
                        Some(_) if machine.images.contains(&job) => State::Pulling(now),
                        Some(info) => {
                            // One fetch serves all tasks that need the image.
                            let fetching = machine.tasks.iter().find_map(|t| match t.state {
                                State::Pulling(until) if t.job() == job => Some(until),
                                _ => None,
                            });
                            State::Pulling(fetching.unwrap_or(now + info.fetch))
                        }
                    };
                    machine.tasks.push(Task {
                        strand: strand.clone(),
                        attempt,
                        state,
                    });
                    machine.changed = true;
                    self.log
                        .push((now, format!("{name}: run {strand} try {attempt}")));
                    self.starts.push(Start {
                        strand,
                        machine: name.to_owned(),
                        asked_at,
                        at: now,
                    });
                }
                ("kill", Some(index)) => {
                    let task = &mut machine.tasks[index];
                    if !matches!(task.state, State::Exited(_)) {
                        self.log
                            .push((now, format!("{name}: kill {strand} try {attempt}")));
                        task.state = State::Exited("stopped");
                        machine.changed = true;
                    }
                }
                ("clear", Some(index)) => {
                    if matches!(machine.tasks[index].state, State::Exited(_)) {
                        machine.tasks.remove(index);
                        machine.changed = true;
                    }
                }
                _ => {}
            }
        }
    }
}

/// Sends a machine's reports until it is returned.
async fn run_worker(world: World, name: String) {
    let up_at = world.inner.lock().unwrap().machines[&name].up_at;
    tokio::time::sleep_until(up_at.into()).await;
    let timeout = Duration::from_secs(4);
    let http = awc::Client::builder().timeout(timeout).finish();
    let mut luck = name.bytes().fold(7_u64, |sum, b| sum * 31 + u64::from(b));
    let mut node = luck as usize;
    let mut next_report_at = Instant::now();
    let mut last_sent_at: Option<Instant> = None;
    loop {
        let changed = match world.inner.lock().unwrap().machines.get(&name) {
            Some(machine) => machine.changed,
            None => return,
        };
        let now = Instant::now();
        let rested = last_sent_at.is_none_or(|at| now - at >= Duration::from_millis(500));
        if !(now >= next_report_at || (changed && rested)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        let (report, tenure) = {
            let mut inner = world.inner.lock().unwrap();
            let Some(report) = inner.report(&name) else {
                return;
            };
            let machine = inner.machines.get_mut(&name).unwrap();
            machine.changed = false;
            (report, machine.tenure)
        };
        luck = luck.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let share = 0.75 + 0.5 * ((luck >> 40) as f64 / (1_u64 << 24) as f64);
        next_report_at = now + Duration::from_secs_f64(world.setup.report_s * share);
        last_sent_at = Some(now);
        let controllers = world.controllers.lock().unwrap().clone();
        let address = controllers[node % controllers.len()].clone();
        let sent = http
            .post(format!("http://{address}/hello"))
            .content_type("application/cbor")
            .send_body(encode(&report))
            .await;
        let (status, body) = match sent {
            Ok(mut response) => {
                let bytes = response.body().limit(8 << 20).await.unwrap_or_default();
                (response.status().as_u16(), decode(&bytes))
            }
            Err(_) => (0, Value::Null),
        };
        let in_time = now.elapsed() <= timeout;
        let mut other_node = false;
        {
            let mut inner = world.inner.lock().unwrap();
            if status != 200 && status != 421 {
                *inner.refused_reports.entry(status).or_default() += 1;
            }
            if status == 200 {
                let token = number(&body, "baton");
                let Some(machine) = inner.machines.get_mut(&name) else {
                    return;
                };
                if in_time && token >= machine.token && tenure == machine.tenure {
                    machine.lease_from = now;
                    inner.see_token(&name, token, world.setup.lease_s);
                    inner.execute(&name, &body, now);
                }
            } else if status == 421 {
                let named = text(&body, "answerTo");
                let index = named.strip_prefix("knot-").and_then(|n| n.parse().ok());
                match index.filter(|index| *index != node % controllers.len()) {
                    Some(index) if index < controllers.len() => {
                        node = index;
                        next_report_at = Instant::now();
                        last_sent_at = None;
                    }
                    _ => other_node = true,
                }
            } else {
                other_node = true;
            }
        }
        if other_node {
            tokio::time::sleep(Duration::from_secs(1)).await;
            node += 1;
            next_report_at = Instant::now();
        }
    }
}

async fn flavors(world: web::Data<World>) -> HttpResponse {
    let setup = &world.setup;
    let builds: Vec<Value> = setup
        .flavors
        .iter()
        .map(|f| {
            cbor!({"name" => f.name, "cores" => f.cores, "cards" => 0, "ramGb" => f.ram_gb,
                "localGb" => 50.0, "pullGbPerS" => 1.0, "rate" => 0.74, "marketPrice" => 0.28,
                "bootS" => f.boot_s, "yards" => setup.zones})
            .unwrap()
        })
        .collect();
    respond(200, &cbor!({"builds" => builds}).unwrap())
}

async fn list(world: web::Data<World>, request: HttpRequest) -> HttpResponse {
    let query = request.query_string().to_owned();
    let after = query
        .split('&')
        .find_map(|part| part.strip_prefix("after="));
    let after = after.unwrap_or_default().to_owned();
    let now = Instant::now();
    let inner = world.inner.lock().unwrap();
    let hosts: Vec<Value> = inner
        .machines
        .iter()
        .filter(|(name, _)| **name > after)
        .map(|(name, m)| {
            let status = if m.up_at <= now { "running" } else { "booting" };
            let held = now.duration_since(m.rented_at).as_secs_f64();
            cbor!({"nameId" => name, "address" => m.address, "build" => m.flavor.name,
                "yard" => m.zone, "loaners" => false, "status" => status, "heldS" => held})
            .unwrap()
        })
        .collect();
    respond(200, &cbor!({"hosts" => hosts, "more" => false}).unwrap())
}

async fn rent(world: web::Data<World>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    let (hire, build, yard) = (
        text(&body, "hire"),
        text(&body, "build"),
        text(&body, "yard"),
    );
    let spot = field(&body, "loaners").and_then(Value::as_bool) == Some(true);
    let known = world.inner.lock().unwrap().hires.get(&hire).cloned();
    if let Some(names) = known {
        return respond(200, &cbor!({"hosts" => names}).unwrap());
    }
    let flavor = world
        .setup
        .flavors
        .iter()
        .find(|f| f.name == build)
        .cloned();
    let zone = world.setup.zones.iter().find(|z| **z == yard).copied();
    let (Some(flavor), Some(zone)) = (flavor, zone) else {
        return respond(400, &cbor!({"error" => "malformed"}).unwrap());
    };
    let held = world.inner.lock().unwrap().machines.len();
    let free = world.setup.machines_max.saturating_sub(held);
    let count = free.min(number(&body, "number") as usize);
    if spot || count == 0 {
        return respond(503, &cbor!({"error" => "no capacity"}).unwrap());
    }
    let names: Vec<String> = (0..count)
        .map(|_| world.add_machine(flavor.clone(), zone))
        .collect();
    world.log(format!("cloud: {hire} rented {names:?}"));
    world
        .inner
        .lock()
        .unwrap()
        .hires
        .insert(hire, names.clone());
    respond(200, &cbor!({"hosts" => names}).unwrap())
}

async fn give_back(world: web::Data<World>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    for name in field(&body, "hosts")
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
    {
        if let Some(name) = name.as_text() {
            world.inner.lock().unwrap().machines.remove(name);
            world.log(format!("cloud: {name} returned"));
        }
    }
    respond(200, &cbor!({}).unwrap())
}

async fn orders(data: web::Data<(World, String)>, body: web::Bytes) -> HttpResponse {
    let (world, name) = data.get_ref();
    let body = decode(&body);
    if field(&body, "baton").is_none() || field(&body, "tenure").is_none() {
        return HttpResponse::BadRequest().finish();
    }
    let mut inner = world.inner.lock().unwrap();
    let Some(machine) = inner.machines.get(name) else {
        return HttpResponse::NotFound().finish();
    };
    let token = number(&body, "baton");
    let valid = token >= machine.token && number(&body, "tenure") == machine.tenure;
    if valid {
        inner.see_token(name, token, world.setup.lease_s);
        inner.execute(name, &body, Instant::now());
    }
    let report = inner.report(name).unwrap_or(Value::Null);
    respond(if valid { 200 } else { 409 }, &report)
}

async fn inspect(data: web::Data<(World, String)>) -> HttpResponse {
    let (world, name) = data.get_ref();
    match world.inner.lock().unwrap().report(name) {
        Some(report) => respond(200, &report),
        None => HttpResponse::NotFound().finish(),
    }
}
