//! Tests of [`super`].

use super::*;
use crate::store::to_value;

fn put(replica: &mut Replica, number: u32, verdict: Verdict, version: u64) {
    let id = JobId::parse(&format!("wk-{number:06}")).unwrap();
    let record = to_value(&JobRecord::without_description(verdict, 1));
    replica.put(&keys::job(&id), &record, version);
}

/// The store keeps verdicts without a time limit, and a process with 128 MB of memory cannot hold all of
/// them.
#[test]
fn final_verdicts_are_evicted_beyond_the_limit_and_accepted_jobs_are_kept() {
    let mut replica = Replica::with_final_verdicts_max(10);
    for number in 0..200 {
        put(
            &mut replica,
            number,
            Verdict::Accepted,
            u64::from(number) + 1,
        );
    }
    assert_eq!(
        replica.jobs.len(),
        200,
        "verdicts that may still change are not evicted"
    );
    for number in 0..150 {
        put(
            &mut replica,
            number,
            Verdict::Done,
            1000 + u64::from(number),
        );
    }
    assert_eq!(replica.jobs.len(), 50 + 10);
    let last = JobId::parse("wk-000149").unwrap();
    assert_eq!(replica.jobs[&last].record.verdict, Verdict::Done);
    let first = JobId::parse("wk-000000").unwrap();
    assert!(
        !replica.jobs.contains_key(&first),
        "the oldest final verdict is evicted"
    );
    assert!(replica.final_verdicts.len() <= 10);
}

/// A delayed write of an older count of misdirected heartbeats must fail by its condition on the version.
#[test]
fn version_of_a_misdirected_count_follows_each_write() {
    let mut replica = Replica::default();
    assert_eq!(replica.misdirected_version("knot-1"), 0);
    let record = to_value(&MisdirectedRecord { count: 9 });
    let change = replica.put(&keys::misdirected("knot-1"), &record, 7);
    assert_eq!(
        change,
        Some(ReplicaChange::Misdirected("knot-1".to_owned(), 9))
    );
    assert_eq!(replica.misdirected_version("knot-1"), 7);
    assert_eq!(replica.misdirected_version("knot-2"), 0);
}
