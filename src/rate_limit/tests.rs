//! Tests of [`super`].

use super::*;

#[test]
fn bucket_allows_a_burst_of_one_second_and_then_its_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10.0, start);
    bucket.take(10.0, start);
    assert_eq!(
        bucket.time_until_available(5.0, start),
        Duration::from_millis(500)
    );
    assert_eq!(
        bucket.queueing_time(25.0, start),
        Duration::from_millis(2500)
    );
    let later = start + Duration::from_millis(500);
    assert_eq!(bucket.time_until_available(5.0, later), Duration::ZERO);
    assert!(bucket.time_until_available(6.0, later) > Duration::ZERO);
}
