//! Tests of [`super`].

use super::*;

const NOW_S: u64 = 1_000;

fn evaluate(evidence: WorkerEvidence, receives_heartbeats: bool, start: Instant) -> WorkerHealth {
    let evaluator = HealthEvaluator {
        limits: HealthLimits {
            suspect_after: Duration::from_secs(5),
            lost_after: Duration::from_secs(9),
        },
        receives_heartbeats,
        now: start + Duration::from_secs(NOW_S),
    };
    evaluator.evaluate(&evidence)
}

/// If only the commands to an agent are lost, its heartbeats still arrive and must not hide the loss.
#[test]
fn each_direction_is_evaluated_by_its_own_evidence_only() {
    let start = Instant::now();
    let ago = |s: u64| Some(start + Duration::from_secs(NOW_S - s));
    let healthy = WorkerEvidence {
        last_heartbeat_at: ago(2),
        is_confirmed: true,
        ..WorkerEvidence::default()
    };
    let unconfirmed = WorkerEvidence {
        is_confirmed: false,
        ..healthy
    };
    let unacknowledged_for = |s| WorkerEvidence {
        unacknowledged_since: ago(s),
        ..unconfirmed
    };
    let overdue = |s| WorkerEvidence {
        last_heartbeat_at: ago(s),
        ..healthy
    };
    let with_unanswered = |count, evidence| WorkerEvidence {
        unanswered_commands: count,
        ..evidence
    };
    let unreachable = HealthState::Unreachable;
    let cases = [
        (healthy, HealthState::Healthy, None),
        (overdue(6), HealthState::Suspect, None),
        (unconfirmed, HealthState::Suspect, None),
        (with_unanswered(1, healthy), HealthState::Suspect, None),
        (unacknowledged_for(1), HealthState::Suspect, None),
        (
            unacknowledged_for(10),
            unreachable,
            Some(LostDirection::ToWorker),
        ),
        (
            with_unanswered(2, healthy),
            unreachable,
            Some(LostDirection::ToWorker),
        ),
        (overdue(10), unreachable, Some(LostDirection::FromWorker)),
        (
            with_unanswered(2, overdue(10)),
            unreachable,
            Some(LostDirection::Both),
        ),
        (WorkerEvidence::default(), HealthState::Unknown, None),
    ];
    for (evidence, state, lost_direction) in cases {
        let health = evaluate(evidence, true, start);
        assert_eq!(
            (health.state, health.lost_direction),
            (state, lost_direction),
            "{evidence:?}"
        );
        assert_eq!(health.evidence_at, evidence.last_heartbeat_at);
    }
}

/// A controller whose own connection failed must evaluate its agents neither as healthy nor as unreachable.
#[test]
fn health_is_unknown_with_the_time_of_the_evidence_if_hardly_any_heartbeats_arrive() {
    let start = Instant::now();
    let heartbeat_at = Some(start + Duration::from_secs(NOW_S - 1));
    let evidence = WorkerEvidence {
        last_heartbeat_at: heartbeat_at,
        is_confirmed: true,
        ..WorkerEvidence::default()
    };
    let health = evaluate(evidence, false, start);
    assert_eq!(
        (health.state, health.lost_direction),
        (HealthState::Unknown, None)
    );
    assert_eq!(health.evidence_at, heartbeat_at);
}
