//! Tests of [`super`].

use super::*;

#[test]
fn a_summary_speaks_of_all_values_and_caps_the_longest() {
    let mut times = Times::default();
    for ms in 1..=100 {
        times.add(Duration::from_millis(ms));
    }
    times.add(Duration::from_secs(1_000_000));
    let summary = times.summary();
    assert_eq!(summary.count, 101);
    assert_eq!(summary.p50_ms, 51);
    assert!(summary.max_ms >= HISTOGRAM_MAX_MS && summary.max_ms < HISTOGRAM_MAX_MS * 2);
}
