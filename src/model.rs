//! The model of the cluster: jobs, tasks, gangs, teams, machines and attempts.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A job's id as its user chose it (`wk-` and digits).
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(Arc<str>);

impl JobId {
    const PREFIX: &'static str = "wk-";
    /// Most digits accepted: more would not fit any counter.
    const ID_DIGITS_MAX: usize = 19;

    /// Parses an id; rejects every other form.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.strip_prefix(Self::PREFIX)?;
        let fits = !digits.is_empty() && digits.len() <= Self::ID_DIGITS_MAX;
        (fits && digits.bytes().all(|b| b.is_ascii_digit())).then(|| Self(text.into()))
    }

    /// The id as text.
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

/// One task of a job.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number within it.
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

/// A machine's name. Names sort by creation.
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
    /// Bits of the counter; a term would have to start four thousand million tasks to run out of them.
    const COUNTER_BITS: u32 = 32;

    /// The `count`th attempt of a term. No two terms share an attempt, so none is stored.
    pub fn of(term: Term, count: u32) -> Self {
        Self((term.0 << Self::COUNTER_BITS) | u64::from(count))
    }
}

/// The term of a leader.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Term(pub u64);

/// The fencing token by which workers reject commands of deposed leaders: a term, and a count within
/// it. A leader may raise the count for one machine, which makes the worker send a heartbeat at
/// once; another term's tokens are all lower or all higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl FencingToken {
    /// Bits of the count. A machine's token is raised a few times a minute at most.
    const COUNT_BITS: u32 = 20;

    /// The first token of a term.
    pub fn first(term: Term) -> Self {
        Self(term.0 << Self::COUNT_BITS)
    }

    /// The term it belongs to.
    pub fn term(self) -> Term {
        Term(self.0 >> Self::COUNT_BITS)
    }

    /// The next one of the same term, if there is one left.
    pub fn raised(self) -> Option<Self> {
        let next = Self(self.0 + 1);
        (next.term() == self.term()).then_some(next)
    }
}

/// The kind of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each a gang of one.
    Array,
    /// Tasks that run all at the same time or not at all.
    Gang,
    /// Independent tasks that run until their user cancels the job.
    Service,
}

/// Priority class, lowest first so that the derived order is that of priorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// `best_effort`
    BestEffort,
    /// `standard`
    Standard,
    /// `urgent`
    Urgent,
    /// `prod`
    Production,
}

/// Amounts of the resources of a machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processors.
    pub cpus: f64,
    /// Graphics cards.
    pub gpus: f64,
    /// Memory in GB.
    pub memory: f64,
}

/// Decimal amounts are summed and subtracted many times; differences below this are rounding.
const ROUNDING: f64 = 1e-6;

impl Resources {
    /// Whether this fits into the free capacity.
    pub fn fits(&self, free: &Resources) -> bool {
        self.cpus <= free.cpus + ROUNDING
            && self.gpus <= free.gpus + ROUNDING
            && self.memory <= free.memory + ROUNDING
    }

    /// Adds other amounts.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory += other.memory;
    }

    /// Subtracts other amounts.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory -= other.memory;
    }

    /// These amounts `n` times.
    pub fn times(&self, n: u32) -> Resources {
        let n = f64::from(n);
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory: self.memory * n,
        }
    }

    /// How many of this fit into the free capacity.
    pub fn count_in(&self, free: &Resources) -> u32 {
        let parts = [
            (self.cpus, free.cpus),
            (self.gpus, free.gpus),
            (self.memory, free.memory),
        ];
        let fit = parts
            .iter()
            .filter(|(need, _)| *need > ROUNDING)
            .map(|(need, have)| ((have + ROUNDING) / need).floor())
            .fold(f64::from(u32::MAX), f64::min);
        fit.max(0.0) as u32
    }
}

/// A job as its user described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id.
    pub id: JobId,
    /// Its job class.
    pub class: String,
    /// The team whose quota applies.
    pub team: String,
    /// Array, gang or service.
    #[serde(rename = "shape")]
    pub kind: JobKind,
    /// Priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// What each task needs.
    #[serde(rename = "need")]
    pub task_resources: Resources,
    /// Machine types allowed; `None`: any.
    #[serde(rename = "builds")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone allowed.
    pub zone: Option<String>,
    /// All tasks in one zone.
    #[serde(rename = "one_zone")]
    pub single_zone: bool,
    /// At most half, rounded up, in one zone.
    #[serde(rename = "spread")]
    pub zone_spread: bool,
    /// May use spot machines.
    pub spot: bool,
    /// Its image, pulled before a task runs.
    pub image: String,
    /// Its size in GB.
    pub image_gb: f64,
    /// The owner's estimate of a task's run time, in seconds.
    pub estimate_s: f64,
    /// Seconds of progress between two checkpoints; 0: no checkpoints.
    #[serde(rename = "checkpoint_s")]
    pub checkpoint_interval_s: f64,
    /// Seconds that a checkpoint takes.
    #[serde(rename = "save_s")]
    pub checkpoint_cost_s: f64,
    /// Seconds from its submission to its deadline.
    #[serde(rename = "due_s")]
    pub deadline_s: Option<f64>,
}

impl JobSpec {
    /// The least number of members with which a gang runs.
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

    /// The grace period in which a checkpoint is saved, in seconds.
    pub fn checkpoint_grace_s(&self) -> f64 {
        // One second on top, so that rounding on the way never makes it too little.
        self.checkpoint_cost_s + 1.0
    }

    /// The owner's estimate as a duration.
    pub fn estimate(&self) -> Duration {
        crate::time::secs(self.estimate_s)
    }

    /// Most tasks in one zone, by the zone spread constraint if the job has it.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.zone_spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether the job may use machines of this type, zone and kind at all.
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
    /// Its name.
    pub name: String,
    /// Its capacity.
    pub capacity: Resources,
    /// Price an hour.
    pub hourly_price: f64,
    /// Price an hour as a spot machine, at present.
    pub hourly_spot_price: f64,
    /// Nominal boot time.
    pub boot_time: Duration,
    /// Image cache in GB.
    pub cache_gb: f64,
    /// The rate of image pulls in GB a second.
    pub pull_gb_per_s: f64,
    /// Zones that have it.
    pub zones: Vec<String>,
}

impl MachineType {
    /// Price an hour, on demand or spot.
    pub fn hourly_price_of(&self, spot: bool) -> f64 {
        if spot {
            self.hourly_spot_price
        } else {
            self.hourly_price
        }
    }
}

/// A pool of machines that can be rented: one type, in one zone, spot or on demand.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachinePool {
    /// Type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot or on demand.
    pub spot: bool,
}

/// What the records say of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Accepted; it has to run.
    Accepted,
    /// All tasks completed.
    Done,
    /// Its user cancelled it.
    Cancelled,
}

#[cfg(test)]
mod tests;
