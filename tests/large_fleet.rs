//! Sizes and work at 4,000 machines: records, digests, a take-over and rounds. Nothing here measures
//! time.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use std::collections::BTreeSet;

use knotlanding::cluster::RecordKind;
use knotlanding::model::{JobId, MachineId, Term};
use knotlanding::state_summary::{
    StateSummary, SummaryCache, REMOVED_MACHINES_MAX, SUMMARY_BYTES_MAX,
};
use knotlanding::store::{Change, TransactionOutcome};
use knotlanding::wire;
use scene::{array, gang, Scene};

const MACHINES: usize = 4_000;

/// Half are `cpu16`, half `gpu2`, in two zones.
fn names(count: usize) -> Vec<String> {
    let name = |number: usize| {
        let kind = if number.is_multiple_of(2) { 'c' } else { 'g' };
        let zone = if number % 4 < 2 { 'n' } else { 's' };
        format!("m-{kind}{number:06}{zone}")
    };
    (0..count).map(name).collect()
}

/// Machines that have reported.
fn reported(count: usize) -> Scene {
    let mut scene = Scene::new();
    for name in names(count) {
        scene.heartbeat(&name, &[]);
    }
    scene
}

#[test]
fn a_roster_of_4000_machines_is_written_within_the_limits_and_read_back() {
    let mut scene = reported(MACHINES);
    let limits = scene.settings.params.store.clone();
    let replica = scene.replica();
    let writes = scene.cluster.due_writes(&replica, scene.now);
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
        // The service measures values as JSON.
        let json = serde_json::to_string(value).unwrap();
        assert!(json.len() as f64 <= limits.value_kb * 1024.0, "{key}");
        scene.record(key.clone(), value.clone());
    }
    for (revision, write) in writes.iter().enumerate() {
        let outcome = TransactionOutcome::Committed(1_000 + revision as u64);
        scene.cluster.apply_write_outcome(&write.kind, &outcome);
    }
    assert_eq!(written.len(), MACHINES);
    // All shards go in two seconds' worth of changes.
    assert!(
        writes.len() as f64 <= 2.0 * limits.write_rps,
        "{}",
        writes.len()
    );
    let replica = scene.replica();
    assert!(scene.cluster.due_writes(&replica, scene.now).is_empty());

    scene.recover(2);
    assert_eq!(scene.cluster.unreconciled, written);
    // One machine that goes costs one shard, not all of them.
    let gone = MachineId("m-c000000n".into());
    scene.cluster.remove_released_machine(&gone);
    let replica = scene.replica();
    assert_eq!(scene.cluster.due_writes(&replica, scene.now).len(), 1);
}

#[test]
fn a_full_digest_of_4000_machines_fits_with_the_latest_images_of_each() {
    let mut scene = reported(MACHINES);
    // As many as a large cache holds, with long names.
    let image = |machine: usize, at: usize| format!("registry/team-{}/image-{at:03}", machine % 9);
    let ids: Vec<MachineId> = scene.cluster.machines.keys().cloned().collect();
    for (number, id) in ids.iter().enumerate() {
        for at in 0..60 {
            let known = scene.cluster.images.intern(&image(number, at));
            let machine = scene.cluster.machines.get_mut(id).unwrap();
            machine.record_image_use(known, 3.0, 200.0);
        }
        let machine = scene.cluster.machines.get_mut(id).unwrap();
        machine.address = format!("10.{}.{}.7:9000", number / 250, number % 250);
    }
    for number in 0..20_000 {
        let spec = array(&format!("wk-{:06}", 100_000 + number), 1);
        for (key, value) in scene::accepted(&spec, false) {
            scene.records.push((key, value));
        }
    }
    let replica = scene.replica();
    for id in replica.descriptions.keys() {
        let wall = scene::wall();
        scene.cluster.sync_job(id, &replica, scene.now, wall, false);
    }
    let mut contents = scene.cluster.full_summary();
    assert_eq!(
        (contents.machines.len(), contents.task_counts.len()),
        (MACHINES, 20_000)
    );
    contents.shorten(SUMMARY_BYTES_MAX);
    let latest: Vec<_> = contents
        .machines
        .iter()
        .map(|(_, hint)| hint.images.last())
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
        "room is used: {}",
        bytes.len()
    );
    for image in latest {
        assert!(image.is_some_and(|(name, _)| name.ends_with("image-059")));
    }
    let mut view = SummaryCache::default();
    assert!(view.apply(knotlanding::peer::decode(&bytes).unwrap()));
    assert_eq!(view.machines.len(), MACHINES, "every machine is told");
    assert_eq!(view.task_counts.len(), 20_000);
    assert!(view
        .machines
        .values()
        .all(|hint| hint.address.starts_with("10.")));
}

#[test]
fn a_digest_of_any_size_is_shortened_to_what_peers_take() {
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

#[test]
fn a_take_over_of_4000_machines_asks_each_once_in_a_bounded_number_of_rounds() {
    let mut scene = Scene::new();
    let names = names(MACHINES);
    for (shard, part) in names.chunks(250).enumerate() {
        let machines: Vec<String> = part.to_vec();
        let record = knotlanding::store::keys::InventoryRecord { machines };
        let key = knotlanding::store::keys::inventory(shard);
        scene.record(key, knotlanding::store::to_value(&record));
    }
    scene.recover(2);
    for machine in scene.cluster.machines.values_mut() {
        machine.address = "127.0.0.1:9".to_owned();
    }
    let mut asked = BTreeSet::new();
    let mut rounds = 0;
    while asked.len() < MACHINES {
        rounds += 1;
        assert!(rounds <= 100, "{} asked", asked.len());
        for direct in scene.cluster.direct_commands(scene.now) {
            assert!(direct.body.commands.is_empty());
            assert!(asked.insert(direct.machine), "asked twice within a moment");
        }
        // The shortest time between two rounds.
        scene.pass(0.15);
    }
    // Every machine reports by itself; each is settled by its first report.
    for name in &names {
        scene.report_as(name, (1, 1, 2), &[], true);
    }
    assert!(scene.cluster.unreconciled.is_empty());
    assert!(scene
        .cluster
        .machines
        .values()
        .all(|machine| machine.fenced));
}

#[test]
fn rounds_fill_4000_machines_with_whole_gangs_and_lists_within_the_limits() {
    let mut scene = reported(MACHINES);
    scene.write(true);
    let limits = scene.settings.params.store.clone();
    // Some room is left: gangs bound to a zone can't use what is over in both.
    let gangs = 120;
    for number in 0..gangs {
        let mut spec = gang(&format!("wk-{:06}", 100 + number), 16);
        spec.single_zone = number % 2 == 0;
        scene.submit(spec);
    }
    let (mut started, mut rounds) = (BTreeSet::new(), 0);
    while started.len() < gangs {
        rounds += 1;
        assert!(rounds <= 4, "{} of {gangs} started", started.len());
        let now = scene.now;
        let decisions = knotlanding::sched::run_cycle(&scene.cluster, &scene.policy, now);
        knotlanding::sched::apply(&mut scene.cluster, &decisions, now);
        for start in &decisions.starts {
            assert_eq!(start.members.len(), 16, "whole or not at all");
            assert!(started.insert(start.job.clone()), "{} twice", start.job);
        }
        let replica = scene.replica();
        for write in scene.cluster.due_writes(&replica, now) {
            for change in &write.transaction.changes {
                let Change::Put { value, .. } = change else {
                    continue;
                };
                let json = serde_json::to_string(value).unwrap();
                assert!(json.len() as f64 <= limits.value_kb * 1024.0);
                assert!(wire::encode(value).len() <= json.len());
            }
            scene
                .cluster
                .apply_write_outcome(&write.kind, &TransactionOutcome::Committed(5_000));
        }
        scene.pass(0.2);
    }
    let busy = scene
        .cluster
        .machines
        .values()
        .filter(|m| m.is_busy())
        .count();
    assert_eq!(busy, gangs * 16, "a machine takes one member");
    for machine in scene.cluster.machines.values() {
        assert_eq!(*machine.load(), machine.computed_load(), "{}", machine.id);
    }
}

/// Late copies come within minutes, in which the whole fleet may have been replaced.
#[test]
fn machines_that_are_gone_are_remembered_while_a_fleet_of_4000_is_replaced_twice() {
    let mut scene = reported(10);
    let first = MachineId("m-c000000n".into());
    scene.cluster.remove_released_machine(&first);
    for number in 0..2 * MACHINES {
        scene
            .cluster
            .remove_released_machine(&MachineId(format!("m-z{number:06}").into()));
    }
    const { assert!(REMOVED_MACHINES_MAX > 2 * MACHINES) };
    scene.heartbeat("m-c000000n", &[]);
    assert!(!scene.cluster.machines.contains_key(&first));
}
