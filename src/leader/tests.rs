//! Tests of [`super`].

use std::time::{Duration, Instant};

use super::election_state::LEADER_LEASE_MARGIN;
use super::*;
use crate::config::Settings;
use crate::model::Term;
use crate::store::keys::LeaderRecord;
use crate::timing::{start_staleness_limit, LEADER_LEASE_MIN};

fn election(now: Instant) -> ElectionState {
    let text = include_str!("../../deploy/example.toml");
    let settings = Settings::parse(text, "the example").unwrap();
    let mut election = ElectionState::new(&settings);
    election.member = "knot-0".to_owned();
    election.leader_lease = LEADER_LEASE_MIN;
    election.start_staleness_limit = start_staleness_limit(1.0);
    election.keep_alive_limit = Duration::from_secs(10);
    election.heartbeat_staleness_limit = Duration::from_secs(30);
    election.hold_lease(7, now);
    election.become_leader(Leadership {
        term: Term(4),
        version: 40,
    });
    election.freshness().confirm(now);
    election
}

/// Seen as a start of a job that had been cancelled a minute before: after an outage every
/// lease has its full time again, and the first renewal let an old leader lead again.
#[test]
fn a_renewal_confirms_nothing_about_the_replica() {
    let start = Instant::now();
    let mut election = election(start);
    let back = start + Duration::from_secs(60);
    assert_eq!(election.role(back), Role::Follower(None));
    election.lease_renewed(7, back);
    assert_eq!(election.role(back), Role::Follower(None), "not even 200s");
    assert!(election.needs_confirming_read(back));
    election.freshness().confirm(back);
    assert!(election.leadership_for_starts(back).is_some());
}

/// Refused alone for two seconds: the lease still lasts, and others may have confirmed
/// cancellations meanwhile.
#[test]
fn no_start_is_sent_between_a_failure_and_the_next_read() {
    let start = Instant::now();
    let mut election = election(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert!(election.leadership_for_starts(at(100)).is_some());
    election.freshness().invalidate(at(500));
    election.freshness().confirm(at(400));
    assert!(
        election.leadership(at(600)).is_some(),
        "answers and stops go on"
    );
    assert!(election.leadership_for_starts(at(600)).is_none());
    assert!(election.needs_confirming_read(at(600)));
    election.freshness().confirm(at(700));
    assert!(election.leadership_for_starts(at(800)).is_some());
    assert!(!election.needs_confirming_read(at(800)));
}

/// Renewals that succeed while reads don't: no start after a while, no 200 after the
/// replica's time, and the leadership is handed over before that.
#[test]
fn a_leader_whose_reads_fail_answers_for_a_bounded_time_and_hands_over_before() {
    let start = Instant::now();
    let mut election = election(start);
    let mut handed_over = None;
    for ms in (0..60_000).step_by(500) {
        let now = start + Duration::from_millis(ms);
        election.lease_renewed(7, now);
        let age = now - start;
        assert_eq!(
            election.leadership_for_starts(now).is_some(),
            age < election.start_staleness_limit
        );
        let answers = matches!(election.role(now), Role::Leader(_));
        assert_eq!(answers, age < election.heartbeat_staleness_limit, "{age:?}");
        if handed_over.is_none() && election.replica_too_stale_to_lead(now) {
            handed_over = Some(age);
        }
    }
    assert!(handed_over.is_some_and(|age| age < election.heartbeat_staleness_limit));
}

#[test]
fn a_leadership_ends_before_its_lease_and_is_followed_by_keep_alive_for_a_while() {
    let now = Instant::now();
    let election = election(now);
    assert!(matches!(election.role(now), Role::Leader(_)));
    let almost = now + LEADER_LEASE_MIN - LEADER_LEASE_MARGIN;
    assert_eq!(election.role(almost), Role::KeepAlive(Term(4)));
    let late = now + LEADER_LEASE_MIN + Duration::from_secs(10);
    assert_eq!(election.role(late), Role::Follower(None));
}

#[test]
fn a_newer_leader_that_announces_itself_ends_a_leadership_that_is_cut_off_from_the_store() {
    let now = Instant::now();
    let mut election = election(now);
    election.observe_leader(Term(3), "knot-1");
    assert!(matches!(election.role(now), Role::Leader(_)));
    election.observe_leader(Term(5), "knot-2");
    let expected = Role::Follower(Some(LeaderHint {
        term: Term(5),
        member: "knot-2".to_owned(),
    }));
    assert_eq!(election.role(now), expected);
}

#[test]
fn a_record_of_another_lease_is_not_our_own_even_under_our_name() {
    let now = Instant::now();
    let mut election = election(now);
    let record = LeaderRecord {
        member: "knot-0".to_owned(),
        address: String::new(),
        term: Term(5),
        lease: 8,
    };
    assert!(!election.is_own_record(&record));
    assert!(
        election.observe_leader_record(Some(&record)),
        "the old leadership is lost"
    );
    assert_eq!(election.role(now), Role::Follower(None));
}

/// Seen on a lean site: three leaders within twelve seconds of a quiet day, each lost to the burst
/// of workers that came to it.
#[test]
fn late_renewals_count_from_when_they_were_sent() {
    let start = Instant::now();
    let mut election = election(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    election.lease_renewed(7, at(1400));
    election.lease_renewed(7, at(700));
    assert!(
        election.leadership(at(4200)).is_some(),
        "the later one counts"
    );
    election.lease_renewed(8, at(4000));
    assert!(election.leadership(at(4300)).is_none(), "another lease's");
}
