//! Plays troubles in the model, with jobs that come all the while, and checks that all of it ends well.

#![allow(dead_code)]

use std::fs::OpenOptions;
use std::io::Write;

use knotlanding::model::{JobSpec, Priority};

use crate::common;
use crate::scene::{array_job, gang_job};
use crate::world::{Trouble, World};

/// How long after the last trouble everything must be over.
pub const SETTLE_TIME_S: f64 = 260.0;

pub fn settings() -> String {
    let text = common::settings_with_unreachable_addresses();
    text.replace("count = 1", "count = 3")
        .replace("report_s = 0.5", "report_s = 3.0")
}

/// The jobs of every play: gangs in one zone, arrays, single tasks, one team near its limit.
fn jobs(at: usize) -> (JobSpec, f64) {
    let id = format!("wk-{:06}", at + 1);
    match at % 5 {
        0 => (gang_job(&id, 2), 25.0),
        1 => (array_job(&id, 3), 12.0),
        2 => {
            let mut job = array_job(&id, 1);
            job.priority = Priority::BestEffort;
            (job, 6.0)
        }
        3 => {
            let mut job = array_job(&id, 2);
            job.team = "blue".to_owned();
            // An array bound to one zone.
            job.single_zone = true;
            (job, 40.0)
        }
        _ => (gang_job(&id, 3), 15.0),
    }
}

/// How to play.
#[derive(Clone, Copy)]
pub struct Play {
    /// Whether links are turned on.
    pub links_on: bool,
}

impl Play {
    /// Plays the troubles with jobs that come all the while; nothing may break, and all must end.
    pub fn play(&self, seed: u64, troubles: &[Trouble]) -> World {
        let mut world = World::with_links(seed, &settings(), self.links_on);
        let last = troubles.iter().map(|t| t.at + t.lasts).fold(20.0, f64::max);
        world.calm_from = last;
        let count = (last / 4.0) as usize;
        for at in 0..count {
            world.play(2.0 + at as f64 * 4.0, troubles);
            let (spec, run_s) = jobs(at);
            world.want(spec, run_s);
        }
        world.play(last + SETTLE_TIME_S, troubles);
        assert_eq!(
            world.broken,
            Vec::<String>::new(),
            "seed {seed}: {troubles:?}"
        );
        let unfinished = world.unfinished();
        let why: Vec<String> = unfinished.iter().map(|id| world.explain(id)).collect();
        assert!(
            unfinished.is_empty(),
            "seed {seed}: {unfinished:?}: {why:#?}\n{troubles:?}"
        );
        assert!(world.starts >= count, "seed {seed}: work was done");
        note_hash(seed, &world);
        world
    }

    /// Plays the same troubles with each seed, begun at a moment that differs.
    pub fn seeds(
        &self,
        seeds: std::ops::Range<u64>,
        troubles: impl Fn(f64) -> Vec<Trouble>,
    ) -> Vec<World> {
        seeds
            .map(|seed| self.play(seed, &troubles((seed % 7) as f64)))
            .collect()
    }
}

/// Appends the hash of a run to the file that `KNOTLANDING_RUN_HASHES` names, if it is set: sorted,
/// the lines of two versions that behave alike are the same.
fn note_hash(seed: u64, world: &World) {
    let Some(file) = std::env::var_os("KNOTLANDING_RUN_HASHES") else {
        return;
    };
    let line = format!("{seed} {:016x}\n", world.run_hash());
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)
        .unwrap();
    file.write_all(line.as_bytes()).unwrap();
}

/// Seeds of every scene; more are played by `KNOTLANDING_SEEDS` when hunting.
pub fn drawn() -> std::ops::Range<u64> {
    let more = std::env::var("KNOTLANDING_SEEDS").ok();
    1..more.and_then(|n| n.parse().ok()).unwrap_or(5)
}
