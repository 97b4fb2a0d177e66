//! The keys in the key-value store and the records stored below them. No other module contains key names,
//! which must not change between versions.
//!
//! All keys share one prefix. One watch per controller therefore delivers all changes, and a replica that
//! has reached a revision contains all records as of that revision.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::model::{JobId, JobSpec, Term, Verdict};
use crate::time::unix_ms;

/// Prefix of all keys that the service uses.
pub const ROOT: &str = "kl/";
/// The leader. The key is attached to the leader's lease, so that the store deletes it when this lease
/// ends.
pub const LEADER: &str = "kl/leader";
/// The highest term of any election.
pub const TERM: &str = "kl/term";
/// Settings that operators change while the service runs.
pub const SETTINGS: &str = "kl/settings";

const JOB: &str = "kl/job/";
const DESCRIPTION: &str = "kl/live/";
const COMPLETED_TASKS: &str = "kl/done/";
const INVENTORY: &str = "kl/roster/";
const DISPATCH: &str = "kl/sent/";
const MISDIRECTED: &str = "kl/knocks/";
const PROBE: &str = "kl/probe/";

/// Key of the verdict on a job, which is kept without a time limit, and of the job's description while any
/// of its tasks may run.
pub fn job(id: &JobId) -> String {
    format!("{JOB}{id}")
}

/// Key of a job's description as versions up to 0.3.0 wrote it. Later versions read it, and delete it
/// after the job has ended.
pub fn description(id: &JobId) -> String {
    format!("{DESCRIPTION}{id}")
}

/// Key of one chunk of a job's set of completed tasks.
pub fn completed_tasks(id: &JobId, chunk: usize) -> String {
    format!("{COMPLETED_TASKS}{id}/{chunk}")
}

/// Key of one shard of the machine inventory, which lists the machines that may run tasks.
pub fn inventory(shard: usize) -> String {
    format!("{INVENTORY}{shard:04}")
}

/// Key of one dispatch record: the machines to which starts of several jobs may have been sent. The leader
/// of a term uses each number only once.
pub fn dispatch(term: Term, number: u32) -> String {
    format!("{DISPATCH}{:010}-{number:06}", term.0)
}

/// Key of a controller's count of misdirected heartbeats. The controller records the count in the store
/// when it has no connection to the leader.
pub fn misdirected(member: &str) -> String {
    format!("{MISDIRECTED}{member}")
}

/// A parsed key.
#[derive(Debug, PartialEq, Eq)]
pub enum Key {
    /// See [`LEADER`].
    Leader,
    /// See [`TERM`].
    Term,
    /// See [`SETTINGS`].
    Settings,
    /// See [`job`].
    Job(JobId),
    /// See [`description`].
    Description(JobId),
    /// The job and the number of the chunk, see [`completed_tasks`].
    CompletedTasks(JobId, usize),
    /// The number of the shard, see [`inventory`].
    Inventory(usize),
    /// The full key, see [`dispatch`].
    Dispatch(String),
    /// The controller's name, see [`misdirected`].
    Misdirected(String),
}

/// Parses a key; `None` if it has no known form or is a controller's probe.
pub fn parse(key: &str) -> Option<Key> {
    match key {
        LEADER => return Some(Key::Leader),
        TERM => return Some(Key::Term),
        SETTINGS => return Some(Key::Settings),
        _ => {}
    }
    if let Some(id) = key.strip_prefix(JOB) {
        return JobId::parse(id).map(Key::Job);
    }
    if let Some(id) = key.strip_prefix(DESCRIPTION) {
        return JobId::parse(id).map(Key::Description);
    }
    if let Some(rest) = key.strip_prefix(COMPLETED_TASKS) {
        let (id, chunk) = rest.split_once('/')?;
        return Some(Key::CompletedTasks(JobId::parse(id)?, chunk.parse().ok()?));
    }
    if key.starts_with(DISPATCH) {
        return Some(Key::Dispatch(key.to_owned()));
    }
    if let Some(member) = key.strip_prefix(MISDIRECTED) {
        return Some(Key::Misdirected(member.to_owned()));
    }
    let shard = key.strip_prefix(INVENTORY)?;
    shard.parse().ok().map(Key::Inventory)
}

/// Record below [`LEADER`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The leader's name, as in the settings.
    pub member: String,
    /// The leader's address for users and agents.
    pub address: String,
    /// The term that began with the leader's election.
    pub term: Term,
    /// Id of the lease that this key is attached to.
    pub lease: u64,
}

/// Record below [`TERM`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term in which any controller was elected.
    pub term: Term,
}

/// Record below [`job`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The verdict, which never changes again once it is other than [`Verdict::Accepted`].
    pub verdict: Verdict,
    /// Number of tasks, for display after the job has ended.
    pub tasks: u32,
    /// The description, present while any task of the job may run. It is in the same value as the verdict,
    /// so that a small job needs only one change to be accepted and one to end.
    #[serde(rename = "live", default, skip_serializing_if = "Option::is_none")]
    pub description: Option<JobDescription>,
}

impl JobRecord {
    /// Creates the record of a job that is accepted at `submitted_at`.
    pub fn accepted(spec: JobSpec, submitted_at: SystemTime) -> Self {
        Self {
            verdict: Verdict::Accepted,
            tasks: spec.tasks,
            description: Some(JobDescription {
                spec,
                submitted_ms: unix_ms(submitted_at),
                started: false,
                hosts: None,
            }),
        }
    }

    /// Creates the record of a job of which no task may run.
    pub fn without_description(verdict: Verdict, tasks: u32) -> Self {
        Self {
            verdict,
            tasks,
            description: None,
        }
    }
}

/// A job's description, stored in its [`JobRecord`] or, by versions up to 0.3.0, below [`description`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobDescription {
    /// The job as it was submitted.
    pub spec: JobSpec,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Whether starts of its tasks may have been sent. Only versions up to 0.3.0 write this field; later
    /// versions write [`DispatchedJobsRecord`]s.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub started: bool,
    /// The only machines to which starts may have been sent. `None` means any machine if `started` is true,
    /// and no machine otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hosts: Option<Vec<String>>,
}

/// Record below [`completed_tasks`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletedTasksRecord {
    /// One bit per task of the chunk, four bits per hexadecimal digit.
    pub bits: String,
}

/// Record below [`dispatch`]. If several records name one job, its starts may have been sent to the
/// machines of any of them.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DispatchedJobsRecord {
    /// Jobs with the machines to which their starts may have been sent; `None` means any machine.
    pub jobs: Vec<(JobId, Option<Vec<String>>)>,
}

/// Record below [`misdirected`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MisdirectedRecord {
    /// Number of heartbeats since the controller started to which it responded with a status other than 200.
    #[serde(rename = "knocks")]
    pub count: u64,
}

/// Record below [`inventory`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct InventoryRecord {
    /// Ids of the machines of this shard.
    pub machines: Vec<String>,
}

/// Record below [`probe`]. A leader whose transactions failed writes it to detect when they succeed again;
/// the record has no other effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRecord {
    /// Number of probes that this process has sent, including this one.
    pub count: u64,
}

/// Key of a controller's probe writes. No process reads it.
pub fn probe(member: &str) -> String {
    format!("{PROBE}{member}")
}
