//! Tests of [`super`].

use std::time::Instant;

use super::absence::evidence_of_absence;
use super::*;
use crate::cluster::{InstancePhase, TaskInstance, TerminationEvidence};

fn order(epoch: u64, sequence: u64) -> MessageOrder {
    MessageOrder { epoch, sequence }
}

fn instance(phase: InstancePhase) -> TaskInstance {
    TaskInstance {
        spec: None,
        phase,
        known_since: Instant::now(),
        running_since: None,
        termination: None,
        image: None,
    }
}

#[test]
fn a_later_epoch_orders_before_any_sequence_number() {
    assert!(order(2, 1) > order(1, 900));
    assert!(order(2, 3) > order(2, 2));
    assert!(order(1, 1) > MessageOrder::default());
}

#[test]
fn absence_is_evidence_only_when_a_dispatched_start_is_no_longer_in_flight() {
    let dispatched = instance(InstancePhase::Dispatched {
        in_reply_to: order(2, 5),
    });
    let command = HeartbeatSource::Command(Instant::now());
    let worker = HeartbeatSource::Worker;
    let evidence = |order, source| evidence_of_absence(&dispatched, order, source);
    assert_eq!(evidence(order(2, 5), worker), None);
    assert_eq!(
        evidence(order(2, 6), command),
        None,
        "the response to a command may overtake the one with the start"
    );
    let absent = Some(TerminationEvidence::AbsentFromHeartbeat);
    assert_eq!(evidence(order(2, 6), worker), absent);
    let later = Some(TerminationEvidence::LaterEpoch);
    assert_eq!(evidence(order(3, 1), command), later);
}

#[test]
fn absence_is_no_evidence_for_planned_instances_and_removes_running_ones() {
    let at = |phase| evidence_of_absence(&instance(phase), order(2, 6), HeartbeatSource::Worker);
    assert_eq!(at(InstancePhase::Planned), None);
    let absent = Some(TerminationEvidence::AbsentFromHeartbeat);
    assert_eq!(at(InstancePhase::Running), absent);
}
