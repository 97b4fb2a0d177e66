//! Late copies of messages that can carry commands to a machine, and machines that restart under their name.
//!
//! A copy of a response reaches the machine on the connection of the heartbeat that it answered, if that is still open: a
//! machine waits for the response to one heartbeat at a time, and a restart closes its connections. A copy of a
//! direct command is a request of its own, which the machine executes if token and epoch match.

use super::*;

/// Shares of the messages of which a copy arrives late.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyShares {
    /// Responses to heartbeats with commands, from the leader or relayed by a follower.
    pub responses: f64,
    /// Direct commands.
    pub commands: f64,
    /// The leader's answers to batches of forwarded heartbeats.
    pub batch_answers: f64,
    /// Heartbeats; the machine takes the response to the copy for the one that it waits for.
    pub heartbeats: f64,
}

/// The copies of one run.
#[derive(Default)]
pub struct Copies {
    /// The shares, and the end of the fault.
    shares: CopyShares,
    until: f64,
    /// Starts of which a copy reached a machine.
    pub starts: usize,
    /// Direct commands of which a machine executed a copy.
    pub commands: usize,
    /// Answers to batches of which a copy reached a follower.
    pub batch_answers: usize,
    /// Copies of heartbeats to which a controller responded.
    pub heartbeats: usize,
    /// Restarts of machines.
    pub restarts: usize,
    /// How often controllers sent the start of a task's attempt, without copies.
    sent_starts: BTreeMap<(String, u64), usize>,
    /// How often machines executed the start of a task's attempt.
    executed_starts: BTreeMap<(String, u64), usize>,
}

impl Copies {
    pub(super) fn begin(&mut self, shares: CopyShares, until: f64) {
        self.shares = shares;
        self.until = until;
    }
}

fn carries_start(message: &Message) -> bool {
    let Message::HeartbeatResponse(.., Some((_, commands))) = message else {
        return false;
    };
    commands
        .iter()
        .any(|command| matches!(command, WorkerCommand::Run { .. }))
}

impl Simulation {
    fn shares(&self) -> CopyShares {
        if self.now_s < self.copies.until {
            self.copies.shares
        } else {
            CopyShares::default()
        }
    }

    /// Sends a response to a worker, and for a share of those with starts a copy that arrives later.
    pub(super) fn send_with_copy(&mut self, message: Message) {
        let share = self.shares().responses;
        if share > 0.0 && carries_start(&message) && self.rng.random_bool(share) {
            let after = self.rng.random_range(0.05..30.0);
            self.deliver_after(after, Message::Copy(Box::new(message.clone())));
        }
        self.send(message);
    }

    /// Sends a copy of a share of the direct commands, besides the command itself.
    pub(super) fn copy_direct_command(&mut self, message: &Message) {
        let share = self.shares().commands;
        if share > 0.0 && self.rng.random_bool(share) {
            let after = self.rng.random_range(0.05..16.0);
            self.deliver_after(after, Message::Copy(Box::new(message.clone())));
        }
    }

    /// Sends a copy of a share of the answers to batches, besides the answer itself.
    pub(super) fn copy_batch_answer(&mut self, message: &Message) {
        let share = self.shares().batch_answers;
        if share > 0.0 && self.rng.random_bool(share) {
            let after = self.rng.random_range(0.05..8.0);
            self.deliver_after(after, Message::Copy(Box::new(message.clone())));
        }
    }

    /// Sends a copy of a share of the heartbeats to any controller, besides the heartbeat itself.
    pub(super) fn copy_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let share = self.shares().heartbeats;
        if share > 0.0 && self.rng.random_bool(share) {
            let after = self.rng.random_range(0.05..30.0);
            let controller = self.rng.random_range(0..3);
            let copy = Message::Heartbeat(controller, Box::new(heartbeat.clone()), None);
            self.deliver_after(after, Message::Copy(Box::new(copy)));
        }
    }

    /// Delivers a copy of a heartbeat. The machine receives the response in its present exchange.
    fn deliver_heartbeat_copy(&mut self, index: usize, heartbeat: Box<Heartbeat>) {
        let worker = self.workers.get(&heartbeat.machine);
        let exchange = worker.and_then(|worker| worker.awaited_response);
        self.copies.heartbeats += usize::from(exchange.is_some());
        let number = exchange.map(|(number, ..)| number);
        self.deliver(Message::Heartbeat(index, heartbeat, number));
    }

    /// Delivers a copy in the same way as the message itself. The sender of a direct command gets no response to
    /// a copy.
    pub(super) fn deliver_copy(&mut self, message: Message) {
        match message {
            Message::DirectCommand(_, _, name, token, epoch, commands, _) => {
                let now_s = self.now_s;
                let Some(worker) = self.workers.get_mut(&name) else {
                    return;
                };
                let reached = worker.hung_until <= now_s && worker.responses_lost_until <= now_s;
                if reached && token >= worker.token && epoch == worker.epoch {
                    worker.token = token;
                    self.copies.commands += 1;
                    self.execute_commands(&name, &commands);
                }
            }
            Message::Heartbeat(index, heartbeat, _) => {
                self.deliver_heartbeat_copy(index, heartbeat);
            }
            other => {
                self.copies.starts += usize::from(carries_start(&other));
                let is_answer = matches!(other, Message::BatchResponse(..));
                self.copies.batch_answers += usize::from(is_answer);
                self.deliver(other);
            }
        }
    }

    /// Restarts a randomly drawn share of the machines.
    pub(super) fn restart_workers(&mut self, share: f64) {
        for name in self.draw_workers(share) {
            self.restart_worker(&name);
        }
    }

    /// Restarts a machine at once under its name: in epoch 1, with no token, tasks or open connections.
    fn restart_worker(&mut self, name: &str) {
        let now_s = self.now_s;
        let controller = self.rng.random_range(0..3);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        self.copies.restarts += 1;
        worker.epoch = 1;
        worker.sequence = 0;
        worker.token = 0;
        worker.token_raised_at = -1000.0;
        worker.lease_started_at = now_s;
        worker.awaited_response = None;
        worker.tasks.clear();
        worker.held_messages.clear();
        worker.hung_until = 0.0;
        worker.controller = controller;
        worker.next_heartbeat_at = now_s + 0.3;
    }

    /// Counts the starts in a controller's response.
    pub(super) fn record_sent_starts(&mut self, commands: &[WorkerCommand]) {
        for command in commands {
            if let WorkerCommand::Run { task, attempt } = command {
                let id = (task.clone(), *attempt);
                *self.copies.sent_starts.entry(id).or_default() += 1;
            }
        }
    }

    /// Checks that the start of an attempt is executed no more often than controllers sent it: once, or for a gang member
    /// that was lost before its gang began, once for each replacement under the same attempt.
    pub(super) fn record_executed_start(&mut self, name: &str, task: &str, attempt: u64) {
        let id = (task.to_owned(), attempt);
        let sent = self.copies.sent_starts.get(&id).copied().unwrap_or(0);
        let executed = self.copies.executed_starts.entry(id).or_default();
        *executed += 1;
        let executed = *executed;
        let is_gang = self.jobs[task_parts(task).0].spec.kind == JobKind::Gang;
        if executed > sent || (executed > 1 && !is_gang) {
            let detail = format!("{task}#{attempt:x} on {name}: sent {sent}, executed {executed}");
            self.record_violation("started_again", detail);
        }
    }
}
