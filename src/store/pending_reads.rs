//! Verdict queries that wait for a linearizable read.

use std::cell::RefCell;
use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::actor::VerdictResult;
use super::StoreError;
use crate::model::JobId;

/// The senders of the result to all callers that wait for the verdict on one job.
#[derive(Default)]
pub(super) struct VerdictReplies(Vec<oneshot::Sender<VerdictResult>>);

impl VerdictReplies {
    /// Sends the result to all waiting callers.
    pub(super) fn send(self, result: &VerdictResult) {
        for reply in self.0 {
            // The caller may have dropped the receiver.
            let _ = reply.send(result.clone());
        }
    }
}

/// The waiting callers by job.
pub(super) type VerdictQueries = BTreeMap<JobId, VerdictReplies>;

/// Sends the same error to all waiting callers.
pub(super) fn fail_all(queries: VerdictQueries, error: &StoreError) {
    for replies in queries.into_values() {
        replies.send(&Err(error.clone()));
    }
}

/// The queries that the next read will answer.
#[derive(Default)]
pub(super) struct PendingReads {
    queries: RefCell<VerdictQueries>,
}

impl PendingReads {
    /// Adds a query and returns the receiver of its result. The limit on user connections bounds the
    /// number of queries.
    pub(super) fn add(&self, id: JobId) -> oneshot::Receiver<VerdictResult> {
        let (reply, result) = oneshot::channel();
        let mut queries = self.queries.borrow_mut();
        queries.entry(id).or_default().0.push(reply);
        result
    }

    pub(super) fn is_empty(&self) -> bool {
        self.queries.borrow().is_empty()
    }

    /// Removes and returns all queries.
    pub(super) fn take(&self) -> VerdictQueries {
        std::mem::take(&mut self.queries.borrow_mut())
    }
}
