//! Tests of [`super`].

use super::*;

const INTERVAL: Duration = Duration::from_secs(3);

/// A detector with a message at 0 s and at each of these times in seconds, and the time of the last one.
fn detector_with_messages_at(
    times: impl IntoIterator<Item = f64>,
) -> (PhiAccrualDetector, Instant) {
    let start = Instant::now();
    let mut detector = PhiAccrualDetector::new(INTERVAL);
    detector.record_arrival(start);
    let mut last = start;
    for time in times {
        last = start + Duration::from_secs_f64(time);
        detector.record_arrival(last);
    }
    (detector, last)
}

/// Time since the last message at which phi reaches a threshold, in seconds with a resolution of 0.1 s.
fn seconds_until_phi(detector: &PhiAccrualDetector, last: Instant, phi: f64) -> f64 {
    let after_tenths = |tenths: u64| last + Duration::from_millis(100 * tenths);
    let first = (0..1_000).find(|t| detector.phi(after_tenths(*t)) >= phi);
    first.expect("phi reaches the threshold within 100 s") as f64 / 10.0
}

#[test]
fn phi_is_zero_before_the_first_message_and_never_decreases_without_messages() {
    let now = Instant::now();
    let detector = PhiAccrualDetector::new(INTERVAL);
    assert_eq!(detector.phi(now + Duration::from_secs(3_600)), 0.0);
    let (detector, last) = detector_with_messages_at((1..20).map(|n| f64::from(n) * 3.0));
    let mut previous = 0.0;
    for tenth in 0..600 {
        let phi = detector.phi(last + Duration::from_millis(100 * tenth));
        assert!(
            phi >= previous && phi.is_finite(),
            "phi is {phi} after {previous} at {tenth} tenths of a second"
        );
        previous = phi;
    }
    assert_eq!(previous, PHI_MAX);
}

#[test]
fn phi_rises_later_if_the_observed_intervals_vary() {
    let (regular, last) = detector_with_messages_at((1..40).map(|n| f64::from(n) * 3.0));
    let regular_s = seconds_until_phi(&regular, last, 8.0);
    assert!(
        (5.0..9.0).contains(&regular_s),
        "regular intervals: {regular_s} s"
    );
    // Every other message is late by 1.5 s.
    let late = |n: i32| f64::from(n) * 3.0 + if n % 2 == 0 { 1.5 } else { 0.0 };
    let (irregular, last) = detector_with_messages_at((1..40).map(late));
    let irregular_s = seconds_until_phi(&irregular, last, 8.0);
    assert!(
        irregular_s > regular_s + 1.0,
        "irregular intervals: {irregular_s} s, regular intervals: {regular_s} s"
    );
}

/// An agent sends additional heartbeats when something changes. They must not make its regular heartbeats due
/// sooner.
#[test]
fn additional_messages_in_quick_succession_do_not_make_the_next_one_due_sooner() {
    let (frequent, last) = detector_with_messages_at((1..60).map(|n| f64::from(n) * 0.5));
    assert!(seconds_until_phi(&frequent, last, 1.0) >= 3.0);
}

/// If the interval of a one-minute outage entered the distribution, the next outage would be detected too
/// late.
#[test]
fn interval_of_an_outage_does_not_delay_the_detection_of_the_next_one() {
    let before_outage = (1..20).map(|n| f64::from(n) * 3.0);
    let (without_outage, last) = detector_with_messages_at(before_outage.clone());
    let without_outage_s = seconds_until_phi(&without_outage, last, 8.0);
    let (after_outage, last) =
        detector_with_messages_at(before_outage.chain((0..3).map(|n| 120.0 + f64::from(n) * 3.0)));
    assert!((seconds_until_phi(&after_outage, last, 8.0) - without_outage_s).abs() < 1.0);
}

#[test]
fn message_older_than_the_last_one_changes_neither_phi_nor_the_last_arrival() {
    let (mut detector, last) = detector_with_messages_at([3.0, 6.0]);
    let now = last + Duration::from_secs(4);
    let phi = detector.phi(now);
    detector.record_arrival(last - Duration::from_secs(2));
    assert_eq!(
        (detector.phi(now), detector.last_arrival_at()),
        (phi, Some(last))
    );
}
