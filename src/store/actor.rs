//! The actor through which the process commits transactions and queries verdicts in the key-value store.
//! The watch and the sender of transactions, which it spawns, do the work.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use actix::prelude::*;

use super::client::StoreClient;
use super::commit_sender;
use super::context::StoreContext;
use super::observer::StoreObserver;
use super::replica::JobVerdict;
use super::shared_replica::SharedReplica;
use super::watch;
use super::{StoreError, Transaction, TransactionOutcome, WritePriority};
use crate::config::Settings;
use crate::model::JobId;

/// Queues a transaction with a priority, and resolves to its outcome. A transaction that is not accepted
/// into the queue fails with [`StoreError::RATE_LIMITED`].
#[derive(Message)]
#[rtype(result = "TransactionOutcome")]
pub struct Commit(pub Transaction, pub WritePriority);

/// Reads the verdict on a job with a linearizable read.
#[derive(Message)]
#[rtype(result = "VerdictResult")]
pub struct ReadVerdict(pub JobId);

/// The verdict on a job; `None` if there is no such job.
pub type VerdictResult = Result<Option<JobVerdict>, StoreError>;

/// Switches to the leader's share of the rate limits, or with `false` to a follower's.
#[derive(Message)]
#[rtype(result = "()")]
pub struct SetLeading(pub bool);

/// The actor; see the module. All its tasks run on the actor's thread.
pub struct StoreActor(Rc<StoreContext>);

impl StoreActor {
    /// Creates an actor that sends requests with `client`, keeps `replica` up to date and notifies
    /// `observer`.
    pub fn new(
        settings: &Settings,
        client: StoreClient,
        replica: Arc<SharedReplica>,
        observer: Arc<dyn StoreObserver>,
    ) -> Self {
        let context = StoreContext::new(settings, client, replica, observer);
        Self(Rc::new(context))
    }
}

impl Actor for StoreActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        actix::spawn(watch::run(self.0.clone()));
        actix::spawn(commit_sender::run(self.0.clone()));
    }
}

impl Handler<Commit> for StoreActor {
    type Result = ResponseFuture<TransactionOutcome>;

    fn handle(
        &mut self,
        Commit(transaction, priority): Commit,
        _: &mut Self::Context,
    ) -> Self::Result {
        let outcome = self.0.enqueue(transaction, priority);
        Box::pin(async move {
            let Some(outcome) = outcome else {
                return TransactionOutcome::Failed(StoreError::RATE_LIMITED);
            };
            outcome
                .await
                .unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown))
        })
    }
}

impl Handler<ReadVerdict> for StoreActor {
    type Result = ResponseFuture<VerdictResult>;

    fn handle(&mut self, ReadVerdict(id): ReadVerdict, _: &mut Self::Context) -> Self::Result {
        let result = self.0.pending_reads.add(id);
        self.0.replica.request_read();
        Box::pin(async move { result.await.unwrap_or(Err(StoreError::OutcomeUnknown)) })
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
