//! The program as a process, with the stand-ins that it talks to, and a client for it.

#![allow(dead_code)]

use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ciborium::{cbor, Value};

use crate::common;
use knotlanding_testbed::cloud::Cloud;
use knotlanding_testbed::key_value_store::KeyValueStore;
use knotlanding_testbed::message::{decode, encode, free_address, text};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_knotlanding");
/// Long enough for any machine; nothing here measures time.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A running program, ended with the test.
pub struct Node {
    child: Child,
    pub public: String,
    pub peer: String,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A place for a node: its settings and the systems outside.
pub struct Bench {
    pub store: KeyValueStore,
    pub cloud: Cloud,
    pub file: PathBuf,
    pub public: String,
    pub peer: String,
}

impl Bench {
    pub fn new(name: &str) -> Self {
        Self::with_settings(name, |text| text)
    }

    /// One whose settings are changed before they are written.
    pub fn with_settings(name: &str, change: impl Fn(String) -> String) -> Self {
        let (store, cloud) = (KeyValueStore::default(), Cloud::default());
        let (public, peer) = (free_address(), free_address());
        let state_address = store.start();
        let cloud_address = cloud.start(vec![public.clone()]);
        let text = common::settings_text("knot-0", &public, &peer, &state_address, &cloud_address);
        let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
        std::fs::write(&file, change(text)).unwrap();
        Self {
            store,
            cloud,
            file,
            public,
            peer,
        }
    }

    pub fn start(&self) -> Node {
        self.start_with(&[])
    }

    /// Starts the program with further arguments.
    pub fn start_with(&self, arguments: &[&str]) -> Node {
        let child = Command::new(PROGRAM)
            .args(arguments)
            .arg("--config")
            .arg(&self.file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Node {
            child,
            public: self.public.clone(),
            peer: self.peer.clone(),
        }
    }
}

pub fn job(id: &str, kind: &str, tasks: u64, cpus: f64) -> Value {
    cbor!({
        "nameId" => id, "lane" => "batch", "owner" => "blue", "shape" => kind,
        "rank" => "standard", "strands" => tasks, "cores" => cpus, "cards" => 0.0,
        "ramGb" => 4.0, "bundle" => "img", "sizeGb" => 1.0, "builds" => null, "yard" => null,
        "oneZone" => false, "apart" => false, "loaners" => true, "expectS" => 5.0,
        "markEveryS" => 0.0, "markCostS" => 0.0, "dueS" => null, "newField" => 1
    })
    .unwrap()
}

pub fn without(value: &Value, name: &str) -> Value {
    let map = value.as_map().unwrap().iter();
    Value::Map(
        map.filter(|(k, _)| k.as_text() != Some(name))
            .cloned()
            .collect(),
    )
}

pub fn with(value: &Value, name: &str, field: Value) -> Value {
    let mut map = without(value, name).into_map().unwrap();
    map.push((Value::Text(name.to_owned()), field));
    Value::Map(map)
}

impl Node {
    pub async fn post(&self, path: &str, body: Vec<u8>) -> (u16, Value, Option<String>) {
        let http = awc::Client::builder()
            .timeout(Duration::from_secs(5))
            .finish();
        let sent = http.post(format!("http://{}{path}", self.public));
        let Ok(mut answer) = sent.send_body(body).await else {
            return (0, Value::Null, None);
        };
        let retry = answer.headers().get("retry-after");
        let retry = retry.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let status = answer.status().as_u16();
        let body = answer.body().await.map(|b| decode(&b));
        (status, body.unwrap_or(Value::Null), retry)
    }

    pub async fn submit(&self, job: &Value) -> u16 {
        self.post("/api/jobs", encode(job)).await.0
    }

    pub async fn poll(&self, id: &str) -> (u16, Value) {
        let http = awc::Client::builder()
            .timeout(Duration::from_secs(5))
            .finish();
        let url = format!("http://{}/api/jobs/{id}", self.public);
        let Ok(mut answer) = http.get(url).send().await else {
            return (0, Value::Null);
        };
        let body = answer.body().await.map(|b| decode(&b));
        (answer.status().as_u16(), body.unwrap_or(Value::Null))
    }

    pub async fn until(&self, id: &str, status: &str) -> Value {
        let began = Instant::now();
        loop {
            let (code, body) = self.poll(id).await;
            if code == 200 && text(&body, "status") == status {
                return body;
            }
            assert!(began.elapsed() < TEST_TIMEOUT, "{id}: {code} {body:?}");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Submits until accepted.
    pub async fn accept(&self, job: &Value) {
        let began = Instant::now();
        while self.submit(job).await != 201 {
            assert!(began.elapsed() < TEST_TIMEOUT, "not accepted");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    pub async fn admin(&self, method: &str, path: &str, body: &str) -> (u16, serde_json::Value) {
        let http = awc::Client::builder()
            .timeout(Duration::from_secs(5))
            .finish();
        let url = format!("http://{}/admin/{path}", self.peer);
        let method = awc::http::Method::from_bytes(method.as_bytes()).unwrap();
        let sent = http.request(method, url).send_body(body.to_owned()).await;
        let Ok(mut answer) = sent else {
            return (0, serde_json::Value::Null);
        };
        let bytes = answer.body().await.unwrap_or_default();
        let json = serde_json::from_slice(&bytes).unwrap_or_default();
        (answer.status().as_u16(), json)
    }
}
