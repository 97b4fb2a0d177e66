//! Tests of [`super`].

use super::*;

#[test]
fn shares_of_all_controllers_stay_below_the_limits_of_the_store() {
    let now = Instant::now();
    for controllers in 1..6 {
        let leader = Limiter::share(controllers, true);
        let followers = Limiter::share(controllers, false) * (controllers - 1) as f64;
        assert!(
            leader + followers <= USED_SHARE + 1e-9,
            "{controllers} controllers"
        );
    }
    let limiter = Limiter::new(80.0, 30.0, 3, now);
    assert!(limiter.changes.rate() < limiter.requests.rate());
}

/// Without accumulated tokens, several submissions per second to one of seven controllers waited for its
/// seventh of the limits.
#[test]
fn follower_accumulates_unused_changes_up_to_its_share_of_the_burst() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    for (write_rps, controllers) in [(80.0, 7), (30.0, 5), (100.0, 1)] {
        let mut limiter = Limiter::new(write_rps, write_rps, controllers, start);
        let rate = limiter.changes.rate();
        let accumulated = limiter.changes.level(later);
        assert!(accumulated >= rate && accumulated <= rate * BURST_MAX_S + 1e-9);
        assert!(accumulated <= (write_rps * BURST_SHARE).max(rate) + 1e-9);
        limiter.set_leading(true, later);
        let level = limiter.changes.level(later + Duration::from_secs(60));
        assert!(
            level <= limiter.changes.rate() + 1e-9,
            "the leader accumulates no more than one second of its rate"
        );
    }
}
