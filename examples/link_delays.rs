//! How soon lost links are noticed and restored ones used, by real processes between proxies:
//! `cargo run --release --example link_delays -- target/release/knotlanding [FEATURES] [MACHINES]`.

// A measurement that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::path::PathBuf;
use std::time::{Duration, Instant};

use knotlanding_testbed::deployment::{Deployment, DeploymentPlan, DeploymentTimes};
use knotlanding_testbed::history::Event;
use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::LinkId;

/// Times each delay is measured.
const REPEATS: usize = 3;
const LOOK_EVERY: Duration = Duration::from_millis(25);
/// What has not shown by then does not.
const PATIENCE: Duration = Duration::from_secs(60);
/// Between two measurements, so that the links have been quiet.
const QUIET: Duration = Duration::from_secs(40);

async fn json(deployment: &Deployment, controller: usize, path: &str) -> serde_json::Value {
    let text = deployment
        .admin_response(controller, path)
        .await
        .unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

async fn leader(deployment: &Deployment) -> usize {
    loop {
        for controller in 0..deployment.controller_count() {
            if json(deployment, controller, "status").await["leading"] == true {
                return controller;
            }
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

/// Time until the condition on what a controller tells holds.
async fn until(
    deployment: &Deployment,
    controller: usize,
    path: &str,
    holds: impl Fn(&serde_json::Value) -> bool,
) -> String {
    let began = Instant::now();
    while began.elapsed() < PATIENCE {
        if holds(&json(deployment, controller, path).await) {
            return format!("{:.2} s", began.elapsed().as_secs_f64());
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    "never".to_owned()
}

/// When the last start came after this moment.
fn last_start_after(deployment: &Deployment, from: Instant) -> String {
    let entries = deployment.history.entries();
    let starts = entries
        .iter()
        .filter(|e| matches!(e.event, Event::Started { .. }));
    let after = starts.filter(|e| e.at > from).map(|e| e.at - from).max();
    after.map_or("none".to_owned(), |after| {
        format!("{:.2} s", after.as_secs_f64())
    })
}

async fn measure(deployment: &Deployment) {
    for repeat in 0..REPEATS {
        let id = format!("wk-{:06}", 100 + repeat);
        while !deployment.submit(0, &id, "array", 4_000).await {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        tokio::time::sleep(Duration::from_secs(8)).await;
        let leads = leader(deployment).await;
        let gate = |links: &serde_json::Value| !links["placement_gate"]["refuses"].is_null();
        let from = Instant::now();
        deployment.store.set_writes_refused(true);
        let refused = until(deployment, leads, "links", gate).await;
        tokio::time::sleep(Duration::from_secs(12)).await;
        let last = last_start_after(deployment, from);
        deployment.store.set_writes_refused(false);
        let healed = Instant::now();
        let open = until(deployment, leads, "links", |links| !gate(links)).await;
        let before = deployment.history.entries().len();
        while deployment.history.entries().len() == before && healed.elapsed() < PATIENCE {
            tokio::time::sleep(LOOK_EVERY).await;
        }
        println!(
            "writes refused: gate shut after {refused}, last start after {last}; \
                  writes back: open after {open}"
        );

        let healthy = |status: &serde_json::Value| status["worker_health"]["healthy"].is_u64();
        let workers = (0..2).flat_map(|zone| (0..3).map(move |n| LinkId::Workers(zone, n)));
        workers
            .clone()
            .for_each(|link| deployment.link(link).set_mode(LinkMode::BLACKHOLE));
        let withdrawn = until(deployment, leads, "status", |status| !healthy(status)).await;
        deployment.heal();
        let back = until(deployment, leads, "status", healthy).await;
        println!("workers cut: none called healthy after {withdrawn}; healed: some after {back}");

        let follower = (leads + 1) % 3;
        let (me, other) = (format!("knot-{follower}"), format!("knot-{leads}"));
        let outbound = |wanted: &'static str| {
            let (me, other) = (me.clone(), other.clone());
            move |links: &serde_json::Value| {
                links["matrix"][&me]["peers"][&other]["outbound"]["state"] == wanted
            }
        };
        let link = LinkId::Peer(follower, leads);
        deployment.link(link).set_mode(LinkMode::RESPONSES_LOST);
        let down = until(deployment, follower, "links", outbound("down")).await;
        deployment.heal();
        let up = until(deployment, follower, "links", outbound("up")).await;
        println!("answers between controllers lost: down after {down}; healed: up after {up}");
        deployment.cancel(leads, &id).await;
        tokio::time::sleep(QUIET).await;
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments.next().expect("the program");
    let features = arguments
        .next()
        .filter(|file| file != "-")
        .map(PathBuf::from);
    let machines = arguments.next().map_or(50, |n| n.parse().unwrap());
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
