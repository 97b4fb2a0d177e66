//! The follower's cache of the leader's state summary.

use std::collections::{HashMap, VecDeque};

use super::{MachineSummary, StateSummary};
use crate::model::{JobId, MachineId, Term};

/// Released machines that are remembered: late copies of their heartbeats arrive within minutes, in
/// which a fleet of 4,000 may have been replaced more than once. Each takes some 60 bytes.
pub const GONE_MACHINES_KEPT: usize = 12_288;

/// A follower's cache of the leader's state summary.
#[derive(Debug, Default)]
pub struct SummaryCache {
    term: Term,
    number: u64,
    /// Completed and running tasks of unfinished jobs.
    pub counts: HashMap<JobId, (u32, u32)>,
    /// Machines.
    pub hints: HashMap<MachineId, MachineSummary>,
    /// Machines that were released or terminated, newest last.
    pub gone: VecDeque<MachineId>,
}

impl SummaryCache {
    /// Applies a summary; whether that was possible. Changes apply only on top of the summary before.
    pub fn apply(&mut self, summary: StateSummary) -> bool {
        let follows = summary.term == self.term && summary.number == self.number + 1;
        if summary.term < self.term || !(summary.full || follows) {
            return false;
        }
        if summary.full {
            self.counts.clear();
            self.hints.clear();
        }
        self.term = summary.term;
        self.number = summary.number;
        let counts = summary.contents.counts.into_iter();
        self.counts
            .extend(counts.map(|c| (c.id, (c.done, c.running))));
        for id in &summary.contents.over {
            self.counts.remove(id);
        }
        self.hints.extend(summary.contents.hints);
        for id in summary.contents.gone {
            self.hints.remove(&id);
            self.gone.push_back(id);
        }
        while self.gone.len() > GONE_MACHINES_KEPT {
            self.gone.pop_front();
        }
        true
    }
}
