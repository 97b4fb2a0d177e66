//! A controller process on loopback, stand-ins for the key-value store and the cloud, and an HTTP
//! client of the controller.

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
/// Limit of each wait. It is generous for slow machines, since no test here asserts a duration.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// A running controller. Dropping it kills the process.
pub struct ControllerProcess {
    child: Child,
    pub public_addr: String,
    pub peer_addr: String,
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Settings, store and cloud of one controller. They outlast the process, which can be restarted on
/// them.
pub struct ControllerEnvironment {
    pub store: KeyValueStore,
    pub cloud: Cloud,
    pub settings_file: PathBuf,
    pub public_addr: String,
    pub peer_addr: String,
}

impl ControllerEnvironment {
    /// `name` is the file name of the settings, without its extension; it must be unique among the tests.
    pub fn new(name: &str) -> Self {
        Self::with_settings(name, |text| text)
    }

    /// Applies `modify` to the text of the settings before writing the file.
    pub fn with_settings(name: &str, modify: impl Fn(String) -> String) -> Self {
        let (store, cloud) = (KeyValueStore::default(), Cloud::default());
        let (public_addr, peer_addr) = (free_address(), free_address());
        let store_address = store.start();
        let cloud_address = cloud.start(vec![public_addr.clone()]);
        let text = common::settings_text(
            "knot-0",
            &public_addr,
            &peer_addr,
            &store_address,
            &cloud_address,
        );
        let settings_file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.toml"));
        std::fs::write(&settings_file, modify(text)).unwrap();
        Self {
            store,
            cloud,
            settings_file,
            public_addr,
            peer_addr,
        }
    }

    pub fn start(&self) -> ControllerProcess {
        self.start_with_arguments(&[])
    }

    /// Puts `arguments` before `--config`.
    pub fn start_with_arguments(&self, arguments: &[&str]) -> ControllerProcess {
        let child = Command::new(PROGRAM)
            .args(arguments)
            .arg("--config")
            .arg(&self.settings_file)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        ControllerProcess {
            child,
            public_addr: self.public_addr.clone(),
            peer_addr: self.peer_addr.clone(),
        }
    }
}

/// Body of a submission by the team `blue`; `kind` is `array`, or `group` for a gang. The controller
/// ignores the unknown field `newField`.
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

pub fn without_field(value: &Value, name: &str) -> Value {
    let map = value.as_map().unwrap().iter();
    Value::Map(
        map.filter(|(key, _)| key.as_text() != Some(name))
            .cloned()
            .collect(),
    )
}

/// Adds the field, or replaces its value.
pub fn with_field(value: &Value, name: &str, field: Value) -> Value {
    let mut map = without_field(value, name).into_map().unwrap();
    map.push((Value::Text(name.to_owned()), field));
    Value::Map(map)
}

impl ControllerProcess {
    /// Returns the status, the body and the `Retry-After` header. The status is 0 if no response arrives.
    pub async fn post(&self, path: &str, body: Vec<u8>) -> (u16, Value, Option<String>) {
        let http = awc::Client::builder()
            .timeout(Duration::from_secs(5))
            .finish();
        let sent = http.post(format!("http://{}{path}", self.public_addr));
        let Ok(mut response) = sent.send_body(body).await else {
            return (0, Value::Null, None);
        };
        let retry = response.headers().get("retry-after");
        let retry = retry.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let status = response.status().as_u16();
        let body = response.body().await.map(|b| decode(&b));
        (status, body.unwrap_or(Value::Null), retry)
    }

    pub async fn submit(&self, job: &Value) -> u16 {
        self.post("/api/jobs", encode(job)).await.0
    }

    /// Queries the state of a job. The status is 0 if no response arrives.
    pub async fn poll(&self, id: &str) -> (u16, Value) {
        let http = awc::Client::builder()
            .timeout(Duration::from_secs(5))
            .finish();
        let url = format!("http://{}/api/jobs/{id}", self.public_addr);
        let Ok(mut response) = http.get(url).send().await else {
            return (0, Value::Null);
        };
        let body = response.body().await.map(|b| decode(&b));
        (response.status().as_u16(), body.unwrap_or(Value::Null))
    }

    /// Polls the job until it has the status, and returns its state.
    pub async fn wait_for_status(&self, id: &str, status: &str) -> Value {
        let started_at = Instant::now();
        loop {
            let (code, body) = self.poll(id).await;
            if code == 200 && text(&body, "status") == status {
                return body;
            }
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "job {id} does not reach status {status}: {code} {body:?}"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Repeats the submission until the controller responds with 201.
    pub async fn submit_until_accepted(&self, job: &Value) {
        let started_at = Instant::now();
        while self.submit(job).await != 201 {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "no submission is accepted"
            );
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Sends a request of the admin interface. The status is 0 if no response arrives.
    pub async fn admin(&self, method: &str, path: &str, body: &str) -> (u16, serde_json::Value) {
        let http = awc::Client::builder()
            .timeout(Duration::from_secs(5))
            .finish();
        let url = format!("http://{}/admin/{path}", self.peer_addr);
        let method = awc::http::Method::from_bytes(method.as_bytes()).unwrap();
        let sent = http.request(method, url).send_body(body.to_owned()).await;
        let Ok(mut response) = sent else {
            return (0, serde_json::Value::Null);
        };
        let bytes = response.body().await.unwrap_or_default();
        let json = serde_json::from_slice(&bytes).unwrap_or_default();
        (response.status().as_u16(), json)
    }
}
