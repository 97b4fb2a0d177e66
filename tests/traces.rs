//! Kept traces of the core: what is told to whom and why, under a clock the test moves.
//! Read them in `tests/snapshots/`; a change of behaviour shows there as a changed line.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use std::time::Duration;

use knotlanding::cluster::{DrainReason, HeartbeatOrdering};
use knotlanding::config::Settings;
use knotlanding::model::*;
use knotlanding::policy::SchedulingPolicy;
use knotlanding::store::keys::{self, CompletedTasksRecord};
use knotlanding::store::{to_value, StoreError, TransactionOutcome};
use knotlanding::wire::{ExitCause, TaskPhase};
use scene::*;

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-c2s"]);
    s.submit(gang("wk-000001", 2));
    s.round();
    s.note("one machine in each zone, but the gang wants one zone: nothing starts");
    s.heartbeat("m-c1n", &[]);
    s.heartbeat("m-c3n", &[]);
    s.round();
    s.heartbeat("m-c1n", &[]);
    s.heartbeat("m-c3n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn no_start_leaves_before_its_records_are_written() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round_with(false);
    s.heartbeat("m-g1n", &[]);
    s.note("the started flag is not written: no run above");
    s.round();
    s.heartbeat("m-g1n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_start_that_got_lost_is_settled_by_the_next_own_report_only() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.heartbeat("m-g1n", &[]);
    s.sequence += 1;
    s.note("the answer to a direct command overtakes the answer with the start");
    let sequence = s.sequence;
    s.report_as("m-g1n", (1, sequence, 1), &[], false);
    s.round();
    s.note("the worker dropped the answer: its own next report proves it");
    s.heartbeat("m-g1n", &[]);
    s.round();
    s.note("nothing more goes there until it brings back a token given to it since");
    s.heartbeat("m-g1n", &[]);
    s.round();
    s.heartbeat("m-g1n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_deposed_leader_learns_it_from_the_token() {
    let mut s = Scene::new();
    assert_eq!(
        s.report_as("m-g1n", (1, 1, 2), &[], true),
        HeartbeatOrdering::Deposed
    );
    assert!(s.cluster.machines.is_empty());
}

#[test]
fn a_gang_that_lost_a_running_member_stops_and_starts_anew() {
    let mut s = running_gang();
    s.round();
    s.note("one machine is returned; the other member is told to stop with time to save");
    s.cluster
        .remove_released_machine(&MachineId("m-c2n".into()));
    s.round();
    s.note("until it is gone nothing of the gang starts");
    s.heartbeat(
        "m-c1n",
        &[("wk-000001/0", FIRST, TaskPhase::Checkpointing, None)],
    );
    s.round();
    s.heartbeat(
        "m-c1n",
        &[("wk-000001/0", FIRST, EXITED, Some(ExitCause::Stopped))],
    );
    s.round();
    s.heartbeat("m-c1n", &[]);
    s.heartbeat("m-c3n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_member_that_vanished_before_the_start_is_replaced_under_the_same_attempt() {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-c2n", "m-c3n"]);
    s.submit(gang("wk-000001", 2));
    s.round();
    s.heartbeat("m-c1n", &[]);
    s.heartbeat("m-c2n", &[]);
    s.heartbeat("m-c1n", &[("wk-000001/0", FIRST, GATHERING, None)]);
    s.cluster
        .remove_released_machine(&MachineId("m-c2n".into()));
    s.round();
    s.heartbeat("m-c3n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn members_that_succeeded_count_toward_the_minimum() {
    let mut s = running_gang();
    s.heartbeat(
        "m-c1n",
        &[("wk-000001/0", FIRST, EXITED, Some(ExitCause::Done))],
    );
    s.cluster
        .remove_released_machine(&MachineId("m-c2n".into()));
    s.round();
    s.note("only the member without a result starts again; it need not wait for the other");
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_result_is_cleared_and_told_only_once_it_is_written() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 2));
    s.round();
    s.heartbeat("m-g1n", &[]);
    let done = ("wk-000001/0", FIRST, EXITED, Some(ExitCause::Done));
    let other = ("wk-000001/1", SECOND, RUNNING, None);
    s.heartbeat("m-g1n", &[done, other]);
    s.round_with(false);
    s.heartbeat("m-g1n", &[done, other]);
    s.round();
    s.heartbeat("m-g1n", &[done, other]);
    let other = ("wk-000001/1", SECOND, EXITED, Some(ExitCause::Done));
    s.heartbeat("m-g1n", &[other]);
    s.round();
    s.heartbeat("m-g1n", &[other]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_team_s_limit_counts_starts_not_yet_confirmed_and_stops_not_yet_finished() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n", "m-g3n"]);
    s.submit(array("wk-000001", 3));
    s.submit(array("wk-000002", 3));
    s.round();
    s.note("the team may use four cards: one task of the second job is in, two wait");
    for machine in ["m-g1n", "m-g2n", "m-g3n"] {
        s.heartbeat(machine, &[]);
    }
    s.cancel("wk-000001");
    s.round();
    s.note("cancelled, but not gone: still counted");
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_cancelled_job_leaves_its_records_last() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.heartbeat("m-g1n", &[]);
    s.cancel("wk-000001");
    s.note("cancelled while the start is on its way");
    s.round();
    s.heartbeat(
        "m-g1n",
        &[("wk-000001/0", FIRST, TaskPhase::PullingImage, None)],
    );
    s.round();
    s.heartbeat(
        "m-g1n",
        &[("wk-000001/0", FIRST, EXITED, Some(ExitCause::Stopped))],
    );
    s.round();
    s.heartbeat("m-g1n", &[]);
    assert!(s.cluster.jobs.is_empty());
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_write_without_an_answer_can_not_undo_a_newer_one_when_it_is_applied_late() {
    let mut s = Scene::new();
    s.heartbeat("m-g1n", &[]);
    let replica = s.replica();
    let lost = s.cluster.due_writes(&replica, s.now).remove(0);
    s.cluster.apply_write_outcome(
        &lost.kind,
        &TransactionOutcome::Failed(StoreError::OutcomeUnknown),
    );
    s.heartbeat("m-g2n", &[]);
    let again = s.cluster.due_writes(&replica, s.now).remove(0);
    s.cluster
        .apply_write_outcome(&again.kind, &TransactionOutcome::Committed(7));
    // Both ask for the shard as it was: whichever is applied first, the other one fails.
    assert_eq!(lost.transaction.conditions, again.transaction.conditions);
    s.heartbeat("m-g3n", &[]);
    let next = s.cluster.due_writes(&replica, s.now).remove(0);
    assert_eq!(
        next.transaction.conditions[0].version, 7,
        "and the next one builds on what was written"
    );
}

#[test]
fn a_task_nobody_knows_is_killed_and_its_machine_gets_nothing_else_meanwhile() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.heartbeat("m-g1n", &[("wk-000009/0", 5, RUNNING, None)]);
    s.round();
    s.heartbeat(
        "m-g1n",
        &[("wk-000009/0", 5, EXITED, Some(ExitCause::Stopped))],
    );
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn failures_blame_the_machine_for_several_jobs_and_the_job_for_several_machines() {
    let mut s = Scene::new();
    let failed = |task, attempt| (task, attempt, EXITED, Some(ExitCause::Error));
    s.machines(&["m-g1n"]);
    for id in ["wk-000001", "wk-000002", "wk-000003"] {
        s.submit(array(id, 1));
    }
    s.note("two jobs fail there: both jobs may be at fault");
    let one = failed("wk-000001/0", 1);
    let two = failed("wk-000002/0", 2);
    s.heartbeat("m-g1n", &[one, two]);
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("a third one: the machine is at fault");
    s.heartbeat("m-g1n", &[one, two, failed("wk-000003/0", 3)]);
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("one of them fails on three machines, none of which is blamed for it");
    for (machine, attempt) in [("m-g2n", 4), ("m-g3n", 5)] {
        s.heartbeat(machine, &[failed("wk-000001/0", attempt)]);
    }
    s.round();
    let blamed = s.cluster.machines.values();
    let blamed = blamed.flat_map(|m| {
        m.faults
            .iter()
            .map(move |b| format!("{} for {}", m.id, b.job))
    });
    let blamed: Vec<String> = blamed.collect();
    s.note(&format!("blamed: {blamed:?}"));
    insta::assert_snapshot!(s.log);
}

/// Some jobs are submitted so that they can never succeed. Two of them on the same machines were taken for
/// faulty machines, and every failure made its machine rest.
#[test]
fn jobs_that_fail_everywhere_cost_no_machine_and_are_tried_small_and_rarely() {
    let mut s = Scene::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n"];
    s.machines(&names);
    for id in ["wk-000001", "wk-000002"] {
        let mut job = array(id, 4);
        job.team = "blue".to_owned();
        s.submit(job);
    }
    let failed = |task, attempt| (task, attempt, EXITED, Some(ExitCause::Error));
    for name in &names[..3] {
        s.heartbeat(name, &[failed("wk-000001/0", 1), failed("wk-000002/0", 2)]);
    }
    assert!(s
        .cluster
        .machines
        .values()
        .all(|m| m.drain.is_none() && m.backoff_until.is_none()));
    s.note("both are suspected; a healthy job of the same rank goes first");
    s.submit(array("wk-000003", 2));
    s.pass(2.0);
    for name in &names {
        s.heartbeat(name, &[]);
    }
    s.round();
    s.note("their next trial: one task each, and nothing is rented or stopped for the rest");
    s.pass(14.0);
    for name in &names {
        s.heartbeat(name, &[]);
    }
    let decisions = s.round();
    assert!(decisions.unmet_demand.is_empty() && decisions.terminations.is_empty());
    let first = JobId::parse("wk-000001").unwrap();
    let trials: Vec<_> = decisions
        .starts
        .iter()
        .filter(|start| start.job == first)
        .collect();
    assert_eq!(trials.len(), 1);
    let mut placements = s.cluster.jobs[&first].placements.values().flatten();
    let place = placements.next().unwrap().clone();
    let (on, attempt) = (place.machine.to_string(), place.attempt.0);
    s.heartbeat(&on, &[]);
    s.heartbeat(&on, &[failed("wk-000001/0", attempt)]);
    let rests = |s: &Scene| s.cluster.jobs[&first].backoff_until.unwrap() - s.now;
    assert_eq!(
        rests(&s),
        Duration::from_secs(30),
        "twice as long as before"
    );
    s.note("it completes somewhere after all: the rest of it starts at once");
    s.heartbeat(
        "m-g4n",
        &[("wk-000001/1", 77, EXITED, Some(ExitCause::Done))],
    );
    let decisions = s.round();
    assert!(decisions.starts.iter().any(|start| start.job == first));
    insta::assert_snapshot!(s.log);
}

/// What completes elsewhere was not at fault where it failed.
#[test]
fn a_machine_on_which_two_jobs_fail_that_complete_elsewhere_is_given_up() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    for id in ["wk-000001", "wk-000002"] {
        s.submit(array(id, 2));
    }
    let exited = |task, attempt, cause| (task, attempt, EXITED, Some(cause));
    let drain = |s: &Scene| s.cluster.machines[&MachineId("m-g1n".into())].drain;
    let errors = [
        exited("wk-000001/0", 1, ExitCause::Error),
        exited("wk-000002/0", 2, ExitCause::Error),
    ];
    s.heartbeat("m-g1n", &errors);
    assert_eq!(drain(&s), None);
    s.heartbeat("m-g2n", &[exited("wk-000001/1", 3, ExitCause::Done)]);
    assert_eq!(drain(&s), None, "one of them is proven");
    s.submit(gang("wk-000003", 2));
    s.heartbeat("m-g1n", &[exited("wk-000003/0", 5, ExitCause::Error)]);
    assert_eq!(
        drain(&s),
        Some(DrainReason::Faulty),
        "three, whatever becomes of them"
    );
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    s.submit(array("wk-000001", 2));
    s.submit(gang("wk-000003", 2));
    let gone = exited("wk-000003/0", 5, ExitCause::Error);
    s.heartbeat("m-g1n", &[errors[0], gone]);
    s.heartbeat("m-g2n", &[exited("wk-000001/1", 3, ExitCause::Done)]);
    assert_eq!(drain(&s), None);
    s.note(
        "every member of a gang that can never succeed fails: this one only goes with the other",
    );
    s.heartbeat(
        "m-g2n",
        &[exited("wk-000003/1", 5, ExitCause::GangMemberLost)],
    );
    assert_eq!(drain(&s), Some(DrainReason::Faulty));
}

#[test]
fn a_machine_that_is_slow_for_three_jobs_is_given_up_and_wrong_estimates_blame_none() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    for job in 1..=18u64 {
        let id = format!("wk-{job:06}");
        s.submit(array(&id, 1));
        let task = format!("{id}/0");
        // Every estimate is twice too high; what runs on the first machine takes five times
        // as long as what runs on the second.
        let (machine, ran) = if job % 6 == 0 {
            ("m-g1n", 250.0)
        } else {
            ("m-g2n", 50.0)
        };
        s.heartbeat(machine, &[(&task, job, RUNNING, None)]);
        s.pass(ran);
        s.heartbeat(machine, &[(&task, job, EXITED, Some(ExitCause::Done))]);
        s.heartbeat(machine, &[]);
    }
    let drain = |s: &Scene, id: &str| s.cluster.machines[&MachineId(id.into())].drain;
    assert_eq!(drain(&s, "m-g1n"), Some(DrainReason::Slow));
    assert_eq!(drain(&s, "m-g2n"), None);
}

#[test]
fn urgent_work_takes_room_from_standard_work_and_only_as_much_as_it_needs() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    let mut low = array("wk-000001", 2);
    low.checkpoint_interval_s = 15.0;
    low.checkpoint_cost_s = 6.0;
    s.submit(low);
    s.round();
    s.heartbeat("m-g1n", &[]);
    let first = ("wk-000001/0", FIRST, RUNNING, None);
    let second = ("wk-000001/1", SECOND, RUNNING, None);
    s.heartbeat("m-g1n", &[first, second]);
    let mut high = gang("wk-000002", 1);
    high.task_resources.cpus = 7.0;
    s.submit(high);
    s.round();
    s.pass(0.5);
    s.note("the stop under way is not asked for twice");
    s.round();
    let stopped = ("wk-000001/0", FIRST, EXITED, Some(ExitCause::Stopped));
    s.heartbeat("m-g1n", &[stopped, second]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn the_fleet_rents_for_who_waits_and_returns_what_is_idle_or_lost() {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-g1n"]);
    s.submit(array("wk-000001", 4));
    let decisions = s.round();
    s.fleet(&decisions);
    s.heartbeat("m-g1n", &[]);
    s.pass(90.0);
    s.heartbeat("m-c1n", &[]);
    let decisions = s.round();
    s.note("one machine idle, one silent for long");
    s.fleet(&decisions);
    s.pass(15.0);
    let decisions = s.round();
    s.note("nobody is heard: it may be us, so silence alone returns only what can't be alive");
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

#[test]
fn done_tasks_of_an_earlier_term_never_run_again() {
    let mut records = accepted(&array("wk-000001", 3), true);
    let id = JobId::parse("wk-000001").unwrap();
    let bits = CompletedTasksRecord {
        bits: "5".to_owned(),
    };
    records.push((keys::completed_tasks(&id, 0), to_value(&bits)));
    let mut s = Scene::with(records);
    s.report_as("m-g1n", (1, 1, 1), &[], true);
    s.round();
    s.note("tasks 0 and 2 are on record as done: only 1 starts");
    insta::assert_snapshot!(s.log);
}

/// The platform may name aims of any kind at any time; what we don't know must do no harm.
#[test]
fn aims_of_kinds_that_nobody_knows_are_ignored() {
    let text = common::settings_text(
        "a",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "127.0.0.1:4",
    );
    let aim = |lines: &str| format!("\n[[params.objectives]]\n{lines}\n");
    let more = [
        aim("kind = \"colour\"\nclass = \"batch\"\nwithin_s = 3.0\nshade = [1, 2]"),
        aim("kind = \"makespan\"\nshare = 0.999"),
        aim("kind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.8"),
        aim("kind = \"deadline\"\nclass = \"batch\"\ntimes = 1.75"),
    ];
    let settings = Settings::parse(&(text + &more.concat()), "test").unwrap();
    let policy = SchedulingPolicy::new(&settings);
    assert_eq!(policy.start_objectives.len(), 1, "only what it was before");
    assert!(
        policy.completion_objectives.is_empty(),
        "a colour is no time to be over"
    );
    assert_eq!(policy.guarantee_objective, Some(Duration::from_secs(5)));
    assert_eq!(policy.deadline_objectives["batch"], [1.75]);
}
