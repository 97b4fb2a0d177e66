//! Tests of [`super`].

use super::*;

const HALF_LIFE: Duration = Duration::from_secs(12);
const LONGEST: Duration = Duration::from_secs(36);

fn losses_every(period_s: f64, count: u32) -> (FlapDamping, Instant) {
    let start = Instant::now();
    let mut damping = FlapDamping::new(HALF_LIFE, LONGEST);
    let mut now = start;
    for loss in 0..count {
        now = start + Duration::from_secs_f64(period_s * f64::from(loss));
        damping.record_loss(now);
    }
    (damping, now)
}

fn stable_until_reused(damping: &mut FlapDamping, last: Instant) -> Duration {
    let tenths = |t: u32| Duration::from_millis(100) * t;
    let first = (0..10_000)
        .map(tenths)
        .find(|t| !damping.suppressed(last + *t));
    first.expect("it is used again")
}

#[test]
fn two_losses_do_not_suppress_a_link_and_three_close_together_do() {
    for (count, expected) in [(1, false), (2, false), (3, true)] {
        let (mut damping, last) = losses_every(2.0, count);
        assert_eq!(damping.suppressed(last), expected, "{count} losses");
    }
    let (mut damping, last) = losses_every(60.0, 20);
    assert!(!damping.suppressed(last), "once a minute is no flapping");
}

/// Two to five seconds up and as long down: a loss every four to ten.
#[test]
fn a_flapping_link_stays_suppressed_until_it_is_stable() {
    for period_s in [4.0, 7.0, 10.0] {
        let (mut damping, last) = losses_every(period_s, 60);
        let between = last + Duration::from_secs_f64(period_s * 0.9);
        assert!(damping.suppressed(between), "{period_s} s");
        let (mut damping, last) = losses_every(period_s, 60);
        let quiet = stable_until_reused(&mut damping, last);
        assert!(quiet > HALF_LIFE, "{period_s} s: {quiet:?}");
        assert!(
            quiet <= LONGEST + Duration::from_millis(100),
            "{period_s} s: {quiet:?}"
        );
    }
}

/// However long it flapped, nobody waits for longer than the bound.
#[test]
fn the_penalty_has_a_ceiling() {
    let (mut damping, last) = losses_every(0.2, 10_000);
    assert!(damping.penalty() <= 0.75 * 8.0 + 1e-9);
    assert!(stable_until_reused(&mut damping, last) <= LONGEST + Duration::from_millis(100));
}

/// Reuse is lower than suppression: a link is not used and suppressed in turn.
#[test]
fn between_the_thresholds_suppression_does_not_change() {
    let (mut damping, last) = losses_every(2.0, 3);
    assert!(damping.suppressed(last));
    let later = last + HALF_LIFE;
    assert!(damping.suppressed(later) && damping.penalty() < 2.0);
    damping.record_loss(later);
    damping.record_loss(later);
    assert!(damping.suppressed(later));
    let (mut fresh, last) = losses_every(0.0, 1);
    assert!(fresh.penalty() > 0.75 && !fresh.suppressed(last));
}

#[test]
fn a_clock_that_does_not_move_on_decays_nothing() {
    let (mut damping, last) = losses_every(2.0, 3);
    let before = damping.penalty();
    assert!(damping.suppressed(last - Duration::from_secs(5)));
    assert!(damping.suppressed(last));
    assert_eq!(damping.penalty(), before);
}
