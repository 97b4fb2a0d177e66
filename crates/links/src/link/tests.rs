//! Tests of [`super`].

use super::*;
use crate::test_support::{timing, DETECTION_PARAMS};

/// A link with a clock in milliseconds.
struct ObservedLink {
    link: Link,
    start: Instant,
}

impl ObservedLink {
    fn new(regular: Option<Duration>) -> Self {
        let start = Instant::now();
        let link = Link::new(DETECTION_PARAMS, &timing(), regular, start);
        Self { link, start }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn success(&mut self, sent: u64, now: u64) -> LinkState {
        let (sent, now) = (self.at(sent), self.at(now));
        self.link.success(sent, now);
        self.link.state()
    }

    fn failure(&mut self, sent: u64, now: u64) -> LinkState {
        let (sent, now) = (self.at(sent), self.at(now));
        self.link.failure(sent, now);
        self.link.state()
    }

    fn look(&mut self, now: u64) -> LinkState {
        let now = self.at(now);
        self.link.evaluate(now);
        self.link.state()
    }
}

#[test]
fn two_consecutive_failures_take_a_link_down_and_a_later_success_restores_it() {
    let mut observed = ObservedLink::new(None);
    assert_eq!(observed.look(0), LinkState::Unknown);
    assert_eq!(observed.success(0, 10), LinkState::Up);
    assert_eq!(observed.failure(100, 1_600), LinkState::Suspect);
    assert_eq!(observed.failure(200, 1_700), LinkState::Down);
    // Sent before the failures, and only its answer was late.
    assert_eq!(observed.success(50, 1_800), LinkState::Down);
    assert_eq!(observed.success(1_750, 1_900), LinkState::Up);
    assert!(observed.link.usable());
}

/// Of requests side by side some are lost; the others show that the link is there.
#[test]
fn a_failure_is_ignored_if_a_request_sent_later_succeeded() {
    let mut observed = ObservedLink::new(None);
    observed.success(0, 10);
    for n in 0..20 {
        let sent = 1_000 * n;
        observed.success(sent + 500, sent + 510);
        assert_eq!(observed.failure(sent, sent + 1_500), LinkState::Up);
    }
    assert!(!observed.link.suppressed());
}

#[test]
fn silence_takes_a_link_down_only_if_it_is_used_regularly() {
    let mut regular = ObservedLink::new(Some(Duration::from_secs(1)));
    let mut on_demand = ObservedLink::new(None);
    for second in 0..10 {
        regular.success(second * 1_000, second * 1_000);
        on_demand.success(second * 1_000, second * 1_000);
    }
    assert_eq!(regular.look(9_500), LinkState::Up);
    assert_eq!(regular.look(20_000), LinkState::Down);
    assert_eq!(on_demand.look(3_600_000), LinkState::Up);
}

#[test]
fn a_link_is_suspect_before_it_is_down() {
    let mut observed = ObservedLink::new(Some(Duration::from_secs(1)));
    for second in 0..10 {
        observed.success(second * 1_000, second * 1_000);
    }
    let states: Vec<LinkState> = (0..60).map(|t| observed.look(9_000 + t * 100)).collect();
    let mut seen = states.clone();
    seen.dedup();
    let expected = [LinkState::Up, LinkState::Suspect, LinkState::Down];
    assert_eq!(seen, expected, "{states:?}");
}

/// Up for three seconds and down for three, again and again.
#[test]
fn a_flapping_link_counts_as_down_until_it_is_stable() {
    let mut observed = ObservedLink::new(None);
    let mut up_and_suppressed = 0;
    for round in 0..10 {
        let base = round * 6_000;
        assert_eq!(observed.success(base, base + 10), LinkState::Up);
        up_and_suppressed += u32::from(observed.link.suppressed());
        observed.failure(base + 3_000, base + 4_500);
        assert_eq!(
            observed.failure(base + 3_500, base + 5_000),
            LinkState::Down
        );
    }
    assert!(up_and_suppressed >= 6, "{up_and_suppressed}");
    assert_eq!(observed.success(60_000, 60_010), LinkState::Up);
    assert!(observed.link.counts_as_down() && !observed.link.usable());
    observed.look(60_000 + 36_000);
    assert!(observed.link.usable(), "quiet for long enough");
}

#[test]
fn without_damping_a_flapping_link_is_usable_while_up() {
    let start = Instant::now();
    let judgement = DetectionParams {
        damping_enabled: false,
        ..DETECTION_PARAMS
    };
    let mut link = Link::new(judgement, &timing(), None, start);
    for round in 0..20 {
        let at = |ms: u64| start + Duration::from_millis(round * 2_000 + ms);
        link.success(at(0), at(1));
        assert!(link.usable());
        link.failure(at(1_000), at(1_100));
        link.failure(at(1_200), at(1_300));
        assert!(!link.usable());
    }
}

#[test]
fn a_transition_is_returned_once() {
    let mut observed = ObservedLink::new(None);
    let (a, b) = (observed.at(0), observed.at(10));
    let first = observed.link.success(a, b);
    let up = Transition {
        from: LinkState::Unknown,
        to: LinkState::Up,
        suppressed: false,
    };
    assert_eq!(first, Some(up));
    for ms in 1..100 {
        let at = observed.at(ms * 10);
        assert_eq!(observed.link.success(at, at), None);
    }
}

/// A controller that stood still was not there to hear anybody.
#[test]
fn a_pause_of_the_process_is_no_evidence() {
    let mut observed = ObservedLink::new(Some(Duration::from_secs(1)));
    for second in 0..10 {
        observed.success(second * 1_000, second * 1_000);
    }
    let now = observed.at(70_000);
    observed.link.forget(now);
    assert_eq!(observed.link.state(), LinkState::Up);
    assert_eq!(
        observed.link.last_success_sent_at(),
        Some(observed.at(9_000)),
        "its age is kept"
    );
    assert_eq!(observed.look(90_000), LinkState::Down);
}
