//! The history of a run: what agents, the key-value store and users observed, in order of time.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An observed event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// An agent accepted a start command.
    Started {
        /// Task ID: the job's ID, a slash and the index of the task.
        task: String,
        /// Attempt number in the command.
        attempt: u64,
        /// Name of the agent's machine.
        machine: String,
        /// The fencing token of the command.
        token: u64,
    },
    /// A task ended on a machine, for whatever reason.
    Ended {
        /// Task ID as in [`Event::Started`].
        task: String,
        /// Name of the agent's machine.
        machine: String,
    },
    /// The store committed a leader's record.
    LeadershipGained {
        /// Term in the record.
        term: u64,
        /// Name of the controller in the record.
        member: String,
    },
    /// The leader's record was deleted, by a transaction or with its lease.
    LeadershipLost {
        /// Term in the deleted record.
        term: u64,
    },
    /// From now on the store refuses (`true`) or accepts (`false`) transactions that contain changes.
    WritesRefused(bool),
    /// A user received the confirmation that a job is accepted.
    Accepted {
        /// ID of the job.
        job: String,
    },
    /// A user received the confirmation that a job is cancelled.
    Cancelled {
        /// ID of the job.
        job: String,
    },
    /// A user received the response to a status query.
    Polled {
        /// ID of the job.
        job: String,
        /// `pending`, `running`, `done` or `cancelled`; `404` if the job is unknown.
        status: String,
    },
}

/// An event with its time.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Time at which the observer recorded the event.
    pub recorded_at: Instant,
    /// The observed event.
    pub event: Event,
}

/// A history shared by all stand-ins that write to it. Clones append to the same history.
#[derive(Debug, Clone, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    /// Appends an event with the current time, which is taken under the lock: entries are in order of time.
    pub fn record(&self, event: Event) {
        let mut entries = self.0.lock().unwrap();
        let recorded_at = Instant::now();
        entries.push(Entry { recorded_at, event });
    }

    /// Returns a copy of all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.0.lock().unwrap().clone()
    }
}
