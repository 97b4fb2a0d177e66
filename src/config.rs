//! The settings file the platform hands over: read once, checked, then shared read-only.
//!
//! Unknown fields are ignored, because the platform may add some at any time.

use std::net::SocketAddrV4;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

/// Why a settings file can't be used. Each message names the file or the field at fault.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read at all.
    #[error("cannot read settings file {path}: {source}")]
    Unreadable {
        /// The path as it was given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// Not TOML, or a field is missing or of the wrong kind.
    #[error("settings file {path} is wrong: {reason}")]
    Malformed {
        /// The path as it was given.
        path: String,
        /// The reason on one line.
        reason: String,
    },
    /// A field was read but its value is out of range.
    #[error("settings field `{field}` is wrong: {reason}")]
    Invalid {
        /// The field, with its tables.
        field: String,
        /// What is expected.
        reason: &'static str,
    },
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name.
    pub member: String,
    /// Its zone.
    #[serde(default)]
    pub area: String,
    /// Where its `peer_bind` can be reached.
    pub peer_addr: SocketAddrV4,
}

/// The external systems.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The cloud's interface.
    pub cloud: SocketAddrV4,
    /// The key-value store.
    pub state: SocketAddrV4,
}

/// A team's guarantee and limit; 0 means that the resource is not managed for it.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamSettings {
    /// The team's name.
    pub name: String,
    /// Guaranteed processors.
    #[serde(default)]
    pub cpus: f64,
    /// Most processors at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed graphics cards.
    #[serde(default)]
    pub gpus: f64,
    /// Most graphics cards at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `wait`, `finished`, `deadline` or `guarantee`; others are ignored.
    pub kind: String,
    /// The job class that it applies to.
    #[serde(default)]
    pub class: String,
    /// The time allowed, where the kind has one.
    pub within_s: Option<f64>,
    /// How many times its deadline a job may take, where the kind is `deadline`.
    pub times: Option<f64>,
}

/// The workers' timing.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// The heartbeat interval.
    pub report_s: f64,
    /// The worker lease: an agent without an answered heartbeat for that long kills all tasks.
    pub lease_s: f64,
    /// The gang barrier timeout.
    pub gang_wait_s: f64,
    /// How soon the members of a gang detect a lost one.
    pub gang_peer_s: f64,
    /// The cancellation deadline: the tasks of a cancelled job must have terminated by then.
    pub cancel_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateSettings {
    /// Requests a second, all nodes together.
    pub rps: f64,
    /// Puts and deletes a second, all nodes together.
    pub write_rps: f64,
    /// Largest value in KiB.
    pub value_kb: f64,
    /// Puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's interface.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudSettings {
    /// Requests a second.
    pub rps: f64,
    /// How old the machine list is.
    pub list_lag_s: f64,
}

/// The resources of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessResources {
    /// Share of one core.
    pub cores: f64,
    /// Memory in MB.
    pub mem_mb: f64,
    /// Sockets open at once.
    pub max_sockets: usize,
}

/// Everything below `params`.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Number of controllers.
    pub count: usize,
    /// The zones of the deployment.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bound on the error of the time of day.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// The teams.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Workers' timing.
    pub workers: WorkerSettings,
    /// Limits of the key-value store.
    pub state: StateSettings,
    /// The cloud's limits.
    pub cloud: CloudSettings,
    /// This process's limits.
    pub resources: ProcessResources,
}

/// The whole file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This node's name.
    pub member: String,
    /// This node's zone.
    #[serde(default)]
    pub area: String,
    /// For users, workers and health checks.
    pub public_addr: SocketAddrV4,
    /// For the other controllers and operators.
    pub peer_bind: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub known: Vec<Peer>,
    /// The external systems.
    pub external: External,
    /// The deployment.
    pub params: Params,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: shown.clone(),
            source,
        })?;
        Self::parse(&text, &shown)
    }

    /// Reads settings from text; `shown` names the source in errors.
    pub fn parse(text: &str, shown: &str) -> Result<Self, ConfigError> {
        let settings: Settings = toml::from_str(text).map_err(|error| ConfigError::Malformed {
            path: shown.to_owned(),
            reason: one_line(&error.to_string()),
        })?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ConfigError> {
        for (field, value) in self.numbers_above_zero() {
            if !value.is_finite() || value <= 0.0 {
                return Err(invalid(field, "must be a number above 0"));
            }
        }
        if self.member.is_empty() {
            return Err(invalid("member", "must not be empty"));
        }
        if self.knows(&self.member) {
            return Err(invalid("known", "names this node itself"));
        }
        self.params.teams.iter().try_for_each(TeamSettings::check)
    }

    fn numbers_above_zero(&self) -> [(&'static str, f64); 14] {
        let params = &self.params;
        let (workers, state) = (&params.workers, &params.state);
        let resources = &params.resources;
        [
            ("params.workers.report_s", workers.report_s),
            ("params.workers.lease_s", workers.lease_s),
            ("params.workers.gang_wait_s", workers.gang_wait_s),
            ("params.workers.gang_peer_s", workers.gang_peer_s),
            ("params.workers.cancel_s", workers.cancel_s),
            ("params.state.rps", state.rps),
            ("params.state.write_rps", state.write_rps),
            ("params.state.value_kb", state.value_kb),
            ("params.state.txn_ops", state.txn_ops as f64),
            ("params.cloud.rps", params.cloud.rps),
            ("params.count", params.count as f64),
            ("params.resources.cores", resources.cores),
            ("params.resources.mem_mb", resources.mem_mb),
            ("params.resources.max_sockets", resources.max_sockets as f64),
        ]
    }

    /// Whether another controller has this name.
    pub fn knows(&self, member: &str) -> bool {
        self.known.iter().any(|peer| peer.member == member)
    }

    /// Where another controller can be reached by its peers.
    pub fn peer_address(&self, member: &str) -> Option<SocketAddrV4> {
        let peer = self.known.iter().find(|peer| peer.member == member);
        peer.map(|peer| peer.peer_addr)
    }

    /// The team's settings, if there is such a team.
    pub fn team(&self, name: &str) -> Option<&TeamSettings> {
        self.params.teams.iter().find(|team| team.name == name)
    }
}

impl TeamSettings {
    fn check(&self) -> Result<(), ConfigError> {
        let amounts = [
            ("cpus", self.cpus),
            ("cpus_max", self.cpus_max),
            ("gpus", self.gpus),
            ("gpus_max", self.gpus_max),
        ];
        for (name, amount) in amounts {
            if !amount.is_finite() || amount < 0.0 {
                let field = format!("params.teams.{}.{name}", self.name);
                return Err(invalid(field, "must be a number of at least 0"));
            }
        }
        Ok(())
    }
}

fn invalid(field: impl Into<String>, reason: &'static str) -> ConfigError {
    ConfigError::Invalid {
        field: field.into(),
        reason,
    }
}

fn one_line(text: &str) -> String {
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .collect::<Vec<_>>()
        .join(" ")
}
