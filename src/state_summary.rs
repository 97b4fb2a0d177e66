//! What a leader tells the others once a second, and what a node keeps of it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::{JobId, MachineId, Term};

/// Largest digest taken. Senders leave out what does not fit, see [`SummaryContents::shorten`]; the
/// limit is the same in all versions since 0.3.0.
pub const SUMMARY_BYTES_MAX: usize = 2 * 1024 * 1024;
/// Bytes left for the head of a digest.
const DIGEST_HEAD_BYTES: usize = 1024;
/// Most bytes that `bincode` takes for a number or the length of a text.
const NUMBER_BYTES: usize = 9;
/// Longest text whose length `bincode` puts into one byte.
const SHORT_TEXT: usize = 250;
/// Part of a digest's limit that jobs may take, the rest is the machines'.
const DIGEST_JOBS_PART: f64 = 0.4;

/// What a leader tells the others once a second. All of it is for display or a hint, and
/// nothing that must be right hangs on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateSummary {
    /// Its term.
    pub term: Term,
    /// Its name.
    pub member: String,
    /// Counts the digests of a term.
    pub number: u64,
    /// Everything, not only what changed since the digest before.
    pub full: bool,
    /// What there is to tell.
    pub contents: SummaryContents,
}

/// The contents of a digest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SummaryContents {
    /// Jobs under way.
    pub counts: Vec<Counts>,
    /// Jobs not under way any more.
    pub over: Vec<JobId>,
    /// Machines, for a leader to come.
    pub hints: Vec<(MachineId, MachineHint)>,
    /// Machines that are gone.
    pub gone: Vec<MachineId>,
}

impl SummaryContents {
    /// Leaves out what would make a digest larger than peers take: counts of jobs first, which are
    /// only shown, then images of machines, those used longest ago first. Without it a peer would
    /// refuse the digest of a large fleet whole, again and again.
    pub fn shorten(&mut self, limit: usize) {
        let limit = limit.saturating_sub(DIGEST_HEAD_BYTES);
        let jobs_limit = (limit as f64 * DIGEST_JOBS_PART) as usize;
        let over = truncate_to(&mut self.over, jobs_limit / 2, |id| text_bytes(id.as_str()));
        let counts = truncate_to(&mut self.counts, jobs_limit - over, |count| {
            text_bytes(count.id.as_str()) + 2 * NUMBER_BYTES
        });
        let machines_limit = limit - over - counts;
        let gone_limit = machines_limit / 4;
        let gone = truncate_to(&mut self.gone, gone_limit, |id| text_bytes(&id.0));
        let hints_limit = machines_limit - gone;
        let bare = truncate_to(&mut self.hints, hints_limit, |(id, hint)| {
            text_bytes(&id.0) + hint.bytes_without_images()
        });
        let each = (hints_limit - bare) / self.hints.len().max(1);
        for (_, hint) in &mut self.hints {
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
pub struct Counts {
    /// The job.
    pub id: JobId,
    /// Completed.
    pub done: u32,
    /// Running.
    pub running: u32,
}

/// What a new leader can't learn from reports, or can use before the first one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineHint {
    /// Where the machine takes direct commands.
    pub address: String,
    /// Its session.
    pub epoch: u64,
    /// Images it has with their sizes in GB, most recently used last.
    pub images: Vec<(String, f32)>,
}

impl MachineHint {
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

/// Time between two digests of everything to the same peer. Everything is large, and a peer that is
/// as slow to answer as the leader is to hear it would be told it again and again.
const FULL_DIGEST_INTERVAL: Duration = Duration::from_secs(5);

/// A peer as the leader's digests see it: whether it lacks what the next changes build on.
#[derive(Debug, Default)]
pub struct SummaryRecipient {
    lacks: bool,
    /// The last digest of everything sent to it: its number, and when.
    full: Option<(u64, Instant)>,
}

impl SummaryRecipient {
    /// Whether the next digest to it should hold everything.
    pub fn wants_full(&self, now: Instant) -> bool {
        let rested = |(_, at)| now.saturating_duration_since(at) >= FULL_DIGEST_INTERVAL;
        self.lacks && self.full.is_none_or(rested)
    }

    /// A digest of everything was sent to it. Should it not arrive, the answer to the next one of
    /// changes says so.
    pub fn full_sent(&mut self, number: u64, now: Instant) {
        self.lacks = false;
        self.full = Some((number, now));
    }

    /// It answered a digest. An answer to one from before the last of everything says nothing of
    /// what the peer has now: taken as it stands, it cost another digest of everything.
    pub fn answered(&mut self, number: u64, lacks: bool) {
        let outdated = self.full.is_some_and(|(full, _)| number < full);
        if !outdated {
            self.lacks = lacks;
        }
    }
}

/// Machines remembered as gone: late copies of their reports come within minutes, in which a fleet of
/// 4,000 may have been replaced more than once. Each takes some 60 bytes.
pub const GONE_MACHINES_KEPT: usize = 12_288;

/// What a node keeps of the digests.
#[derive(Debug, Default)]
pub struct SummaryCache {
    term: Term,
    number: u64,
    /// Completed and running tasks.
    pub counts: HashMap<JobId, (u32, u32)>,
    /// Machines.
    pub hints: HashMap<MachineId, MachineHint>,
    /// Machines that are gone, newest last.
    pub gone: VecDeque<MachineId>,
}

impl SummaryCache {
    /// Takes a digest; whether it could be used. One that builds on another that did not
    /// arrive can't.
    pub fn take(&mut self, summary: StateSummary) -> bool {
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

/// What a node answers to a digest. Nodes of 0.2.0 answer without a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryReply {
    /// Reports of workers that this node has sent elsewhere since it started.
    pub misdirected: u64,
}

#[cfg(test)]
mod tests;
