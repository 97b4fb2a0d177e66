//! Tests of [`super`].

use super::*;

#[test]
fn summary_covers_all_durations_and_caps_the_longest() {
    let mut histogram = DurationHistogram::default();
    for ms in 1..=100 {
        histogram.record(Duration::from_millis(ms));
    }
    histogram.record(Duration::from_secs(1_000_000));
    let summary = histogram.summary();
    assert_eq!(summary.count, 101);
    assert_eq!(summary.p50_ms, 51);
    assert!(summary.max_ms >= HISTOGRAM_MAX_MS && summary.max_ms < HISTOGRAM_MAX_MS * 2);
}
