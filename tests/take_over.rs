//! Kept traces of changes of leader: what a new one may do before it has heard all machines.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use knotlanding::model::*;
use knotlanding::state_summary::SummaryCache;
use knotlanding::wire::ExitCause;
use scene::*;

#[test]
fn a_new_leader_starts_nothing_again_before_all_machines_have_spoken() {
    let mut records = accepted(&array("wk-000001", 2), true);
    records.extend(accepted(&array("wk-000002", 1), false));
    records.push(inventory(&["m-g1n", "m-g2n"]));
    let mut s = Scene::with(records);
    s.note("a report with an older token shows where tasks are, but proves no absence");
    s.report_as(
        "m-g1n",
        (1, 5, 0),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.round();
    s.report_as(
        "m-g1n",
        (1, 6, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.round();
    s.report_as(
        "m-g1n",
        (1, 7, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.note("the other machine is silent; only its return settles it");
    s.pass(30.0);
    s.report_as(
        "m-g1n",
        (1, 8, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    let decisions = s.round();
    s.fleet(&decisions);
    s.cluster
        .remove_released_machine(&MachineId("m-g2n".into()));
    s.report_as("m-g3n", (1, 1, 1), &[], true);
    s.round();
    insta::assert_snapshot!(s.log);
}

/// A leader that takes over while a zone is cut off gave up all of its machines, one by one,
/// before it saw that the zone was: 333 machines booted again at Indus for a cut of 70 s.
#[test]
fn a_new_leader_sees_that_a_zone_is_cut_off_before_it_gives_its_machines_up() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let mut s = Scene::with(vec![inventory(&names)]);
    s.listed(&names);
    for second in 0..20 {
        s.pass(1.0);
        for name in &names[..3] {
            s.heartbeat(name, &[]);
        }
        let decisions = s.round();
        // Of the questions to the south none is answered.
        for name in &names[3..] {
            s.cluster
                .record_unanswered_command(&MachineId((*name).into()), s.now);
        }
        s.log.clear();
        s.note(&format!("second {second}"));
        s.fleet(&decisions);
        for name in &names[3..] {
            assert!(!s.log.contains(name), "{}", s.log);
        }
    }
    s.pass(80.0);
    for name in &names[..3] {
        s.heartbeat(name, &[]);
    }
    let decisions = s.round();
    s.log.clear();
    s.fleet(&decisions);
    for name in &names[3..] {
        assert!(s.log.contains(name), "not for ever: {}", s.log);
    }
}

#[test]
fn a_machine_new_to_all_is_planned_for_at_once_but_started_on_only_when_fenced() {
    let mut s = Scene::new();
    s.submit(array("wk-000001", 1));
    s.listed(&["m-g1n", "m-g2n"]);
    s.report_as("m-g1n", (1, 1, 0), &[], true);
    s.round();
    s.note("its first report; the start waits until it knows our term");
    s.report_as("m-g1n", (1, 2, 1), &[], true);
    s.note("a late copy of an early report hides what is on the machine");
    s.submit(array("wk-000002", 1));
    s.report_as("m-g2n", (1, 1, 0), &[], true);
    s.round();
    let other = ("wk-000009/0", 5, RUNNING, None);
    s.report_as("m-g2n", (1, 9, 0), &[other], true);
    s.report_as("m-g2n", (1, 10, 1), &[other], true);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_deaf_machine_does_not_keep_a_new_leader_waiting_for_ever_nor_one_silent_machine_all_jobs() {
    let mut records = accepted(&array("wk-000001", 1), true);
    records.extend(accepted(&gang("wk-000002", 1), true));
    // The record of the second job names where it may be.
    records.pop();
    let id = JobId::parse("wk-000002").unwrap();
    records.push(sent(&id, Some(&["m-c1n"])));
    records.push(inventory(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]));
    let mut s = Scene::with(records);
    s.listed(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]);
    for machine in ["m-c1n", "m-c2n", "m-c3n"] {
        s.heartbeat(machine, &[]);
    }
    s.note("m-g1n reports, but never shows our term; only the array can be there");
    s.report_as(
        "m-g1n",
        (4, 7, 0),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.round();
    for _ in 0..4 {
        s.pass(0.5);
        s.sequence += 1;
        let sequence = s.sequence + 7;
        s.report_as(
            "m-g1n",
            (4, sequence, 0),
            &[("wk-000001/0", 7, RUNNING, None)],
            true,
        );
        for machine in ["m-c1n", "m-c2n", "m-c3n"] {
            s.heartbeat(machine, &[]);
        }
    }
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("its return is the proof");
    s.cluster
        .remove_released_machine(&MachineId("m-g1n".into()));
    s.heartbeat("m-g2n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_copy_from_before_a_change_of_leader_is_a_hint_only() {
    let mut records = accepted(&array("wk-000001", 1), true);
    records.push(inventory(&["m-g1n"]));
    let mut s = Scene::with(records);
    let mut told = SummaryCache::default();
    told.removed_machines.push_back(MachineId("m-g9n".into()));
    s.cluster.adopt_summary(&told);
    s.note("copies: of a roster machine without the task, of one gone, of one nobody knows");
    s.report_as("m-g1n", (1, 3, 0), &[], true);
    s.report_as(
        "m-g9n",
        (1, 3, 0),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    s.report_as("m-g8n", (1, 1, 0), &[], true);
    s.round();
    s.report_as(
        "m-g1n",
        (1, 8, 1),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    s.round();
    s.pass(2.0);
    s.report_as(
        "m-g1n",
        (1, 9, 1),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    let decisions = s.round();
    s.note("the ghost is given up");
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

/// A leader that the workers can't reach keeps its lease and loses theirs: it has to see that
/// it hears hardly anybody. A part of the machines, or the first moments, are no sign of it.
#[test]
fn a_leader_sees_that_it_hears_hardly_any_machine() {
    let mut s = Scene::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-c1s"];
    s.machines(&names);
    assert!(!s.cluster.receives_few_heartbeats(s.now), "just heard");
    s.pass(30.0);
    s.heartbeat("m-g1n", &[]);
    s.heartbeat("m-g2n", &[]);
    assert!(!s.cluster.receives_few_heartbeats(s.now), "some are heard");
    s.pass(30.0);
    assert!(s.cluster.receives_few_heartbeats(s.now));
    s.recover(2);
    assert!(
        !s.cluster.receives_few_heartbeats(s.now),
        "nobody can have reported yet"
    );
}

/// Machines that were gone before a new leader could learn where they were counted as a zone of
/// their own, and a cut one: every array that may run anywhere waited for a lease and more.
#[test]
fn machines_that_only_the_roster_knows_are_not_taken_for_a_zone_that_is_cut_off() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n"];
    let gone = ["m-x1n", "m-x2n", "m-x3n"];
    let all: Vec<&str> = names.iter().chain(&gone).copied().collect();
    let mut records = accepted(&array("wk-000001", 2), true);
    records.push(inventory(&all));
    let mut s = Scene::with(records);
    s.listed(&names);
    for _ in 0..2 {
        s.pass(1.0);
        for name in &names {
            s.heartbeat(name, &[]);
        }
        s.round();
    }
    assert_eq!(s.cluster.unreconciled.len(), gone.len());
    let decisions = s.round();
    s.log.clear();
    s.fleet(&decisions);
    for name in &gone {
        assert!(s.log.contains(name), "it is given up: {}", s.log);
    }
}

/// Records of 0.3.0 have a key for the description, and say in it where the job may be.
#[test]
fn records_of_the_version_before_are_read_and_go_with_their_job() {
    let names = ["m-g1n", "m-g2n"];
    let mut records = accepted_apart(&array("wk-000001", 1), &["m-g1n"]);
    records.push(inventory(&names));
    let mut s = Scene::with(records);
    s.listed(&names);
    s.heartbeat("m-g2n", &[]);
    s.note("it may run on m-g1n, which has not spoken");
    s.round();
    s.heartbeat("m-g1n", &[("wk-000001/0", 7, RUNNING, None)]);
    s.heartbeat(
        "m-g1n",
        &[("wk-000001/0", 7, EXITED, Some(ExitCause::Done))],
    );
    let replica = s.replica();
    let writes = s.cluster.due_writes(&replica, s.now);
    let all: Vec<String> = writes
        .iter()
        .flat_map(|write| &write.transaction.changes)
        .map(|change| change.key().to_owned())
        .collect();
    s.note(&format!("its end writes {all:?}"));
    insta::assert_snapshot!(s.log);
}

/// Seen while lists of starts were new: deletes that were given up kept lists from being written,
/// and what had lost its machine never started again.
#[test]
fn lists_that_nobody_needs_do_not_keep_starts_from_being_written() {
    let lists = (100..150).map(|n| sent(&JobId::parse(&format!("wk-{n:06}")).unwrap(), None));
    let mut s = Scene::with(lists.collect());
    s.machines(&["m-g1n"]);
    for number in 1..=8u64 {
        let id = format!("wk-{number:06}");
        s.submit(array(&id, 1));
        s.log.clear();
        s.round();
        assert!(s.log.contains(&format!("starts: {id}")), "{}", s.log);
        s.heartbeat("m-g1n", &[]);
        let task = format!("{id}/0");
        let done = (&*task, FIRST + number - 1, EXITED, Some(ExitCause::Done));
        s.heartbeat("m-g1n", &[done]);
        s.round();
        assert!(s.log.contains(&format!("{id} is done")), "{}", s.log);
        s.heartbeat("m-g1n", &[]);
    }
}

/// A new leader waited for machines in a zone that is cut off until it gave them up. What an
/// earlier leader let start there ends with their leases, whoever may have renewed them last.
#[test]
fn machines_that_nobody_of_this_term_answered_hold_nothing_after_a_lease_and_the_keep_alive() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let mut records = accepted(&array("wk-000001", 1), true);
    records.push(inventory(&names));
    let mut s = Scene::with(records);
    s.listed(&names);
    let inherited_lease = s.cluster.timing.inherited_lease;
    assert!(
        inherited_lease > s.cluster.timing.lease,
        "the time to keep leases alive comes on top"
    );
    // It hears us, and holds what it reports.
    s.heartbeat("m-g4s", &[]);
    let round = |s: &mut Scene, at: std::time::Duration| {
        s.now = s.start + at;
        for name in &names[..3] {
            s.heartbeat(name, &[]);
        }
        s.round().starts.len()
    };
    let moment = std::time::Duration::from_millis(100);
    assert_eq!(
        round(&mut s, inherited_lease - moment),
        0,
        "not a moment before"
    );
    assert_eq!(s.cluster.unreconciled.len(), 2);
    assert_eq!(round(&mut s, inherited_lease + moment), 1);
    assert!(s.cluster.unreconciled.is_empty());
}
