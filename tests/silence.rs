//! Kept traces of machines and zones that fall silent, and of a process that stood still.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use scene::*;

#[test]
fn silence_proves_nothing_until_the_lease_is_over() {
    let mut s = TestLeader::new();
    s.machines(&["m-g1n", "m-g2n"]);
    s.submit(array_job("wk-000001", 1));
    s.round();
    s.receive_heartbeat("m-g1n", &[]);
    s.receive_heartbeat("m-g2n", &[]);
    s.receive_heartbeat("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.advance_clock(15.0);
    s.receive_heartbeat("m-g2n", &[]);
    s.round();
    s.note("silent, but within its lease: not started elsewhere");
    s.advance_clock(6.5);
    s.receive_heartbeat("m-g2n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_zone_that_falls_silent_as_a_whole_keeps_its_machines_for_a_while() {
    let mut s = TestLeader::new();
    let mut job = array_job("wk-000001", 6);
    job.team = "blue".to_owned();
    s.submit(job);
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let tasks: Vec<String> = (0..6).map(|i| format!("wk-000001/{i}")).collect();
    let works = |s: &mut TestLeader, at: usize| {
        s.receive_heartbeat(names[at], &[(&tasks[at], 1, RUNNING, None)]);
    };
    for at in 0..6 {
        works(&mut s, at);
    }
    s.advance_clock(15.0);
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
    s.advance_clock(2.0);
    for at in 0..5 {
        works(&mut s, at);
    }
    let decisions = s.round();
    s.note("one of the south alone is silent");
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

/// What was not heard while we stood still, or while the state service was out and we sent
/// reports away, says nothing of the machines: none is returned for it. That leases ran out
/// meanwhile, counted from our last answer, still holds.
#[test]
fn waking_up_is_no_proof_that_machines_were_silent() {
    let mut s = TestLeader::new();
    s.machines(&["m-g1n", "m-g2n", "m-g3n"]);
    s.submit(array_job("wk-000001", 1));
    s.round();
    s.receive_heartbeat("m-g1n", &[]);
    s.receive_heartbeat("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.note("the leader stands still for 15 s");
    s.advance_clock(15.0);
    s.cluster
        .resume_after_pause(std::time::Duration::from_secs(15), s.now);
    s.receive_heartbeat("m-g2n", &[]);
    s.receive_heartbeat("m-g3n", &[]);
    let decisions = s.round();
    s.fleet(&decisions);
    assert!(s.cluster.jobs.values().all(|job| job.has_placements()));
    s.note("and for longer than a lease");
    s.advance_clock(22.0);
    s.cluster
        .resume_after_pause(std::time::Duration::from_secs(22), s.now);
    let decisions = s.round();
    s.fleet(&decisions);
    let machines = s.cluster.machines.values();
    let mut instances = machines.flat_map(|machine| machine.instances.values());
    assert!(
        instances.all(|instance| !instance.is_dispatched()),
        "what ran is gone for sure"
    );
    insta::assert_snapshot!(s.log);
}

/// Seen at Brackenridge: when the leases of a zone that was cut off had ended, its machines counted
/// as idle and went, 150 in ten seconds, and 400 were rented there that could not be reached.
#[test]
fn machines_that_are_cut_off_are_not_returned_as_idle_and_none_are_rented_there() {
    let mut s = TestLeader::new();
    let names = [
        "m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-g5s", "m-g6s", "m-g7s",
    ];
    s.machines(&names);
    s.advance_clock(300.0);
    for name in names {
        s.receive_heartbeat(name, &[]);
    }
    let mut job = array_job("wk-000001", 30);
    job.team = "blue".to_owned();
    job.zone = Some("south".to_owned());
    s.submit(job);
    for step in 0..10 {
        s.advance_clock(3.0);
        for name in &names[..4] {
            s.receive_heartbeat(name, &[]);
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
