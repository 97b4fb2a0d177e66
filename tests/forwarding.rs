//! Kept traces of reports that followers forward, through the ends of nodes and cuts between them.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;
#[path = "common/simulation.rs"]
mod simulation;

use scene::array;
use simulation::{timed_fault, Fault, Simulation, TimedFault};

/// Time for which a phase of a trace is played.
const PHASE: f64 = 25.0;

struct Trace {
    world: Simulation,
    lines: Vec<String>,
}

impl Trace {
    /// Three nodes, at each of which some of six machines report, with work on all of them.
    fn new(peers_refuse: bool) -> Self {
        let text = common::settings_of_nobody();
        let text = text
            .replace("count = 1", "count = 3")
            .replace("report_s = 0.5", "report_s = 8.0");
        let mut world = Simulation::new(4, &text);
        world.peers_refuse_connections = peers_refuse;
        let mut work = array("wk-000001", 8);
        work.team = "blue".to_owned();
        work.task_resources.cpus = 14.0;
        work.task_resources.gpus = 0.0;
        world.submit_job(work, 400.0);
        let lines = Vec::new();
        Self { world, lines }
    }

    /// Plays a phase that begins with these faults, and notes what became of it.
    fn phase(&mut self, title: &str, faults: &[TimedFault]) {
        let (passed_on, lost) = (self.world.responses_relayed, self.world.sessions_ended());
        let until = self.world.now_s + PHASE;
        self.world.run_until(until, faults);
        let world = &self.world;
        assert_eq!(world.violations, Vec::<String>::new());
        let passed_on = if world.responses_relayed > passed_on {
            "some answers by way of followers"
        } else {
            "all answers from the leader itself"
        };
        let lost = world.sessions_ended() - lost;
        let leader = world.leading_controller();
        let leader = leader.map_or("nobody".to_owned(), |n| format!("knot-{n}"));
        self.lines.push(title.to_owned());
        self.lines.push(format!("    {leader} leads, {passed_on}"));
        let at = world.workers_by_controller();
        self.lines.push(format!(
            "    machines at knot-0, knot-1, knot-2: {at:?}; sessions lost: {lost}"
        ));
    }

    fn now(&self, fault: Fault, lasts: f64) -> Vec<TimedFault> {
        vec![timed_fault(self.world.now_s + 0.5, lasts, fault)]
    }
}

#[test]
fn connections_outlive_a_leader_and_only_a_dead_node_s_machines_move() {
    let mut trace = Trace::new(false);
    trace.phase("all machines come up", &[]);
    let faults = trace.now(Fault::CrashLeader(6.0), 0.0);
    trace.phase("the leader ends, and is back after 6 s", &faults);
    let faults = trace.now(Fault::CrashFollower(6.0), 0.0);
    trace.phase("a follower ends, and is back after 6 s", &faults);
    let faults = trace.now(Fault::FollowerCutFromLeader, 12.0);
    trace.phase("a follower can't reach the leader for 12 s", &faults);
    trace.phase("no trouble", &[]);
    insta::assert_snapshot!(trace.lines.join("\n"));
}

#[test]
fn machines_come_to_the_leader_where_the_nodes_refuse_each_other() {
    let mut trace = Trace::new(true);
    trace.phase("all machines come up, the nodes refuse each other", &[]);
    let faults = trace.now(Fault::CrashLeader(6.0), 0.0);
    trace.phase("the leader ends, and is back after 6 s", &faults);
    trace.world.peers_refuse_connections = false;
    trace.phase("the nodes reach each other again", &[]);
    insta::assert_snapshot!(trace.lines.join("\n"));
}
