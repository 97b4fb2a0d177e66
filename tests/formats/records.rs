//! Keys and records in the key-value store.

use knotlanding::model::{JobId, JobKind, JobSpec, Priority, Resources, Term, Verdict};
use knotlanding::service::operator::OperatorSettings;
use knotlanding::store::keys::{
    self, CompletedTasksRecord, DispatchedJobsRecord, InventoryRecord, JobDescription, JobRecord,
    LeaderRecord, MisdirectedRecord, ProbeRecord, TermRecord,
};
use knotlanding::store::{from_value, to_value, Value};
use knotlanding::wire;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::fixture;

/// Asserts that the record is encoded as the bytes of the fixture, and that they are decoded and encoded
/// again without a change.
fn assert_record<T: Serialize + DeserializeOwned>(name: &str, record: &T) {
    fixture::assert_bytes(name, &wire::encode(&to_value(record)));
    assert_read::<T>(name);
}

/// Asserts that the bytes of the fixture are decoded, and that the result is encoded as the same bytes.
fn assert_read<T: Serialize + DeserializeOwned>(name: &str) {
    let value: Value = wire::decode(&fixture::bytes(name)).unwrap();
    let read: T = from_value(&value).unwrap_or_else(|| panic!("{name} cannot be decoded"));
    fixture::assert_bytes(name, &wire::encode(&to_value(&read)));
}

fn job_id(text: &str) -> JobId {
    JobId::parse(text).unwrap()
}

/// A job with a value in every field.
pub fn full_spec() -> JobSpec {
    JobSpec {
        id: job_id("wk-000412"),
        class: "train".to_owned(),
        team: "vision".to_owned(),
        kind: JobKind::Gang,
        priority: Priority::Urgent,
        tasks: 16,
        task_resources: Resources {
            cpus: 8.0,
            gpus: 1.5,
            memory: 64.25,
        },
        machine_types: Some(vec!["g8".to_owned(), "g4".to_owned()]),
        zone: Some("north".to_owned()),
        single_zone: true,
        zone_spread: true,
        spot: true,
        image: "img-07".to_owned(),
        image_gb: 6.2,
        estimate_s: 240.0,
        checkpoint_interval_s: 30.0,
        checkpoint_cost_s: 4.0,
        deadline_s: Some(900.0),
    }
}

fn spec(kind: JobKind, priority: Priority) -> JobSpec {
    JobSpec {
        kind,
        priority,
        machine_types: None,
        zone: None,
        single_zone: false,
        zone_spread: false,
        spot: false,
        deadline_s: None,
        ..full_spec()
    }
}

fn description_of(spec: JobSpec) -> JobDescription {
    JobDescription {
        spec,
        submitted_ms: 1_800_000_000_123,
        started: false,
        hosts: None,
    }
}

#[test]
fn store_keys_are_unchanged() {
    let job = job_id("wk-000412");
    assert_eq!(keys::ROOT, "kl/");
    assert_eq!(keys::LEADER, "kl/leader");
    assert_eq!(keys::TERM, "kl/term");
    assert_eq!(keys::SETTINGS, "kl/settings");
    assert_eq!(keys::job(&job), "kl/job/wk-000412");
    assert_eq!(keys::description(&job), "kl/live/wk-000412");
    assert_eq!(keys::completed_tasks(&job, 3), "kl/done/wk-000412/3");
    assert_eq!(keys::inventory(7), "kl/roster/0007");
    assert_eq!(keys::dispatch(Term(12), 34), "kl/sent/0000000012-000034");
    assert_eq!(keys::misdirected("knot-1"), "kl/knocks/knot-1");
    assert_eq!(keys::probe("knot-1"), "kl/probe/knot-1");
}

#[test]
fn election_and_operator_records_keep_their_encoding() {
    let leader = LeaderRecord {
        member: "knot-1".to_owned(),
        address: "10.0.0.1:8080".to_owned(),
        term: Term(41),
        lease: 7,
    };
    assert_record("record-leader.hex", &leader);
    assert_record("record-term.hex", &TermRecord { term: Term(41) });
    let settings = OperatorSettings {
        idle_factor: 0.5,
        spare_factor: 2.0,
        drained: vec!["m-000231".to_owned()],
    };
    assert_record("record-settings.hex", &settings);
    assert_record("record-misdirected.hex", &MisdirectedRecord { count: 321 });
    assert_record("record-probe.hex", &ProbeRecord { count: 9 });
}

#[test]
fn job_records_keep_their_encoding() {
    for (name, verdict) in [
        ("record-job-accepted.hex", Verdict::Accepted),
        ("record-job-done.hex", Verdict::Done),
        ("record-job-cancelled.hex", Verdict::Cancelled),
    ] {
        assert_record(name, &JobRecord::without_description(verdict, 16));
    }
    for (name, spec) in [
        ("record-job-gang.hex", full_spec()),
        (
            "record-job-array.hex",
            spec(JobKind::Array, Priority::BestEffort),
        ),
        (
            "record-job-service.hex",
            spec(JobKind::Service, Priority::Production),
        ),
        (
            "record-job-standard.hex",
            spec(JobKind::Array, Priority::Standard),
        ),
    ] {
        let record = JobRecord {
            verdict: Verdict::Accepted,
            tasks: spec.tasks,
            description: Some(description_of(spec)),
        };
        assert_record(name, &record);
    }
}

#[test]
fn job_descriptions_of_older_versions_are_read() {
    let started = JobDescription {
        started: true,
        hosts: Some(vec!["m-000231".to_owned(), "m-000232".to_owned()]),
        ..description_of(full_spec())
    };
    assert_record("record-live-with-hosts.hex", &started);
    let anywhere = JobDescription {
        started: true,
        ..description_of(spec(JobKind::Array, Priority::Standard))
    };
    assert_record("record-live-anywhere.hex", &anywhere);
    assert_record("record-live-not-started.hex", &description_of(full_spec()));
}

#[test]
fn dispatch_task_and_inventory_records_keep_their_encoding() {
    let dispatched = DispatchedJobsRecord {
        jobs: vec![
            (job_id("wk-000412"), Some(vec!["m-000231".to_owned()])),
            (job_id("wk-000413"), None),
            (job_id("wk-000414"), Some(Vec::new())),
        ],
    };
    assert_record("record-sent.hex", &dispatched);
    let completed = CompletedTasksRecord {
        bits: "f03".to_owned(),
    };
    assert_record("record-done.hex", &completed);
    let inventory = InventoryRecord {
        machines: vec!["m-000231".to_owned(), "m-000232".to_owned()],
    };
    assert_record("record-roster.hex", &inventory);
}
