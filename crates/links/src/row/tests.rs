//! Tests of [`super`].

use super::*;

fn message() -> RowMessage {
    let set = |names: &[&str]| WorkerSet::from_names(names.iter().copied()).to_bytes();
    let up = LinkStatus {
        state: LinkState::Up,
        suppressed: false,
        evidence_age_ms: Some(40),
    };
    let peer = |member: &str, outbound| PeerLinks {
        member: member.to_owned(),
        outbound,
        inbound: up,
    };
    RowMessage {
        version: ROW_VERSION,
        member: "knot-1".to_owned(),
        incarnation: 7,
        sequence: 1,
        sent_at_ms: 1_000,
        leads_term: None,
        store_read: up,
        store_write: LinkStatus::UNKNOWN,
        peers: vec![peer("knot-0", up), peer("knot-2", LinkStatus::UNKNOWN)],
        reporting_workers: set(&["m-000001", "m-000002"]),
        reachable_workers: set(&["m-000001"]),
    }
}

#[test]
fn a_row_survives_a_round_trip() {
    let row = Row::from_message(message()).unwrap();
    assert_eq!(
        (row.reporting_workers.len(), row.reachable_workers.len()),
        (2, 1)
    );
    assert_eq!(row.to_message(), message());
    assert!(row.reaches("knot-0") && !row.reaches("knot-2") && !row.reaches("knot-9"));
}

#[test]
fn a_follower_needs_reads_but_no_write_for_a_usable_state_service() {
    let usable = |change: fn(&mut RowMessage)| {
        let mut message = message();
        change(&mut message);
        Row::from_message(message).unwrap().store_usable()
    };
    assert!(usable(|_| ()));
    assert!(!usable(|m| m.store_read = LinkStatus::UNKNOWN));
    assert!(!usable(|m| m.store_read.suppressed = true));
    assert!(!usable(|m| m.store_write.state = LinkState::Down));
    assert!(!usable(|m| m.store_write.suppressed = true));
    assert!(usable(|m| m.store_write.state = LinkState::Suspect));
}

#[test]
fn other_versions_and_malformed_sets_are_rejected() {
    let mut other = message();
    other.version = ROW_VERSION + 1;
    assert_eq!(
        Row::from_message(other),
        Err(RowRejection::UnknownVersion(2))
    );
    let mut broken = message();
    broken.reachable_workers.pop();
    assert_eq!(Row::from_message(broken), Err(RowRejection::Malformed));
}
