//! Tests of [`super`].

use super::*;

#[test]
fn a_bucket_gives_a_second_s_worth_and_then_the_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10.0, start);
    bucket.take(10.0, start);
    assert_eq!(
        bucket.time_until_available(5.0, start),
        Duration::from_millis(500)
    );
    assert_eq!(bucket.wait_beyond(25.0, start), Duration::from_millis(2500));
    let later = start + Duration::from_millis(500);
    assert_eq!(bucket.time_until_available(5.0, later), Duration::ZERO);
    assert!(bucket.time_until_available(6.0, later) > Duration::ZERO);
}
