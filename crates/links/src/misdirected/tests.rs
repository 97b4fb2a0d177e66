//! Tests of [`super`].

use super::*;

/// Workers that come up ask any node once; those that come again and again don't get
/// through to the leader.
#[test]
fn many_misdirected_reports_at_one_node_are_remembered_for_a_while_and_a_restart_of_it_is_none() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let node = |n: u8| format!("knot-{n}");
    let mut misdirected_reports = MisdirectedHeartbeats::default();
    misdirected_reports.counted(&node(1), 900, at(0));
    assert!(
        !misdirected_reports.lately(at(0)),
        "no count before to compare with"
    );
    misdirected_reports.counted(&node(1), 902, at(1));
    misdirected_reports.counted(&node(2), 3, at(1));
    assert!(!misdirected_reports.lately(at(1)), "a few");
    misdirected_reports.counted(&node(2), 0, at(2));
    assert!(
        !misdirected_reports.lately(at(2)),
        "a new life counts from zero"
    );
    misdirected_reports.counted(&node(1), 902 + MANY_MISDIRECTED, at(3));
    assert!(misdirected_reports.lately(at(4)));
    assert!(!misdirected_reports.lately(at(3) + MISDIRECTED_KEPT));
}
