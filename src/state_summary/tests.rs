//! Tests of [`super`].

use super::*;
use crate::peer::{decode, encode};

fn contents(done: u32) -> SummaryContents {
    SummaryContents {
        task_counts: vec![TaskCounts {
            id: JobId::parse("wk-000001").unwrap(),
            done,
            running: 5,
        }],
        ended_jobs: Vec::new(),
        machines: vec![(
            MachineId("m-1".into()),
            MachineSummary {
                address: "127.0.0.1:9".to_owned(),
                epoch: 2,
                images: vec![("img".to_owned(), 2.5)],
            },
        )],
        removed_machines: Vec::new(),
    }
}

fn summary(term: u64, number: u64, full: bool, contents: SummaryContents) -> StateSummary {
    StateSummary {
        term: Term(term),
        member: "knot-1".to_owned(),
        number,
        full,
        contents,
    }
}

/// Guards against a state that goes back: a full summary that the network held up replaced the newer state, and
/// the changes after it were rejected until the next full one.
#[test]
fn late_full_summary_does_not_replace_a_newer_state() {
    let id = JobId::parse("wk-000001").unwrap();
    let mut cache = SummaryCache::default();
    assert!(cache.apply(summary(3, 8, true, contents(1))));
    assert!(cache.apply(summary(3, 9, false, contents(2))));
    cache.apply(summary(3, 8, true, contents(1)));
    assert_eq!(cache.task_counts[&id], (2, 5));
    assert!(cache.apply(summary(3, 10, false, contents(3))));
    assert_eq!(cache.task_counts[&id], (3, 5));
}

/// After a lost summary, or one of an older leader, the cache must not mix entries of different states.
#[test]
fn changes_are_applied_only_directly_after_the_previous_summary() {
    let id = JobId::parse("wk-000001").unwrap();
    let mut cache = SummaryCache::default();
    assert!(
        !cache.apply(summary(3, 7, false, contents(1))),
        "changes before any full summary are rejected"
    );
    assert!(cache.apply(summary(3, 8, true, contents(1))));
    assert!(cache.apply(summary(3, 9, false, contents(2))));
    assert_eq!(cache.task_counts[&id], (2, 5));
    assert!(
        !cache.apply(summary(3, 11, false, contents(4))),
        "changes after a missing summary are rejected"
    );
    assert!(
        !cache.apply(summary(2, 10, true, contents(4))),
        "a summary of an older term is rejected"
    );
    let mut last = SummaryContents::default();
    last.ended_jobs.push(id.clone());
    last.removed_machines.push(MachineId("m-1".into()));
    assert!(cache.apply(summary(3, 10, false, last)));
    assert!(cache.task_counts.is_empty() && cache.machines.is_empty());
    assert!(
        cache.apply(summary(4, 1, true, contents(1))),
        "a full summary of a new term is applied"
    );
    assert_eq!(cache.task_counts[&id], (1, 5));
}

#[test]
fn summary_is_decoded_as_encoded_and_malformed_bytes_are_rejected() {
    let summary = StateSummary {
        term: Term(3),
        member: "knot-1".to_owned(),
        number: 7,
        full: true,
        contents: contents(2),
    };
    let bytes = encode(&summary).unwrap();
    assert_eq!(decode::<StateSummary>(&bytes), Some(summary));
    assert_eq!(decode::<StateSummary>(&bytes[..bytes.len() - 1]), None);
    assert_eq!(decode::<StateSummary>(&[0xff; 64]), None);
}
