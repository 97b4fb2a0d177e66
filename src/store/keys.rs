//! The keys in the key-value store and the records at these keys. Nothing else knows their names, which
//! stay as they are between versions.
//!
//! All keys share one prefix, so that one watch per controller delivers all changes, and so that a
//! controller whose replica has reached a revision knows all records as of that revision.

use serde::{Deserialize, Serialize};

use crate::model::{JobId, JobSpec, Term, Verdict};

/// Prefix of all keys.
pub const ROOT: &str = "kl/";
/// The leader; the store deletes the key with the leader's lease.
pub const LEADER: &str = "kl/leader";
/// The highest term of all elections.
pub const TERM: &str = "kl/term";
/// The operators' settings.
pub const SETTINGS: &str = "kl/settings";

const JOB: &str = "kl/job/";
const LIVE: &str = "kl/live/";
const DONE: &str = "kl/done/";
const INVENTORY: &str = "kl/roster/";
const SENT: &str = "kl/sent/";
const MISDIRECTED: &str = "kl/knocks/";
const PROBE: &str = "kl/probe/";

/// The verdict on a job, kept for ever, and the job's description while any task of it may run.
pub fn job(id: &JobId) -> String {
    format!("{JOB}{id}")
}

/// The description as versions up to 0.3.0 wrote it; it is read, and deleted after the job's end.
pub fn description(id: &JobId) -> String {
    format!("{LIVE}{id}")
}

/// One chunk of the job's set of completed tasks.
pub fn completed_tasks(id: &JobId, chunk: usize) -> String {
    format!("{DONE}{id}/{chunk}")
}

/// One shard of the machine inventory: the machines that may run tasks.
pub fn inventory(shard: usize) -> String {
    format!("{INVENTORY}{shard:04}")
}

/// One dispatch record: where starts of several jobs may have been sent. Its number is used only once.
pub fn dispatch(term: Term, number: u32) -> String {
    format!("{SENT}{:010}-{number:06}", term.0)
}

/// A controller's count of misdirected heartbeats, recorded here in case it has no connection to the
/// leader.
pub fn misdirected(member: &str) -> String {
    format!("{MISDIRECTED}{member}")
}

/// A key, parsed.
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
    Live(JobId),
    /// See [`completed_tasks`].
    Done(JobId, usize),
    /// See [`inventory`].
    Inventory(usize),
    /// See [`dispatch`].
    Sent(String),
    /// See [`misdirected`].
    Misdirected(String),
}

/// Parses a key.
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
    if let Some(id) = key.strip_prefix(LIVE) {
        return JobId::parse(id).map(Key::Live);
    }
    if let Some(rest) = key.strip_prefix(DONE) {
        let (id, chunk) = rest.split_once('/')?;
        return Some(Key::Done(JobId::parse(id)?, chunk.parse().ok()?));
    }
    if key.starts_with(SENT) {
        return Some(Key::Sent(key.to_owned()));
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
    /// The leader's name.
    pub member: String,
    /// Its address for users and workers.
    pub address: String,
    /// Its term.
    pub term: Term,
    /// Its lease.
    pub lease: u64,
}

/// Record below [`TERM`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term.
    pub term: Term,
}

/// Record below [`job`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// The verdict.
    pub verdict: Verdict,
    /// Number of tasks, for display after the end.
    pub tasks: u32,
    /// The description, while any task of the job may run. It is in the same value as the verdict, so
    /// that a small job costs one change to accept and one to end.
    #[serde(rename = "live", default, skip_serializing_if = "Option::is_none")]
    pub description: Option<JobDescription>,
}

impl JobRecord {
    /// A verdict without a description.
    pub fn without_description(verdict: Verdict, tasks: u32) -> Self {
        Self {
            verdict,
            tasks,
            description: None,
        }
    }
}

/// A job's description: in its [`JobRecord`], or below [`description`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobDescription {
    /// The job.
    pub spec: JobSpec,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Whether any start of a task of it may have been sent, as versions up to 0.3.0 recorded it. Newer
    /// versions write [`DispatchedJobsRecord`]s.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub started: bool,
    /// The only machines to which starts may have been sent; `None`: any machine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hosts: Option<Vec<String>>,
}

/// Record below [`completed_tasks`]: one bit per task, four bits per hexadecimal digit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CompletedTasksRecord {
    /// The digits.
    pub bits: String,
}

/// Record below [`dispatch`]: starts of these jobs may have been sent to these machines, or to any machine
/// where none is named. Several records of one job add up.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct DispatchedJobsRecord {
    /// Jobs with their machines.
    pub jobs: Vec<(JobId, Option<Vec<String>>)>,
}

/// Record below [`misdirected`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MisdirectedRecord {
    /// Heartbeats that the controller has redirected since it started.
    #[serde(rename = "knocks")]
    pub count: u64,
}

/// Record below [`inventory`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct InventoryRecord {
    /// The machines.
    pub machines: Vec<String>,
}

/// A write without effect, by which a leader whose transactions failed learns that they succeed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRecord {
    /// Number of the probe in this process.
    pub count: u64,
}

/// Key of a controller's probes of the store. Nobody reads it.
pub fn probe(member: &str) -> String {
    format!("{PROBE}{member}")
}
