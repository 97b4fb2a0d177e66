//! Kept traces of troubles: silence, deafness, late copies, new lives, changes of leader, and
//! what must begin in bounded time.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use knotlanding::cluster::Verified;
use knotlanding::fleet::Offer;
use knotlanding::model::*;
use knotlanding::peer::digest::DigestView;
use knotlanding::sched::Decisions;
use knotlanding::wire::{Cause, TaskPhase};
use scene::*;

#[test]
fn late_and_repeated_reports_change_nothing() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    assert_eq!(s.report_as("m-g1n", (1, 1, 0), &[], true), Verified::Older);
    s.note("a new session is proof that all of the old one is gone");
    s.report_as("m-g1n", (2, 1, 1), &[], true);
    s.round();
    s.note("a machine that was returned does not come back by a late report");
    s.cluster.machine_gone(&MachineId("m-g1n".into()));
    assert_eq!(s.report_as("m-g1n", (2, 2, 1), &[], true), Verified::Older);
    assert!(s.cluster.machines.is_empty());
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_new_leader_starts_nothing_again_before_all_machines_have_spoken() {
    let mut records = accepted(&array("wk-000001", 2), true);
    records.extend(accepted(&array("wk-000002", 1), false));
    records.push(roster(&["m-g1n", "m-g2n"]));
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
    s.cluster.machine_gone(&MachineId("m-g2n".into()));
    s.report_as("m-g3n", (1, 1, 1), &[], true);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn silence_proves_nothing_until_the_lease_is_over() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g2n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.pass(15.0);
    s.report("m-g2n", &[]);
    s.round();
    s.note("silent, but within its lease: not started elsewhere");
    s.pass(6.5);
    s.report("m-g2n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_zone_that_falls_silent_as_a_whole_keeps_its_machines_for_a_while() {
    let mut s = Scene::new();
    let mut job = array("wk-000001", 6);
    job.team = "blue".to_owned();
    s.submit(job);
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let tasks: Vec<String> = (0..6).map(|i| format!("wk-000001/{i}")).collect();
    let works = |s: &mut Scene, at: usize| {
        s.report(names[at], &[(&tasks[at], 1, RUNNING, None)]);
    };
    for at in 0..6 {
        works(&mut s, at);
    }
    s.pass(15.0);
    for at in 0..3 {
        works(&mut s, at);
    }
    let decisions = s.round();
    s.note("all of the south is silent, cut off most likely: nothing is returned");
    s.fleet(&decisions);
    for at in 3..5 {
        works(&mut s, at);
    }
    let decisions = s.round();
    s.note("the south comes back: its last one is not given up before it can have reported");
    s.fleet(&decisions);
    s.pass(2.0);
    for at in 0..5 {
        works(&mut s, at);
    }
    let decisions = s.round();
    s.note("one of the south alone is silent");
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

/// A leader that takes over while a zone is cut off gave up all of its machines, one by one,
/// before it saw that the zone was: 333 machines booted again at Indus for a cut of 70 s.
#[test]
fn a_new_leader_sees_that_a_zone_is_cut_off_before_it_gives_its_machines_up() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let mut s = Scene::with(vec![roster(&names)]);
    s.listed(&names);
    for second in 0..20 {
        s.pass(1.0);
        for name in &names[..3] {
            s.report(name, &[]);
        }
        let decisions = s.round();
        // Of the questions to the south none is answered.
        for name in &names[3..] {
            s.cluster.in_vain(&MachineId((*name).into()), s.now);
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
        s.report(name, &[]);
    }
    let decisions = s.round();
    s.log.clear();
    s.fleet(&decisions);
    for name in &names[3..] {
        assert!(s.log.contains(name), "not for ever: {}", s.log);
    }
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
    s.report("m-g1n", &[]);
    s.submit(array("wk-000002", 1));
    s.round();
    s.round();
    s.pass(12.0);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.submit(array("wk-000003", 1));
    s.report(
        "m-g1n",
        &[("wk-000002/0", SECOND, EXITED, Some(Cause::Done))],
    );
    s.round();
    s.round();
    insta::assert_snapshot!(s.log);
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

/// A machine whose reports arrive, in the words of the report that shows only the first token.
fn deaf_report(s: &mut Scene, machine: &str, tasks: &[(&str, u64, TaskPhase, Option<Cause>)]) {
    s.seq += 1;
    let seq = s.seq;
    s.report_as(machine, (1, seq, 1), tasks, true);
}

#[test]
fn a_machine_that_reports_but_hears_nothing_gets_no_more_starts_and_is_returned() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2s", "m-g3s", "m-g4s"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.note("from here nothing reaches m-g1n, while its reports arrive");
    let runs = ("wk-000001/0", SECOND, RUNNING, None);
    for step in 0..6 {
        s.pass(0.4);
        deaf_report(&mut s, "m-g1n", &[]);
        s.report(
            "m-g2s",
            if step < 2 {
                &[]
            } else {
                std::slice::from_ref(&runs)
            },
        );
        for other in ["m-g3s", "m-g4s"] {
            s.report(other, &[]);
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
        s.report(machine, &[]);
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
            s.report(machine, &[]);
        }
    }
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("m-g2s hears again");
    s.report("m-g2s", &[]);
    s.round();
    s.report("m-g2s", &[]);
    s.note("the others don't: once it is one machine or two, they are not taken for a cut zone");
    s.pass(1.0);
    let works = [
        ("wk-000001/6", FIRST + 18, RUNNING, None),
        ("wk-000001/7", FIRST + 19, RUNNING, None),
    ];
    s.report("m-g2s", &works);
    for machine in ["m-g3s", "m-g4s"] {
        deaf_report(&mut s, machine, &[]);
    }
    for machine in ["m-g1n", "m-g5n", "m-g6n"] {
        s.report(machine, &[]);
    }
    let decisions = s.round();
    s.fleet(&decisions);
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
    records.push(roster(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]));
    let mut s = Scene::with(records);
    s.listed(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]);
    for machine in ["m-c1n", "m-c2n", "m-c3n"] {
        s.report(machine, &[]);
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
        s.seq += 1;
        let seq = s.seq + 7;
        s.report_as(
            "m-g1n",
            (4, seq, 0),
            &[("wk-000001/0", 7, RUNNING, None)],
            true,
        );
        for machine in ["m-c1n", "m-c2n", "m-c3n"] {
            s.report(machine, &[]);
        }
    }
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("its return is the proof");
    s.cluster.machine_gone(&MachineId("m-g1n".into()));
    s.report("m-g2n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn late_copies_of_reports_bring_nothing_back_and_prove_nothing() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.note("copies from before the start: no second start, and the task is not believed gone");
    for seq in [1, 3] {
        assert_eq!(
            s.report_as("m-g1n", (1, seq, 1), &[], true),
            Verified::Older
        );
    }
    s.round();
    s.cancel("wk-000001");
    s.round();
    s.report(
        "m-g1n",
        &[("wk-000001/0", FIRST, EXITED, Some(Cause::Stopped))],
    );
    s.note("a copy from before the stop: the task is not back, and its room is free");
    let seq = s.seq - 1;
    s.report_as(
        "m-g1n",
        (1, seq, 1),
        &[("wk-000001/0", FIRST, RUNNING, None)],
        true,
    );
    s.submit(array("wk-000002", 4));
    s.round();
    s.note("a new session, then copies of what the old one said: no blame, nothing is back");
    s.report_as("m-g1n", (2, 1, 1), &[], true);
    let failed = ("wk-000001/0", FIRST, EXITED, Some(Cause::Error));
    for seq in [4, 70] {
        let copy = s.report_as("m-g1n", (1, seq, 1), &[failed], true);
        assert_eq!(copy, Verified::Older);
    }
    assert!(s.cluster.machines.values().all(|m| m.blame.is_empty()));
    s.note("a machine that was returned, then copies of what it said");
    s.cluster.machine_gone(&MachineId("m-g2n".into()));
    s.report_as(
        "m-g2n",
        (1, 90, 1),
        &[("wk-000002/0", 9, RUNNING, None)],
        true,
    );
    let told: Vec<String> = s
        .cluster
        .news()
        .gone
        .iter()
        .map(|m| m.to_string())
        .collect();
    s.note(&format!(
        "the other nodes are told that it is gone: {told:?}"
    ));
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_copy_from_before_a_change_of_leader_is_a_hint_only() {
    let mut records = accepted(&array("wk-000001", 1), true);
    records.push(roster(&["m-g1n"]));
    let mut s = Scene::with(records);
    let mut told = DigestView::default();
    told.gone.push_back(MachineId("m-g9n".into()));
    s.cluster.hint(&told);
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

#[test]
fn a_machine_that_begins_again_under_its_name_is_told_from_a_late_copy_by_asking_it() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
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
    assert_eq!(copy, Verified::Older);
    s.note("the new life brings back the token that only it was given");
    s.seq = 4;
    s.report("m-g1n", &[]);
    insta::assert_snapshot!(s.log);
}

/// Small jobs arrive faster than they leave; whatever is large has to begin all the same.
#[test]
fn the_largest_jobs_begin_in_bounded_time_under_a_stream_of_small_ones() {
    let mut s = Scene::new();
    let names: Vec<String> = (0..6).map(|n| format!("m-c{n}n")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    s.machines(&names);
    let mut running: Vec<(String, u64, String, f64)> = Vec::new();
    s.submit(gang("wk-900000", 6));
    let mut never = array("wk-900001", 3);
    never.need.gpus = 4.0;
    s.submit(never);
    let (mut next, mut began) = (1, None);
    for second in 0..240u32 {
        s.log.clear();
        s.pass(1.0);
        let mut small = gang(&format!("wk-{next:06}"), 1 + next % 2);
        small.team = if next % 3 == 0 { "red" } else { "blue" }.to_owned();
        s.submit(small);
        next += 1;
        let decisions = s.round();
        if decisions
            .starts
            .iter()
            .any(|start| start.job.as_str() == "wk-900000")
        {
            began = Some(second);
            break;
        }
        for start in decisions.starts {
            let attempt = s.cluster.jobs[&start.job].attempt.unwrap().0;
            for (index, machine) in start.members {
                running.push((
                    format!("{}/{index}", start.job),
                    attempt,
                    machine.to_string(),
                    0.0,
                ));
            }
        }
        for name in &names {
            let mut tasks = Vec::new();
            for (task, attempt, machine, age) in &mut running {
                if machine == name {
                    *age += 1.0;
                    let over = *age > 20.0;
                    let phase = if over { EXITED } else { RUNNING };
                    let cause = over.then_some(Cause::Done);
                    if *age > 1.0 {
                        tasks.push((task.as_str(), *attempt, phase, cause));
                    }
                }
            }
            s.report(name, &tasks);
        }
        running.retain(|(.., age)| *age <= 22.0);
    }
    assert!(began.is_some(), "it never began");
}

/// Seen on a recorded day: what was stopped for a gang started again in the first room that came
/// free, and was stopped again, thousands of times.
#[test]
fn room_made_for_a_gang_is_kept_until_the_last_of_it_is_free() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    let mut low = array("wk-000001", 4);
    low.checkpoint_s = 15.0;
    low.save_s = 6.0;
    s.submit(low);
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g2n", &[]);
    let task = |n: u64, phase, cause| {
        (
            ["wk-000001/0", "wk-000001/1", "wk-000001/2", "wk-000001/3"][n as usize],
            FIRST + n,
            phase,
            cause,
        )
    };
    let runs = |n| task(n, RUNNING, None);
    let gone = |n| task(n, EXITED, Some(Cause::Stopped));
    s.report("m-g1n", &[runs(0), runs(1)]);
    s.report("m-g2n", &[runs(2), runs(3)]);
    let mut high = gang("wk-000002", 2);
    high.need.cpus = 12.0;
    s.submit(high);
    s.round();
    s.pass(0.5);
    s.report("m-g1n", &[gone(0), gone(1)]);
    s.report("m-g2n", &[runs(2), runs(3)]);
    s.note("one of the two machines is free: nothing else goes there");
    s.round();
    s.pass(0.5);
    s.report("m-g1n", &[]);
    s.report("m-g2n", &[gone(2), gone(3)]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_team_at_its_limit_and_a_job_that_fails_everywhere_hold_nobody_else_up() {
    let mut s = Scene::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-g5n"];
    s.machines(&names);
    s.submit(array("wk-000001", 9));
    s.round();
    s.note("red uses all that it may; a job of blue has failed on three machines");
    let mut faulty = array("wk-000002", 1);
    faulty.team = "blue".to_owned();
    s.submit(faulty);
    for (machine, attempt) in [("m-g3n", 77), ("m-g4n", 78), ("m-g5n", 79)] {
        s.report(
            machine,
            &[("wk-000002/0", attempt, EXITED, Some(Cause::Error))],
        );
    }
    s.pass(11.0);
    for name in names {
        s.report(name, &[]);
    }
    let mut other = array("wk-000003", 2);
    other.team = "blue".to_owned();
    s.submit(other);
    s.round();
    insta::assert_snapshot!(s.log);
}

/// Seen on a hunted day: while a large gang waited for the last of its machines, the first ones
/// were returned as idle and others were rented.
#[test]
fn machines_that_a_waiting_gang_counts_on_are_not_returned_as_idle() {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-c2n", "m-g1n"]);
    s.pass(3000.0);
    for machine in ["m-c1n", "m-c2n", "m-g1n"] {
        s.report(machine, &[]);
    }
    s.submit(gang("wk-000001", 3));
    let decisions = s.round();
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
    assert!(!s.cluster.hears_few_machines(s.now), "just heard");
    s.pass(30.0);
    s.report("m-g1n", &[]);
    s.report("m-g2n", &[]);
    assert!(!s.cluster.hears_few_machines(s.now), "some are heard");
    s.pass(30.0);
    assert!(s.cluster.hears_few_machines(s.now));
    s.take_over(2);
    assert!(
        !s.cluster.hears_few_machines(s.now),
        "nobody can have reported yet"
    );
}

/// What was not heard while we stood still, or while the state service was out and we sent
/// reports away, says nothing of the machines: none is returned for it. That leases ran out
/// meanwhile, counted from our last answer, still holds.
#[test]
fn waking_up_is_no_proof_that_machines_were_silent() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n", "m-g3n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.note("the leader stands still for 15 s");
    s.pass(15.0);
    s.cluster.resume(std::time::Duration::from_secs(15), s.now);
    s.report("m-g2n", &[]);
    s.report("m-g3n", &[]);
    let decisions = s.round();
    s.fleet(&decisions);
    assert!(s.cluster.jobs.values().all(|job| job.placed()));
    s.note("and for longer than a lease");
    s.pass(22.0);
    s.cluster.resume(std::time::Duration::from_secs(22), s.now);
    let decisions = s.round();
    s.fleet(&decisions);
    let machines = s.cluster.machines.values();
    let mut slots = machines.flat_map(|machine| machine.slots.values());
    assert!(slots.all(|slot| !slot.sent()), "what ran is gone for sure");
    insta::assert_snapshot!(s.log);
}

/// Machines that were gone before a new leader could learn where they were counted as a zone of
/// their own, and a cut one: every array that may run anywhere waited for a lease and more.
#[test]
fn machines_that_only_the_roster_knows_are_not_taken_for_a_zone_that_is_cut_off() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n"];
    let gone = ["m-x1n", "m-x2n", "m-x3n"];
    let all: Vec<&str> = names.iter().chain(&gone).copied().collect();
    let mut records = accepted(&array("wk-000001", 2), true);
    records.push(roster(&all));
    let mut s = Scene::with(records);
    s.listed(&names);
    for _ in 0..2 {
        s.pass(1.0);
        for name in &names {
            s.report(name, &[]);
        }
        s.round();
    }
    assert_eq!(s.cluster.unsettled.len(), gone.len());
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
    records.push(roster(&names));
    let mut s = Scene::with(records);
    s.listed(&names);
    s.report("m-g2n", &[]);
    s.note("it may run on m-g1n, which has not spoken");
    s.round();
    s.report("m-g1n", &[("wk-000001/0", 7, RUNNING, None)]);
    s.report("m-g1n", &[("wk-000001/0", 7, EXITED, Some(Cause::Done))]);
    let replica = s.replica();
    let writes = s.cluster.due_writes(&replica, s.now);
    let all: Vec<String> = writes
        .iter()
        .flat_map(|write| &write.group.apply)
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
        s.report("m-g1n", &[]);
        let task = format!("{id}/0");
        let done = (&*task, FIRST + number - 1, EXITED, Some(Cause::Done));
        s.report("m-g1n", &[done]);
        s.round();
        assert!(s.log.contains(&format!("{id} is done")), "{}", s.log);
        s.report("m-g1n", &[]);
    }
}

/// Idle-time work on the processors of machines with cards kept hundreds of them rented, and more
/// were rented for it: a day's price rose from 2.6 to 3.8.
#[test]
fn work_of_the_lowest_rank_keeps_off_machines_that_cost_many_times_what_it_needs() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2s"]);
    let mut idle = array("wk-000001", 30);
    idle.class = "idle".to_owned();
    idle.rank = Rank::BestEffort;
    idle.need = Amount {
        cpus: 4.0,
        gpus: 0.0,
        memory: 7.0,
    };
    idle.due_s = None;
    s.submit(idle.clone());
    let decisions = s.round();
    s.note("room on machines with cards is not for it; of the others cheap ones are rented");
    s.fleet(&decisions);
    s.note("nothing of it has begun for two minutes: one task goes where there is room");
    s.pass(121.0);
    s.report("m-g1n", &[]);
    s.report("m-g2s", &[]);
    s.round();
    s.note("standard work of the same size goes there at once");
    idle.id = JobId::parse("wk-000002").unwrap();
    idle.rank = Rank::Standard;
    idle.tasks = 2;
    s.submit(idle);
    s.round();
    insta::assert_snapshot!(s.log);
}

/// A boot that is overdue is replaced; a cloud in which all are slow is not answered by renting
/// without end.
#[test]
fn overdue_boots_are_replaced_a_few_at_a_time() {
    let mut s = Scene::new();
    s.submit(array("wk-000001", 60));
    let mut job = array("wk-000001", 60);
    job.team = "blue".to_owned();
    job.id = JobId::parse("wk-000002").unwrap();
    s.submit(job);
    let decisions = s.round();
    let rented = |s: &mut Scene, decisions: &Decisions| {
        s.log.clear();
        s.fleet(decisions);
        let rents = s.log.lines().filter(|line| line.contains("Rent("));
        let counts = rents.filter_map(|line| {
            line.rsplit(", ")
                .next()?
                .trim_end_matches(')')
                .parse::<usize>()
                .ok()
        });
        counts.sum::<usize>()
    };
    let first = rented(&mut s, &decisions);
    let names: Vec<String> = (0..first).map(|n| format!("m-g{n}n")).collect();
    let offer = Offer {
        build: "gpu2".to_owned(),
        zone: "north".to_owned(),
        spot: true,
    };
    s.cluster.hired(&names, &offer, s.now);
    s.pass(60.0);
    assert_eq!(rented(&mut s, &decisions), 0, "they may still come");
    s.pass(20.0);
    let replaced = rented(&mut s, &decisions);
    assert!(
        (1..=4).contains(&replaced),
        "{replaced} of {first} are replaced"
    );
    s.pass(90.0);
    s.log.clear();
    s.fleet(&decisions);
    assert!(s.log.contains("its boot is hopeless"), "{}", s.log);
}

/// Seen at Brackenridge: when the leases of a zone that was cut off had ended, its machines counted
/// as idle and went, 150 in ten seconds, and 400 were rented there that could not be reached.
#[test]
fn machines_that_are_cut_off_are_not_returned_as_idle_and_none_are_rented_there() {
    let mut s = Scene::new();
    let names = [
        "m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-g5s", "m-g6s", "m-g7s",
    ];
    s.machines(&names);
    s.pass(300.0);
    for name in names {
        s.report(name, &[]);
    }
    let mut job = array("wk-000001", 30);
    job.team = "blue".to_owned();
    job.zone = Some("south".to_owned());
    s.submit(job);
    for step in 0..10 {
        s.pass(3.0);
        for name in &names[..4] {
            s.report(name, &[]);
        }
        let decisions = s.round();
        s.log.clear();
        s.note(&format!("look {step}"));
        s.fleet(&decisions);
        assert!(!s.log.contains("south"), "{}", s.log);
        for name in &names[4..] {
            assert!(!s.log.contains(name), "{}", s.log);
        }
    }
    assert!(
        s.log.contains("m-g1n"),
        "idle ones go where they are heard: {}",
        s.log
    );
}

/// A new leader waited for machines in a zone that is cut off until it gave them up. What an
/// earlier leader let start there ends with their leases, whoever may have renewed them last.
#[test]
fn machines_that_nobody_of_this_term_answered_hold_nothing_after_a_lease_and_the_caretaking() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let mut records = accepted(&array("wk-000001", 1), true);
    records.push(roster(&names));
    let mut s = Scene::with(records);
    s.listed(&names);
    let inherited_lease = s.cluster.timing.inherited_lease;
    assert!(
        inherited_lease > s.cluster.timing.lease,
        "the time to keep leases alive comes on top"
    );
    // It hears us, and holds what it reports.
    s.report("m-g4s", &[]);
    let round = |s: &mut Scene, at: std::time::Duration| {
        s.now = s.start + at;
        for name in &names[..3] {
            s.report(name, &[]);
        }
        s.round().starts.len()
    };
    let moment = std::time::Duration::from_millis(100);
    assert_eq!(
        round(&mut s, inherited_lease - moment),
        0,
        "not a moment before"
    );
    assert_eq!(s.cluster.unsettled.len(), 2);
    assert_eq!(round(&mut s, inherited_lease + moment), 1);
    assert!(s.cluster.unsettled.is_empty());
}

/// At a twentieth of the boot time a machine reports before the rental's answer, and before any
/// list has it.
#[test]
fn a_machine_that_is_up_before_its_rental_is_answered_is_no_stranger_and_not_rented_twice() {
    let mut s = Scene::new();
    s.submit(array("wk-000001", 2));
    s.report_as("m-g1n", (1, 1, 0), &[], true);
    let decisions = s.round();
    s.note("a report alone is no sign of a machine: nothing is planned for it, nor is it returned");
    s.fleet(&decisions);
    let offer = Offer {
        build: "gpu2".to_owned(),
        zone: "north".to_owned(),
        spot: false,
    };
    s.cluster.hired(&["m-g1n".to_owned()], &offer, s.now);
    s.note("the rental's answer names it");
    s.report_as("m-g1n", (1, 2, 0), &[], true);
    let decisions = s.round();
    s.fleet(&decisions);
    assert!(decisions.short.is_empty(), "both tasks have room");
    s.report_as("m-g1n", (1, 3, 1), &[], true);
    s.listed(&["m-g1n"]);
    assert_eq!(s.cluster.machines.len(), 1);
    insta::assert_snapshot!(s.log);
}

/// While the records take no progress, results of short tasks pile up on their machines.
#[test]
fn a_machine_full_of_results_gets_no_more_until_they_are_written_down() {
    let mut s = Scene::new();
    s.machines(&["m-c1n"]);
    let mut sweep = array("wk-000001", 5000);
    sweep.rank = Rank::BestEffort;
    sweep.need = Amount {
        cpus: 0.25,
        gpus: 0.0,
        memory: 0.1,
    };
    s.submit(sweep);
    let names: Vec<String> = (0..450).map(|n| format!("wk-000001/{n}")).collect();
    let results: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), 7, EXITED, Some(Cause::Done)))
        .collect();
    s.report("m-c1n", &results);
    let decisions = s.round_with(false);
    assert!(
        decisions.starts.is_empty(),
        "it has room, but its reports would get too long"
    );
    s.pass(3.0);
    s.round();
    s.report("m-c1n", &results);
    s.report("m-c1n", &[]);
    let decisions = s.round();
    assert_eq!(
        decisions.starts.len(),
        64,
        "all are written down and cleared"
    );
}

/// Found by going through the code: a plan whose task turned out to be done was never sent and
/// never dropped, and its job never ended for its user.
#[test]
fn a_task_planned_anew_that_an_old_report_shows_as_done_leaves_its_plan() {
    let mut records = accepted(&array("wk-000001", 1), true);
    records.push(roster(&["m-g1n"]));
    let mut s = Scene::with(records);
    s.pass(s.cluster.timing.inherited_lease.as_secs_f64() + 1.0);
    s.note("by its lease nothing is left on m-g1n");
    s.machines(&["m-g2n"]);
    s.round();
    let id = JobId::parse("wk-000001").unwrap();
    assert!(s.cluster.jobs[&id].placed(), "planned anew");
    let done = ("wk-000001/0", 7, EXITED, Some(Cause::Done));
    s.report_as("m-g1n", (1, 5, 0), &[done], true);
    assert!(!s.cluster.jobs[&id].placed());
    s.report("m-g2n", &[]);
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
        s.take_over(2);
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
            s.report(name, &[]);
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
