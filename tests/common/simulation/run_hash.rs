//! A hash of a whole run: the contents of the store, the tasks on every worker and the verdicts that
//! users observed, at each step. Two versions of the controllers with the same behavior yield the same
//! hash for the same seed.

use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};

use super::*;

#[derive(Default)]
pub struct RunHash {
    hasher: DefaultHasher,
    /// Number of store events that the hash covers.
    events: usize,
}

impl RunHash {
    /// Hash of all steps so far.
    pub fn value(&self) -> u64 {
        self.hasher.finish()
    }
}

impl Simulation {
    /// Adds the state after a step.
    pub(super) fn hash_step(&mut self) {
        let mut run = std::mem::take(&mut self.run_hash);
        let hasher = &mut run.hasher;
        self.now_s.to_bits().hash(hasher);
        self.messages_posted.hash(hasher);
        self.store.revision.hash(hasher);
        for (version, event) in &self.store.events[run.events..] {
            version.hash(hasher);
            event.put_key.hash(hasher);
            event.deleted_key.hash(hasher);
            event.value.as_ref().map(wire::encode).hash(hasher);
        }
        run.events = self.store.events.len();
        for (name, worker) in &self.workers {
            name.hash(hasher);
            (
                worker.epoch,
                worker.sequence,
                worker.token,
                worker.controller,
            )
                .hash(hasher);
            for ((task, attempt), state) in &worker.tasks {
                (task, attempt).hash(hasher);
                wire::encode(&state.phase).hash(hasher);
                wire::encode(&state.cause).hash(hasher);
                state.until.to_bits().hash(hasher);
            }
        }
        for (id, job) in &self.jobs {
            id.hash(hasher);
            job.seen_done_at.map(f64::to_bits).hash(hasher);
            job.seen_cancelled_at.map(f64::to_bits).hash(hasher);
        }
        self.run_hash = run;
    }

    /// Hash of the run so far.
    pub fn run_hash(&self) -> u64 {
        self.run_hash.value()
    }
}
