//! Heartbeats that arrive late, twice or from a restarted machine, and machines that do not receive the
//! responses to their heartbeats. Most tests compare the log of the leader with a snapshot in
//! `tests/snapshots/`.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_leader.rs"]
mod test_leader;

use knotlanding::cluster::HeartbeatOrdering;
use knotlanding::model::*;
use knotlanding::wire::ExitCause;
use test_leader::*;

/// The network may delay and duplicate heartbeats. An old one must not end or add tasks, or add a machine.
#[test]
fn late_and_duplicate_heartbeats_have_no_effect() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g1n", &[("wk-000001/0", ATTEMPT_1, RUNNING, None)]);
    assert_eq!(
        leader.receive_heartbeat_with("m-g1n", (1, 1, 0), &[], true),
        HeartbeatOrdering::Older
    );
    leader.note("a new epoch proves that all tasks of the former one have ended");
    leader.receive_heartbeat_with("m-g1n", (2, 1, 1), &[], true);
    leader.run_cycle();
    leader.note("a late heartbeat does not add a released machine again");
    leader
        .cluster
        .remove_released_machine(&MachineId("m-g1n".into()));
    assert_eq!(
        leader.receive_heartbeat_with("m-g1n", (2, 2, 1), &[], true),
        HeartbeatOrdering::Older
    );
    assert!(leader.cluster.machines.is_empty());
    insta::assert_snapshot!(leader.log);
}

/// A raised token makes the agent send its next heartbeat at once. Guards against a direct command for each
/// start, to which agents do not react within half a lease.
#[test]
fn token_is_raised_for_a_waiting_start_at_most_once_per_half_lease() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.note("the dispatch record is written: the token is raised, at most once per half lease");
    leader.run_cycle();
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.submit(array_job("wk-000002", 1));
    leader.run_cycle();
    leader.run_cycle();
    leader.advance_clock(12.0);
    leader.receive_heartbeat("m-g1n", &[("wk-000001/0", ATTEMPT_1, RUNNING, None)]);
    leader.submit(array_job("wk-000003", 1));
    leader.receive_heartbeat(
        "m-g1n",
        &[("wk-000002/0", ATTEMPT_2, EXITED, Some(ExitCause::Done))],
    );
    leader.run_cycle();
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// Heartbeats may arrive from a machine that no response reaches. Starts for it would be lost, so that its
/// task is placed on another machine.
#[test]
fn machine_that_acknowledges_no_responses_gets_no_starts_and_is_released() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2s", "m-g3s", "m-g4s"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.note("from now on no response or command reaches m-g1n, but its heartbeats arrive");
    let running = ("wk-000001/0", ATTEMPT_2, RUNNING, None);
    for step in 0..6 {
        leader.advance_clock(0.4);
        receive_heartbeat_with_first_token(&mut leader, "m-g1n", &[]);
        leader.receive_heartbeat(
            "m-g2s",
            if step < 2 {
                &[]
            } else {
                std::slice::from_ref(&running)
            },
        );
        for other in ["m-g3s", "m-g4s"] {
            leader.receive_heartbeat(other, &[]);
        }
        let decisions = leader.run_cycle();
        leader.plan_scaling(&decisions);
    }
    insta::assert_snapshot!(leader.log);
}

/// A partition may interrupt only the direction toward the machines. It may end soon, so that the machines of
/// a whole zone are not released at once.
#[test]
fn machine_that_acknowledges_again_gets_starts_and_an_unreachable_zone_is_not_released_at_once() {
    let mut leader = TestLeader::new();
    let south = ["m-g2s", "m-g3s", "m-g4s"];
    leader.add_machines(&["m-g1n", "m-g5n", "m-g6n", "m-g2s", "m-g3s", "m-g4s"]);
    let mut job = array_job("wk-000001", 12);
    job.team = "blue".to_owned();
    leader.submit(job);
    leader.run_cycle();
    for machine in ["m-g1n", "m-g5n", "m-g6n", "m-g2s", "m-g3s", "m-g4s"] {
        leader.receive_heartbeat(machine, &[]);
    }
    leader.note("from now on no response or command reaches the machines in south");
    for machine in south {
        receive_heartbeat_with_first_token(&mut leader, machine, &[]);
    }
    for _ in 0..5 {
        leader.advance_clock(0.5);
        for machine in south {
            receive_heartbeat_with_first_token(&mut leader, machine, &[]);
        }
        for machine in ["m-g1n", "m-g5n", "m-g6n"] {
            leader.receive_heartbeat(machine, &[]);
        }
    }
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    leader.note("responses reach m-g2s again");
    leader.receive_heartbeat("m-g2s", &[]);
    leader.run_cycle();
    leader.receive_heartbeat("m-g2s", &[]);
    leader.note("two unreachable machines are too few to count as a zone partition");
    leader.advance_clock(1.0);
    let running = [
        ("wk-000001/6", ATTEMPT_1 + 18, RUNNING, None),
        ("wk-000001/7", ATTEMPT_1 + 19, RUNNING, None),
    ];
    leader.receive_heartbeat("m-g2s", &running);
    for machine in ["m-g3s", "m-g4s"] {
        receive_heartbeat_with_first_token(&mut leader, machine, &[]);
    }
    for machine in ["m-g1n", "m-g5n", "m-g6n"] {
        leader.receive_heartbeat(machine, &[]);
    }
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    insta::assert_snapshot!(leader.log);
}

/// The network may deliver copies of heartbeats from before a start, a termination, a restart or the release
/// of a machine.
#[test]
fn late_copies_of_heartbeats_change_no_tasks_faults_or_machines() {
    let mut test = TestLeader::new();
    test.add_machines(&["m-g1n", "m-g2n"]);
    test.submit(array_job("wk-000001", 1));
    test.run_cycle();
    test.receive_heartbeat("m-g1n", &[]);
    test.receive_heartbeat("m-g1n", &[("wk-000001/0", ATTEMPT_1, RUNNING, None)]);
    test.note("copies from before the start neither repeat the start nor end the task");
    for sequence in [1, 3] {
        assert_eq!(
            test.receive_heartbeat_with("m-g1n", (1, sequence, 1), &[], true),
            HeartbeatOrdering::Older
        );
    }
    test.run_cycle();
    test.cancel("wk-000001");
    test.run_cycle();
    test.receive_heartbeat(
        "m-g1n",
        &[("wk-000001/0", ATTEMPT_1, EXITED, Some(ExitCause::Stopped))],
    );
    test.note("a copy from before its end does not add the task again: its capacity is free");
    let sequence = test.last_sequence - 1;
    test.receive_heartbeat_with(
        "m-g1n",
        (1, sequence, 1),
        &[("wk-000001/0", ATTEMPT_1, RUNNING, None)],
        true,
    );
    test.submit(array_job("wk-000002", 4));
    test.run_cycle();
    test.note("after a new epoch, copies from the former one record no fault and add no task");
    test.receive_heartbeat_with("m-g1n", (2, 1, 1), &[], true);
    let failed = ("wk-000001/0", ATTEMPT_1, EXITED, Some(ExitCause::Error));
    for sequence in [4, 70] {
        let ordering = test.receive_heartbeat_with("m-g1n", (1, sequence, 1), &[failed], true);
        assert_eq!(ordering, HeartbeatOrdering::Older);
    }
    assert!(test.cluster.machines.values().all(|m| m.faults.is_empty()));
    test.note("m-g2n is released, then a late copy of its heartbeat arrives");
    test.cluster
        .remove_released_machine(&MachineId("m-g2n".into()));
    test.receive_heartbeat_with(
        "m-g2n",
        (1, 90, 1),
        &[("wk-000002/0", 9, RUNNING, None)],
        true,
    );
    let removed: Vec<String> = test
        .cluster
        .take_summary_changes()
        .removed_machines
        .iter()
        .map(|machine| machine.to_string())
        .collect();
    test.note(&format!("removed machines in the summary: {removed:?}"));
    insta::assert_snapshot!(test.log);
}

/// A machine that restarts under its name begins again at epoch 1 and sequence number 1, so that its
/// heartbeats look like late copies of early ones. The response to a direct command distinguishes the two.
#[test]
fn machine_restarted_under_its_name_is_distinguished_from_a_late_copy_by_a_probe() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g1n", &[("wk-000001/0", ATTEMPT_1, RUNNING, None)]);
    leader.advance_clock(0.2);
    leader.note("the machine restarts at once: its epoch and sequence number begin at 1 again");
    leader.receive_heartbeat_with("m-g1n", (1, 1, 0), &[], true);
    leader.run_cycle();
    leader.advance_clock(0.1);
    leader.receive_heartbeat_with("m-g1n", (1, 2, 1), &[], false);
    leader.note("its tasks ended with the former incarnation, whose late heartbeats are rejected");
    leader.run_cycle();
    let running = ("wk-000001/0", ATTEMPT_1, RUNNING, None);
    let ordering = leader.receive_heartbeat_with("m-g1n", (1, 40, 1), &[running], true);
    assert_eq!(ordering, HeartbeatOrdering::Older);
    leader.note("the new incarnation shows the token that only it has received");
    leader.last_sequence = 4;
    leader.receive_heartbeat("m-g1n", &[]);
    insta::assert_snapshot!(leader.log);
}

/// When a late heartbeat showed that a planned task had already completed, its placement was neither
/// dispatched nor dropped, so that its job never ended.
#[test]
fn replanned_task_that_a_late_heartbeat_shows_as_completed_loses_its_placement() {
    let mut records = accepted_job_records(&array_job("wk-000001", 1), true);
    records.push(inventory_record(&["m-g1n"]));
    let mut leader = TestLeader::with_records(records);
    leader.advance_clock(leader.cluster.timing.inherited_lease.as_secs_f64() + 1.0);
    leader.note("the lease of m-g1n has expired, so no task is left on it");
    leader.add_machines(&["m-g2n"]);
    leader.run_cycle();
    let id = JobId::parse("wk-000001").unwrap();
    assert!(
        leader.cluster.jobs[&id].has_placements(),
        "the task is planned again"
    );
    let done = ("wk-000001/0", 7, EXITED, Some(ExitCause::Done));
    leader.receive_heartbeat_with("m-g1n", (1, 5, 0), &[done], true);
    assert!(!leader.cluster.jobs[&id].has_placements());
    leader.receive_heartbeat("m-g2n", &[]);
    leader.run_cycle();
    assert!(
        !leader.cluster.jobs.contains_key(&id),
        "the verdict of the job is recorded"
    );
    insta::assert_snapshot!(leader.log);
}

/// 767 starts planned in one cycle raised as many tokens, each by a direct command on a separate connection,
/// so that a controller with few cores was busy for seconds. Terminations are not deferred.
#[test]
fn deferrable_commands_are_limited_by_the_cpu_share_and_terminations_are_sent_at_once() {
    let raise_and_termination_counts = |cores: f64| {
        let mut leader = TestLeader::new();
        leader.settings.params.resources.cores = cores;
        leader.recover(2);
        let names: Vec<String> = (100..220).map(|n| format!("m-g{n}n")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        leader.add_machines(&names);
        let mut job = array_job("wk-000001", 100);
        job.team = "blue".to_owned();
        leader.submit(job);
        leader.log.clear();
        leader.run_cycle();
        let direct_commands = |leader: &TestLeader| leader.log.matches("direct command to").count();
        let raises = direct_commands(&leader);
        for name in &names {
            leader.receive_heartbeat(name, &[]);
        }
        leader.log.clear();
        leader.cancel("wk-000001");
        leader.run_cycle();
        (raises, direct_commands(&leader))
    };
    let (raises, terminations) = raise_and_termination_counts(1.0);
    assert_eq!(
        raises, terminations,
        "each machine with a start gets one raised token and one termination"
    );
    assert!(raises > 48, "tokens raised: {raises}");
    let (raises_small, terminations_small) = raise_and_termination_counts(0.029);
    assert!(
        raises_small > 0 && raises_small <= 48,
        "tokens raised: {raises_small}"
    );
    assert_eq!(
        terminations_small, terminations,
        "no termination is deferred"
    );
}

/// While completions can't be recorded, results of short tasks accumulate on their machines, and the
/// heartbeats that list them grow.
#[test]
fn machine_with_many_unrecorded_results_gets_no_tasks_until_they_are_recorded() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-c1n"]);
    let mut job = array_job("wk-000001", 5000);
    job.priority = Priority::BestEffort;
    job.task_resources = Resources {
        cpus: 0.25,
        gpus: 0.0,
        memory: 0.1,
    };
    leader.submit(job);
    let names: Vec<String> = (0..450).map(|n| format!("wk-000001/{n}")).collect();
    let results: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), 7, EXITED, Some(ExitCause::Done)))
        .collect();
    leader.receive_heartbeat("m-c1n", &results);
    let decisions = leader.run_cycle_with(false);
    assert!(
        decisions.starts.is_empty(),
        "the machine has free capacity, but its heartbeats would become too long"
    );
    leader.advance_clock(3.0);
    leader.run_cycle();
    leader.receive_heartbeat("m-c1n", &results);
    leader.receive_heartbeat("m-c1n", &[]);
    let decisions = leader.run_cycle();
    assert_eq!(
        decisions.starts.len(),
        64,
        "all results are recorded and cleared"
    );
}
