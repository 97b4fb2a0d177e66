//! A deployment of several controller processes, with a proxy on every link, stand-ins and a client for
//! users.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ciborium::{cbor, Value};

use crate::checker::InvariantLimits;
use crate::cloud::{Cloud, WorkerTimes};
use crate::history::{Event, History};
use crate::key_value_store::KeyValueStore;
use crate::message::{decode, encode, free_address, text};
use crate::proxy::Proxy;
use crate::schedule::{LinkId, ScheduledFault};

/// Timeout of user and admin requests.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a leader detects that the store refuses writes, and commands that it sent before have
/// arrived. The leader writes within 2 s, to record completed tasks, and makes a second attempt; a heartbeat
/// response with a start may be in flight for 4 s.
const UNWRITABLE_DETECTION: Duration = Duration::from_secs(8);
/// Interval at which [`Deployment::inject`] checks whether the next fault is due.
const SCHEDULE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timing of the controllers and agents of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentTimes {
    /// Timing of the agents. Its heartbeat interval and lease duration are also in the controllers' settings.
    pub workers: WorkerTimes,
    /// Setting `params.workers.cancel_s`: time in which all tasks of a cancelled job end.
    pub cancellation_deadline: Duration,
}

impl Default for DeploymentTimes {
    fn default() -> Self {
        Self {
            workers: WorkerTimes {
                heartbeat_interval: Duration::from_millis(500),
                lease_duration: Duration::from_secs(6),
                task_duration: Duration::from_secs(2),
                failover_delay: Duration::from_millis(300),
            },
            cancellation_deadline: Duration::from_secs(14),
        }
    }
}

/// Parameters of [`Deployment::start`].
pub struct DeploymentPlan<'a> {
    /// Path of the controller program.
    pub program: &'a str,
    /// Folder for the settings files.
    pub folder: &'a Path,
    /// Prefix of the settings files' names.
    pub name: &'a str,
    /// Features file of each controller, `None` for one without. The length is the number of controllers.
    pub features: Vec<Option<PathBuf>>,
    /// Timing of the controllers and agents.
    pub times: DeploymentTimes,
    /// Maximum number of rented machines at a time.
    pub machines: usize,
}

struct Controller {
    settings_file: PathBuf,
    features_file: Option<PathBuf>,
    public_address: String,
    peer_address: String,
    /// `None` after [`Deployment::kill_controller`].
    process: Option<Child>,
}

/// A running deployment. Dropping it kills the controllers.
pub struct Deployment {
    /// Stand-in for the key-value store that the controllers share.
    pub store: KeyValueStore,
    /// Stand-in for the cloud, with zones `north` and `south`.
    pub cloud: Cloud,
    /// Events that the stand-ins and the requests of this deployment record.
    pub history: History,
    program: String,
    controllers: Vec<Controller>,
    proxies: BTreeMap<String, Proxy>,
    times: DeploymentTimes,
    http: awc::Client,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            kill(&mut controller.process);
        }
    }
}

fn kill(process: &mut Option<Child>) {
    if let Some(mut child) = process.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn proxy_key(link: LinkId) -> String {
    format!("{link:?}")
}

impl Deployment {
    /// Starts stand-ins, proxies and controllers on the running actix system.
    pub fn start(plan: DeploymentPlan) -> Self {
        let history = History::default();
        let store = KeyValueStore::with_history(history.clone());
        let cloud = Cloud::with_history(history.clone(), plan.times.workers, plan.machines);
        let count = plan.features.len();
        let public_addresses: Vec<String> = (0..count).map(|_| free_address()).collect();
        let peer_addresses: Vec<String> = (0..count).map(|_| free_address()).collect();
        let store_address = store.start();
        let mut proxies = BTreeMap::new();
        let mut routes: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (zone, zone_name) in ["north", "south"].into_iter().enumerate() {
            for (controller, target) in public_addresses.iter().enumerate() {
                let proxy = Proxy::start(target);
                let zone_routes = routes.entry(zone_name.to_owned()).or_default();
                zone_routes.push(proxy.address.clone());
                proxies.insert(proxy_key(LinkId::Workers(zone, controller)), proxy);
            }
        }
        let cloud_address = cloud.start_with_routes(routes);
        for from in 0..count {
            proxies.insert(proxy_key(LinkId::Store(from)), Proxy::start(&store_address));
            for to in (0..count).filter(|to| *to != from) {
                proxies.insert(
                    proxy_key(LinkId::Peer(from, to)),
                    Proxy::start(&peer_addresses[to]),
                );
            }
        }
        let mut deployment = Self {
            store,
            cloud,
            history,
            program: plan.program.to_owned(),
            controllers: Vec::new(),
            proxies,
            times: plan.times,
            http: awc::Client::builder().timeout(CLIENT_TIMEOUT).finish(),
        };
        for (index, features_file) in plan.features.into_iter().enumerate() {
            let settings =
                deployment.settings_text(index, &public_addresses, &peer_addresses, &cloud_address);
            let settings_file = plan.folder.join(format!("{}-{index}.toml", plan.name));
            std::fs::write(&settings_file, settings).unwrap();
            deployment.controllers.push(Controller {
                settings_file,
                features_file,
                public_address: public_addresses[index].clone(),
                peer_address: peer_addresses[index].clone(),
                process: None,
            });
            deployment.start_controller(index);
        }
        deployment
    }

    fn settings_text(
        &self,
        index: usize,
        public_addresses: &[String],
        peer_addresses: &[String],
        cloud_address: &str,
    ) -> String {
        let store_address = &self.proxies[&proxy_key(LinkId::Store(index))].address;
        let peers: String = (0..public_addresses.len())
            .filter(|other| *other != index)
            .map(|other| {
                let address = &self.proxies[&proxy_key(LinkId::Peer(index, other))].address;
                format!("[[known]]\nmember = \"knot-{other}\"\npeer_addr = \"{address}\"\n\n")
            })
            .collect();
        let workers = &self.times.workers;
        format!(
            r#"
member = "knot-{index}"
area = "north"
public_addr = "{public_addr}"
peer_bind = "{peer_bind}"

{peers}
[external]
cloud = "{cloud_address}"
state = "{store_address}"

[params]
count = {count}
zones = ["north", "south"]
clock_off_ms = 25.0

[[params.teams]]
name = "blue"
gpus = 4.0
gpus_max = 100.0

[params.workers]
report_s = {report}
lease_s = {lease}
gang_wait_s = 30.0
gang_peer_s = 4.0
cancel_s = {cancel}

[params.state]
rps = 400.0
write_rps = 200.0
value_kb = 16.0
txn_ops = 12

[params.cloud]
rps = 20.0
list_lag_s = 1.0

[params.resources]
cores = 1.0
mem_mb = 136.0
max_sockets = 1000
"#,
            public_addr = public_addresses[index],
            peer_bind = peer_addresses[index],
            count = public_addresses.len(),
            report = workers.heartbeat_interval.as_secs_f64(),
            lease = workers.lease_duration.as_secs_f64(),
            cancel = self.times.cancellation_deadline.as_secs_f64(),
        )
    }

    /// Returns the limits with which the checker checks this deployment's history.
    pub fn invariant_limits(&self) -> InvariantLimits {
        InvariantLimits {
            response_timeout: Duration::from_secs(4),
            cancellation_deadline: self.times.cancellation_deadline,
            unwritable_detection: UNWRITABLE_DETECTION,
            status_response_deadline: Duration::from_secs(75),
        }
    }

    /// Starts a controller's process, after killing it if it runs. The log is appended to a file in the
    /// folder that the environment variable `TESTBED_LOGS` names, or discarded without it.
    pub fn start_controller(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        kill(&mut controller.process);
        let mut command = Command::new(&self.program);
        if let Some(features_file) = &controller.features_file {
            command.arg("--features").arg(features_file);
        }
        let log = match std::env::var("TESTBED_LOGS") {
            Ok(folder) => {
                let name = controller
                    .settings_file
                    .file_stem()
                    .unwrap()
                    .to_string_lossy();
                let path = Path::new(&folder).join(format!("{name}.log"));
                let file = std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(path);
                file.unwrap().into()
            }
            Err(_) => Stdio::null(),
        };
        let child = command
            .arg("--config")
            .arg(&controller.settings_file)
            .stderr(log);
        controller.process = Some(child.spawn().unwrap());
    }

    /// Kills a controller's process without a graceful shutdown, if it runs.
    pub fn kill_controller(&mut self, index: usize) {
        kill(&mut self.controllers[index].process);
    }

    /// Returns the proxy through which a link goes.
    pub fn link(&self, link: LinkId) -> &Proxy {
        &self.proxies[&proxy_key(link)]
    }

    /// Ends all link faults, store outages and refusals of writes. Does not start killed controllers.
    pub fn heal(&self) {
        self.proxies.values().for_each(Proxy::heal);
        self.store.set_outage(false);
        self.store.set_writes_refused(false);
    }

    /// Injects the scheduled faults, waits for the end of the last one and then ends all faults.
    pub async fn inject(&mut self, faults: &[ScheduledFault]) {
        let started_at = Instant::now();
        let mut changes: Vec<(Duration, ScheduledFault, bool)> = Vec::new();
        for fault in faults {
            changes.push((fault.starts_at(), *fault, true));
            changes.push((fault.ends_at(), *fault, false));
        }
        changes.sort_by_key(|(at, _, begins)| (*at, *begins));
        for (at, fault, begins) in changes {
            while started_at.elapsed() < at {
                tokio::time::sleep(SCHEDULE_POLL_INTERVAL).await;
            }
            self.apply_fault(&fault, begins);
        }
        self.heal();
    }

    fn apply_fault(&mut self, fault: &ScheduledFault, begins: bool) {
        match fault {
            ScheduledFault::Link(fault) if begins => self.link(fault.link).set_mode(fault.mode),
            ScheduledFault::Link(fault) => self.link(fault.link).heal(),
            ScheduledFault::WritesRefused { .. } => self.store.set_writes_refused(begins),
            ScheduledFault::StoreOutage { .. } => self.store.set_outage(begins),
            ScheduledFault::Restart { controller, .. } if begins => {
                self.start_controller(*controller)
            }
            ScheduledFault::Restart { .. } => {}
        }
    }

    /// Returns the submission of a batch job. Each task needs 4 cores; `shape` is `array` or `group`.
    pub fn job_submission(id: &str, shape: &str, tasks: u64) -> Value {
        cbor!({
            "nameId" => id, "lane" => "batch", "owner" => "blue", "shape" => shape,
            "rank" => "standard", "strands" => tasks, "cores" => 4.0, "cards" => 0.0,
            "ramGb" => 4.0, "bundle" => "img", "sizeGb" => 1.0, "builds" => null,
            "yard" => null, "oneZone" => false, "apart" => false, "loaners" => true,
            "expectS" => 2.0, "markEveryS" => 0.0, "markCostS" => 0.0, "dueS" => null
        })
        .unwrap()
    }

    /// Submits a job to a controller, without retries. Returns whether the response confirms it, and records
    /// it if so.
    pub async fn submit(&self, controller: usize, id: &str, shape: &str, tasks: u64) -> bool {
        let url = format!(
            "http://{}/api/jobs",
            self.controllers[controller].public_address
        );
        let body = encode(&Self::job_submission(id, shape, tasks));
        let result = self.http.post(url).send_body(body).await;
        let accepted = result.is_ok_and(|response| matches!(response.status().as_u16(), 200 | 201));
        if accepted {
            let job = id.to_owned();
            self.history.record(Event::Accepted { job });
        }
        accepted
    }

    /// Queries a job's status at a controller, without retries, and records it: `404` for an unknown job.
    /// Returns `None` without a response of status 200 or 404.
    pub async fn poll(&self, controller: usize, id: &str) -> Option<String> {
        let address = &self.controllers[controller].public_address;
        let url = format!("http://{address}/api/jobs/{id}");
        let mut response = self.http.get(url).send().await.ok()?;
        let status = match response.status().as_u16() {
            200 => text(&decode(&response.body().await.ok()?), "status"),
            404 => "404".to_owned(),
            _ => return None,
        };
        self.history.record(Event::Polled {
            job: id.to_owned(),
            status: status.clone(),
        });
        Some(status)
    }

    /// Cancels a job at a controller, without retries. Returns whether the response confirms it, and records
    /// it if so.
    pub async fn cancel(&self, controller: usize, id: &str) -> bool {
        let address = &self.controllers[controller].public_address;
        let url = format!("http://{address}/api/jobs/{id}/abort");
        let Ok(mut response) = self.http.post(url).send().await else {
            return false;
        };
        if response.status().as_u16() != 200 {
            return false;
        }
        let Ok(body) = response.body().await else {
            return false;
        };
        let cancelled = text(&decode(&body), "status") == "cancelled";
        if cancelled {
            let job = id.to_owned();
            self.history.record(Event::Cancelled { job });
        }
        cancelled
    }

    /// Returns the body of a controller's response to a GET request below `/admin/`, whatever its status;
    /// `None` without a response.
    pub async fn admin_response(&self, controller: usize, path: &str) -> Option<String> {
        let url = format!(
            "http://{}/admin/{path}",
            self.controllers[controller].peer_address
        );
        let mut response = self.http.get(url).send().await.ok()?;
        let body = response.body().limit(usize::MAX).await.ok()?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Number of controllers, whether they run or not.
    pub fn controller_count(&self) -> usize {
        self.controllers.len()
    }
}
