//! Tests of [`super`].

use super::*;
use crate::test_support::{timing, DETECTION_PARAMS};

struct Service {
    read: Link,
    write: Link,
    gate: PlacementGate,
    start: Instant,
}

impl Service {
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

    /// Requests sent and answered, or not, in this second.
    fn second(&mut self, at: u64, reads: bool, writes: bool) -> Option<GateRefusal> {
        for tenth in 0..10 {
            let now = self.start + Duration::from_millis(at * 1_000 + tenth * 100);
            for (link, works) in [(&mut self.read, reads), (&mut self.write, writes)] {
                if works {
                    link.success(now, now);
                } else {
                    link.failure(now, now);
                }
            }
            self.gate.evaluate(&self.read, &self.write, now);
        }
        self.gate.verdict().refusal
    }
}

#[test]
fn the_gate_is_open_without_evidence_against_a_link() {
    let service = Service::new();
    assert_eq!(service.gate.verdict().refusal, None);
}

#[test]
fn the_gate_refuses_when_writes_or_reads_fail() {
    for (reads, writes, expected) in [
        (true, false, GateRefusal::Unwritable),
        (false, true, GateRefusal::Unreadable),
        (false, false, GateRefusal::Unreadable),
    ] {
        let mut service = Service::new();
        assert_eq!(service.second(0, true, true), None);
        assert_eq!(service.second(1, reads, writes), Some(expected));
        assert_eq!(service.second(2, true, true), None, "once is no flapping");
    }
}

#[test]
fn the_gate_refuses_while_a_flapping_link_is_suppressed() {
    let mut service = Service::new();
    for round in 0..5 {
        service.second(round * 4, true, true);
        service.second(round * 4 + 2, true, false);
    }
    assert_eq!(service.second(20, true, true), Some(GateRefusal::Flapping));
    assert_eq!(service.second(60, true, true), None);
    let now = service.start + Duration::from_secs(61);
    let refused = service.gate.refused_for(now);
    assert!(refused > Duration::from_secs(20) && refused < Duration::from_secs(61));
}
