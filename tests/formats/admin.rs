//! The admin interface and the command line: fields and values of the JSON, pending reasons, exit codes.

use std::collections::BTreeSet;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use knotlanding::cluster::PlacementRefusal;
use knotlanding::pending_reason::PendingReason;
use knotlanding_links::gate::GateRefusal;
use knotlanding_links::handover::{Connectivity, HandoverDecision};
use knotlanding_links::health::{HealthState, LostDirection};
use knotlanding_links::link::LinkState;
use serde::Serialize;
use serde_json::Value;

use crate::fixture;
use crate::test_controller::{
    job, ControllerEnvironment, ControllerProcess, PROGRAM, TEST_TIMEOUT,
};

/// Maps whose keys are names of jobs, machines or controllers and not of fields.
const MAPS_KEYED_BY_NAME: [&str; 6] = [
    "jobs",
    "machines",
    "matrix",
    "peers",
    "worker_health",
    "names",
];

fn add_paths(value: &Value, path: &str, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            let keyed_by_name =
                MAPS_KEYED_BY_NAME.contains(&path.rsplit('.').next().unwrap_or_default());
            for (name, field) in fields {
                let name = if keyed_by_name { "*" } else { name };
                add_paths(field, &format!("{path}.{name}"), paths);
            }
        }
        Value::Array(items) => {
            for item in items {
                add_paths(item, &format!("{path}[]"), paths);
            }
        }
        _ => {
            paths.insert(path.to_owned());
        }
    }
}

/// The path of each field, whatever its value. Keys of maps by name are replaced with `*`.
fn field_paths(root: &str, value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    add_paths(value, root, &mut paths);
    paths
}

async fn start_with_features(environment: &ControllerEnvironment) -> ControllerProcess {
    let features = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/features.toml");
    environment.start_with_arguments(&["--features", features])
}

/// Repeats the request until the response is complete. Some of its fields appear only after a machine has
/// sent a heartbeat or while a job is pending.
async fn wait_until_complete(
    controller: &ControllerProcess,
    path: &str,
    is_complete: impl Fn(&Value) -> bool,
) -> Value {
    let started_at = Instant::now();
    loop {
        let (status, body) = controller.admin("GET", path, "").await;
        if status == 200 && is_complete(&body) {
            return body;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "{path}: {status} {body}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn first_key(status: &Value, map: &str) -> String {
    let names = status[map].as_object().unwrap().keys();
    names.min().unwrap().clone()
}

#[actix_web::test]
async fn admin_json_keeps_its_fields() {
    let environment = ControllerEnvironment::new("formats-admin");
    let controller = start_with_features(&environment).await;
    controller
        .submit_until_accepted(&job("wk-000001", "array", 5000, 16.0))
        .await;
    let status = wait_until_complete(&controller, "status", |status| {
        let machines = status["machines"].as_object().unwrap();
        let has_heartbeat = |machine: &Value| machine["reported_s_ago"].is_number();
        let is_pending = status["jobs"]["wk-000001"]["waits_for"].is_string();
        is_pending && machines.values().any(has_heartbeat)
    })
    .await;
    let machine = first_key(&status, "machines");
    let mut fields = BTreeSet::new();
    let endpoints = [
        ("status", "status".to_owned()),
        ("job", "jobs/wk-000001".to_owned()),
        ("machine", format!("machines/{machine}")),
        ("metrics", "metrics".to_owned()),
        ("settings", "settings".to_owned()),
        ("links", "links".to_owned()),
    ];
    for (name, path) in endpoints {
        let (code, body) = controller.admin("GET", &path, "").await;
        assert_eq!(code, 200, "{path}: {body}");
        fields.extend(field_paths(name, &body));
    }
    for (name, path) in [("no-job", "jobs/wk-9"), ("no-machine", "machines/none")] {
        let (code, body) = controller.admin("GET", path, "").await;
        assert_eq!(code, 404);
        fields.extend(field_paths(name, &body));
    }
    // These fields are present or absent depending on the time of the request.
    let transient = [
        "status.machines.*.health.lost",
        "machine.health.lost",
        "links.decisions[].",
        "links.suppressed[]",
    ];
    fields.retain(|path| !transient.iter().any(|prefix| path.starts_with(prefix)));
    let lines: Vec<String> = fields.into_iter().collect();
    fixture::assert_text("admin-fields.txt", &(lines.join("\n") + "\n"));
}

#[test]
fn commands_keep_their_exit_codes() {
    let run = |arguments: &[&str]| {
        let mut command = Command::new(PROGRAM);
        let status = command.args(arguments).stderr(Stdio::null()).output();
        let output = status.unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        (output.status.code().unwrap(), text)
    };
    let root = env!("CARGO_MANIFEST_DIR");
    let example = format!("{root}/deploy/example.toml");
    let features = format!("{root}/deploy/features.toml");
    let (code, text) = run(&["check", &example, "--features", &features]);
    assert_eq!(code, 0);
    assert_eq!(text, format!("{example}: fine, for knot-0\n"));
    assert_eq!(run(&["check", "/no/such/file"]).0, 2);
    assert_eq!(run(&["--config", "/no/such/file"]).0, 2);
    assert_eq!(run(&["--features", &features]).0, 2);
    assert_eq!(run(&["unknown"]).0, 2);
    for action in ["status", "metrics", "links", "settings"] {
        let (code, _) = run(&["admin", "--node", "127.0.0.1:1", action]);
        assert_eq!(code, 1, "{action}");
    }
    for (action, argument) in [
        ("job", "wk-1"),
        ("machine", "m"),
        ("drain", "m"),
        ("set", "{}"),
    ] {
        let (code, _) = run(&["admin", "--node", "127.0.0.1:1", action, argument]);
        assert_eq!(code, 1, "{action}");
    }
}

/// The line of the fixture with the text of the reason. A new variant does not compile without one.
fn pending_reason_position(reason: PendingReason) -> usize {
    match reason {
        PendingReason::NotConsidered => 0,
        PendingReason::StaleReplica => 1,
        PendingReason::Gate(GateRefusal::Unreadable) => 2,
        PendingReason::Gate(GateRefusal::Unwritable) => 3,
        PendingReason::Gate(GateRefusal::Flapping) => 4,
        PendingReason::UnreconciledMachines => 5,
        PendingReason::TrialBackoff => 6,
        PendingReason::FailureBackoff => 7,
        PendingReason::Terminating => 8,
        PendingReason::TeamLimit => 9,
        PendingReason::TrialCapacity => 10,
        PendingReason::GangCapacity => 11,
        PendingReason::ImageLocality => 12,
        PendingReason::Capacity => 13,
    }
}

/// Scripts of operators may match these texts.
#[test]
fn pending_reasons_keep_their_texts() {
    let text = fixture::text("pending-reasons.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(PendingReason::ALL.len(), lines.len());
    for (position, reason) in PendingReason::ALL.into_iter().enumerate() {
        assert_eq!(pending_reason_position(reason), position);
        assert_eq!(reason.to_string(), lines[position]);
        let json = serde_json::to_value(reason).unwrap();
        assert_eq!(json, Value::from(lines[position]));
    }
}

/// Scripts of operators may match these texts. Each line of the fixture belongs to one refusal.
#[test]
fn placement_refusals_keep_their_texts() {
    let lines = PlacementRefusal::ALL.map(|refusal| format!("{refusal}\n"));
    fixture::assert_text("passed-over.txt", &lines.concat());
    for (position, refusal) in PlacementRefusal::ALL.into_iter().enumerate() {
        assert_eq!(placement_refusal_position(refusal), position);
    }
}

/// The line of the fixture with the text of the refusal. A new variant does not compile without one.
fn placement_refusal_position(refusal: PlacementRefusal) -> usize {
    match refusal {
        PlacementRefusal::NoHeartbeat => 0,
        PlacementRefusal::NotFenced => 1,
        PlacementRefusal::Unreachable => 2,
        PlacementRefusal::Releasing => 3,
        PlacementRefusal::Faulty => 4,
        PlacementRefusal::Slow => 5,
        PlacementRefusal::Drained => 6,
        PlacementRefusal::SpotNotice => 7,
        PlacementRefusal::Suspected => 8,
        PlacementRefusal::Backoff => 9,
        PlacementRefusal::UnknownTask => 10,
        PlacementRefusal::TooManyTasks => 11,
    }
}

fn json_lines<T: Serialize>(values: &[T]) -> String {
    let lines = values
        .iter()
        .map(|value| serde_json::to_string(value).unwrap() + "\n");
    lines.collect()
}

#[test]
fn admin_json_keeps_its_enumeration_values() {
    let connectivity = Connectivity {
        store: true,
        store_proven: false,
        workers: 17,
    };
    let candidate = || "knot-2".to_owned();
    let decisions = [
        HandoverDecision::StayNobodyBetter,
        HandoverDecision::StayHolding {
            candidate: candidate(),
        },
        HandoverDecision::StayLimited {
            candidate: candidate(),
        },
        HandoverDecision::HandOver {
            candidate: candidate(),
            own: connectivity,
            theirs: connectivity,
        },
    ];
    let mut text = json_lines(&decisions);
    text += &json_lines(&[
        GateRefusal::Unreadable,
        GateRefusal::Unwritable,
        GateRefusal::Flapping,
    ]);
    text += &json_lines(&[
        HealthState::Healthy,
        HealthState::Suspect,
        HealthState::Unreachable,
        HealthState::Unknown,
    ]);
    text += &json_lines(&[
        LostDirection::FromWorker,
        LostDirection::ToWorker,
        LostDirection::Both,
    ]);
    text += &json_lines(&[
        LinkState::Unknown,
        LinkState::Up,
        LinkState::Suspect,
        LinkState::Down,
    ]);
    fixture::assert_text("admin-words.txt", &text);
}
