//! Tests of [`super`].

use super::*;

/// An objective on starting within several boots made machines stand idle for a class that can
/// wait for one: 8% of a day's cost at Brackenridge.
#[test]
fn only_objectives_within_a_few_boots_need_spare_capacity() {
    let text = include_str!("../../deploy/example.toml");
    let policy = SchedulingPolicy::new(&Settings::parse(text, "a test").unwrap());
    let within = policy.start_objectives["prompt"];
    assert!(policy.cannot_wait_for_boot("prompt", within));
    assert!(policy.cannot_wait_for_boot("prompt", within / 2));
    assert!(!policy.cannot_wait_for_boot("prompt", within / BOOTS_PER_START));
    assert!(!policy.cannot_wait_for_boot("another", within));
}
