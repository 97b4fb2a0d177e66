//! A stand-in for the state service.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use tokio::sync::Notify;

use crate::history::{Event, History};
use crate::message::{answer, decode, field, number, text};

/// Key of the leader's record, whose lease is part of the history.
const LEADER_KEY: &str = "kl/leader";

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
    writes_fail: bool,
    history: History,
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
        if let Some((value, _, _)) = self.keys.remove(key) {
            if key == LEADER_KEY {
                let term = number(&value, "term");
                self.history.add(Event::LeadEnded { term });
            }
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
    /// One whose leases are part of a history.
    pub fn recording(history: History) -> Self {
        let state = Self::default();
        state.kept.lock().unwrap().history = history;
        state
    }

    /// Transactions with changes are refused, or no longer. Reads and leases are served all the while.
    pub fn set_writes_fail(&self, fail: bool) {
        let mut kept = self.kept.lock().unwrap();
        if kept.writes_fail != fail {
            kept.writes_fail = fail;
            kept.history.add(Event::WritesRefused(fail));
        }
    }

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
        if kept.writes_fail {
            return HttpResponse::ServiceUnavailable().finish();
        }
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
        if key == LEADER_KEY {
            let (term, member) = (number(&value, "term"), text(&value, "member"));
            kept.history.add(Event::LeadBegan { term, member });
        }
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
