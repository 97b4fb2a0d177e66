//! The operators' interface: the fields of its JSON, by their paths.

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
use crate::node::{job, Bench, Node, PROGRAM, TEST_TIMEOUT};

/// Maps whose keys are names of things and not fields.
const NAMED: [&str; 6] = [
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
            let named = NAMED.contains(&path.rsplit('.').next().unwrap_or_default());
            for (name, field) in fields {
                let name = if named { "*" } else { name };
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

/// One line for each field, whatever its value.
fn paths(root: &str, value: &Value) -> BTreeSet<String> {
    let mut paths = BTreeSet::new();
    add_paths(value, root, &mut paths);
    paths
}

async fn start(bench: &Bench) -> Node {
    let features = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/features.toml");
    bench.start_with(&["--features", features])
}

/// Asks until what is told is complete: machines have reported, a job waits, a row is there.
async fn complete(node: &Node, path: &str, done: impl Fn(&Value) -> bool) -> Value {
    let began = Instant::now();
    loop {
        let (status, body) = node.admin("GET", path, "").await;
        if status == 200 && done(&body) {
            return body;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "{path}: {status} {body}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn first_name(status: &Value, map: &str) -> String {
    let names = status[map].as_object().unwrap().keys();
    names.min().unwrap().clone()
}

#[actix_web::test]
async fn fields_of_the_operators_json_stay() {
    let bench = Bench::new("formats-admin");
    let node = start(&bench).await;
    node.accept(&job("wk-000001", "array", 5000, 16.0)).await;
    let status = complete(&node, "status", |status| {
        let machines = status["machines"].as_object().unwrap();
        let heard = |m: &Value| m["reported_s_ago"].is_number();
        let waits = status["jobs"]["wk-000001"]["waits_for"].is_string();
        waits && machines.values().any(heard)
    })
    .await;
    let machine = first_name(&status, "machines");
    let mut all = BTreeSet::new();
    let answers = [
        ("status", "status".to_owned()),
        ("job", "jobs/wk-000001".to_owned()),
        ("machine", format!("machines/{machine}")),
        ("metrics", "metrics".to_owned()),
        ("settings", "settings".to_owned()),
        ("links", "links".to_owned()),
    ];
    for (name, path) in answers {
        let (code, body) = node.admin("GET", &path, "").await;
        assert_eq!(code, 200, "{path}: {body}");
        all.extend(paths(name, &body));
    }
    for (name, path) in [("no-job", "jobs/wk-9"), ("no-machine", "machines/none")] {
        let (code, body) = node.admin("GET", path, "").await;
        assert_eq!(code, 404);
        all.extend(paths(name, &body));
    }
    // These come and go with the time at which they are asked for.
    let at_times = [
        "status.machines.*.health.lost",
        "machine.health.lost",
        "links.decisions[].",
        "links.suppressed[]",
    ];
    all.retain(|path| !at_times.iter().any(|prefix| path.starts_with(prefix)));
    let lines: Vec<String> = all.into_iter().collect();
    fixture::assert_text("admin-fields.txt", &(lines.join("\n") + "\n"));
}

#[test]
fn commands_and_exit_codes_stay() {
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

/// The line of the fixture for each reason. A new variant does not compile without one.
fn line_number(reason: PendingReason) -> usize {
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

/// Operators' scripts may look for these, too.
#[test]
fn pending_reasons_stay() {
    let text = fixture::text("pending-reasons.txt");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(PendingReason::ALL.len(), lines.len());
    for (at, reason) in PendingReason::ALL.into_iter().enumerate() {
        assert_eq!(line_number(reason), at);
        assert_eq!(reason.to_string(), lines[at]);
        let json = serde_json::to_value(reason).unwrap();
        assert_eq!(json, Value::from(lines[at]));
    }
}

/// So do these, each line from one refusal.
#[test]
fn placement_refusals_told_to_operators_stay() {
    let lines = PlacementRefusal::ALL.map(|refusal| format!("{refusal}\n"));
    fixture::assert_text("passed-over.txt", &lines.concat());
    for (position, refusal) in PlacementRefusal::ALL.into_iter().enumerate() {
        assert_eq!(position_of(refusal), position);
    }
}

/// Does not compile with a variant that is not listed.
fn position_of(refusal: PlacementRefusal) -> usize {
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

fn lines<T: Serialize>(values: &[T]) -> String {
    let lines = values
        .iter()
        .map(|value| serde_json::to_string(value).unwrap() + "\n");
    lines.collect()
}

#[test]
fn words_of_the_operators_json_stay() {
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
    let mut text = lines(&decisions);
    text += &lines(&[
        GateRefusal::Unreadable,
        GateRefusal::Unwritable,
        GateRefusal::Flapping,
    ]);
    text += &lines(&[
        HealthState::Healthy,
        HealthState::Suspect,
        HealthState::Unreachable,
        HealthState::Unknown,
    ]);
    text += &lines(&[
        LostDirection::FromWorker,
        LostDirection::ToWorker,
        LostDirection::Both,
    ]);
    text += &lines(&[
        LinkState::Unknown,
        LinkState::Up,
        LinkState::Suspect,
        LinkState::Down,
    ]);
    fixture::assert_text("admin-words.txt", &text);
}
