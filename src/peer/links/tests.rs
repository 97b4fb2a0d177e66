//! Tests of [`super`].

use std::sync::atomic::Ordering;
use std::time::Duration;

use knotlanding_links::row::{LinkStatus, ROW_BYTES_MAX};
use knotlanding_links::workers::WorkerSet;

use super::*;
use crate::config::{Peer, Settings};
use crate::features::{Features, LinkFeatures};
use crate::service::Shared;

fn shared() -> std::sync::Arc<Shared> {
    let text = include_str!("../../../deploy/example.toml");
    let mut settings = Settings::parse(text, "example").unwrap();
    settings.peers = vec![Peer {
        member: "knot-1".to_owned(),
        zone: String::new(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    }];
    let links = Some(LinkFeatures::default());
    Shared::with_features(settings, Features { links })
}

fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn message(sequence: u64) -> RowMessage {
    let no_workers = WorkerSet::default().to_bytes();
    RowMessage {
        version: ROW_VERSION,
        member: "knot-1".to_owned(),
        incarnation: 5,
        sequence,
        sent_at_ms: unix_ms(wall()),
        leads_term: None,
        store_read: LinkStatus::UNKNOWN,
        store_write: LinkStatus::UNKNOWN,
        peers: Vec::new(),
        reporting_workers: no_workers.clone(),
        reachable_workers: no_workers,
    }
}

fn accept(shared: &Shared, bytes: &[u8]) -> Result<RowReply, RowRejection> {
    accept_encoded_row(
        shared.links.active().unwrap(),
        bytes,
        Instant::now(),
        wall(),
    )
}

#[test]
fn row_is_accepted_once_and_invalid_rows_change_nothing() {
    let shared = shared();
    let active = shared.links.active().unwrap();
    let good = encode(&message(2)).unwrap();
    assert_eq!(
        accept(&shared, &good),
        Ok(RowReply {
            newest_incarnation: 5
        })
    );
    assert_eq!(accept(&shared, &good), Err(RowRejection::NotNewer));
    let earlier = encode(&message(1)).unwrap();
    assert_eq!(accept(&shared, &earlier), Err(RowRejection::NotNewer));
    let next = encode(&message(3)).unwrap();
    for end in 0..next.len() {
        assert_eq!(
            accept(&shared, &next[..end]),
            Err(RowRejection::Malformed),
            "{end}"
        );
    }
    let longer = [&next[..], &[0]].concat();
    assert_eq!(accept(&shared, &longer), Err(RowRejection::Malformed));
    let mut newer_version = message(4);
    newer_version.version = 9;
    let newer_version = encode(&newer_version).unwrap();
    assert_eq!(
        accept(&shared, &newer_version),
        Err(RowRejection::UnknownVersion(9))
    );
    let mut from_unknown_member = message(5);
    from_unknown_member.member = "knot-7".to_owned();
    let from_unknown_member = encode(&from_unknown_member).unwrap();
    assert_eq!(
        accept(&shared, &from_unknown_member),
        Err(RowRejection::UnknownMember)
    );
    let mut old = message(6);
    old.sent_at_ms -= 60_000;
    let old = encode(&old).unwrap();
    assert_eq!(accept(&shared, &old), Err(RowRejection::TooOld));
    let matrix = active.matrix.lock();
    let current = matrix.row("knot-1", Instant::now()).unwrap();
    assert_eq!(current.message.sequence, 2);
    drop(matrix);
    assert_eq!(active.rows_accepted.load(Ordering::Relaxed), 1);
    assert!(next.len() < ROW_BYTES_MAX);
}

/// The machine's clock is set back between two runs of a process, so the restarted process has a lower
/// incarnation. Without the newest incarnation in the response, its rows would be rejected until the clock
/// has passed the former value.
#[test]
fn process_with_clock_set_back_raises_its_incarnation_above_the_former_one() {
    let shared = shared();
    let active = shared.links.active().unwrap();
    accept(&shared, &encode(&message(2)).unwrap()).unwrap();
    let mut restarted = message(1);
    restarted.incarnation = 3;
    let reply = accept(&shared, &encode(&restarted).unwrap()).unwrap();
    assert_eq!(
        reply.newest_incarnation, 5,
        "the response contains the newest incarnation"
    );
    let now = Instant::now();
    let incarnation = active.next_row(None, now, wall()).message.incarnation;
    active.handle_row_reply(RowReply {
        newest_incarnation: incarnation,
    });
    assert_eq!(
        active.next_row(None, now, wall()).message.incarnation,
        incarnation,
        "the response with the current incarnation does not change it"
    );
    active.handle_row_reply(RowReply {
        newest_incarnation: incarnation + 7,
    });
    assert_eq!(
        active.next_row(None, now, wall()).message.incarnation,
        incarnation + 8
    );
}
