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
    settings.known = vec![Peer {
        member: "knot-1".to_owned(),
        area: String::new(),
        peer_addr: "127.0.0.1:1".parse().unwrap(),
    }];
    let links = Some(LinkFeatures::default());
    Shared::with_features(settings, Features { links })
}

fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn message(sequence: u64) -> RowMessage {
    let nobody = WorkerSet::default().to_bytes();
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
        workers_heard: nobody.clone(),
        workers_reached: nobody,
    }
}

fn take(shared: &Shared, bytes: &[u8]) -> Result<RowReply, RowRejection> {
    take_bytes(
        shared.links.active().unwrap(),
        bytes,
        Instant::now(),
        wall(),
    )
}

#[test]
fn a_row_is_taken_once_and_whatever_is_wrong_changes_nothing() {
    let shared = shared();
    let active = shared.links.active().unwrap();
    let good = encode(&message(2)).unwrap();
    assert_eq!(
        take(&shared, &good),
        Ok(RowReply {
            newest_incarnation: 5
        })
    );
    assert_eq!(take(&shared, &good), Err(RowRejection::NotNewer));
    let earlier = encode(&message(1)).unwrap();
    assert_eq!(take(&shared, &earlier), Err(RowRejection::NotNewer));
    let next = encode(&message(3)).unwrap();
    for end in 0..next.len() {
        assert_eq!(
            take(&shared, &next[..end]),
            Err(RowRejection::Malformed),
            "{end}"
        );
    }
    let longer = [&next[..], &[0]].concat();
    assert_eq!(take(&shared, &longer), Err(RowRejection::Malformed));
    let mut other = message(4);
    other.version = 9;
    let other = encode(&other).unwrap();
    assert_eq!(take(&shared, &other), Err(RowRejection::UnknownVersion(9)));
    let mut stranger = message(5);
    stranger.member = "knot-7".to_owned();
    let stranger = encode(&stranger).unwrap();
    assert_eq!(take(&shared, &stranger), Err(RowRejection::UnknownMember));
    let mut old = message(6);
    old.sent_at_ms -= 60_000;
    let old = encode(&old).unwrap();
    assert_eq!(take(&shared, &old), Err(RowRejection::TooOld));
    let matrix = active.matrix.lock();
    let kept = matrix.row("knot-1", Instant::now()).unwrap();
    assert_eq!(kept.message.sequence, 2);
    drop(matrix);
    assert_eq!(active.rows_accepted.load(Ordering::Relaxed), 1);
    assert!(next.len() < ROW_BYTES_MAX);
}

/// The clock of the host went back between two lives of a process: without being told, its rows would be
/// refused until the clock has caught up.
#[test]
fn a_process_whose_clock_went_back_takes_an_incarnation_above_its_former_one() {
    let shared = shared();
    let active = shared.links.active().unwrap();
    take(&shared, &encode(&message(2)).unwrap()).unwrap();
    let mut reborn = message(1);
    reborn.incarnation = 3;
    let reply = take(&shared, &encode(&reborn).unwrap()).unwrap();
    assert_eq!(reply.newest_incarnation, 5, "refused, and told why");
    let now = Instant::now();
    let incarnation = active.next_row(None, now, wall()).message.incarnation;
    active.handle_row_reply(RowReply {
        newest_incarnation: incarnation,
    });
    assert_eq!(
        active.next_row(None, now, wall()).message.incarnation,
        incarnation,
        "its own"
    );
    active.handle_row_reply(RowReply {
        newest_incarnation: incarnation + 7,
    });
    assert_eq!(
        active.next_row(None, now, wall()).message.incarnation,
        incarnation + 8
    );
}
