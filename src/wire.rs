//! The protocol's bodies: CBOR maps under the wire's own names, and their checks.
//!
//! Wire names appear only here, as serde renames; everything else speaks the model's terms.

use std::fmt;

use serde::de::{DeserializeOwned, Deserializer, Visitor};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::model::{JobId, JobKind, JobSpec, MachineType, Priority, Resources};

/// Largest body either way.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Most tasks a job may have.
pub const JOB_TASKS_MAX: u64 = 100_000;
/// The content type of every body.
pub const CBOR: &str = "application/cbor";

/// A body that can't be taken.
#[derive(Debug, Error)]
pub enum WireError {
    /// Not CBOR, or not the fields expected.
    #[error("malformed body: {0}")]
    Malformed(String),
    /// A field has a value out of range.
    #[error("field `{0}` is invalid")]
    Field(&'static str),
}

/// Encodes a body. Encoding our own types into memory can't fail; should it, the body is empty.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    if let Err(error) = ciborium::into_writer(value, &mut out) {
        tracing::error!(%error, "cannot encode a body");
        out.clear();
    }
    out
}

/// Decodes a body.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    ciborium::from_reader(bytes).map_err(|error| WireError::Malformed(error.to_string()))
}

/// A number that may come as an integer or a decimal.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Number(f64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Any;
        impl Visitor<'_> for Any {
            type Value = Number;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("a number")
            }
            fn visit_f64<E>(self, v: f64) -> Result<Number, E> {
                Ok(Number(v))
            }
            fn visit_u64<E>(self, v: u64) -> Result<Number, E> {
                Ok(Number(v as f64))
            }
            fn visit_i64<E>(self, v: i64) -> Result<Number, E> {
                Ok(Number(v as f64))
            }
        }
        deserializer.deserialize_any(Any)
    }
}

fn num<'de, D: Deserializer<'de>>(d: D) -> Result<f64, D::Error> {
    Number::deserialize(d).map(|n| n.0)
}

fn opt_num<'de, D: Deserializer<'de>>(d: D) -> Result<Option<f64>, D::Error> {
    Option::<Number>::deserialize(d).map(|n| n.map(|n| n.0))
}

/// A job as users submit it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobBody {
    #[serde(rename = "nameId")]
    id: String,
    #[serde(rename = "lane")]
    class: String,
    #[serde(rename = "owner")]
    team: String,
    #[serde(rename = "shape")]
    kind: String,
    #[serde(rename = "rank")]
    priority: String,
    #[serde(rename = "strands", deserialize_with = "num")]
    tasks: f64,
    #[serde(rename = "cores", deserialize_with = "num")]
    cpus: f64,
    #[serde(rename = "cards", deserialize_with = "num")]
    gpus: f64,
    #[serde(rename = "ramGb", deserialize_with = "num")]
    memory: f64,
    #[serde(rename = "bundle")]
    image: String,
    #[serde(rename = "sizeGb", deserialize_with = "num")]
    image_gb: f64,
    #[serde(rename = "builds", default)]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    zone: Option<String>,
    #[serde(rename = "oneZone")]
    single_zone: bool,
    #[serde(rename = "apart")]
    zone_spread: bool,
    #[serde(rename = "loaners")]
    spot: bool,
    #[serde(rename = "expectS", deserialize_with = "num")]
    estimate_s: f64,
    #[serde(rename = "markEveryS", deserialize_with = "num")]
    checkpoint_interval_s: f64,
    #[serde(rename = "markCostS", deserialize_with = "num")]
    checkpoint_cost_s: f64,
    #[serde(rename = "dueS", default, deserialize_with = "opt_num")]
    deadline_s: Option<f64>,
}

impl JobBody {
    /// Checks every field.
    pub fn check(self) -> Result<JobSpec, WireError> {
        let id = JobId::parse(&self.id).ok_or(WireError::Field("nameId"))?;
        let kind = match self.kind.as_str() {
            "array" => JobKind::Array,
            "group" => JobKind::Gang,
            // Not on the protocol's page, but the users' loopback check submits one; see
            // docs/questions.md.
            "standing" => JobKind::Service,
            _ => return Err(WireError::Field("shape")),
        };
        let priority = match self.priority.as_str() {
            "prod" => Priority::Production,
            "urgent" => Priority::Urgent,
            "standard" => Priority::Standard,
            "best_effort" => Priority::BestEffort,
            _ => return Err(WireError::Field("rank")),
        };
        let whole = self.tasks.fract() == 0.0;
        if !whole || self.tasks < 1.0 || self.tasks > JOB_TASKS_MAX as f64 {
            return Err(WireError::Field("strands"));
        }
        let amounts = [
            ("cores", self.cpus),
            ("cards", self.gpus),
            ("ramGb", self.memory),
            ("sizeGb", self.image_gb),
            ("expectS", self.estimate_s),
            ("markEveryS", self.checkpoint_interval_s),
            ("markCostS", self.checkpoint_cost_s),
            ("dueS", self.deadline_s.unwrap_or(0.0)),
        ];
        for (field, amount) in amounts {
            if !amount.is_finite() || amount < 0.0 {
                return Err(WireError::Field(field));
            }
        }
        let named = [
            ("lane", &self.class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ];
        for (field, text) in named {
            if text.is_empty() {
                return Err(WireError::Field(field));
            }
        }
        Ok(JobSpec {
            id,
            class: self.class,
            team: self.team,
            kind,
            priority,
            tasks: self.tasks as u32,
            task_resources: Resources {
                cpus: self.cpus,
                gpus: self.gpus,
                memory: self.memory,
            },
            machine_types: self.machine_types,
            zone: self.zone,
            single_zone: self.single_zone,
            zone_spread: self.zone_spread,
            spot: self.spot,
            image: self.image,
            image_gb: self.image_gb,
            estimate_s: self.estimate_s,
            checkpoint_interval_s: self.checkpoint_interval_s,
            checkpoint_cost_s: self.checkpoint_cost_s,
            deadline_s: self.deadline_s,
        })
    }
}

/// A job's state as users see it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobState {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: String,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: String,
    /// Tasks completed.
    pub done: u32,
    /// Tasks running.
    pub running: u32,
}

/// An error as users and operators see it.
#[derive(Debug, Serialize)]
pub struct Problem {
    /// What is wrong.
    pub error: String,
}

/// A task's phase on its machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskPhase {
    /// Waits for its image.
    #[serde(rename = "pulling")]
    PullingImage,
    /// Waits for its gang.
    #[serde(rename = "gathering")]
    AwaitingGang,
    /// Runs.
    Running,
    /// Saves.
    #[serde(rename = "flushing")]
    Checkpointing,
    /// Ended.
    Exited,
}

/// Why a task exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// Completed.
    Done,
    /// By command.
    Stopped,
    /// Another member of its gang is gone.
    #[serde(rename = "mates_gone")]
    GangMemberLost,
    /// Its gang was not complete in time.
    #[serde(rename = "alone")]
    GangBarrierTimeout,
    /// Failed.
    Error,
    /// Refused: no room.
    #[serde(rename = "no_room")]
    InsufficientCapacity,
    /// Refused: here already with another attempt.
    #[serde(rename = "in_use")]
    AlreadyPresent,
    /// Refused: not known.
    #[serde(rename = "unknown")]
    UnknownTask,
    /// A cause this version does not know; handled like a failure nobody is blamed for.
    #[serde(other)]
    Other,
}

/// One task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// `job/number`.
    #[serde(rename = "strand")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its phase.
    #[serde(rename = "status")]
    pub phase: TaskPhase,
    /// Why it exited.
    #[serde(default)]
    pub cause: Option<ExitCause>,
    /// Whether it saved.
    #[serde(default)]
    pub saved: Option<bool>,
}

/// A worker's report.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "host")]
    pub machine: String,
    /// Where it takes direct commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// The session.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// The report's number.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest token seen.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "recallS", default, deserialize_with = "opt_num")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "strands", default)]
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum WorkerCommand {
    /// Start.
    Run {
        /// The task.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop.
    Kill {
        /// The task.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// Time to save.
        #[serde(rename = "windDownS")]
        grace_s: f64,
    },
    /// Forget an exited task.
    Clear {
        /// The task.
        #[serde(rename = "strand")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Our token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// What the worker is to do.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// Sends a worker elsewhere.
#[derive(Debug, Serialize, Deserialize)]
pub struct Redirect {
    /// The node that takes reports.
    #[serde(rename = "answerTo", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}

/// Commands straight to a worker.
#[derive(Debug, Serialize, Deserialize)]
pub struct DirectCommand {
    /// Our token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// The session meant.
    #[serde(rename = "tenure")]
    pub epoch: u64,
    /// The commands.
    #[serde(rename = "orders")]
    pub commands: Vec<WorkerCommand>,
}

/// The cloud's catalog of machine types.
#[derive(Debug, Deserialize)]
pub struct MachineTypeCatalog {
    #[serde(rename = "builds")]
    machine_types: Vec<MachineTypeEntry>,
}

#[derive(Debug, Deserialize)]
struct MachineTypeEntry {
    name: String,
    #[serde(rename = "cores", deserialize_with = "num")]
    cpus: f64,
    #[serde(rename = "cards", deserialize_with = "num", default)]
    gpus: f64,
    #[serde(rename = "ramGb", deserialize_with = "num")]
    memory: f64,
    #[serde(rename = "localGb", deserialize_with = "num", default)]
    cache_gb: f64,
    #[serde(rename = "pullGbPerS", deserialize_with = "num", default)]
    fetch_rate: f64,
    #[serde(rename = "rate", deserialize_with = "num", default)]
    price: f64,
    #[serde(rename = "marketPrice", deserialize_with = "num", default)]
    spot_price: f64,
    #[serde(rename = "bootS", deserialize_with = "num", default)]
    boot_s: f64,
    #[serde(rename = "yards", default)]
    zones: Vec<String>,
}

impl MachineTypeCatalog {
    /// The catalog in the model's terms.
    pub fn machine_types(self) -> Vec<MachineType> {
        self.machine_types
            .into_iter()
            .map(|f| MachineType {
                name: f.name,
                capacity: Resources {
                    cpus: f.cpus,
                    gpus: f.gpus,
                    memory: f.memory,
                },
                price: f.price,
                spot_price: f.spot_price,
                boot: crate::time::secs(f.boot_s),
                cache_gb: f.cache_gb,
                fetch_rate: f.fetch_rate,
                zones: f.zones,
            })
            .collect()
    }
}

/// A rental request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RentalRequest {
    /// The request's name, never used twice.
    #[serde(rename = "hire")]
    pub request: String,
    /// Machine type.
    #[serde(rename = "build")]
    pub machine_type: String,
    /// Zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// How many.
    #[serde(rename = "number")]
    pub count: u32,
}

/// Machines by name: what a rental got, or what is to be returned.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachineNames {
    /// The names.
    #[serde(rename = "hosts")]
    pub machines: Vec<String>,
}

/// One machine in the cloud's list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Its name.
    #[serde(rename = "nameId")]
    pub id: String,
    /// Where it takes commands.
    #[serde(default)]
    pub address: String,
    /// Its type.
    #[serde(rename = "build", default)]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard", default)]
    pub zone: String,
    /// Spot or ordinary.
    #[serde(rename = "loaners", default)]
    pub spot: bool,
    /// `booting`, `running` or `failed`.
    pub status: String,
    /// Time since the rental request.
    #[serde(rename = "heldS", deserialize_with = "num", default)]
    pub age_s: f64,
}

/// A page of the cloud's list.
#[derive(Debug, Serialize, Deserialize)]
pub struct MachinePage {
    /// The machines.
    #[serde(rename = "hosts")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
}
