//! What workers, the state service and users saw, in one order.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Something that was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A worker took a start.
    Started {
        /// The task.
        task: String,
        /// The attempt.
        attempt: u64,
        /// The machine.
        machine: String,
        /// The token under which it was ordered.
        token: u64,
    },
    /// A task left a machine, however.
    Ended {
        /// The task.
        task: String,
        /// The machine.
        machine: String,
    },
    /// The state service took a leader's record.
    LeadBegan {
        /// The term.
        term: u64,
        /// The controller.
        member: String,
    },
    /// The leader's record went, with its lease or by deletion.
    LeadEnded {
        /// The term.
        term: u64,
    },
    /// From now on the state service refuses transactions of everybody, or takes them again.
    WritesRefused(bool),
    /// A user was told that a job is accepted.
    Accepted {
        /// The job.
        job: String,
    },
    /// A user was told that a job is cancelled.
    Cancelled {
        /// The job.
        job: String,
    },
    /// A question about a job was answered with this status.
    Answered {
        /// The job.
        job: String,
        /// `pending`, `running`, `done` or `cancelled`; `404` if it is not known.
        status: String,
    },
}

/// An event with its time.
#[derive(Debug, Clone)]
pub struct Entry {
    /// When.
    pub at: Instant,
    /// What.
    pub event: Event,
}

/// A history that several stand-ins write.
#[derive(Debug, Clone, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    /// Adds an event that is seen now.
    pub fn add(&self, event: Event) {
        let mut entries = self.0.lock().unwrap();
        let at = Instant::now();
        entries.push(Entry { at, event });
    }

    /// All events up to now.
    pub fn entries(&self) -> Vec<Entry> {
        self.0.lock().unwrap().clone()
    }
}
