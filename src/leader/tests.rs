//! Tests of [`super`].

use super::*;
use crate::timing::LEASE_TIME_MIN;

fn role(now: Instant) -> Role {
    let mut role = Role {
        me: "knot-0".to_owned(),
        lease_time: LEASE_TIME_MIN,
        start_freshness: start_freshness(1.0),
        keep_alive: Duration::from_secs(10),
        answering: Duration::from_secs(30),
        freshness: Freshness::default(),
        held_since: None,
        lease: Some(OwnLease {
            id: 7,
            renewed: now,
        }),
        lead: None,
        known: None,
        heard: None,
        stands_back_until: None,
    };
    role.take(Lead {
        term: Term(4),
        version: 40,
    });
    role.freshness().proved(now);
    role
}

/// Seen as a start of a job that had been cancelled a minute before: after an outage every
/// lease has its full time again, and the first renewal made an old leader lead.
#[test]
fn a_renewal_proves_nothing_of_the_replica() {
    let start = Instant::now();
    let mut role = role(start);
    let back = start + Duration::from_secs(60);
    assert_eq!(role.standing(back), Standing::Follow(None));
    role.renewed(7, back);
    assert_eq!(role.standing(back), Standing::Follow(None), "not even 200s");
    assert!(role.wants_proof(back));
    role.freshness().proved(back);
    assert!(role.starting(back).is_some());
}

/// Refused alone for two seconds: the lease still lasts, and others may have confirmed
/// cancellations meanwhile.
#[test]
fn no_start_leaves_between_a_failure_and_the_next_read() {
    let start = Instant::now();
    let mut role = role(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert!(role.starting(at(100)).is_some());
    role.freshness().doubt(at(500));
    role.freshness().proved(at(400));
    assert!(role.leading(at(600)).is_some(), "answers and stops go on");
    assert!(role.starting(at(600)).is_none());
    assert!(role.wants_proof(at(600)));
    role.freshness().proved(at(700));
    assert!(role.starting(at(800)).is_some());
    assert!(!role.wants_proof(at(800)));
}

/// Renewals that succeed while reads don't: no start after a while, no 200 after the
/// replica's time, and the lead is given up before that.
#[test]
fn a_leader_that_reads_nothing_answers_for_a_bounded_time_and_gives_up_before() {
    let start = Instant::now();
    let mut role = role(start);
    let mut given_up = None;
    for ms in (0..60_000).step_by(500) {
        let now = start + Duration::from_millis(ms);
        role.renewed(7, now);
        let age = now - start;
        assert_eq!(role.starting(now).is_some(), age < role.start_freshness);
        let answers = matches!(role.standing(now), Standing::Lead(_));
        assert_eq!(answers, age < role.answering, "{age:?}");
        if given_up.is_none() && role.reads_nothing(now) {
            given_up = Some(age);
        }
    }
    assert!(given_up.is_some_and(|age| age < role.answering));
}

#[test]
fn a_lead_ends_before_the_lease_and_is_followed_by_caretaking_for_a_while() {
    let now = Instant::now();
    let role = role(now);
    assert!(matches!(role.standing(now), Standing::Lead(_)));
    let almost = now + LEASE_TIME_MIN - MARGIN;
    assert_eq!(role.standing(almost), Standing::KeepAlive(Term(4)));
    let late = now + LEASE_TIME_MIN + Duration::from_secs(10);
    assert_eq!(role.standing(late), Standing::Follow(None));
}

#[test]
fn a_newer_leader_that_makes_itself_known_ends_a_lead_that_is_cut_off_from_the_records() {
    let now = Instant::now();
    let mut role = role(now);
    role.hears(Term(3), "knot-1");
    assert!(matches!(role.standing(now), Standing::Lead(_)));
    role.hears(Term(5), "knot-2");
    let expected = Standing::Follow(Some(KnownLeader {
        term: Term(5),
        member: "knot-2".to_owned(),
    }));
    assert_eq!(role.standing(now), expected);
}

#[test]
fn a_record_of_another_lease_is_not_ours_even_under_our_name() {
    let now = Instant::now();
    let mut role = role(now);
    let record = LeaderRecord {
        member: "knot-0".to_owned(),
        address: String::new(),
        term: Term(5),
        lease: 8,
    };
    assert!(!role.record_is_ours(&record));
    assert!(role.records_say(Some(&record)), "the old lead is lost");
    assert_eq!(role.standing(now), Standing::Follow(None));
}

/// Seen on a lean site: three leaders within twelve seconds of a quiet day, each lost to the burst
/// of workers that came to it.
#[test]
fn late_renewals_count_from_their_sending() {
    let start = Instant::now();
    let mut role = role(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    role.renewed(7, at(1400));
    role.renewed(7, at(700));
    assert!(role.leading(at(4200)).is_some(), "the later one counts");
    role.renewed(8, at(4000));
    assert!(role.leading(at(4300)).is_none(), "another lease's");
}
