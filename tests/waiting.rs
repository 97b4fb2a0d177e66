//! Kept traces of jobs that wait and of the machines rented for them: what must begin in bounded time, and at what price.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use knotlanding::model::MachinePool;
use knotlanding::model::*;
use knotlanding::sched::Decisions;
use knotlanding::wire::ExitCause;
use scene::*;

/// Small jobs arrive faster than they leave; whatever is large has to begin all the same.
#[test]
fn the_largest_jobs_begin_in_bounded_time_under_a_stream_of_small_ones() {
    let mut s = TestLeader::new();
    let names: Vec<String> = (0..6).map(|n| format!("m-c{n}n")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    s.machines(&names);
    let mut running: Vec<(String, u64, String, f64)> = Vec::new();
    s.submit(gang_job("wk-900000", 6));
    let mut never = array_job("wk-900001", 3);
    never.task_resources.gpus = 4.0;
    s.submit(never);
    let (mut next, mut began) = (1, None);
    for second in 0..240u32 {
        s.log.clear();
        s.advance_clock(1.0);
        let mut small = gang_job(&format!("wk-{next:06}"), 1 + next % 2);
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
                    let cause = over.then_some(ExitCause::Done);
                    if *age > 1.0 {
                        tasks.push((task.as_str(), *attempt, phase, cause));
                    }
                }
            }
            s.receive_heartbeat(name, &tasks);
        }
        running.retain(|(.., age)| *age <= 22.0);
    }
    assert!(began.is_some(), "it never began");
}

/// Seen on a recorded day: what was stopped for a gang started again in the first room that came
/// free, and was stopped again, thousands of times.
#[test]
fn room_made_for_a_gang_is_kept_until_the_last_of_it_is_free() {
    let mut s = TestLeader::new();
    s.machines(&["m-g1n", "m-g2n"]);
    let mut low = array_job("wk-000001", 4);
    low.checkpoint_interval_s = 15.0;
    low.checkpoint_cost_s = 6.0;
    s.submit(low);
    s.round();
    s.receive_heartbeat("m-g1n", &[]);
    s.receive_heartbeat("m-g2n", &[]);
    let task = |n: u64, phase, cause| {
        (
            ["wk-000001/0", "wk-000001/1", "wk-000001/2", "wk-000001/3"][n as usize],
            FIRST + n,
            phase,
            cause,
        )
    };
    let runs = |n| task(n, RUNNING, None);
    let gone = |n| task(n, EXITED, Some(ExitCause::Stopped));
    s.receive_heartbeat("m-g1n", &[runs(0), runs(1)]);
    s.receive_heartbeat("m-g2n", &[runs(2), runs(3)]);
    let mut high = gang_job("wk-000002", 2);
    high.task_resources.cpus = 12.0;
    s.submit(high);
    s.round();
    s.advance_clock(0.5);
    s.receive_heartbeat("m-g1n", &[gone(0), gone(1)]);
    s.receive_heartbeat("m-g2n", &[runs(2), runs(3)]);
    s.note("one of the two machines is free: nothing else goes there");
    s.round();
    s.advance_clock(0.5);
    s.receive_heartbeat("m-g1n", &[]);
    s.receive_heartbeat("m-g2n", &[gone(2), gone(3)]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_team_at_its_limit_and_a_job_that_fails_everywhere_hold_nobody_else_up() {
    let mut s = TestLeader::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-g5n"];
    s.machines(&names);
    s.submit(array_job("wk-000001", 9));
    s.round();
    s.note("red uses all that it may; a job of blue has failed on three machines");
    let mut faulty = array_job("wk-000002", 1);
    faulty.team = "blue".to_owned();
    s.submit(faulty);
    for (machine, attempt) in [("m-g3n", 77), ("m-g4n", 78), ("m-g5n", 79)] {
        s.receive_heartbeat(
            machine,
            &[("wk-000002/0", attempt, EXITED, Some(ExitCause::Error))],
        );
    }
    s.advance_clock(11.0);
    for name in names {
        s.receive_heartbeat(name, &[]);
    }
    let mut other = array_job("wk-000003", 2);
    other.team = "blue".to_owned();
    s.submit(other);
    s.round();
    insta::assert_snapshot!(s.log);
}

/// Seen on a hunted day: while a large gang waited for the last of its machines, the first ones
/// were returned as idle and others were rented.
#[test]
fn machines_that_a_waiting_gang_counts_on_are_not_returned_as_idle() {
    let mut s = TestLeader::new();
    s.machines(&["m-c1n", "m-c2n", "m-g1n"]);
    s.advance_clock(3000.0);
    for machine in ["m-c1n", "m-c2n", "m-g1n"] {
        s.receive_heartbeat(machine, &[]);
    }
    s.submit(gang_job("wk-000001", 3));
    let decisions = s.round();
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

/// Idle-time work on the processors of machines with cards kept hundreds of them rented, and more
/// were rented for it: a day's price rose from 2.6 to 3.8.
#[test]
fn work_of_the_lowest_rank_keeps_off_machines_that_cost_many_times_what_it_needs() {
    let mut s = TestLeader::new();
    s.machines(&["m-g1n", "m-g2s"]);
    let mut idle = array_job("wk-000001", 30);
    idle.class = "idle".to_owned();
    idle.priority = Priority::BestEffort;
    idle.task_resources = Resources {
        cpus: 4.0,
        gpus: 0.0,
        memory: 7.0,
    };
    idle.deadline_s = None;
    s.submit(idle.clone());
    let decisions = s.round();
    s.note("room on machines with cards is not for it; of the others cheap ones are rented");
    s.fleet(&decisions);
    s.note("nothing of it has begun for two minutes: one task goes where there is room");
    s.advance_clock(121.0);
    s.receive_heartbeat("m-g1n", &[]);
    s.receive_heartbeat("m-g2s", &[]);
    s.round();
    s.note("standard work of the same size goes there at once");
    idle.id = JobId::parse("wk-000002").unwrap();
    idle.priority = Priority::Standard;
    idle.tasks = 2;
    s.submit(idle);
    s.round();
    insta::assert_snapshot!(s.log);
}

/// A boot that is overdue is replaced; a cloud in which all are slow is not answered by renting
/// without end.
#[test]
fn overdue_boots_are_replaced_a_few_at_a_time() {
    let mut s = TestLeader::new();
    s.submit(array_job("wk-000001", 60));
    let mut job = array_job("wk-000001", 60);
    job.team = "blue".to_owned();
    job.id = JobId::parse("wk-000002").unwrap();
    s.submit(job);
    let decisions = s.round();
    let rented = |s: &mut TestLeader, decisions: &Decisions| {
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
    let offer = MachinePool {
        machine_type: "gpu2".to_owned(),
        zone: "north".to_owned(),
        spot: true,
    };
    s.cluster.add_rented_machines(&names, &offer, s.now);
    s.advance_clock(60.0);
    assert_eq!(rented(&mut s, &decisions), 0, "they may still come");
    s.advance_clock(20.0);
    let replaced = rented(&mut s, &decisions);
    assert!(
        (1..=4).contains(&replaced),
        "{replaced} of {first} are replaced"
    );
    s.advance_clock(90.0);
    s.log.clear();
    s.fleet(&decisions);
    assert!(s.log.contains("its boot is hopeless"), "{}", s.log);
}

/// At a twentieth of the boot time a machine reports before the rental's answer, and before any
/// list has it.
#[test]
fn a_machine_that_is_up_before_its_rental_is_answered_is_no_stranger_and_not_rented_twice() {
    let mut s = TestLeader::new();
    s.submit(array_job("wk-000001", 2));
    s.receive_heartbeat_with("m-g1n", (1, 1, 0), &[], true);
    let decisions = s.round();
    s.note("a report alone is no sign of a machine: nothing is planned for it, nor is it returned");
    s.fleet(&decisions);
    let offer = MachinePool {
        machine_type: "gpu2".to_owned(),
        zone: "north".to_owned(),
        spot: false,
    };
    s.cluster
        .add_rented_machines(&["m-g1n".to_owned()], &offer, s.now);
    s.note("the rental's answer names it");
    s.receive_heartbeat_with("m-g1n", (1, 2, 0), &[], true);
    let decisions = s.round();
    s.fleet(&decisions);
    assert!(decisions.unmet_demand.is_empty(), "both tasks have room");
    s.receive_heartbeat_with("m-g1n", (1, 3, 1), &[], true);
    s.listed(&["m-g1n"]);
    assert_eq!(s.cluster.machines.len(), 1);
    insta::assert_snapshot!(s.log);
}
