//! Tests of [`super`].

use super::*;

/// The load balancer must avoid an isolated controller. In an outage that affects all controllers it must
/// avoid none of them, because each would be excluded for seconds after the end of the outage.
#[test]
fn controller_is_isolated_if_a_peer_has_contact_or_no_peer_responds() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut responding = PeerContacts::default();
    responding.record_probe(start);
    responding.record_result(PeerContactResult::Disconnected, at(5));
    assert!(
        !responding.is_isolated(at(6)),
        "a peer has no contact either"
    );
    responding.record_result(PeerContactResult::Connected, at(7));
    assert!(responding.is_isolated(at(8)), "another peer has contact");
    let mut unresponsive = PeerContacts::default();
    assert!(!unresponsive.is_isolated(at(100)), "no peer was probed");
    unresponsive.record_probe(start);
    assert!(
        !unresponsive.is_isolated(at(1)),
        "responses may still arrive"
    );
    assert!(unresponsive.is_isolated(at(5)), "no peer has responded");
    unresponsive.record_result(PeerContactResult::Refused, at(5));
    assert!(
        !unresponsive.is_isolated(at(6)),
        "a connection refused by a packet filter is no evidence of isolation"
    );
}
