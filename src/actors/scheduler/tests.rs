use super::*;

/// A process that was paused for 51 s during a cycle must not pause its cycles for seven minutes if it
/// leads afterwards.
#[test]
fn pause_is_proportional_to_cycle_duration_and_bounded_after_a_process_pause() {
    assert_eq!(pause_after(Duration::ZERO), CYCLE_INTERVAL_MIN);
    let cycle_duration = Duration::from_millis(100);
    assert_eq!(
        pause_after(cycle_duration),
        cycle_duration * CYCLE_PAUSE_FACTOR
    );
    assert_eq!(pause_after(Duration::from_secs(51)), CYCLE_PAUSE_MAX);
}
