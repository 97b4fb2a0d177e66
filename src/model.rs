//! The domain model: jobs, tasks, gangs, machines, attempts, terms and fencing tokens.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A job's id as its user chose it (`wk-` and digits).
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(Arc<str>);

impl JobId {
    const PREFIX: &'static str = "wk-";
    /// More digits would not fit a 64-bit counter.
    const ID_DIGITS_MAX: usize = 19;

    /// Parses an id, and rejects every other form.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(Self::PREFIX)?;
        let fits = !digits.is_empty() && digits.len() <= Self::ID_DIGITS_MAX;
        (fits && digits.bytes().all(|b| b.is_ascii_digit())).then(|| Self(text.into()))
    }

    /// The id with its prefix.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The id of one task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// The task's number within the job, from 0.
    pub index: u32,
}

impl TaskId {
    /// Parses `job/number`.
    pub fn parse(text: &str) -> Option<Self> {
        let (job, index) = text.split_once('/')?;
        Some(Self {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl fmt::Debug for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// A machine's name, given by the cloud. Names sort by creation.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineId(pub Arc<str>);

impl fmt::Display for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for MachineId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An attempt to run a task or a whole gang, unique among all attempts: the term, then a counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt(pub u64);

impl Attempt {
    /// Bits of the counter. A term would have to start four billion tasks to exhaust it.
    const COUNTER_BITS: u32 = 32;

    /// The attempt with this counter value. Terms share no attempts, so the counter is not stored.
    pub fn of(term: Term, count: u32) -> Self {
        Self((term.0 << Self::COUNTER_BITS) | u64::from(count))
    }
}

/// A leader's term, which rises with every election.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// The fencing token by which agents reject commands of deposed leaders: a term, then a counter. A
/// leader may raise the counter for one machine, which makes the agent send a heartbeat at once.
/// Tokens of a later term are higher than all tokens of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Bits of the counter. A machine's token is raised a few times per minute at most.
    const COUNT_BITS: u32 = 20;

    /// The first token of a term.
    pub fn first(term: Term) -> Self {
        Self(term.0 << Self::COUNT_BITS)
    }

    /// The term that issued it.
    pub fn term(self) -> Term {
        Term(self.0 >> Self::COUNT_BITS)
    }

    /// The next token of the same term, unless the counter is exhausted.
    pub fn raised(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next.term() == self.term()).then_some(next)
    }
}

/// How the tasks of a job depend on each other, and whether they end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks.
    Array,
    /// Tasks that all run at the same time or not at all.
    Gang,
    /// Independent tasks that run until their user cancels the job.
    Service,
}

/// Priority class, lowest first, so that the derived order is that of the priorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// In submissions `best_effort`. A price cap applies to jobs of this class.
    BestEffort,
    /// In submissions `standard`.
    Standard,
    /// In submissions `urgent`.
    Urgent,
    /// In submissions `prod`.
    Production,
}

/// Amounts of resources, required by a task or provided by a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor cores.
    pub cpus: f64,
    /// Number of GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

/// Differences below this are rounding errors of repeated additions and subtractions.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl Resources {
    /// Whether these amounts fit into the free capacity.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + ROUNDING_TOLERANCE
            && self.gpus <= free.gpus + ROUNDING_TOLERANCE
            && self.memory <= free.memory + ROUNDING_TOLERANCE
    }

    /// Adds the other amounts to these.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }

    /// Subtracts the other amounts from these.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }

    /// These amounts multiplied by `n`.
    pub fn times(&self, n: u32) -> Resources {
        let n = f64::from(n);
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }

    /// How many times these amounts fit into the free capacity.
    pub fn count_in(&self, free: &Resources) -> u32 {
        let parts = [
            (self.cpus, free.cpus),
            (self.gpus, free.gpus),
            (self.memory, free.memory),
        ];
        let fit = parts
            .iter()
            .filter(|(need, _)| *need > ROUNDING_TOLERANCE)
            .map(|(need, have)| ((have + ROUNDING_TOLERANCE) / need).floor())
            .fold(f64::from(u32::MAX), f64::min);
        fit.max(0.0) as u32
    }
}

/// A job as its user described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The id chosen by the user.
    pub id: JobId,
    /// The job class, to which objectives refer.
    pub class: String,
    /// The team whose quota applies.
    pub team: String,
    /// Whether the tasks are independent, and whether they end by themselves.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// The priority class.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// The number of tasks.
    pub tasks: u32,
    /// Resources that each task requires.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// The allowed machine types; `None`: any.
    #[serde(rename = "builds")]
    pub machine_types: Option<Vec<String>>,
    /// The only allowed zone; `None`: any.
    pub zone: Option<String>,
    /// Whether all tasks have to run in one zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in one zone.
    #[serde(rename = "spread")]
    pub zone_spread: bool,
    /// Whether spot machines are allowed.
    pub spot: bool,
    /// The image, which a machine pulls before a task runs.
    pub image: String,
    /// The size of the image in GB.
    pub image_gb: f64,
    /// The user's estimate of a task's run time, in seconds; 0: none.
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; 0: no checkpoints.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that writing a checkpoint takes.
    #[serde(rename = "save_s")]
    pub checkpoint_cost_s: f64,
    /// Seconds from submission to the deadline.
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// The fewest tasks that have to run at the same time: all of a gang, else one.
    pub fn min_running_tasks(&self) -> u32 {
        match self.kind {
            JobKind::Array | JobKind::Service => 1,
            JobKind::Gang => self.tasks,
        }
    }

    /// Whether a terminated task can save its progress.
    pub fn can_checkpoint(&self) -> bool {
        self.checkpoint_interval_s > 0.0
    }

    /// The grace period for writing a last checkpoint, in seconds.
    pub fn checkpoint_grace_s(&self) -> f64 {
        // One extra second, so that rounding on the way to the agent never makes it too short.
        self.checkpoint_cost_s + 1.0
    }

    /// The user's estimate of a task's run time; zero if there is none.
    pub fn estimate(&self) -> Duration {
        crate::time::secs(self.estimate_s)
    }

    /// The most tasks in one zone, which the zone spread constraint lowers.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.zone_spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether the job may use machines of this type and zone, spot or on demand.
    pub fn allows(&self, machine_type: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .machine_types
                .as_ref()
                .is_none_or(|machine_types| machine_types.iter().any(|b| b == machine_type))
    }
}

/// A machine type of the cloud's catalog.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// The name by which jobs and rentals refer to it.
    pub name: String,
    /// Resources of one machine, all available to tasks.
    pub capacity: Resources,
    /// On-demand price per hour.
    pub hourly_price: f64,
    /// Current spot price per hour.
    pub hourly_spot_price: f64,
    /// Nominal time from the rental until the machine runs.
    pub boot_time: Duration,
    /// Size of the image cache in GB.
    pub cache_gb: f64,
    /// Throughput of image pulls in GB per second.
    pub pull_gb_per_s: f64,
    /// Zones in which it can be rented.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price per hour, spot or on demand.
    pub fn hourly_price_of(&self, spot: bool) -> f64 {
        if spot {
            self.hourly_spot_price
        } else {
            self.hourly_price
        }
    }
}

/// A pool of machines that can be rented: one type in one zone, spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachinePool {
    /// The name of the machine type.
    pub machine_type: String,
    /// The zone in which the machines are rented.
    pub zone: String,
    /// Whether its machines are spot machines.
    pub spot: bool,
}

/// The state of a job in its records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The job was accepted and has to run.
    Accepted,
    /// All tasks have completed.
    Done,
    /// The user cancelled the job.
    Cancelled,
}

#[cfg(test)]
mod tests;
