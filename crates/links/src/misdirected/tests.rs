//! Tests of [`super`].

use super::*;

/// A starting agent sends one heartbeat to any controller, so a few misdirected heartbeats are no evidence
/// that agents do not reach the leader.
#[test]
fn significant_increase_at_one_controller_counts_until_it_expires_and_a_restart_does_not_count() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let controller = |n: u8| format!("knot-{n}");
    let mut misdirected = MisdirectedHeartbeats::default();
    misdirected.record_count(&controller(1), 900, at(0));
    assert!(
        !misdirected.has_recent_increase(at(0)),
        "there is no earlier count to compare with"
    );
    misdirected.record_count(&controller(1), 902, at(1));
    misdirected.record_count(&controller(2), 3, at(1));
    assert!(
        !misdirected.has_recent_increase(at(1)),
        "both increases are too small"
    );
    misdirected.record_count(&controller(2), 0, at(2));
    assert!(
        !misdirected.has_recent_increase(at(2)),
        "a new incarnation starts counting at zero"
    );
    misdirected.record_count(
        &controller(1),
        902 + SIGNIFICANT_MISDIRECTED_INCREASE,
        at(3),
    );
    assert!(misdirected.has_recent_increase(at(4)));
    assert!(!misdirected.has_recent_increase(at(3) + MISDIRECTED_TTL));
}
