//! Cancellations that the other nodes have not been notified of.

use parking_lot::Mutex;

use crate::model::JobId;

/// Cancellations that may wait to be published. The peers' watches bring the rest.
const QUEUED_MAX: usize = 1024;

/// Cancelled jobs to publish to the peers.
#[derive(Debug, Default)]
pub struct UnpublishedCancellations(Mutex<Vec<JobId>>);

impl UnpublishedCancellations {
    /// Queues a cancelled job, unless too many wait.
    pub fn push(&self, id: &JobId) {
        let mut waiting = self.0.lock();
        if waiting.len() < QUEUED_MAX {
            waiting.push(id.clone());
        }
    }

    /// Takes all that wait.
    pub fn take(&self) -> Vec<JobId> {
        std::mem::take(&mut *self.0.lock())
    }
}
