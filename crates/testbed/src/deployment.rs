//! A deployment of several controller processes, with proxies on every link, stand-ins and users.

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

/// Timeout of user requests.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which a leader detects that it cannot write. It writes within two seconds, since completed
/// tasks are recorded then; a second attempt follows, and a response with a start may be in flight for 4 s.
const UNWRITABLE_DETECTION: Duration = Duration::from_secs(8);
/// Polling interval of the fault schedule.
const SCHEDULE_STEP: Duration = Duration::from_millis(50);

/// Timing of the controllers and workers of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentTimes {
    /// The workers.
    pub workers: WorkerTimes,
    /// Cancellation deadline.
    pub cancel: Duration,
}

impl Default for DeploymentTimes {
    fn default() -> Self {
        Self {
            workers: WorkerTimes {
                heartbeat: Duration::from_millis(500),
                lease: Duration::from_secs(6),
                run: Duration::from_secs(2),
                next_controller: Duration::from_millis(300),
            },
            cancel: Duration::from_secs(14),
        }
    }
}

/// Description of a deployment to start.
pub struct DeploymentPlan<'a> {
    /// The program.
    pub program: &'a str,
    /// Folder for the settings files.
    pub folder: &'a Path,
    /// Prefix of the settings files' names.
    pub name: &'a str,
    /// The features file of each controller, or none; as many as there are controllers.
    pub features: Vec<Option<PathBuf>>,
    /// Their times.
    pub times: DeploymentTimes,
    /// Machines that the cloud has.
    pub machines: usize,
}

struct Controller {
    file: PathBuf,
    features: Option<PathBuf>,
    public: String,
    peer: String,
    process: Option<Child>,
}

/// A running deployment; its processes end with it.
pub struct Deployment {
    /// The key-value store.
    pub store: KeyValueStore,
    /// The cloud.
    pub cloud: Cloud,
    /// The recorded history.
    pub history: History,
    program: String,
    controllers: Vec<Controller>,
    links: BTreeMap<String, Proxy>,
    times: DeploymentTimes,
    http: awc::Client,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            end(&mut controller.process);
        }
    }
}

fn end(process: &mut Option<Child>) {
    if let Some(mut child) = process.take() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

fn key(link: LinkId) -> String {
    format!("{link:?}")
}

impl Deployment {
    /// Starts stand-ins, proxies and controllers on the running system.
    pub fn start(plan: DeploymentPlan) -> Self {
        let history = History::default();
        let store = KeyValueStore::recording(history.clone());
        let cloud = Cloud::recording(history.clone(), plan.times.workers, plan.machines);
        let count = plan.features.len();
        let public: Vec<String> = (0..count).map(|_| free_address()).collect();
        let peer: Vec<String> = (0..count).map(|_| free_address()).collect();
        let state_address = store.start();
        let mut links = BTreeMap::new();
        let mut routes: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (zone, name) in ["north", "south"].into_iter().enumerate() {
            for (controller, target) in public.iter().enumerate() {
                let proxy = Proxy::start(target);
                let to_zone = routes.entry(name.to_owned()).or_default();
                to_zone.push(proxy.address.clone());
                links.insert(key(LinkId::Workers(zone, controller)), proxy);
            }
        }
        let cloud_address = cloud.start_with_routes(routes);
        for from in 0..count {
            links.insert(key(LinkId::Store(from)), Proxy::start(&state_address));
            for to in (0..count).filter(|to| *to != from) {
                links.insert(key(LinkId::Peer(from, to)), Proxy::start(&peer[to]));
            }
        }
        let mut deployment = Self {
            store,
            cloud,
            history,
            program: plan.program.to_owned(),
            controllers: Vec::new(),
            links,
            times: plan.times,
            http: awc::Client::builder().timeout(USER_TIMEOUT).finish(),
        };
        for (number, features) in plan.features.into_iter().enumerate() {
            let text = deployment.settings(number, &public, &peer, &cloud_address);
            let file = plan.folder.join(format!("{}-{number}.toml", plan.name));
            std::fs::write(&file, text).unwrap();
            deployment.controllers.push(Controller {
                file,
                features,
                public: public[number].clone(),
                peer: peer[number].clone(),
                process: None,
            });
            deployment.start_controller(number);
        }
        deployment
    }

    fn settings(&self, number: usize, public: &[String], peer: &[String], cloud: &str) -> String {
        let state = &self.links[&key(LinkId::Store(number))].address;
        let known: String = (0..public.len())
            .filter(|other| *other != number)
            .map(|other| {
                let address = &self.links[&key(LinkId::Peer(number, other))].address;
                format!("[[known]]\nmember = \"knot-{other}\"\npeer_addr = \"{address}\"\n\n")
            })
            .collect();
        let workers = &self.times.workers;
        format!(
            r#"
member = "knot-{number}"
area = "north"
public_addr = "{public_addr}"
peer_bind = "{peer_bind}"

{known}
[external]
cloud = "{cloud}"
state = "{state}"

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
            public_addr = public[number],
            peer_bind = peer[number],
            count = public.len(),
            report = workers.heartbeat.as_secs_f64(),
            lease = workers.lease.as_secs_f64(),
            cancel = self.times.cancel.as_secs_f64(),
        )
    }

    /// The limits of the invariants for this deployment's history.
    pub fn invariant_limits(&self) -> InvariantLimits {
        InvariantLimits {
            response_timeout: Duration::from_secs(4),
            cancellation_deadline: self.times.cancel,
            unwritable_detection: UNWRITABLE_DETECTION,
            answer_deadline: Duration::from_secs(75),
        }
    }

    /// Starts a controller's process, after ending a running one.
    pub fn start_controller(&mut self, number: usize) {
        let controller = &mut self.controllers[number];
        end(&mut controller.process);
        let mut command = Command::new(&self.program);
        if let Some(features) = &controller.features {
            command.arg("--features").arg(features);
        }
        let log = match std::env::var("TESTBED_LOGS") {
            Ok(folder) => {
                let name = controller.file.file_stem().unwrap().to_string_lossy();
                let path = Path::new(&folder).join(format!("{name}.log"));
                let file = std::fs::File::options()
                    .create(true)
                    .append(true)
                    .open(path);
                file.unwrap().into()
            }
            Err(_) => Stdio::null(),
        };
        let child = command.arg("--config").arg(&controller.file).stderr(log);
        controller.process = Some(child.spawn().unwrap());
    }

    /// Ends a controller's process.
    pub fn kill_controller(&mut self, number: usize) {
        end(&mut self.controllers[number].process);
    }

    /// The proxy of a link.
    pub fn link(&self, link: LinkId) -> &Proxy {
        &self.links[&key(link)]
    }

    /// Ends all link faults and outages.
    pub fn heal(&self) {
        self.links.values().for_each(Proxy::heal);
        self.store.set_outage(false);
        self.store.set_writes_refused(false);
    }

    /// Injects the scheduled faults until the last one ends, then heals everything.
    pub async fn inject(&mut self, faults: &[ScheduledFault]) {
        let began = Instant::now();
        let mut changes: Vec<(Duration, ScheduledFault, bool)> = Vec::new();
        for fault in faults {
            changes.push((fault.starts_at(), *fault, true));
            changes.push((fault.ends_at(), *fault, false));
        }
        changes.sort_by_key(|(at, _, begins)| (*at, *begins));
        for (at, fault, begins) in changes {
            while began.elapsed() < at {
                tokio::time::sleep(SCHEDULE_STEP).await;
            }
            self.change(&fault, begins);
        }
        self.heal();
    }

    fn change(&mut self, fault: &ScheduledFault, begins: bool) {
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

    /// A job of so many tasks of two processors.
    pub fn job(id: &str, shape: &str, tasks: u64) -> Value {
        cbor!({
            "nameId" => id, "lane" => "batch", "owner" => "blue", "shape" => shape,
            "rank" => "standard", "strands" => tasks, "cores" => 4.0, "cards" => 0.0,
            "ramGb" => 4.0, "bundle" => "img", "sizeGb" => 1.0, "builds" => null,
            "yard" => null, "oneZone" => false, "apart" => false, "loaners" => true,
            "expectS" => 2.0, "markEveryS" => 0.0, "markCostS" => 0.0, "dueS" => null
        })
        .unwrap()
    }

    /// Submits a job once, at this controller, and returns whether it was accepted.
    pub async fn submit(&self, controller: usize, id: &str, shape: &str, tasks: u64) -> bool {
        let url = format!("http://{}/api/jobs", self.controllers[controller].public);
        let body = encode(&Self::job(id, shape, tasks));
        let sent = self.http.post(url).send_body(body).await;
        let accepted = sent.is_ok_and(|answer| matches!(answer.status().as_u16(), 200 | 201));
        if accepted {
            let job = id.to_owned();
            self.history.record(Event::Accepted { job });
        }
        accepted
    }

    /// Queries a job's status once, at this controller.
    pub async fn poll(&self, controller: usize, id: &str) -> Option<String> {
        let public = &self.controllers[controller].public;
        let url = format!("http://{public}/api/jobs/{id}");
        let mut answer = self.http.get(url).send().await.ok()?;
        let status = match answer.status().as_u16() {
            200 => text(&decode(&answer.body().await.ok()?), "status"),
            404 => "404".to_owned(),
            _ => return None,
        };
        self.history.record(Event::Polled {
            job: id.to_owned(),
            status: status.clone(),
        });
        Some(status)
    }

    /// Cancels a job once, at this controller, and returns whether it is cancelled.
    pub async fn cancel(&self, controller: usize, id: &str) -> bool {
        let public = &self.controllers[controller].public;
        let url = format!("http://{public}/api/jobs/{id}/abort");
        let Ok(mut answer) = self.http.post(url).send().await else {
            return false;
        };
        if answer.status().as_u16() != 200 {
            return false;
        }
        let Ok(body) = answer.body().await else {
            return false;
        };
        let cancelled = text(&decode(&body), "status") == "cancelled";
        if cancelled {
            let job = id.to_owned();
            self.history.record(Event::Cancelled { job });
        }
        cancelled
    }

    /// The response of a controller's admin API as text, if it answers.
    pub async fn admin_response(&self, controller: usize, path: &str) -> Option<String> {
        let url = format!("http://{}/admin/{path}", self.controllers[controller].peer);
        let mut answer = self.http.get(url).send().await.ok()?;
        let body = answer.body().limit(usize::MAX).await.ok()?;
        String::from_utf8(body.to_vec()).ok()
    }

    /// Number of controllers.
    pub fn controller_count(&self) -> usize {
        self.controllers.len()
    }
}
