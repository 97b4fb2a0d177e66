//! Bodies of users' requests and of their responses.

use serde::{Deserialize, Serialize};

use super::number::{number, optional_number};
use super::WireError;
use crate::model::{JobId, JobKind, JobSpec, Priority, Resources};

/// Largest number of tasks in a job.
pub const JOB_TASKS_MAX: u64 = 100_000;

/// The body of a submission, before its values are validated.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobSubmission {
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
    #[serde(rename = "strands", deserialize_with = "number")]
    tasks: f64,
    #[serde(rename = "cores", deserialize_with = "number")]
    cpus: f64,
    #[serde(rename = "cards", deserialize_with = "number")]
    gpus: f64,
    #[serde(rename = "ramGb", deserialize_with = "number")]
    memory: f64,
    #[serde(rename = "bundle")]
    image: String,
    #[serde(rename = "sizeGb", deserialize_with = "number")]
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
    #[serde(rename = "expectS", deserialize_with = "number")]
    estimate_s: f64,
    #[serde(rename = "markEveryS", deserialize_with = "number")]
    checkpoint_interval_s: f64,
    #[serde(rename = "markCostS", deserialize_with = "number")]
    checkpoint_cost_s: f64,
    #[serde(rename = "dueS", default, deserialize_with = "optional_number")]
    deadline_s: Option<f64>,
}

impl JobSubmission {
    /// Validates every field and converts the submission to the job's specification.
    pub fn into_spec(self) -> Result<JobSpec, WireError> {
        let id = JobId::parse(&self.id).ok_or(WireError::InvalidField("nameId"))?;
        let kind = self.job_kind()?;
        let priority = self.job_priority()?;
        let tasks = self.valid_task_count()?;
        self.check_amounts()?;
        self.check_texts()?;
        Ok(JobSpec {
            id,
            class: self.class,
            team: self.team,
            kind,
            priority,
            tasks,
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

    fn job_kind(&self) -> Result<JobKind, WireError> {
        match self.kind.as_str() {
            "array" => Ok(JobKind::Array),
            "group" => Ok(JobKind::Gang),
            // The protocol's description does not list this kind, but the users' loopback check submits such
            // a job; see docs/questions.md.
            "standing" => Ok(JobKind::Service),
            _ => Err(WireError::InvalidField("shape")),
        }
    }

    fn job_priority(&self) -> Result<Priority, WireError> {
        match self.priority.as_str() {
            "prod" => Ok(Priority::Production),
            "urgent" => Ok(Priority::Urgent),
            "standard" => Ok(Priority::Standard),
            "best_effort" => Ok(Priority::BestEffort),
            _ => Err(WireError::InvalidField("rank")),
        }
    }

    fn valid_task_count(&self) -> Result<u32, WireError> {
        let is_whole = self.tasks.fract() == 0.0;
        if !is_whole || self.tasks < 1.0 || self.tasks > JOB_TASKS_MAX as f64 {
            return Err(WireError::InvalidField("strands"));
        }
        Ok(self.tasks as u32)
    }

    fn check_amounts(&self) -> Result<(), WireError> {
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
        let invalid = amounts
            .into_iter()
            .find(|(_, amount)| !amount.is_finite() || *amount < 0.0);
        match invalid {
            Some((field, _)) => Err(WireError::InvalidField(field)),
            None => Ok(()),
        }
    }

    fn check_texts(&self) -> Result<(), WireError> {
        let texts = [
            ("lane", &self.class),
            ("owner", &self.team),
            ("bundle", &self.image),
        ];
        match texts.into_iter().find(|(_, text)| text.is_empty()) {
            Some((field, _)) => Err(WireError::InvalidField(field)),
            None => Ok(()),
        }
    }
}

/// A job's status as reported to its user.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobState {
    /// The job's id.
    #[serde(rename = "nameId")]
    pub id: String,
    /// `pending`, `running`, `done` or `cancelled`.
    pub status: String,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// The body of an error response, for users, agents and operators.
#[derive(Debug, Serialize)]
pub struct ErrorBody {
    /// The reason for the error, in words.
    pub error: String,
}
