//! Sizes of records and state summaries, and numbers of steps of a failover and of scheduling, with 4,000
//! machines.
//! No test here asserts a duration.

// A failed `unwrap` or `expect` fails the test.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_leader.rs"]
mod test_leader;

use std::collections::BTreeSet;

use knotlanding::cluster::RecordKind;
use knotlanding::model::{JobId, MachineId, Term};
use knotlanding::state_summary::{
    StateSummary, SummaryCache, REMOVED_MACHINES_MAX, SUMMARY_BYTES_MAX,
};
use knotlanding::store::{Change, TransactionOutcome};
use knotlanding::wire;
use test_leader::{array_job, gang_job, TestLeader};

const MACHINES: usize = 4_000;

/// Names of machines in two zones: half of the type `cpu16`, half `gpu2`.
fn machine_names(count: usize) -> Vec<String> {
    let name = |number: usize| {
        let type_letter = if number.is_multiple_of(2) { 'c' } else { 'g' };
        let zone_letter = if number % 4 < 2 { 'n' } else { 's' };
        format!("m-{type_letter}{number:06}{zone_letter}")
    };
    (0..count).map(name).collect()
}

/// A leader that has received a heartbeat from each of `count` machines.
fn fleet_with_heartbeats(count: usize) -> TestLeader {
    let mut leader = TestLeader::new();
    for name in machine_names(count) {
        leader.receive_heartbeat(&name, &[]);
    }
    leader
}

/// The store refuses a record above its limits, and a new leader would not recover the machines in it.
#[test]
fn inventory_of_4000_machines_is_written_within_the_store_limits_and_recovered() {
    let mut leader = fleet_with_heartbeats(MACHINES);
    let limits = leader.settings.params.store.clone();
    let replica = leader.replica();
    let writes = leader.cluster.due_writes(&replica, leader.now);
    let mut written = BTreeSet::new();
    for write in &writes {
        assert!(write.transaction.changes.len() <= limits.txn_ops);
        let RecordKind::Inventory { machines, .. } = &write.kind else {
            panic!("{:?}", write.kind);
        };
        written.extend(machines.iter().cloned());
        let Change::Put { key, value, .. } = &write.transaction.changes[0] else {
            panic!("{:?}", write.transaction.changes);
        };
        // The store measures the size of a value in its JSON encoding.
        let json = serde_json::to_string(value).unwrap();
        assert!(json.len() as f64 <= limits.value_kb * 1024.0, "{key}");
        leader.put_record(key.clone(), value.clone());
    }
    for (revision, write) in writes.iter().enumerate() {
        let outcome = TransactionOutcome::Committed(1_000 + revision as u64);
        leader.cluster.apply_write_outcome(&write.kind, &outcome);
    }
    assert_eq!(written.len(), MACHINES);
    // The rate limit allows writing all shards within two seconds.
    assert!(
        writes.len() as f64 <= 2.0 * limits.write_rps,
        "{}",
        writes.len()
    );
    let replica = leader.replica();
    assert!(leader.cluster.due_writes(&replica, leader.now).is_empty());

    leader.recover(2);
    assert_eq!(leader.cluster.unreconciled, written);
    // The removal of one machine rewrites one shard, not all of them.
    let removed = MachineId("m-c000000n".into());
    leader.cluster.remove_released_machine(&removed);
    let replica = leader.replica();
    assert_eq!(leader.cluster.due_writes(&replica, leader.now).len(), 1);
}

/// A state summary above the limit would be rejected. Shortening it must keep every machine, with the image
/// that the machine used last.
#[test]
fn full_state_summary_of_4000_machines_fits_the_limit_with_the_newest_image_of_each() {
    let mut leader = fleet_with_heartbeats(MACHINES);
    // 60 images with long names, which is as many as a large cache holds.
    let image = |machine: usize, n: usize| format!("registry/team-{}/image-{n:03}", machine % 9);
    let ids: Vec<MachineId> = leader.cluster.machines.keys().cloned().collect();
    for (number, id) in ids.iter().enumerate() {
        for n in 0..60 {
            let image_id = leader.cluster.images.intern(&image(number, n));
            let machine = leader.cluster.machines.get_mut(id).unwrap();
            machine.record_image_use(image_id, 3.0, 200.0);
        }
        let machine = leader.cluster.machines.get_mut(id).unwrap();
        machine.address = format!("10.{}.{}.7:9000", number / 250, number % 250);
    }
    for number in 0..20_000 {
        let spec = array_job(&format!("wk-{:06}", 100_000 + number), 1);
        for (key, value) in test_leader::accepted_job_records(&spec, false) {
            leader.records.push((key, value));
        }
    }
    let replica = leader.replica();
    for id in replica.descriptions.keys() {
        let at = test_leader::fixed_wall_time();
        leader.cluster.sync_job(id, &replica, leader.now, at, false);
    }
    let mut contents = leader.cluster.full_summary();
    assert_eq!(
        (contents.machines.len(), contents.task_counts.len()),
        (MACHINES, 20_000)
    );
    contents.shorten(SUMMARY_BYTES_MAX);
    let newest_images: Vec<_> = contents
        .machines
        .iter()
        .map(|(_, machine)| machine.images.last())
        .collect();
    let summary = StateSummary {
        term: Term(1),
        member: "knot-1".to_owned(),
        number: 1,
        full: true,
        contents: contents.clone(),
    };
    let bytes = knotlanding::peer::encode(&summary).unwrap();
    assert!(bytes.len() <= SUMMARY_BYTES_MAX, "{}", bytes.len());
    assert!(
        bytes.len() > SUMMARY_BYTES_MAX / 2,
        "the state summary uses less than half of the limit: {} bytes",
        bytes.len()
    );
    for image in newest_images {
        assert!(image.is_some_and(|(name, _)| name.ends_with("image-059")));
    }
    let mut cache = SummaryCache::default();
    assert!(cache.apply(knotlanding::peer::decode(&bytes).unwrap()));
    assert_eq!(cache.machines.len(), MACHINES, "a machine is missing");
    assert_eq!(cache.task_counts.len(), 20_000);
    assert!(cache
        .machines
        .values()
        .all(|machine| machine.address.starts_with("10.")));
}

/// Ended jobs, task counts and removed machines alone exceed the limit. Each kind is shortened to its share,
/// and some entries of each must remain.
#[test]
fn state_summary_of_any_size_is_shortened_to_the_limit() {
    let mut contents = knotlanding::state_summary::SummaryContents::default();
    for number in 0..200_000 {
        let id = JobId::parse(&format!("wk-{number:06}")).unwrap();
        contents.ended_jobs.push(id.clone());
        contents
            .removed_machines
            .push(MachineId(format!("m-{number:06}").into()));
        let (done, running) = (u32::MAX, u32::MAX);
        contents
            .task_counts
            .push(knotlanding::state_summary::TaskCounts { id, done, running });
    }
    for limit in [64 * 1024, SUMMARY_BYTES_MAX] {
        let mut contents = contents.clone();
        contents.shorten(limit);
        assert!(knotlanding::peer::encode(&contents).unwrap().len() <= limit);
        assert!(
            !contents.task_counts.is_empty()
                && !contents.ended_jobs.is_empty()
                && !contents.removed_machines.is_empty()
        );
    }
}

/// A new leader repeats no start before all machines are reconciled. Repeated or slow queries would delay the
/// restart of lost tasks.
#[test]
fn new_leader_queries_each_of_4000_machines_once_in_at_most_100_cycles() {
    let mut leader = TestLeader::new();
    let names = machine_names(MACHINES);
    for (shard, part) in names.chunks(250).enumerate() {
        let machines: Vec<String> = part.to_vec();
        let record = knotlanding::store::keys::InventoryRecord { machines };
        let key = knotlanding::store::keys::inventory(shard);
        leader.put_record(key, knotlanding::store::to_value(&record));
    }
    leader.recover(2);
    for machine in leader.cluster.machines.values_mut() {
        machine.address = "127.0.0.1:9".to_owned();
    }
    let mut queried = BTreeSet::new();
    let mut cycles = 0;
    while queried.len() < MACHINES {
        cycles += 1;
        assert!(
            cycles <= 100,
            "{} machines queried after 100 cycles",
            queried.len()
        );
        for command in leader.cluster.direct_commands(leader.now) {
            assert!(command.terminations.is_empty());
            assert!(
                queried.insert(command.machine),
                "a machine is queried twice"
            );
        }
        // The shortest time between two scheduling cycles.
        leader.advance_clock(0.15);
    }
    // Every machine then sends a heartbeat; the first one reconciles the machine.
    for name in &names {
        leader.receive_heartbeat_with(name, (1, 1, 2), &[], true);
    }
    assert!(leader.cluster.unreconciled.is_empty());
    assert!(leader
        .cluster
        .machines
        .values()
        .all(|machine| machine.fenced));
}

/// A record above the limits of the store is refused, and the starts that it covers would be delayed.
#[test]
fn scheduling_cycles_start_whole_gangs_on_4000_machines_with_records_within_the_limits() {
    let mut leader = fleet_with_heartbeats(MACHINES);
    leader.write_records(true);
    let limits = leader.settings.params.store.clone();
    // The gangs need less than the whole capacity: gangs bound to one zone cannot use what is left in both.
    let gangs = 120;
    for number in 0..gangs {
        let mut spec = gang_job(&format!("wk-{:06}", 100 + number), 16);
        spec.single_zone = number % 2 == 0;
        leader.submit(spec);
    }
    let (mut started, mut cycles) = (BTreeSet::new(), 0);
    while started.len() < gangs {
        cycles += 1;
        assert!(
            cycles <= 4,
            "{} of {gangs} gangs started after 4 cycles",
            started.len()
        );
        let now = leader.now;
        let decisions = knotlanding::sched::run_cycle(&leader.cluster, &leader.policy, now);
        knotlanding::sched::apply(&mut leader.cluster, &decisions, now);
        for start in &decisions.starts {
            assert_eq!(start.members.len(), 16, "a member is missing");
            assert!(
                started.insert(start.job.clone()),
                "gang {} started twice",
                start.job
            );
        }
        let replica = leader.replica();
        for write in leader.cluster.due_writes(&replica, now) {
            for change in &write.transaction.changes {
                let Change::Put { value, .. } = change else {
                    continue;
                };
                let json = serde_json::to_string(value).unwrap();
                assert!(json.len() as f64 <= limits.value_kb * 1024.0);
                assert!(wire::encode(value).len() <= json.len());
            }
            leader
                .cluster
                .apply_write_outcome(&write.kind, &TransactionOutcome::Committed(5_000));
        }
        leader.advance_clock(0.2);
    }
    let busy_machines = leader
        .cluster
        .machines
        .values()
        .filter(|m| m.is_busy())
        .count();
    assert_eq!(busy_machines, gangs * 16, "a machine has two members");
    for machine in leader.cluster.machines.values() {
        assert_eq!(*machine.load(), machine.computed_load(), "{}", machine.id);
    }
}

/// Delayed copies of heartbeats arrive within minutes, in which the whole fleet may be replaced. They must
/// not add a removed machine again.
#[test]
fn removed_machine_is_not_added_again_after_a_fleet_of_4000_is_replaced_twice() {
    let mut leader = fleet_with_heartbeats(10);
    let removed = MachineId("m-c000000n".into());
    leader.cluster.remove_released_machine(&removed);
    for number in 0..2 * MACHINES {
        leader
            .cluster
            .remove_released_machine(&MachineId(format!("m-z{number:06}").into()));
    }
    const { assert!(REMOVED_MACHINES_MAX > 2 * MACHINES) };
    leader.receive_heartbeat("m-c000000n", &[]);
    assert!(!leader.cluster.machines.contains_key(&removed));
}
