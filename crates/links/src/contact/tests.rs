//! Tests of [`super`].

use super::*;

/// The load balancer must avoid a controller that is isolated, and no controller in an outage that all
/// share: afterwards each of them would be missing for seconds.
#[test]
fn only_a_controller_that_is_disconnected_alone_is_isolated() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut shared = PeerContacts::default();
    shared.record_probe(start);
    shared.record_answer(PeerContactAnswer::Disconnected, at(5));
    assert!(
        !shared.is_isolated(at(6)),
        "all have lost the state service"
    );
    shared.record_answer(PeerContactAnswer::Connected, at(7));
    assert!(shared.is_isolated(at(8)), "another one has it");
    let mut unanswered = PeerContacts::default();
    assert!(!unanswered.is_isolated(at(100)), "no peer was probed");
    unanswered.record_probe(start);
    assert!(!unanswered.is_isolated(at(1)), "answers may be in flight");
    assert!(unanswered.is_isolated(at(5)), "no peer was reachable");
    unanswered.record_answer(PeerContactAnswer::Refused, at(5));
    assert!(
        !unanswered.is_isolated(at(6)),
        "a packet filter between controllers is no evidence"
    );
}
