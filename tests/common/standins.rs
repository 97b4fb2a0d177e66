//! Stand-ins for the systems outside, met through their protocols on loopback: the state
//! service, the cloud, and workers.

// Each test binary uses a part of it.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use tokio::sync::Notify;

pub fn encode(value: &Value) -> Vec<u8> {
    let mut out = Vec::new();
    ciborium::into_writer(value, &mut out).unwrap();
    out
}

pub fn decode(bytes: &[u8]) -> Value {
    ciborium::from_reader(bytes).unwrap_or(Value::Null)
}

/// A field of a map.
pub fn field<'a>(value: &'a Value, name: &str) -> Option<&'a Value> {
    let map = value.as_map()?;
    let found = map.iter().find(|(key, _)| key.as_text() == Some(name));
    found.map(|(_, value)| value)
}

pub fn number(value: &Value, name: &str) -> u64 {
    let integer = field(value, name).and_then(Value::as_integer);
    integer.and_then(|i| u64::try_from(i).ok()).unwrap_or(0)
}

pub fn text(value: &Value, name: &str) -> String {
    let text = field(value, name).and_then(Value::as_text);
    text.unwrap_or_default().to_owned()
}

fn answer(status: u16, value: &Value) -> HttpResponse {
    let status = actix_web::http::StatusCode::from_u16(status).unwrap();
    HttpResponse::build(status)
        .content_type("application/cbor")
        .body(encode(value))
}

/// Loopback addresses given out by this process.
static ADDRESSES: AtomicUsize = AtomicUsize::new(0);

/// An address nobody listens on, with a loopback IP number of its own. A port of 127.0.0.1 was taken by
/// another test's connection before the program came to use it: "Address already in use".
pub fn free_address() -> String {
    let number = ADDRESSES.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() as usize;
    let ip = format!(
        "127.{}.{}.{}",
        1 + process % 250,
        number / 250,
        1 + number % 250
    );
    let listener = TcpListener::bind((ip.as_str(), 0)).unwrap();
    listener.local_addr().unwrap().to_string()
}

#[derive(Default)]
struct Kept {
    epoch: u64,
    keys: BTreeMap<String, (Value, u64, u64)>,
    changes: Vec<(u64, Value, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    requests: usize,
    /// Changes up to this one are not kept.
    forgotten: u64,
    out: bool,
}

impl Kept {
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ttl, at))| now.duration_since(*at) > *ttl)
            .map(|(id, _)| *id)
            .collect();
        over.iter().for_each(|id| self.end(*id));
        !over.is_empty()
    }

    fn end(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, (_, _, held))| *held == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        for key in keys {
            self.drop_key(&key);
        }
    }

    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = cbor!({"drop" => key, "stamp" => self.epoch}).unwrap();
            self.changes.push((self.epoch, event, key.to_owned()));
        }
    }
}

/// The state service.
#[derive(Clone, Default)]
pub struct State {
    kept: Arc<Mutex<Kept>>,
    changed: Arc<Notify>,
}

impl State {
    /// Starts one on the running system; its address.
    pub fn start(&self) -> String {
        let state = web::Data::new(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(state.clone())
                .route("/keys", web::get().to(list))
                .route("/keys/{key:.*}", web::get().to(get_key))
                .route("/multi", web::post().to(multi))
                .route("/leases", web::post().to(grant))
                .route("/leases/{id}/renew", web::post().to(renew))
                .route("/leases/{id}", web::delete().to(end_lease))
                .route("/follow", web::get().to(follow))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        address
    }

    /// Begins or ends an outage.
    pub fn set_out(&self, out: bool) {
        let mut kept = self.kept.lock().unwrap();
        kept.out = out;
        let now = Instant::now();
        kept.leases.values_mut().for_each(|(_, at)| *at = now);
    }

    /// Writes a key, as another controller would.
    pub fn put(&self, key: &str, value: Value) {
        let mut kept = self.kept.lock().unwrap();
        kept.epoch += 1;
        let epoch = kept.epoch;
        let event = cbor!({"set" => key, "v" => value, "stamp" => epoch}).unwrap();
        kept.changes.push((epoch, event, key.to_owned()));
        kept.keys.insert(key.to_owned(), (value, epoch, 0));
        drop(kept);
        self.changed.notify_waiters();
    }

    /// Writes many keys at once, as transactions that a watch tells of together.
    pub fn put_all(&self, keys: impl Iterator<Item = (String, Value)>) {
        let mut kept = self.kept.lock().unwrap();
        for (key, value) in keys {
            kept.epoch += 1;
            let epoch = kept.epoch;
            let event = cbor!({"set" => key, "v" => value, "stamp" => epoch}).unwrap();
            kept.changes.push((epoch, event, key.clone()));
            kept.keys.insert(key, (value, epoch, 0));
        }
        drop(kept);
        self.changed.notify_waiters();
    }

    /// Writes a key and lets go of the history up to then, so that open watches are too old.
    pub fn put_and_forget(&self, key: &str, value: Value) {
        let mut kept = self.kept.lock().unwrap();
        kept.epoch += 2;
        let epoch = kept.epoch;
        kept.keys.insert(key.to_owned(), (value, epoch, 0));
        kept.changes.clear();
        kept.forgotten = epoch - 1;
    }

    /// Requests taken so far.
    pub fn requests(&self) -> usize {
        self.kept.lock().unwrap().requests
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<Value> {
        let kept = self.kept.lock().unwrap();
        kept.keys.get(key).map(|(value, _, _)| value.clone())
    }

    fn open(&self) -> Result<std::sync::MutexGuard<'_, Kept>, Box<HttpResponse>> {
        let mut kept = self.kept.lock().unwrap();
        kept.requests += 1;
        if kept.out {
            return Err(Box::new(HttpResponse::ServiceUnavailable().finish()));
        }
        if kept.expire() {
            self.changed.notify_waiters();
        }
        Ok(kept)
    }
}

type Query = web::Query<BTreeMap<String, String>>;

/// Keys a page, few so that reading on is the rule.
const SMALL_PAGE: usize = 7;

async fn get_key(state: web::Data<State>, key: web::Path<String>) -> HttpResponse {
    let kept = match state.open() {
        Ok(kept) => kept,
        Err(refused) => return *refused,
    };
    match kept.keys.get(key.as_str()) {
        Some((value, stamp, _)) => {
            let row = cbor!({"path" => key.as_str(), "v" => value, "stamp" => stamp}).unwrap();
            answer(200, &row)
        }
        None => answer(404, &cbor!({"epoch" => kept.epoch}).unwrap()),
    }
}

async fn list(state: web::Data<State>, query: Query) -> HttpResponse {
    let kept = match state.open() {
        Ok(kept) => kept,
        Err(refused) => return *refused,
    };
    let under = query.get("under").cloned().unwrap_or_default();
    let after = query.get("after").cloned().unwrap_or_default();
    let below: Vec<_> = kept
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with(&under) && **key > after)
        .collect();
    let more = below.len() > SMALL_PAGE;
    let rows: Vec<Value> = below
        .into_iter()
        .take(SMALL_PAGE)
        .map(|(key, (value, stamp, _))| {
            cbor!({"path" => key, "v" => value, "stamp" => stamp}).unwrap()
        })
        .collect();
    let page = cbor!({"rows" => rows, "more" => more, "epoch" => kept.epoch}).unwrap();
    answer(200, &page)
}

async fn multi(state: web::Data<State>, body: web::Bytes) -> HttpResponse {
    let mut kept = match state.open() {
        Ok(kept) => kept,
        Err(refused) => return *refused,
    };
    let body = decode(&body);
    let empty = Vec::new();
    let list = |name| {
        field(&body, name)
            .and_then(Value::as_array)
            .unwrap_or(&empty)
    };
    let failed: Vec<String> = list("when")
        .iter()
        .filter(|when| {
            let stamp = kept.keys.get(&text(when, "path")).map_or(0, |k| k.1);
            stamp != number(when, "stamp")
        })
        .map(|when| text(when, "path"))
        .collect();
    if !failed.is_empty() {
        let conflict = cbor!({"failed" => failed, "epoch" => kept.epoch}).unwrap();
        return answer(409, &conflict);
    }
    if !list("apply").is_empty() {
        kept.epoch += 1;
    }
    let epoch = kept.epoch;
    for change in list("apply") {
        if field(change, "drop").is_some() {
            kept.drop_key(&text(change, "drop"));
            continue;
        }
        let key = text(change, "set");
        let value = field(change, "v").cloned().unwrap_or(Value::Null);
        let event = cbor!({"set" => key, "v" => value, "stamp" => epoch}).unwrap();
        kept.changes.push((epoch, event, key.clone()));
        kept.keys
            .insert(key, (value, epoch, number(change, "hold")));
    }
    drop(kept);
    state.changed.notify_waiters();
    answer(200, &cbor!({"epoch" => epoch}).unwrap())
}

async fn grant(state: web::Data<State>, body: web::Bytes) -> HttpResponse {
    let mut kept = match state.open() {
        Ok(kept) => kept,
        Err(refused) => return *refused,
    };
    kept.next_lease += 1;
    let id = kept.next_lease;
    let ttl = Duration::from_millis(number(&decode(&body), "ttlMs"));
    kept.leases.insert(id, (ttl, Instant::now()));
    answer(200, &cbor!({"hold" => id}).unwrap())
}

async fn renew(state: web::Data<State>, id: web::Path<u64>) -> HttpResponse {
    let mut kept = match state.open() {
        Ok(kept) => kept,
        Err(refused) => return *refused,
    };
    match kept.leases.get_mut(&id) {
        Some((_, at)) => {
            *at = Instant::now();
            answer(200, &cbor!({}).unwrap())
        }
        None => answer(404, &cbor!({}).unwrap()),
    }
}

async fn end_lease(state: web::Data<State>, id: web::Path<u64>) -> HttpResponse {
    let mut kept = match state.open() {
        Ok(kept) => kept,
        Err(refused) => return *refused,
    };
    kept.end(*id);
    drop(kept);
    state.changed.notify_waiters();
    answer(200, &cbor!({}).unwrap())
}

async fn follow(state: web::Data<State>, query: Query) -> HttpResponse {
    let get = |name: &str| {
        query
            .get(name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let until = Instant::now() + Duration::from_millis(get("holdMs"));
    let under = query.get("under").cloned().unwrap_or_default();
    let mut first = true;
    loop {
        {
            let mut kept = state.kept.lock().unwrap();
            kept.requests += usize::from(first);
            first = false;
            if !kept.out {
                kept.expire();
                if get("after") < kept.forgotten {
                    return answer(410, &cbor!({}).unwrap());
                }
                let events: Vec<Value> = kept
                    .changes
                    .iter()
                    .filter(|(at, _, key)| *at > get("after") && key.starts_with(&under))
                    .map(|(_, event, _)| event.clone())
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let page = cbor!({"epoch" => kept.epoch, "events" => events}).unwrap();
                    return answer(200, &page);
                }
            }
        }
        let woken = state.changed.notified();
        let _ = tokio::time::timeout(Duration::from_millis(100), woken).await;
    }
}

/// The cloud, and the workers of the machines it rents.
#[derive(Clone, Default)]
pub struct Cloud {
    machines: Arc<Mutex<BTreeMap<String, String>>>,
    /// Where each task is, and how often one was started while it was on another machine.
    places: Arc<Mutex<BTreeMap<String, String>>>,
    twice: Arc<AtomicUsize>,
    nodes: Arc<Mutex<Vec<String>>>,
}

impl Cloud {
    /// Starts one on the running system; its address. Its workers report to `nodes`.
    pub fn start(&self, nodes: Vec<String>) -> String {
        *self.nodes.lock().unwrap() = nodes;
        let cloud = web::Data::new(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(cloud.clone())
                .route("/flavors", web::get().to(flavors))
                .route("/machines", web::get().to(machines))
                .route("/machines", web::post().to(hire))
                .route("/machines/return", web::post().to(give_back))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        address
    }

    /// How often a task was started on one machine while it was on another.
    pub fn ran_twice(&self) -> usize {
        self.twice.load(Ordering::Relaxed)
    }

    fn starts(&self, task: &str, machine: &str) {
        let mut places = self.places.lock().unwrap();
        let before = places.insert(task.to_owned(), machine.to_owned());
        if before.is_some_and(|before| before != machine) {
            self.twice.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn leaves(&self, task: &str, machine: &str) {
        let mut places = self.places.lock().unwrap();
        if places.get(task).is_some_and(|at| at == machine) {
            places.remove(task);
        }
    }

    /// Number of machines up.
    pub fn count(&self) -> usize {
        self.machines.lock().unwrap().len()
    }
}

async fn flavors() -> HttpResponse {
    let build = cbor!({
        "name" => "cpu16", "cores" => 16, "cards" => 0, "ramGb" => 64.0, "localGb" => 50,
        "pullGbPerS" => 1.0, "rate" => 0.9, "marketPrice" => 0.3, "bootS" => 1,
        "yards" => ["north", "south"]
    });
    answer(200, &cbor!({"builds" => [build.unwrap()]}).unwrap())
}

async fn machines(cloud: web::Data<Cloud>, _: HttpRequest) -> HttpResponse {
    let hosts: Vec<Value> = cloud
        .machines
        .lock()
        .unwrap()
        .iter()
        .map(|(id, zone)| {
            cbor!({
                "nameId" => id, "address" => "", "build" => "cpu16", "yard" => zone,
                "loaners" => false, "status" => "running", "heldS" => 1.0
            })
            .unwrap()
        })
        .collect();
    answer(200, &cbor!({"hosts" => hosts, "more" => false}).unwrap())
}

async fn hire(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    let zone = text(&body, "yard");
    let mut names = Vec::new();
    for _ in 0..number(&body, "number") {
        let mut machines = cloud.machines.lock().unwrap();
        let name = format!("m-{:06}", machines.len() + 1);
        machines.insert(name.clone(), zone.clone());
        actix::spawn(work(cloud.get_ref().clone(), name.clone(), zone.clone()));
        names.push(name);
    }
    answer(200, &cbor!({"hosts" => names}).unwrap())
}

async fn give_back(cloud: web::Data<Cloud>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    if let Some(Value::Array(names)) = field(&body, "hosts") {
        for name in names.iter().filter_map(Value::as_text) {
            cloud.machines.lock().unwrap().remove(name);
            let mut places = cloud.places.lock().unwrap();
            places.retain(|_, machine| machine != name);
        }
    }
    answer(200, &cbor!({}).unwrap())
}

/// A worker whose tasks complete by the second report after their start. Tasks of jobs with
/// more than fifty processes of work never end by themselves: none are used here.
async fn work(cloud: Cloud, name: String, zone: String) {
    let http = awc::Client::builder()
        .timeout(Duration::from_secs(4))
        .finish();
    let (mut tally, mut baton, mut node) = (0u64, 0u64, 0usize);
    let mut tasks: Vec<(String, u64, u32)> = Vec::new();
    while cloud.machines.lock().unwrap().contains_key(&name) {
        tokio::time::sleep(Duration::from_millis(100)).await;
        tally += 1;
        let list: Vec<Value> = tasks
            .iter_mut()
            .map(|(task, attempt, reports)| {
                *reports += 1;
                if *reports > 3 {
                    cloud.leaves(task, &name);
                    cbor!({"strand" => *task, "try" => *attempt, "status" => "exited",
                        "cause" => "done"})
                    .unwrap()
                } else {
                    cbor!({"strand" => *task, "try" => *attempt, "status" => "running"}).unwrap()
                }
            })
            .collect();
        let report = cbor!({
            "host" => name, "address" => "127.0.0.1:1", "build" => "cpu16", "yard" => zone,
            "loaners" => false, "tenure" => 1, "tally" => tally, "baton" => baton,
            "recallS" => null, "strands" => list
        });
        let nodes = cloud.nodes.lock().unwrap().clone();
        let url = format!("http://{}/hello", nodes[node % nodes.len()]);
        let sent = http.post(url).send_body(encode(&report.unwrap())).await;
        let Ok(mut got) = sent else {
            node += 1;
            continue;
        };
        let body = got.body().await.map(|b| decode(&b)).unwrap_or(Value::Null);
        if got.status() != 200 || number(&body, "baton") < baton {
            continue;
        }
        baton = number(&body, "baton");
        let Some(Value::Array(orders)) = field(&body, "orders") else {
            continue;
        };
        for order in orders {
            let (task, attempt) = (text(order, "strand"), number(order, "try"));
            let known = tasks.iter().any(|t| t.0 == task && t.1 == attempt);
            match text(order, "verb").as_str() {
                "run" if !known => {
                    cloud.starts(&task, &name);
                    tasks.push((task, attempt, 0));
                }
                "clear" | "kill" => {
                    cloud.leaves(&task, &name);
                    tasks.retain(|t| t.0 != task || t.1 != attempt);
                }
                _ => {}
            }
        }
    }
}
