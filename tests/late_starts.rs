//! Late copies of a start that was executed and answered before: after its task was cleared, cancelled or moved, with a
//! machine or a controller that is back at once, and on each way on which commands travel. No start may be executed
//! twice, and no task may run on two machines.

// A failed `unwrap` or `expect` fails the test.
#![allow(clippy::unwrap_used, clippy::expect_used)]

#[path = "common/agent.rs"]
mod agent;
mod common;
#[path = "common/leader_with_store.rs"]
mod leader_with_store;
#[path = "common/test_leader.rs"]
mod test_leader;

use std::collections::BTreeSet;

use agent::Agent;
use knotlanding::cluster::AddressedCommand;
use knotlanding::model::{JobId, JobSpec};
use knotlanding::wire::{Heartbeat, WorkerCommand};
use leader_with_store::{HeartbeatRequest, LeaderWithStore, Route};
use test_leader::array_job;

const JOB: &str = "wk-000001";
/// Rounds of heartbeats and scheduling cycles within which each expected state is reached.
const ROUNDS_MAX: usize = 40;
/// Seconds between two rounds.
const ROUND_S: f64 = 0.5;

/// What becomes of the task between its start and the copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It completes and is cleared.
    Cleared,
    /// Its job is cancelled, and it is terminated and cleared.
    Cancelled,
    /// Its machine is drained, and it starts on the other one.
    Moved,
}

/// What is back at once before the copies arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Restart {
    None,
    /// The machine on which the task was started, in epoch 1 again.
    Machine,
    /// The controller, as the leader of the next term.
    Controller,
    /// Both.
    MachineAndController,
}

/// A leader and two machines, with a record of all messages that could start a task.
struct Deployment {
    leader: LeaderWithStore,
    agents: Vec<Agent>,
    route: Route,
    /// The requests whose response carried a start, and the agent that sent each, with the heartbeat.
    start_requests: Vec<(usize, HeartbeatRequest, Heartbeat)>,
    direct_commands: Vec<(usize, AddressedCommand)>,
    /// Copies of which the leader or an agent took notice.
    copies_delivered: usize,
}

fn is_start(command: &WorkerCommand) -> bool {
    matches!(command, WorkerCommand::Run { .. })
}

impl Deployment {
    /// Two idle machines and an accepted job of one task, which can save checkpoints.
    fn new(route: Route) -> Self {
        let mut leader = LeaderWithStore::new();
        leader.advance(0.1);
        leader.submit(&JobSpec {
            checkpoint_interval_s: 30.0,
            checkpoint_cost_s: 5.0,
            ..array_job(JOB, 1)
        });
        Self {
            leader,
            agents: ["m-000001", "m-000002"].map(Agent::new).into(),
            route,
            start_requests: Vec::new(),
            direct_commands: Vec::new(),
            copies_delivered: 0,
        }
    }

    /// Every agent sends a heartbeat, and the leader runs a cycle.
    fn run_round(&mut self) {
        self.leader.advance(ROUND_S);
        for index in 0..self.agents.len() {
            let heartbeat = self.agents[index].next_heartbeat();
            let request = self.leader.request(heartbeat.clone(), self.route);
            let Some(response) = self.leader.respond(&request) else {
                continue;
            };
            if response.commands.iter().any(is_start) {
                self.start_requests.push((index, request, heartbeat));
            }
            self.agents[index].receive_response(&response);
        }
        self.run_cycle();
    }

    /// The leader runs a cycle and sends its direct commands.
    fn run_cycle(&mut self) {
        for command in self.leader.run_cycle() {
            let body = command.body();
            assert!(!body.commands.iter().any(is_start), "{body:?}");
            let sent_to = |agent: &Agent| *agent.name == *command.machine.0;
            let index = self.agents.iter().position(sent_to).unwrap();
            let heartbeat = self.agents[index].receive_command(&body);
            self.leader.receive_command_response(&heartbeat);
            self.direct_commands.push((index, command));
        }
        self.check();
    }

    /// No start is executed twice, and no task runs on two machines.
    fn check(&self) {
        let executed = self.agents.iter().flat_map(|agent| &agent.executed_starts);
        let executed: Vec<_> = executed.collect();
        let distinct: BTreeSet<_> = executed.iter().collect();
        assert_eq!(executed.len(), distinct.len(), "{executed:?}");
        let running: Vec<&str> = self.agents.iter().flat_map(Agent::running).collect();
        let distinct: BTreeSet<_> = running.iter().collect();
        assert_eq!(running.len(), distinct.len(), "{running:?}");
    }

    fn run_until(&mut self, expected: &str, is_reached: impl Fn(&Self) -> bool) {
        for _ in 0..ROUNDS_MAX {
            if is_reached(self) {
                return;
            }
            self.run_round();
        }
        panic!("not reached: {expected}");
    }

    fn starts(&self) -> usize {
        let starts = self.agents.iter().map(|agent| agent.executed_starts.len());
        starts.sum()
    }

    /// The machine on which the task was started first.
    fn first_machine(&self) -> usize {
        self.start_requests[0].0
    }

    fn undergo(&mut self, fate: Fate) {
        let first = self.first_machine();
        match fate {
            Fate::Cleared => {
                self.agents[first].complete_tasks();
                self.run_until("cleared", |d| d.agents[first].is_empty());
            }
            Fate::Cancelled => {
                self.leader.cancel(&JobId::parse(JOB).unwrap());
                self.run_until("terminated", |d| d.agents[first].is_empty());
            }
            Fate::Moved => {
                let name = self.agents[first].name.clone();
                self.leader.shared.operator.lock().drained = vec![name];
                self.run_until("moved", |d| {
                    d.agents[first].is_empty() && !d.agents[1 - first].running().is_empty()
                });
            }
        }
    }

    fn restart(&mut self, restart: Restart) {
        let first = self.first_machine();
        if matches!(restart, Restart::Machine | Restart::MachineAndController) {
            self.agents[first].restart();
        }
        if matches!(restart, Restart::Controller | Restart::MachineAndController) {
            self.leader.elect_new_process();
            self.leader.advance(0.1);
        }
    }

    /// Delivers copies of all messages that led to starts, and of all direct commands, and lets the leader decide by
    /// what they show. An agent executes what the leader responds to a copy, as if it waited for that response.
    fn deliver_copies(&mut self) {
        for (index, request, heartbeat) in self.start_requests.clone() {
            // A copy of the request itself, and the heartbeat once more by either way.
            let copies = [
                request,
                self.leader.request(heartbeat.clone(), Route::Direct),
                self.leader.request(heartbeat, Route::Forwarded),
            ];
            for copy in copies {
                if let Some(response) = self.leader.respond(&copy) {
                    self.copies_delivered += 1;
                    assert!(!response.commands.iter().any(is_start), "{response:?}");
                    self.agents[index].receive_response(&response);
                }
            }
        }
        for (index, command) in &self.direct_commands {
            self.copies_delivered += 1;
            self.agents[*index].receive_command(&command.body());
        }
        self.run_cycle();
    }
}

/// Runs one case: the task is started and undergoes its fate, something is back at once, and copies arrive then and after
/// each further round.
fn run_case(route: Route, fate: Fate, restart: Restart) {
    let mut deployment = Deployment::new(route);
    deployment.run_until("started", |d| d.starts() == 1);
    deployment.run_round();
    deployment.undergo(fate);
    let starts_before = deployment.starts();
    deployment.restart(restart);
    for _ in 0..ROUNDS_MAX {
        deployment.deliver_copies();
        deployment.run_round();
    }
    assert!(deployment.copies_delivered > 0);
    let case = format!("{route:?}, {fate:?}, {restart:?}");
    match fate {
        Fate::Cleared | Fate::Cancelled => {
            assert_eq!(deployment.starts(), starts_before, "{case}");
        }
        Fate::Moved => {
            let running = deployment.agents.iter().flat_map(Agent::running);
            assert_eq!(running.count(), 1, "{case}: the task still runs");
        }
    }
}

fn run_cases(route: Route, fate: Fate) {
    for restart in [
        Restart::None,
        Restart::Machine,
        Restart::Controller,
        Restart::MachineAndController,
    ] {
        run_case(route, fate, restart);
    }
}

/// Guards against a second execution of a task whose result was recorded and cleared.
#[test]
fn late_copy_of_a_direct_response_starts_no_cleared_task() {
    run_cases(Route::Direct, Fate::Cleared);
}

/// Guards against a task that runs after its job's cancellation.
#[test]
fn late_copy_of_a_direct_response_starts_no_cancelled_task() {
    run_cases(Route::Direct, Fate::Cancelled);
}

/// Guards against a task that runs on two machines.
#[test]
fn late_copy_of_a_direct_response_starts_no_moved_task() {
    run_cases(Route::Direct, Fate::Moved);
}

/// Guards against a second execution of a task whose result was recorded and cleared.
#[test]
fn late_copy_of_a_forwarded_batch_starts_no_cleared_task() {
    run_cases(Route::Forwarded, Fate::Cleared);
}

/// Guards against a task that runs after its job's cancellation.
#[test]
fn late_copy_of_a_forwarded_batch_starts_no_cancelled_task() {
    run_cases(Route::Forwarded, Fate::Cancelled);
}

/// Guards against a task that runs on two machines.
#[test]
fn late_copy_of_a_forwarded_batch_starts_no_moved_task() {
    run_cases(Route::Forwarded, Fate::Moved);
}
