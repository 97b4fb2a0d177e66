//! The queue of transactions that wait for the rate limits, and the batches made from it.

use std::collections::{BTreeMap, HashSet, VecDeque};

use tokio::sync::oneshot;

use super::{Change, Transaction, TransactionOutcome, WritePriority};
use crate::config::StoreSettings;

/// Largest number of conditions of a transaction, per change that the store's limit allows.
pub(super) const CONDITIONS_PER_CHANGE: usize = 4;
/// Largest estimated size of a batch. It is below the store's limit on a transaction, because the store
/// measures sizes in an encoding other than the one that is sent.
const BATCH_BYTES_MAX: usize = 48 * 1024;
/// Estimated bytes of a condition besides its key.
const CONDITION_OVERHEAD_BYTES: usize = 32;
/// Estimated bytes of a change besides its key and value.
const CHANGE_OVERHEAD_BYTES: usize = 48;

/// A transaction in the queue.
pub(super) struct QueuedCommit {
    pub(super) transaction: Transaction,
    estimated_bytes: usize,
    reply: oneshot::Sender<TransactionOutcome>,
}

impl QueuedCommit {
    /// Creates an entry of the queue, and the receiver of the transaction's outcome.
    pub(super) fn new(transaction: Transaction) -> (Self, oneshot::Receiver<TransactionOutcome>) {
        let (reply, outcome) = oneshot::channel();
        let commit = Self {
            estimated_bytes: estimated_bytes(&transaction),
            transaction,
            reply,
        };
        (commit, outcome)
    }

    /// Sends the outcome to the caller that waits for it.
    pub(super) fn complete(self, outcome: TransactionOutcome) {
        // The caller may have dropped the receiver; the transaction is committed all the same.
        let _ = self.reply.send(outcome);
    }
}

/// The queued transactions, by priority.
#[derive(Default)]
pub(super) struct CommitQueue {
    commits: BTreeMap<WritePriority, VecDeque<QueuedCommit>>,
}

impl CommitQueue {
    /// Number of queued transactions.
    pub(super) fn len(&self) -> usize {
        self.commits.values().map(VecDeque::len).sum()
    }

    /// Number of changes in the queued transactions of this priority or a higher one.
    pub(super) fn changes_up_to(&self, priority: WritePriority) -> usize {
        let commits = self.commits.range(..=priority);
        commits
            .flat_map(|(_, commits)| commits)
            .map(|commit| commit.transaction.changes.len())
            .sum()
    }

    /// Appends a transaction to those of the same priority.
    pub(super) fn push(&mut self, priority: WritePriority, commit: QueuedCommit) {
        self.commits.entry(priority).or_default().push_back(commit);
    }

    /// The oldest transaction of the highest priority that has any.
    pub(super) fn first(&self) -> Option<&QueuedCommit> {
        self.commits.values().find_map(VecDeque::front)
    }

    /// Removes the transactions to send as one batch: from the front of the queue, within the limits on a
    /// transaction, with at most one transaction that changes a given key, and with at most `changes_max`
    /// changes. The first transaction is removed regardless of all limits.
    pub(super) fn next_batch(
        &mut self,
        limits: &StoreSettings,
        changes_max: f64,
    ) -> Vec<QueuedCommit> {
        let mut batch = Batch::new(limits, changes_max);
        for commits in self.commits.values_mut() {
            while let Some(next) = commits.front() {
                if !batch.is_empty() && !batch.accepts(next) {
                    return batch.commits;
                }
                let Some(next) = commits.pop_front() else {
                    break;
                };
                batch.push(next);
            }
        }
        batch.commits
    }
}

/// A batch under construction, with the totals that its limits apply to.
struct Batch<'a> {
    limits: &'a StoreSettings,
    changes_max: f64,
    commits: Vec<QueuedCommit>,
    changes: usize,
    conditions: usize,
    bytes: usize,
    changed_keys: HashSet<String>,
}

impl<'a> Batch<'a> {
    fn new(limits: &'a StoreSettings, changes_max: f64) -> Self {
        Self {
            limits,
            changes_max,
            commits: Vec::new(),
            changes: 0,
            conditions: 0,
            bytes: 0,
            changed_keys: HashSet::new(),
        }
    }

    fn is_empty(&self) -> bool {
        self.commits.is_empty()
    }

    fn accepts(&self, commit: &QueuedCommit) -> bool {
        let changes = self.changes + commit.transaction.changes.len();
        let conditions = self.conditions + commit.transaction.conditions.len();
        changes <= self.limits.txn_ops
            && changes as f64 <= self.changes_max
            && conditions <= self.limits.txn_ops * CONDITIONS_PER_CHANGE
            && self.bytes + commit.estimated_bytes <= BATCH_BYTES_MAX
            && self.is_disjoint_from(&commit.transaction)
    }

    fn is_disjoint_from(&self, transaction: &Transaction) -> bool {
        let mut changes = transaction.changes.iter();
        changes.all(|change| !self.changed_keys.contains(change.key()))
    }

    fn push(&mut self, commit: QueuedCommit) {
        let transaction = &commit.transaction;
        self.changes += transaction.changes.len();
        self.conditions += transaction.conditions.len();
        self.bytes += commit.estimated_bytes;
        let keys = transaction.changes.iter().map(Change::key);
        self.changed_keys.extend(keys.map(str::to_owned));
        self.commits.push(commit);
    }
}

fn estimated_bytes(transaction: &Transaction) -> usize {
    let conditions = transaction.conditions.iter();
    let condition_bytes: usize = conditions
        .map(|condition| condition.key.len() + CONDITION_OVERHEAD_BYTES)
        .sum();
    let change_bytes: usize = transaction.changes.iter().map(estimated_change_bytes).sum();
    condition_bytes + change_bytes
}

fn estimated_change_bytes(change: &Change) -> usize {
    let value_bytes = match change {
        // The store measures values as JSON, which is longer than the encoding that is sent.
        Change::Put { value, .. } => crate::wire::encode(value).len() * 3 / 2,
        Change::Delete { .. } => 0,
    };
    change.key().len() + value_bytes + CHANGE_OVERHEAD_BYTES
}

#[cfg(test)]
mod tests;
