//! Machines and zones that become unresponsive, and a leader that was paused. Most tests compare the log of
//! the leader with a snapshot in `tests/snapshots/`.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_leader.rs"]
mod test_leader;

use test_leader::*;

/// A machine without heartbeats may still run its tasks until its lease expires. An earlier restart would run
/// the task twice.
#[test]
fn task_of_an_unresponsive_machine_is_not_restarted_until_the_lease_expires() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g2n", &[]);
    leader.receive_heartbeat("m-g1n", &[("wk-000001/0", ATTEMPT_1, RUNNING, None)]);
    leader.advance_clock(15.0);
    leader.receive_heartbeat("m-g2n", &[]);
    leader.run_cycle();
    leader.note("m-g1n is unresponsive, but its lease has not expired: no start elsewhere");
    leader.advance_clock(6.5);
    leader.receive_heartbeat("m-g2n", &[]);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// A partition interrupts the heartbeats of a whole zone. Its machines still run, and their heartbeats resume
/// at different times.
#[test]
fn machines_of_a_zone_that_becomes_unresponsive_as_a_whole_are_not_released_at_once() {
    let mut leader = TestLeader::new();
    let mut job = array_job("wk-000001", 6);
    job.team = "blue".to_owned();
    leader.submit(job);
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let tasks: Vec<String> = (0..6).map(|i| format!("wk-000001/{i}")).collect();
    let receive_running = |leader: &mut TestLeader, index: usize| {
        leader.receive_heartbeat(names[index], &[(&tasks[index], 1, RUNNING, None)]);
    };
    for index in 0..6 {
        receive_running(&mut leader, index);
    }
    leader.advance_clock(15.0);
    for index in 0..3 {
        receive_running(&mut leader, index);
    }
    let decisions = leader.run_cycle();
    leader.note(
        "all machines in south are unresponsive, so a partition is likely: nothing is released",
    );
    leader.plan_scaling(&decisions);
    for index in 3..5 {
        receive_running(&mut leader, index);
    }
    let decisions = leader.run_cycle();
    leader.note(
        "heartbeats from south resume: m-g6s is not released before its own can have arrived",
    );
    leader.plan_scaling(&decisions);
    leader.advance_clock(2.0);
    for index in 0..5 {
        receive_running(&mut leader, index);
    }
    let decisions = leader.run_cycle();
    leader.note("only one machine in south is unresponsive");
    leader.plan_scaling(&decisions);
    insta::assert_snapshot!(leader.log);
}

/// Heartbeats that the leader missed while it was paused, or rejected while the store was unavailable, do not
/// count as missing: no machine is released because of them. Leases that expired meanwhile, counted from the
/// last response of the leader, stay expired.
#[test]
fn heartbeats_missed_during_a_pause_of_the_leader_are_no_reason_to_release_machines() {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-g1n", "m-g2n", "m-g3n"]);
    leader.submit(array_job("wk-000001", 1));
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g1n", &[("wk-000001/0", ATTEMPT_1, RUNNING, None)]);
    leader.note("the leader is paused for 15 s");
    leader.advance_clock(15.0);
    leader
        .cluster
        .resume_after_pause(std::time::Duration::from_secs(15), leader.now);
    leader.receive_heartbeat("m-g2n", &[]);
    leader.receive_heartbeat("m-g3n", &[]);
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    assert!(leader.cluster.jobs.values().all(|job| job.has_placements()));
    leader.note("the leader is paused for longer than a lease");
    leader.advance_clock(22.0);
    leader
        .cluster
        .resume_after_pause(std::time::Duration::from_secs(22), leader.now);
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    let machines = leader.cluster.machines.values();
    let mut instances = machines.flat_map(|machine| machine.instances.values());
    assert!(
        instances.all(|instance| !instance.is_dispatched()),
        "tasks dispatched before the lease expired have ended"
    );
    insta::assert_snapshot!(leader.log);
}

/// After the leases in a partitioned zone had expired, its machines counted as idle. In one deployment, 150
/// of them were released within ten seconds, and 400 machines, which were unreachable too, were rented in the
/// zone.
#[test]
fn machines_of_a_partitioned_zone_are_not_released_as_idle_and_none_are_rented_there() {
    let mut leader = TestLeader::new();
    let names = [
        "m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-g5s", "m-g6s", "m-g7s",
    ];
    leader.add_machines(&names);
    leader.advance_clock(300.0);
    for name in names {
        leader.receive_heartbeat(name, &[]);
    }
    let mut job = array_job("wk-000001", 30);
    job.team = "blue".to_owned();
    job.zone = Some("south".to_owned());
    leader.submit(job);
    for step in 0..10 {
        leader.advance_clock(3.0);
        for name in &names[..4] {
            leader.receive_heartbeat(name, &[]);
        }
        let decisions = leader.run_cycle();
        leader.log.clear();
        leader.note(&format!("step {step}"));
        leader.plan_scaling(&decisions);
        assert!(
            !leader.log.contains("south"),
            "rented in south: {}",
            leader.log
        );
        for name in &names[4..] {
            assert!(
                !leader.log.contains(name),
                "{name} is released: {}",
                leader.log
            );
        }
    }
    assert!(
        leader.log.contains("m-g1n"),
        "the idle machine m-g1n in the responsive zone is not released: {}",
        leader.log
    );
}

/// Guards against jobs that wait beside free machines: a start was planned on a machine whose release was decided before the
/// start was sent, and waited there for as long as the cloud did not confirm the release.
#[test]
fn start_planned_on_a_machine_that_is_to_be_released_is_planned_elsewhere() {
    for tasks in [1, 2] {
        let mut leader = TestLeader::new();
        leader.add_machines(&["m-c1n", "m-c2n", "m-c3n"]);
        leader.submit(gang_job("wk-000001", tasks));
        let planned = leader.run_cycle().starts.remove(0).members;
        let released = planned[0].1.clone();
        leader
            .cluster
            .set_releasing(std::slice::from_ref(&released), true);
        let replanned = leader.run_cycle().starts.remove(0).members;
        assert_eq!(replanned.len(), 1, "only this member is planned anew");
        assert_eq!(replanned[0].0, planned[0].0);
        assert_ne!(replanned[0].1, released);
    }
}
