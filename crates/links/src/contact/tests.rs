//! Tests of [`super`].

use super::*;

/// The load balancer must avoid an isolated controller. In an outage that affects all controllers it must
/// avoid none of them, because each would be excluded for seconds after the end of the outage.
#[test]
fn controller_is_isolated_if_a_peer_has_contact_or_no_peer_answers() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut answered = PeerContacts::default();
    answered.record_probe(start);
    answered.record_result(PeerContactResult::Disconnected, at(5));
    assert!(!answered.is_isolated(at(6)), "a peer has no contact either");
    answered.record_result(PeerContactResult::Connected, at(7));
    assert!(answered.is_isolated(at(8)), "another peer has contact");
    let mut unanswered = PeerContacts::default();
    assert!(!unanswered.is_isolated(at(100)), "no peer was probed");
    unanswered.record_probe(start);
    assert!(!unanswered.is_isolated(at(1)), "answers may still arrive");
    assert!(unanswered.is_isolated(at(5)), "no peer has answered");
    unanswered.record_result(PeerContactResult::Refused, at(5));
    assert!(
        !unanswered.is_isolated(at(6)),
        "a connection refused by a packet filter is no evidence of isolation"
    );
}
