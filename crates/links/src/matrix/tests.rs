//! Tests of [`super`].

use super::*;
use crate::link::LinkState;
use crate::row::{LinkStatus, PeerLinks, RowMessage, ROW_VERSION};
use crate::test_support::timing;

const WALL_MS: u64 = 1_800_000_000_000;

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
            sent_at_ms: WALL_MS,
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

#[test]
fn stale_repeated_or_reordered_rows_change_nothing() {
    let (mut matrix, now) = (matrix(), Instant::now());
    let take = |matrix: &mut ConnectivityMatrix, incarnation, sequence| {
        matrix.accept_row(
            row("knot-1", incarnation, sequence, &["m-000001"]),
            now,
            WALL_MS,
        )
    };
    assert_eq!(take(&mut matrix, 5, 2), Ok(()));
    assert_eq!(take(&mut matrix, 5, 2), Err(RowRejection::NotNewer));
    assert_eq!(take(&mut matrix, 5, 1), Err(RowRejection::NotNewer));
    assert_eq!(
        take(&mut matrix, 4, 90),
        Err(RowRejection::FormerIncarnation)
    );
    let kept = matrix.row("knot-1", now).unwrap();
    assert_eq!((kept.message.incarnation, kept.message.sequence), (5, 2));
    assert_eq!(
        take(&mut matrix, 6, 1),
        Ok(()),
        "a new life counts from one"
    );
    assert_eq!(matrix.newest_incarnation("knot-1"), 6);
    let stranger = matrix.accept_row(row("knot-9", 1, 1, &[]), now, WALL_MS);
    assert_eq!(stranger, Err(RowRejection::UnknownMember));
}

/// A copy that was held up on its way must not pass for what is true now.
#[test]
fn a_row_sent_too_long_ago_is_rejected_with_allowance_for_clock_skew() {
    let (mut matrix, now) = (matrix(), Instant::now());
    let age_max = timing().row_age_max().as_millis() as u64;
    let mut take = |sequence, age_ms: u64| {
        matrix.accept_row(row("knot-1", 1, sequence, &[]), now, WALL_MS + age_ms)
    };
    assert_eq!(take(1, age_max + 1), Err(RowRejection::TooOld));
    assert_eq!(take(1, age_max), Ok(()));
    // The sender's clock is ahead.
    let mut ahead = row("knot-1", 1, 2, &[]);
    ahead.message.sent_at_ms = WALL_MS + 50;
    assert_eq!(matrix.accept_row(ahead, now, WALL_MS), Ok(()));
}

#[test]
fn an_expired_row_counts_as_unknown() {
    let (mut matrix, now) = (matrix(), Instant::now());
    matrix
        .accept_row(row("knot-1", 1, 1, &["m-000001"]), now, WALL_MS)
        .unwrap();
    let lifetime = timing().row_lifetime();
    assert!(matrix.row("knot-1", now + lifetime / 2).is_some());
    assert!(matrix.row("knot-1", now + lifetime).is_none());
    assert_eq!(matrix.rows(now + lifetime).count(), 0);
    // What is known of its numbers stays: an older row must not come in its place.
    let late = matrix.accept_row(row("knot-1", 1, 1, &[]), now + lifetime, WALL_MS);
    assert_eq!(late, Err(RowRejection::NotNewer));
}

#[test]
fn a_rejection_is_logged_once_until_a_row_is_accepted() {
    let (mut matrix, now) = (matrix(), Instant::now());
    assert!(matrix.should_log_rejection("knot-1", RowRejection::NotNewer));
    assert!(!matrix.should_log_rejection("knot-1", RowRejection::NotNewer));
    assert!(matrix.should_log_rejection("knot-1", RowRejection::TooOld));
    assert!(matrix.should_log_rejection("knot-2", RowRejection::NotNewer));
    matrix
        .accept_row(row("knot-1", 1, 1, &[]), now, WALL_MS)
        .unwrap();
    assert!(matrix.should_log_rejection("knot-1", RowRejection::NotNewer));
    assert!(!matrix.should_log_rejection("knot-2", RowRejection::NotNewer));
    // Whoever invents senders fills no memory and no log.
    assert!(matrix.should_log_rejection("a", RowRejection::UnknownMember));
    assert!((0..100)
        .all(|n| !matrix.should_log_rejection(&format!("b{n}"), RowRejection::UnknownMember)));
}

#[test]
fn a_leader_is_served_by_every_controller_that_reaches_it() {
    let (mut matrix, now) = (matrix(), Instant::now());
    let own = row("knot-0", 1, 1, &["m-000001"]);
    matrix
        .accept_row(row("knot-1", 1, 1, &["m-000002", "m-000003"]), now, WALL_MS)
        .unwrap();
    let mut cut = row("knot-2", 1, 1, &["m-000003", "m-000004"]);
    cut.message.peers[0].outbound.state = LinkState::Down;
    matrix.accept_row(cut, now, WALL_MS).unwrap();
    // knot-2 does not reach knot-0, but knot-1.
    assert_eq!(matrix.workers_served_by("knot-0", &own, now).len(), 3);
    assert_eq!(matrix.workers_served_by("knot-1", &own, now).len(), 4);
    assert_eq!(matrix.workers_served_by("knot-2", &own, now).len(), 4);
    let later = now + timing().row_lifetime();
    assert_eq!(matrix.workers_served_by("knot-0", &own, later).len(), 1);
}
