//! The state summary that a leader publishes to the other controllers, and the cache in which the followers
//! keep it.
//!
//! [`recipient`] is the leader's side and tracks which peer needs the full state. [`cache`] is the
//! follower's side.

pub mod cache;
pub mod recipient;

use serde::{Deserialize, Serialize};

pub use self::cache::{SummaryCache, REMOVED_MACHINES_MAX};
pub use self::recipient::SummaryRecipient;
use crate::model::{JobId, MachineId, Term};

/// Largest encoded summary that a controller accepts, the same in all versions since 0.3.0. The sender
/// shortens larger ones, see [`SummaryContents::shorten`].
pub const SUMMARY_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Bytes reserved for the fields of a summary other than its contents.
const HEADER_BYTES: usize = 1024;
/// Largest number of bytes in which `bincode` encodes a number or the length of a string.
const NUMBER_BYTES_MAX: usize = 9;
/// Length in bytes of the longest string whose length `bincode` encodes in one byte.
const SHORT_STRING_BYTES_MAX: usize = 250;
/// Share of a summary's limit that jobs may use; machines may use the rest.
const JOBS_SHARE: f64 = 0.4;

/// The message that a leader publishes to the other controllers once a second. It only serves display and
/// hints; no decision that must be correct depends on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateSummary {
    /// The leader's term. A summary of an older term is rejected.
    pub term: Term,
    /// The leader's name, as in the settings.
    pub member: String,
    /// Number of the summary within the term. Consecutive summaries have consecutive numbers.
    pub number: u64,
    /// Whether the contents are the full state instead of the changes since the previous summary.
    pub full: bool,
    /// The full state, or the changes.
    pub contents: SummaryContents,
}

/// The contents of a summary: the full state, or the changes since the previous summary.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SummaryContents {
    /// Task counts of jobs that have not ended.
    pub task_counts: Vec<TaskCounts>,
    /// Jobs that finished or were cancelled.
    pub ended_jobs: Vec<JobId>,
    /// Machines that have sent a heartbeat, as hints for the next leader.
    pub machines: Vec<(MachineId, MachineSummary)>,
    /// Machines that were released or terminated.
    pub removed_machines: Vec<MachineId>,
}

impl SummaryContents {
    /// Removes entries so that the encoded summary has at most `limit` bytes; otherwise a peer would reject
    /// every summary of a large fleet. Jobs, which are only displayed, are limited to their share and removed
    /// machines to a quarter of the rest. Of the other machines, the least recently used images are removed
    /// first.
    pub fn shorten(&mut self, limit: usize) {
        let limit = limit.saturating_sub(HEADER_BYTES);
        let jobs_limit = (limit as f64 * JOBS_SHARE) as usize;
        let ended_bytes = truncate(&mut self.ended_jobs, jobs_limit / 2, |id| size(id.as_str()));
        let counts_bytes = truncate(&mut self.task_counts, jobs_limit - ended_bytes, |count| {
            size(count.id.as_str()) + 2 * NUMBER_BYTES_MAX
        });
        let all_machines_limit = limit - ended_bytes - counts_bytes;
        let removed_limit = all_machines_limit / 4;
        let removed_bytes = truncate(&mut self.removed_machines, removed_limit, |id| size(&id.0));
        let machines_limit = all_machines_limit - removed_bytes;
        let bytes_without_images = truncate(&mut self.machines, machines_limit, |(id, machine)| {
            size(&id.0) + machine.bytes_without_images()
        });
        let images_limit = (machines_limit - bytes_without_images) / self.machines.len().max(1);
        for (_, machine) in &mut self.machines {
            machine.keep_latest_images(images_limit);
        }
    }
}

/// Largest number of bytes that a string takes when `bincode` encodes it.
fn size(string: &str) -> usize {
    let length_bytes = if string.len() <= SHORT_STRING_BYTES_MAX {
        1
    } else {
        NUMBER_BYTES_MAX
    };
    length_bytes + string.len()
}

/// Keeps as many items from the front as fit into `limit` bytes, and returns the bytes of these items.
fn truncate<T>(items: &mut Vec<T>, limit: usize, bytes: impl Fn(&T) -> usize) -> usize {
    let mut kept_bytes = 0;
    let mut kept = 0;
    for item in items.iter() {
        let next_bytes = kept_bytes + bytes(item);
        if next_bytes > limit {
            break;
        }
        kept_bytes = next_bytes;
        kept += 1;
    }
    items.truncate(kept);
    kept_bytes
}

/// Numbers of completed and running tasks of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskCounts {
    /// The job that the tasks belong to.
    pub id: JobId,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of running tasks.
    pub running: u32,
}

/// Information on a machine that a new leader cannot derive from heartbeats, or can use before the first
/// heartbeat.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineSummary {
    /// The address at which the machine's agent accepts direct commands.
    pub address: String,
    /// The epoch of the machine's agent.
    pub epoch: u64,
    /// Images on the machine with their sizes in GB, the most recently used last.
    pub images: Vec<(String, f32)>,
}

impl MachineSummary {
    fn bytes_without_images(&self) -> usize {
        size(&self.address) + 2 * NUMBER_BYTES_MAX
    }

    /// Keeps as many of the most recently used images as fit into `limit` bytes.
    fn keep_latest_images(&mut self, limit: usize) {
        let mut bytes = 0;
        let fitting = self.images.iter().rev().take_while(|(name, _)| {
            bytes += size(name) + std::mem::size_of::<f32>();
            bytes <= limit
        });
        let count = fitting.count();
        self.images.drain(..self.images.len() - count);
    }
}

/// A controller's response to a summary. Controllers of version 0.2.0 respond without a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryReply {
    /// Misdirected heartbeats since this controller started: those to which it responded with a status other
    /// than 200.
    pub misdirected: u64,
}

#[cfg(test)]
mod tests;
