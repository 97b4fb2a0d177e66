//! Cancellations of which the peers have not been notified yet.

use parking_lot::Mutex;

use crate::model::JobId;

/// Maximum number of cancellations queued for publication. The peers receive any others through their watches
/// of the key-value store.
const QUEUED_MAX: usize = 1024;

/// The queue of cancelled jobs to publish to the peers.
#[derive(Debug, Default)]
pub struct UnpublishedCancellations(Mutex<Vec<JobId>>);

impl UnpublishedCancellations {
    /// Queues a cancelled job, unless the queue is full.
    pub fn push(&self, id: &JobId) {
        let mut queue = self.0.lock();
        if queue.len() < QUEUED_MAX {
            queue.push(id.clone());
        }
    }

    /// Removes and returns all queued jobs.
    pub fn take(&self) -> Vec<JobId> {
        std::mem::take(&mut *self.0.lock())
    }
}
