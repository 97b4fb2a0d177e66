use std::time::Duration;

use knotlanding_links::link::DetectionParams;
use knotlanding_links::table::{LinkTable, StoreOperation};
use knotlanding_links::timing::LinkTiming;

use super::*;

/// A table of links to the key-value store only.
fn link_table(now: Instant) -> LinkTable {
    let detection = DetectionParams {
        phi_down_threshold: 8.0,
        damping_enabled: true,
    };
    let timing = LinkTiming {
        row_interval: Duration::from_secs(1),
        leader_lease: Duration::from_secs(3),
        heartbeat_interval: Duration::from_secs(5),
        clock_skew_max: Duration::from_millis(50),
    };
    LinkTable::new("knot-0", std::iter::empty(), detection, timing, now)
}

/// Guards against a gate that stays open for up to a second after it has closed: one thread evaluated the
/// gate before the requests of another failed, and published its decision afterwards.
#[test]
fn gate_decision_published_late_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut table = link_table(now);
    let published = PublishedSnapshot::new(table.gate());
    table.evaluate(now);
    let open = table.gate();
    for _ in 0..2 {
        table.record_store_request(StoreOperation::Write, now, false, now);
    }
    let closed = table.gate();
    assert!(open.refusal.is_none() && closed.refusal.is_some());
    assert!(published.set_gate(closed));
    assert!(!published.set_gate(open), "the decision is outdated");
    assert_eq!(published.gate(), closed);
    table.record_store_request(StoreOperation::Write, now, true, now);
    assert!(published.set_gate(table.gate()), "the gate opens again");
    assert_eq!(published.gate().refusal, table.gate().refusal);
}
