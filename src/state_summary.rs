//! The state summary that a leader publishes to the other nodes, and the cache in which they keep it.
//!
//! [`recipient`] is the leader's side: which peer needs the full state. [`cache`] is the follower's.

pub mod cache;
pub mod recipient;

use serde::{Deserialize, Serialize};

pub use self::cache::{SummaryCache, REMOVED_MACHINES_MAX};
pub use self::recipient::SummaryRecipient;
use crate::model::{JobId, MachineId, Term};

/// Largest summary accepted. Senders leave out what does not fit, see [`SummaryContents::shorten`]; the
/// limit is the same in all versions since 0.3.0.
pub const SUMMARY_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Bytes reserved for the head of a summary.
const HEAD_BYTES: usize = 1024;
/// Most bytes that `bincode` takes for a number or the length of a text.
const NUMBER_BYTES: usize = 9;
/// Longest text whose length `bincode` puts into one byte.
const SHORT_TEXT: usize = 250;
/// Part of a summary's limit for jobs; the rest is for machines.
const JOBS_PART: f64 = 0.4;

/// What a leader publishes to the others once a second. It serves display and hints only; no decision
/// that must be correct depends on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateSummary {
    /// The leader's term.
    pub term: Term,
    /// The leader's name.
    pub member: String,
    /// The number of the summary within the term.
    pub number: u64,
    /// Whether it holds the full state, not only the changes since the summary before.
    pub full: bool,
    /// The state or the changes.
    pub contents: SummaryContents,
}

/// The contents of a summary.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SummaryContents {
    /// Unfinished jobs.
    pub task_counts: Vec<TaskCounts>,
    /// Jobs that finished or were cancelled.
    pub ended_jobs: Vec<JobId>,
    /// Machines, for the next leader.
    pub machines: Vec<(MachineId, MachineSummary)>,
    /// Machines that were released or terminated.
    pub removed_machines: Vec<MachineId>,
}

impl SummaryContents {
    /// Leaves out what would make a summary larger than peers accept: counts of jobs first, which are
    /// only displayed, then images of machines, the least recently used first. Otherwise a peer would
    /// reject every summary of a large fleet.
    pub fn shorten(&mut self, limit: usize) {
        let limit = limit.saturating_sub(HEAD_BYTES);
        let jobs_limit = (limit as f64 * JOBS_PART) as usize;
        let over = truncate_to(&mut self.ended_jobs, jobs_limit / 2, |id| {
            text_bytes(id.as_str())
        });
        let counts = truncate_to(&mut self.task_counts, jobs_limit - over, |count| {
            text_bytes(count.id.as_str()) + 2 * NUMBER_BYTES
        });
        let machines_limit = limit - over - counts;
        let gone_limit = machines_limit / 4;
        let gone = truncate_to(&mut self.removed_machines, gone_limit, |id| {
            text_bytes(&id.0)
        });
        let hints_limit = machines_limit - gone;
        let bare = truncate_to(&mut self.machines, hints_limit, |(id, hint)| {
            text_bytes(&id.0) + hint.bytes_without_images()
        });
        let each = (hints_limit - bare) / self.machines.len().max(1);
        for (_, hint) in &mut self.machines {
            hint.keep_latest_images(each);
        }
    }
}

/// Most bytes that `bincode` takes for a text.
fn text_bytes(text: &str) -> usize {
    let length = if text.len() <= SHORT_TEXT {
        1
    } else {
        NUMBER_BYTES
    };
    length + text.len()
}

/// Keeps as many items from the front as fit `limit` bytes; the bytes of those kept.
fn truncate_to<T>(items: &mut Vec<T>, limit: usize, bytes: impl Fn(&T) -> usize) -> usize {
    let mut kept_bytes = 0;
    let mut kept = 0;
    for item in items.iter() {
        let next = kept_bytes + bytes(item);
        if next > limit {
            break;
        }
        kept_bytes = next;
        kept += 1;
    }
    items.truncate(kept);
    kept_bytes
}

/// Completed and running tasks of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// The job.
    pub id: JobId,
    /// Completed.
    pub done: u32,
    /// Running.
    pub running: u32,
}

/// What a new leader can't learn from heartbeats, or can use before the first one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineSummary {
    /// The address that takes direct commands.
    pub address: String,
    /// Its agent epoch.
    pub epoch: u64,
    /// Images it has with their sizes in GB, most recently used last.
    pub images: Vec<(String, f32)>,
}

impl MachineSummary {
    fn bytes_without_images(&self) -> usize {
        text_bytes(&self.address) + 2 * NUMBER_BYTES
    }

    /// Keeps the most recently used images, as many as fit `limit` bytes.
    fn keep_latest_images(&mut self, limit: usize) {
        let mut sum = 0;
        let fitting = self.images.iter().rev().take_while(|(name, _)| {
            sum += text_bytes(name) + std::mem::size_of::<f32>();
            sum <= limit
        });
        let count = fitting.count();
        self.images.drain(..self.images.len() - count);
    }
}

/// A node's response to a summary. Nodes of 0.2.0 answer without a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryReply {
    /// Misdirected heartbeats: those that this node neither decided nor forwarded since it started.
    pub misdirected: u64,
}

#[cfg(test)]
mod tests;
