//! Tests of [`super`].

use super::*;

/// An aim on starting within several boots made machines stand idle for a class that can
/// wait for one: 8% of a day's cost at Brackenridge.
#[test]
fn only_aims_within_a_few_boots_ask_for_room_that_is_there_before_it_is_asked_for() {
    let text = include_str!("../../deploy/example.toml");
    let policy = SchedulingPolicy::new(&Settings::parse(text, "a test").unwrap());
    let within = policy.prompt["prompt"];
    assert!(policy.hurries("prompt", within));
    assert!(policy.hurries("prompt", within / 2));
    assert!(!policy.hurries("prompt", within / BOOTS_TO_SPARE));
    assert!(!policy.hurries("another", within));
}
