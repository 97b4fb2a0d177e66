//! Owner of all traffic with the state service: queues, batches, and the watch's start.
//!
//! Groups that wait together leave in one transaction, so batches widen with the load; a
//! group whose condition failed is answered alone and its neighbours are sent again.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use knotlanding_links::table::StoreOperation;
use tokio::sync::{oneshot, Notify};
use tracing::debug;

use super::client::StoreClient;
use super::limiter::Limiter;
use super::observer::StoreObserver;
use super::reads::{self, PendingReads};
use super::shared_replica::SharedReplica;
use super::{Change, StoreError, Transaction, TransactionOutcome, WritePriority};
use crate::config::{Settings, StateSettings};
use crate::model::{JobId, Verdict};
use crate::timing::slowness;

/// Transactions under way at once: one slow answer must not hold up all others.
const TRANSACTIONS_IN_FLIGHT_MAX: usize = 3;
/// Groups that may wait, as a bound on memory.
const COMMITS_QUEUED_MAX: usize = 1024;
/// How long a group that somebody waits for may have to wait for its turn by the limits. What
/// would take longer is refused at once, and its user told when to come back.
const QUEUE_TIME_MAX: Duration = Duration::from_secs(2);
/// Times a batch that the service has no room for is sent again, each after a pause.
const REFUSALS_MAX: u32 = 3;
const REFUSAL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Conditions a transaction may have for every put or delete allowed.
pub(super) const CONDITIONS_PER_OP: usize = 4;
/// Part of `txn_ops`' byte limit used, as sizes are measured in another form than sent.
const BATCH_BYTES: usize = 48 * 1024;

/// A group for the state service, with what it may go before.
#[derive(Message)]
#[rtype(result = "TransactionOutcome")]
pub struct Commit(pub Transaction, pub WritePriority);

/// Asks for a job's verdict as it stands now, not as it stood.
#[derive(Message)]
#[rtype(result = "VerdictAnswer")]
pub struct ReadVerdict(pub JobId);

/// A job's verdict and number of tasks; nothing if there is no such job.
pub type VerdictAnswer = Result<Option<(Verdict, u32)>, StoreError>;

/// Takes the leader's part of the limits, or gives it back.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetLeading(pub bool);

struct Waiting {
    group: Transaction,
    bytes: usize,
    reply: oneshot::Sender<TransactionOutcome>,
}

/// Groups that wait, by urgency.
#[derive(Default)]
struct Queue {
    groups: BTreeMap<WritePriority, VecDeque<Waiting>>,
}

impl Queue {
    fn len(&self) -> usize {
        self.groups.values().map(VecDeque::len).sum()
    }

    /// Changes waiting that go before, or along with, a group of this urgency.
    fn changes_before(&self, urgency: WritePriority) -> usize {
        let before = self.groups.range(..=urgency).flat_map(|(_, groups)| groups);
        before.map(|waiting| waiting.group.changes.len()).sum()
    }

    fn push(&mut self, urgency: WritePriority, waiting: Waiting) {
        self.groups.entry(urgency).or_default().push_back(waiting);
    }

    fn first(&self) -> Option<&Waiting> {
        self.groups.values().find_map(VecDeque::front)
    }

    /// The groups that leave together: in order, with no key changed twice, within the limits of
    /// a transaction, and with no more changes than `allowed` beyond the first.
    fn batch(&mut self, limits: &StateSettings, allowed: f64) -> Vec<Waiting> {
        let mut batch: Vec<Waiting> = Vec::new();
        let (mut ops, mut conditions, mut bytes) = (0, 0, 0);
        let mut touched: HashSet<String> = HashSet::new();
        for groups in self.groups.values_mut() {
            while let Some(next) = groups.front() {
                let (more_ops, more_conditions) =
                    (next.group.changes.len(), next.group.conditions.len());
                let fits = ops + more_ops <= limits.txn_ops
                    && (ops + more_ops) as f64 <= allowed
                    && conditions + more_conditions <= limits.txn_ops * CONDITIONS_PER_OP
                    && bytes + next.bytes <= BATCH_BYTES
                    && next
                        .group
                        .changes
                        .iter()
                        .all(|c| !touched.contains(c.key()));
                if !fits && !batch.is_empty() {
                    return batch;
                }
                let Some(next) = groups.pop_front() else {
                    break;
                };
                ops += more_ops;
                conditions += more_conditions;
                bytes += next.bytes;
                touched.extend(next.group.changes.iter().map(|c| c.key().to_owned()));
                batch.push(next);
            }
        }
        batch
    }
}

/// What the parts that talk with the state service share, all on one thread.
pub(super) struct Inner {
    pub(super) client: StoreClient,
    pub(super) limits: StateSettings,
    pub(super) replica: Arc<SharedReplica>,
    pub(super) observer: Arc<dyn StoreObserver>,
    pub(super) pending_reads: PendingReads,
    /// See [`crate::timing::slowness`].
    pub(super) slowness: f64,
    limiter: RefCell<Limiter>,
    queue: RefCell<Queue>,
    in_flight: Cell<usize>,
    /// Wakes who sends: another group waits, or another transaction may be under way.
    wake_sender: Notify,
}

/// The actor.
pub struct StoreActor(Rc<Inner>);

impl StoreActor {
    /// An actor that talks through `client`, keeps `replica` up to date and tells `observer` of it.
    pub fn new(
        settings: &Settings,
        client: StoreClient,
        replica: Arc<SharedReplica>,
        observer: Arc<dyn StoreObserver>,
    ) -> Self {
        let limits = settings.params.state.clone();
        let nodes = settings.params.count;
        let limiter = Limiter::new(limits.rps, limits.write_rps, nodes, Instant::now());
        Self(Rc::new(Inner {
            client,
            limits,
            slowness: slowness(settings),
            replica,
            observer,
            pending_reads: PendingReads::default(),
            limiter: RefCell::new(limiter),
            queue: RefCell::default(),
            in_flight: Cell::new(0),
            wake_sender: Notify::new(),
        }))
    }
}

impl Actor for StoreActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix::spawn(reads::watch(self.0.clone()));
        actix::spawn(send_all(self.0.clone()));
    }
}

impl Handler<Commit> for StoreActor {
    type Result = ResponseFuture<TransactionOutcome>;

    fn handle(&mut self, Commit(group, urgency): Commit, _: &mut Self::Context) -> Self::Result {
        let inner = self.0.clone();
        if inner.refuses(&group, urgency) {
            return Box::pin(async { TransactionOutcome::Failed(StoreError::Refused(429)) });
        }
        let (reply, answer) = oneshot::channel();
        let bytes = weigh(&group);
        let waiting = Waiting {
            group,
            bytes,
            reply,
        };
        inner.queue.borrow_mut().push(urgency, waiting);
        inner.wake_sender.notify_one();
        Box::pin(async move {
            answer
                .await
                .unwrap_or(TransactionOutcome::Failed(StoreError::Unknown))
        })
    }
}

impl Handler<ReadVerdict> for StoreActor {
    type Result = ResponseFuture<VerdictAnswer>;

    fn handle(&mut self, ReadVerdict(id): ReadVerdict, _: &mut Self::Context) -> Self::Result {
        let answer = self.0.pending_reads.ask(id);
        self.0.replica.request_read();
        Box::pin(async move { answer.await.unwrap_or(Err(StoreError::Unknown)) })
    }
}

impl Handler<SetLeading> for StoreActor {
    type Result = ();

    fn handle(&mut self, SetLeading(leading): SetLeading, _: &mut Self::Context) {
        self.0
            .limiter
            .borrow_mut()
            .set_leading(leading, Instant::now());
    }
}

fn weigh(group: &Transaction) -> usize {
    let conditions: usize = group.conditions.iter().map(|c| c.key.len() + 32).sum();
    let changes: usize = group
        .changes
        .iter()
        .map(|change| {
            let value = match change {
                // CBOR is shorter than the JSON by which the service measures.
                Change::Put { value, .. } => crate::wire::encode(value).len() * 3 / 2,
                Change::Delete { .. } => 0,
            };
            change.key().len() + value + 48
        })
        .sum();
    conditions + changes
}

impl Inner {
    /// Whether a group is better refused at once: by the limits its turn would come too late for
    /// whoever waits for it. The election and what nobody waits for only keep to the bound.
    fn refuses(&self, group: &Transaction, urgency: WritePriority) -> bool {
        let queue = self.queue.borrow();
        if urgency == WritePriority::Election {
            return false;
        }
        if queue.len() >= COMMITS_QUEUED_MAX {
            return true;
        }
        let leads = self.observer.leads();
        if urgency == WritePriority::Progress || leads {
            return false;
        }
        let before = queue.changes_before(urgency) + group.changes.len();
        let wait = self
            .limiter
            .borrow_mut()
            .writes
            .wait_beyond(before as f64, Instant::now());
        wait > QUEUE_TIME_MAX
    }

    /// Waits until the limits allow, then takes from them.
    pub(super) async fn wait_for_limit(&self, requests: f64, writes: f64) {
        while let Some(wait) = self.wait_for(requests, writes) {
            actix::clock::sleep(wait).await;
        }
        self.limiter
            .borrow_mut()
            .take(requests, writes, Instant::now());
    }

    /// How long the limits want us to wait. A call of its own, so that no borrow of them lasts
    /// while somebody sleeps.
    fn wait_for(&self, requests: f64, writes: f64) -> Option<Duration> {
        self.limiter
            .borrow_mut()
            .wait(requests, writes, Instant::now())
    }

    /// Notes whether a request sent then was answered.
    pub(super) fn note(
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

/// Sends what waits, for as long as the process lives. A batch is made when the limits let it
/// go and not before, so that it takes in all that came meanwhile, the most urgent first.
async fn send_all(inner: Rc<Inner>) {
    loop {
        let free = inner.in_flight.get() < TRANSACTIONS_IN_FLIGHT_MAX;
        let first = inner.queue.borrow().first().map(|w| w.group.changes.len());
        let Some(first) = first.filter(|_| free) else {
            inner.wake_sender.notified().await;
            continue;
        };
        if let Some(wait) = inner.wait_for(1.0, first as f64) {
            // Something smaller may come and go first.
            let _ = actix::clock::timeout(wait, inner.wake_sender.notified()).await;
            continue;
        }
        let now = Instant::now();
        let allowed = inner.limiter.borrow_mut().writes.level(now);
        let batch = inner.queue.borrow_mut().batch(&inner.limits, allowed);
        let ops: usize = batch.iter().map(|w| w.group.changes.len()).sum();
        inner.limiter.borrow_mut().take(1.0, ops as f64, now);
        inner.in_flight.set(inner.in_flight.get() + 1);
        let inner = inner.clone();
        actix::spawn(async move {
            send_batch(&inner, batch).await;
            inner.in_flight.set(inner.in_flight.get() - 1);
            inner.wake_sender.notify_one();
        });
    }
}

/// Sends a batch for which the limits were asked; what is left after a conflict asks again.
async fn send_batch(inner: &Rc<Inner>, mut batch: Vec<Waiting>) {
    let mut again = false;
    let mut refused = 0;
    while !batch.is_empty() {
        let mut all = Transaction::default();
        for waiting in &batch {
            for condition in &waiting.group.conditions {
                if !all.conditions.contains(condition) {
                    all.conditions.push(condition.clone());
                }
            }
            all.changes.extend(waiting.group.changes.iter().cloned());
        }
        if std::mem::replace(&mut again, true) {
            inner.wait_for_limit(1.0, all.changes.len() as f64).await;
        }
        let sent = Instant::now();
        let outcome = inner.client.transact(&all).await;
        inner.note(StoreOperation::Write, sent, outcome.failure());
        match outcome {
            TransactionOutcome::Conflict { failed, revision } => {
                let (fallen, left): (Vec<_>, Vec<_>) = batch.into_iter().partition(|waiting| {
                    let mut when = waiting.group.conditions.iter();
                    when.any(|condition| failed.contains(&condition.key))
                });
                if fallen.is_empty() {
                    // A conflict that names no condition of ours: nothing was applied.
                    let error = StoreError::Nonsense("conflict without a cause".to_owned());
                    answer_all(left, &TransactionOutcome::Failed(error));
                    return;
                }
                answer_all(fallen, &TransactionOutcome::Conflict { failed, revision });
                batch = left;
            }
            // Nothing was executed. Nodes that had saved up changes let them go together.
            TransactionOutcome::Failed(StoreError::Refused(429)) if refused < REFUSALS_MAX => {
                refused += 1;
                actix::clock::sleep(REFUSAL_RETRY_DELAY).await;
            }
            outcome => {
                debug!(groups = batch.len(), ?outcome, "transaction");
                answer_all(batch, &outcome);
                return;
            }
        }
    }
}

fn answer_all(batch: Vec<Waiting>, outcome: &TransactionOutcome) {
    for waiting in batch {
        // Whoever asked may have gone; what was applied stays applied.
        let _ = waiting.reply.send(outcome.clone());
    }
}

#[cfg(test)]
mod tests;
