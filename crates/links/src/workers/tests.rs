//! Tests of [`super`].

use super::*;

#[test]
fn machines_are_numbered_by_their_names() {
    assert_eq!(worker_number("m-000231"), 231);
    assert_eq!(worker_number("m-4000"), 4_000);
    let odd = ["spare", "m-", "m-99999999999", "m-4294967295", ""];
    for name in odd {
        assert!(worker_number(name) >= HASHED_NAME_BIT, "{name}");
    }
    let distinct: std::collections::BTreeSet<u32> = odd.iter().map(|n| worker_number(n)).collect();
    assert_eq!(distinct.len(), odd.len());
}

#[test]
fn a_set_of_4000_workers_is_small_and_read_back_as_it_was() {
    let names: Vec<String> = (0..4_000).map(|n| format!("m-{n:06}")).collect();
    let set = WorkerSet::from_names(names.iter().map(String::as_str));
    let bytes = set.to_bytes();
    assert!(bytes.len() < 100, "a run: {}", bytes.len());
    assert_eq!(WorkerSet::from_bytes(&bytes).unwrap(), set);
    // Every other one is gone.
    let set = WorkerSet::from_names(names.iter().step_by(2).map(String::as_str));
    let bytes = set.to_bytes();
    assert!(bytes.len() < 9_000, "{}", bytes.len());
    let read = WorkerSet::from_bytes(&bytes).unwrap();
    assert_eq!(read.len(), 2_000);
    assert!(read.contains(0) && !read.contains(1));
}

#[test]
fn malformed_bytes_are_rejected() {
    let set = WorkerSet::from_names(["m-000001", "m-000900"].into_iter());
    let bytes = set.to_bytes();
    for end in 0..bytes.len() {
        assert_eq!(WorkerSet::from_bytes(&bytes[..end]), Err(MalformedSet));
    }
    let longer = [&bytes[..], &[0]].concat();
    assert_eq!(WorkerSet::from_bytes(&longer), Err(MalformedSet));
    assert_eq!(WorkerSet::from_bytes(&[0xff; 64]), Err(MalformedSet));
}
