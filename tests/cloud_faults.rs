//! One controller process on loopback whose requests to the cloud are lost while its leadership is interrupted.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_controller.rs"]
mod test_controller;

use std::future::Future;
use std::time::{Duration, Instant};

use knotlanding_testbed::proxy::{LinkMode, Proxy};
use test_controller::{job, ControllerEnvironment, ControllerProcess, TEST_TIMEOUT};

const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which a process that does not lead runs at least one scaling cycle.
const SCALING_CYCLES: Duration = Duration::from_millis(2500);

/// Puts a proxy between the controller and the cloud.
fn proxy_to_cloud(environment: &ControllerEnvironment) -> Proxy {
    let text = std::fs::read_to_string(&environment.settings_file).unwrap();
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with("cloud = ")).unwrap();
    let address = line.split('"').nth(1).unwrap();
    let proxy = Proxy::start(address);
    let text = text.replace(address, &proxy.address);
    std::fs::write(&environment.settings_file, text).unwrap();
    proxy
}

async fn wait_until<F: Future<Output = bool>>(expected: &str, is_reached: impl Fn() -> F) {
    let started_at = Instant::now();
    while !is_reached().await {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "not reached: {expected}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The term in which the controller leads, and the reasons why its machines get no tasks; `None` if it does not lead.
async fn leadership(controller: &ControllerProcess) -> Option<(u64, Vec<String>)> {
    let (_, status) = controller.admin("GET", "status", "").await;
    let term = status["term"].as_u64()?;
    let mut reasons = Vec::new();
    for name in status["machines"].as_object()?.keys() {
        let path = format!("machines/{name}");
        let (code, machine) = controller.admin("GET", &path, "").await;
        if code != 200 {
            return None;
        }
        reasons.push(machine["passed_over"].as_str().unwrap_or("").to_owned());
    }
    Some((term, reasons))
}

/// Guards against machines that are neither released nor used for the rest of a term: their releases got no response, and
/// the state service was unavailable for long enough to interrupt the leadership.
#[actix_web::test]
async fn machines_whose_release_was_interrupted_are_released_after_the_outages() {
    let environment = ControllerEnvironment::new("interrupted-release");
    let proxy = proxy_to_cloud(&environment);
    let controller = environment.start();
    controller
        .submit_until_accepted(&job("wk-000201", "array", 1, 4.0))
        .await;
    controller.wait_for_status("wk-000201", "done").await;
    proxy.set_mode(LinkMode::REFUSED);
    let release_idle_machines = r#"{"version":0,"settings":{"idle_factor":0.0}}"#;
    let response = controller.admin("PUT", "settings", release_idle_machines);
    assert_eq!(response.await.0, 200);
    wait_until("all machines are being released", || async {
        let leadership = leadership(&controller).await;
        leadership.is_some_and(|(_, reasons)| {
            !reasons.is_empty()
                && reasons
                    .iter()
                    .all(|reason| reason == "it is being returned")
        })
    })
    .await;
    let term_before = leadership(&controller).await.unwrap().0;
    environment.store.set_outage(true);
    wait_until("the leadership is interrupted", || async {
        leadership(&controller).await.is_none()
    })
    .await;
    tokio::time::sleep(SCALING_CYCLES).await;
    environment.store.set_outage(false);
    proxy.heal();
    wait_until("the machines are released", || async {
        environment.cloud.machine_count() == 0
    })
    .await;
    wait_until("the same term goes on", || async {
        let leadership = leadership(&controller).await;
        leadership.is_some_and(|(term, _)| term == term_before)
    })
    .await;
    controller
        .submit_until_accepted(&job("wk-000202", "array", 1, 4.0))
        .await;
    controller.wait_for_status("wk-000202", "done").await;
}
