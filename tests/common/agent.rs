//! The agent on a machine, by the protocol: it executes commands, and counts each start that it executes.

use std::collections::BTreeMap;

use knotlanding::wire::{
    DirectCommand, ExitCause, Heartbeat, HeartbeatResponse, TaskPhase, TaskStatus, WorkerCommand,
};

/// A task and its attempt.
pub type Attempt = (String, u64);

pub struct Agent {
    pub name: String,
    pub epoch: u64,
    sequence: u64,
    token: u64,
    /// The tasks in its heartbeats, with the cause of those that have exited.
    tasks: BTreeMap<Attempt, Option<ExitCause>>,
    /// The starts that it executed, in all incarnations.
    pub executed_starts: Vec<Attempt>,
}

impl Agent {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            epoch: 1,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
            executed_starts: Vec::new(),
        }
    }

    /// Restarts under the same name: in epoch 1, without token and tasks.
    pub fn restart(&mut self) {
        self.epoch = 1;
        self.sequence = 0;
        self.token = 0;
        self.tasks.clear();
    }

    pub fn next_heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), cause)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                phase: match cause {
                    Some(_) => TaskPhase::Exited,
                    None => TaskPhase::Running,
                },
                cause: *cause,
                saved: None,
            });
        Heartbeat {
            machine: self.name.clone(),
            address: "127.0.0.1:9".to_owned(),
            machine_type: "gpu2".to_owned(),
            zone: "north".to_owned(),
            spot: false,
            epoch: self.epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Executes the commands of a response with status 200, unless its token is too low.
    pub fn receive_response(&mut self, response: &HeartbeatResponse) {
        if response.token >= self.token {
            self.token = response.token;
            self.execute(&response.commands);
        }
    }

    /// Executes a direct command, if its token and its epoch match, and responds with a heartbeat.
    pub fn receive_command(&mut self, command: &DirectCommand) -> Heartbeat {
        if command.token >= self.token && command.epoch == self.epoch {
            self.token = command.token;
            self.execute(&command.commands);
        }
        self.next_heartbeat()
    }

    fn execute(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            match command {
                WorkerCommand::Run { task, attempt } => {
                    let id = (task.clone(), *attempt);
                    if !self.tasks.contains_key(&id) {
                        self.executed_starts.push(id.clone());
                        self.tasks.insert(id, None);
                    }
                }
                WorkerCommand::Kill { task, attempt, .. } => {
                    if let Some(cause) = self.tasks.get_mut(&(task.clone(), *attempt)) {
                        cause.get_or_insert(ExitCause::Stopped);
                    }
                }
                WorkerCommand::Clear { task, attempt } => {
                    let id = (task.clone(), *attempt);
                    if self.tasks.get(&id).is_some_and(Option::is_some) {
                        self.tasks.remove(&id);
                    }
                }
            }
        }
    }

    /// Lets all its tasks complete.
    pub fn complete_tasks(&mut self) {
        for cause in self.tasks.values_mut() {
            cause.get_or_insert(ExitCause::Done);
        }
    }

    /// The tasks that run.
    pub fn running(&self) -> Vec<&str> {
        let tasks = self.tasks.iter().filter(|(_, cause)| cause.is_none());
        tasks.map(|((task, _), _)| task.as_str()).collect()
    }

    /// Whether its heartbeats contain no task.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}
