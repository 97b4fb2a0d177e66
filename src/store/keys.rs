//! The key layout and the records below the keys.
//!
//! All keys share one prefix so that one watch a node brings everything, and so that a node
//! whose replica has reached a revision knows all of our records as of that revision.

use serde::{Deserialize, Serialize};

use crate::model::{JobId, JobSpec, Term, Verdict};

/// Prefix of all our keys.
pub const ROOT: &str = "kl/";
/// Who leads; hangs on the leader's lease.
pub const LEADER: &str = "kl/leader";
/// The highest term ever given out.
pub const TERM: &str = "kl/term";
/// Operators' settings.
pub const SETTINGS: &str = "kl/settings";

const JOB: &str = "kl/job/";
const LIVE: &str = "kl/live/";
const DONE: &str = "kl/done/";
const INVENTORY: &str = "kl/roster/";
const SENT: &str = "kl/sent/";
const MISDIRECTED: &str = "kl/knocks/";
const PROBE: &str = "kl/probe/";

/// The verdict on a job, kept for ever, and its description while any task of it can be anywhere.
pub fn job(id: &JobId) -> String {
    format!("{JOB}{id}")
}

/// Where versions up to 0.3.0 kept the description; read, and deleted with the job's end.
pub fn live(id: &JobId) -> String {
    format!("{LIVE}{id}")
}

/// One chunk of the job's set of completed tasks.
pub fn done(id: &JobId, chunk: usize) -> String {
    format!("{DONE}{id}/{chunk}")
}

/// One shard of the list of machines that may hold tasks.
pub fn inventory(shard: usize) -> String {
    format!("{INVENTORY}{shard:04}")
}

/// One list of where starts of several jobs may have been sent. Its number is given out once.
pub fn sent(term: Term, number: u32) -> String {
    format!("{SENT}{:010}-{number:06}", term.0)
}

/// How many workers a node has sent elsewhere, told this way where the leader's digests don't
/// reach the node.
pub fn misdirected(member: &str) -> String {
    format!("{MISDIRECTED}{member}")
}

/// What a key is about.
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
    /// See [`live`].
    Live(JobId),
    /// See [`done`].
    Done(JobId, usize),
    /// See [`inventory`].
    Inventory(usize),
    /// See [`sent`].
    Sent(String),
    /// See [`misdirected`].
    Misdirected(String),
}

/// Reads a key.
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
    /// The leading node.
    pub member: String,
    /// Where users and workers reach it.
    pub address: String,
    /// Its term.
    pub term: Term,
    /// Its lease.
    pub lease: u64,
}

/// Record below [`TERM`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest term given out.
    pub term: Term,
}

/// Record below [`job`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobRecord {
    /// What is known for good.
    pub verdict: Verdict,
    /// Number of tasks, for display after the end.
    pub tasks: u32,
    /// The description, until no task of it can be anywhere any more. In the same value as the
    /// verdict: of many small jobs each costs one change to take and one to end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub live: Option<LiveRecord>,
}

impl JobRecord {
    /// A verdict without a description.
    pub fn bare(verdict: Verdict, tasks: u32) -> Self {
        Self {
            verdict,
            tasks,
            live: None,
        }
    }
}

/// A job's description: in its [`JobRecord`], or below [`live`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LiveRecord {
    /// The job.
    pub spec: JobSpec,
    /// When it was taken, in milliseconds of the time of day.
    pub submitted_ms: u64,
    /// Whether any start of a task of it may have been sent, as versions up to 0.3.0 wrote it
    /// down; now [`SentRecord`]s say so.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub started: bool,
    /// To which machines at most; nothing: to any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hosts: Option<Vec<String>>,
}

/// Record below [`done`]: a bit a task, four to the hexadecimal digit.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DoneRecord {
    /// The digits.
    pub bits: String,
}

/// Record below [`sent`]: starts of these jobs may have been sent to these machines, or to any
/// where none are named. What several records say of a job adds up.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct SentRecord {
    /// Jobs with their machines.
    pub jobs: Vec<(JobId, Option<Vec<String>>)>,
}

/// Record below [`misdirected`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MisdirectedRecord {
    /// Reports that the node has sent elsewhere since it started.
    #[serde(rename = "knocks")]
    pub count: u64,
}

/// Record below [`inventory`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct InventoryRecord {
    /// The machines.
    pub machines: Vec<String>,
}

/// A write of no consequence, by which a leader whose transactions failed sees that they succeed again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRecord {
    /// Counts the probes of a process.
    pub count: u64,
}

/// Key of a node's probes. Nobody reads it.
pub fn probe(member: &str) -> String {
    format!("{PROBE}{member}")
}
