//! Tests of [`super`].

use super::*;
use crate::cluster::Cluster;
use crate::config::Settings;
use crate::forwarding::messages::ForwardedHeartbeat;
use crate::leader::Leadership;
use crate::model::{FencingToken, Term};
use crate::peer::{decode, encode};
use crate::wire::{HeartbeatResponse, TaskPhase, TaskStatus, WorkerCommand};
use std::sync::Arc;

const NOW_MS: u64 = 1_800_000_000_000;

fn wall(ms: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(ms)
}

/// A leader of term 3 since `start`, with the peer `knot-1`.
fn leader(start: Instant) -> Arc<Shared> {
    let peer = "[[known]]\nmember = \"knot-1\"\npeer_addr = \"10.0.0.1:8081\"\n\n[external]";
    let text = include_str!("../../../deploy/example.toml").replace("[external]", peer);
    let shared = Shared::new(Settings::parse(&text, "a test").unwrap());
    let term = Term(3);
    let cluster = Cluster::recover(
        term,
        &shared.settings,
        &shared.replica.lock(),
        Default::default(),
        start,
        wall(NOW_MS),
    );
    *shared.cluster.lock() = Some(cluster);
    let mut election = shared.election.lock();
    election.hold_lease(7, start);
    election.become_leader(Leadership { term, version: 1 });
    election.freshness().confirm(start);
    drop(election);
    shared
}

fn heartbeat(sequence: u64) -> ForwardedHeartbeat {
    ForwardedHeartbeat {
        machine: "m-000001".to_owned(),
        address: "127.0.0.1:9".to_owned(),
        machine_type: "g8".to_owned(),
        zone: "north".to_owned(),
        spot: false,
        epoch: 1,
        sequence,
        token: 0,
        notice_s: Some(12.5),
        tasks: vec![TaskStatus {
            task: "wk-000001/3".to_owned(),
            attempt: 7,
            phase: TaskPhase::Running,
            cause: None,
            saved: None,
        }],
    }
}

fn batch(term: u64, sent_at_ms: u64, heartbeats: Vec<ForwardedHeartbeat>) -> HeartbeatBatch {
    HeartbeatBatch {
        version: BATCH_VERSION,
        member: "knot-1".to_owned(),
        term: Term(term),
        sent_at_ms,
        heartbeats,
    }
}

fn answer(
    shared: &Shared,
    batch: &HeartbeatBatch,
    now: Instant,
) -> Result<BatchAnswer, BatchError> {
    answer_batch(shared, &encode(batch).unwrap(), &|| now, wall(NOW_MS))
}

#[test]
fn batch_and_answer_decode_to_what_was_encoded() {
    let sent = batch(3, NOW_MS, vec![heartbeat(1), heartbeat(2)]);
    assert_eq!(decode_batch(&encode(&sent).unwrap()), Ok(sent));
    let commands = vec![
        WorkerCommand::Run {
            task: "wk-000001/3".to_owned(),
            attempt: 7,
        },
        WorkerCommand::Kill {
            task: "wk-000001/4".to_owned(),
            attempt: 8,
            grace_s: 2.5,
        },
        WorkerCommand::Clear {
            task: "wk-000001/5".to_owned(),
            attempt: 9,
        },
    ];
    let response = HeartbeatResponse {
        token: 41,
        commands,
    };
    let forwarded = ForwardedAnswer::from(HeartbeatDecision::Accepted(response.clone()));
    let bytes = encode(&forwarded).unwrap();
    let received: ForwardedAnswer = decode(&bytes).unwrap();
    assert_eq!(received.accepted(), Some(response));
}

/// A batch that is truncated, malformed, of another version or from an unknown controller is rejected with
/// the reason and changes no state, and later batches are accepted.
#[test]
fn malformed_batches_are_rejected_with_the_reason() {
    let now = Instant::now();
    let shared = leader(now);
    let rejection = |bytes: &[u8]| answer_batch(&shared, bytes, &|| now, wall(NOW_MS)).unwrap_err();
    let good = batch(3, NOW_MS, vec![heartbeat(1)]);
    let bytes = encode(&good).unwrap();
    for cut in [0, 1, 5, bytes.len() - 1] {
        assert_eq!(
            rejection(&bytes[..cut]),
            BatchError::Malformed,
            "{cut} bytes"
        );
    }
    let mut longer = bytes.clone();
    longer.push(0);
    assert_eq!(
        rejection(&longer),
        BatchError::Malformed,
        "a byte after the batch"
    );
    assert_eq!(rejection(&[0xff; 64]), BatchError::Malformed);
    // A list length that exceeds the body must not cause an allocation of that size.
    let mut huge = encode(&(BATCH_VERSION, "knot-1", 3u64, NOW_MS)).unwrap();
    huge.extend([253, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f]);
    assert_eq!(rejection(&huge), BatchError::Malformed);
    let mut newer = good.clone();
    newer.version = BATCH_VERSION + 1;
    let error = rejection(&encode(&newer).unwrap());
    assert_eq!(error, BatchError::UnknownVersion(BATCH_VERSION + 1));
    assert_eq!(error.status(), StatusCode::BAD_REQUEST);
    let mut from_unknown_member = good.clone();
    from_unknown_member.member = "knot-9".to_owned();
    let error = rejection(&encode(&from_unknown_member).unwrap());
    assert_eq!(
        error.to_string(),
        "the sender `knot-9` is not a known controller"
    );
    assert_eq!(error.status(), StatusCode::FORBIDDEN);
    let machines = shared.cluster.lock().as_ref().unwrap().machines.len();
    assert_eq!(machines, 0, "rejected batches add no machines");
    assert!(
        answer(&shared, &good, now).is_ok(),
        "a valid batch is accepted afterwards"
    );
}

/// A batch that was delayed for too long, or that reaches the leader of an earlier or later term, must
/// renew no lease and update no machine.
#[test]
fn stale_batches_and_batches_for_other_terms_are_rejected_whole() {
    let now = Instant::now();
    let shared = leader(now);
    for term in [2, 4] {
        let error = answer(&shared, &batch(term, NOW_MS, vec![heartbeat(1)]), now).unwrap_err();
        assert_eq!(error, BatchError::OtherTerm(term));
        assert_eq!(error.status(), StatusCode::CONFLICT);
    }
    let age = BATCH_AGE_MAX.as_millis() as u64;
    let delayed = batch(3, NOW_MS - age - 1000, vec![heartbeat(1)]);
    let error = answer(&shared, &delayed, now).unwrap_err();
    assert_eq!(error, BatchError::Stale(age + 1000));
    assert!(shared.cluster.lock().as_ref().unwrap().machines.is_empty());
    let recent = batch(3, NOW_MS - 1000, vec![heartbeat(1)]);
    assert!(answer(&shared, &recent, now).is_ok());
}

/// A forwarded heartbeat is handled like a direct one, at the time of the decision: it gets no 200 after
/// the leadership and the keep-alive period have ended, and the worker lease counts from the decision. A
/// leader that was paused within a batch would otherwise renew leases under a leadership that has ended.
#[test]
fn forwarded_heartbeat_is_decided_by_the_clock_at_the_decision() {
    let start = Instant::now();
    let shared = leader(start);
    let at = |s: u64| start + Duration::from_secs(s);
    let answers = answer(&shared, &batch(3, NOW_MS, vec![heartbeat(1)]), at(1)).unwrap();
    let token = FencingToken::first(Term(3)).0;
    let accepted = answers.answers[0].clone().accepted().unwrap();
    assert_eq!(accepted.token, token);
    let last_answered = |shared: &Shared| {
        let cluster = shared.cluster.lock();
        let machine = cluster.as_ref().unwrap().machines.values().next().unwrap();
        machine.last_response_at
    };
    assert_eq!(last_answered(&shared), Some(at(1)));
    // The first reading of the clock is immediate; all later ones follow a pause.
    let readings = std::cell::Cell::new(0);
    let clock = || {
        readings.set(readings.get() + 1);
        at(if readings.get() == 1 { 1 } else { 60 })
    };
    let bytes = encode(&batch(3, NOW_MS, vec![heartbeat(2)])).unwrap();
    let late = answer_batch(&shared, &bytes, &clock, wall(NOW_MS)).unwrap();
    assert_eq!(late.answers, [ForwardedAnswer::Unavailable]);
    assert_eq!(
        last_answered(&shared),
        Some(at(1)),
        "the lease is not renewed"
    );
}

/// The heartbeats of a batch that arrives twice are no newer the second time, so their responses carry no
/// commands.
#[test]
fn repeated_batch_gets_no_commands() {
    let now = Instant::now();
    let shared = leader(now);
    // The leader terminates a task of an unknown job, but only in the response to a newer heartbeat.
    let mut first = heartbeat(1);
    first.token = FencingToken::first(Term(3)).0;
    let repeated = batch(3, NOW_MS, vec![first]);
    let commands = |answer: BatchAnswer| answer.answers[0].clone().accepted().unwrap().commands;
    let first_commands = commands(answer(&shared, &repeated, now).unwrap());
    assert_eq!(first_commands.len(), 1, "{first_commands:?}");
    assert!(commands(answer(&shared, &repeated, now).unwrap()).is_empty());
}
