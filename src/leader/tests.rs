//! Tests of [`super`].

use super::*;
use crate::timing::LEASE_TIME_MIN;

fn election(now: Instant) -> ElectionState {
    let mut election = ElectionState {
        me: "knot-0".to_owned(),
        lease_time: LEASE_TIME_MIN,
        start_freshness: start_freshness(1.0),
        keep_alive: Duration::from_secs(10),
        answering: Duration::from_secs(30),
        freshness: ReplicaFreshness::default(),
        held_since: None,
        lease: Some(HeldLease {
            id: 7,
            renewed: now,
        }),
        leadership: None,
        known: None,
        heard: None,
        backoff_until: None,
    };
    election.take(Leadership {
        term: Term(4),
        version: 40,
    });
    election.freshness().proved(now);
    election
}

/// Seen as a start of a job that had been cancelled a minute before: after an outage every
/// lease has its full time again, and the first renewal made an old leader lead.
#[test]
fn a_renewal_proves_nothing_of_the_replica() {
    let start = Instant::now();
    let mut election = election(start);
    let back = start + Duration::from_secs(60);
    assert_eq!(election.role(back), Role::Follower(None));
    election.renewed(7, back);
    assert_eq!(election.role(back), Role::Follower(None), "not even 200s");
    assert!(election.requires_read(back));
    election.freshness().proved(back);
    assert!(election.leadership_for_starts(back).is_some());
}

/// Refused alone for two seconds: the lease still lasts, and others may have confirmed
/// cancellations meanwhile.
#[test]
fn no_start_leaves_between_a_failure_and_the_next_read() {
    let start = Instant::now();
    let mut election = election(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert!(election.leadership_for_starts(at(100)).is_some());
    election.freshness().doubt(at(500));
    election.freshness().proved(at(400));
    assert!(
        election.leadership(at(600)).is_some(),
        "answers and stops go on"
    );
    assert!(election.leadership_for_starts(at(600)).is_none());
    assert!(election.requires_read(at(600)));
    election.freshness().proved(at(700));
    assert!(election.leadership_for_starts(at(800)).is_some());
    assert!(!election.requires_read(at(800)));
}

/// Renewals that succeed while reads don't: no start after a while, no 200 after the
/// replica's time, and the lead is given up before that.
#[test]
fn a_leader_that_reads_nothing_answers_for_a_bounded_time_and_gives_up_before() {
    let start = Instant::now();
    let mut election = election(start);
    let mut given_up = None;
    for ms in (0..60_000).step_by(500) {
        let now = start + Duration::from_millis(ms);
        election.renewed(7, now);
        let age = now - start;
        assert_eq!(
            election.leadership_for_starts(now).is_some(),
            age < election.start_freshness
        );
        let answers = matches!(election.role(now), Role::Leader(_));
        assert_eq!(answers, age < election.answering, "{age:?}");
        if given_up.is_none() && election.reads_nothing(now) {
            given_up = Some(age);
        }
    }
    assert!(given_up.is_some_and(|age| age < election.answering));
}

#[test]
fn a_lead_ends_before_the_lease_and_is_followed_by_caretaking_for_a_while() {
    let now = Instant::now();
    let election = election(now);
    assert!(matches!(election.role(now), Role::Leader(_)));
    let almost = now + LEASE_TIME_MIN - MARGIN;
    assert_eq!(election.role(almost), Role::KeepAlive(Term(4)));
    let late = now + LEASE_TIME_MIN + Duration::from_secs(10);
    assert_eq!(election.role(late), Role::Follower(None));
}

#[test]
fn a_newer_leader_that_makes_itself_known_ends_a_lead_that_is_cut_off_from_the_records() {
    let now = Instant::now();
    let mut election = election(now);
    election.hears(Term(3), "knot-1");
    assert!(matches!(election.role(now), Role::Leader(_)));
    election.hears(Term(5), "knot-2");
    let expected = Role::Follower(Some(LeaderHint {
        term: Term(5),
        member: "knot-2".to_owned(),
    }));
    assert_eq!(election.role(now), expected);
}

#[test]
fn a_record_of_another_lease_is_not_ours_even_under_our_name() {
    let now = Instant::now();
    let mut election = election(now);
    let record = LeaderRecord {
        member: "knot-0".to_owned(),
        address: String::new(),
        term: Term(5),
        lease: 8,
    };
    assert!(!election.record_is_ours(&record));
    assert!(election.records_say(Some(&record)), "the old lead is lost");
    assert_eq!(election.role(now), Role::Follower(None));
}

/// Seen on a lean site: three leaders within twelve seconds of a quiet day, each lost to the burst
/// of workers that came to it.
#[test]
fn late_renewals_count_from_their_sending() {
    let start = Instant::now();
    let mut election = election(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    election.renewed(7, at(1400));
    election.renewed(7, at(700));
    assert!(
        election.leadership(at(4200)).is_some(),
        "the later one counts"
    );
    election.renewed(8, at(4000));
    assert!(election.leadership(at(4300)).is_none(), "another lease's");
}
