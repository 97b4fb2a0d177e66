//! Tests of [`super`].

use super::*;

#[test]
fn worker_number_is_the_number_at_the_end_of_the_name_or_a_hash() {
    assert_eq!(worker_number("m-000231"), 231);
    assert_eq!(worker_number("m-4000"), 4_000);
    let unnumbered = ["spare", "m-", "m-99999999999", "m-4294967295", ""];
    for name in unnumbered {
        assert!(worker_number(name) >= HASHED_NAME_BIT, "{name}");
    }
    let distinct: std::collections::BTreeSet<u32> =
        unnumbered.iter().map(|n| worker_number(n)).collect();
    assert_eq!(distinct.len(), unnumbered.len());
}

#[test]
fn encoded_set_of_4000_workers_is_small_and_decodes_to_the_same_set() {
    let names: Vec<String> = (0..4_000).map(|n| format!("m-{n:06}")).collect();
    let set = WorkerSet::from_names(names.iter().map(String::as_str));
    let bytes = set.to_bytes();
    assert!(bytes.len() < 100, "one run takes {} bytes", bytes.len());
    assert_eq!(WorkerSet::from_bytes(&bytes).unwrap(), set);
    // Every other agent is missing, which prevents runs.
    let set = WorkerSet::from_names(names.iter().step_by(2).map(String::as_str));
    let bytes = set.to_bytes();
    assert!(bytes.len() < 9_000, "{} bytes", bytes.len());
    let decoded = WorkerSet::from_bytes(&bytes).unwrap();
    assert_eq!(decoded.len(), 2_000);
    assert!(decoded.contains(0) && !decoded.contains(1));
}

#[test]
fn truncated_extended_or_malformed_bytes_are_rejected() {
    let set = WorkerSet::from_names(["m-000001", "m-000900"].into_iter());
    let bytes = set.to_bytes();
    for end in 0..bytes.len() {
        assert_eq!(
            WorkerSet::from_bytes(&bytes[..end]),
            Err(MalformedWorkerSet)
        );
    }
    let extended = [&bytes[..], &[0]].concat();
    assert_eq!(WorkerSet::from_bytes(&extended), Err(MalformedWorkerSet));
    assert_eq!(WorkerSet::from_bytes(&[0xff; 64]), Err(MalformedWorkerSet));
}
