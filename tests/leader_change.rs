//! Changes of leader: which actions a new leader may take before all machines are reconciled. Most tests
//! compare the log of the leader with a snapshot in `tests/snapshots/`.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_leader.rs"]
mod test_leader;

use knotlanding::model::*;
use knotlanding::state_summary::SummaryCache;
use knotlanding::wire::ExitCause;
use test_leader::*;

/// Tasks that an earlier leader started may still run on machines without a heartbeat in the current term. A
/// repeated start would run such a task twice.
#[test]
fn new_leader_repeats_no_start_before_all_machines_are_reconciled() {
    let mut records = accepted_job_records(&array_job("wk-000001", 2), true);
    records.extend(accepted_job_records(&array_job("wk-000002", 1), false));
    records.push(inventory_record(&["m-g1n", "m-g2n"]));
    let mut leader = TestLeader::with_records(records);
    leader.note(
        "a heartbeat with an older token shows tasks, but does not prove the absence of others",
    );
    leader.receive_heartbeat_with(
        "m-g1n",
        (1, 5, 0),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    leader.run_cycle();
    leader.receive_heartbeat_with(
        "m-g1n",
        (1, 6, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    leader.run_cycle();
    leader.receive_heartbeat_with(
        "m-g1n",
        (1, 7, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    leader.note(
        "m-g2n sends no heartbeats: before its lease expires, only its release reconciles it",
    );
    leader.advance_clock(30.0);
    leader.receive_heartbeat_with(
        "m-g1n",
        (1, 8, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    leader
        .cluster
        .remove_released_machine(&MachineId("m-g2n".into()));
    leader.receive_heartbeat_with("m-g3n", (1, 1, 1), &[], true);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// A leader elected while a zone was partitioned released all machines of the zone, one by one, before it
/// detected the partition: 333 machines in one deployment booted again because of a partition of 70 s.
#[test]
fn new_leader_detects_a_zone_partition_before_it_releases_machines_of_the_zone() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let mut leader = TestLeader::with_records(vec![inventory_record(&names)]);
    leader.receive_machine_list(&names);
    for second in 0..20 {
        leader.advance_clock(1.0);
        for name in &names[..3] {
            leader.receive_heartbeat(name, &[]);
        }
        let decisions = leader.run_cycle();
        // No status probe of a machine in `south` gets a response.
        for name in &names[3..] {
            leader
                .cluster
                .record_unanswered_command(&MachineId((*name).into()), leader.now);
        }
        leader.log.clear();
        leader.note(&format!("second {second}"));
        leader.plan_scaling(&decisions);
        for name in &names[3..] {
            assert!(
                !leader.log.contains(name),
                "{name} is released too early: {}",
                leader.log
            );
        }
    }
    leader.advance_clock(80.0);
    for name in &names[..3] {
        leader.receive_heartbeat(name, &[]);
    }
    let decisions = leader.run_cycle();
    leader.log.clear();
    leader.plan_scaling(&decisions);
    for name in &names[3..] {
        assert!(
            leader.log.contains(name),
            "{name} of the partitioned zone is not released after 100 s: {}",
            leader.log
        );
    }
}

/// Until a machine shows the current term, it may still execute commands of an earlier leader, and its
/// heartbeats may be late copies.
#[test]
fn new_machine_is_planned_for_at_once_but_gets_starts_only_once_fenced() {
    let mut leader = TestLeader::new();
    leader.submit(array_job("wk-000001", 1));
    leader.receive_machine_list(&["m-g1n", "m-g2n"]);
    leader.receive_heartbeat_with("m-g1n", (1, 1, 0), &[], true);
    leader.run_cycle();
    leader.note(
        "m-g1n sent its first heartbeat: its start is deferred until it shows the current term",
    );
    leader.receive_heartbeat_with("m-g1n", (1, 2, 1), &[], true);
    leader.note("a late copy of an early heartbeat does not show the task on the machine");
    leader.submit(array_job("wk-000002", 1));
    leader.receive_heartbeat_with("m-g2n", (1, 1, 0), &[], true);
    leader.run_cycle();
    let other = ("wk-000009/0", 5, RUNNING, None);
    leader.receive_heartbeat_with("m-g2n", (1, 9, 0), &[other], true);
    leader.receive_heartbeat_with("m-g2n", (1, 10, 1), &[other], true);
    insta::assert_snapshot!(leader.log);
}

/// Guards against jobs that stay pending because of an unreachable machine to which none of their starts was
/// sent.
#[test]
fn unreachable_machine_blocks_only_jobs_it_may_hold_until_it_is_released() {
    let mut records = accepted_job_records(&array_job("wk-000001", 1), true);
    records.extend(accepted_job_records(&gang_job("wk-000002", 1), true));
    // A dispatch record names the only machine to which starts of the second job may have been sent.
    records.pop();
    let id = JobId::parse("wk-000002").unwrap();
    records.push(dispatch_record(&id, Some(&["m-c1n"])));
    records.push(inventory_record(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]));
    let mut leader = TestLeader::with_records(records);
    leader.receive_machine_list(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]);
    for machine in ["m-c1n", "m-c2n", "m-c3n"] {
        leader.receive_heartbeat(machine, &[]);
    }
    leader
        .note("no heartbeat of m-g1n shows the current term; only wk-000001 may have tasks on it");
    leader.receive_heartbeat_with(
        "m-g1n",
        (4, 7, 0),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    leader.run_cycle();
    for _ in 0..4 {
        leader.advance_clock(0.5);
        leader.last_sequence += 1;
        let sequence = leader.last_sequence + 7;
        leader.receive_heartbeat_with(
            "m-g1n",
            (4, sequence, 0),
            &[("wk-000001/0", 7, RUNNING, None)],
            true,
        );
        for machine in ["m-c1n", "m-c2n", "m-c3n"] {
            leader.receive_heartbeat(machine, &[]);
        }
    }
    let decisions = leader.run_cycle();
    leader.plan_scaling(&decisions);
    leader.note("the release of m-g1n proves that its task has ended");
    leader
        .cluster
        .remove_released_machine(&MachineId("m-g1n".into()));
    leader.receive_heartbeat("m-g2n", &[]);
    leader.run_cycle();
    insta::assert_snapshot!(leader.log);
}

/// A late copy from before a start does not list its task. If the copy reconciled the machine, the new leader
/// would start the task a second time.
#[test]
fn copies_of_heartbeats_from_an_earlier_term_reconcile_no_machine() {
    let mut records = accepted_job_records(&array_job("wk-000001", 1), true);
    records.push(inventory_record(&["m-g1n"]));
    let mut leader = TestLeader::with_records(records);
    let mut summary = SummaryCache::default();
    summary
        .removed_machines
        .push_back(MachineId("m-g9n".into()));
    leader.cluster.adopt_summary(&summary);
    leader.note(
        "late copies: from m-g1n before its task started, from released m-g9n, from unknown m-g8n",
    );
    leader.receive_heartbeat_with("m-g1n", (1, 3, 0), &[], true);
    leader.receive_heartbeat_with(
        "m-g9n",
        (1, 3, 0),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    leader.receive_heartbeat_with("m-g8n", (1, 1, 0), &[], true);
    leader.run_cycle();
    leader.receive_heartbeat_with(
        "m-g1n",
        (1, 8, 1),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    leader.run_cycle();
    leader.advance_clock(2.0);
    leader.receive_heartbeat_with(
        "m-g1n",
        (1, 9, 1),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    let decisions = leader.run_cycle();
    leader.note("m-g8n, which only a late copy names, is released");
    leader.plan_scaling(&decisions);
    insta::assert_snapshot!(leader.log);
}

/// A leader that the agents can't reach keeps its own lease while theirs expire, so it must detect that it
/// receives few heartbeats. Missing heartbeats from a part of the machines, or at the beginning of a term, do
/// not suffice.
#[test]
fn leader_detects_that_it_receives_few_heartbeats() {
    let mut leader = TestLeader::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-c1s"];
    leader.add_machines(&names);
    assert!(
        !leader.cluster.receives_few_heartbeats(leader.now),
        "all heartbeats have just arrived"
    );
    leader.advance_clock(30.0);
    leader.receive_heartbeat("m-g1n", &[]);
    leader.receive_heartbeat("m-g2n", &[]);
    assert!(
        !leader.cluster.receives_few_heartbeats(leader.now),
        "two of five machines send heartbeats"
    );
    leader.advance_clock(30.0);
    assert!(leader.cluster.receives_few_heartbeats(leader.now));
    leader.recover(2);
    assert!(
        !leader.cluster.receives_few_heartbeats(leader.now),
        "no heartbeat can have arrived yet in the new term"
    );
}

/// Machines that had been released before a new leader received their zone counted as a partitioned zone of
/// their own: every array that may run on any machine was pending for more than a lease.
#[test]
fn machines_known_only_from_the_inventory_do_not_count_as_a_partitioned_zone() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n"];
    let unlisted = ["m-x1n", "m-x2n", "m-x3n"];
    let all: Vec<&str> = names.iter().chain(&unlisted).copied().collect();
    let mut records = accepted_job_records(&array_job("wk-000001", 2), true);
    records.push(inventory_record(&all));
    let mut leader = TestLeader::with_records(records);
    leader.receive_machine_list(&names);
    for _ in 0..2 {
        leader.advance_clock(1.0);
        for name in &names {
            leader.receive_heartbeat(name, &[]);
        }
        leader.run_cycle();
    }
    assert_eq!(leader.cluster.unreconciled.len(), unlisted.len());
    let decisions = leader.run_cycle();
    leader.log.clear();
    leader.plan_scaling(&decisions);
    for name in &unlisted {
        assert!(
            leader.log.contains(name),
            "{name}, which is missing from the machine list, is not released: {}",
            leader.log
        );
    }
}

/// Version 0.3.0 stores the description under a key of its own, with the machines to which starts of the job
/// may have been sent.
#[test]
fn records_of_version_0_3_0_are_read_and_deleted_with_their_job() {
    let names = ["m-g1n", "m-g2n"];
    let mut records = accepted_job_records_v0_3_0(&array_job("wk-000001", 1), &["m-g1n"]);
    records.push(inventory_record(&names));
    let mut leader = TestLeader::with_records(records);
    leader.receive_machine_list(&names);
    leader.receive_heartbeat("m-g2n", &[]);
    leader.note("the job may run on m-g1n, which has not sent a heartbeat");
    leader.run_cycle();
    leader.receive_heartbeat("m-g1n", &[("wk-000001/0", 7, RUNNING, None)]);
    leader.receive_heartbeat(
        "m-g1n",
        &[("wk-000001/0", 7, EXITED, Some(ExitCause::Done))],
    );
    let replica = leader.replica();
    let writes = leader.cluster.due_writes(&replica, leader.now);
    let written_keys: Vec<String> = writes
        .iter()
        .flat_map(|write| &write.transaction.changes)
        .map(|change| change.key().to_owned())
        .collect();
    leader.note(&format!(
        "keys written at the end of the job: {written_keys:?}"
    ));
    insta::assert_snapshot!(leader.log);
}

/// Abandoned deletions of dispatch records prevented writes of further ones, so that tasks that had lost
/// their machine never restarted.
#[test]
fn obsolete_dispatch_records_do_not_block_writes_of_new_ones() {
    let obsolete =
        (100..150).map(|n| dispatch_record(&JobId::parse(&format!("wk-{n:06}")).unwrap(), None));
    let mut leader = TestLeader::with_records(obsolete.collect());
    leader.add_machines(&["m-g1n"]);
    for number in 1..=8u64 {
        let id = format!("wk-{number:06}");
        leader.submit(array_job(&id, 1));
        leader.log.clear();
        leader.run_cycle();
        assert!(
            leader.log.contains(&format!("dispatch of {id}")),
            "no dispatch record is written: {}",
            leader.log
        );
        leader.receive_heartbeat("m-g1n", &[]);
        let task = format!("{id}/0");
        let done = (
            &*task,
            ATTEMPT_1 + number - 1,
            EXITED,
            Some(ExitCause::Done),
        );
        leader.receive_heartbeat("m-g1n", &[done]);
        leader.run_cycle();
        assert!(
            leader.log.contains(&format!("{id} finished")),
            "the verdict is not written: {}",
            leader.log
        );
        leader.receive_heartbeat("m-g1n", &[]);
    }
}

/// A new leader waited for the machines of a partitioned zone until it released them. Tasks that an earlier
/// leader started there end with the leases of the machines, whichever leader extended these last.
#[test]
fn machines_without_a_response_in_this_term_are_reconciled_once_the_inherited_lease_expires() {
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let mut records = accepted_job_records(&array_job("wk-000001", 1), true);
    records.push(inventory_record(&names));
    let mut leader = TestLeader::with_records(records);
    leader.receive_machine_list(&names);
    let inherited_lease = leader.cluster.timing.inherited_lease;
    assert!(
        inherited_lease > leader.cluster.timing.lease,
        "the inherited lease includes the keep-alive limit of the earlier leader"
    );
    // This machine acknowledges the current term, so that only the other two in `south` stay unreconciled.
    leader.receive_heartbeat("m-g4s", &[]);
    let starts_after = |leader: &mut TestLeader, elapsed: std::time::Duration| {
        leader.now = leader.started_at + elapsed;
        for name in &names[..3] {
            leader.receive_heartbeat(name, &[]);
        }
        leader.run_cycle().starts.len()
    };
    let margin = std::time::Duration::from_millis(100);
    assert_eq!(
        starts_after(&mut leader, inherited_lease - margin),
        0,
        "nothing starts before the inherited lease expires"
    );
    assert_eq!(leader.cluster.unreconciled.len(), 2);
    assert_eq!(starts_after(&mut leader, inherited_lease + margin), 1);
    assert!(leader.cluster.unreconciled.is_empty());
}
