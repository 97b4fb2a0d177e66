//! Tests of [`super`].

use super::*;
use crate::peer::{decode, encode};

fn contents(done: u32) -> SummaryContents {
    SummaryContents {
        counts: vec![Counts {
            id: JobId::parse("wk-000001").unwrap(),
            done,
            running: 5,
        }],
        over: Vec::new(),
        hints: vec![(
            MachineId("m-1".into()),
            MachineHint {
                address: "127.0.0.1:9".to_owned(),
                epoch: 2,
                images: vec![("img".to_owned(), 2.5)],
            },
        )],
        gone: Vec::new(),
    }
}

/// A digest that was lost, or one of an older leader, must not leave a mixture.
#[test]
fn a_digest_of_changes_is_taken_only_on_top_of_the_one_before() {
    let summary = |term, number, full, contents| StateSummary {
        term: Term(term),
        member: "knot-1".to_owned(),
        number,
        full,
        contents,
    };
    let id = JobId::parse("wk-000001").unwrap();
    let mut told = SummaryCache::default();
    assert!(!told.take(summary(3, 7, false, contents(1))), "no base yet");
    assert!(told.take(summary(3, 8, true, contents(1))));
    assert!(told.take(summary(3, 9, false, contents(2))));
    assert_eq!(told.counts[&id], (2, 5));
    assert!(
        !told.take(summary(3, 11, false, contents(4))),
        "one is missing"
    );
    assert!(
        !told.take(summary(2, 10, true, contents(4))),
        "an older leader's"
    );
    let mut last = SummaryContents::default();
    last.over.push(id.clone());
    last.gone.push(MachineId("m-1".into()));
    assert!(told.take(summary(3, 10, false, last)));
    assert!(told.counts.is_empty() && told.hints.is_empty());
    assert!(told.take(summary(4, 1, true, contents(1))), "a new term");
    assert_eq!(told.counts[&id], (1, 5));
}

#[test]
fn a_digest_arrives_as_it_was_sent_and_rubbish_does_not() {
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

/// Every digest of everything holds all machines: a node that has the one before gets none, however
/// its answers are delayed.
#[test]
fn no_digest_of_everything_goes_to_a_node_that_has_the_one_before() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut peer = SummaryRecipient::default();
    let mut full = Vec::new();
    // Its answers come three seconds late: to the digests 1 to 3 it says that it lacks the base.
    for second in 1..=60 {
        if second > 3 {
            let number = second - 3;
            let had_full = full.first().is_some_and(|first| number >= *first);
            peer.answered(number, !had_full);
        }
        if peer.wants_full(at(second)) {
            peer.full_sent(second, at(second));
            full.push(second);
        }
    }
    assert_eq!(full, [4], "once, though four answers said that it lacks it");

    // One that never takes it is told again, at intervals.
    let mut peer = SummaryRecipient::default();
    let mut full = 0;
    for second in 1..=60 {
        peer.answered(second, true);
        if peer.wants_full(at(second)) {
            peer.full_sent(second, at(second));
            full += 1;
        }
    }
    assert_eq!(full, 12, "every five seconds at most");
}
