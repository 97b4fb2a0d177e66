//! Tests of [`super`].

use super::*;

/// A full summary holds all machines. A peer that has received one must not be sent another because of
/// delayed responses to earlier summaries.
#[test]
fn full_summary_is_sent_once_despite_delayed_responses_and_repeated_until_applied() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut peer = SummaryRecipient::default();
    let mut full_numbers = Vec::new();
    // The peer's responses arrive after three seconds. Those to summaries 1 to 3, which precede the first full
    // one, report that the peer is out of sync.
    for second in 1..=60 {
        if second > 3 {
            let number = second - 3;
            let had_full = full_numbers.first().is_some_and(|first| number >= *first);
            peer.record_reply(number, !had_full);
        }
        if peer.needs_full(at(second)) {
            peer.record_full_summary(second, at(second));
            full_numbers.push(second);
        }
    }
    assert_eq!(
        full_numbers,
        [4],
        "one full summary, although three responses reported that the peer is out of sync"
    );

    // A peer that never applies a full summary is sent one at each interval.
    let mut peer = SummaryRecipient::default();
    let mut full_count = 0;
    for second in 1..=60 {
        peer.record_reply(second, true);
        if peer.needs_full(at(second)) {
            peer.record_full_summary(second, at(second));
            full_count += 1;
        }
    }
    assert_eq!(full_count, 12, "one full summary every five seconds");
}
