//! A stand-in for the cloud, whose machines run [`crate::worker`]s.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use ciborium::{cbor, Value};

use crate::history::{Event, History};
use crate::message::{decode, field, number, respond, text};
use crate::worker::{self, Worker};

/// Machines with a listener for direct commands. Further ones receive commands in heartbeat responses
/// only.
const LISTENING_MACHINES: usize = 64;

/// Timing of the workers of a cloud.
#[derive(Debug, Clone, Copy)]
pub struct WorkerTimes {
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// The worker lease: without a heartbeat response for so long a worker kills all its tasks.
    pub lease: Duration,
    /// Running time of a task.
    pub run: Duration,
    /// Pause before the next controller is tried.
    pub next_controller: Duration,
}

impl Default for WorkerTimes {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            lease: Duration::from_secs(20),
            run: Duration::from_millis(300),
            next_controller: Duration::from_millis(100),
        }
    }
}

/// The cloud with its machines.
#[derive(Clone, Default)]
pub struct Cloud {
    machines: Arc<Mutex<BTreeMap<String, Arc<Worker>>>>,
    rented: Arc<Mutex<usize>>,
    times: WorkerTimes,
    /// Maximum number of machines at a time.
    capacity: Option<usize>,
    history: History,
    /// Addresses of the controllers as seen from each zone, in the order of the controllers' names.
    routes: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    addresses: Arc<Mutex<Vec<String>>>,
}

impl Cloud {
    /// A cloud of limited capacity whose workers record a history.
    pub fn recording(history: History, times: WorkerTimes, capacity: usize) -> Self {
        Self {
            history,
            times,
            capacity: Some(capacity),
            ..Self::default()
        }
    }

    /// Starts the server on the running system and returns its address. Workers send heartbeats to
    /// `nodes`.
    pub fn start(&self, nodes: Vec<String>) -> String {
        let routes = ["north", "south"].map(|zone| (zone.to_owned(), nodes.clone()));
        self.start_with_routes(routes.into_iter().collect())
    }

    /// The same with separate routes to the controllers for each zone.
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
                .route("/machines/return", web::post().to(release))
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
        *self.addresses.lock().unwrap() = addresses;
        actix::spawn(server.run());
    }

    /// Number of starts of a task on one machine while it was on another.
    pub fn duplicate_executions(&self) -> usize {
        let mut placements: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut duplicates = 0;
        for entry in self.history.entries() {
            match entry.event {
                Event::Started { task, machine, .. } => {
                    let on = placements.entry(task).or_default();
                    duplicates += usize::from(on.iter().any(|other| *other != machine));
                    on.push(machine);
                }
                Event::Ended { task, machine } => {
                    placements
                        .entry(task)
                        .or_default()
                        .retain(|m| *m != machine);
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

    fn rent(&self, zone: &str) -> String {
        let number = {
            let mut rented = self.rented.lock().unwrap();
            *rented += 1;
            *rented
        };
        let name = format!("m-{number:06}");
        let address = self.addresses.lock().unwrap().get(number - 1).cloned();
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
        actix::spawn(worker::run(worker));
        name
    }

    /// The machine whose command address received the request.
    fn machine_at(&self, request: &HttpRequest) -> Option<Arc<Worker>> {
        let address = request.app_config().local_addr().to_string();
        let machines = self.machines.lock().unwrap();
        let found = machines.values().find(|worker| worker.address == address);
        found.cloned()
    }
}

async fn list_machine_types() -> HttpResponse {
    let build = cbor!({
        "name" => "cpu16", "cores" => 16, "cards" => 0, "ramGb" => 64.0, "localGb" => 50,
        "pullGbPerS" => 1.0, "rate" => 0.9, "marketPrice" => 0.3, "bootS" => 1,
        "yards" => ["north", "south"]
    });
    respond(200, &cbor!({"builds" => [build.unwrap()]}).unwrap())
}

async fn list_machines(cloud: web::Data<Cloud>) -> HttpResponse {
    let hosts: Vec<Value> = cloud
        .machines
        .lock()
        .unwrap()
        .iter()
        .map(|(id, worker)| {
            cbor!({
                "nameId" => id, "address" => worker.address, "build" => "cpu16",
                "yard" => worker.zone, "loaners" => false, "status" => "running", "heldS" => 1.0
            })
            .unwrap()
        })
        .collect();
    respond(200, &cbor!({"hosts" => hosts, "more" => false}).unwrap())
}

async fn rent_machines(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    let zone = text(&body, "yard");
    let free = cloud
        .capacity
        .map(|most| most.saturating_sub(cloud.machine_count()));
    let wanted = number(&body, "number") as usize;
    let granted = wanted.min(free.unwrap_or(wanted));
    if granted == 0 {
        return respond(503, &cbor!({"error" => "no capacity"}).unwrap());
    }
    let names: Vec<String> = (0..granted).map(|_| cloud.rent(&zone)).collect();
    respond(200, &cbor!({"hosts" => names}).unwrap())
}

async fn release(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    if let Some(Value::Array(names)) = field(&body, "hosts") {
        for name in names.iter().filter_map(Value::as_text) {
            let gone = cloud.machines.lock().unwrap().remove(name);
            if let Some(worker) = gone {
                worker.end();
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
    let (executed, heartbeat) = worker.command(&decode(&body));
    respond(if executed { 200 } else { 409 }, &heartbeat)
}

async fn probe_status(cloud: web::Data<Cloud>, request: HttpRequest) -> HttpResponse {
    match cloud.machine_at(&request) {
        Some(worker) => respond(200, &worker.heartbeat()),
        None => HttpResponse::NotFound().finish(),
    }
}
