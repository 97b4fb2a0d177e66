//! Tests of [`super`].

use super::*;
use crate::test_support::{timing, DETECTION_PARAMS};

/// A link whose times are in milliseconds since its creation.
struct ObservedLink {
    link: Link,
    start: Instant,
}

impl ObservedLink {
    fn new(message_interval: Option<Duration>) -> Self {
        let start = Instant::now();
        let link = Link::new(DETECTION_PARAMS, &timing(), message_interval, start);
        Self { link, start }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn record_success(&mut self, sent_ms: u64, now_ms: u64) -> LinkState {
        let (sent_at, now) = (self.at(sent_ms), self.at(now_ms));
        self.link.record_success(sent_at, now);
        self.link.state()
    }

    fn record_failure(&mut self, sent_ms: u64, now_ms: u64) -> LinkState {
        let (sent_at, now) = (self.at(sent_ms), self.at(now_ms));
        self.link.record_failure(sent_at, now);
        self.link.state()
    }

    fn evaluate(&mut self, now_ms: u64) -> LinkState {
        let now = self.at(now_ms);
        self.link.evaluate(now);
        self.link.state()
    }
}

/// A response that arrives late does not show that the link still works after the failures.
#[test]
fn link_goes_down_after_two_failures_and_up_after_a_success_sent_later() {
    let mut observed = ObservedLink::new(None);
    assert_eq!(observed.evaluate(0), LinkState::Unknown);
    assert_eq!(observed.record_success(0, 10), LinkState::Up);
    assert_eq!(observed.record_failure(100, 1_600), LinkState::Suspect);
    assert_eq!(observed.record_failure(200, 1_700), LinkState::Down);
    // This request was sent before the failed ones, and its response arrived late.
    assert_eq!(observed.record_success(50, 1_800), LinkState::Down);
    assert_eq!(observed.record_success(1_750, 1_900), LinkState::Up);
    assert!(observed.link.is_usable());
}

/// If only some of several concurrent requests are lost, the responses to the others show that the link
/// works.
#[test]
fn failure_is_ignored_if_a_request_sent_later_succeeded() {
    let mut observed = ObservedLink::new(None);
    observed.record_success(0, 10);
    for second in 0..20 {
        let sent_ms = 1_000 * second;
        observed.record_success(sent_ms + 500, sent_ms + 510);
        assert_eq!(
            observed.record_failure(sent_ms, sent_ms + 1_500),
            LinkState::Up
        );
    }
    assert!(!observed.link.is_suppressed());
}

/// Requests on demand may be hours apart, so their absence must not take a link down.
#[test]
fn absence_of_messages_takes_a_link_down_only_if_its_messages_are_regular() {
    let mut regular = ObservedLink::new(Some(Duration::from_secs(1)));
    let mut on_demand = ObservedLink::new(None);
    for second in 0..10 {
        regular.record_success(second * 1_000, second * 1_000);
        on_demand.record_success(second * 1_000, second * 1_000);
    }
    assert_eq!(regular.evaluate(9_500), LinkState::Up);
    assert_eq!(regular.evaluate(20_000), LinkState::Down);
    assert_eq!(on_demand.evaluate(3_600_000), LinkState::Up);
}

#[test]
fn link_is_suspect_before_it_is_down() {
    let mut observed = ObservedLink::new(Some(Duration::from_secs(1)));
    for second in 0..10 {
        observed.record_success(second * 1_000, second * 1_000);
    }
    let states: Vec<LinkState> = (0..60)
        .map(|tenth| observed.evaluate(9_000 + tenth * 100))
        .collect();
    let mut sequence = states.clone();
    sequence.dedup();
    let expected = [LinkState::Up, LinkState::Suspect, LinkState::Down];
    assert_eq!(sequence, expected, "{states:?}");
}

/// The link alternates between 3 s up and 3 s down. Without damping it would be used again in each period.
#[test]
fn flapping_link_counts_as_down_until_it_has_been_stable() {
    let mut observed = ObservedLink::new(None);
    let mut up_and_suppressed = 0;
    for period in 0..10 {
        let base_ms = period * 6_000;
        assert_eq!(
            observed.record_success(base_ms, base_ms + 10),
            LinkState::Up
        );
        up_and_suppressed += u32::from(observed.link.is_suppressed());
        observed.record_failure(base_ms + 3_000, base_ms + 4_500);
        assert_eq!(
            observed.record_failure(base_ms + 3_500, base_ms + 5_000),
            LinkState::Down
        );
    }
    assert!(
        up_and_suppressed >= 6,
        "suppressed in {up_and_suppressed} of 10 periods"
    );
    assert_eq!(observed.record_success(60_000, 60_010), LinkState::Up);
    assert!(observed.link.counts_as_down() && !observed.link.is_usable());
    observed.evaluate(60_000 + 36_000);
    assert!(
        observed.link.is_usable(),
        "the link has been stable for 36 s"
    );
}

#[test]
fn flapping_link_is_usable_while_up_if_damping_is_disabled() {
    let start = Instant::now();
    let params = DetectionParams {
        damping_enabled: false,
        ..DETECTION_PARAMS
    };
    let mut link = Link::new(params, &timing(), None, start);
    for period in 0..20 {
        let at = |ms: u64| start + Duration::from_millis(period * 2_000 + ms);
        link.record_success(at(0), at(1));
        assert!(link.is_usable());
        link.record_failure(at(1_000), at(1_100));
        link.record_failure(at(1_200), at(1_300));
        assert!(!link.is_usable());
    }
}

#[test]
fn transition_is_returned_only_by_the_call_that_causes_it() {
    let mut observed = ObservedLink::new(None);
    let (sent_at, now) = (observed.at(0), observed.at(10));
    let first = observed.link.record_success(sent_at, now);
    let to_up = Transition {
        from: LinkState::Unknown,
        to: LinkState::Up,
        suppressed: false,
    };
    assert_eq!(first, Some(to_up));
    for ms in 1..100 {
        let at = observed.at(ms * 10);
        assert_eq!(observed.link.record_success(at, at), None);
    }
}

/// A controller receives no messages while its process is paused, so their absence says nothing about the
/// link.
#[test]
fn pause_of_the_process_is_no_evidence_against_a_link() {
    let mut observed = ObservedLink::new(Some(Duration::from_secs(1)));
    for second in 0..10 {
        observed.record_success(second * 1_000, second * 1_000);
    }
    let now = observed.at(70_000);
    observed.link.resume_after_pause(now);
    assert_eq!(observed.link.state(), LinkState::Up);
    assert_eq!(
        observed.link.last_success_sent_at(),
        Some(observed.at(9_000)),
        "the time of the evidence does not change"
    );
    assert_eq!(observed.evaluate(90_000), LinkState::Down);
}
