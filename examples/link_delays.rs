//! Measures how soon controller processes detect failed links and use restored ones, with proxies on all
//! links: `cargo run --release --example link_delays -- target/release/knotlanding [FEATURES] [MACHINES]`.
//!
//! FEATURES is a features file, or `-` for none. MACHINES is the maximum number of machines, 50 by default.

// An unexpected state ends the measurement with a panic.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::path::PathBuf;
use std::time::{Duration, Instant};

use knotlanding_testbed::deployment::{Deployment, DeploymentPlan, DeploymentTimes};
use knotlanding_testbed::history::Event;
use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::LinkId;

/// Number of times that each delay is measured.
const REPEATS: usize = 3;
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time after which a condition counts as never met.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Pause between two measurements, so that all links have been stable for a while.
const RECOVERY_PAUSE: Duration = Duration::from_secs(40);

async fn admin_json(deployment: &Deployment, controller: usize, path: &str) -> serde_json::Value {
    let text = deployment
        .admin_response(controller, path)
        .await
        .unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

async fn find_leader(deployment: &Deployment) -> usize {
    loop {
        for controller in 0..deployment.controller_count() {
            if admin_json(deployment, controller, "status").await["leading"] == true {
                return controller;
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns the time until a controller's response at the admin path meets the condition.
async fn time_until(
    deployment: &Deployment,
    controller: usize,
    path: &str,
    is_met: impl Fn(&serde_json::Value) -> bool,
) -> String {
    let started_at = Instant::now();
    while started_at.elapsed() < TIMEOUT {
        if is_met(&admin_json(deployment, controller, path).await) {
            return format!("{:.2} s", started_at.elapsed().as_secs_f64());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    "never".to_owned()
}

/// Returns the time from `since` to the last start of a task.
fn time_to_last_start(deployment: &Deployment, since: Instant) -> String {
    let entries = deployment.history.entries();
    let starts = entries
        .iter()
        .filter(|entry| matches!(entry.event, Event::Started { .. }));
    let longest = starts
        .filter(|entry| entry.recorded_at > since)
        .map(|entry| entry.recorded_at - since)
        .max();
    longest.map_or("none".to_owned(), |elapsed| {
        format!("{:.2} s", elapsed.as_secs_f64())
    })
}

async fn measure(deployment: &Deployment) {
    for repeat in 0..REPEATS {
        let id = format!("wk-{:06}", 100 + repeat);
        while !deployment.submit(0, &id, "array", 4_000).await {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        tokio::time::sleep(Duration::from_secs(8)).await;
        let leader = find_leader(deployment).await;
        let is_closed = |links: &serde_json::Value| !links["placement_gate"]["refuses"].is_null();
        let refused_at = Instant::now();
        deployment.store.set_writes_refused(true);
        let detected = time_until(deployment, leader, "links", is_closed).await;
        tokio::time::sleep(Duration::from_secs(12)).await;
        let last_start = time_to_last_start(deployment, refused_at);
        deployment.store.set_writes_refused(false);
        let accepted_at = Instant::now();
        let reopened = time_until(deployment, leader, "links", |links| !is_closed(links)).await;
        let entry_count = deployment.history.entries().len();
        while deployment.history.entries().len() == entry_count && accepted_at.elapsed() < TIMEOUT {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        println!(
            "writes refused: placement gate closed after {detected}, last start after {last_start}; \
                  writes accepted again: gate open after {reopened}"
        );

        let is_known = |status: &serde_json::Value| status["worker_health"]["healthy"].is_u64();
        let worker_links =
            (0..2).flat_map(|zone| (0..3).map(move |controller| LinkId::Workers(zone, controller)));
        worker_links
            .clone()
            .for_each(|link| deployment.link(link).set_mode(LinkMode::BLACKHOLE));
        let withdrawn = time_until(deployment, leader, "status", |status| !is_known(status)).await;
        deployment.heal();
        let restored = time_until(deployment, leader, "status", is_known).await;
        println!("worker links blackholed: health unknown after {withdrawn}; healed: known after {restored}");

        let follower = (leader + 1) % 3;
        let (follower_name, leader_name) = (format!("knot-{follower}"), format!("knot-{leader}"));
        let outbound = |expected: &'static str| {
            let (from, to) = (follower_name.clone(), leader_name.clone());
            move |links: &serde_json::Value| {
                links["matrix"][&from]["peers"][&to]["outbound"]["state"] == expected
            }
        };
        let link = LinkId::Peer(follower, leader);
        deployment.link(link).set_mode(LinkMode::RESPONSES_LOST);
        let down = time_until(deployment, follower, "links", outbound("down")).await;
        deployment.heal();
        let up = time_until(deployment, follower, "links", outbound("up")).await;
        println!(
            "responses from leader to follower lost: link down after {down}; healed: up after {up}"
        );
        deployment.cancel(leader, &id).await;
        tokio::time::sleep(RECOVERY_PAUSE).await;
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments
        .next()
        .expect("missing argument: path of the controller program");
    let features = arguments
        .next()
        .filter(|argument| argument != "-")
        .map(PathBuf::from);
    let machines = arguments
        .next()
        .map_or(50, |argument| argument.parse().unwrap());
    let folder = std::env::temp_dir();
    let name = format!("link-delays-{}", std::process::id());
    actix_web::rt::System::new().block_on(async {
        let deployment = Deployment::start(DeploymentPlan {
            program: &program,
            folder: &folder,
            name: &name,
            features: vec![features; 3],
            times: DeploymentTimes::default(),
            machines,
        });
        measure(&deployment).await;
    });
}
