//! Owner of all traffic with the state service: queues, batches, the watch.
//!
//! Groups that wait together leave in one transaction, so batches widen with the load; a
//! group whose condition failed is answered alone and its neighbours are sent again. Polls
//! that wait together are checked by one transaction that only compares.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use tokio::sync::oneshot;
use tracing::{debug, info};

use super::client::StoreClient;
use super::limiter::Limiter;
use super::{keys, Change, Condition, Group, Outcome, StoreError};
use crate::config::StateSettings;
use crate::model::{JobId, Verdict};
use crate::service::Shared;

/// Transactions under way at once: one slow answer must not hold up all others.
const MOST_IN_FLIGHT: usize = 3;
/// Groups that may wait; beyond this a submission is refused at once.
const MOST_WAITING: usize = 256;
/// Polls that may wait for a check.
const MOST_CHECKS: usize = 512;
/// Conditions a transaction may have for every put or delete allowed.
const CONDITIONS_PER_OP: usize = 4;
/// Pause between two checks, so that polls gather instead of costing a request each.
const CHECK_PAUSE: Duration = Duration::from_millis(80);
/// Pause between two openings of the watch; changes gather meanwhile.
const WATCH_PAUSE: Duration = Duration::from_millis(100);
/// How long a watch stays open. Bounds how stale a replica can get when an answer is lost.
pub const WATCH_HOLD: Duration = Duration::from_secs(4);
/// Time for a watch's answer to arrive after it was due.
pub const WATCH_GRACE: Duration = Duration::from_millis(1500);
/// Pause after a failed request to the service.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// How long a poll waits for the replica to catch up with a check.
const CATCH_UP: Duration = Duration::from_millis(1500);
/// Part of `txn_ops`' byte limit used, as sizes are measured in another form than sent.
const BATCH_BYTES: usize = 48 * 1024;

/// A group for the state service.
#[derive(Message)]
#[rtype(result = "Outcome")]
pub struct Commit(pub Group);

/// Asks for a job's verdict as it stands now, not as it stood.
#[derive(Message)]
#[rtype(result = "Result<Option<(Verdict, u32)>, StoreError>")]
pub struct Check(pub JobId);

/// Takes the leader's part of the limits, or gives it back.
#[derive(Message)]
#[rtype(result = "()")]
pub struct TakePart(pub bool);

struct Waiting {
    group: Group,
    bytes: usize,
    reply: oneshot::Sender<Outcome>,
}

struct Inner {
    client: StoreClient,
    limits: StateSettings,
    shared: Arc<Shared>,
    limiter: RefCell<Limiter>,
    queue: RefCell<VecDeque<Waiting>>,
    in_flight: RefCell<usize>,
    checks: RefCell<BTreeMap<JobId, Vec<oneshot::Sender<CheckAnswer>>>>,
    checking: RefCell<bool>,
}

type CheckAnswer = Result<Option<(Verdict, u32)>, StoreError>;

/// The actor.
pub struct StoreActor(Rc<Inner>);

impl StoreActor {
    /// An actor that talks through `client`.
    pub fn new(client: StoreClient, shared: Arc<Shared>) -> Self {
        let limits = shared.settings.params.state.clone();
        let nodes = shared.settings.params.count;
        let limiter = Limiter::new(limits.rps, limits.write_rps, nodes, Instant::now());
        Self(Rc::new(Inner {
            client,
            limits,
            shared,
            limiter: RefCell::new(limiter),
            queue: RefCell::default(),
            in_flight: RefCell::new(0),
            checks: RefCell::default(),
            checking: RefCell::new(false),
        }))
    }
}

impl Actor for StoreActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix::spawn(watch(self.0.clone()));
    }
}

impl Handler<Commit> for StoreActor {
    type Result = ResponseFuture<Outcome>;

    fn handle(&mut self, Commit(group): Commit, _: &mut Self::Context) -> Self::Result {
        let inner = self.0.clone();
        if inner.queue.borrow().len() >= MOST_WAITING {
            return Box::pin(async { Outcome::Failed(StoreError::Refused(429)) });
        }
        let (reply, answer) = oneshot::channel();
        let bytes = weigh(&group);
        let waiting = Waiting {
            group,
            bytes,
            reply,
        };
        inner.queue.borrow_mut().push_back(waiting);
        pump(&inner);
        Box::pin(async move { answer.await.unwrap_or(Outcome::Failed(StoreError::Unknown)) })
    }
}

impl Handler<Check> for StoreActor {
    type Result = ResponseFuture<CheckAnswer>;

    fn handle(&mut self, Check(id): Check, _: &mut Self::Context) -> Self::Result {
        let inner = self.0.clone();
        let (reply, answer) = oneshot::channel();
        {
            let mut checks = inner.checks.borrow_mut();
            if checks.len() >= MOST_CHECKS && !checks.contains_key(&id) {
                return Box::pin(async { Err(StoreError::Refused(429)) });
            }
            checks.entry(id).or_default().push(reply);
        }
        if !inner.checking.replace(true) {
            actix::spawn(check_loop(inner));
        }
        Box::pin(async move { answer.await.unwrap_or(Err(StoreError::Unknown)) })
    }
}

impl Handler<TakePart> for StoreActor {
    type Result = ();

    fn handle(&mut self, TakePart(leading): TakePart, _: &mut Self::Context) {
        self.0.limiter.borrow_mut().lead(leading, Instant::now());
    }
}

fn weigh(group: &Group) -> usize {
    let conditions: usize = group.when.iter().map(|c| c.key.len() + 32).sum();
    let changes: usize = group
        .apply
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

/// Starts as many transactions as may run now.
fn pump(inner: &Rc<Inner>) {
    while *inner.in_flight.borrow() < MOST_IN_FLIGHT {
        let batch = next_batch(inner);
        if batch.is_empty() {
            return;
        }
        *inner.in_flight.borrow_mut() += 1;
        let inner = inner.clone();
        actix::spawn(async move {
            send_batch(&inner, batch).await;
            *inner.in_flight.borrow_mut() -= 1;
            pump(&inner);
        });
    }
}

/// The groups that leave together: in order, with no key changed twice, within the limits.
fn next_batch(inner: &Inner) -> Vec<Waiting> {
    let mut queue = inner.queue.borrow_mut();
    let mut batch: Vec<Waiting> = Vec::new();
    let (mut ops, mut conditions, mut bytes) = (0, 0, 0);
    let mut touched: HashSet<String> = HashSet::new();
    while let Some(next) = queue.front() {
        let (more_ops, more_conditions) = (next.group.apply.len(), next.group.when.len());
        let fits = ops + more_ops <= inner.limits.txn_ops
            && conditions + more_conditions <= inner.limits.txn_ops * CONDITIONS_PER_OP
            && bytes + next.bytes <= BATCH_BYTES
            && next.group.apply.iter().all(|c| !touched.contains(c.key()));
        if !fits && !batch.is_empty() {
            break;
        }
        let Some(next) = queue.pop_front() else { break };
        ops += more_ops;
        conditions += more_conditions;
        bytes += next.bytes;
        touched.extend(next.group.apply.iter().map(|c| c.key().to_owned()));
        batch.push(next);
    }
    batch
}

async fn send_batch(inner: &Rc<Inner>, mut batch: Vec<Waiting>) {
    while !batch.is_empty() {
        let mut all = Group::default();
        for waiting in &batch {
            for condition in &waiting.group.when {
                if !all.when.contains(condition) {
                    all.when.push(condition.clone());
                }
            }
            all.apply.extend(waiting.group.apply.iter().cloned());
        }
        pace(inner, 1.0, all.apply.len() as f64).await;
        let sent = Instant::now();
        let outcome = inner.client.transact(&all).await;
        note(inner, sent, !matches!(outcome, Outcome::Failed(_)));
        match outcome {
            Outcome::Conflict { failed, revision } => {
                let (fallen, left): (Vec<_>, Vec<_>) = batch.into_iter().partition(|waiting| {
                    let mut when = waiting.group.when.iter();
                    when.any(|condition| failed.contains(&condition.key))
                });
                if fallen.is_empty() {
                    // A conflict that names no condition of ours: nothing was applied.
                    let error = StoreError::Nonsense("conflict without a cause".to_owned());
                    answer_all(left, &Outcome::Failed(error));
                    return;
                }
                answer_all(fallen, &Outcome::Conflict { failed, revision });
                batch = left;
            }
            outcome => {
                debug!(groups = batch.len(), ?outcome, "transaction");
                answer_all(batch, &outcome);
                return;
            }
        }
    }
}

fn answer_all(batch: Vec<Waiting>, outcome: &Outcome) {
    for waiting in batch {
        // Whoever asked may have gone; what was applied stays applied.
        let _ = waiting.reply.send(outcome.clone());
    }
}

/// Waits until the limits allow, then takes from them.
async fn pace(inner: &Inner, requests: f64, writes: f64) {
    loop {
        let now = Instant::now();
        let wait = {
            let mut limiter = inner.limiter.borrow_mut();
            let wait = limiter
                .requests
                .wait(requests, now)
                .max(limiter.writes.wait(writes, now));
            if wait.is_zero() {
                limiter.requests.take(requests, now);
                limiter.writes.take(writes, now);
                return;
            }
            wait
        };
        actix::clock::sleep(wait).await;
    }
}

fn note(inner: &Inner, sent: Instant, answered: bool) {
    if answered {
        inner.shared.store_answered(sent);
    } else {
        inner.shared.store_failed();
    }
}

/// Checks waiting polls, a batch at a time, until none waits.
async fn check_loop(inner: Rc<Inner>) {
    loop {
        let batch: Vec<_> = {
            let mut checks = inner.checks.borrow_mut();
            let most = inner.limits.txn_ops * CONDITIONS_PER_OP;
            let mut batch = Vec::new();
            while batch.len() < most {
                match checks.pop_first() {
                    Some(entry) => batch.push(entry),
                    None => break,
                }
            }
            batch
        };
        if batch.is_empty() {
            inner.checking.replace(false);
            return;
        }
        check_batch(&inner, batch).await;
        actix::clock::sleep(CHECK_PAUSE).await;
    }
}

type WaitingCheck = (JobId, Vec<oneshot::Sender<CheckAnswer>>);

async fn check_batch(inner: &Rc<Inner>, batch: Vec<WaitingCheck>) {
    let group = {
        let replica = inner.shared.replica.lock();
        let when = batch
            .iter()
            .map(|(id, _)| Condition::new(keys::job(id), replica.job_version(id)))
            .collect();
        Group {
            when,
            apply: Vec::new(),
        }
    };
    pace(inner, 1.0, 0.0).await;
    let sent = Instant::now();
    let outcome = inner.client.transact(&group).await;
    note(inner, sent, !matches!(outcome, Outcome::Failed(_)));
    let (failed, revision) = match outcome {
        Outcome::Committed(_) => (Vec::new(), 0),
        Outcome::Conflict { failed, revision } => (failed, revision),
        Outcome::Failed(error) => {
            for reply in batch.into_iter().flat_map(|(_, replies)| replies) {
                let _ = reply.send(Err(error.clone()));
            }
            return;
        }
    };
    let current = |id: &JobId| {
        let replica = inner.shared.replica.lock();
        replica.jobs.get(id).map(|job| job.record)
    };
    let (stale, good): (Vec<_>, Vec<_>) = batch
        .into_iter()
        .partition(|(id, _)| failed.contains(&keys::job(id)));
    for (id, replies) in good {
        let answer = Ok(current(&id));
        for reply in replies {
            let _ = reply.send(answer.clone());
        }
    }
    if stale.is_empty() {
        return;
    }
    // Once the replica has reached the check's revision, what it says is no older than the
    // check; until then it must not be repeated to anybody.
    let caught_up = reach(&inner.shared, revision).await;
    for (id, replies) in stale {
        let answer = match (caught_up, current(&id)) {
            (true, Some(record)) => Ok(Some(record)),
            // The check found the key; the replica has let it go, or has none of it yet.
            (true, None) => read_verdict(inner, &id).await,
            (false, _) => Err(StoreError::Unknown),
        };
        for reply in replies {
            let _ = reply.send(answer.clone());
        }
    }
}

/// Asks for one verdict.
async fn read_verdict(inner: &Inner, id: &JobId) -> CheckAnswer {
    pace(inner, 1.0, 0.0).await;
    let sent = Instant::now();
    let read = inner.client.get(&keys::job(id)).await;
    note(inner, sent, read.is_ok());
    let Some(row) = read? else {
        return Ok(None);
    };
    let record: Option<keys::JobRecord> = super::from_value(&row.value);
    // A record of no form we know is no sign that there is no such job.
    let record = record.ok_or_else(|| StoreError::Nonsense("a job's record".to_owned()))?;
    Ok(Some((record.verdict, record.tasks)))
}

/// Waits until the replica has reached a revision.
async fn reach(shared: &Shared, revision: u64) -> bool {
    let mut changed = shared.revision.subscribe();
    let wait = changed.wait_for(|reached| *reached >= revision);
    let reached = actix::clock::timeout(CATCH_UP, wait).await;
    matches!(reached, Ok(Ok(_)))
}

/// Keeps the replica up to date for as long as the process lives.
async fn watch(inner: Rc<Inner>) {
    let mut loaded = false;
    loop {
        pace(&inner, 1.0, 0.0).await;
        let sent = Instant::now();
        let result = if loaded {
            follow(&inner).await
        } else {
            load(&inner).await
        };
        match result {
            Ok(()) => {
                loaded = true;
                // A watch's answer proves contact at its end at the earliest.
                note(&inner, sent, true);
                actix::clock::sleep(WATCH_PAUSE).await;
            }
            Err(StoreError::TooOld) => loaded = false,
            Err(error) => {
                if error != StoreError::Unknown {
                    note(&inner, sent, false);
                }
                debug!(%error, "watch");
                actix::clock::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// All our keys, and the revision from which a watch has to go on. Every page takes its place
/// in the limits: all controllers may start at once, each with hundreds of jobs to read.
async fn read_all(inner: &Inner) -> Result<(Vec<super::Row>, u64), StoreError> {
    let mut rows: Vec<super::Row> = Vec::new();
    let mut revision = None;
    loop {
        let after = rows.last().map(|row| row.key.clone());
        if after.is_some() {
            pace(inner, 1.0, 0.0).await;
        }
        let page = inner.client.page(keys::ROOT, after.as_deref()).await?;
        // The first page's revision: the watch then brings again what changed meanwhile.
        let first = *revision.get_or_insert(page.revision);
        let last = page.rows.is_empty() || !page.more;
        rows.extend(page.rows);
        if last {
            return Ok((rows, first));
        }
    }
}

async fn load(inner: &Inner) -> Result<(), StoreError> {
    let (rows, revision) = read_all(inner).await?;
    info!(keys = rows.len(), revision, "records read");
    let news = inner.shared.replica.lock().load(rows, revision);
    inner.shared.revision.send_replace(revision);
    inner.shared.tell(&news);
    Ok(())
}

async fn follow(inner: &Inner) -> Result<(), StoreError> {
    let after = inner.shared.replica.lock().revision;
    let limit = WATCH_HOLD + WATCH_GRACE;
    let got = inner
        .client
        .follow(keys::ROOT, after, WATCH_HOLD, limit)
        .await?;
    let (news, revision) = {
        let mut replica = inner.shared.replica.lock();
        let news = replica.apply(&got.events, got.revision);
        (news, replica.revision)
    };
    inner.shared.revision.send_replace(revision);
    inner.shared.tell(&news);
    Ok(())
}
