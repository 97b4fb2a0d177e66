//! Tests of [`super`].

use super::*;

const NOW_S: u64 = 1_000;

fn judge(evidence: WorkerEvidence, receives_heartbeats: bool, start: Instant) -> WorkerHealth {
    let judge = HealthEvaluator {
        limits: HealthLimits {
            suspect_after: Duration::from_secs(5),
            lost_after: Duration::from_secs(9),
        },
        receives_heartbeats,
        now: start + Duration::from_secs(NOW_S),
    };
    judge.evaluate(&evidence)
}

#[test]
fn each_direction_is_evaluated_by_its_own_evidence() {
    let start = Instant::now();
    let ago = |s: u64| Some(start + Duration::from_secs(NOW_S - s));
    let good = WorkerEvidence {
        last_heartbeat_at: ago(2),
        is_confirmed: true,
        ..WorkerEvidence::default()
    };
    let unconfirmed = WorkerEvidence {
        is_confirmed: false,
        ..good
    };
    let unacknowledged = |s| WorkerEvidence {
        unacknowledged_since: ago(s),
        ..unconfirmed
    };
    let silent = |s| WorkerEvidence {
        last_heartbeat_at: ago(s),
        ..good
    };
    let unanswered = |count, evidence| WorkerEvidence {
        unanswered_commands: count,
        ..evidence
    };
    let unreachable = HealthState::Unreachable;
    // Where commands are lost, heartbeats arrive all the while, and are no evidence for the other direction.
    let cases = [
        (good, HealthState::Healthy, None),
        (silent(6), HealthState::Suspect, None),
        (unconfirmed, HealthState::Suspect, None),
        (unanswered(1, good), HealthState::Suspect, None),
        (unacknowledged(1), HealthState::Suspect, None),
        (
            unacknowledged(10),
            unreachable,
            Some(LostDirection::ToWorker),
        ),
        (
            unanswered(2, good),
            unreachable,
            Some(LostDirection::ToWorker),
        ),
        (silent(10), unreachable, Some(LostDirection::FromWorker)),
        (
            unanswered(2, silent(10)),
            unreachable,
            Some(LostDirection::Both),
        ),
        (WorkerEvidence::default(), HealthState::Unknown, None),
    ];
    for (evidence, state, lost) in cases {
        let health = judge(evidence, true, start);
        assert_eq!(
            (health.state, health.lost_direction),
            (state, lost),
            "{evidence:?}"
        );
        assert_eq!(health.evidence_at, evidence.last_heartbeat_at);
    }
}

/// A controller that lost its workers must not go on calling them healthy, nor say that they are lost.
#[test]
fn a_controller_without_heartbeats_reports_unknown_health_and_the_age_of_its_evidence() {
    let start = Instant::now();
    let reported = Some(start + Duration::from_secs(NOW_S - 1));
    let evidence = WorkerEvidence {
        last_heartbeat_at: reported,
        is_confirmed: true,
        ..WorkerEvidence::default()
    };
    let health = judge(evidence, false, start);
    assert_eq!(
        (health.state, health.lost_direction),
        (HealthState::Unknown, None)
    );
    assert_eq!(health.evidence_at, reported);
}
