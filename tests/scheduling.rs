//! Decisions of a leader on placement, starts, terminations, failures and quotas of jobs. Most tests compare
//! the log of the leader with a snapshot in `tests/snapshots/`, so that a change of behaviour appears as a
//! changed line.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_leader.rs"]
mod test_leader;

use std::time::Duration;

use knotlanding::cluster::{DrainReason, HeartbeatOrdering};
use knotlanding::config::Settings;
use knotlanding::model::*;
use knotlanding::policy::SchedulingPolicy;
use knotlanding::store::keys::{self, CompletedTasksRecord};
use knotlanding::store::{to_value, StoreError, TransactionOutcome};
use knotlanding::wire::{ExitCause, TaskPhase};
use test_leader::*;

/// Guards against starting members of a single-zone gang in two zones, or only a part of the gang.
#[test]
fn gang_starts_only_when_one_zone_has_room_for_all_members() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-c1n", "m-c2s"]);
    leader.submit(gang_job("wk-000001", 2));
    leader.run_cycle();
    leader.note("each zone has one machine, but the gang requires a single zone: nothing starts");
    leader.receive_heartbeat("m-c1n", &[]);
    leader.receive_heartbeat("m-c3n", &[]);
    leader.run_cycle();
    leader.receive_heartbeat("m-c1n", &[]);
    leader.receive_heartbeat("m-c3n", &[]);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// After a change of leader, only the dispatch record shows that a task may run. A task started before the
/// record is written could be started a second time.
#[test]
fn start_is_not_sent_before_its_dispatch_record_is_written() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle_with(false);
    leader.receive_heartbeat("m-g1n", &[]);
    leader.note("the dispatch record is not written: the response above contains no run command");
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    insta::assert_snapshot!(leader.log);
}

/// A response to a direct command may overtake the response with a start. If the missing task in it counted
/// as a lost start, the task would start a second time.
#[test]
fn lost_start_is_detected_only_by_the_next_unsolicited_heartbeat() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.last_sequence += 1;
    leader.note("the response to a direct command overtakes the response that contains the start");
    let sequence = leader.last_sequence;
    leader.receive_heartbeat_with("m-g1n", (1, sequence, 1), &[], false);
    leader.run_cycle();
    leader.note("the agent did not receive the start: its next unsolicited heartbeat proves this");
    leader.receive_heartbeat("m-g1n", &[]);
    leader.run_cycle();
    leader.note("the machine gets no starts until it shows a token raised after the lost start");
    leader.receive_heartbeat("m-g1n", &[]);
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    insta::assert_snapshot!(leader.log);
}

/// A leader that has been replaced must not act on heartbeats of the later term.
#[test]
fn heartbeat_of_a_later_term_shows_that_the_leader_is_deposed() {
    let mut leader = TestLeader::new();
    assert_eq!(
        leader.receive_heartbeat_with("m-g1n", (1, 1, 2), &[], true),
        HeartbeatOrdering::Deposed
    );
    assert!(leader.cluster.machines.is_empty());
}

/// Guards against a second attempt of a gang while a member of the first attempt still runs.
#[test]
fn gang_that_loses_a_running_member_is_terminated_and_restarts() {
    let mut leader = leader_with_running_gang();
    leader.run_cycle();
    leader.note("m-c2n is released; the member on m-c1n is terminated, with time for a checkpoint");
    leader
        .cluster
        .remove_released_machine(&MachineId("m-c2n".into()));
    leader.run_cycle();
    leader.note("no member of the gang starts before the member on m-c1n has ended");
    leader.receive_heartbeat(
        "m-c1n",
        &[("wk-000001/0", ATTEMPT_1, TaskPhase::Checkpointing, None)],
    );
    leader.run_cycle();
    leader.receive_heartbeat(
        "m-c1n",
        &[("wk-000001/0", ATTEMPT_1, EXITED, Some(ExitCause::Stopped))],
    );
    leader.run_cycle();
    leader.receive_heartbeat("m-c1n", &[]);
    leader.receive_heartbeat("m-c3n", &[]);
    insta::assert_snapshot!(leader.log);
}

/// The members that wait for the gang would otherwise be terminated and started again.
#[test]
fn gang_member_lost_before_the_gang_runs_is_replaced_in_the_same_attempt() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-c1n", "m-c2n", "m-c3n"]);
    leader.submit(gang_job("wk-000001", 2));
    leader.run_cycle();
    leader.receive_heartbeat("m-c1n", &[]);
    leader.receive_heartbeat("m-c2n", &[]);
    leader.receive_heartbeat("m-c1n", &[("wk-000001/0", ATTEMPT_1, AWAITING_GANG, None)]);
    leader
        .cluster
        .remove_released_machine(&MachineId("m-c2n".into()));
    leader.run_cycle();
    leader.receive_heartbeat("m-c3n", &[]);
    insta::assert_snapshot!(leader.log);
}

/// Guards against a restart of completed members, and against a gang that waits for them forever.
#[test]
fn lost_gang_member_restarts_alone_when_the_other_member_has_completed() {
    let mut leader = leader_with_running_gang();
    leader.receive_heartbeat(
        "m-c1n",
        &[("wk-000001/0", ATTEMPT_1, EXITED, Some(ExitCause::Done))],
    );
    leader
        .cluster
        .remove_released_machine(&MachineId("m-c2n".into()));
    leader.run_cycle();
    leader.note(
        "only the member that has not completed restarts; it does not wait for the completed one",
    );
    insta::assert_snapshot!(leader.log);
}

/// A result that is cleared from its machine before it is recorded would be lost at a change of leader, and
/// the task would run again.
#[test]
fn completed_task_is_cleared_only_once_its_completion_is_recorded() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 2));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    let done = ("wk-000001/0", ATTEMPT_1, EXITED, Some(ExitCause::Done));
    let other = ("wk-000001/1", ATTEMPT_2, RUNNING, None);
    leader.receive_heartbeat("m-g1n", &[done, other]);
    leader.run_cycle_with(false);
    leader.receive_heartbeat("m-g1n", &[done, other]);
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[done, other]);
    let other = ("wk-000001/1", ATTEMPT_2, EXITED, Some(ExitCause::Done));
    leader.receive_heartbeat("m-g1n", &[other]);
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[other]);
    insta::assert_snapshot!(leader.log);
}

/// Tasks whose start or end no heartbeat has shown yet use capacity too. Without them, a team exceeds its
/// limit.
#[test]
fn team_limit_counts_unconfirmed_starts_and_unfinished_terminations() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2n", "m-g3n"]);
    leader.submit(array_job("wk-000001", 3));
    leader.submit(array_job("wk-000002", 3));
    leader.run_cycle();
    leader.note("the team may use four GPUs: one task of the second job starts, two are pending");
    for machine in ["m-g1n", "m-g2n", "m-g3n"] {
        leader.receive_heartbeat(machine, &[]);
    }
    leader.cancel("wk-000001");
    leader.run_cycle();
    leader.note("the tasks of the cancelled job have not ended and still count toward the limit");
    insta::assert_snapshot!(leader.log);
}

/// A start may still be in flight when its job is cancelled. A new leader must find the records as long as
/// the task may run.
#[test]
fn records_of_a_cancelled_job_are_deleted_only_once_its_tasks_have_ended() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.cancel("wk-000001");
    leader.note("the job is cancelled while the start is in flight");
    leader.run_cycle();
    leader.receive_heartbeat(
        "m-g1n",
        &[("wk-000001/0", ATTEMPT_1, TaskPhase::PullingImage, None)],
    );
    leader.run_cycle();
    leader.receive_heartbeat(
        "m-g1n",
        &[("wk-000001/0", ATTEMPT_1, EXITED, Some(ExitCause::Stopped))],
    );
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    assert!(leader.cluster.jobs.is_empty());
    insta::assert_snapshot!(leader.log);
}

/// The store may apply a write long after its request has timed out. Applied after a newer write of the same
/// record, it would restore old contents.
#[test]
fn write_with_unknown_outcome_cannot_overwrite_a_newer_write_when_applied_late() {
    let mut leader = TestLeader::new();
    leader.receive_heartbeat("m-g1n", &[]);
    let replica = leader.replica();
    let unconfirmed = leader.cluster.due_writes(&replica, leader.now).remove(0);
    leader.cluster.apply_write_outcome(
        &unconfirmed.kind,
        &TransactionOutcome::Failed(StoreError::OutcomeUnknown),
    );
    leader.receive_heartbeat("m-g2n", &[]);
    let second = leader.cluster.due_writes(&replica, leader.now).remove(0);
    leader
        .cluster
        .apply_write_outcome(&second.kind, &TransactionOutcome::Committed(7));
    // Both writes require the same version of the shard: once one is applied, the other one fails.
    assert_eq!(
        unconfirmed.transaction.conditions,
        second.transaction.conditions
    );
    leader.receive_heartbeat("m-g3n", &[]);
    let next = leader.cluster.due_writes(&replica, leader.now).remove(0);
    assert_eq!(
        next.transaction.conditions[0].version, 7,
        "the next write requires the version of the committed one"
    );
}

/// A task of no stored job uses capacity that the leader has not accounted for.
#[test]
fn unknown_task_is_terminated_and_its_machine_gets_no_starts_meanwhile() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.receive_heartbeat("m-g1n", &[("wk-000009/0", 5, RUNNING, None)]);
    leader.run_cycle();
    leader.receive_heartbeat(
        "m-g1n",
        &[("wk-000009/0", 5, EXITED, Some(ExitCause::Stopped))],
    );
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// Guards against a faulty machine that attracts tasks, and against a faulty job whose failures count against
/// machines.
#[test]
fn machine_with_failures_of_three_jobs_is_drained_and_job_failing_on_three_machines_is_suspected() {
    let mut leader = TestLeader::new();
    let failed = |task, attempt| (task, attempt, EXITED, Some(ExitCause::Error));
    leader.add_machines(&["m-g1n"]);
    for id in ["wk-000001", "wk-000002", "wk-000003"] {
        leader.submit(array_job(id, 1));
    }
    leader.note("two jobs fail on one machine: both jobs may be at fault");
    let one = failed("wk-000001/0", 1);
    let two = failed("wk-000002/0", 2);
    leader.receive_heartbeat("m-g1n", &[one, two]);
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    leader.note("a third job fails there: the machine is at fault");
    leader.receive_heartbeat("m-g1n", &[one, two, failed("wk-000003/0", 3)]);
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    leader.note("wk-000001 fails on three machines: its failures count against none of them");
    for (machine, attempt) in [("m-g2n", 4), ("m-g3n", 5)] {
        leader.receive_heartbeat(machine, &[failed("wk-000001/0", attempt)]);
    }
    leader.run_cycle();
    let machines = leader.cluster.machines.values();
    let faults = machines.flat_map(|m| {
        m.faults
            .iter()
            .map(move |fault| format!("{} for {}", m.id, fault.job))
    });
    let faults: Vec<String> = faults.collect();
    leader.note(&format!("machine faults: {faults:?}"));
    insta::assert_snapshot!(leader.log);
}

/// Some submitted jobs can never succeed. Two of them failed on the same machines, so that these machines
/// counted as faulty, and each failure put its machine into a backoff.
#[test]
fn jobs_that_fail_everywhere_drain_no_machine_and_get_rare_trials_of_one_task() {
    let mut leader = TestLeader::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n"];
    leader.add_machines(&names);
    for id in ["wk-000001", "wk-000002"] {
        let mut job = array_job(id, 4);
        job.team = "blue".to_owned();
        leader.submit(job);
    }
    let failed = |task, attempt| (task, attempt, EXITED, Some(ExitCause::Error));
    for name in &names[..3] {
        leader.receive_heartbeat(name, &[failed("wk-000001/0", 1), failed("wk-000002/0", 2)]);
    }
    assert!(leader
        .cluster
        .machines
        .values()
        .all(|m| m.drain.is_none() && m.backoff_until.is_none()));
    leader.note("both jobs are suspected; an unsuspected job of the same priority goes first");
    leader.submit(array_job("wk-000003", 2));
    leader.advance_clock(2.0);
    for name in &names {
        leader.receive_heartbeat(name, &[]);
    }
    leader.run_cycle();
    leader.note(
        "the next trial starts one task of each job; nothing is rented or preempted for the others",
    );
    leader.advance_clock(14.0);
    for name in &names {
        leader.receive_heartbeat(name, &[]);
    }
    let decisions = leader.run_cycle();
    assert!(decisions.unmet_demand.is_empty() && decisions.terminations.is_empty());
    let first = JobId::parse("wk-000001").unwrap();
    let trials: Vec<_> = decisions
        .starts
        .iter()
        .filter(|start| start.job == first)
        .collect();
    assert_eq!(trials.len(), 1);
    let mut placements = leader.cluster.jobs[&first].placements.values().flatten();
    let placement = placements.next().unwrap().clone();
    let (machine, attempt) = (placement.machine.to_string(), placement.attempt.0);
    leader.receive_heartbeat(&machine, &[]);
    leader.receive_heartbeat(&machine, &[failed("wk-000001/0", attempt)]);
    let backoff_left =
        |leader: &TestLeader| leader.cluster.jobs[&first].backoff_until.unwrap() - leader.now;
    assert_eq!(
        backoff_left(&leader),
        Duration::from_secs(30),
        "the failed trial doubles the backoff"
    );
    leader.note("a task of wk-000001 completes: the other tasks of the job start at once");
    leader.receive_heartbeat(
        "m-g4n",
        &[("wk-000001/1", 77, EXITED, Some(ExitCause::Done))],
    );
    let decisions = leader.run_cycle();
    assert!(decisions.starts.iter().any(|start| start.job == first));
    insta::assert_snapshot!(leader.log);
}

/// A job that completes tasks elsewhere is not at fault, so that its failure is attributed to the machine.
#[test]
fn machine_is_drained_once_two_jobs_that_failed_on_it_complete_tasks_elsewhere() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2n"]);
    for id in ["wk-000001", "wk-000002"] {
        leader.submit(array_job(id, 2));
    }
    let exited = |task, attempt, cause| (task, attempt, EXITED, Some(cause));
    let drain = |leader: &TestLeader| leader.cluster.machines[&MachineId("m-g1n".into())].drain;
    let errors = [
        exited("wk-000001/0", 1, ExitCause::Error),
        exited("wk-000002/0", 2, ExitCause::Error),
    ];
    leader.receive_heartbeat("m-g1n", &errors);
    assert_eq!(drain(&leader), None);
    leader.receive_heartbeat("m-g2n", &[exited("wk-000001/1", 3, ExitCause::Done)]);
    assert_eq!(
        drain(&leader),
        None,
        "only one of the two failures is proven to be the machine's fault"
    );
    leader.submit(gang_job("wk-000003", 2));
    leader.receive_heartbeat("m-g1n", &[exited("wk-000003/0", 5, ExitCause::Error)]);
    assert_eq!(
        drain(&leader),
        Some(DrainReason::Faulty),
        "three jobs failed, whatever their results elsewhere"
    );
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2n"]);
    leader.submit(array_job("wk-000001", 2));
    leader.submit(gang_job("wk-000003", 2));
    let failed_member = exited("wk-000003/0", 5, ExitCause::Error);
    leader.receive_heartbeat("m-g1n", &[errors[0], failed_member]);
    leader.receive_heartbeat("m-g2n", &[exited("wk-000001/1", 3, ExitCause::Done)]);
    assert_eq!(drain(&leader), None);
    leader.note(
        "a faulty gang would fail on m-g2n too, but this member ended only because the other one did",
    );
    leader.receive_heartbeat(
        "m-g2n",
        &[exited("wk-000003/1", 5, ExitCause::GangMemberLost)],
    );
    assert_eq!(drain(&leader), Some(DrainReason::Faulty));
}

/// An estimate may be wrong for all machines. Only a machine that is slower than others for several jobs is
/// at fault.
#[test]
fn machine_slow_for_three_jobs_is_drained_and_wrong_estimates_drain_none() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2n"]);
    for job in 1..=18u64 {
        let id = format!("wk-{job:06}");
        leader.submit(array_job(&id, 1));
        let task = format!("{id}/0");
        // All estimates are twice the run time on `m-g2n`, and tasks on `m-g1n` run five times as long as
        // there.
        let (machine, run_s) = if job % 6 == 0 {
            ("m-g1n", 250.0)
        } else {
            ("m-g2n", 50.0)
        };
        leader.receive_heartbeat(machine, &[(&task, job, RUNNING, None)]);
        leader.advance_clock(run_s);
        leader.receive_heartbeat(machine, &[(&task, job, EXITED, Some(ExitCause::Done))]);
        leader.receive_heartbeat(machine, &[]);
    }
    let drain =
        |leader: &TestLeader, id: &str| leader.cluster.machines[&MachineId(id.into())].drain;
    assert_eq!(drain(&leader, "m-g1n"), Some(DrainReason::Slow));
    assert_eq!(drain(&leader, "m-g2n"), None);
}

/// Guards against preemption of more tasks than necessary, also while the requested termination is in
/// progress.
#[test]
fn urgent_gang_preempts_only_as_many_standard_tasks_as_it_needs() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    let mut standard = array_job("wk-000001", 2);
    standard.checkpoint_interval_s = 15.0;
    standard.checkpoint_cost_s = 6.0;
    leader.submit(standard);
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    let first = ("wk-000001/0", ATTEMPT_1, RUNNING, None);
    let second = ("wk-000001/1", ATTEMPT_2, RUNNING, None);
    leader.receive_heartbeat("m-g1n", &[first, second]);
    let mut urgent = gang_job("wk-000002", 1);
    urgent.task_resources.cpus = 7.0;
    leader.submit(urgent);
    leader.run_cycle();
    leader.advance_clock(0.5);
    leader.note("the requested termination is not sent again yet");
    leader.run_cycle();
    let stopped = ("wk-000001/0", ATTEMPT_1, EXITED, Some(ExitCause::Stopped));
    leader.receive_heartbeat("m-g1n", &[stopped, second]);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// Guards against pending jobs for which no machine is rented, and against unused machines that stay rented.
#[test]
fn fleet_rents_for_pending_jobs_and_releases_idle_and_unresponsive_machines() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-c1n", "m-g1n"]);
    leader.submit(array_job("wk-000001", 4));
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    leader.receive_heartbeat("m-g1n", &[]);
    leader.advance_clock(90.0);
    leader.receive_heartbeat("m-c1n", &[]);
    let decisions = leader.run_cycle();
    leader.note("m-c1n is idle, and m-g1n has been unresponsive for longer than four leases");
    leader.plan_scaling(&decisions);
    leader.advance_clock(15.0);
    let decisions = leader.run_cycle();
    leader.note("the controller may be isolated: only machines unresponsive for four leases count as failed");
    leader.plan_scaling(&decisions);
    insta::assert_snapshot!(leader.log);
}

/// Guards against lost results at a change of leader.
#[test]
fn tasks_completed_in_an_earlier_term_do_not_run_again() {
    let mut records = accepted_job_records(&array_job("wk-000001", 3), true);
    let id = JobId::parse("wk-000001").unwrap();
    let bits = CompletedTasksRecord {
        bits: "5".to_owned(),
    };
    records.push((keys::completed_tasks(&id, 0), to_value(&bits)));
    let mut leader = TestLeader::with_records(records);
    leader.receive_heartbeat_with("m-g1n", (1, 1, 1), &[], true);
    leader.run_cycle();
    leader.note("tasks 0 and 2 are recorded as completed: only task 1 starts");
    insta::assert_snapshot!(leader.log);
}

/// The settings may contain objectives of any kind at any time. Unknown kinds must not change the policy.
#[test]
fn objectives_of_unknown_kinds_are_ignored() {
    let text = common::settings_text(
        "a",
        "127.0.0.1:1",
        "127.0.0.1:2",
        "127.0.0.1:3",
        "127.0.0.1:4",
    );
    let objective = |lines: &str| format!("\n[[params.objectives]]\n{lines}\n");
    let objectives = [
        objective("kind = \"colour\"\nclass = \"batch\"\nwithin_s = 3.0\nshade = [1, 2]"),
        objective("kind = \"makespan\"\nshare = 0.999"),
        objective("kind = \"guarantee\"\nwithin_s = 5.0\nshare = 0.8"),
        objective("kind = \"deadline\"\nclass = \"batch\"\ntimes = 1.75"),
    ];
    let settings = Settings::parse(&(text + &objectives.concat()), "test").unwrap();
    let policy = SchedulingPolicy::new(&settings);
    assert_eq!(
        policy.start_objectives.len(),
        1,
        "only the objective of the base settings"
    );
    assert!(
        policy.completion_objectives.is_empty(),
        "the unknown kind sets no completion objective"
    );
    assert_eq!(policy.guarantee_objective, Some(Duration::from_secs(5)));
    assert_eq!(policy.deadline_objectives["batch"], [1.75]);
}
