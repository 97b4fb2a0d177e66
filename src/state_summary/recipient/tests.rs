//! Tests of [`super`].

use super::*;

/// A full summary holds all machines: a node that has the one before gets none, however its responses
/// are delayed.
#[test]
fn no_full_summary_goes_to_a_node_that_has_the_one_before() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut peer = SummaryRecipient::default();
    let mut full = Vec::new();
    // Its responses come three seconds late: to the summaries 1 to 3 it answers that it misses the base.
    for second in 1..=60 {
        if second > 3 {
            let number = second - 3;
            let had_full = full.first().is_some_and(|first| number >= *first);
            peer.record_reply(number, !had_full);
        }
        if peer.needs_full(at(second)) {
            peer.record_full_summary(second, at(second));
            full.push(second);
        }
    }
    assert_eq!(
        full,
        [4],
        "once, though four responses said that it misses it"
    );

    // One that never applies it is sent it again, at intervals.
    let mut peer = SummaryRecipient::default();
    let mut full = 0;
    for second in 1..=60 {
        peer.record_reply(second, true);
        if peer.needs_full(at(second)) {
            peer.record_full_summary(second, at(second));
            full += 1;
        }
    }
    assert_eq!(full, 12, "every five seconds at most");
}
