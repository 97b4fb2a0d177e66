//! The settings file that the platform provides: read and validated once at startup, then shared read-only.
//!
//! Unknown fields are ignored, because the platform may add fields at any time.

use std::net::SocketAddrV4;
use std::path::Path;

use serde::Deserialize;
use thiserror::Error;

/// Why a settings file cannot be used. Each message names the file or the field that is wrong.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be opened or read.
    #[error("cannot read settings file {path}: {source}")]
    Unreadable {
        /// The path as it was given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not valid TOML, or a field is missing or has the wrong type.
    #[error("settings file {path} is malformed: {reason}")]
    Malformed {
        /// The path as it was given.
        path: String,
        /// The parser's message, joined into one line.
        reason: String,
    },
    /// A field has a value of the right type that is not allowed.
    #[error("settings field `{field}` is wrong: {reason}")]
    Invalid {
        /// The field's name, qualified by its tables.
        field: String,
        /// A description of the allowed values.
        reason: &'static str,
    },
}

/// Another controller of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// The controller's name, unique in the deployment.
    pub member: String,
    /// The zone in which it runs; empty if not given.
    #[serde(default, rename = "area")]
    pub zone: String,
    /// The address at which its `peer_bind` is reachable from this controller.
    pub peer_addr: SocketAddrV4,
}

/// Addresses of the external systems.
#[derive(Debug, Clone, Deserialize)]
pub struct External {
    /// The API of the cloud that rents out machines.
    pub cloud: SocketAddrV4,
    /// The key-value store that all controllers share.
    #[serde(rename = "state")]
    pub store: SocketAddrV4,
}

/// A team's guarantee and limit; an amount of 0 means that the resource is not managed for the team.
#[derive(Debug, Clone, Deserialize)]
pub struct TeamSettings {
    /// The name by which jobs refer to the team.
    pub name: String,
    /// Guaranteed number of processors.
    #[serde(default)]
    pub cpus: f64,
    /// Maximum number of processors at any time.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of graphics cards.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of graphics cards at any time.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for the jobs of one class.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// `wait`, `finished`, `deadline` or `guarantee`; objectives of other kinds are ignored.
    pub kind: String,
    /// The job class to which the objective applies.
    #[serde(default)]
    pub class: String,
    /// The allowed time in seconds, for the kinds that have one.
    pub within_s: Option<f64>,
    /// For the kind `deadline`: the multiple of its deadline within which a job must finish.
    pub times: Option<f64>,
}

/// Timing of the agents on machines, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerSettings {
    /// The heartbeat interval.
    pub report_s: f64,
    /// The worker lease: an agent whose heartbeats get no response for this time terminates all tasks.
    pub lease_s: f64,
    /// How long a member of a gang waits for the others at the gang barrier.
    pub gang_wait_s: f64,
    /// Time within which the members of a gang detect that one is lost.
    pub gang_peer_s: f64,
    /// The cancellation deadline: time within which all tasks of a cancelled job must have terminated.
    pub cancel_s: f64,
}

/// Limits that the key-value store enforces.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreSettings {
    /// Requests per second, for all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, for all controllers together.
    pub write_rps: f64,
    /// Size of the largest value in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in one transaction.
    pub txn_ops: usize,
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudSettings {
    /// Requests per second.
    pub rps: f64,
    /// How old the cloud's machine list may be, in seconds.
    pub list_lag_s: f64,
}

/// The resource limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessResources {
    /// Number of processor cores; it may be below 1.
    pub cores: f64,
    /// Memory in MiB.
    pub mem_mb: f64,
    /// Maximum number of sockets open at once.
    pub max_sockets: usize,
}

/// The table `params`: parameters of the deployment, and the resource limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct Params {
    /// Number of controllers in the deployment.
    pub count: usize,
    /// Names of the zones of the deployment.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Maximum error of each controller's wall clock, in milliseconds.
    #[serde(default)]
    pub clock_off_ms: f64,
    /// The teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// The service-level objectives by job class.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the agents on machines.
    pub workers: WorkerSettings,
    /// Limits that the key-value store enforces.
    #[serde(rename = "state")]
    pub store: StoreSettings,
    /// Limits of the cloud's API.
    pub cloud: CloudSettings,
    /// Resource limits of this process.
    pub resources: ProcessResources,
}

/// The contents of the settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name, which is not empty and differs from those of its peers.
    pub member: String,
    /// The zone in which this controller runs; empty if not given.
    #[serde(default, rename = "area")]
    pub zone: String,
    /// The address that serves users, agents and health checks.
    pub public_addr: SocketAddrV4,
    /// The address that serves the other controllers and operators.
    pub peer_bind: SocketAddrV4,
    /// The other controllers of the deployment; empty if this is the only controller.
    #[serde(default, rename = "known")]
    pub peers: Vec<Peer>,
    /// Addresses of the external systems.
    pub external: External,
    /// Parameters of the deployment.
    pub params: Params,
}

impl Settings {
    /// Reads and validates a settings file.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let displayed_path = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| ConfigError::Unreadable {
            path: displayed_path.clone(),
            source,
        })?;
        Self::parse(&text, &displayed_path)
    }

    /// Parses and validates settings; `source_name` names the source in errors.
    pub fn parse(text: &str, source_name: &str) -> Result<Self, ConfigError> {
        let settings: Settings = toml::from_str(text).map_err(|error| ConfigError::Malformed {
            path: source_name.to_owned(),
            reason: join_lines(&error.to_string()),
        })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), ConfigError> {
        for (field, value) in self.positive_numbers() {
            if !value.is_finite() || value <= 0.0 {
                return Err(invalid_field(field, "must be a number above 0"));
            }
        }
        if self.member.is_empty() {
            return Err(invalid_field("member", "must not be empty"));
        }
        if self.has_peer(&self.member) {
            return Err(invalid_field("known", "names this controller itself"));
        }
        self.params
            .teams
            .iter()
            .try_for_each(TeamSettings::validate)
    }

    fn positive_numbers(&self) -> [(&'static str, f64); 14] {
        let params = &self.params;
        let (workers, store) = (&params.workers, &params.store);
        let resources = &params.resources;
        [
            ("params.workers.report_s", workers.report_s),
            ("params.workers.lease_s", workers.lease_s),
            ("params.workers.gang_wait_s", workers.gang_wait_s),
            ("params.workers.gang_peer_s", workers.gang_peer_s),
            ("params.workers.cancel_s", workers.cancel_s),
            ("params.state.rps", store.rps),
            ("params.state.write_rps", store.write_rps),
            ("params.state.value_kb", store.value_kb),
            ("params.state.txn_ops", store.txn_ops as f64),
            ("params.cloud.rps", params.cloud.rps),
            ("params.count", params.count as f64),
            ("params.resources.cores", resources.cores),
            ("params.resources.mem_mb", resources.mem_mb),
            ("params.resources.max_sockets", resources.max_sockets as f64),
        ]
    }

    /// Whether another controller has this name.
    pub fn has_peer(&self, member: &str) -> bool {
        self.peers.iter().any(|peer| peer.member == member)
    }

    /// The peer address of another controller, if the settings name it.
    pub fn peer_address(&self, member: &str) -> Option<SocketAddrV4> {
        let peer = self.peers.iter().find(|peer| peer.member == member);
        peer.map(|peer| peer.peer_addr)
    }

    /// The settings of a team, if there is one of this name.
    pub fn team(&self, name: &str) -> Option<&TeamSettings> {
        self.params.teams.iter().find(|team| team.name == name)
    }
}

impl TeamSettings {
    fn validate(&self) -> Result<(), ConfigError> {
        let amounts = [
            ("cpus", self.cpus),
            ("cpus_max", self.cpus_max),
            ("gpus", self.gpus),
            ("gpus_max", self.gpus_max),
        ];
        for (name, amount) in amounts {
            if !amount.is_finite() || amount < 0.0 {
                let field = format!("params.teams.{}.{name}", self.name);
                return Err(invalid_field(field, "must be a number of at least 0"));
            }
        }
        Ok(())
    }
}

fn invalid_field(field: impl Into<String>, reason: &'static str) -> ConfigError {
    ConfigError::Invalid {
        field: field.into(),
        reason,
    }
}

fn join_lines(text: &str) -> String {
    text.lines()
        .map(str::trim)
        .filter(|line| !line.is_empty())
        .collect::<Vec<_>>()
        .join(" ")
}
