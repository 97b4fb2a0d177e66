//! Tests of [`super`].

use super::*;

/// An objective that allows several boots before a start must not keep machines idle: at one site,
/// idle machines took 8% of a day's cost for a class that can wait for a boot.
#[test]
fn only_start_objectives_below_a_few_boot_times_need_spare_capacity() {
    let text = include_str!("../../deploy/example.toml");
    let policy = SchedulingPolicy::new(&Settings::parse(text, "a test").unwrap());
    let within = policy.start_objectives["prompt"];
    assert!(policy.cannot_wait_for_boot("prompt", within));
    assert!(policy.cannot_wait_for_boot("prompt", within / 2));
    assert!(!policy.cannot_wait_for_boot("prompt", within / BOOTS_PER_START));
    assert!(!policy.cannot_wait_for_boot("another", within));
}
