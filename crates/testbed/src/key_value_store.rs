//! A stand-in for the key-value store: keys with versions, leases, transactions and watches over HTTP.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use tokio::sync::Notify;

use crate::history::{Event, History};
use crate::message::{decode, field, number, respond, text};

/// Key of the leader's record; the store adds its writes and deletions to the history.
const LEADER_KEY: &str = "kl/leader";

struct StoredValue {
    value: Value,
    /// Revision of the last write.
    version: u64,
    /// The lease to which the key is attached; 0 if there is none.
    lease: u64,
}

/// A change of a key, with the event that watches deliver for it.
struct ChangeEvent {
    revision: u64,
    key: String,
    event: Value,
}

struct Lease {
    ttl: Duration,
    renewed_at: Instant,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    keys: BTreeMap<String, StoredValue>,
    changes: Vec<ChangeEvent>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    request_count: usize,
    /// Watches from a revision below this one get a 410, since their changes are discarded.
    compacted_up_to: u64,
    outage: bool,
    writes_refused: bool,
    history: History,
}

impl Inner {
    /// Removes expired leases with their keys. Returns whether there were any.
    fn remove_expired_leases(&mut self) -> bool {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| now.duration_since(lease.renewed_at) > lease.ttl)
            .map(|(id, _)| *id)
            .collect();
        expired.iter().for_each(|id| self.remove_lease(*id));
        !expired.is_empty()
    }

    /// Removes a lease and deletes the keys attached to it, in one revision.
    fn remove_lease(&mut self, lease: u64) {
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

    /// Writes a key at the current revision, which the caller has advanced.
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

    /// Deletes a key, if it exists, at the current revision, which the caller has advanced.
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

/// The key-value store. Clones share its state.
#[derive(Clone, Default)]
pub struct KeyValueStore {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

impl KeyValueStore {
    /// Creates a store that records leadership changes and refused writes in a history.
    pub fn with_history(history: History) -> Self {
        let store = Self::default();
        store.inner.lock().unwrap().history = history;
        store
    }

    /// Sets whether transactions that contain changes get a 503. Reads and lease requests are served
    /// meanwhile.
    pub fn set_writes_refused(&self, refused: bool) {
        let mut inner = self.inner.lock().unwrap();
        if inner.writes_refused != refused {
            inner.writes_refused = refused;
            inner.history.record(Event::WritesRefused(refused));
        }
    }

    /// Starts the server on the running actix system and returns its address.
    pub fn start(&self) -> String {
        let store = web::Data::new(self.clone());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(store.clone())
                .route("/keys", web::get().to(list_keys))
                .route("/keys/{key:.*}", web::get().to(get_key))
                .route("/multi", web::post().to(transact))
                .route("/leases", web::post().to(grant_lease))
                .route("/leases/{id}/renew", web::post().to(renew_lease))
                .route("/leases/{id}", web::delete().to(revoke_lease))
                .route("/follow", web::get().to(watch))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        address
    }

    /// Starts or ends an outage. During an outage requests get a 503, watches wait for its end, and no lease
    /// expires. Each call renews all leases, so none has expired when an outage ends.
    pub fn set_outage(&self, outage: bool) {
        let mut inner = self.inner.lock().unwrap();
        inner.outage = outage;
        let now = Instant::now();
        inner
            .leases
            .values_mut()
            .for_each(|lease| lease.renewed_at = now);
    }

    /// Writes a key without a lease, as another controller would.
    pub fn put(&self, key: &str, value: Value) {
        self.put_all(std::iter::once((key.to_owned(), value)));
    }

    /// Writes each key at a revision of its own. The store stays locked until the last one is written, so one
    /// watch response contains them all.
    pub fn put_all(&self, keys: impl Iterator<Item = (String, Value)>) {
        let mut inner = self.inner.lock().unwrap();
        for (key, value) in keys {
            inner.revision += 1;
            inner.put(key, value, 0);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Writes a key and discards all changes, so that open watches get a 410. The revision advances by two,
    /// so that a watch from the revision before the call gets one as well.
    pub fn put_and_compact(&self, key: &str, value: Value) {
        let mut inner = self.inner.lock().unwrap();
        inner.revision += 2;
        inner.put(key.to_owned(), value, 0);
        inner.changes.clear();
        inner.compacted_up_to = inner.revision - 1;
    }

    /// Number of requests received, including those refused in an outage.
    pub fn request_count(&self) -> usize {
        self.inner.lock().unwrap().request_count
    }

    /// The value of a key; `None` if the key does not exist.
    pub fn get(&self, key: &str) -> Option<Value> {
        let inner = self.inner.lock().unwrap();
        inner.keys.get(key).map(|stored| stored.value.clone())
    }

    /// Counts a request and removes expired leases. During an outage it returns a 503 instead of the locked
    /// state.
    fn admit(&self) -> Result<std::sync::MutexGuard<'_, Inner>, Box<HttpResponse>> {
        let mut inner = self.inner.lock().unwrap();
        inner.request_count += 1;
        if inner.outage {
            return Err(Box::new(HttpResponse::ServiceUnavailable().finish()));
        }
        if inner.remove_expired_leases() {
            self.changed.notify_waiters();
        }
        Ok(inner)
    }
}

type Query = web::Query<BTreeMap<String, String>>;

/// Maximum number of keys in a page, so small that clients have to read further pages.
const KEYS_PER_PAGE: usize = 7;

/// Encodes a key with its value and version as reads deliver them.
fn key_message(key: &str, stored: &StoredValue) -> Value {
    cbor!({"path" => key, "v" => stored.value, "stamp" => stored.version}).unwrap()
}

async fn get_key(store: web::Data<KeyValueStore>, key: web::Path<String>) -> HttpResponse {
    let inner = match store.admit() {
        Ok(inner) => inner,
        Err(response) => return *response,
    };
    match inner.keys.get(key.as_str()) {
        Some(stored) => {
            let message = key_message(key.as_str(), stored);
            respond(200, &message)
        }
        None => respond(404, &cbor!({"epoch" => inner.revision}).unwrap()),
    }
}

async fn list_keys(store: web::Data<KeyValueStore>, query: Query) -> HttpResponse {
    let inner = match store.admit() {
        Ok(inner) => inner,
        Err(response) => return *response,
    };
    let prefix = query.get("under").cloned().unwrap_or_default();
    let after = query.get("after").cloned().unwrap_or_default();
    let matching: Vec<_> = inner
        .keys
        .iter()
        .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
        .collect();
    let more = matching.len() > KEYS_PER_PAGE;
    let messages: Vec<Value> = matching
        .into_iter()
        .take(KEYS_PER_PAGE)
        .map(|(key, stored)| key_message(key, stored))
        .collect();
    let page = cbor!({"rows" => messages, "more" => more, "epoch" => inner.revision}).unwrap();
    respond(200, &page)
}

async fn transact(store: web::Data<KeyValueStore>, body: web::Bytes) -> HttpResponse {
    let mut inner = match store.admit() {
        Ok(inner) => inner,
        Err(response) => return *response,
    };
    let body = decode(&body);
    let empty = Vec::new();
    let list = |name| {
        field(&body, name)
            .and_then(Value::as_array)
            .unwrap_or(&empty)
    };
    let failed_keys: Vec<String> = list("when")
        .iter()
        .filter(|condition| {
            let stored = inner.keys.get(&text(condition, "path"));
            stored.map_or(0, |stored| stored.version) != number(condition, "stamp")
        })
        .map(|condition| text(condition, "path"))
        .collect();
    if !failed_keys.is_empty() {
        let conflict = cbor!({"failed" => failed_keys, "epoch" => inner.revision}).unwrap();
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
        Err(response) => return *response,
    };
    inner.next_lease += 1;
    let id = inner.next_lease;
    let ttl = Duration::from_millis(number(&decode(&body), "ttlMs"));
    let renewed_at = Instant::now();
    inner.leases.insert(id, Lease { ttl, renewed_at });
    respond(200, &cbor!({"hold" => id}).unwrap())
}

async fn renew_lease(store: web::Data<KeyValueStore>, id: web::Path<u64>) -> HttpResponse {
    let mut inner = match store.admit() {
        Ok(inner) => inner,
        Err(response) => return *response,
    };
    match inner.leases.get_mut(&id) {
        Some(lease) => {
            lease.renewed_at = Instant::now();
            respond(200, &cbor!({}).unwrap())
        }
        None => respond(404, &cbor!({}).unwrap()),
    }
}

async fn revoke_lease(store: web::Data<KeyValueStore>, id: web::Path<u64>) -> HttpResponse {
    let mut inner = match store.admit() {
        Ok(inner) => inner,
        Err(response) => return *response,
    };
    inner.remove_lease(*id);
    drop(inner);
    store.changed.notify_waiters();
    respond(200, &cbor!({}).unwrap())
}

async fn watch(store: web::Data<KeyValueStore>, query: Query) -> HttpResponse {
    let parameter = |name: &str| {
        query
            .get(name)
            .and_then(|v| v.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let deadline = Instant::now() + Duration::from_millis(parameter("holdMs"));
    let prefix = query.get("under").cloned().unwrap_or_default();
    let mut first_pass = true;
    loop {
        {
            let mut inner = store.inner.lock().unwrap();
            inner.request_count += usize::from(first_pass);
            first_pass = false;
            if !inner.outage {
                inner.remove_expired_leases();
                if parameter("after") < inner.compacted_up_to {
                    return respond(410, &cbor!({}).unwrap());
                }
                let events: Vec<Value> = inner
                    .changes
                    .iter()
                    .filter(|change| {
                        change.revision > parameter("after") && change.key.starts_with(&prefix)
                    })
                    .map(|change| change.event.clone())
                    .collect();
                if !events.is_empty() || Instant::now() >= deadline {
                    let page = cbor!({"epoch" => inner.revision, "events" => events}).unwrap();
                    return respond(200, &page);
                }
            }
        }
        // Expired leases, and changes between the check above and this wait, give no notification; the
        // timeout bounds the delay.
        let change = store.changed.notified();
        let _ = tokio::time::timeout(Duration::from_millis(100), change).await;
    }
}
