//! Request and response bodies of users and agents, which are encoded with CBOR.

use ciborium::cbor;
use knotlanding::wire::{
    self, DirectCommand, ErrorBody, Heartbeat, HeartbeatResponse, JobState, JobSubmission,
    Redirect, WorkerCommand,
};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixture;
use crate::peers::full_heartbeat;
use crate::records::full_spec;

/// Asserts that the body is encoded as the bytes of the fixture, and that they are decoded and encoded again
/// without a change.
fn assert_body<T: Serialize + DeserializeOwned>(name: &str, body: &T) {
    fixture::assert_bytes(name, &wire::encode(body));
    let read: T = wire::decode(&fixture::bytes(name)).unwrap();
    fixture::assert_bytes(name, &wire::encode(&read));
}

#[test]
fn submissions_are_decoded_as_before() {
    let body = cbor!({
        "nameId" => "wk-000412", "lane" => "train", "owner" => "vision", "shape" => "group",
        "rank" => "urgent", "strands" => 16, "cores" => 8.0, "cards" => 1.5, "ramGb" => 64.25,
        "bundle" => "img-07", "sizeGb" => 6.2, "builds" => ["g8", "g4"], "yard" => "north",
        "oneZone" => true, "apart" => true, "loaners" => true, "expectS" => 240.0,
        "markEveryS" => 30.0, "markCostS" => 4, "dueS" => 900.0
    });
    fixture::assert_bytes("body-submission.hex", &wire::encode(&body.unwrap()));
    let read: JobSubmission = wire::decode(&fixture::bytes("body-submission.hex")).unwrap();
    fixture::assert_bytes("body-submission-again.hex", &wire::encode(&read));
    assert_eq!(read.into_spec().unwrap(), full_spec());
}

#[test]
fn responses_to_users_keep_their_encoding() {
    let state = JobState {
        id: "wk-000412".to_owned(),
        status: "running".to_owned(),
        done: 3,
        running: 13,
    };
    assert_body("body-job-state.hex", &state);
    let error_body = ErrorBody {
        error: "no such job".to_owned(),
    };
    fixture::assert_bytes("body-problem.hex", &wire::encode(&error_body));
}

#[test]
fn heartbeats_and_their_responses_keep_their_encoding() {
    assert_body("body-report.hex", &full_heartbeat());
    let minimal = cbor!({
        "host" => "m-000231", "tenure" => 1, "tally" => 88, "baton" => 41,
        "strands" => [{"strand" => "wk-000412/3", "try" => 2, "status" => "exited",
            "cause" => "a cause that is not known"}]
    });
    fixture::assert_bytes("body-report-bare.hex", &wire::encode(&minimal.unwrap()));
    let read: Heartbeat = wire::decode(&fixture::bytes("body-report-bare.hex")).unwrap();
    fixture::assert_bytes("body-report-bare-again.hex", &wire::encode(&read));
    let (task, attempt) = ("wk-000412/3".to_owned(), 0x2900000002);
    let commands = vec![
        WorkerCommand::Run {
            task: task.clone(),
            attempt,
        },
        WorkerCommand::Kill {
            task: task.clone(),
            attempt,
            grace_s: 10.0,
        },
        WorkerCommand::Clear { task, attempt },
    ];
    let response = HeartbeatResponse {
        token: 41 << 20,
        commands: commands.clone(),
    };
    assert_body("body-report-answer.hex", &response);
    let direct = DirectCommand {
        token: 41 << 20,
        epoch: 2,
        commands,
    };
    assert_body("body-direct-orders.hex", &direct);
    for (name, report_to) in [
        ("body-redirect.hex", Some("knot-2".to_owned())),
        ("body-redirect-nowhere.hex", None),
    ] {
        assert_body(name, &Redirect { report_to });
    }
}
