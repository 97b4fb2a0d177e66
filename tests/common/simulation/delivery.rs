//! Messages in flight, and their effect when they are delivered.

use knotlanding_testbed::proxy::Flow;
use knotlanding_testbed::schedule::LinkId;

use super::*;

#[derive(Clone, Debug)]
pub(super) enum Message {
    /// Sending controller and its incarnation, the request, its purpose, and the time it was sent.
    ToStore(usize, u64, StoreRequest, RequestPurpose, f64),
    /// Controller that sent the request and its incarnation, the response, the purpose of the request, and
    /// the time at which the request was sent.
    FromStore(usize, u64, StoreResponse, RequestPurpose, f64),
    /// A transaction that is applied later, and whose sender gets no response.
    LateWrite(Transaction),
    /// Receiving controller, the heartbeat, and the number of the exchange unless it is a copy.
    Heartbeat(usize, Box<Heartbeat>, Option<u64>),
    /// Worker, its session epoch, the number of the exchange, the status, the controller to which it
    /// redirects, and the fencing token with the commands.
    HeartbeatResponse(
        String,
        u64,
        u64,
        u16,
        Option<String>,
        Option<(u64, Vec<WorkerCommand>)>,
    ),
    /// Sending controller and its incarnation, worker, fencing token, session epoch, commands, and the
    /// time it was sent.
    DirectCommand(usize, u64, String, u64, u64, Vec<WorkerCommand>, Instant),
    /// Controller and its incarnation, the worker's heartbeat, the fencing token of the command and the
    /// time the command was sent.
    DirectCommandResponse(usize, u64, Box<Heartbeat>, u64, Instant),
    /// A late copy of a message.
    Copy(Box<Message>),
    Cancellation(usize, Vec<JobId>),
    /// Controller that handles a user's cancellation and its incarnation, the job, the verdict that the
    /// handler has read, and the time at which the read was sent.
    ResumedCancellation(usize, u64, String, Option<Verdict>, f64),
    /// A controller's request on its way to the cloud.
    CloudRequest(Box<CloudExchange>),
    /// The cloud's response to a controller's request, or the timeout of the request.
    CloudResponse(Box<CloudExchange>, CloudResponse),
    /// A request that the cloud executes late, and whose sender gets no response.
    LateCloudCall(CloudCall),
    MachineBoot(String, MachinePool),
    /// Receiving controller, the encoded batch, the follower with its incarnation, and the batch's
    /// number there.
    Batch(usize, Vec<u8>, usize, u64, u64),
    /// Follower and its incarnation, the batch's number, and the body or the error status.
    BatchResponse(usize, u64, u64, Result<Vec<u8>, u16>),
    /// Receiving controller, the encoded row, the sender with its incarnation, and the time it was sent.
    Row(usize, Vec<u8>, usize, u64, f64),
    /// Sender of a row, its incarnation, and the outcome.
    RowOutcome(usize, u64, RowOutcome),
}

/// Number of a zone in [`LinkId::Workers`].
fn zone_number(zone: &str) -> usize {
    usize::from(zone == "south")
}

impl Simulation {
    pub(super) fn deliver(&mut self, message: Message) {
        let now_s = self.now_s;
        match message {
            Message::ToStore(index, incarnation, request, purpose, sent_s) => {
                self.handle_store_request(index, incarnation, request, purpose, sent_s)
            }
            Message::LateWrite(transaction) => {
                if now_s < self.store_out_until {
                    self.deliver_after(1.0, Message::LateWrite(transaction));
                } else {
                    self.store.expire(now_s);
                    self.store.commit(&transaction);
                }
            }
            Message::FromStore(index, incarnation, result, purpose, sent_s) => {
                if self.accepts(index, Some(incarnation), || {
                    Message::FromStore(index, incarnation, result.clone(), purpose.clone(), sent_s)
                }) {
                    self.handle_store_response(index, result, purpose, sent_s);
                }
            }
            Message::Cancellation(..) | Message::ResumedCancellation(..) => {
                self.deliver_cancellation(message)
            }
            Message::Heartbeat(index, body, number) => self.deliver_heartbeat(index, body, number),
            Message::Batch(to, bytes, from, incarnation, id) => {
                let to_hold = || Message::Batch(to, bytes.clone(), from, incarnation, id);
                if self.accepts(to, None, to_hold) {
                    self.receive_batch(to, &bytes, (from, incarnation, id));
                }
            }
            Message::BatchResponse(index, incarnation, id, response) => {
                let to_hold = || Message::BatchResponse(index, incarnation, id, response.clone());
                if self.accepts(index, Some(incarnation), to_hold) {
                    self.receive_batch_response(index, id, response);
                }
            }
            Message::Row(..) | Message::RowOutcome(..) => self.deliver_row(message),
            Message::HeartbeatResponse(name, epoch, number, status, redirect, body) => {
                self.deliver_response(&name, (epoch, number, status), redirect, body);
            }
            Message::DirectCommand(index, incarnation, name, token, epoch, commands, sent_at) => {
                let command = (token, epoch, commands);
                self.receive_direct_command((index, incarnation), name, command, sent_at);
            }
            Message::DirectCommandResponse(index, incarnation, heartbeat, token, sent_at) => {
                self.receive_command_response(index, incarnation, heartbeat, token, sent_at)
            }
            Message::CloudRequest(exchange) => self.receive_cloud_request(exchange),
            Message::CloudResponse(exchange, response) => {
                self.receive_cloud_response(&exchange, response)
            }
            Message::LateCloudCall(call) => {
                self.execute_cloud_call(&call);
            }
            Message::MachineBoot(name, pool) => self.boot_machine(name, pool),
            Message::Copy(message) => self.deliver_copy(*message),
        }
    }

    /// Delivers a peer's notification of cancellations, or resumes a delayed handler of one.
    fn deliver_cancellation(&mut self, message: Message) {
        let (index, incarnation) = match &message {
            Message::Cancellation(index, _) => (*index, None),
            Message::ResumedCancellation(index, incarnation, ..) => (*index, Some(*incarnation)),
            _ => return,
        };
        if !self.accepts(index, incarnation, || message.clone()) {
            return;
        }
        match message {
            Message::Cancellation(_, jobs) => self.controllers[index].shared.cancel_tasks(&jobs),
            Message::ResumedCancellation(_, _, id, read, sent_s) => {
                self.commit_cancel(index, &id, read, sent_s);
            }
            _ => {}
        }
    }

    /// Delivers a row, or the outcome of one, to a controller.
    fn deliver_row(&mut self, message: Message) {
        match message {
            Message::Row(to, bytes, from, incarnation, sent_s) => {
                let to_hold = || Message::Row(to, bytes.clone(), from, incarnation, sent_s);
                if self.accepts(to, None, to_hold) {
                    self.receive_row(to, &bytes, (from, incarnation, sent_s));
                }
            }
            Message::RowOutcome(index, incarnation, outcome) => {
                let to_hold = || Message::RowOutcome(index, incarnation, outcome.clone());
                if self.accepts(index, Some(incarnation), to_hold) {
                    self.receive_row_outcome(index, outcome);
                }
            }
            _ => {}
        }
    }

    /// Delivers a response to a worker. One that hangs does not receive it.
    fn deliver_response(
        &mut self,
        name: &str,
        exchange: (u64, u64, u16),
        redirect: Option<String>,
        body: Option<(u64, Vec<WorkerCommand>)>,
    ) {
        let now_s = self.now_s;
        let hung = |worker: &Worker| worker.hung_until > now_s;
        if !self.workers.get(name).is_some_and(hung) {
            self.receive_heartbeat_response(name, exchange, redirect, body);
        }
    }

    /// Delivers a worker's heartbeat to a controller. A copy has no number.
    fn deliver_heartbeat(&mut self, index: usize, heartbeat: Box<Heartbeat>, number: Option<u64>) {
        if self.is_cut_from_workers(index) {
            return;
        }
        let link_fault =
            self.current_link_fault(LinkId::Workers(zone_number(&heartbeat.zone), index));
        let held_back = Message::Heartbeat(index, heartbeat.clone(), None);
        if self.withholds_request(&link_fault, Some(held_back)) {
            return;
        }
        if !self.accepts(index, None, || {
            Message::Heartbeat(index, heartbeat.clone(), number)
        }) {
            return;
        }
        let now = self.instant();
        let bytes = wire::encode(&*heartbeat);
        let outcome = receive_heartbeat(&self.controllers[index].shared, Ok(bytes.into()), &|| now);
        let (name, epoch) = (heartbeat.machine.clone(), heartbeat.epoch);
        let responses_pass = link_fault.mode.responses == Flow::Pass;
        match (outcome, number.filter(|_| responses_pass)) {
            (HeartbeatOutcome::Answered(response), Some(number)) => {
                self.send_response(&name, (epoch, number), response);
            }
            (HeartbeatOutcome::Queued(pending), Some(number)) => {
                self.hold_connection(index, pending, (name, epoch, number));
            }
            // A copy is forwarded like any heartbeat, but no worker waits for its response.
            (HeartbeatOutcome::Queued(pending), None) => {
                self.hold_connection(index, pending, (name, epoch, 0));
            }
            (HeartbeatOutcome::Answered(_), None) => {}
        }
    }

    /// Delivers a worker's response to the controller that sent the direct command.
    fn receive_command_response(
        &mut self,
        index: usize,
        incarnation: u64,
        heartbeat: Box<Heartbeat>,
        token: u64,
        sent_at: Instant,
    ) {
        if !self.accepts(index, Some(incarnation), || {
            Message::DirectCommandResponse(index, incarnation, heartbeat.clone(), token, sent_at)
        }) {
            return;
        }
        let now = self.instant();
        let timed_out = now.saturating_duration_since(sent_at) > Duration::from_secs(2);
        let shared = self.controllers[index].shared.clone();
        let mut guard = shared.cluster.lock();
        let term = FencingToken(token).term();
        if let Some(cluster) = guard
            .as_mut()
            .filter(|cluster| cluster.term == term && !timed_out)
        {
            let ordering =
                cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Command(sent_at), now);
            assert_ne!(
                ordering,
                HeartbeatOrdering::Deposed,
                "the response to a direct command of the current term shows a later term"
            );
        }
    }

    /// Delivers a direct command to a worker.
    fn receive_direct_command(
        &mut self,
        (index, incarnation): (usize, u64),
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
            let message =
                Message::DirectCommand(index, incarnation, name, token, epoch, commands, sent_at);
            worker.held_messages.push(message);
            return;
        }
        let accepted = token >= worker.token && epoch == worker.epoch;
        if accepted {
            // A newer token triggers an early heartbeat, at most once per half lease.
            let early_heartbeat_allowed =
                now_s - worker.token_raised_at > self.settings.params.workers.lease_s / 2.0;
            if token > worker.token && early_heartbeat_allowed {
                worker.token_raised_at = now_s;
                worker.state_changed = true;
            }
            worker.token = token;
            self.execute_commands(&name, &commands);
        }
        let heartbeat = self.next_heartbeat(&name);
        self.send(Message::DirectCommandResponse(
            index,
            incarnation,
            heartbeat,
            token,
            sent_at,
        ));
    }
}
