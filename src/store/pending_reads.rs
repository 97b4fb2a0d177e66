//! Queries for verdicts that wait for a linearizable read.

use std::cell::RefCell;
use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::actor::VerdictResult;
use super::StoreError;
use crate::model::JobId;

/// Everybody who waits for the verdict on one job.
#[derive(Default)]
pub(super) struct VerdictReplies(Vec<oneshot::Sender<VerdictResult>>);

impl VerdictReplies {
    /// Sends the result to all.
    pub(super) fn send(self, result: &VerdictResult) {
        for reply in self.0 {
            // The receiver may be dropped by now.
            let _ = reply.send(result.clone());
        }
    }
}

/// Queries by job.
pub(super) type VerdictQueries = BTreeMap<JobId, VerdictReplies>;

/// Sends the same error to all who wait.
pub(super) fn fail_all(queries: VerdictQueries, error: &StoreError) {
    for replies in queries.into_values() {
        replies.send(&Err(error.clone()));
    }
}

/// The queries that wait for the next read.
#[derive(Default)]
pub(super) struct PendingReads {
    queries: RefCell<VerdictQueries>,
}

impl PendingReads {
    /// Adds a query. The number of queries is bounded by the users' connections.
    pub(super) fn add(&self, id: JobId) -> oneshot::Receiver<VerdictResult> {
        let (reply, result) = oneshot::channel();
        let mut queries = self.queries.borrow_mut();
        queries.entry(id).or_default().0.push(reply);
        result
    }

    /// Whether no query waits.
    pub(super) fn is_empty(&self) -> bool {
        self.queries.borrow().is_empty()
    }

    /// Removes all queries.
    pub(super) fn take(&self) -> VerdictQueries {
        std::mem::take(&mut self.queries.borrow_mut())
    }
}
