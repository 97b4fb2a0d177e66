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

/// After an outage of the store every lease has its full duration again. When the first renewal alone
/// restored a former leader's role, the leader started a job that had been cancelled a minute before.
#[test]
fn lease_renewal_does_not_confirm_the_replica() {
    let start = Instant::now();
    let mut election = election(start);
    let outage_end = start + Duration::from_secs(60);
    assert_eq!(election.role(outage_end), Role::Follower(None));
    election.lease_renewed(7, outage_end);
    assert_eq!(
        election.role(outage_end),
        Role::Follower(None),
        "responses to heartbeats must not be allowed either"
    );
    assert!(election.needs_confirming_read(outage_end));
    election.freshness().confirm(outage_end);
    assert!(election.leadership_for_starts(outage_end).is_some());
}

/// While the store refuses only this process for two seconds, its lease does not expire, and other
/// controllers may confirm cancellations.
#[test]
fn starts_are_forbidden_between_a_failed_request_and_the_next_read() {
    let start = Instant::now();
    let mut election = election(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    assert!(election.leadership_for_starts(at(100)).is_some());
    election.freshness().invalidate(at(500));
    election.freshness().confirm(at(400));
    assert!(
        election.leadership(at(600)).is_some(),
        "responses to heartbeats and terminations of tasks are still allowed"
    );
    assert!(election.leadership_for_starts(at(600)).is_none());
    assert!(election.needs_confirming_read(at(600)));
    election.freshness().confirm(at(700));
    assert!(election.leadership_for_starts(at(800)).is_some());
    assert!(!election.needs_confirming_read(at(800)));
}

/// Renewals succeed while reads fail. Starts end at the staleness limit for starts, responses to heartbeats
/// end at the limit for heartbeats, and the leader hands over before the latter.
#[test]
fn leader_with_failing_reads_hands_over_before_responses_to_heartbeats_end() {
    let start = Instant::now();
    let mut election = election(start);
    let mut handover_age = None;
    for ms in (0..60_000).step_by(500) {
        let now = start + Duration::from_millis(ms);
        election.lease_renewed(7, now);
        let age = now - start;
        assert_eq!(
            election.leadership_for_starts(now).is_some(),
            age < election.start_staleness_limit
        );
        let leads = matches!(election.role(now), Role::Leader(_));
        assert_eq!(leads, age < election.heartbeat_staleness_limit, "{age:?}");
        if handover_age.is_none() && election.replica_too_stale_to_lead(now) {
            handover_age = Some(age);
        }
    }
    assert!(handover_age.is_some_and(|age| age < election.heartbeat_staleness_limit));
}

#[test]
fn leadership_ends_before_the_lease_expires_and_keep_alive_follows_until_its_limit() {
    let now = Instant::now();
    let election = election(now);
    assert!(matches!(election.role(now), Role::Leader(_)));
    let leadership_end = now + LEADER_LEASE_MIN - LEADER_LEASE_MARGIN;
    assert_eq!(election.role(leadership_end), Role::KeepAlive(Term(4)));
    let keep_alive_end = now + LEADER_LEASE_MIN + Duration::from_secs(10);
    assert_eq!(election.role(keep_alive_end), Role::Follower(None));
}

#[test]
fn announcement_of_a_newer_leader_ends_the_leadership_without_the_store() {
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
fn leader_record_of_another_lease_ends_the_leadership() {
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
        "a record of another term ends the leadership"
    );
    assert_eq!(election.role(now), Role::Follower(None));
}

/// On a site of small machines, three leaders in succession lost their leases within twelve seconds under
/// little load, each during the burst of agents that connected to it. Such a burst delays the responses to
/// renewals.
#[test]
fn renewals_answered_out_of_order_count_from_when_the_newest_was_sent() {
    let start = Instant::now();
    let mut election = election(start);
    let at = |ms: u64| start + Duration::from_millis(ms);
    election.lease_renewed(7, at(1400));
    election.lease_renewed(7, at(700));
    assert!(
        election.leadership(at(4200)).is_some(),
        "the renewal sent last counts"
    );
    election.lease_renewed(8, at(4000));
    assert!(
        election.leadership(at(4300)).is_none(),
        "a renewal of another lease is ignored"
    );
}
