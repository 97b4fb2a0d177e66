//! Tests of [`super`].

use super::*;

/// A controller that was paused for 51 s in the middle of a cycle would otherwise run no cycle for
/// seven minutes, should it lead.
#[test]
fn the_pause_grows_with_the_cost_of_a_cycle_but_not_with_a_pause_of_the_process() {
    assert_eq!(pause_after(Duration::ZERO), CYCLE_INTERVAL_MIN);
    let long = Duration::from_millis(100);
    assert_eq!(pause_after(long), long * PAUSE_FACTOR);
    assert_eq!(pause_after(Duration::from_secs(51)), PAUSE_MAX);
}
