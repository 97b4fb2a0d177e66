//! The watch that keeps the replica up to date, and the linearizable reads that queries wait for.
//!
//! A query is answered from the replica once a read that was sent after the query arrived has been
//! answered: that read delivers all changes up to then, so that nothing confirmed by any controller
//! before is missing. One read serves all queries that wait, so that they cost the store no request
//! each. Nothing else allows a query to be answered.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{select, Either};
use knotlanding_links::table::StoreOperation;
use tracing::{debug, info};

use super::context::StoreContext;
use super::pending_reads::{self, VerdictQueries};
use super::replica::VerdictState;
use super::{keys, verdict_lookup, KeyValue, StoreError, WatchResponse};
use crate::timing::{FOLLOWER_WATCH_TIMEOUT, LEADER_WATCH_TIMEOUT, WATCH_GRACE};

/// Pause between two reads, so that queries gather instead of costing a request each.
const READ_INTERVAL: Duration = Duration::from_millis(120);
/// A read without a response by then has failed, since a user waits for two seconds. On a small machine
/// that stalls for as long at times the response may still confirm the replica.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause between two watches; changes gather meanwhile.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed request.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Keeps the replica up to date and answers queries, for as long as the process lives.
pub(super) async fn run(context: Rc<StoreContext>) {
    let mut loaded = false;
    loop {
        let result = if !loaded {
            load(&context).await
        } else if needs_read(&context) {
            read_latest(&context).await
        } else {
            wait_for_changes(&context).await
        };
        match result {
            Ok(pause) => {
                loaded = true;
                actix::clock::sleep(pause).await;
            }
            Err(error) => {
                loaded &= error != StoreError::HistoryCompacted;
                debug!(%error, "watch failed");
                // Without contact to the store those who wait are answered at once.
                pending_reads::fail_all(context.pending_reads.take(), &error);
                actix::clock::sleep(FAILURE_RETRY_DELAY).await;
            }
        }
    }
}

/// Whether a read is needed: for a query, or to confirm the replica of a leader.
fn needs_read(context: &StoreContext) -> bool {
    !context.pending_reads.is_empty() || context.observer.needs_confirming_read(Instant::now())
}

/// Watches until something changes, with reads meanwhile for the queries that arrive.
async fn wait_for_changes(context: &Rc<StoreContext>) -> Result<Duration, StoreError> {
    context.wait_for_limit(1.0, 0.0).await;
    let leads = context.observer.leads();
    let timeout = if leads {
        LEADER_WATCH_TIMEOUT
    } else {
        FOLLOWER_WATCH_TIMEOUT
    };
    let sent = Instant::now();
    let grace = WATCH_GRACE.mul_f64(context.slowness);
    let mut open_watch = Box::pin(watch(context, timeout, timeout + grace));
    loop {
        let read_requested = Box::pin(context.replica.read_requested());
        match select(open_watch, read_requested).await {
            Either::Left((response, _)) => {
                match &response {
                    // In an outage watches stay open, so that only a read shows it.
                    Err(StoreError::OutcomeUnknown) => {}
                    response => {
                        let failure = response.as_ref().err();
                        context.notify_request(StoreOperation::Read, sent, failure);
                    }
                }
                apply(context, &response?, sent);
                return Ok(WATCH_INTERVAL);
            }
            Either::Right(((), still_open)) => {
                open_watch = still_open;
                while needs_read(context) {
                    let pause = read_latest(context).await?;
                    actix::clock::sleep(pause).await;
                }
            }
        }
    }
}

/// Brings the replica up to date, then answers all queries that arrived before.
async fn read_latest(context: &Rc<StoreContext>) -> Result<Duration, StoreError> {
    context.wait_for_limit(1.0, 0.0).await;
    let queries = context.pending_reads.take();
    let sent = Instant::now();
    let limit = READ_TIMEOUT.mul_f64(context.slowness);
    let response = watch(context, Duration::ZERO, limit).await;
    context.notify_request(StoreOperation::Read, sent, response.as_ref().err());
    match response {
        Ok(response) => {
            apply(context, &response, sent);
            answer(context, queries);
            Ok(READ_INTERVAL)
        }
        Err(error) => {
            pending_reads::fail_all(queries, &error);
            Err(error)
        }
    }
}

/// Answers queries from the replica, and looks up in the store what the replica no longer keeps.
fn answer(context: &Rc<StoreContext>, queries: VerdictQueries) {
    let mut evicted = VerdictQueries::new();
    for (id, replies) in queries {
        let state = context.replica.lock().verdict(&id);
        match state {
            VerdictState::Recorded(verdict) => replies.send(&Ok(Some(verdict))),
            VerdictState::NoSuchJob => replies.send(&Ok(None)),
            VerdictState::MayBeEvicted => {
                evicted.insert(id, replies);
            }
        }
    }
    if !evicted.is_empty() {
        actix::spawn(verdict_lookup::look_up(context.clone(), evicted));
    }
}

/// Reads all keys, and returns the revision from which a watch has to continue. Every page takes its
/// place in the rate limits: all controllers may start at once, each with hundreds of jobs to read.
async fn read_all(context: &StoreContext) -> Result<(Vec<KeyValue>, u64), StoreError> {
    let mut keys_read: Vec<KeyValue> = Vec::new();
    let mut revision = None;
    loop {
        let after = keys_read.last().map(|last| last.key.clone());
        context.wait_for_limit(1.0, 0.0).await;
        let page = context
            .client
            .read_page(keys::ROOT, after.as_deref())
            .await?;
        // With the first page's revision the watch repeats all changes made during the read.
        let first_revision = *revision.get_or_insert(page.revision);
        let last = page.key_values.is_empty() || !page.more;
        keys_read.extend(page.key_values);
        if last {
            return Ok((keys_read, first_revision));
        }
    }
}

async fn load(context: &StoreContext) -> Result<Duration, StoreError> {
    let sent = Instant::now();
    let read = read_all(context).await;
    context.notify_request(StoreOperation::Read, sent, read.as_ref().err());
    let (keys_read, revision) = read?;
    info!(keys = keys_read.len(), revision, "replica loaded");
    let changes = context.replica.lock().load(keys_read, revision);
    context.replica.publish_revision(revision);
    context.observer.replica_changed(&changes);
    // Later pages are newer than the first, so that all are as new as the first request.
    context.observer.replica_confirmed(sent);
    Ok(Duration::ZERO)
}

async fn watch(
    context: &StoreContext,
    timeout: Duration,
    limit: Duration,
) -> Result<WatchResponse, StoreError> {
    let after = context.replica.lock().revision;
    let client = &context.client;
    client.watch(keys::ROOT, after, timeout, limit).await
}

/// Applies the response to a watch or a read that was sent at `sent`.
fn apply(context: &StoreContext, response: &WatchResponse, sent: Instant) {
    let (changes, revision) = {
        let mut replica = context.replica.lock();
        let changes = replica.apply(&response.events, response.revision);
        (changes, replica.revision)
    };
    context.observer.events_received(response.events.len());
    context.replica.publish_revision(revision);
    context.observer.replica_changed(&changes);
    context.observer.replica_confirmed(sent);
}
