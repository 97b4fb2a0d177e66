//! Pending jobs and the machines rented for them: which jobs must start in bounded time, and at what cost.
//! Most tests compare the log of the leader with a snapshot in `tests/snapshots/`.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_leader.rs"]
mod test_leader;

use knotlanding::model::MachinePool;
use knotlanding::model::*;
use knotlanding::sched::Decisions;
use knotlanding::wire::ExitCause;
use test_leader::*;

/// Small jobs arrive faster than they complete. The largest gang must start nevertheless.
#[test]
fn largest_gang_starts_in_bounded_time_under_a_stream_of_small_jobs() {
    let mut leader = TestLeader::new();
    let names: Vec<String> = (0..6).map(|n| format!("m-c{n}n")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    leader.add_machines(&names);
    let mut running: Vec<(String, u64, String, f64)> = Vec::new();
    leader.submit(gang_job("wk-900000", 6));
    let mut unplaceable = array_job("wk-900001", 3);
    unplaceable.task_resources.gpus = 4.0;
    leader.submit(unplaceable);
    let (mut next_number, mut started_after_s) = (1, None);
    for second in 0..240u32 {
        leader.log.clear();
        leader.advance_clock(1.0);
        let mut small = gang_job(&format!("wk-{next_number:06}"), 1 + next_number % 2);
        small.team = if next_number % 3 == 0 { "red" } else { "blue" }.to_owned();
        leader.submit(small);
        next_number += 1;
        let decisions = leader.run_cycle();
        if decisions
            .starts
            .iter()
            .any(|start| start.job.as_str() == "wk-900000")
        {
            started_after_s = Some(second);
            break;
        }
        for start in decisions.starts {
            let attempt = leader.cluster.jobs[&start.job].attempt.unwrap().0;
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
            for (task, attempt, machine, age_s) in &mut running {
                if machine == name {
                    *age_s += 1.0;
                    let completed = *age_s > 20.0;
                    let phase = if completed { EXITED } else { RUNNING };
                    let cause = completed.then_some(ExitCause::Done);
                    if *age_s > 1.0 {
                        tasks.push((task.as_str(), *attempt, phase, cause));
                    }
                }
            }
            leader.receive_heartbeat(name, &tasks);
        }
        running.retain(|(.., age_s)| *age_s <= 22.0);
    }
    assert!(
        started_after_s.is_some(),
        "wk-900000 did not start within 240 s"
    );
}

/// Under the recorded load of one day, tasks that were preempted for a gang restarted on the first capacity
/// that became free, and were preempted again, thousands of times.
#[test]
fn capacity_freed_for_a_gang_is_reserved_until_all_of_it_is_free() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2n"]);
    let mut standard = array_job("wk-000001", 4);
    standard.checkpoint_interval_s = 15.0;
    standard.checkpoint_cost_s = 6.0;
    leader.submit(standard);
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g2n", &[]);
    let task = |n: u64, phase, cause| {
        (
            ["wk-000001/0", "wk-000001/1", "wk-000001/2", "wk-000001/3"][n as usize],
            ATTEMPT_1 + n,
            phase,
            cause,
        )
    };
    let running = |n| task(n, RUNNING, None);
    let stopped = |n| task(n, EXITED, Some(ExitCause::Stopped));
    leader.receive_heartbeat("m-g1n", &[running(0), running(1)]);
    leader.receive_heartbeat("m-g2n", &[running(2), running(3)]);
    let mut urgent = gang_job("wk-000002", 2);
    urgent.task_resources.cpus = 12.0;
    leader.submit(urgent);
    leader.run_cycle();
    leader.advance_clock(0.5);
    leader.receive_heartbeat("m-g1n", &[stopped(0), stopped(1)]);
    leader.receive_heartbeat("m-g2n", &[running(2), running(3)]);
    leader.note("one of the two machines is free: no other task starts on it");
    leader.run_cycle();
    leader.advance_clock(0.5);
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g2n", &[stopped(2), stopped(3)]);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// Guards against jobs that can't start but delay all later jobs in the queue.
#[test]
fn team_at_its_limit_and_job_that_fails_everywhere_do_not_delay_other_jobs() {
    let mut leader = TestLeader::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-g5n"];
    leader.add_machines(&names);
    leader.submit(array_job("wk-000001", 9));
    leader.run_cycle();
    leader.note("team red is at its limit; next, a job of team blue fails on three machines");
    let mut faulty = array_job("wk-000002", 1);
    faulty.team = "blue".to_owned();
    leader.submit(faulty);
    for (machine, attempt) in [("m-g3n", 77), ("m-g4n", 78), ("m-g5n", 79)] {
        leader.receive_heartbeat(
            machine,
            &[("wk-000002/0", attempt, EXITED, Some(ExitCause::Error))],
        );
    }
    leader.advance_clock(11.0);
    for name in names {
        leader.receive_heartbeat(name, &[]);
    }
    let mut other = array_job("wk-000003", 2);
    other.team = "blue".to_owned();
    leader.submit(other);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// While a large gang was pending until the last of its machines booted, the first ones were released as idle
/// and others were rented.
#[test]
fn machines_needed_by_a_pending_gang_are_not_released_as_idle() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-c1n", "m-c2n", "m-g1n"]);
    leader.advance_clock(3000.0);
    for machine in ["m-c1n", "m-c2n", "m-g1n"] {
        leader.receive_heartbeat(machine, &[]);
    }
    leader.submit(gang_job("wk-000001", 3));
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    insta::assert_snapshot!(leader.log);
}

/// Best-effort tasks on the CPUs of GPU machines kept hundreds of these machines rented, and more were rented
/// for such tasks: the cost of a day rose from 2.6 to 3.8.
#[test]
fn best_effort_tasks_avoid_machines_that_cost_many_times_what_they_need() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2s"]);
    let mut job = array_job("wk-000001", 30);
    job.class = "idle".to_owned();
    job.priority = Priority::BestEffort;
    job.task_resources = Resources {
        cpus: 4.0,
        gpus: 0.0,
        memory: 7.0,
    };
    job.deadline_s = None;
    leader.submit(job.clone());
    let decisions = leader.run_cycle();
    leader
        .note("best-effort tasks do not use GPU machines; cheap CPU machines are rented for them");
    leader.plan_scaling(&decisions);
    leader.note(
        "no task of the job has started for two minutes: one task starts where capacity is free",
    );
    leader.advance_clock(121.0);
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g2s", &[]);
    leader.run_cycle();
    leader.note("standard tasks of the same size start on a GPU machine at once");
    job.id = JobId::parse("wk-000002").unwrap();
    job.priority = Priority::Standard;
    job.tasks = 2;
    leader.submit(job);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// Another machine is rented for an overdue boot. These rentals are limited, so that a cloud in which all
/// boots are slow does not cause unbounded rentals.
#[test]
fn overdue_boots_are_replaced_a_few_at_a_time() {
    let mut leader = TestLeader::new();
    leader.submit(array_job("wk-000001", 60));
    let mut job = array_job("wk-000001", 60);
    job.team = "blue".to_owned();
    job.id = JobId::parse("wk-000002").unwrap();
    leader.submit(job);
    let decisions = leader.run_cycle();
    let rental_count = |leader: &mut TestLeader, decisions: &Decisions| {
        leader.log.clear();
        leader.plan_scaling(decisions);
        let rents = leader.log.lines().filter(|line| line.contains("Rent("));
        let counts = rents.filter_map(|line| {
            line.rsplit(", ")
                .next()?
                .trim_end_matches(')')
                .parse::<usize>()
                .ok()
        });
        counts.sum::<usize>()
    };
    let first_rentals = rental_count(&mut leader, &decisions);
    let names: Vec<String> = (0..first_rentals).map(|n| format!("m-g{n}n")).collect();
    let pool = MachinePool {
        machine_type: "gpu2".to_owned(),
        zone: "north".to_owned(),
        spot: true,
    };
    leader
        .cluster
        .add_rented_machines(&names, &pool, leader.now);
    leader.advance_clock(60.0);
    assert_eq!(
        rental_count(&mut leader, &decisions),
        0,
        "no boot is overdue yet"
    );
    leader.advance_clock(20.0);
    let replaced = rental_count(&mut leader, &decisions);
    assert!(
        (1..=4).contains(&replaced),
        "{replaced} of {first_rentals} boots are replaced"
    );
    leader.advance_clock(90.0);
    leader.log.clear();
    leader.plan_scaling(&decisions);
    assert!(
        leader.log.contains("its boot is hopeless"),
        "no machine is released for its overdue boot: {}",
        leader.log
    );
}

/// If machines boot in a twentieth of the nominal time, a machine sends a heartbeat before the response to
/// its rental arrives, and before any machine list contains it.
#[test]
fn machine_that_is_up_before_its_rental_response_is_used_and_not_rented_twice() {
    let mut leader = TestLeader::new();
    leader.submit(array_job("wk-000001", 2));
    leader.receive_heartbeat_with("m-g1n", (1, 1, 0), &[], true);
    let decisions = leader.run_cycle();
    leader
        .note("a heartbeat alone does not prove that m-g1n exists: no start on it, and no release");
    leader.plan_scaling(&decisions);
    let pool = MachinePool {
        machine_type: "gpu2".to_owned(),
        zone: "north".to_owned(),
        spot: false,
    };
    leader
        .cluster
        .add_rented_machines(&["m-g1n".to_owned()], &pool, leader.now);
    leader.note("the response to the rental names the machine");
    leader.receive_heartbeat_with("m-g1n", (1, 2, 0), &[], true);
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    assert!(
        decisions.unmet_demand.is_empty(),
        "both tasks fit on the rented machine"
    );
    leader.receive_heartbeat_with("m-g1n", (1, 3, 1), &[], true);
    leader.receive_machine_list(&["m-g1n"]);
    assert_eq!(leader.cluster.machines.len(), 1);
    insta::assert_snapshot!(leader.log);
}
