//! The state service: keys with versions, leases, transactions and watches, within its rate limits.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use knotlanding_testbed::message::{decode, field, number, respond, text};
use rand::Rng;
use tokio::sync::Notify;

use crate::record::Record;

const RPS: f64 = 200.0;
const WRITE_RPS: f64 = 80.0;
const TXN_OPS: usize = 32;
const ROWS_MAX: usize = 1000;
/// Bounds of the usual time to answer a request, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 300..1500;

struct Stored {
    value: Value,
    stamp: u64,
    hold: u64,
}

struct Lease {
    ttl: Duration,
    renewed_at: Instant,
}

/// A limit per second with bursts of one second's worth.
struct Limit {
    rate: f64,
    level: f64,
    at: Instant,
}

impl Limit {
    fn new(rate: f64) -> Self {
        Self {
            rate,
            level: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, amount: f64) -> bool {
        let now = Instant::now();
        let gained = now.duration_since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.rate);
        self.at = now;
        let allowed = self.level >= amount;
        if allowed {
            self.level -= amount;
        }
        allowed
    }
}

struct Inner {
    epoch: u64,
    keys: BTreeMap<String, Stored>,
    changes: Vec<(u64, String, Value)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    requests: Limit,
    writes: Limit,
}

impl Inner {
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.duration_since(lease.renewed_at) > lease.ttl)
            .map(|(id, _)| *id)
            .collect();
        ended.iter().for_each(|id| self.end_lease(*id));
        !ended.is_empty()
    }

    fn end_lease(&mut self, hold: u64) {
        self.leases.remove(&hold);
        let keys = self.keys.iter().filter(|(_, stored)| stored.hold == hold);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.epoch += 1;
        }
        keys.iter().for_each(|key| self.delete(key));
    }

    fn put(&mut self, key: &str, value: Value, hold: u64) {
        let stamp = self.epoch;
        let event = cbor!({"set" => key, "v" => value, "stamp" => stamp}).unwrap();
        self.changes.push((stamp, key.to_owned(), event));
        self.keys
            .insert(key.to_owned(), Stored { value, stamp, hold });
    }

    fn delete(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let event = cbor!({"drop" => key, "stamp" => self.epoch}).unwrap();
            self.changes.push((self.epoch, key.to_owned(), event));
        }
    }
}

/// Called after the answer to a read (a watch with `holdMs` 0) of a node was made.
pub type ReadHook = Box<dyn FnOnce() + Send>;

#[derive(Clone)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
    read_hook: Arc<Mutex<Option<(usize, u32, ReadHook)>>>,
    record: Record,
}

/// The store as one node reaches it.
#[derive(Clone)]
struct Port {
    store: Store,
    node: usize,
}

impl Store {
    /// Starts one server on its own thread; returns an address for each node.
    pub fn start(nodes: usize, record: Record) -> (Self, Vec<String>) {
        let store = Self {
            inner: Arc::new(Mutex::new(Inner {
                epoch: 1,
                keys: BTreeMap::new(),
                changes: Vec::new(),
                leases: BTreeMap::new(),
                next_lease: 0,
                requests: Limit::new(RPS),
                writes: Limit::new(WRITE_RPS),
            })),
            changed: Arc::default(),
            read_hook: Arc::default(),
            record,
        };
        let listeners: Vec<TcpListener> = (0..nodes)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let addresses = listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap().to_string())
            .collect();
        let shared = store.clone();
        std::thread::spawn(move || {
            actix::System::new().block_on(async move {
                for (node, listener) in listeners.into_iter().enumerate() {
                    let port = Port {
                        store: shared.clone(),
                        node,
                    };
                    let server = HttpServer::new(move || {
                        App::new()
                            .app_data(web::Data::new(port.clone()))
                            .route("/keys", web::get().to(list))
                            .route("/keys/{key:.*}", web::get().to(get))
                            .route("/multi", web::post().to(multi))
                            .route("/leases", web::post().to(grant))
                            .route("/leases/{id}/renew", web::post().to(renew))
                            .route("/leases/{id}", web::delete().to(revoke))
                            .route("/follow", web::get().to(follow))
                    });
                    let server = server.workers(1).disable_signals();
                    actix::spawn(server.listen(listener).unwrap().run());
                }
                loop {
                    actix::clock::sleep(Duration::from_millis(50)).await;
                    let expired = shared.inner.lock().unwrap().expire();
                    if expired {
                        shared.changed.notify_waiters();
                    }
                }
            });
        });
        (store, addresses)
    }

    /// The node that is the leader by the record of the controllers. Only the choice of the process
    /// that gets a signal depends on it.
    pub fn leader(&self) -> Option<String> {
        let inner = self.inner.lock().unwrap();
        inner
            .keys
            .get("kl/leader")
            .map(|stored| text(&stored.value, "member"))
    }

    /// Runs `hook` once, right after the answer to the `count`th read of this node from now was made.
    pub fn after_read(&self, node: usize, count: u32, hook: ReadHook) {
        *self.read_hook.lock().unwrap() = Some((node, count, hook));
    }

    fn run_read_hook(&self, node: usize) {
        let mut slot = self.read_hook.lock().unwrap();
        if let Some((_, left, _)) = slot.as_mut().filter(|(of, _, _)| *of == node) {
            *left -= 1;
            if *left == 0 {
                if let Some((_, _, hook)) = slot.take() {
                    hook();
                }
            }
        }
    }
}

type Query = web::Query<BTreeMap<String, String>>;

/// Counts a request; 429 above the limit.
async fn admit(port: &Port) -> Result<MutexGuard<'_, Inner>, HttpResponse> {
    let latency = rand::rng().random_range(LATENCY_US);
    actix::clock::sleep(Duration::from_micros(latency)).await;
    let mut inner = port.store.inner.lock().unwrap();
    if !inner.requests.take(1.0) {
        return Err(HttpResponse::TooManyRequests().finish());
    }
    if inner.expire() {
        port.store.changed.notify_waiters();
    }
    Ok(inner)
}

fn row(key: &str, stored: &Stored) -> Value {
    cbor!({"path" => key, "v" => stored.value, "stamp" => stored.stamp}).unwrap()
}

async fn get(port: web::Data<Port>, key: web::Path<String>) -> HttpResponse {
    let inner = match admit(&port).await {
        Ok(inner) => inner,
        Err(response) => return response,
    };
    match inner.keys.get(key.as_str()) {
        Some(stored) => respond(200, &row(&key, stored)),
        None => respond(404, &cbor!({"epoch" => inner.epoch}).unwrap()),
    }
}

async fn list(port: web::Data<Port>, query: Query) -> HttpResponse {
    let inner = match admit(&port).await {
        Ok(inner) => inner,
        Err(response) => return response,
    };
    let under = query.get("under").cloned().unwrap_or_default();
    let after = query.get("after").cloned().unwrap_or_default();
    let limit = query.get("limit").and_then(|limit| limit.parse().ok());
    let limit = limit.unwrap_or(ROWS_MAX).min(ROWS_MAX);
    let rows = inner.keys.iter();
    let rows: Vec<_> = rows
        .filter(|(key, _)| key.starts_with(&under) && **key > after)
        .collect();
    let more = rows.len() > limit;
    let rows: Vec<Value> = rows
        .into_iter()
        .take(limit)
        .map(|(k, s)| row(k, s))
        .collect();
    let page = cbor!({"rows" => rows, "more" => more, "epoch" => inner.epoch});
    respond(200, &page.unwrap())
}

fn items(body: &Value, name: &str) -> Vec<Value> {
    let found = field(body, name).and_then(Value::as_array);
    found.cloned().unwrap_or_default()
}

async fn multi(port: web::Data<Port>, body: web::Bytes) -> HttpResponse {
    let body = decode(&body);
    let (when, apply) = (items(&body, "when"), items(&body, "apply"));
    let mut inner = match admit(&port).await {
        Ok(inner) => inner,
        Err(response) => return response,
    };
    if apply.len() > TXN_OPS || when.len() > 4 * TXN_OPS {
        return respond(400, &cbor!({"error" => "too large"}).unwrap());
    }
    if !inner.writes.take(apply.len() as f64) {
        return HttpResponse::TooManyRequests().finish();
    }
    let holds = apply.iter().map(|change| number(change, "hold"));
    if holds
        .into_iter()
        .any(|hold| hold != 0 && !inner.leases.contains_key(&hold))
    {
        return respond(400, &cbor!({"error" => "no such lease"}).unwrap());
    }
    let failed: Vec<String> = when
        .iter()
        .filter(|condition| {
            let stored = inner.keys.get(&text(condition, "path"));
            stored.map_or(0, |stored| stored.stamp) != number(condition, "stamp")
        })
        .map(|condition| text(condition, "path"))
        .collect();
    if !failed.is_empty() {
        let conflict = cbor!({"failed" => failed, "epoch" => inner.epoch});
        return respond(409, &conflict.unwrap());
    }
    if !apply.is_empty() {
        inner.epoch += 1;
    }
    for change in &apply {
        if field(change, "drop").is_some() {
            inner.delete(&text(change, "drop"));
        } else {
            let value = field(change, "v").cloned().unwrap_or(Value::Null);
            let key = text(change, "set");
            if key == "kl/leader" {
                port.store.record.line(format!(
                    "state service: leader is {}",
                    text(&value, "member")
                ));
            }
            inner.put(&key, value, number(change, "hold"));
        }
    }
    let epoch = inner.epoch;
    drop(inner);
    port.store.changed.notify_waiters();
    respond(200, &cbor!({"epoch" => epoch}).unwrap())
}

async fn grant(port: web::Data<Port>, body: web::Bytes) -> HttpResponse {
    let mut inner = match admit(&port).await {
        Ok(inner) => inner,
        Err(response) => return response,
    };
    inner.next_lease += 1;
    let hold = inner.next_lease;
    let ttl = Duration::from_millis(number(&decode(&body), "ttlMs"));
    inner.leases.insert(
        hold,
        Lease {
            ttl,
            renewed_at: Instant::now(),
        },
    );
    respond(200, &cbor!({"hold" => hold}).unwrap())
}

async fn renew(port: web::Data<Port>, id: web::Path<u64>) -> HttpResponse {
    let mut inner = match admit(&port).await {
        Ok(inner) => inner,
        Err(response) => return response,
    };
    match inner.leases.get_mut(&id) {
        Some(lease) => {
            lease.renewed_at = Instant::now();
            respond(200, &cbor!({}).unwrap())
        }
        None => respond(404, &cbor!({}).unwrap()),
    }
}

async fn revoke(port: web::Data<Port>, id: web::Path<u64>) -> HttpResponse {
    let mut inner = match admit(&port).await {
        Ok(inner) => inner,
        Err(response) => return response,
    };
    inner.end_lease(*id);
    drop(inner);
    port.store.changed.notify_waiters();
    respond(200, &cbor!({}).unwrap())
}

async fn follow(port: web::Data<Port>, query: Query) -> HttpResponse {
    let parameter = |name: &str| {
        query
            .get(name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let under = query.get("under").cloned().unwrap_or_default();
    let (after, hold_ms) = (parameter("after"), parameter("holdMs"));
    let deadline = Instant::now() + Duration::from_millis(hold_ms);
    if let Err(response) = admit(&port).await {
        return response;
    }
    loop {
        let change = port.store.changed.notified();
        {
            let inner = port.store.inner.lock().unwrap();
            let first = inner
                .changes
                .partition_point(|(stamp, _, _)| *stamp <= after);
            let newer = inner.changes[first..].iter();
            let events: Vec<Value> = newer
                .filter(|(_, key, _)| key.starts_with(&under))
                .map(|(_, _, event)| event.clone())
                .collect();
            if !events.is_empty() || Instant::now() >= deadline {
                let page = cbor!({"epoch" => inner.epoch, "events" => events}).unwrap();
                drop(inner);
                if hold_ms == 0 {
                    port.store.run_read_hook(port.node);
                }
                return respond(200, &page);
            }
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = tokio::time::timeout(left.min(Duration::from_millis(100)), change).await;
    }
}
