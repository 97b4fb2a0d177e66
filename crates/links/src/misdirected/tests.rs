//! Tests of [`super`].

use super::CountSource::{Record, SummaryResponse};
use super::*;

/// Guards against a false sign that agents do not reach the leader: a record that was written late lowered the
/// count that later responses were compared with.
#[test]
fn late_record_of_a_lower_count_is_no_increase_of_later_responses() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut misdirected = MisdirectedHeartbeats::default();
    misdirected.record_count("knot-1", SummaryResponse, 100, at(0));
    misdirected.record_count("knot-1", Record, 60, at(1));
    misdirected.record_count("knot-1", SummaryResponse, 101, at(2));
    assert!(!misdirected.has_recent_increase(at(2)));
}

/// A record is compared with the newest count that has arrived, and is not counted again with the response that
/// follows it.
#[test]
fn increase_from_a_response_to_a_record_counts_once() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut misdirected = MisdirectedHeartbeats::default();
    misdirected.record_count("knot-1", SummaryResponse, 100, at(0));
    misdirected.record_count("knot-1", Record, 120, at(1));
    assert!(misdirected.has_recent_increase(at(1)));
    let expired_at = at(1) + MISDIRECTED_TTL;
    misdirected.record_count("knot-1", SummaryResponse, 121, expired_at);
    assert!(!misdirected.has_recent_increase(expired_at));
}

/// A starting agent sends one heartbeat to any controller, so a few misdirected heartbeats are no evidence
/// that agents do not reach the leader.
#[test]
fn significant_increase_at_one_controller_counts_until_it_expires_and_a_restart_does_not_count() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let controller = |n: u8| format!("knot-{n}");
    let mut misdirected = MisdirectedHeartbeats::default();
    misdirected.record_count(&controller(1), SummaryResponse, 900, at(0));
    assert!(
        !misdirected.has_recent_increase(at(0)),
        "there is no earlier count to compare with"
    );
    misdirected.record_count(&controller(1), SummaryResponse, 902, at(1));
    misdirected.record_count(&controller(2), SummaryResponse, 3, at(1));
    assert!(
        !misdirected.has_recent_increase(at(1)),
        "both increases are too small"
    );
    misdirected.record_count(&controller(2), SummaryResponse, 0, at(2));
    assert!(
        !misdirected.has_recent_increase(at(2)),
        "a new incarnation starts counting at zero"
    );
    misdirected.record_count(
        &controller(1),
        SummaryResponse,
        902 + SIGNIFICANT_MISDIRECTED_INCREASE,
        at(3),
    );
    assert!(misdirected.has_recent_increase(at(4)));
    assert!(!misdirected.has_recent_increase(at(3) + MISDIRECTED_TTL));
}
