//! Tests of [`super`].

use super::*;
use crate::link::LinkState;
use crate::row::{LinkStatus, PeerLinks, RowMessage, ROW_VERSION};
use crate::test_support::timing;

const NOW_MS: u64 = 1_800_000_000_000;

fn matrix() -> ConnectivityMatrix {
    let members = ["knot-1", "knot-2"].map(str::to_owned);
    ConnectivityMatrix::new(members.into_iter(), timing())
}

fn row(member: &str, incarnation: u64, sequence: u64, workers: &[&str]) -> Row {
    let up = LinkStatus {
        state: LinkState::Up,
        suppressed: false,
        evidence_age_ms: Some(0),
    };
    let others = ["knot-0", "knot-1", "knot-2"].into_iter();
    let others = others.filter(|other| *other != member);
    let peers = others.map(|other| PeerLinks {
        member: other.to_owned(),
        outbound: up,
        inbound: up,
    });
    Row {
        message: RowMessage {
            version: ROW_VERSION,
            member: member.to_owned(),
            incarnation,
            sequence,
            sent_at_ms: NOW_MS,
            leads_term: None,
            store_read: up,
            store_write: up,
            peers: peers.collect(),
            reporting_workers: Vec::new(),
            reachable_workers: Vec::new(),
        },
        reporting_workers: WorkerSet::from_names(workers.iter().copied()),
        reachable_workers: WorkerSet::default(),
    }
}

/// The network may duplicate or reorder rows, and a former process may still have rows in flight.
#[test]
fn duplicate_reordered_or_unknown_rows_are_rejected_and_change_nothing() {
    let (mut matrix, now) = (matrix(), Instant::now());
    let accept = |matrix: &mut ConnectivityMatrix, incarnation, sequence| {
        matrix.accept_row(
            row("knot-1", incarnation, sequence, &["m-000001"]),
            now,
            NOW_MS,
        )
    };
    assert_eq!(accept(&mut matrix, 5, 2), Ok(()));
    assert_eq!(accept(&mut matrix, 5, 2), Err(RowRejection::NotNewer));
    assert_eq!(accept(&mut matrix, 5, 1), Err(RowRejection::NotNewer));
    assert_eq!(
        accept(&mut matrix, 4, 90),
        Err(RowRejection::FormerIncarnation)
    );
    let current = matrix.row("knot-1", now).unwrap();
    assert_eq!(
        (current.message.incarnation, current.message.sequence),
        (5, 2)
    );
    assert_eq!(
        accept(&mut matrix, 6, 1),
        Ok(()),
        "a new incarnation starts its sequence at 1"
    );
    assert_eq!(matrix.newest_incarnation("knot-1"), 6);
    let unknown = matrix.accept_row(row("knot-9", 1, 1, &[]), now, NOW_MS);
    assert_eq!(unknown, Err(RowRejection::UnknownMember));
}

/// A delayed copy of a row must not count as the current state of the links.
#[test]
fn row_older_than_its_lifetime_and_the_clock_skew_is_rejected() {
    let (mut matrix, now) = (matrix(), Instant::now());
    let age_max_ms = timing().row_age_max().as_millis() as u64;
    let mut accept =
        |sequence, ms: u64| matrix.accept_row(row("knot-1", 1, sequence, &[]), now, NOW_MS + ms);
    assert_eq!(accept(1, age_max_ms + 1), Err(RowRejection::TooOld));
    assert_eq!(accept(1, age_max_ms), Ok(()));
    // The sender's clock is 50 ms ahead.
    let mut ahead = row("knot-1", 1, 2, &[]);
    ahead.message.sent_at_ms = NOW_MS + 50;
    assert_eq!(matrix.accept_row(ahead, now, NOW_MS), Ok(()));
}

#[test]
fn expired_row_is_not_returned_and_still_rejects_older_rows() {
    let (mut matrix, now) = (matrix(), Instant::now());
    matrix
        .accept_row(row("knot-1", 1, 1, &["m-000001"]), now, NOW_MS)
        .unwrap();
    let lifetime = timing().row_lifetime();
    assert!(matrix.row("knot-1", now + lifetime / 2).is_some());
    assert!(matrix.row("knot-1", now + lifetime).is_none());
    assert_eq!(matrix.rows(now + lifetime).count(), 0);
    // Its incarnation and sequence number are still compared, so that no older row replaces it.
    let duplicate = matrix.accept_row(row("knot-1", 1, 1, &[]), now + lifetime, NOW_MS);
    assert_eq!(duplicate, Err(RowRejection::NotNewer));
}

/// A sender whose rows are all rejected would otherwise cause a log line for each row.
#[test]
fn rejection_is_logged_once_per_reason_until_a_row_of_the_sender_is_accepted() {
    let (mut matrix, now) = (matrix(), Instant::now());
    assert!(matrix.should_log_rejection("knot-1", RowRejection::NotNewer));
    assert!(!matrix.should_log_rejection("knot-1", RowRejection::NotNewer));
    assert!(matrix.should_log_rejection("knot-1", RowRejection::TooOld));
    assert!(matrix.should_log_rejection("knot-2", RowRejection::NotNewer));
    matrix
        .accept_row(row("knot-1", 1, 1, &[]), now, NOW_MS)
        .unwrap();
    assert!(matrix.should_log_rejection("knot-1", RowRejection::NotNewer));
    assert!(!matrix.should_log_rejection("knot-2", RowRejection::NotNewer));
    // Invented sender names must fill neither the memory nor the log.
    assert!(matrix.should_log_rejection("a", RowRejection::UnknownMember));
    assert!((0..100)
        .all(|n| !matrix.should_log_rejection(&format!("b{n}"), RowRejection::UnknownMember)));
}

/// Followers forward heartbeats, so the agents of a controller count for a leader only if the controller
/// reaches it.
#[test]
fn leader_receives_the_heartbeats_of_every_controller_that_reaches_it() {
    let (mut matrix, now) = (matrix(), Instant::now());
    let own = row("knot-0", 1, 1, &["m-000001"]);
    matrix
        .accept_row(row("knot-1", 1, 1, &["m-000002", "m-000003"]), now, NOW_MS)
        .unwrap();
    let mut disconnected = row("knot-2", 1, 1, &["m-000003", "m-000004"]);
    disconnected.message.peers[0].outbound.state = LinkState::Down;
    matrix.accept_row(disconnected, now, NOW_MS).unwrap();
    // knot-2 reaches knot-1, but not knot-0.
    assert_eq!(matrix.workers_served_by("knot-0", &own, now).len(), 3);
    assert_eq!(matrix.workers_served_by("knot-1", &own, now).len(), 4);
    assert_eq!(matrix.workers_served_by("knot-2", &own, now).len(), 4);
    let later = now + timing().row_lifetime();
    assert_eq!(matrix.workers_served_by("knot-0", &own, later).len(), 1);
}
