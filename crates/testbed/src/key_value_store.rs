//! A stand-in for the key-value store.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use tokio::sync::Notify;

use crate::history::{Event, History};
use crate::message::{decode, field, number, respond, text};

/// Key of the leader's record, whose lease is part of the history.
const LEADER_KEY: &str = "kl/leader";

/// A value with its version and lease.
struct StoredValue {
    value: Value,
    version: u64,
    /// The lease to which the key is attached; 0 without one.
    lease: u64,
}

/// A change of a key, as watches deliver it.
struct ChangeEvent {
    revision: u64,
    key: String,
    event: Value,
}

/// A lease with its last renewal.
struct Lease {
    ttl: Duration,
    renewed: Instant,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    changes: Vec<ChangeEvent>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    requests: usize,
    /// Changes up to this revision are compacted.
    compacted_up_to: u64,
    outage: bool,
    writes_refused: bool,
    history: History,
}

impl Inner {
    /// Releases expired leases. Returns whether there were any.
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.duration_since(lease.renewed) > lease.ttl)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| self.release(*id));
        !expired.is_empty()
    }

    /// Releases a lease and deletes its keys in one revision.
    fn release(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.delete(&key);
        }
    }

    /// Writes a key at the present revision.
    fn put(&mut self, key: String, value: Value, lease: u64) {
        let revision = self.revision;
        let event = cbor!({"set" => key, "v" => value, "stamp" => revision}).unwrap();
        self.changes.push(ChangeEvent {
            revision,
            key: key.clone(),
            event,
        });
        let stored = StoredValue {
            value,
            version: revision,
            lease,
        };
        self.keys.insert(key, stored);
    }

    /// Deletes a key at the present revision.
    fn delete(&mut self, key: &str) {
        let Some(stored) = self.keys.remove(key) else {
            return;
        };
        if key == LEADER_KEY {
            let term = number(&stored.value, "term");
            self.history.record(Event::LeadershipLost { term });
        }
        let event = cbor!({"drop" => key, "stamp" => self.revision}).unwrap();
        self.changes.push(ChangeEvent {
            revision: self.revision,
            key: key.to_owned(),
            event,
        });
    }
}

/// The key-value store.
#[derive(Clone, Default)]
pub struct KeyValueStore {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

impl KeyValueStore {
    /// A store that records its leaders in a history.
    pub fn recording(history: History) -> Self {
        let store = Self::default();
        store.inner.lock().unwrap().history = history;
        store
    }

    /// Starts or stops to refuse transactions with changes. Reads and leases are served all the while.
    pub fn set_writes_refused(&self, refused: bool) {
        let mut inner = self.inner.lock().unwrap();
        if inner.writes_refused != refused {
            inner.writes_refused = refused;
            inner.history.record(Event::WritesRefused(refused));
        }
    }

    /// Starts the server on the running system and returns its address.
    pub fn start(&self) -> String {
        let store = web::Data::new(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(store.clone())
                .route("/keys", web::get().to(list_rows))
                .route("/keys/{key:.*}", web::get().to(get_row))
                .route("/multi", web::post().to(transact))
                .route("/leases", web::post().to(grant_lease))
                .route("/leases/{id}/renew", web::post().to(renew_lease))
                .route("/leases/{id}", web::delete().to(release_lease))
                .route("/follow", web::get().to(watch))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        address
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.outage = outage;
        let now = Instant::now();
        inner
            .leases
            .values_mut()
            .for_each(|lease| lease.renewed = now);
    }

    /// Writes a key on behalf of another controller.
    pub fn put(&self, key: &str, value: Value) {
        self.put_all(std::iter::once((key.to_owned(), value)));
    }

    /// Writes many keys as transactions that one watch response contains.
    pub fn put_all(&self, keys: impl Iterator<Item = (String, Value)>) {
        let mut inner = self.inner.lock().unwrap();
        for (key, value) in keys {
            inner.revision += 1;
            inner.put(key, value, 0);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Writes a key and compacts the history up to it, so that open watches are too old.
    pub fn put_and_compact(&self, key: &str, value: Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 2;
        inner.put(key.to_owned(), value, 0);
        inner.changes.clear();
        inner.compacted_up_to = inner.revision - 1;
    }

    /// Number of requests received.
    pub fn request_count(&self) -> usize {
        self.inner.lock().unwrap().requests
    }

    /// A key's value.
    pub fn get(&self, key: &str) -> Option<Value> {
        let inner = self.inner.lock().unwrap();
        inner.keys.get(key).map(|stored| stored.value.clone())
    }

    /// Counts a request and refuses it during an outage.
    fn admit(&self) -> Result<std::sync::MutexGuard<'_, Inner>, Box<HttpResponse>> {
        let mut inner = self.inner.lock().unwrap();
        inner.requests += 1;
        if inner.outage {
            return Err(Box::new(HttpResponse::ServiceUnavailable().finish()));
        }
        if inner.expire() {
            self.changed.notify_waiters();
        }
        Ok(inner)
    }
}

type Query = web::Query<BTreeMap<String, String>>;

/// Rows of a page, few so that clients have to read further pages.
const PAGE_ROWS: usize = 7;

/// A row as reads deliver it.
fn row(key: &str, stored: &StoredValue) -> Value {
    cbor!({"path" => key, "v" => stored.value, "stamp" => stored.version}).unwrap()
}

async fn get_row(store: web::Data<KeyValueStore>, key: web::Path<String>) -> HttpResponse {
    let inner = match store.admit() {
        Ok(inner) => inner,
        Err(refused) => return *refused,
    };
    match inner.keys.get(key.as_str()) {
        Some(stored) => {
            let row = row(key.as_str(), stored);
            respond(200, &row)
        }
        None => respond(404, &cbor!({"epoch" => inner.revision}).unwrap()),
    }
}

async fn list_rows(store: web::Data<KeyValueStore>, query: Query) -> HttpResponse {
    let inner = match store.admit() {
        Ok(inner) => inner,
        Err(refused) => return *refused,
    };
    let under = query.get("under").cloned().unwrap_or_default();
    let after = query.get("after").cloned().unwrap_or_default();
    let below: Vec<_> = inner
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with(&under) && **key > after)
        .collect();
    let more = below.len() > PAGE_ROWS;
    let rows: Vec<Value> = below
        .into_iter()
        .take(PAGE_ROWS)
        .map(|(key, stored)| row(key, stored))
        .collect();
    let page = cbor!({"rows" => rows, "more" => more, "epoch" => inner.revision}).unwrap();
    respond(200, &page)
}

async fn transact(store: web::Data<KeyValueStore>, body: web::Bytes) -> HttpResponse {
    let mut inner = match store.admit() {
        Ok(inner) => inner,
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
            let stored = inner.keys.get(&text(when, "path"));
            stored.map_or(0, |stored| stored.version) != number(when, "stamp")
        })
        .map(|when| text(when, "path"))
        .collect();
    if !failed.is_empty() {
        let conflict = cbor!({"failed" => failed, "epoch" => inner.revision}).unwrap();
        return respond(409, &conflict);
    }
    if !list("apply").is_empty() {
        if inner.writes_refused {
            return HttpResponse::ServiceUnavailable().finish();
        }
        inner.revision += 1;
    }
    let revision = inner.revision;
    for change in list("apply") {
        if field(change, "drop").is_some() {
            inner.delete(&text(change, "drop"));
            continue;
        }
        let key = text(change, "set");
        let value = field(change, "v").cloned().unwrap_or(Value::Null);
        if key == LEADER_KEY {
            let (term, member) = (number(&value, "term"), text(&value, "member"));
            inner
                .history
                .record(Event::LeadershipGained { term, member });
        }
        inner.put(key, value, number(change, "hold"));
    }
    drop(inner);
    store.changed.notify_waiters();
    respond(200, &cbor!({"epoch" => revision}).unwrap())
}

async fn grant_lease(store: web::Data<KeyValueStore>, body: web::Bytes) -> HttpResponse {
    let mut inner = match store.admit() {
        Ok(inner) => inner,
        Err(refused) => return *refused,
    };
    inner.next_lease += 1;
    let id = inner.next_lease;
    let ttl = Duration::from_millis(number(&decode(&body), "ttlMs"));
    let renewed = Instant::now();
    inner.leases.insert(id, Lease { ttl, renewed });
    respond(200, &cbor!({"hold" => id}).unwrap())
}

async fn renew_lease(store: web::Data<KeyValueStore>, id: web::Path<u64>) -> HttpResponse {
    let mut inner = match store.admit() {
        Ok(inner) => inner,
        Err(refused) => return *refused,
    };
    match inner.leases.get_mut(&id) {
        Some(lease) => {
            lease.renewed = Instant::now();
            respond(200, &cbor!({}).unwrap())
        }
        None => respond(404, &cbor!({}).unwrap()),
    }
}

async fn release_lease(store: web::Data<KeyValueStore>, id: web::Path<u64>) -> HttpResponse {
    let mut inner = match store.admit() {
        Ok(inner) => inner,
        Err(refused) => return *refused,
    };
    inner.release(*id);
    drop(inner);
    store.changed.notify_waiters();
    respond(200, &cbor!({}).unwrap())
}

async fn watch(store: web::Data<KeyValueStore>, query: Query) -> HttpResponse {
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
            let mut inner = store.inner.lock().unwrap();
            inner.requests += usize::from(first);
            first = false;
            if !inner.outage {
                inner.expire();
                if get("after") < inner.compacted_up_to {
                    return respond(410, &cbor!({}).unwrap());
                }
                let events: Vec<Value> = inner
                    .changes
                    .iter()
                    .filter(|change| {
                        change.revision > get("after") && change.key.starts_with(&under)
                    })
                    .map(|change| change.event.clone())
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    let page = cbor!({"epoch" => inner.revision, "events" => events}).unwrap();
                    return respond(200, &page);
                }
            }
        }
        let woken = store.changed.notified();
        let _ = tokio::time::timeout(Duration::from_millis(100), woken).await;
    }
}
