//! Tests of [`super`].

use super::*;
use crate::test_support::{timing, DETECTION_PARAMS};

struct GatedLinks {
    read: Link,
    write: Link,
    gate: PlacementGate,
    start: Instant,
}

impl GatedLinks {
    fn new() -> Self {
        let start = Instant::now();
        let link = || Link::new(DETECTION_PARAMS, &timing(), None, start);
        Self {
            read: link(),
            write: link(),
            gate: PlacementGate::new(start),
            start,
        }
    }

    /// Records ten requests per link in this second, with the given outcomes, and returns the refusal.
    fn record_second(
        &mut self,
        second: u64,
        reads_succeed: bool,
        writes_succeed: bool,
    ) -> Option<GateRefusal> {
        for tenth in 0..10 {
            let now = self.start + Duration::from_millis(second * 1_000 + tenth * 100);
            for (link, succeeds) in [
                (&mut self.read, reads_succeed),
                (&mut self.write, writes_succeed),
            ] {
                if succeeds {
                    link.record_success(now, now);
                } else {
                    link.record_failure(now, now);
                }
            }
            self.gate.evaluate(&self.read, &self.write, now);
        }
        self.gate.decision().refusal
    }
}

#[test]
fn gate_is_open_without_evidence_against_a_link() {
    let links = GatedLinks::new();
    assert_eq!(links.gate.decision().refusal, None);
}

#[test]
fn gate_refuses_while_reads_or_writes_fail() {
    for (reads_succeed, writes_succeed, expected) in [
        (true, false, GateRefusal::Unwritable),
        (false, true, GateRefusal::Unreadable),
        (false, false, GateRefusal::Unreadable),
    ] {
        let mut links = GatedLinks::new();
        assert_eq!(links.record_second(0, true, true), None);
        assert_eq!(
            links.record_second(1, reads_succeed, writes_succeed),
            Some(expected)
        );
        assert_eq!(
            links.record_second(2, true, true),
            None,
            "a link with a single loss is not flapping"
        );
    }
}

/// Transactions succeed for 2 s and fail for 2 s. Without damping the gate would open and close every 2 s.
#[test]
fn gate_refuses_while_a_flapping_link_is_suppressed() {
    let mut links = GatedLinks::new();
    for cycle in 0..5 {
        links.record_second(cycle * 4, true, true);
        links.record_second(cycle * 4 + 2, true, false);
    }
    assert_eq!(
        links.record_second(20, true, true),
        Some(GateRefusal::Flapping)
    );
    assert_eq!(links.record_second(60, true, true), None);
    let now = links.start + Duration::from_secs(61);
    let refused_for = links.gate.refused_for(now);
    assert!(refused_for > Duration::from_secs(20) && refused_for < Duration::from_secs(61));
}
