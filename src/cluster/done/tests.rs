//! Tests of [`super`].

use super::*;

#[test]
fn chunks_of_100_000_tasks_each_fit_a_value() {
    let chunk = tasks_per_chunk(16.0);
    let mut set = DoneSet::new(100_000, chunk);
    for index in (0..100_000).step_by(2) {
        assert!(set.insert(index));
    }
    assert_eq!(set.len(), 50_000);
    assert!(set.chunks() <= 7, "{} chunks", set.chunks());
    let mut copy = DoneSet::new(100_000, chunk);
    while let Some(dirty) = set.dirty_chunk() {
        let digits = set.encode(dirty);
        assert!(digits.len() <= 16 * 1024 / 2);
        set.mark_durable(dirty, &digits);
        copy.mark_durable(dirty, &digits);
    }
    assert_eq!(copy.len(), 50_000);
    assert!(copy.is_durable(99_998) && !copy.contains(99_999));
}

#[test]
fn a_task_is_durable_only_after_its_chunk_is_written() {
    let mut set = DoneSet::new(3, tasks_per_chunk(16.0));
    set.insert(1);
    assert!(set.contains(1) && !set.is_durable(1));
    let digits = set.encode(0);
    set.insert(2);
    set.mark_durable(0, &digits);
    assert!(set.is_durable(1) && !set.is_durable(2));
    assert_eq!(set.dirty_chunk(), Some(0));
    assert!(!set.insert(70), "a number beyond the set is ignored");
}
