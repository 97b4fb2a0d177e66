//! Tests of [`super`].

use super::*;
use crate::gate::GateRefusal;
use crate::test_support::{timing, JUDGEMENT};

fn table(now: Instant) -> LinkTable {
    let others = std::iter::once("knot-1".to_owned());
    LinkTable::new("knot-0", others, JUDGEMENT, timing(), now)
}

fn row(table: &LinkTable, now: Instant) -> Row {
    let stamp = RowStamp {
        incarnation: 1,
        sequence: 1,
        wall_ms: 0,
        leads_term: None,
    };
    table.row(stamp, now)
}

/// Renewals that succeed are no evidence that transactions do, nor is a read.
#[test]
fn each_operation_at_the_state_service_is_judged_apart() {
    let start = Instant::now();
    let mut table = table(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    for ms in (0..5_000).step_by(100) {
        table.store(StoreOperation::Lease, at(ms), true, at(ms));
        table.store(StoreOperation::Read, at(ms), true, at(ms));
        table.store(StoreOperation::Write, at(ms), ms < 1_000, at(ms));
    }
    assert_eq!(table.gate().refusal, Some(GateRefusal::Unwritable));
    assert!(table.writes_fail());
    let row = row(&table, at(5_000));
    assert!(row.message.store_read.usable() && !row.store_usable());
    let change = table.store(StoreOperation::Write, at(5_100), true, at(5_100));
    assert_eq!(change.unwrap().link, LinkName::StoreWrite);
    assert_eq!(table.gate().refusal, None);
}

#[test]
fn a_peer_whose_requests_arrive_is_not_one_that_answers() {
    let start = Instant::now();
    let mut table = table(start);
    for second in 0..20 {
        let now = start + Duration::from_secs(second);
        table.peer_heard("knot-1", now);
        table.peer_asked("knot-1", now, second < 5, now);
        table.evaluate(now);
    }
    let row = row(&table, start + Duration::from_secs(19));
    let links = &row.message.peers[0];
    assert!(links.inbound.usable());
    assert_eq!(links.outbound.state, LinkState::Down);
    assert!(links.outbound.evidence_age_ms >= Some(14_000));
    assert!(table.peer_heard("knot-9", start).is_none());
}

#[test]
fn a_worker_is_heard_by_its_reports_and_reached_if_it_stays_for_our_answers() {
    let start = Instant::now();
    let mut table = table(start);
    let at = |s: u64| start + Duration::from_secs(s);
    // The first stays; the second comes back only after it tried the others; the third is never
    // answered; the fourth sends copies of one report.
    for (round, second) in (0..5).map(|n| (n, 3 * n)) {
        let now = at(second);
        table.worker_reported(1, (1, 10 + round), now);
        table.worker_answered(1);
        table.worker_reported(2, (1, 10 + 3 * round), now);
        table.worker_answered(2);
        table.worker_reported(3, (1, 10 + round), now);
        table.worker_reported(4, (1, 10), now);
        table.worker_answered(4);
    }
    let now = at(13);
    let row_now = row(&table, now);
    let heard: Vec<u32> = (1..=4).filter(|n| row_now.heard.contains(*n)).collect();
    let reached: Vec<u32> = (1..=4).filter(|n| row_now.reached.contains(*n)).collect();
    assert_eq!((heard, reached), (vec![1, 2, 3], vec![1]));
    // Reports stop: nobody is heard any more, and nobody is kept for ever.
    assert!(row(&table, at(40)).heard.is_empty());
    table.evaluate(at(120));
    assert!(table.workers.is_empty());
}

#[test]
fn standing_still_makes_nobody_silent() {
    let start = Instant::now();
    let mut table = table(start);
    for second in 0..10 {
        let now = start + Duration::from_secs(second);
        table.worker_reported(1, (1, second + 1), now);
        table.peer_heard("knot-1", now);
    }
    let woken = start + Duration::from_secs(50);
    table.stood_still(woken);
    let row = row(&table, woken);
    assert!(row.heard.contains(1) && row.message.peers[0].inbound.usable());
    assert_eq!(
        row.message.peers[0].inbound.evidence_age_ms,
        Some(41_000),
        "told as it is"
    );
}

/// What is told once a second must stay small at 4,000 machines and seven controllers.
#[test]
fn a_row_of_4000_workers_fits_many_times() {
    let start = Instant::now();
    let mut table = table(start);
    for worker in (0..8_000).step_by(2) {
        table.worker_reported(worker, (1, 1), start);
        table.worker_answered(worker);
        table.worker_reported(worker, (1, 2), start + Duration::from_secs(3));
    }
    let row = row(&table, start + Duration::from_secs(4));
    assert_eq!((row.heard.len(), row.reached.len()), (4_000, 4_000));
    let message = row.to_message();
    let bytes = message.workers_heard.len() + message.workers_reached.len();
    assert!(bytes * 2 < crate::row::ROW_BYTES_MAX, "{bytes}");
}
