//! Kept traces of reports that come late, twice or from a machine that begins again, and of machines that don't hear.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use knotlanding::cluster::HeartbeatOrdering;
use knotlanding::model::*;
use knotlanding::wire::ExitCause;
use scene::*;

#[test]
fn late_and_repeated_reports_change_nothing() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.heartbeat("m-g1n", &[]);
    s.heartbeat("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    assert_eq!(
        s.report_as("m-g1n", (1, 1, 0), &[], true),
        HeartbeatOrdering::Older
    );
    s.note("a new session is proof that all of the old one is gone");
    s.report_as("m-g1n", (2, 1, 1), &[], true);
    s.round();
    s.note("a machine that was returned does not come back by a late report");
    s.cluster
        .remove_released_machine(&MachineId("m-g1n".into()));
    assert_eq!(
        s.report_as("m-g1n", (2, 2, 1), &[], true),
        HeartbeatOrdering::Older
    );
    assert!(s.cluster.machines.is_empty());
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_raised_token_brings_the_report_that_takes_a_start_but_not_too_often() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.note("the started flag is written: now the token is raised, once in half a lease");
    s.round();
    s.round();
    s.heartbeat("m-g1n", &[]);
    s.submit(array("wk-000002", 1));
    s.round();
    s.round();
    s.pass(12.0);
    s.heartbeat("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.submit(array("wk-000003", 1));
    s.heartbeat(
        "m-g1n",
        &[("wk-000002/0", SECOND, EXITED, Some(ExitCause::Done))],
    );
    s.round();
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_machine_that_reports_but_hears_nothing_gets_no_more_starts_and_is_returned() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2s", "m-g3s", "m-g4s"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.heartbeat("m-g1n", &[]);
    s.note("from here nothing reaches m-g1n, while its reports arrive");
    let runs = ("wk-000001/0", SECOND, RUNNING, None);
    for step in 0..6 {
        s.pass(0.4);
        deaf_report(&mut s, "m-g1n", &[]);
        s.heartbeat(
            "m-g2s",
            if step < 2 {
                &[]
            } else {
                std::slice::from_ref(&runs)
            },
        );
        for other in ["m-g3s", "m-g4s"] {
            s.heartbeat(other, &[]);
        }
        let decisions = s.round();
        s.fleet(&decisions);
    }
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_machine_that_hears_again_half_way_works_again_and_a_deaf_zone_is_not_returned_at_once() {
    let mut s = Scene::new();
    let south = ["m-g2s", "m-g3s", "m-g4s"];
    s.machines(&["m-g1n", "m-g5n", "m-g6n", "m-g2s", "m-g3s", "m-g4s"]);
    let mut job = array("wk-000001", 12);
    job.team = "blue".to_owned();
    s.submit(job);
    s.round();
    for machine in ["m-g1n", "m-g5n", "m-g6n", "m-g2s", "m-g3s", "m-g4s"] {
        s.heartbeat(machine, &[]);
    }
    s.note("the south hears nothing from here on");
    for machine in south {
        deaf_report(&mut s, machine, &[]);
    }
    for _ in 0..5 {
        s.pass(0.5);
        for machine in south {
            deaf_report(&mut s, machine, &[]);
        }
        for machine in ["m-g1n", "m-g5n", "m-g6n"] {
            s.heartbeat(machine, &[]);
        }
    }
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("m-g2s hears again");
    s.heartbeat("m-g2s", &[]);
    s.round();
    s.heartbeat("m-g2s", &[]);
    s.note("the others don't: once it is one machine or two, they are not taken for a cut zone");
    s.pass(1.0);
    let works = [
        ("wk-000001/6", FIRST + 18, RUNNING, None),
        ("wk-000001/7", FIRST + 19, RUNNING, None),
    ];
    s.heartbeat("m-g2s", &works);
    for machine in ["m-g3s", "m-g4s"] {
        deaf_report(&mut s, machine, &[]);
    }
    for machine in ["m-g1n", "m-g5n", "m-g6n"] {
        s.heartbeat(machine, &[]);
    }
    let decisions = s.round();
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

#[test]
fn late_copies_of_reports_bring_nothing_back_and_prove_nothing() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.heartbeat("m-g1n", &[]);
    s.heartbeat("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.note("copies from before the start: no second start, and the task is not believed gone");
    for sequence in [1, 3] {
        assert_eq!(
            s.report_as("m-g1n", (1, sequence, 1), &[], true),
            HeartbeatOrdering::Older
        );
    }
    s.round();
    s.cancel("wk-000001");
    s.round();
    s.heartbeat(
        "m-g1n",
        &[("wk-000001/0", FIRST, EXITED, Some(ExitCause::Stopped))],
    );
    s.note("a copy from before the stop: the task is not back, and its room is free");
    let sequence = s.sequence - 1;
    s.report_as(
        "m-g1n",
        (1, sequence, 1),
        &[("wk-000001/0", FIRST, RUNNING, None)],
        true,
    );
    s.submit(array("wk-000002", 4));
    s.round();
    s.note("a new session, then copies of what the old one said: no blame, nothing is back");
    s.report_as("m-g1n", (2, 1, 1), &[], true);
    let failed = ("wk-000001/0", FIRST, EXITED, Some(ExitCause::Error));
    for sequence in [4, 70] {
        let copy = s.report_as("m-g1n", (1, sequence, 1), &[failed], true);
        assert_eq!(copy, HeartbeatOrdering::Older);
    }
    assert!(s.cluster.machines.values().all(|m| m.faults.is_empty()));
    s.note("a machine that was returned, then copies of what it said");
    s.cluster
        .remove_released_machine(&MachineId("m-g2n".into()));
    s.report_as(
        "m-g2n",
        (1, 90, 1),
        &[("wk-000002/0", 9, RUNNING, None)],
        true,
    );
    let told: Vec<String> = s
        .cluster
        .take_summary_changes()
        .removed_machines
        .iter()
        .map(|m| m.to_string())
        .collect();
    s.note(&format!(
        "the other nodes are told that it is gone: {told:?}"
    ));
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_machine_that_begins_again_under_its_name_is_told_from_a_late_copy_by_asking_it() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.heartbeat("m-g1n", &[]);
    s.heartbeat("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.pass(0.2);
    s.note("back at once: its session and number begin again");
    s.report_as("m-g1n", (1, 1, 0), &[], true);
    s.round();
    s.pass(0.1);
    s.report_as("m-g1n", (1, 2, 1), &[], false);
    s.note("what was on it went with its former life; copies of what that said are told apart");
    s.round();
    let running = ("wk-000001/0", FIRST, RUNNING, None);
    let copy = s.report_as("m-g1n", (1, 40, 1), &[running], true);
    assert_eq!(copy, HeartbeatOrdering::Older);
    s.note("the new life brings back the token that only it was given");
    s.sequence = 4;
    s.heartbeat("m-g1n", &[]);
    insta::assert_snapshot!(s.log);
}

/// Found by going through the code: a plan whose task turned out to be done was never sent and
/// never dropped, and its job never ended for its user.
#[test]
fn a_task_planned_anew_that_an_old_report_shows_as_done_leaves_its_plan() {
    let mut records = accepted(&array("wk-000001", 1), true);
    records.push(inventory(&["m-g1n"]));
    let mut s = Scene::with(records);
    s.pass(s.cluster.timing.inherited_lease.as_secs_f64() + 1.0);
    s.note("by its lease nothing is left on m-g1n");
    s.machines(&["m-g2n"]);
    s.round();
    let id = JobId::parse("wk-000001").unwrap();
    assert!(s.cluster.jobs[&id].has_placements(), "planned anew");
    let done = ("wk-000001/0", 7, EXITED, Some(ExitCause::Done));
    s.report_as("m-g1n", (1, 5, 0), &[done], true);
    assert!(!s.cluster.jobs[&id].has_placements());
    s.heartbeat("m-g2n", &[]);
    s.round();
    assert!(!s.cluster.jobs.contains_key(&id), "its verdict is written");
    insta::assert_snapshot!(s.log);
}

/// 767 starts planned in one round, and as many raised tokens, each a command with a connection of
/// its own, kept a small machine busy for seconds. Stops are not held back.
#[test]
fn commands_that_can_wait_go_by_the_processor_s_share_and_stops_go_at_once() {
    let raised_and_stopped = |cores: f64| {
        let mut s = Scene::new();
        s.settings.params.resources.cores = cores;
        s.recover(2);
        let names: Vec<String> = (100..220).map(|n| format!("m-g{n}n")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        s.machines(&names);
        let mut job = array("wk-000001", 100);
        job.team = "blue".to_owned();
        s.submit(job);
        s.log.clear();
        s.round();
        let straight = |s: &Scene| s.log.matches("straight to").count();
        let raised = straight(&s);
        for name in &names {
            s.heartbeat(name, &[]);
        }
        s.log.clear();
        s.cancel("wk-000001");
        s.round();
        (raised, straight(&s))
    };
    let (raised, stopped) = raised_and_stopped(1.0);
    assert_eq!(raised, stopped, "every machine with a start");
    assert!(raised > 48, "{raised}");
    let (few, stopped_small) = raised_and_stopped(0.029);
    assert!(few > 0 && few <= 48, "{few}");
    assert_eq!(stopped_small, stopped, "all stops");
}

/// While the records take no progress, results of short tasks pile up on their machines.
#[test]
fn a_machine_full_of_results_gets_no_more_until_they_are_written_down() {
    let mut s = Scene::new();
    s.machines(&["m-c1n"]);
    let mut sweep = array("wk-000001", 5000);
    sweep.priority = Priority::BestEffort;
    sweep.task_resources = Resources {
        cpus: 0.25,
        gpus: 0.0,
        memory: 0.1,
    };
    s.submit(sweep);
    let names: Vec<String> = (0..450).map(|n| format!("wk-000001/{n}")).collect();
    let results: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), 7, EXITED, Some(ExitCause::Done)))
        .collect();
    s.heartbeat("m-c1n", &results);
    let decisions = s.round_with(false);
    assert!(
        decisions.starts.is_empty(),
        "it has room, but its reports would get too long"
    );
    s.pass(3.0);
    s.round();
    s.heartbeat("m-c1n", &results);
    s.heartbeat("m-c1n", &[]);
    let decisions = s.round();
    assert_eq!(
        decisions.starts.len(),
        64,
        "all are written down and cleared"
    );
}
