//! The watch that keeps the replica up to date, and the linearizable reads that verdict queries wait for.
//!
//! A query is answered from the replica only after the response to a read that was sent after the query
//! arrived. This read delivers all changes up to that time, so that the replica contains everything that
//! any controller confirmed before. One read serves all waiting queries, so that the number of requests to
//! the store does not grow with the number of queries.

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

/// Pause between two reads, in which queries accumulate that one read then serves.
const READ_INTERVAL: Duration = Duration::from_millis(120);
/// Time without a response after which a read has failed; a user waits for two seconds. It is multiplied by
/// [`timeout_factor`](crate::timing::timeout_factor), since a small machine may stall for this long and the
/// response may still confirm the replica.
const READ_TIMEOUT: Duration = Duration::from_millis(1200);
/// Pause between two watches, in which changes accumulate that one response then delivers.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a failed request, before the next attempt.
const FAILURE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Keeps the replica up to date and answers queries until the process ends.
pub(super) async fn run(context: Rc<StoreContext>) {
    let mut loaded = false;
    loop {
        let result = if !loaded {
            load(&context).await
        } else if needs_read(&context) {
            read_now(&context).await
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
                // Waiting queries fail at once instead of waiting for the next attempt.
                pending_reads::fail_all(context.pending_reads.take(), &error);
                actix::clock::sleep(FAILURE_RETRY_DELAY).await;
            }
        }
    }
}

/// Whether a read is needed to answer a query or to confirm a leader's replica.
fn needs_read(context: &StoreContext) -> bool {
    !context.pending_reads.is_empty() || context.observer.needs_confirming_read(Instant::now())
}

/// Waits for the response to one watch, and sends the requested reads while the watch is open. Returns the
/// pause before the next request.
async fn wait_for_changes(context: &Rc<StoreContext>) -> Result<Duration, StoreError> {
    context.wait_for_limit(1.0, 0.0).await;
    let leads = context.observer.leads();
    let timeout = if leads {
        LEADER_WATCH_TIMEOUT
    } else {
        FOLLOWER_WATCH_TIMEOUT
    };
    let sent_at = Instant::now();
    let grace = WATCH_GRACE.mul_f64(context.timeout_factor);
    let mut open_watch = Box::pin(watch(context, timeout, timeout + grace));
    loop {
        let read_requested = Box::pin(context.replica.wait_for_read_request());
        match select(open_watch, read_requested).await {
            Either::Left((response, _)) => {
                match &response {
                    // The observer is not notified of a watch without a response: in an outage of the store
                    // watches stay open, and only the failure of a read shows the outage.
                    Err(StoreError::OutcomeUnknown) => {}
                    response => {
                        let failure = response.as_ref().err();
                        context.notify_request(StoreOperation::Read, sent_at, failure);
                    }
                }
                apply(context, &response?, sent_at);
                return Ok(WATCH_INTERVAL);
            }
            Either::Right(((), still_open)) => {
                open_watch = still_open;
                while needs_read(context) {
                    let pause = read_now(context).await?;
                    actix::clock::sleep(pause).await;
                }
            }
        }
    }
}

/// Brings the replica up to date with a linearizable read, then answers the queries that arrived before the
/// read was sent. Returns the pause before the next request.
async fn read_now(context: &Rc<StoreContext>) -> Result<Duration, StoreError> {
    context.wait_for_limit(1.0, 0.0).await;
    let queries = context.pending_reads.take();
    let sent_at = Instant::now();
    let response_timeout = READ_TIMEOUT.mul_f64(context.timeout_factor);
    let response = watch(context, Duration::ZERO, response_timeout).await;
    context.notify_request(StoreOperation::Read, sent_at, response.as_ref().err());
    match response {
        Ok(response) => {
            apply(context, &response, sent_at);
            answer(context, queries);
            Ok(READ_INTERVAL)
        }
        Err(error) => {
            pending_reads::fail_all(queries, &error);
            Err(error)
        }
    }
}

/// Answers queries from the replica, and looks up in the store those verdicts that may have been evicted.
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

/// Reads all keys, and returns them with the revision from which a watch has to continue. Each page counts
/// against the rate limits, because all controllers may start at once, each with hundreds of jobs to read.
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
        // A watch from the first page's revision repeats all changes that were made during this read.
        let first_revision = *revision.get_or_insert(page.revision);
        let is_last = page.key_values.is_empty() || !page.more;
        keys_read.extend(page.key_values);
        if is_last {
            return Ok((keys_read, first_revision));
        }
    }
}

async fn load(context: &StoreContext) -> Result<Duration, StoreError> {
    let sent_at = Instant::now();
    let read = read_all(context).await;
    context.notify_request(StoreOperation::Read, sent_at, read.as_ref().err());
    let (keys_read, revision) = read?;
    info!(keys = keys_read.len(), revision, "replica loaded");
    let changes = context.replica.lock().load(keys_read, revision);
    context.replica.publish_revision(revision);
    context.observer.replica_changed(&changes);
    // Later pages are newer than the first, so that every page is at least as new as the first request.
    context.observer.replica_confirmed(sent_at);
    Ok(Duration::ZERO)
}

async fn watch(
    context: &StoreContext,
    timeout: Duration,
    response_timeout: Duration,
) -> Result<WatchResponse, StoreError> {
    let after = context.replica.lock().revision;
    let client = &context.client;
    client
        .watch(keys::ROOT, after, timeout, response_timeout)
        .await
}

/// Applies the response to a watch or a read that was sent at `sent_at`, and notifies the observer.
fn apply(context: &StoreContext, response: &WatchResponse, sent_at: Instant) {
    let (changes, revision) = {
        let mut replica = context.replica.lock();
        let changes = replica.apply(&response.events, response.revision);
        (changes, replica.revision)
    };
    context.observer.events_received(response.events.len());
    context.replica.publish_revision(revision);
    context.observer.replica_changed(&changes);
    context.observer.replica_confirmed(sent_at);
}
