//! The watch that keeps the replica up to date, and the linearizable reads that questions wait for.
//!
//! A question is answered from the replica once a read that was sent after the question came has
//! been answered: it brings all changes up to then, so nothing that any node has told before is
//! unknown here. One read serves all questions that wait, however many, so they cost the state
//! service nothing each. Nothing else grants such an answer.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use knotlanding_links::table::StoreOperation;
use tokio::sync::oneshot;
use tracing::{debug, info};

use super::actor::{Inner, VerdictAnswer, CONDITIONS_PER_OP};
use super::{keys, Condition, Follow, Row, StoreError, Transaction, TransactionOutcome};
use crate::model::JobId;
use crate::timing::{LEADER_WATCH_HOLD, WATCH_GRACE, WATCH_HOLD};

/// Pause between two reads, so that questions gather instead of costing a request each.
const READ_INTERVAL: Duration = Duration::from_millis(120);
/// A read without an answer by then has failed; a user waits two seconds. On a small machine that
/// stands still for as long at times, it may still prove the replica complete.
const READ_LIMIT: Duration = Duration::from_millis(1200);
/// Pause between two openings of the watch; changes gather meanwhile.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed request to the service.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(250);

type Replies = Vec<oneshot::Sender<VerdictAnswer>>;

/// Questions that wait for a read.
#[derive(Default)]
pub(super) struct PendingReads {
    waiting: RefCell<BTreeMap<JobId, Replies>>,
}

impl PendingReads {
    /// One more; its number is bounded by the users' connections.
    pub(super) fn ask(&self, id: JobId) -> oneshot::Receiver<VerdictAnswer> {
        let (reply, answer) = oneshot::channel();
        self.waiting.borrow_mut().entry(id).or_default().push(reply);
        answer
    }

    fn any(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    fn take(&self) -> BTreeMap<JobId, Replies> {
        std::mem::take(&mut self.waiting.borrow_mut())
    }
}

fn answer(replies: Replies, with: &VerdictAnswer) {
    for reply in replies {
        // Whoever asked may have gone.
        let _ = reply.send(with.clone());
    }
}

/// Keeps the replica up to date and answers questions, for as long as the process lives.
pub(super) async fn watch(inner: Rc<Inner>) {
    let mut loaded = false;
    loop {
        let result = if !loaded {
            load(&inner).await
        } else if read_wanted(&inner) {
            read_latest(&inner).await
        } else {
            wait_for_changes(&inner).await
        };
        match result {
            Ok(pause) => {
                loaded = true;
                actix::clock::sleep(pause).await;
            }
            Err(error) => {
                loaded &= error != StoreError::TooOld;
                debug!(%error, "watch");
                refuse_questions(&inner, &error);
                actix::clock::sleep(FAILURE_RETRY_DELAY).await;
            }
        }
    }
}

/// Whether somebody waits for a read: a question, or a lead that needs its proof.
fn read_wanted(inner: &Inner) -> bool {
    inner.pending_reads.any() || inner.observer.requires_read(Instant::now())
}

/// Who asks while the service can't be reached is told so at once.
fn refuse_questions(inner: &Inner, error: &StoreError) {
    for replies in inner.pending_reads.take().into_values() {
        answer(replies, &Err(error.clone()));
    }
}

/// Stays open until something changes, with reads in between for those who ask meanwhile.
async fn wait_for_changes(inner: &Rc<Inner>) -> Result<Duration, StoreError> {
    inner.wait_for_limit(1.0, 0.0).await;
    let leads = inner.observer.leads();
    let hold = if leads { LEADER_WATCH_HOLD } else { WATCH_HOLD };
    let sent = Instant::now();
    let grace = WATCH_GRACE.mul_f64(inner.slowness);
    let mut watch = Box::pin(follow(inner, hold, hold + grace));
    loop {
        let came = Box::pin(inner.replica.read_requested());
        match select(watch, came).await {
            Either::Left((got, _)) => {
                match &got {
                    // In an outage watches stay open; only a read shows it.
                    Err(StoreError::Unknown) => {}
                    got => inner.note(StoreOperation::Read, sent, got.as_ref().err()),
                }
                apply_read(inner, &got?, sent);
                return Ok(WATCH_INTERVAL);
            }
            Either::Right(((), open)) => {
                watch = open;
                while read_wanted(inner) {
                    let pause = read_latest(inner).await?;
                    actix::clock::sleep(pause).await;
                }
            }
        }
    }
}

/// Brings the replica up to date, then answers all who asked before that.
async fn read_latest(inner: &Rc<Inner>) -> Result<Duration, StoreError> {
    inner.wait_for_limit(1.0, 0.0).await;
    let waiting = inner.pending_reads.take();
    let sent = Instant::now();
    let limit = READ_LIMIT.mul_f64(inner.slowness);
    let got = follow(inner, Duration::ZERO, limit).await;
    inner.note(StoreOperation::Read, sent, got.as_ref().err());
    let got = match got {
        Ok(got) => got,
        Err(error) => {
            for replies in waiting.into_values() {
                answer(replies, &Err(error.clone()));
            }
            return Err(error);
        }
    };
    apply_read(inner, &got, sent);
    let mut unknown = BTreeMap::new();
    for (id, replies) in waiting {
        let known = inner.replica.lock().verdict(&id);
        match known {
            Some(verdict) => answer(replies, &Ok(verdict)),
            None => {
                unknown.insert(id, replies);
            }
        }
    }
    if !unknown.is_empty() {
        actix::spawn(seek(inner.clone(), unknown));
    }
    Ok(READ_INTERVAL)
}

/// Looks for verdicts of which the replica knows nothing, since it lets old ones go: most are of
/// jobs that never were, and one transaction that only compares says so of many.
async fn seek(inner: Rc<Inner>, mut unknown: BTreeMap<JobId, Replies>) {
    while let Some((first, _)) = unknown.first_key_value() {
        let first = first.clone();
        let most = inner.limits.txn_ops * CONDITIONS_PER_OP;
        let later = match unknown.keys().nth(most).cloned() {
            Some(next) => unknown.split_off(&next),
            None => BTreeMap::new(),
        };
        let batch = std::mem::replace(&mut unknown, later);
        debug!(%first, jobs = batch.len(), "verdicts to be asked for");
        let when = batch.keys().map(|id| Condition::new(keys::job(id), 0));
        let group = Transaction::new(when.collect(), Vec::new());
        inner.wait_for_limit(1.0, 0.0).await;
        let sent = Instant::now();
        let outcome = inner.client.transact(&group).await;
        inner.note(StoreOperation::Read, sent, outcome.failure());
        let there = match outcome {
            TransactionOutcome::Committed(_) => Ok(Vec::new()),
            TransactionOutcome::Conflict { failed, .. } => Ok(failed),
            TransactionOutcome::Failed(error) => Err(error),
        };
        for (id, replies) in batch {
            let said = match &there {
                Ok(there) if there.contains(&keys::job(&id)) => read_verdict(&inner, &id).await,
                Ok(_) => Ok(None),
                Err(error) => Err(error.clone()),
            };
            answer(replies, &said);
        }
    }
}

/// Asks for one verdict.
async fn read_verdict(inner: &Inner, id: &JobId) -> VerdictAnswer {
    inner.wait_for_limit(1.0, 0.0).await;
    let sent = Instant::now();
    let read = inner.client.get(&keys::job(id)).await;
    inner.note(StoreOperation::Read, sent, read.as_ref().err());
    let Some(row) = read? else {
        return Ok(None);
    };
    let record: Option<keys::JobRecord> = super::from_value(&row.value);
    // A record of no form we know is no sign that there is no such job.
    let record = record.ok_or_else(|| StoreError::Nonsense("a job's record".to_owned()))?;
    Ok(Some((record.verdict, record.tasks)))
}

/// All our keys, and the revision from which a watch has to go on. Every page takes its place
/// in the limits: all controllers may start at once, each with hundreds of jobs to read.
async fn read_all(inner: &Inner) -> Result<(Vec<Row>, u64), StoreError> {
    let mut rows: Vec<Row> = Vec::new();
    let mut revision = None;
    loop {
        let after = rows.last().map(|row| row.key.clone());
        inner.wait_for_limit(1.0, 0.0).await;
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

async fn load(inner: &Rc<Inner>) -> Result<Duration, StoreError> {
    let sent = Instant::now();
    let read = read_all(inner).await;
    inner.note(StoreOperation::Read, sent, read.as_ref().err());
    let (rows, revision) = read?;
    info!(keys = rows.len(), revision, "records read");
    let changes = inner.replica.lock().load(rows, revision);
    inner.replica.publish_revision(revision);
    inner.observer.replica_changed(&changes);
    // Pages read later are newer than the first; none is older.
    inner.observer.replica_confirmed(sent);
    Ok(Duration::ZERO)
}

async fn follow(inner: &Rc<Inner>, hold: Duration, limit: Duration) -> Result<Follow, StoreError> {
    let after = inner.replica.lock().revision;
    inner.client.follow(keys::ROOT, after, hold, limit).await
}

/// Takes what a watch or a read that was sent then brought.
fn apply_read(inner: &Inner, got: &Follow, sent: Instant) {
    let (changes, revision) = {
        let mut replica = inner.replica.lock();
        let changes = replica.apply(&got.events, got.revision);
        (changes, replica.revision)
    };
    inner.observer.events_received(got.events.len());
    inner.replica.publish_revision(revision);
    inner.observer.replica_changed(&changes);
    inner.observer.replica_confirmed(sent);
}
