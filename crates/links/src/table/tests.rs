//! Tests of [`super`].

use super::*;
use crate::gate::GateRefusal;
use crate::test_support::{timing, DETECTION_PARAMS};

fn table(now: Instant) -> LinkTable {
    let others = std::iter::once("knot-1".to_owned());
    LinkTable::new("knot-0", others, DETECTION_PARAMS, timing(), now)
}

fn row(table: &LinkTable, now: Instant) -> Row {
    let stamp = RowHeader {
        incarnation: 1,
        sequence: 1,
        sent_at_ms: 0,
        leads_term: None,
    };
    table.row(stamp, now)
}

/// Renewals that succeed are no evidence that transactions do, nor is a read.
#[test]
fn each_operation_at_the_state_service_has_its_own_link() {
    let start = Instant::now();
    let mut table = table(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    for ms in (0..5_000).step_by(100) {
        table.record_store_request(StoreOperation::Lease, at(ms), true, at(ms));
        table.record_store_request(StoreOperation::Read, at(ms), true, at(ms));
        table.record_store_request(StoreOperation::Write, at(ms), ms < 1_000, at(ms));
    }
    assert_eq!(table.gate().refusal, Some(GateRefusal::Unwritable));
    assert!(table.store_write_down());
    let row = row(&table, at(5_000));
    assert!(row.message.store_read.usable() && !row.store_usable());
    let change = table.record_store_request(StoreOperation::Write, at(5_100), true, at(5_100));
    assert_eq!(change.unwrap().link, LinkName::StoreWrite);
    assert_eq!(table.gate().refusal, None);
}

#[test]
fn inbound_and_outbound_links_of_a_peer_are_independent() {
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
    assert!(links.inbound.usable());
    assert_eq!(links.outbound.state, LinkState::Down);
    assert!(links.outbound.evidence_age_ms >= Some(14_000));
    assert!(table.record_peer_row("knot-9", start).is_none());
}

#[test]
fn a_worker_is_heard_by_its_heartbeats_and_reached_if_they_are_consecutive() {
    let start = Instant::now();
    let mut table = table(start);
    let at = |s: u64| start + Duration::from_secs(s);
    // The first stays; the second comes back only after it tried the others; the third is never
    // answered; the fourth sends copies of one report.
    for (round, second) in (0..5).map(|n| (n, 3 * n)) {
        let now = at(second);
        table.record_worker_heartbeat(1, (1, 10 + round), now);
        table.record_worker_response(1);
        table.record_worker_heartbeat(2, (1, 10 + 3 * round), now);
        table.record_worker_response(2);
        table.record_worker_heartbeat(3, (1, 10 + round), now);
        table.record_worker_heartbeat(4, (1, 10), now);
        table.record_worker_response(4);
    }
    let now = at(13);
    let row_now = row(&table, now);
    let heard: Vec<u32> = (1..=4)
        .filter(|n| row_now.reporting_workers.contains(*n))
        .collect();
    let reached: Vec<u32> = (1..=4)
        .filter(|n| row_now.reachable_workers.contains(*n))
        .collect();
    assert_eq!((heard, reached), (vec![1, 2, 3], vec![1]));
    // Reports stop: nobody is heard any more, and nobody is kept for ever.
    assert!(row(&table, at(40)).reporting_workers.is_empty());
    table.evaluate(at(120));
    assert!(table.workers.is_empty());
}

#[test]
fn a_pause_of_the_process_is_no_evidence_of_silence() {
    let start = Instant::now();
    let mut table = table(start);
    for second in 0..10 {
        let now = start + Duration::from_secs(second);
        table.record_worker_heartbeat(1, (1, second + 1), now);
        table.record_peer_row("knot-1", now);
    }
    let woken = start + Duration::from_secs(50);
    table.resume_after_pause(woken);
    let row = row(&table, woken);
    assert!(row.reporting_workers.contains(1) && row.message.peers[0].inbound.usable());
    assert_eq!(
        row.message.peers[0].inbound.evidence_age_ms,
        Some(41_000),
        "the age is not altered"
    );
}

/// A row is published once a second, so it must stay small at 4,000 machines and seven controllers.
#[test]
fn a_row_of_4000_workers_is_far_below_the_size_limit() {
    let start = Instant::now();
    let mut table = table(start);
    for worker in (0..8_000).step_by(2) {
        table.record_worker_heartbeat(worker, (1, 1), start);
        table.record_worker_response(worker);
        table.record_worker_heartbeat(worker, (1, 2), start + Duration::from_secs(3));
    }
    let row = row(&table, start + Duration::from_secs(4));
    assert_eq!(
        (row.reporting_workers.len(), row.reachable_workers.len()),
        (4_000, 4_000)
    );
    let message = row.to_message();
    let bytes = message.reporting_workers.len() + message.reachable_workers.len();
    assert!(bytes * 2 < crate::row::ROW_BYTES_MAX, "{bytes}");
}
