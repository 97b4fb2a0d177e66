//! Tests of [`super`].

use super::*;

const HALF_LIFE: Duration = Duration::from_secs(12);
const SUPPRESSION_MAX: Duration = Duration::from_secs(36);

fn losses_every(period_s: f64, count: u32) -> (FlapDamping, Instant) {
    let start = Instant::now();
    let mut damping = FlapDamping::new(HALF_LIFE, SUPPRESSION_MAX);
    let mut now = start;
    for loss in 0..count {
        now = start + Duration::from_secs_f64(period_s * f64::from(loss));
        damping.record_loss(now);
    }
    (damping, now)
}

fn time_until_reuse(damping: &mut FlapDamping, last: Instant) -> Duration {
    let tenths = |t: u32| Duration::from_millis(100) * t;
    let first = (0..10_000)
        .map(tenths)
        .find(|t| !damping.is_suppressed(last + *t));
    first.expect("the link is reused within 1,000 s")
}

#[test]
fn three_losses_in_quick_succession_suppress_a_link_and_two_do_not() {
    for (count, expected) in [(1, false), (2, false), (3, true)] {
        let (mut damping, last) = losses_every(2.0, count);
        assert_eq!(damping.is_suppressed(last), expected, "{count} losses");
    }
    let (mut damping, last) = losses_every(60.0, 20);
    assert!(
        !damping.is_suppressed(last),
        "one loss per minute is not flapping"
    );
}

/// The link is up for 2 to 5 s and down for as long, so a loss occurs every 4 to 10 s.
#[test]
fn flapping_link_stays_suppressed_until_it_has_been_stable_for_longer_than_a_half_life() {
    for period_s in [4.0, 7.0, 10.0] {
        let (mut damping, last) = losses_every(period_s, 60);
        let before_next_loss = last + Duration::from_secs_f64(period_s * 0.9);
        assert!(
            damping.is_suppressed(before_next_loss),
            "period of {period_s} s"
        );
        let (mut damping, last) = losses_every(period_s, 60);
        let until_reuse = time_until_reuse(&mut damping, last);
        assert!(
            until_reuse > HALF_LIFE,
            "period of {period_s} s: reused after {until_reuse:?}"
        );
        assert!(
            until_reuse <= SUPPRESSION_MAX + Duration::from_millis(100),
            "period of {period_s} s: reused after {until_reuse:?}"
        );
    }
}

/// The suppression after the last loss is bounded, regardless of how long the link has flapped before.
#[test]
fn penalty_does_not_exceed_the_maximum_for_the_longest_suppression() {
    let (mut damping, last) = losses_every(0.2, 10_000);
    assert!(damping.penalty() <= 0.75 * 8.0 + 1e-9);
    assert!(time_until_reuse(&mut damping, last) <= SUPPRESSION_MAX + Duration::from_millis(100));
}

/// The reuse threshold is lower than the suppress threshold, so that a link does not alternate between used
/// and suppressed.
#[test]
fn penalty_between_the_thresholds_does_not_change_the_suppression() {
    let (mut damping, last) = losses_every(2.0, 3);
    assert!(damping.is_suppressed(last));
    let later = last + HALF_LIFE;
    assert!(damping.is_suppressed(later) && damping.penalty() < 2.0);
    damping.record_loss(later);
    damping.record_loss(later);
    assert!(damping.is_suppressed(later));
    let (mut fresh, last) = losses_every(0.0, 1);
    assert!(fresh.penalty() > 0.75 && !fresh.is_suppressed(last));
}

#[test]
fn penalty_does_not_decay_if_time_does_not_advance() {
    let (mut damping, last) = losses_every(2.0, 3);
    let before = damping.penalty();
    assert!(damping.is_suppressed(last - Duration::from_secs(5)));
    assert!(damping.is_suppressed(last));
    assert_eq!(damping.penalty(), before);
}
