//! Tests of [`super`].

use super::*;

fn message() -> RowMessage {
    let encode = |names: &[&str]| WorkerSet::from_names(names.iter().copied()).to_bytes();
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
        reporting_workers: encode(&["m-000001", "m-000002"]),
        reachable_workers: encode(&["m-000001"]),
    }
}

#[test]
fn row_decodes_to_the_encoded_values() {
    let row = Row::from_message(message()).unwrap();
    assert_eq!(
        (row.reporting_workers.len(), row.reachable_workers.len()),
        (2, 1)
    );
    assert_eq!(row.to_message(), message());
    assert!(row.reaches("knot-0") && !row.reaches("knot-2") && !row.reaches("knot-9"));
}

#[test]
fn store_is_usable_with_reads_and_without_evidence_against_writes() {
    let is_usable = |change: fn(&mut RowMessage)| {
        let mut message = message();
        change(&mut message);
        Row::from_message(message).unwrap().store_usable()
    };
    assert!(is_usable(|_| ()));
    assert!(!is_usable(|m| m.store_read = LinkStatus::UNKNOWN));
    assert!(!is_usable(|m| m.store_read.suppressed = true));
    assert!(!is_usable(|m| m.store_write.state = LinkState::Down));
    assert!(!is_usable(|m| m.store_write.suppressed = true));
    assert!(is_usable(|m| m.store_write.state = LinkState::Suspect));
}

#[test]
fn row_with_unknown_version_or_malformed_worker_set_is_rejected() {
    let mut unknown_version = message();
    unknown_version.version = ROW_VERSION + 1;
    assert_eq!(
        Row::from_message(unknown_version),
        Err(RowRejection::UnknownVersion(2))
    );
    let mut malformed = message();
    malformed.reachable_workers.pop();
    assert_eq!(Row::from_message(malformed), Err(RowRejection::Malformed));
}
