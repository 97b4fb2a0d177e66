//! A stand-in for the cloud API, each of whose machines runs a [`Worker`].

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use ciborium::{cbor, Value};

use crate::history::{Event, History};
use crate::message::{decode, field, number, respond, text};
use crate::worker::{self, Worker};

/// Number of machines, counted from the first one rented, that listen for direct commands. Further ones
/// receive commands in heartbeat responses only.
const LISTENING_MACHINES: usize = 64;

/// Timing of the agents that a [`Cloud`] starts.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimes {
    /// Pause between a heartbeat's response and the next heartbeat.
    pub heartbeat_interval: Duration,
    /// Duration of the worker lease: an agent terminates all its tasks if its last acknowledged heartbeat was
    /// sent longer ago.
    pub lease_duration: Duration,
    /// Time from the start of a task to its successful end.
    pub task_duration: Duration,
    /// Additional pause after a failed heartbeat, before the agent tries the next controller.
    pub failover_delay: Duration,
}

impl Default for WorkerTimes {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(100),
            lease_duration: Duration::from_secs(20),
            task_duration: Duration::from_millis(300),
            failover_delay: Duration::from_millis(100),
        }
    }
}

/// The cloud with its machines. Clones share their machines.
#[derive(Clone, Default)]
pub struct Cloud {
    machines: Arc<Mutex<BTreeMap<String, Arc<Worker>>>>,
    /// Number of machines rented so far; names of machines are numbered by it.
    rented_count: Arc<Mutex<usize>>,
    times: WorkerTimes,
    /// Maximum number of machines at a time; `None` for no limit.
    capacity: Option<usize>,
    history: History,
    /// Addresses of the controllers as seen from each zone, in the order of the controllers' names.
    routes: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    /// Addresses for direct commands, in the order in which machines are rented.
    command_addresses: Arc<Mutex<Vec<String>>>,
}

impl Cloud {
    /// Creates a cloud of at most `capacity` machines whose agents record a history.
    pub fn with_history(history: History, times: WorkerTimes, capacity: usize) -> Self {
        Self {
            history,
            times,
            capacity: Some(capacity),
            ..Self::default()
        }
    }

    /// Starts the server on the running actix system and returns its address. Agents of both zones send
    /// heartbeats to the addresses in `controllers`.
    pub fn start(&self, controllers: Vec<String>) -> String {
        let routes = ["north", "south"].map(|zone| (zone.to_owned(), controllers.clone()));
        self.start_with_routes(routes.into_iter().collect())
    }

    /// Starts the server as [`Self::start`] does, with the controllers' addresses for each zone.
    pub fn start_with_routes(&self, routes: BTreeMap<String, Vec<String>>) -> String {
        *self.routes.lock().unwrap() = routes;
        self.listen_for_commands();
        let cloud = web::Data::new(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(cloud.clone())
                .route("/flavors", web::get().to(list_machine_types))
                .route("/machines", web::get().to(list_machines))
                .route("/machines", web::post().to(rent_machines))
                .route("/machines/return", web::post().to(release_machines))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        address
    }

    fn listen_for_commands(&self) {
        let cloud = web::Data::new(self.clone());
        let mut server = HttpServer::new(move || {
            App::new()
                .app_data(cloud.clone())
                .route("/orders", web::post().to(execute_commands))
                .route("/inspect", web::get().to(probe_status))
        })
        .workers(1)
        .disable_signals();
        let mut addresses = Vec::with_capacity(LISTENING_MACHINES);
        for _ in 0..LISTENING_MACHINES {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            addresses.push(listener.local_addr().unwrap().to_string());
            server = server.listen(listener).unwrap();
        }
        *self.command_addresses.lock().unwrap() = addresses;
        actix::spawn(server.run());
    }

    /// Number of starts of a task on one machine while it had not ended on another.
    pub fn duplicate_executions(&self) -> usize {
        let mut placements: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut duplicates = 0;
        for entry in self.history.entries() {
            match entry.event {
                Event::Started { task, machine, .. } => {
                    let machines = placements.entry(task).or_default();
                    duplicates += usize::from(machines.iter().any(|other| *other != machine));
                    machines.push(machine);
                }
                Event::Ended { task, machine } => {
                    placements
                        .entry(task)
                        .or_default()
                        .retain(|other| *other != machine);
                }
                _ => {}
            }
        }
        duplicates
    }

    /// Number of running machines.
    pub fn machine_count(&self) -> usize {
        self.machines.lock().unwrap().len()
    }

    /// Starts a machine in the zone and returns its name.
    fn rent_machine(&self, zone: &str) -> String {
        let number = {
            let mut rented_count = self.rented_count.lock().unwrap();
            *rented_count += 1;
            *rented_count
        };
        let name = format!("m-{number:06}");
        let address = self
            .command_addresses
            .lock()
            .unwrap()
            .get(number - 1)
            .cloned();
        let routes = self.routes.lock().unwrap().get(zone).cloned();
        let worker = Worker::new(
            &name,
            zone,
            address.unwrap_or_else(|| "127.0.0.1:1".to_owned()),
            routes.unwrap_or_default(),
            self.times,
            self.history.clone(),
        );
        let worker = Arc::new(worker);
        let mut machines = self.machines.lock().unwrap();
        machines.insert(name.clone(), worker.clone());
        actix::spawn(worker::send_heartbeats(worker));
        name
    }

    /// Returns the machine whose command address received the request, if it is running.
    fn machine_at(&self, request: &HttpRequest) -> Option<Arc<Worker>> {
        let address = request.app_config().local_addr().to_string();
        let machines = self.machines.lock().unwrap();
        let found = machines.values().find(|worker| worker.address == address);
        found.cloned()
    }
}

async fn list_machine_types() -> HttpResponse {
    let machine_type = cbor!({
        "name" => "cpu16", "cores" => 16, "cards" => 0, "ramGb" => 64.0, "localGb" => 50,
        "pullGbPerS" => 1.0, "rate" => 0.9, "marketPrice" => 0.3, "bootS" => 1,
        "yards" => ["north", "south"]
    });
    respond(200, &cbor!({"builds" => [machine_type.unwrap()]}).unwrap())
}

async fn list_machines(cloud: web::Data<Cloud>) -> HttpResponse {
    let machines: Vec<Value> = cloud
        .machines
        .lock()
        .unwrap()
        .iter()
        .map(|(name, worker)| {
            cbor!({
                "nameId" => name, "address" => worker.address, "build" => "cpu16",
                "yard" => worker.zone, "loaners" => false, "status" => "running", "heldS" => 1.0
            })
            .unwrap()
        })
        .collect();
    respond(200, &cbor!({"hosts" => machines, "more" => false}).unwrap())
}

async fn rent_machines(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    let zone = text(&body, "yard");
    let free = cloud
        .capacity
        .map(|capacity| capacity.saturating_sub(cloud.machine_count()));
    let requested = number(&body, "number") as usize;
    let granted = requested.min(free.unwrap_or(requested));
    if granted == 0 {
        return respond(503, &cbor!({"error" => "no capacity"}).unwrap());
    }
    let names: Vec<String> = (0..granted).map(|_| cloud.rent_machine(&zone)).collect();
    respond(200, &cbor!({"hosts" => names}).unwrap())
}

async fn release_machines(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    if let Some(Value::Array(names)) = field(&body, "hosts") {
        for name in names.iter().filter_map(Value::as_text) {
            let removed = cloud.machines.lock().unwrap().remove(name);
            if let Some(worker) = removed {
                worker.terminate();
            }
        }
    }
    respond(200, &cbor!({}).unwrap())
}

async fn execute_commands(
    cloud: web::Data<Cloud>,
    request: HttpRequest,
    body: web::Bytes,
) -> HttpResponse {
    let Some(worker) = cloud.machine_at(&request) else {
        return HttpResponse::NotFound().finish();
    };
    let (executed, heartbeat) = worker.execute_direct_commands(&decode(&body));
    respond(if executed { 200 } else { 409 }, &heartbeat)
}

async fn probe_status(cloud: web::Data<Cloud>, request: HttpRequest) -> HttpResponse {
    match cloud.machine_at(&request) {
        Some(worker) => respond(200, &worker.heartbeat()),
        None => HttpResponse::NotFound().finish(),
    }
}
