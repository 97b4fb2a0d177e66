//! Runs simulated faults under a steady load of jobs, and checks that no invariant is violated and that
//! every job ends.

#![allow(dead_code)]

use std::fs::OpenOptions;
use std::io::Write;

use knotlanding::model::{JobSpec, Priority};

use crate::common;
use crate::simulation::{Simulation, TimedFault};
use crate::test_leader::{array_job, gang_job};

/// Time after the last fault within which every job must end.
pub const SETTLE_TIME_S: f64 = 260.0;

pub fn settings() -> String {
    let text = common::settings_with_unreachable_addresses();
    text.replace("count = 1", "count = 3")
        .replace("report_s = 0.5", "report_s = 3.0")
}

/// The jobs of every scenario and the run times of their tasks: gangs in one zone, arrays, single tasks,
/// and one team near its limit.
fn nth_job(index: usize) -> (JobSpec, f64) {
    let id = format!("wk-{:06}", index + 1);
    match index % 5 {
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
            job.single_zone = true;
            (job, 40.0)
        }
        _ => (gang_job(&id, 3), 15.0),
    }
}

/// Settings of a scenario run.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Whether link monitoring is enabled.
    pub links_enabled: bool,
}

impl Scenario {
    /// Runs the faults while a job is submitted every 4 s. Fails if an invariant is violated, or if a job
    /// does not end within [`SETTLE_TIME_S`].
    pub fn run(&self, seed: u64, faults: &[TimedFault]) -> Simulation {
        let mut simulation = Simulation::with_links(seed, &settings(), self.links_enabled);
        let faults_end_at = faults
            .iter()
            .map(|fault| fault.starts_at + fault.duration_s)
            .fold(20.0, f64::max);
        simulation.faults_end_at = faults_end_at;
        let job_count = (faults_end_at / 4.0) as usize;
        for index in 0..job_count {
            simulation.run_until(2.0 + index as f64 * 4.0, faults);
            let (spec, run_s) = nth_job(index);
            simulation.submit_job(spec, run_s);
        }
        simulation.run_until(faults_end_at + SETTLE_TIME_S, faults);
        assert_eq!(
            simulation.violations,
            Vec::<String>::new(),
            "seed {seed}: {faults:?}"
        );
        let unfinished = simulation.unfinished_jobs();
        let details: Vec<String> = unfinished
            .iter()
            .map(|id| simulation.describe_job(id))
            .collect();
        assert!(
            unfinished.is_empty(),
            "seed {seed}: {unfinished:?}: {details:#?}\n{faults:?}"
        );
        assert!(
            simulation.task_starts >= job_count,
            "seed {seed}: at least one task start per job"
        );
        append_run_hash(seed, &simulation);
        simulation
    }

    /// Runs the faults once per seed, with a start offset of 0 to 6 s that depends on the seed.
    pub fn run_seeds(
        &self,
        seeds: std::ops::Range<u64>,
        faults: impl Fn(f64) -> Vec<TimedFault>,
    ) -> Vec<Simulation> {
        seeds
            .map(|seed| self.run(seed, &faults((seed % 7) as f64)))
            .collect()
    }
}

/// Appends the hash of a run to the file that `KNOTLANDING_RUN_HASHES` names, if it is set. Versions with
/// the same behavior yield the same lines, in an order that may differ.
fn append_run_hash(seed: u64, simulation: &Simulation) {
    let Some(file) = std::env::var_os("KNOTLANDING_RUN_HASHES") else {
        return;
    };
    let line = format!("{seed} {:016x}\n", simulation.run_hash());
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)
        .unwrap();
    file.write_all(line.as_bytes()).unwrap();
}

/// Seeds of every test: 1 to 4, or up to `KNOTLANDING_SEEDS` (exclusive) for a longer search.
pub fn seed_range() -> std::ops::Range<u64> {
    let limit = std::env::var("KNOTLANDING_SEEDS").ok();
    1..limit.and_then(|text| text.parse().ok()).unwrap_or(5)
}
