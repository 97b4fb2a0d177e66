//! The follower's cache of the leader's state summary.

use std::collections::{HashMap, VecDeque};

use super::{MachineSummary, StateSummary};
use crate::model::{JobId, MachineId, Term};

/// Maximum number of removed machines that are kept, so that delayed copies of their heartbeats do not add
/// them again. Such copies arrive within minutes, in which a fleet of 4,000 machines may be replaced more
/// than once. Each entry takes about 60 bytes.
pub const REMOVED_MACHINES_MAX: usize = 12_288;

/// A follower's cache of the leader's state summary.
#[derive(Debug, Default)]
pub struct SummaryCache {
    term: Term,
    number: u64,
    /// Numbers of completed and of running tasks of jobs that have not ended.
    pub task_counts: HashMap<JobId, (u32, u32)>,
    /// Hints on the machines, for use if this controller becomes leader.
    pub machines: HashMap<MachineId, MachineSummary>,
    /// At most [`REMOVED_MACHINES_MAX`] machines that were released or terminated, the newest last.
    pub removed_machines: VecDeque<MachineId>,
}

impl SummaryCache {
    /// Applies a summary if it is newer than the last applied one, and is either full or directly follows that
    /// one. Returns whether it was applied.
    pub fn apply(&mut self, summary: StateSummary) -> bool {
        let is_newer = (summary.term, summary.number) > (self.term, self.number);
        let follows_last = summary.term == self.term && summary.number == self.number + 1;
        if !is_newer || !(summary.full || follows_last) {
            return false;
        }
        if summary.full {
            self.task_counts.clear();
            self.machines.clear();
        }
        self.term = summary.term;
        self.number = summary.number;
        let counts = summary.contents.task_counts.into_iter();
        self.task_counts
            .extend(counts.map(|c| (c.id, (c.done, c.running))));
        for id in &summary.contents.ended_jobs {
            self.task_counts.remove(id);
        }
        self.machines.extend(summary.contents.machines);
        for id in summary.contents.removed_machines {
            self.machines.remove(&id);
            self.removed_machines.push_back(id);
        }
        while self.removed_machines.len() > REMOVED_MACHINES_MAX {
            self.removed_machines.pop_front();
        }
        true
    }
}
