//! Lookups of verdicts in the store itself, for jobs whose verdicts the replica may have evicted.

use std::rc::Rc;
use std::time::Instant;

use knotlanding_links::table::StoreOperation;
use tracing::debug;

use super::actor::VerdictResult;
use super::commit_queue::CONDITIONS_PER_CHANGE;
use super::context::StoreContext;
use super::keys::{self, JobRecord};
use super::pending_reads::VerdictQueries;
use super::replica::JobVerdict;
use super::{Condition, StoreError, Transaction, TransactionOutcome};
use crate::model::JobId;

/// Answers queries for verdicts that the replica may have evicted. Most such queries are for jobs that
/// never existed; a transaction without changes detects this for many jobs with one request.
pub(super) async fn look_up(context: Rc<StoreContext>, mut queries: VerdictQueries) {
    while let Some((first, _)) = queries.first_key_value() {
        let first = first.clone();
        let batch = take_batch(&context, &mut queries);
        debug!(%first, jobs = batch.len(), "looking up evicted verdicts");
        let existing = existing_keys(&context, batch.keys()).await;
        for (id, replies) in batch {
            let result = match &existing {
                Ok(existing) if existing.contains(&keys::job(&id)) => {
                    read_verdict(&context, &id).await
                }
                Ok(_) => Ok(None),
                Err(error) => Err(error.clone()),
            };
            replies.send(&result);
        }
    }
}

/// Removes and returns as many queries as one transaction may have conditions.
fn take_batch(context: &StoreContext, queries: &mut VerdictQueries) -> VerdictQueries {
    let conditions_max = context.limits.txn_ops * CONDITIONS_PER_CHANGE;
    let rest = match queries.keys().nth(conditions_max).cloned() {
        Some(next) => queries.split_off(&next),
        None => VerdictQueries::new(),
    };
    std::mem::replace(queries, rest)
}

/// The keys of those jobs that have a record. Each condition requires that the key of a job does not exist,
/// so that the conditions on these keys fail.
async fn existing_keys(
    context: &StoreContext,
    jobs: impl Iterator<Item = &JobId>,
) -> Result<Vec<String>, StoreError> {
    let conditions = jobs.map(|id| Condition::new(keys::job(id), 0));
    let transaction = Transaction::new(conditions.collect(), Vec::new());
    context.wait_for_limit(1.0, 0.0).await;
    let sent_at = Instant::now();
    let outcome = context.client.transact(&transaction).await;
    context.notify_request(StoreOperation::Read, sent_at, outcome.failure());
    match outcome {
        TransactionOutcome::Committed(_) => Ok(Vec::new()),
        TransactionOutcome::Conflict { failed, .. } => Ok(failed),
        TransactionOutcome::Failed(error) => Err(error),
    }
}

async fn read_verdict(context: &StoreContext, id: &JobId) -> VerdictResult {
    context.wait_for_limit(1.0, 0.0).await;
    let sent_at = Instant::now();
    let read = context.client.get(&keys::job(id)).await;
    context.notify_request(StoreOperation::Read, sent_at, read.as_ref().err());
    let Some(key_value) = read? else {
        return Ok(None);
    };
    let record: Option<JobRecord> = super::from_value(&key_value.value);
    // A record that cannot be decoded does not show that the job does not exist.
    let record = record
        .ok_or_else(|| StoreError::MalformedResponse("job record cannot be decoded".to_owned()))?;
    Ok(Some(JobVerdict::from_record(&record)))
}
