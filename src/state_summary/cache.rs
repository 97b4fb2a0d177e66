//! The follower's cache of the leader's state summary.

use std::collections::{HashMap, VecDeque};

use super::{MachineSummary, StateSummary};
use crate::model::{JobId, MachineId, Term};

/// Released machines that are remembered: late copies of their heartbeats arrive within minutes, in
/// which a fleet of 4,000 may have been replaced more than once. Each takes some 60 bytes.
pub const REMOVED_MACHINES_MAX: usize = 12_288;

/// A follower's cache of the leader's state summary.
#[derive(Debug, Default)]
pub struct SummaryCache {
    term: Term,
    number: u64,
    /// Completed and running tasks of unfinished jobs.
    pub task_counts: HashMap<JobId, (u32, u32)>,
    /// Machines.
    pub machines: HashMap<MachineId, MachineSummary>,
    /// Machines that were released or terminated, newest last.
    pub removed_machines: VecDeque<MachineId>,
}

impl SummaryCache {
    /// Applies a summary; whether that was possible. Changes apply only on top of the summary before.
    pub fn apply(&mut self, summary: StateSummary) -> bool {
        let follows = summary.term == self.term && summary.number == self.number + 1;
        if summary.term < self.term || !(summary.full || follows) {
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
