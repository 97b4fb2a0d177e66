//! Sends the queued transactions in batches.
//!
//! Queued transactions are merged into one, so that batches grow with the load. When conditions of a batch
//! fail, the transactions with these conditions are completed with the conflict, and the others are sent
//! again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use knotlanding_links::table::StoreOperation;
use tracing::debug;

use super::commit_queue::QueuedCommit;
use super::context::StoreContext;
use super::{StoreError, Transaction, TransactionOutcome};

/// Largest number of batches in flight. With only one, a slow response would delay all other transactions.
const TRANSACTIONS_IN_FLIGHT_MAX: usize = 3;
/// Number of times that a batch refused by the store's rate limit is sent again.
const REFUSALS_MAX: u32 = 3;
/// Time between a refusal by the store's rate limit and the next attempt.
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Sends the queued transactions until the process ends. A batch is formed only when the rate limits allow
/// it to be sent, so that it includes transactions queued until then, the highest priority first.
pub(super) async fn run(context: Rc<StoreContext>) {
    loop {
        let Some(first_changes) = next_commit_changes(&context) else {
            context.wake_sender.notified().await;
            continue;
        };
        if let Some(wait) = context.time_until_allowed(1.0, first_changes as f64) {
            // A smaller transaction of a higher priority may be queued during this wait.
            let _ = actix::clock::timeout(wait, context.wake_sender.notified()).await;
            continue;
        }
        let batch = take_batch(&context);
        let in_flight = &context.transactions_in_flight;
        in_flight.set(in_flight.get() + 1);
        let context = context.clone();
        actix::spawn(async move {
            send_batch(&context, batch).await;
            let in_flight = &context.transactions_in_flight;
            in_flight.set(in_flight.get() - 1);
            context.wake_sender.notify_one();
        });
    }
}

/// Number of changes of the next transaction; `None` if none is queued or no other batch may be in flight.
fn next_commit_changes(context: &StoreContext) -> Option<usize> {
    if context.transactions_in_flight.get() >= TRANSACTIONS_IN_FLIGHT_MAX {
        return None;
    }
    let commits = context.commits.borrow();
    commits
        .first()
        .map(|commit| commit.transaction.changes.len())
}

fn take_batch(context: &StoreContext) -> Vec<QueuedCommit> {
    let now = Instant::now();
    let mut limiter = context.limiter.borrow_mut();
    let changes_max = limiter.changes.level(now);
    let mut commits = context.commits.borrow_mut();
    let batch = commits.next_batch(&context.limits, changes_max);
    let changes: usize = batch
        .iter()
        .map(|commit| commit.transaction.changes.len())
        .sum();
    limiter.take(1.0, changes as f64, now);
    batch
}

/// Sends a batch that has been counted against the rate limits already. A batch that is sent again waits
/// for the rate limits and is counted again.
async fn send_batch(context: &StoreContext, mut batch: Vec<QueuedCommit>) {
    let mut first_attempt = true;
    let mut refusals = 0;
    while !batch.is_empty() {
        let merged = merge(&batch);
        if !std::mem::replace(&mut first_attempt, false) {
            context
                .wait_for_limit(1.0, merged.changes.len() as f64)
                .await;
        }
        let sent_at = Instant::now();
        let outcome = context.client.transact(&merged).await;
        context.notify_request(StoreOperation::Write, sent_at, outcome.failure());
        match outcome {
            TransactionOutcome::Conflict { failed, revision } => {
                batch = complete_conflicts(batch, failed, revision);
            }
            // The store executed nothing: several controllers used their accumulated tokens at the same
            // time.
            TransactionOutcome::Failed(StoreError::RATE_LIMITED) if refusals < REFUSALS_MAX => {
                refusals += 1;
                actix::clock::sleep(REFUSAL_RETRY_DELAY).await;
            }
            outcome => {
                debug!(transactions = batch.len(), ?outcome, "batch completed");
                complete_all(batch, &outcome);
                return;
            }
        }
    }
}

/// Merges the conditions, without duplicates, and the changes of a batch into one transaction.
fn merge(batch: &[QueuedCommit]) -> Transaction {
    let mut merged = Transaction::default();
    for commit in batch {
        for condition in &commit.transaction.conditions {
            if !merged.conditions.contains(condition) {
                merged.conditions.push(condition.clone());
            }
        }
        let changes = commit.transaction.changes.iter();
        merged.changes.extend(changes.cloned());
    }
    merged
}

/// Completes the transactions that have a failed condition, and returns the others.
fn complete_conflicts(
    batch: Vec<QueuedCommit>,
    failed: Vec<String>,
    revision: u64,
) -> Vec<QueuedCommit> {
    let (conflicting, others): (Vec<_>, Vec<_>) = batch.into_iter().partition(|commit| {
        let mut conditions = commit.transaction.conditions.iter();
        conditions.any(|condition| failed.contains(&condition.key))
    });
    if conflicting.is_empty() {
        // The response names no condition of the batch. The store changed nothing.
        let error = StoreError::MalformedResponse(
            "conflict names no condition of the transaction".to_owned(),
        );
        complete_all(others, &TransactionOutcome::Failed(error));
        return Vec::new();
    }
    complete_all(
        conflicting,
        &TransactionOutcome::Conflict { failed, revision },
    );
    others
}

fn complete_all(batch: Vec<QueuedCommit>, outcome: &TransactionOutcome) {
    for commit in batch {
        commit.complete(outcome.clone());
    }
}
