//! What the watch and the sender of transactions share. Everything stays on one thread.

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
use crate::timing::slowness;

/// Commits that may be queued, as a bound on memory.
const COMMITS_QUEUED_MAX: usize = 1024;
/// How long a commit that somebody waits for may stay in the queue for the rate limits. A commit that
/// would wait for longer is refused at once, so that its user knows to retry later.
const QUEUE_TIME_MAX: Duration = Duration::from_secs(2);

/// The state of the store's actor.
pub(super) struct StoreContext {
    pub(super) client: StoreClient,
    pub(super) limits: StoreSettings,
    pub(super) replica: Arc<SharedReplica>,
    pub(super) observer: Arc<dyn StoreObserver>,
    pub(super) pending_reads: PendingReads,
    /// See [`crate::timing::slowness`].
    pub(super) slowness: f64,
    pub(super) limiter: RefCell<Limiter>,
    pub(super) commits: RefCell<CommitQueue>,
    pub(super) transactions_in_flight: Cell<usize>,
    /// Wakes the sender: another commit is queued, or another transaction may be sent.
    pub(super) wake_sender: Notify,
}

impl StoreContext {
    /// A context with nothing queued, and with a follower's share of the rate limits.
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
            slowness: slowness(settings),
            replica,
            observer,
            pending_reads: PendingReads::default(),
            limiter: RefCell::new(limiter),
            commits: RefCell::default(),
            transactions_in_flight: Cell::new(0),
            wake_sender: Notify::new(),
        }
    }

    /// Queues a transaction; `None` if it is refused.
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

    /// Whether a transaction is refused at once, since by the rate limits its turn would come too late
    /// for whoever waits for it. The election is never refused. Progress records, and everything of a
    /// leader, are refused only when the queue is full.
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
        let wait = self
            .limiter
            .borrow_mut()
            .writes
            .wait_beyond(changes as f64, Instant::now());
        wait > QUEUE_TIME_MAX
    }

    /// Waits until the rate limits allow so many requests and changes, then takes them.
    pub(super) async fn wait_for_limit(&self, requests: f64, changes: f64) {
        while let Some(wait) = self.limit_wait(requests, changes) {
            actix::clock::sleep(wait).await;
        }
        self.limiter
            .borrow_mut()
            .take(requests, changes, Instant::now());
    }

    /// Time until the rate limits allow so many requests and changes. A function of its own, so that
    /// no borrow of the limiter lasts across an await.
    pub(super) fn limit_wait(&self, requests: f64, changes: f64) -> Option<Duration> {
        self.limiter
            .borrow_mut()
            .wait(requests, changes, Instant::now())
    }

    /// Notifies the observer whether a request sent at `sent` was answered.
    pub(super) fn notify_request(
        &self,
        operation: StoreOperation,
        sent: Instant,
        failure: Option<&StoreError>,
    ) {
        match failure {
            Some(error) if error.contact_lost() => self.observer.request_failed(operation, sent),
            _ => self.observer.request_answered(operation, sent),
        }
    }
}
