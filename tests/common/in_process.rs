//! The handlers of a controller and its replica in the process of the test, with a stand-in for the
//! key-value store on loopback. No other actor runs, so that nothing leads and nothing is scheduled.
//!
//! A handler is a future: a test that polls it once and then does not poll it for a while gives it the
//! delay that a paused process or a busy thread would give it.

#![allow(dead_code)]

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::{Duration, Instant};

use actix::{Actor, Addr};
use knotlanding::config::Settings;
use knotlanding::model::JobId;
use knotlanding::service::Shared;
use knotlanding::store::actor::{ReadVerdict, StoreActor, VerdictResult};
use knotlanding::store::client::StoreClient;
use knotlanding::store::observer::StoreObserver;
use knotlanding::store::replica::Replica;
use knotlanding_testbed::key_value_store::KeyValueStore;

use crate::common;

/// Limit of each wait. It is generous for slow machines, since no test here asserts a duration.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The parts of a controller that serve users and operators.
pub struct InProcessController {
    pub shared: Arc<Shared>,
    pub store_actor: Addr<StoreActor>,
    pub store: KeyValueStore,
}

impl InProcessController {
    /// Starts the store and the actor that keeps the replica up to date; returns once the replica is loaded.
    pub async fn start() -> Self {
        Self::start_with_observer(|shared| shared).await
    }

    /// Does the same with an observer of the replica that the caller derives from the shared state.
    pub async fn start_with_observer(
        observer: impl FnOnce(Arc<Shared>) -> Arc<dyn StoreObserver>,
    ) -> Self {
        let store = KeyValueStore::default();
        let address = store.start();
        let text = common::settings_text(
            "knot-0",
            "127.0.0.1:1",
            "127.0.0.1:2",
            &address,
            "127.0.0.1:4",
        );
        let shared = Shared::new(Settings::parse(&text, "a test").unwrap());
        let client = StoreClient::new(&shared.settings, awc::Client::default());
        let replica = shared.replica.clone();
        let observer = observer(shared.clone());
        let store_actor = StoreActor::new(&shared.settings, client, replica, observer).start();
        let controller = Self {
            shared,
            store_actor,
            store,
        };
        controller.wait_for_replica(|replica| replica.loaded).await;
        controller
    }

    /// Waits until the replica fulfils the condition.
    pub async fn wait_for_replica(&self, is_fulfilled: impl Fn(&Replica) -> bool) {
        let started_at = Instant::now();
        while !is_fulfilled(&self.shared.replica.lock()) {
            assert!(
                started_at.elapsed() < TEST_TIMEOUT,
                "the replica does not reach the expected state"
            );
            actix::clock::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Reads the verdict on a job as the handlers do. When it returns, all queries that were sent before have
    /// been answered as well.
    pub async fn read_verdict(&self, id: &JobId) -> VerdictResult {
        self.store_actor
            .send(ReadVerdict(id.clone()))
            .await
            .unwrap()
    }
}

/// Polls the future once, which must not complete it.
pub async fn begin<F: Future>(future: &mut Pin<Box<F>>) {
    let is_pending =
        std::future::poll_fn(|context| Poll::Ready(future.as_mut().poll(context).is_pending()));
    assert!(is_pending.await, "the future completes at once");
}
