//! What is on its way, and what it does where it arrives.

use knotlanding_testbed::proxy::Flow;
use knotlanding_testbed::schedule::LinkId;

use super::*;

#[derive(Clone, Debug)]
pub(super) enum Message {
    ToStore(usize, u64, StoreRequest, RequestPurpose, f64),
    FromStore(usize, u64, StoreResponse, RequestPurpose, f64),
    /// Applied late, nobody waits for it.
    DelayedTransaction(Transaction),
    Heartbeat(usize, Box<Heartbeat>, Option<u64>),
    HeartbeatReply(
        String,
        u64,
        u64,
        u16,
        Option<String>,
        Option<(u64, Vec<WorkerCommand>)>,
    ),
    DirectCommand(usize, u64, String, u64, u64, Vec<WorkerCommand>, Instant),
    DirectCommandReply(usize, u64, Box<Heartbeat>, u64, Instant),
    CancellationNotice(usize, Vec<JobId>),
    ReleaseMachines(usize, u64, Vec<MachineId>),
    MachinesReleased(usize, u64, Vec<MachineId>),
    RentMachines(usize, u64, MachinePool, u32),
    MachinesRented(usize, u64, MachinePool, Vec<String>),
    MachineBoot(String, MachinePool),
    /// To a node: the bytes, the follower with its life, and the batch's number there.
    Batch(usize, Vec<u8>, usize, u64, u64),
    /// To a follower: its life, the batch's number, and the body or the status.
    BatchReply(usize, u64, u64, Result<Vec<u8>, u16>),
    /// To a node: a row, its sender with its life, and when it was sent.
    Row(usize, Vec<u8>, usize, u64, f64),
    /// To the sender of a row: its life, and what became of the row.
    RowOutcome(usize, u64, RowOutcome),
}

/// The number of a zone, as links have it.
fn zone_number(zone: &str) -> usize {
    usize::from(zone == "south")
}

impl Simulation {
    pub(super) fn deliver(&mut self, message: Message) {
        let now_s = self.now_s;
        match message {
            Message::ToStore(controller, incarnation, request, purpose, sent) => {
                self.handle_store_request(controller, incarnation, request, purpose, sent)
            }
            Message::DelayedTransaction(transaction) => {
                if now_s < self.store_out_until {
                    self.deliver_after(1.0, Message::DelayedTransaction(transaction));
                } else {
                    self.store.expire(now_s);
                    self.store.commit(&transaction);
                }
            }
            Message::FromStore(controller, incarnation, response, purpose, sent) => {
                if self.accepts_message(controller, Some(incarnation), || {
                    Message::FromStore(
                        controller,
                        incarnation,
                        response.clone(),
                        purpose.clone(),
                        sent,
                    )
                }) {
                    self.handle_store_response(controller, response, purpose, sent);
                }
            }
            Message::CancellationNotice(controller, jobs) => {
                if self.accepts_message(controller, None, || {
                    Message::CancellationNotice(controller, jobs.clone())
                }) {
                    self.controllers[controller].shared.cancel_tasks(&jobs);
                }
            }
            Message::Heartbeat(controller, heartbeat, number) => {
                self.receive_heartbeat_at(controller, heartbeat, number)
            }
            Message::Batch(to, bytes, from, incarnation, id) => {
                let again = || Message::Batch(to, bytes.clone(), from, incarnation, id);
                if self.accepts_message(to, None, again) {
                    self.receive_batch(to, &bytes, (from, incarnation, id));
                }
            }
            Message::BatchReply(controller, incarnation, id, answer) => {
                let again = || Message::BatchReply(controller, incarnation, id, answer.clone());
                if self.accepts_message(controller, Some(incarnation), again) {
                    self.receive_batch_reply(controller, id, answer);
                }
            }
            Message::Row(..) | Message::RowOutcome(..) => self.deliver_row(message),
            Message::HeartbeatReply(name, epoch, number, status, redirect, body) => {
                let hung = |w: &Worker| w.hung_until > now_s;
                if self.workers.get(&name).is_some_and(hung) {
                    return;
                }
                self.receive_reply(&name, (epoch, number, status), redirect, body);
            }
            Message::DirectCommand(
                controller,
                incarnation,
                name,
                token,
                epoch,
                commands,
                sent_at,
            ) => {
                let command = (token, epoch, commands);
                self.receive_direct_command((controller, incarnation), name, command, sent_at);
            }
            Message::DirectCommandReply(controller, incarnation, heartbeat, token, sent_at) => {
                self.receive_command_reply(controller, incarnation, heartbeat, token, sent_at)
            }
            Message::ReleaseMachines(..)
            | Message::MachinesReleased(..)
            | Message::RentMachines(..)
            | Message::MachinesRented(..) => self.deliver_cloud(message),
            Message::MachineBoot(name, pool) => self.boot_machine(name, pool),
        }
    }

    /// A request reaches the cloud, or its answer a node.
    fn deliver_cloud(&mut self, message: Message) {
        match message {
            Message::ReleaseMachines(controller, incarnation, ids) => {
                for id in &ids {
                    self.workers.remove(&*id.0);
                    self.failed_machines.remove(&*id.0);
                }
                self.send(Message::MachinesReleased(controller, incarnation, ids));
            }
            Message::MachinesReleased(controller, incarnation, ids) => {
                let again = || Message::MachinesReleased(controller, incarnation, ids.clone());
                if self.accepts_message(controller, Some(incarnation), again) {
                    self.controllers[controller].shared.machines_released(&ids);
                }
            }
            Message::RentMachines(controller, incarnation, pool, count) => {
                let names = self.rent_machines(&pool, count);
                self.send(Message::MachinesRented(
                    controller,
                    incarnation,
                    pool,
                    names,
                ));
            }
            Message::MachinesRented(controller, incarnation, pool, names) => {
                self.receive_rental_reply(controller, incarnation, pool, names)
            }
            _ => {}
        }
    }

    /// A row, or what became of one, reaches a node.
    fn deliver_row(&mut self, message: Message) {
        match message {
            Message::Row(to, bytes, from, incarnation, sent) => {
                let again = || Message::Row(to, bytes.clone(), from, incarnation, sent);
                if self.accepts_message(to, None, again) {
                    self.receive_row(to, &bytes, (from, incarnation, sent));
                }
            }
            Message::RowOutcome(controller, incarnation, outcome) => {
                let again = || Message::RowOutcome(controller, incarnation, outcome.clone());
                if self.accepts_message(controller, Some(incarnation), again) {
                    self.receive_row_outcome(controller, outcome);
                }
            }
            _ => {}
        }
    }

    /// A worker's report, or a copy of one without a number, reaches a node.
    fn receive_heartbeat_at(
        &mut self,
        controller: usize,
        heartbeat: Box<Heartbeat>,
        number: Option<u64>,
    ) {
        if self.is_cut_from_workers(controller) {
            return;
        }
        let link_fault =
            self.current_link_fault(LinkId::Workers(zone_number(&heartbeat.zone), controller));
        let held_back = Message::Heartbeat(controller, heartbeat.clone(), None);
        if self.withholds_request(&link_fault, Some(held_back)) {
            return;
        }
        if !self.accepts_message(controller, None, || {
            Message::Heartbeat(controller, heartbeat.clone(), number)
        }) {
            return;
        }
        let now = self.instant();
        let bytes = wire::encode(&*heartbeat);
        let outcome = receive_heartbeat(
            &self.controllers[controller].shared,
            Ok(bytes.into()),
            &|| now,
        );
        let (name, epoch) = (heartbeat.machine.clone(), heartbeat.epoch);
        let responses_pass = link_fault.mode.responses == Flow::Pass;
        match (outcome, number.filter(|_| responses_pass)) {
            (HeartbeatOutcome::Answered(answer), Some(number)) => {
                self.send_reply(&name, (epoch, number), answer);
            }
            (HeartbeatOutcome::Queued(pending), Some(number)) => {
                self.hold_connection(controller, pending, (name, epoch, number));
            }
            // A copy: it is forwarded as any report, and nobody waits for its answer.
            (HeartbeatOutcome::Queued(pending), None) => {
                self.hold_connection(controller, pending, (name, epoch, 0));
            }
            (HeartbeatOutcome::Answered(_), None) => {}
        }
    }

    /// A worker's answer to a direct command reaches the node that sent it.
    fn receive_command_reply(
        &mut self,
        controller: usize,
        incarnation: u64,
        heartbeat: Box<Heartbeat>,
        token: u64,
        sent_at: Instant,
    ) {
        if !self.accepts_message(controller, Some(incarnation), || {
            Message::DirectCommandReply(controller, incarnation, heartbeat.clone(), token, sent_at)
        }) {
            return;
        }
        let now = self.instant();
        let timed_out = now.saturating_duration_since(sent_at) > Duration::from_secs(2);
        let shared = self.controllers[controller].shared.clone();
        let mut guard = shared.cluster.lock();
        let term = FencingToken(token).term();
        if let Some(cluster) = guard.as_mut().filter(|c| c.term == term && !timed_out) {
            let ordering =
                cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Command(sent_at), now);
            assert_ne!(
                ordering,
                HeartbeatOrdering::Deposed,
                "ours was executed or refused"
            );
        }
    }

    /// The cloud's answer to a rental reaches the node that sent_at.
    fn receive_rental_reply(
        &mut self,
        controller: usize,
        incarnation: u64,
        pool: MachinePool,
        names: Vec<String>,
    ) {
        if !self.accepts_message(controller, Some(incarnation), || {
            Message::MachinesRented(controller, incarnation, pool.clone(), names.clone())
        }) {
            return;
        }
        let now = self.instant();
        let shared = self.controllers[controller].shared.clone();
        if let Some(cluster) = shared.cluster.lock().as_mut() {
            cluster.add_rented_machines(&names, &pool, now);
        }
        if names.is_empty() {
            self.controllers[controller]
                .capacity_backoff
                .record_exhausted(&pool, now);
        }
    }

    /// A direct command reaches a worker.
    fn receive_direct_command(
        &mut self,
        (controller, incarnation): (usize, u64),
        name: String,
        (token, epoch, commands): (u64, u64, Vec<WorkerCommand>),
        sent_at: Instant,
    ) {
        let now_s = self.now_s;
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        if worker.responses_lost_until > now_s {
            return;
        }
        if worker.hung_until > now_s {
            let message = Message::DirectCommand(
                controller,
                incarnation,
                name,
                token,
                epoch,
                commands,
                sent_at,
            );
            worker.held_messages.push(message);
            return;
        }
        let accepted = token >= worker.token && epoch == worker.epoch;
        if accepted {
            // Heeded once in half a lease.
            let may_report_early =
                now_s - worker.token_raised_at > self.settings.params.workers.lease_s / 2.0;
            if token > worker.token && may_report_early {
                worker.token_raised_at = now_s;
                worker.state_changed = true;
            }
            worker.token = token;
            self.execute_commands(&name, &commands);
        }
        let heartbeat = self.next_heartbeat(&name);
        self.send(Message::DirectCommandReply(
            controller,
            incarnation,
            heartbeat,
            token,
            sent_at,
        ));
    }
}
