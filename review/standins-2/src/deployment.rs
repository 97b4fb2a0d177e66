//! Controllers as separate processes, started by the deploy file, with a proxy on each link to the state
//! service and between controllers.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ciborium::Value;
use knotlanding_testbed::key_value_store::KeyValueStore;
use knotlanding_testbed::message::{decode, encode, free_address, text};
use knotlanding_testbed::proxy::{LinkMode, Proxy};

use crate::world::World;

/// The part of a settings file that differs between the two sites.
pub struct Site {
    pub zones: &'static [&'static str],
    pub teams: &'static str,
    pub params: &'static str,
}

pub const BRACKENRIDGE: Site = Site {
    zones: &["riverside", "millyard", "harborcloud"],
    teams: "[[params.teams]]\nname = \"gatecrew\"\ngpus = 8.0\ngpus_max = 16.0\n\n\
            [[params.teams]]\nname = \"trustops\"\ngpus = 4.0\ngpus_max = 12.0\n\n\
            [[params.objectives]]\nkind = \"wait\"\nclass = \"seatlock\"\nwithin_s = 30.0\nshare = 0.82\n\n\
            [[params.objectives]]\nkind = \"deadline\"\nclass = \"fraudscore\"\nshare = 0.88\ntimes = 1.5\n",
    params: "[params.workers]\nreport_s = 3.0\nlease_s = 22.0\ngang_wait_s = 35.0\ngang_peer_s = 4.0\n\
             cancel_s = 42.0\n\n\
             [params.state]\nrps = 80.0\nwrite_rps = 30.0\nvalue_kb = 32.0\ntxn_ops = 12\n\n\
             [params.cloud]\nrps = 4.0\nlist_lag_s = 5.0\n\n\
             [params.resources]\ncores = 0.16\nmem_mb = 136.0\nmax_sockets = 2000\n",
};

pub const INDUS: Site = Site {
    zones: &["karachi", "lahore"],
    teams: "[[params.teams]]\nname = \"gridops\"\ngpus = 24.0\ngpus_max = 88.0\n\n\
            [[params.teams]]\nname = \"windco\"\n\n\
            [[params.objectives]]\nkind = \"wait\"\nclass = \"bidseal\"\nwithin_s = 35.0\nshare = 0.82\n",
    params: "[params.workers]\nreport_s = 3.0\nlease_s = 45.0\ngang_wait_s = 35.0\ngang_peer_s = 4.0\n\
             cancel_s = 65.0\n\n\
             [params.state]\nrps = 200.0\nwrite_rps = 80.0\nvalue_kb = 16.0\ntxn_ops = 32\n\n\
             [params.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n\n\
             [params.resources]\ncores = 0.096\nmem_mb = 136.0\nmax_sockets = 3500\n",
};

struct Controller {
    settings: PathBuf,
    log: PathBuf,
    public: String,
    peer: String,
    process: Option<Child>,
}

/// Running controllers. Dropping it ends them.
pub struct Deployment {
    pub store: KeyValueStore,
    pub world: World,
    controllers: Vec<Controller>,
    proxies: BTreeMap<String, Proxy>,
    root: PathBuf,
    folder: PathBuf,
    run: Vec<String>,
    http: awc::Client,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for controller in &mut self.controllers {
            if let Some(mut child) = controller.process.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The fields of a message, for the record.
fn fields(body: &Value) -> String {
    let mut line = String::new();
    for (name, value) in body.as_map().into_iter().flatten() {
        let value = match value {
            Value::Text(text) => text.clone(),
            Value::Integer(number) => i128::from(*number).to_string(),
            Value::Float(number) => number.to_string(),
            Value::Bool(value) => value.to_string(),
            _ => "null".to_owned(),
        };
        line.push_str(&format!("{}={value} ", name.as_text().unwrap_or_default()));
    }
    line
}

/// The words of the `run` command in the deploy file.
fn run_command(root: &Path) -> Vec<String> {
    let file = std::fs::read_to_string(root.join("deploy/service.toml")).unwrap();
    let line = file.lines().find_map(|line| line.strip_prefix("run = "));
    let words = line.unwrap().trim().trim_matches('"');
    words.split_whitespace().map(str::to_owned).collect()
}

impl Deployment {
    /// Starts the stand-ins and `count` controllers of a site.
    pub fn start(root: &Path, site: &Site, count: usize, world: World) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let store = KeyValueStore::default();
        let store_address = store.start();
        let cloud = world.start();
        let public: Vec<String> = (0..count).map(|_| free_address()).collect();
        let peer: Vec<String> = (0..count).map(|_| free_address()).collect();
        world.set_controllers(public.clone());
        let mut proxies = BTreeMap::new();
        for from in 0..count {
            proxies.insert(format!("{from}-state"), Proxy::start(&store_address));
            proxies.insert(format!("{from}-cloud"), Proxy::start(&cloud));
            for to in (0..count).filter(|to| *to != from) {
                proxies.insert(format!("{from}-{to}"), Proxy::start(&peer[to]));
            }
        }
        let mut deployment = Self {
            store,
            world,
            controllers: Vec::new(),
            proxies,
            root: root.to_owned(),
            run: run_command(root),
            folder,
            http: awc::Client::builder()
                .timeout(Duration::from_secs(5))
                .finish(),
        };
        for index in 0..count {
            let zone = |index: usize| site.zones[index % site.zones.len()];
            let known: String = (0..count)
                .filter(|other| *other != index)
                .map(|other| {
                    let address = &deployment.proxies[&format!("{index}-{other}")].address;
                    let zone = zone(other);
                    format!(
                        "[[known]]\nmember = \"knot-{other}\"\narea = \"{zone}\"\npeer_addr = \"{address}\"\n\n"
                    )
                })
                .collect();
            let text = format!(
                "member = \"knot-{index}\"\narea = \"{}\"\npublic_addr = \"{}\"\npeer_bind = \"{}\"\n\n{known}\
                 [external]\ncloud = \"{}\"\nstate = \"{}\"\n\n\
                 [params]\ncount = {count}\nzones = {:?}\nclock_off_ms = 25.0\n\n{}\n{}",
                zone(index),
                public[index],
                peer[index],
                deployment.proxies[&format!("{index}-cloud")].address,
                deployment.proxies[&format!("{index}-state")].address,
                site.zones,
                site.teams,
                site.params,
            );
            let settings = deployment.folder.join(format!("knot-{index}.toml"));
            std::fs::write(&settings, text).unwrap();
            deployment.controllers.push(Controller {
                settings,
                log: deployment.folder.join(format!("knot-{index}.log")),
                public: public[index].clone(),
                peer: peer[index].clone(),
                process: None,
            });
            deployment.start_controller(index);
        }
        deployment
    }

    /// Starts a controller's process.
    pub fn start_controller(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&controller.log);
        let child = Command::new(self.root.join(&self.run[0]))
            .args(&self.run[1..])
            .arg(&controller.settings)
            .current_dir(&self.root)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.unwrap())
            .spawn();
        controller.process = Some(child.unwrap());
    }

    /// Lines of a controller's log that contain one of these words.
    pub fn log_lines(&self, index: usize, words: &[&str]) -> Vec<String> {
        let log = std::fs::read_to_string(&self.controllers[index].log).unwrap_or_default();
        let lines = log
            .lines()
            .filter(|line| words.iter().any(|word| line.contains(word)));
        lines
            .take(20)
            .map(|line| format!("knot-{index}: {line}"))
            .collect()
    }

    /// Processes that have ended by themselves.
    pub fn ended_controllers(&mut self) -> usize {
        let mut ended = 0;
        for controller in &mut self.controllers {
            let process = controller.process.as_mut();
            ended += usize::from(process.is_some_and(|p| !matches!(p.try_wait(), Ok(None))));
        }
        ended
    }

    /// Sets the mode of the links of one controller to the state service and to and from the others.
    pub fn cut(&self, index: usize, mode: LinkMode) {
        for (link, proxy) in &self.proxies {
            let (from, to) = link.split_once('-').unwrap();
            let of_it = from == index.to_string() || to == index.to_string();
            if of_it && to != "cloud" {
                proxy.set_mode(mode);
            }
        }
    }

    /// Sets the mode of the links of all controllers to the cloud.
    pub fn set_cloud_links(&self, mode: LinkMode) {
        let links = self
            .proxies
            .iter()
            .filter(|(link, _)| link.ends_with("-cloud"));
        links.for_each(|(_, proxy)| proxy.set_mode(mode));
    }

    /// Sends an operator's request; empty without an answer of status 200.
    pub async fn operate(&self, node: usize, path: &str, put: Option<&str>) -> String {
        let url = format!("http://{}/admin/{path}", self.controllers[node].peer);
        let sent = match put {
            Some(body) => self.http.put(url).send_body(body.to_owned()).await,
            None => self.http.get(url).send().await,
        };
        let Ok(mut response) = sent else {
            return String::new();
        };
        if response.status().as_u16() != 200 {
            return String::new();
        }
        let bytes = response.body().await.unwrap_or_default();
        String::from_utf8_lossy(&bytes).into_owned()
    }

    /// The controller that the state service has on record as the leader.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.get("kl/leader")?;
        text(&record, "member").strip_prefix("knot-")?.parse().ok()
    }

    /// Waits until there is a leader.
    pub async fn wait_for_leader(&self, limit: Duration) -> Option<usize> {
        let began = Instant::now();
        while began.elapsed() < limit {
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    /// Sends a user's request; the status is 0 without a response.
    pub async fn ask(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Option<&Value>,
    ) -> (u16, Value) {
        let url = format!("http://{}{path}", self.controllers[node].public);
        let sent = match (method, body) {
            ("POST", Some(body)) => {
                let request = self.http.post(url).content_type("application/cbor");
                request.send_body(encode(body)).await
            }
            ("POST", None) => self.http.post(url).send().await,
            _ => self.http.get(url).send().await,
        };
        let answer = match sent {
            Ok(mut response) => {
                let bytes = response.body().await.unwrap_or_default();
                (response.status().as_u16(), decode(&bytes))
            }
            Err(_) => (0, Value::Null),
        };
        let (sent, status) = (
            body.map_or(String::new(), fields),
            text(&answer.1, "status"),
        );
        self.world.log(format!(
            "user: {method} {path} {sent}at knot-{node}: {} {status}",
            answer.0
        ));
        answer
    }

    /// Submits a job as users do: again after 1 s, at the next node, for up to 30 s.
    pub async fn submit(&self, body: &Value) -> u16 {
        let mut status = 0;
        for attempt in 0..30 {
            let node = attempt % self.controllers.len();
            status = self.ask(node, "POST", "/api/jobs", Some(body)).await.0;
            if matches!(status, 200 | 201 | 400 | 422) {
                break;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        status
    }

    /// The number of controllers.
    pub fn count(&self) -> usize {
        self.controllers.len()
    }
}
