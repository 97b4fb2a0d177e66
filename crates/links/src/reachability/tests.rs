//! Tests of [`super`].

use super::*;

#[test]
fn only_the_token_that_was_asked_for_or_a_higher_one_ends_a_doubt() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut worker = Reachability::default();
    worker.doubt(7, at(0));
    worker.doubt(9, at(5));
    worker.heard(6);
    assert!(!worker.fine() && worker.doubted_since() == Some(at(0)));
    assert!(worker.deaf(at(10), Duration::from_secs(9)));
    worker.wait(Duration::from_secs(4));
    assert!(
        !worker.deaf(at(10), Duration::from_secs(9)),
        "nobody could have been heard"
    );
    worker.heard(7);
    assert!(worker.fine() && !worker.deaf(at(100), Duration::ZERO));
}

#[test]
fn a_controller_that_hears_less_than_a_quarter_of_its_workers_hears_few() {
    assert!(!hears_few(0, 0), "none are known");
    assert!(hears_few(4, 0) && !hears_few(4, 1));
    assert!(hears_few(4_000, 999) && !hears_few(4_000, 1_000));
}
