//! What a leader tells the others once a second, and what a node keeps of it.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use super::{decode, encode, BINCODE};
use crate::model::{JobId, MachineId, Term};
use crate::service::Shared;

/// Path of the digest.
pub const DIGEST: &str = "/peer/digest";
/// Largest digest taken: several thousand machines with ten images each, and their jobs.
pub const DIGEST_LIMIT: usize = 2 * 1024 * 1024;

/// What a leader tells the others once a second. All of it is for display or a hint, and
/// nothing that must be right hangs on it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Its term.
    pub term: Term,
    /// Its name.
    pub member: String,
    /// Counts the digests of a term.
    pub number: u64,
    /// Everything, not only what changed since the digest before.
    pub full: bool,
    /// What there is to tell.
    pub news: DigestContents,
}

/// The contents of a digest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DigestContents {
    /// Jobs under way.
    pub counts: Vec<Counts>,
    /// Jobs not under way any more.
    pub over: Vec<JobId>,
    /// Machines, for a leader to come.
    pub hints: Vec<(MachineId, Hint)>,
    /// Machines that are gone.
    pub gone: Vec<MachineId>,
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
pub struct Hint {
    /// Where the machine takes direct commands.
    pub address: String,
    /// Its session.
    pub session: u64,
    /// Images it has with their sizes in GB, most recently used last.
    pub images: Vec<(String, f32)>,
}

/// Time between two digests of everything to the same peer. Everything is large, and a peer that is
/// as slow to answer as the leader is to hear it would be told it again and again.
const FULL_DIGEST_INTERVAL: Duration = Duration::from_secs(5);

/// A peer as the leader's digests see it: whether it lacks what the next changes build on.
#[derive(Debug, Default)]
pub struct DigestRecipient {
    lacks: bool,
    /// The last digest of everything sent to it: its number, and when.
    full: Option<(u64, Instant)>,
}

impl DigestRecipient {
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

/// Machines remembered as gone: late copies of their reports come within minutes.
const GONE_KEPT: usize = 1024;

/// What a node keeps of the digests.
#[derive(Debug, Default)]
pub struct DigestView {
    term: Term,
    number: u64,
    /// Completed and running tasks.
    pub counts: HashMap<JobId, (u32, u32)>,
    /// Machines.
    pub hints: HashMap<MachineId, Hint>,
    /// Machines that are gone, newest last.
    pub gone: VecDeque<MachineId>,
}

impl DigestView {
    /// Takes a digest; whether it could be used. One that builds on another that did not
    /// arrive can't.
    pub fn take(&mut self, digest: Digest) -> bool {
        let follows = digest.term == self.term && digest.number == self.number + 1;
        if digest.term < self.term || !(digest.full || follows) {
            return false;
        }
        if digest.full {
            self.counts.clear();
            self.hints.clear();
        }
        self.term = digest.term;
        self.number = digest.number;
        let counts = digest.news.counts.into_iter();
        self.counts
            .extend(counts.map(|c| (c.id, (c.done, c.running))));
        for id in &digest.news.over {
            self.counts.remove(id);
        }
        self.hints.extend(digest.news.hints);
        for id in digest.news.gone {
            self.hints.remove(&id);
            self.gone.push_back(id);
        }
        while self.gone.len() > GONE_KEPT {
            self.gone.pop_front();
        }
        true
    }
}

/// What a node answers to a digest. Nodes of 0.2.0 answer without a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestReply {
    /// Reports of workers that this node has sent elsewhere since it started.
    pub misdirected: u64,
}

/// `POST /peer/digest`
pub async fn take_digest(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(digest) = decode::<Digest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if !shared.settings.knows(&digest.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.role.lock().hears(digest.term, &digest.member);
    *shared.peer_contact.lock() = Some(Instant::now());
    let misdirected = shared.misdirected.load(Ordering::Relaxed);
    let heard = encode(&DigestReply { misdirected }).unwrap_or_default();
    let mut answer = if shared.digest_view.lock().take(digest) {
        HttpResponse::Ok()
    } else {
        HttpResponse::Conflict()
    };
    answer.content_type(BINCODE).body(heard)
}

#[cfg(test)]
mod tests;
