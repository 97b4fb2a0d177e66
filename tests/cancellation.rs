//! Cancellations whose handler is delayed between its read of the verdict and its write.

// A failed `unwrap` or `expect` fails the test.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/in_process.rs"]
mod in_process;
#[path = "common/test_leader.rs"]
mod test_leader;

use std::time::Instant;

use actix_web::http::StatusCode;
use actix_web::test::{call_service, init_service, read_body, TestRequest};
use actix_web::{web, App};
use in_process::{begin, InProcessController, TEST_TIMEOUT};
use knotlanding::api;
use knotlanding::model::{JobId, Verdict};
use knotlanding::store::keys::{self, JobRecord};
use knotlanding::store::{from_value, to_value};
use knotlanding_testbed::message::{decode, text};
use test_leader::{accepted_job_records, array_job};

/// The status and, if it is 200, the job status that the user gets.
struct CancellationResponse {
    code: StatusCode,
    status: String,
}

/// Cancels an accepted job whose record becomes `done` after the handler's read was answered and before the
/// handler continues.
async fn cancel_while_job_completes(
    controller: &InProcessController,
    id: &JobId,
) -> CancellationResponse {
    for (key, value) in accepted_job_records(&array_job(&id.to_string(), 1), false) {
        controller.store.put(&key, value);
    }
    controller
        .wait_for_replica(|replica| replica.jobs.contains_key(id))
        .await;
    let app = init_service(
        App::new()
            .app_data(web::Data::from(controller.shared.clone()))
            .app_data(web::Data::new(controller.store_actor.clone()))
            .configure(api::public_routes),
    )
    .await;
    let request = TestRequest::post().uri(&format!("/api/jobs/{id}/abort"));
    let mut handling = Box::pin(call_service(&app, request.to_request()));
    begin(&mut handling).await;
    let read = controller.read_verdict(id).await.unwrap().unwrap();
    assert_eq!(read.verdict, Verdict::Accepted);
    let done = JobRecord::without_description(Verdict::Done, 1);
    controller.store.put(&keys::job(id), to_value(&done));
    controller
        .wait_for_replica(|replica| replica.jobs[id].record.is_final())
        .await;
    let response = handling.await;
    let code = response.status();
    let body = decode(&read_body(response).await);
    let status = text(&body, "status");
    CancellationResponse { code, status }
}

/// Guards against `went_back`: the handler read `accepted`, was delayed while the job completed, and then made
/// its write conditional on the version of the record `done`, which the write replaced.
#[actix_web::test]
async fn cancellation_delayed_after_its_read_leaves_the_verdict_done() {
    let controller = InProcessController::start().await;
    let started_at = Instant::now();
    for number in 1.. {
        let id = JobId::parse(&format!("wk-{number:06}")).unwrap();
        let response = cancel_while_job_completes(&controller, &id).await;
        let record = controller.store.get(&keys::job(&id)).unwrap();
        let record: JobRecord = from_value(&record).unwrap();
        assert_eq!(record.verdict, Verdict::Done);
        if response.code == StatusCode::OK {
            assert_eq!(response.status, "done");
            return;
        }
        // On a slow machine the handler itself took too long; the case is repeated with another job.
        assert_eq!(response.code, StatusCode::SERVICE_UNAVAILABLE);
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "every response is late"
        );
    }
}
