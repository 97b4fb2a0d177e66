//! Heartbeats that followers forward to the leader while controllers crash or cannot reach each other. The
//! tests compare the result of each phase of a simulation with a snapshot in `tests/snapshots/`.

// A failed `unwrap` or `expect` fails the test.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/simulation.rs"]
mod simulation;
#[path = "common/test_leader.rs"]
mod test_leader;

use simulation::{timed_fault, Fault, Simulation, TimedFault};
use test_leader::array_job;

/// Duration of a phase in simulated seconds.
const PHASE_S: f64 = 25.0;

/// A simulation that runs phase by phase, with the results of all phases.
struct PhasedRun {
    simulation: Simulation,
    results: Vec<String>,
}

impl PhasedRun {
    /// Three controllers, six machines that send heartbeats every 8 s, and a job of eight tasks. A `cpu16`
    /// machine has room for one of the tasks, a `gpu2` machine for none. With `peers_refuse`, the controllers
    /// refuse each other's connections.
    fn new(peers_refuse: bool) -> Self {
        let text = common::settings_with_unreachable_addresses();
        let text = text
            .replace("count = 1", "count = 3")
            .replace("report_s = 0.5", "report_s = 8.0");
        let mut simulation = Simulation::new(4, &text);
        simulation.peers_refuse_connections = peers_refuse;
        let mut job = array_job("wk-000001", 8);
        job.team = "blue".to_owned();
        job.task_resources.cpus = 14.0;
        job.task_resources.gpus = 0.0;
        simulation.submit_job(job, 400.0);
        let results = Vec::new();
        Self {
            simulation,
            results,
        }
    }

    /// Runs a phase that begins with these faults, and adds its result.
    fn run_phase(&mut self, title: &str, faults: &[TimedFault]) {
        let (relayed_before, ended_before) = (
            self.simulation.responses_relayed,
            self.simulation.sessions_ended(),
        );
        let until = self.simulation.now_s + PHASE_S;
        self.simulation.run_until(until, faults);
        let simulation = &self.simulation;
        assert_eq!(simulation.violations, Vec::<String>::new());
        let response_path = if simulation.responses_relayed > relayed_before {
            "followers relay some responses"
        } else {
            "the leader sends all responses itself"
        };
        let ended = simulation.sessions_ended() - ended_before;
        let leader = simulation.leading_controller();
        let leader = leader.map_or("no controller".to_owned(), |n| format!("knot-{n}"));
        self.results.push(title.to_owned());
        self.results
            .push(format!("    {leader} leads, {response_path}"));
        let machines = simulation.workers_by_controller();
        self.results.push(format!(
            "    machines at knot-0, knot-1, knot-2: {machines:?}; worker leases expired: {ended}"
        ));
    }

    /// A fault that begins early in the next phase and lasts this many seconds.
    fn fault_in_next_phase(&self, fault: Fault, duration_s: f64) -> Vec<TimedFault> {
        vec![timed_fault(self.simulation.now_s + 0.5, duration_s, fault)]
    }
}

/// A machine that moves to another controller opens a new connection. Its lease must not expire meanwhile,
/// and machines of unaffected controllers must not move.
#[test]
fn machines_move_only_when_their_controller_crashes_or_cannot_reach_the_leader() {
    let mut run = PhasedRun::new(false);
    run.run_phase("all machines boot", &[]);
    let faults = run.fault_in_next_phase(Fault::CrashLeader(6.0), 0.0);
    run.run_phase("the leader crashes and restarts after 6 s", &faults);
    let faults = run.fault_in_next_phase(Fault::CrashFollower(6.0), 0.0);
    run.run_phase("a follower crashes and restarts after 6 s", &faults);
    let faults = run.fault_in_next_phase(Fault::FollowerCutFromLeader, 12.0);
    run.run_phase("a follower cannot reach the leader for 12 s", &faults);
    run.run_phase("no faults", &[]);
    insta::assert_snapshot!(run.results.join("\n"));
}

/// Followers that cannot forward heartbeats have to redirect the machines to the leader before the worker
/// leases expire.
#[test]
fn machines_connect_to_the_leader_when_controllers_refuse_each_other() {
    let mut run = PhasedRun::new(true);
    run.run_phase(
        "all machines boot, and the controllers refuse each other",
        &[],
    );
    let faults = run.fault_in_next_phase(Fault::CrashLeader(6.0), 0.0);
    run.run_phase("the leader crashes and restarts after 6 s", &faults);
    run.simulation.peers_refuse_connections = false;
    run.run_phase("the controllers reach each other again", &[]);
    insta::assert_snapshot!(run.results.join("\n"));
}
