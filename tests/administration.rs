//! The administration interface while the shared state changes: the operators' settings while the replica is
//! being updated, and the cluster state while the leadership changes.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/in_process.rs"]
mod in_process;
#[path = "common/test_leader.rs"]
mod test_leader;

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use actix_web::http::StatusCode;
use actix_web::test::{call_service, init_service, read_body, TestRequest};
use actix_web::web::Bytes;
use actix_web::{web, App};
use in_process::InProcessController;
use knotlanding::api::admin::{self, VersionedSettings};
use knotlanding::cluster::Cluster;
use knotlanding::leader::Leadership;
use knotlanding::model::Term;
use knotlanding::service::operator::OperatorSettings;
use knotlanding::service::Shared;
use knotlanding::store::keys;
use knotlanding::store::observer::StoreObserver;
use knotlanding::store::replica::{Replica, ReplicaChange};
use knotlanding::store::{from_value, to_value};
use knotlanding_links::table::StoreOperation;
use test_leader::machine_types;

/// Withholds the notifications of changes, so that the instant lasts in which the replica has a change and
/// the rest of the shared state does not have it yet.
struct WithholdChanges(Arc<Shared>);

impl StoreObserver for WithholdChanges {
    fn request_answered(&self, operation: StoreOperation, sent_at: Instant) {
        self.0.store_answered(operation, sent_at);
    }

    fn request_failed(&self, operation: StoreOperation, sent_at: Instant) {
        self.0.store_failed(operation, sent_at);
    }

    fn events_received(&self, _: usize) {}

    fn replica_changed(&self, _: &[ReplicaChange]) {}

    fn replica_confirmed(&self, sent_at: Instant) {
        self.0.replica_complete(sent_at);
    }

    fn needs_confirming_read(&self, _: Instant) -> bool {
        false
    }

    fn leads(&self) -> bool {
        false
    }
}

/// The settings that another operator has just recorded.
fn recorded_settings() -> OperatorSettings {
    OperatorSettings {
        idle_factor: 2.5,
        spare_factor: 0.5,
        drained: vec!["m-000001".to_owned()],
    }
}

/// A controller whose replica has just received [`recorded_settings`].
async fn controller_with_changed_replica() -> InProcessController {
    let controller =
        InProcessController::start_with_observer(|shared| Arc::new(WithholdChanges(shared))).await;
    controller
        .store
        .put(keys::SETTINGS, to_value(&recorded_settings()));
    controller
        .wait_for_replica(|replica| replica.settings.version > 0)
        .await;
    controller
}

/// The response of the administration interface.
async fn respond(controller: &InProcessController, request: TestRequest) -> (StatusCode, Bytes) {
    let app = App::new()
        .app_data(web::Data::from(controller.shared.clone()))
        .app_data(web::Data::new(controller.store_actor.clone()))
        .configure(admin::routes);
    let response = call_service(&init_service(app).await, request.to_request()).await;
    (response.status(), read_body(response).await)
}

/// Guards against a version with the settings of an earlier one: a change made from such a response passes the
/// check of the version and undoes another operator's change.
#[actix_web::test]
async fn settings_are_returned_with_the_version_of_their_own_record() {
    let controller = controller_with_changed_replica().await;
    let request = TestRequest::get().uri("/admin/settings");
    let (status, body) = respond(&controller, request).await;
    assert_eq!(status, StatusCode::OK);
    let response: VersionedSettings = serde_json::from_slice(&body).unwrap();
    let recorded_version = controller.shared.replica.lock().settings.version;
    assert_eq!(response.version, recorded_version);
    assert_eq!(response.settings, recorded_settings());
}

/// Guards against a drain that undoes another operator's change: it wrote the settings from before the change
/// on condition of the version after it.
#[actix_web::test]
async fn drain_keeps_a_change_that_the_replica_has_just_received() {
    let controller = controller_with_changed_replica().await;
    let request = TestRequest::post().uri("/admin/machines/m-000002/drain");
    let (status, _) = respond(&controller, request).await;
    assert_eq!(status, StatusCode::OK);
    let recorded = controller.store.get(keys::SETTINGS).unwrap();
    let recorded: OperatorSettings = from_value(&recorded).unwrap();
    let mut expected = recorded_settings();
    expected.drained.push("m-000002".to_owned());
    assert_eq!(recorded, expected);
}

/// A controller that leads in term 1 by its election state, and has the cluster state of `term`, or none.
async fn leader_with_cluster_of(term: Option<Term>) -> InProcessController {
    let controller =
        InProcessController::start_with_observer(|shared| Arc::new(WithholdChanges(shared))).await;
    let shared = &controller.shared;
    let now = Instant::now();
    {
        let mut election = shared.election.lock();
        election.hold_lease(7, now);
        election.become_leader(Leadership {
            term: Term(1),
            version: 1,
        });
        election.freshness().confirm(now);
    }
    *shared.cluster.lock() = term.map(|term| {
        Cluster::recover(
            term,
            &shared.settings,
            &Replica::default(),
            Arc::new(machine_types()),
            now,
            SystemTime::now(),
        )
    });
    controller
}

async fn get(controller: &InProcessController, path: &str) -> (StatusCode, serde_json::Value) {
    let (status, body) = respond(controller, TestRequest::get().uri(path)).await;
    (status, serde_json::from_slice(&body).unwrap())
}

/// Guards against answers about the cluster in the name of a leader that no longer has its state: the role and
/// the cluster state were read one after the other, and the leadership ended or changed in between.
#[actix_web::test]
async fn leader_without_the_cluster_state_of_its_term_answers_neither_404_nor_an_empty_status() {
    for cluster_term in [None, Some(Term(2))] {
        let controller = leader_with_cluster_of(cluster_term).await;
        for path in ["/admin/machines/m-000001", "/admin/jobs/wk-000001"] {
            assert_eq!(
                get(&controller, path).await.0,
                StatusCode::SERVICE_UNAVAILABLE,
                "{path} with the cluster state of {cluster_term:?}"
            );
        }
        let (_, status) = get(&controller, "/admin/status").await;
        assert_eq!(
            (&status["leading"], &status["term"]),
            (&false.into(), &serde_json::Value::Null)
        );
    }
    let controller = leader_with_cluster_of(Some(Term(1))).await;
    let (status, _) = get(&controller, "/admin/machines/m-000001").await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    let (_, status) = get(&controller, "/admin/status").await;
    assert_eq!(
        (&status["leading"], &status["term"]),
        (&true.into(), &1.into())
    );
}
