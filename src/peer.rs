//! What the nodes tell each other, as `bincode` over HTTP on `peer_bind`. Operators reach
//! [`crate::api::admin`] on the same address.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::Ordering;
use std::time::Instant;

use actix_web::{web, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::model::{JobId, MachineId, Term};
use crate::service::Shared;
use crate::store::actor::{WATCH_GRACE, WATCH_HOLD};

/// Path of the digest.
pub const DIGEST: &str = "/peer/digest";
/// Path of the question whether a node has the state service.
pub const PULSE: &str = "/peer/pulse";
/// Path of what users called off.
pub const CANCELLED: &str = "/peer/cancelled";
/// Content type between the nodes.
pub const BINCODE: &str = "application/x-bincode";
/// Largest digest taken: several thousand machines with ten images each, and their jobs.
pub const DIGEST_LIMIT: usize = 2 * 1024 * 1024;

/// Largest list of cancelled jobs taken: more than wait at once, see [`crate::service::Shared`].
const CANCELLED_LIMIT: usize = 64 * 1024;

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
    pub news: News,
}

/// The contents of a digest.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct News {
    /// Jobs under way.
    pub counts: Vec<Counts>,
    /// Jobs not under way any more.
    pub over: Vec<JobId>,
    /// Machines, for a leader to come.
    pub hints: Vec<(MachineId, Hint)>,
    /// Machines that are gone.
    pub gone: Vec<MachineId>,
}

/// Jobs whose cancellation is on record, told to the other nodes at once: one that the state
/// service refuses alone, and that answers reports for a while yet, learns it no other way. It
/// makes the end of their tasks sooner; that they end in time rests on
/// [`crate::leader::Freshness`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cancelled {
    /// Who tells.
    pub member: String,
    /// The jobs.
    pub jobs: Vec<JobId>,
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

/// Encodes for a peer.
pub fn encode<T: Serialize>(value: &T) -> Option<Vec<u8>> {
    bincode::serde::encode_to_vec(value, bincode::config::standard()).ok()
}

/// Decodes from a peer; never more than the body has.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let config = bincode::config::standard().with_limit::<DIGEST_LIMIT>();
    let (value, read) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    (read == bytes.len()).then_some(value)
}

/// Tells a peer that lost the state service whether this node has it.
pub async fn pulse(shared: web::Data<Shared>) -> HttpResponse {
    // After standing still, no failure is known yet and no contact either.
    let contact = *shared.contact.lock();
    let recent = contact
        .answered
        .is_some_and(|at| at.elapsed() < WATCH_HOLD * 2 + WATCH_GRACE);
    if contact.failing_since.is_none() && recent {
        HttpResponse::NoContent().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

/// What a node answers to a digest. Nodes of 0.2.0 answer without a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Reports of workers that this node has sent elsewhere since it started.
    pub misdirected: u64,
}

/// Takes a leader's digest.
pub async fn digest(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(digest) = decode::<Digest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let known = shared.settings.known.iter();
    if !known.clone().any(|peer| peer.member == digest.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.role.lock().hears(digest.term, &digest.member);
    *shared.peer_contact.lock() = Some(Instant::now());
    let misdirected = shared.misdirected.load(Ordering::Relaxed);
    let heard = encode(&Heard { misdirected }).unwrap_or_default();
    let mut answer = if shared.digest_view.lock().take(digest) {
        HttpResponse::Ok()
    } else {
        HttpResponse::Conflict()
    };
    answer.content_type(BINCODE).body(heard)
}

/// Takes what users called off at another node.
pub async fn cancelled(shared: web::Data<Shared>, body: web::Bytes) -> HttpResponse {
    let Some(told) = decode::<Cancelled>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let mut known = shared.settings.known.iter();
    if !known.any(|peer| peer.member == told.member) {
        return HttpResponse::Forbidden().finish();
    }
    shared.call_off(&told.jobs);
    HttpResponse::NoContent().finish()
}

/// The routes between nodes.
pub fn routes(config: &mut web::ServiceConfig) {
    config.service(
        web::resource(DIGEST)
            .app_data(web::PayloadConfig::new(DIGEST_LIMIT))
            .route(web::post().to(digest)),
    );
    config.service(
        web::resource(CANCELLED)
            .app_data(web::PayloadConfig::new(CANCELLED_LIMIT))
            .route(web::post().to(cancelled)),
    );
    config.route(PULSE, web::get().to(pulse));
}

#[cfg(test)]
mod tests;
