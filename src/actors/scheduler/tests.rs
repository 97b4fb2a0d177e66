//! Tests of [`super`].

use super::*;

/// A controller that stood still for 51 s in the middle of a round would otherwise hold no
/// round for seven minutes, should it lead.
#[test]
fn the_pause_grows_with_what_a_round_costs_but_not_with_a_time_stood_still() {
    assert_eq!(pause_after(Duration::ZERO), ROUND_INTERVAL_MIN);
    let dear = Duration::from_millis(100);
    assert_eq!(pause_after(dear), dear * ROUND_PART);
    assert_eq!(pause_after(Duration::from_secs(51)), ROUND_PAUSE_MAX);
}
