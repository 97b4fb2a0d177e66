//! Tests of [`super`].

use super::*;

const INTERVAL: Duration = Duration::from_secs(3);

/// Messages at these times in seconds, after one at 0.
fn after(times: impl IntoIterator<Item = f64>) -> (PhiAccrual, Instant) {
    let start = Instant::now();
    let mut detector = PhiAccrual::new(INTERVAL);
    detector.heartbeat(start);
    let mut last = start;
    for time in times {
        last = start + Duration::from_secs_f64(time);
        detector.heartbeat(last);
    }
    (detector, last)
}

/// Silence from which on phi reaches a threshold, in tenths of a second.
fn reached(detector: &PhiAccrual, last: Instant, phi: f64) -> f64 {
    let silence = |tenths: u64| last + Duration::from_millis(100 * tenths);
    let first = (0..1_000).find(|t| detector.phi(silence(*t)) >= phi);
    first.expect("silence is noticed at last") as f64 / 10.0
}

#[test]
fn before_the_first_message_there_is_no_suspicion_and_phi_only_grows_with_silence() {
    let now = Instant::now();
    let detector = PhiAccrual::new(INTERVAL);
    assert_eq!(detector.phi(now + Duration::from_secs(3_600)), 0.0);
    let (detector, last) = after((1..20).map(|n| f64::from(n) * 3.0));
    let mut before = 0.0;
    for tenth in 0..600 {
        let phi = detector.phi(last + Duration::from_millis(100 * tenth));
        assert!(
            phi >= before && phi.is_finite(),
            "{tenth}: {phi} after {before}"
        );
        before = phi;
    }
    assert_eq!(before, PHI_MAX);
}

#[test]
fn the_suspicion_adapts_to_the_observed_intervals() {
    let (steady, last) = after((1..40).map(|n| f64::from(n) * 3.0));
    let steady_s = reached(&steady, last, 8.0);
    assert!((5.0..9.0).contains(&steady_s), "{steady_s}");
    // Every other message is late by a second and a half.
    let late = |n: i32| f64::from(n) * 3.0 + if n % 2 == 0 { 1.5 } else { 0.0 };
    let (uneven, last) = after((1..40).map(late));
    let uneven_s = reached(&uneven, last, 8.0);
    assert!(uneven_s > steady_s + 1.0, "{uneven_s} against {steady_s}");
}

/// A worker also reports when something changes; its regular reports are not due sooner for that.
#[test]
fn messages_close_together_do_not_make_the_next_one_overdue() {
    let (busy, last) = after((1..60).map(|n| f64::from(n) * 0.5));
    assert!(reached(&busy, last, 1.0) >= 3.0);
}

/// After an outage of a minute the next one must not go unnoticed for as long.
#[test]
fn an_outage_does_not_change_the_distribution() {
    let before = (1..20).map(|n| f64::from(n) * 3.0);
    let (calm, last) = after(before.clone());
    let calm_s = reached(&calm, last, 8.0);
    let (after_outage, last) = after(before.chain((0..3).map(|n| 120.0 + f64::from(n) * 3.0)));
    assert!((reached(&after_outage, last, 8.0) - calm_s).abs() < 1.0);
}

#[test]
fn a_message_older_than_the_last_changes_nothing() {
    let (mut detector, last) = after([3.0, 6.0]);
    let now = last + Duration::from_secs(4);
    let before = detector.phi(now);
    detector.heartbeat(last - Duration::from_secs(2));
    assert_eq!((detector.phi(now), detector.last()), (before, Some(last)));
}
