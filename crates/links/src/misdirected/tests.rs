//! Tests of [`super`].

use super::*;

/// Workers that start send one heartbeat to any controller; those that repeat it do not reach the leader.
#[test]
fn many_misdirected_heartbeats_at_one_controller_are_evidence_for_a_while_and_its_restart_is_none()
{
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let node = |n: u8| format!("knot-{n}");
    let mut misdirected = MisdirectedHeartbeats::default();
    misdirected.record_count(&node(1), 900, at(0));
    assert!(
        !misdirected.has_recent_increase(at(0)),
        "no earlier count to compare with"
    );
    misdirected.record_count(&node(1), 902, at(1));
    misdirected.record_count(&node(2), 3, at(1));
    assert!(!misdirected.has_recent_increase(at(1)), "too few");
    misdirected.record_count(&node(2), 0, at(2));
    assert!(
        !misdirected.has_recent_increase(at(2)),
        "a new incarnation counts from zero"
    );
    misdirected.record_count(&node(1), 902 + SIGNIFICANT_MISDIRECTED_INCREASE, at(3));
    assert!(misdirected.has_recent_increase(at(4)));
    assert!(!misdirected.has_recent_increase(at(3) + MISDIRECTED_TTL));
}
