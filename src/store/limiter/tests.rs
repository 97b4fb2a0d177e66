//! Tests of [`super`].

use super::*;

#[test]
fn all_controllers_together_stay_below_the_service_s_limits() {
    let now = Instant::now();
    for controllers in 1..6 {
        let leader = Limiter::share(controllers, true);
        let rest = Limiter::share(controllers, false) * (controllers - 1) as f64;
        assert!(
            leader + rest <= USED_SHARE + 1e-9,
            "{controllers} controllers"
        );
    }
    let limiter = Limiter::new(80.0, 30.0, 3, now);
    assert!(limiter.writes.rate() < limiter.requests.rate());
}

/// Several submissions a second at one of seven controllers waited for its seventh of the limits.
#[test]
fn a_node_saves_up_changes_that_it_had_no_use_for_but_only_a_part_of_what_may_go_at_once() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    for (write_rps, controllers) in [(80.0, 7), (30.0, 5), (100.0, 1)] {
        let mut limiter = Limiter::new(write_rps, write_rps, controllers, start);
        let rate = limiter.writes.rate();
        let saved = limiter.writes.level(later);
        assert!(saved >= rate && saved <= rate * BURST_MAX_S + 1e-9);
        assert!(saved <= (write_rps * BURST_SHARE).max(rate) + 1e-9);
        limiter.set_leading(true, later);
        let level = limiter.writes.level(later + Duration::from_secs(60));
        assert!(
            level <= limiter.writes.rate() + 1e-9,
            "the leader has none to spare"
        );
    }
}
