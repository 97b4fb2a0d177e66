//! The state that the watch, the verdict lookup and the sender of transactions share on one thread.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::{Duration, Instant};

use knotlanding_links::table::StoreOperation;
use tokio::sync::{oneshot, Notify};

use super::client::StoreClient;
use super::commit_queue::{CommitQueue, QueuedCommit};
use super::limiter::Limiter;
use super::observer::StoreObserver;
use super::pending_reads::PendingReads;
use super::shared_replica::SharedReplica;
use super::{StoreError, Transaction, TransactionOutcome, WritePriority};
use crate::config::{Settings, StoreSettings};
use crate::timing::timeout_factor;

/// Largest number of queued commits, other than those of the election. It bounds the memory of the queue.
const COMMITS_QUEUED_MAX: usize = 1024;
/// Longest time that a commit which a user waits for may stay in the queue because of the rate limits. A
/// commit that would stay longer is refused at once, so that the user can retry later.
const QUEUE_TIME_MAX: Duration = Duration::from_secs(2);

/// The state of the store's actor.
pub(super) struct StoreContext {
    pub(super) client: StoreClient,
    pub(super) limits: StoreSettings,
    pub(super) replica: Arc<SharedReplica>,
    pub(super) observer: Arc<dyn StoreObserver>,
    pub(super) pending_reads: PendingReads,
    /// See [`crate::timing::timeout_factor`].
    pub(super) timeout_factor: f64,
    pub(super) limiter: RefCell<Limiter>,
    pub(super) commits: RefCell<CommitQueue>,
    pub(super) transactions_in_flight: Cell<usize>,
    /// Wakes the sender when another commit is queued or another batch may be in flight.
    pub(super) wake_sender: Notify,
}

impl StoreContext {
    /// Creates a context with an empty queue and a follower's share of the rate limits.
    pub(super) fn new(
        settings: &Settings,
        client: StoreClient,
        replica: Arc<SharedReplica>,
        observer: Arc<dyn StoreObserver>,
    ) -> Self {
        let limits = settings.params.store.clone();
        let controllers = settings.params.count;
        let limiter = Limiter::new(limits.rps, limits.write_rps, controllers, Instant::now());
        Self {
            client,
            limits,
            timeout_factor: timeout_factor(settings),
            replica,
            observer,
            pending_reads: PendingReads::default(),
            limiter: RefCell::new(limiter),
            commits: RefCell::default(),
            transactions_in_flight: Cell::new(0),
            wake_sender: Notify::new(),
        }
    }

    /// Queues a transaction and returns the receiver of its outcome; `None` if the transaction is refused.
    pub(super) fn enqueue(
        &self,
        transaction: Transaction,
        priority: WritePriority,
    ) -> Option<oneshot::Receiver<TransactionOutcome>> {
        if self.refuses(&transaction, priority) {
            return None;
        }
        let (commit, outcome) = QueuedCommit::new(transaction);
        self.commits.borrow_mut().push(priority, commit);
        self.wake_sender.notify_one();
        Some(outcome)
    }

    /// Whether a transaction is refused at once because it would stay in the queue for too long. Writes of
    /// the election are never refused. Writes with priority `Progress`, and all writes of a leader, are
    /// refused only when the queue is full.
    fn refuses(&self, transaction: &Transaction, priority: WritePriority) -> bool {
        let commits = self.commits.borrow();
        if priority == WritePriority::Election {
            return false;
        }
        if commits.len() >= COMMITS_QUEUED_MAX {
            return true;
        }
        let leads = self.observer.leads();
        if priority == WritePriority::Progress || leads {
            return false;
        }
        let changes = commits.changes_up_to(priority) + transaction.changes.len();
        let queueing_time = self
            .limiter
            .borrow_mut()
            .changes
            .queueing_time(changes as f64, Instant::now());
        queueing_time > QUEUE_TIME_MAX
    }

    /// Waits until the rate limits allow this many requests and changes, then counts them.
    pub(super) async fn wait_for_limit(&self, requests: f64, changes: f64) {
        while let Some(wait) = self.time_until_allowed(requests, changes) {
            actix::clock::sleep(wait).await;
        }
        self.limiter
            .borrow_mut()
            .take(requests, changes, Instant::now());
    }

    /// Time until the rate limits allow this many requests and changes; `None` if they allow them now. This
    /// is a separate function so that the limiter is not borrowed across an await.
    pub(super) fn time_until_allowed(&self, requests: f64, changes: f64) -> Option<Duration> {
        self.limiter
            .borrow_mut()
            .time_until_allowed(requests, changes, Instant::now())
    }

    /// Notifies the observer whether the store is available, by the outcome of a request sent at `sent_at`.
    pub(super) fn notify_request(
        &self,
        operation: StoreOperation,
        sent_at: Instant,
        failure: Option<&StoreError>,
    ) {
        match failure {
            Some(error) if error.shows_outage() => self.observer.request_failed(operation, sent_at),
            _ => self.observer.request_answered(operation, sent_at),
        }
    }
}
