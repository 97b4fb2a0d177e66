//! The history of a run: what workers, the key-value store and users observed, in one order.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An observed event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A worker accepted a start command.
    Started {
        /// The task.
        task: String,
        /// The attempt.
        attempt: u64,
        /// The machine.
        machine: String,
        /// The fencing token of the command.
        token: u64,
    },
    /// A task ended on a machine, for whatever reason.
    Ended {
        /// The task.
        task: String,
        /// The machine.
        machine: String,
    },
    /// The store committed a leader's record.
    LeadershipGained {
        /// The term.
        term: u64,
        /// The controller.
        member: String,
    },
    /// The leader's record was removed, with its lease or by deletion.
    LeadershipLost {
        /// The term.
        term: u64,
    },
    /// From now on the store refuses all transactions, or accepts them again.
    WritesRefused(bool),
    /// A user received the confirmation that a job is accepted.
    Accepted {
        /// The job.
        job: String,
    },
    /// A user received the confirmation that a job is cancelled.
    Cancelled {
        /// The job.
        job: String,
    },
    /// A status query for a job was answered.
    Polled {
        /// The job.
        job: String,
        /// `pending`, `running`, `done` or `cancelled`; `404` if the job is unknown.
        status: String,
    },
}

/// An event with its time.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Time of the event.
    pub at: Instant,
    /// The event.
    pub event: Event,
}

/// A history shared by all stand-ins that write to it.
#[derive(Debug, Clone, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let mut entries = self.0.lock().unwrap();
        let at = Instant::now();
        entries.push(Entry { at, event });
    }

    /// All events so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.0.lock().unwrap().clone()
    }
}
