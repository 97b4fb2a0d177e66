//! Tests of [`super`].

use super::*;

/// The load balancer must be told to go elsewhere by the node that is cut off, and by no
/// node in an outage that all share: after it, each would be missed for seconds.
#[test]
fn only_a_node_that_is_cut_off_alone_says_that_it_takes_no_requests() {
    let start = Instant::now();
    let at = |s: u64| start + Duration::from_secs(s);
    let mut shared = PeerContacts::default();
    shared.asked(start);
    shared.answered(PeerContactAnswer::Failing, at(5));
    assert!(!shared.we_alone(at(6)), "all have lost the state service");
    shared.answered(PeerContactAnswer::Fine, at(7));
    assert!(shared.we_alone(at(8)), "another one has it");
    let mut lonely = PeerContacts::default();
    assert!(!lonely.we_alone(at(100)), "nobody was asked");
    lonely.asked(start);
    assert!(!lonely.we_alone(at(1)), "answers may be on their way");
    assert!(lonely.we_alone(at(5)), "with its workers only");
    lonely.answered(PeerContactAnswer::Refused, at(5));
    assert!(
        !lonely.we_alone(at(6)),
        "a filter between the nodes proves nothing"
    );
}
