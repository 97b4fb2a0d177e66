//! Tests of [`super`].

use super::*;
use crate::gate::GateRefusal;
use crate::test_support::{timing, DETECTION_PARAMS};

fn table(now: Instant) -> LinkTable {
    let others = std::iter::once("knot-1".to_owned());
    LinkTable::new("knot-0", others, DETECTION_PARAMS, timing(), now)
}

fn row(table: &LinkTable, now: Instant) -> Row {
    let header = RowHeader {
        incarnation: 1,
        sequence: 1,
        sent_at_ms: 0,
        leads_term: None,
    };
    table.row(header, now)
}

/// A heartbeat of an agent's first epoch.
fn heartbeat(sequence: u64) -> HeartbeatId {
    HeartbeatId { epoch: 1, sequence }
}

/// A successful lease renewal or read is no evidence that transactions succeed.
#[test]
fn each_kind_of_store_request_has_its_own_link() {
    let start = Instant::now();
    let mut table = table(start);
    let at_ms = |ms: u64| start + Duration::from_millis(ms);
    for ms in (0..5_000).step_by(100) {
        table.record_store_request(StoreOperation::Lease, at_ms(ms), true, at_ms(ms));
        table.record_store_request(StoreOperation::Read, at_ms(ms), true, at_ms(ms));
        table.record_store_request(StoreOperation::Write, at_ms(ms), ms < 1_000, at_ms(ms));
    }
    assert_eq!(table.gate().refusal, Some(GateRefusal::Unwritable));
    assert!(table.store_write_down());
    let row = row(&table, at_ms(5_000));
    assert!(row.message.store_read.is_usable() && !row.store_usable());
    let change =
        table.record_store_request(StoreOperation::Write, at_ms(5_100), true, at_ms(5_100));
    assert_eq!(change.unwrap().link, LinkName::StoreWrite);
    assert_eq!(table.gate().refusal, None);
}

/// If requests fail in one direction only, the row must show which direction works.
#[test]
fn failed_requests_to_a_peer_do_not_affect_its_inbound_link() {
    let start = Instant::now();
    let mut table = table(start);
    for second in 0..20 {
        let now = start + Duration::from_secs(second);
        table.record_peer_row("knot-1", now);
        table.record_peer_request("knot-1", now, second < 5, now);
        table.evaluate(now);
    }
    let row = row(&table, start + Duration::from_secs(19));
    let links = &row.message.peers[0];
    assert!(links.inbound.is_usable());
    assert_eq!(links.outbound.state, LinkState::Down);
    assert!(links.outbound.evidence_age_ms >= Some(14_000));
    assert!(table.record_peer_row("knot-9", start).is_none());
}

/// An agent that receives no response sends its next heartbeat to another controller, which leaves a gap in
/// the sequence numbers here.
#[test]
fn worker_is_reporting_if_heartbeats_arrive_and_reachable_if_answered_ones_are_consecutive() {
    let start = Instant::now();
    let mut table = table(start);
    let at = |s: u64| start + Duration::from_secs(s);
    // Agent 1 sends all heartbeats here; agent 2 sends two to other controllers after each one here; agent 3
    // never receives a response; agent 4 sends copies of one heartbeat.
    for (index, second) in (0..5).map(|n| (n, 3 * n)) {
        let now = at(second);
        table.record_worker_heartbeat(1, heartbeat(10 + index), now);
        table.record_worker_response(1, heartbeat(10 + index));
        table.record_worker_heartbeat(2, heartbeat(10 + 3 * index), now);
        table.record_worker_response(2, heartbeat(10 + 3 * index));
        table.record_worker_heartbeat(3, heartbeat(10 + index), now);
        table.record_worker_heartbeat(4, heartbeat(10), now);
        table.record_worker_response(4, heartbeat(10));
    }
    let now = at(13);
    let row_now = row(&table, now);
    let reporting: Vec<u32> = (1..=4)
        .filter(|n| row_now.reporting_workers.contains(*n))
        .collect();
    let reachable: Vec<u32> = (1..=4)
        .filter(|n| row_now.reachable_workers.contains(*n))
        .collect();
    assert_eq!((reporting, reachable), (vec![1, 2, 3], vec![1]));
    // Without further heartbeats the agents are left out of the row, and later removed.
    assert!(row(&table, at(40)).reporting_workers.is_empty());
    table.evaluate(at(120));
    assert!(table.workers.is_empty());
}

/// A controller receives no messages while its process is paused. It must not publish a row that shows all
/// links as down afterwards.
#[test]
fn pause_of_the_process_is_no_evidence_against_peers_and_workers() {
    let start = Instant::now();
    let mut table = table(start);
    for second in 0..10 {
        let now = start + Duration::from_secs(second);
        table.record_worker_heartbeat(1, heartbeat(second + 1), now);
        table.record_peer_row("knot-1", now);
    }
    let resumed_at = start + Duration::from_secs(50);
    table.resume_after_pause(resumed_at);
    let row = row(&table, resumed_at);
    assert!(row.reporting_workers.contains(1) && row.message.peers[0].inbound.is_usable());
    assert_eq!(
        row.message.peers[0].inbound.evidence_age_ms,
        Some(41_000),
        "the time of the evidence does not change"
    );
}

/// Guards against an agent that counts as reachable although its responses do not arrive: a late copy of an older
/// heartbeat got a 200, and the newest heartbeat, which got none, was taken for answered.
#[test]
fn response_to_an_older_heartbeat_does_not_answer_the_newest_one() {
    let start = Instant::now();
    let mut table = table(start);
    let worker = 1;
    let older = heartbeat(10);
    let newest = heartbeat(11);
    table.record_worker_heartbeat(worker, older, start);
    table.record_worker_heartbeat(worker, newest, start);
    table.record_worker_response(worker, older);
    table.record_worker_heartbeat(worker, heartbeat(12), start);
    assert!(!row(&table, start).reachable_workers.contains(worker));
    table.record_worker_response(worker, heartbeat(12));
    table.record_worker_heartbeat(worker, heartbeat(13), start);
    assert!(row(&table, start).reachable_workers.contains(worker));
}

/// Each controller publishes a row once a second, so a row must stay small with 4,000 machines and seven
/// controllers.
#[test]
fn row_of_4000_workers_is_smaller_than_half_of_the_size_limit() {
    let start = Instant::now();
    let mut table = table(start);
    for worker in (0..8_000).step_by(2) {
        table.record_worker_heartbeat(worker, heartbeat(1), start);
        table.record_worker_response(worker, heartbeat(1));
        table.record_worker_heartbeat(worker, heartbeat(2), start + Duration::from_secs(3));
    }
    let row = row(&table, start + Duration::from_secs(4));
    assert_eq!(
        (row.reporting_workers.len(), row.reachable_workers.len()),
        (4_000, 4_000)
    );
    let message = row.to_message();
    let encoded_bytes = message.reporting_workers.len() + message.reachable_workers.len();
    assert!(
        encoded_bytes * 2 < crate::row::ROW_BYTES_MAX,
        "{encoded_bytes} bytes"
    );
}
