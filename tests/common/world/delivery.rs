//! What is on its way, and what it does where it arrives.

use knotlanding_testbed::proxy::Flow;
use knotlanding_testbed::schedule::LinkId;

use super::*;

#[derive(Clone, Debug)]
pub(super) enum Mail {
    ToStore(usize, u64, StoreRequest, RequestPurpose, f64),
    FromStore(usize, u64, StoreResponse, RequestPurpose, f64),
    /// Applied late, nobody waits for it.
    LateWrite(Transaction),
    Heartbeat(usize, Box<Heartbeat>, Option<u64>),
    Reply(
        String,
        u64,
        u64,
        u16,
        Option<String>,
        Option<(u64, Vec<WorkerCommand>)>,
    ),
    AddressedCommand(usize, u64, String, u64, u64, Vec<WorkerCommand>, Instant),
    DirectReply(usize, u64, Box<Heartbeat>, u64, Instant),
    Cancelled(usize, Vec<JobId>),
    Return(usize, u64, Vec<MachineId>),
    Returned(usize, u64, Vec<MachineId>),
    Rent(usize, u64, MachinePool, u32),
    Rented(usize, u64, MachinePool, Vec<String>),
    Boot(String, MachinePool),
    /// To a node: the bytes, the follower with its life, and the batch's number there.
    Batch(usize, Vec<u8>, usize, u64, u64),
    /// To a follower: its life, the batch's number, and the body or the status.
    BatchAnswer(usize, u64, u64, Result<Vec<u8>, u16>),
    /// To a node: a row, its sender with its life, and when it was sent.
    Row(usize, Vec<u8>, usize, u64, f64),
    /// To the sender of a row: its life, and what became of the row.
    RowAnswered(usize, u64, RowAnswer),
}

/// The number of a zone, as links have it.
fn zone_number(zone: &str) -> usize {
    usize::from(zone == "south")
}

impl World {
    pub(super) fn deliver(&mut self, mail: Mail) {
        let t = self.t;
        match mail {
            Mail::ToStore(n, incarnation, ask, why, sent) => {
                self.serve(n, incarnation, ask, why, sent)
            }
            Mail::LateWrite(group) => {
                if t < self.out_until {
                    self.post(1.0, Mail::LateWrite(group));
                } else {
                    self.store.expire(t);
                    self.store.multi(&group);
                }
            }
            Mail::FromStore(n, incarnation, answered, why, sent) => {
                if self.at_node(n, Some(incarnation), || {
                    Mail::FromStore(n, incarnation, answered.clone(), why.clone(), sent)
                }) {
                    self.answered(n, answered, why, sent);
                }
            }
            Mail::Cancelled(n, jobs) => {
                if self.at_node(n, None, || Mail::Cancelled(n, jobs.clone())) {
                    self.nodes[n].shared.cancel_tasks(&jobs);
                }
            }
            Mail::Heartbeat(n, heartbeat, number) => self.report_arrives(n, heartbeat, number),
            Mail::Batch(to, bytes, from, incarnation, id) => {
                let again = || Mail::Batch(to, bytes.clone(), from, incarnation, id);
                if self.at_node(to, None, again) {
                    self.batch_arrives(to, &bytes, (from, incarnation, id));
                }
            }
            Mail::BatchAnswer(n, incarnation, id, answer) => {
                let again = || Mail::BatchAnswer(n, incarnation, id, answer.clone());
                if self.at_node(n, Some(incarnation), again) {
                    self.batch_answered(n, id, answer);
                }
            }
            Mail::Row(..) | Mail::RowAnswered(..) => self.deliver_row(mail),
            Mail::Reply(name, epoch, number, status, redirect, told) => {
                let hung = |w: &Worker| w.hung_until > t;
                if self.workers.get(&name).is_some_and(hung) {
                    return;
                }
                self.reply(&name, (epoch, number, status), redirect, told);
            }
            Mail::AddressedCommand(n, incarnation, name, token, epoch, commands, asked) => {
                let command = (token, epoch, commands);
                self.command_arrives((n, incarnation), name, command, asked);
            }
            Mail::DirectReply(n, incarnation, heartbeat, token, asked) => {
                self.command_answered(n, incarnation, heartbeat, token, asked)
            }
            Mail::Return(..) | Mail::Returned(..) | Mail::Rent(..) | Mail::Rented(..) => {
                self.deliver_cloud(mail)
            }
            Mail::Boot(name, pool) => self.boot(name, pool),
        }
    }

    /// A request reaches the cloud, or its answer a node.
    fn deliver_cloud(&mut self, mail: Mail) {
        match mail {
            Mail::Return(n, incarnation, ids) => {
                for id in &ids {
                    self.workers.remove(&*id.0);
                    self.dead.remove(&*id.0);
                }
                self.send(Mail::Returned(n, incarnation, ids));
            }
            Mail::Returned(n, incarnation, ids) => {
                let again = || Mail::Returned(n, incarnation, ids.clone());
                if self.at_node(n, Some(incarnation), again) {
                    self.nodes[n].shared.machines_released(&ids);
                }
            }
            Mail::Rent(n, incarnation, pool, count) => {
                let names = self.rent(&pool, count);
                self.send(Mail::Rented(n, incarnation, pool, names));
            }
            Mail::Rented(n, incarnation, pool, names) => {
                self.rental_answered(n, incarnation, pool, names)
            }
            _ => {}
        }
    }

    /// A row, or what became of one, reaches a node.
    fn deliver_row(&mut self, mail: Mail) {
        match mail {
            Mail::Row(to, bytes, from, incarnation, sent) => {
                let again = || Mail::Row(to, bytes.clone(), from, incarnation, sent);
                if self.at_node(to, None, again) {
                    self.row_arrives(to, &bytes, (from, incarnation, sent));
                }
            }
            Mail::RowAnswered(n, incarnation, answer) => {
                let again = || Mail::RowAnswered(n, incarnation, answer.clone());
                if self.at_node(n, Some(incarnation), again) {
                    self.row_answered(n, answer);
                }
            }
            _ => {}
        }
    }

    /// A worker's report, or a copy of one without a number, reaches a node.
    fn report_arrives(&mut self, n: usize, heartbeat: Box<Heartbeat>, number: Option<u64>) {
        if self.cut_from_workers(n) {
            return;
        }
        let cut = self.link_mode(LinkId::Workers(zone_number(&heartbeat.zone), n));
        let late = Mail::Heartbeat(n, heartbeat.clone(), None);
        if self.keeps_request(&cut, Some(late)) {
            return;
        }
        if !self.at_node(n, None, || Mail::Heartbeat(n, heartbeat.clone(), number)) {
            return;
        }
        let now = self.instant();
        let body = wire::encode(&*heartbeat);
        let received = receive_heartbeat(&self.nodes[n].shared, Ok(body.into()), &|| now);
        let (name, epoch) = (heartbeat.machine.clone(), heartbeat.epoch);
        let answers = cut.mode.responses == Flow::Pass;
        match (received, number.filter(|_| answers)) {
            (HeartbeatOutcome::Answered(answer), Some(number)) => {
                self.answer_worker(&name, (epoch, number), answer);
            }
            (HeartbeatOutcome::Queued(pending), Some(number)) => {
                self.await_leader(n, pending, (name, epoch, number));
            }
            // A copy: it is forwarded as any report, and nobody waits for its answer.
            (HeartbeatOutcome::Queued(pending), None) => {
                self.await_leader(n, pending, (name, epoch, 0));
            }
            (HeartbeatOutcome::Answered(_), None) => {}
        }
    }

    /// A worker's answer to a direct command reaches the node that sent it.
    fn command_answered(
        &mut self,
        n: usize,
        incarnation: u64,
        heartbeat: Box<Heartbeat>,
        token: u64,
        asked: Instant,
    ) {
        if !self.at_node(n, Some(incarnation), || {
            Mail::DirectReply(n, incarnation, heartbeat.clone(), token, asked)
        }) {
            return;
        }
        let now = self.instant();
        let late = now.saturating_duration_since(asked) > Duration::from_secs(2);
        let shared = self.nodes[n].shared.clone();
        let mut guard = shared.cluster.lock();
        let term = FencingToken(token).term();
        if let Some(cluster) = guard.as_mut().filter(|c| c.term == term && !late) {
            let verified =
                cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Command(asked), now);
            assert_ne!(
                verified,
                HeartbeatOrdering::Deposed,
                "ours was executed or refused"
            );
        }
    }

    /// The cloud's answer to a rental reaches the node that asked.
    fn rental_answered(
        &mut self,
        n: usize,
        incarnation: u64,
        pool: MachinePool,
        names: Vec<String>,
    ) {
        if !self.at_node(n, Some(incarnation), || {
            Mail::Rented(n, incarnation, pool.clone(), names.clone())
        }) {
            return;
        }
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        if let Some(cluster) = shared.cluster.lock().as_mut() {
            cluster.add_rented_machines(&names, &pool, now);
        }
        if names.is_empty() {
            self.nodes[n].market.record_exhausted(&pool, now);
        }
    }

    /// A direct command reaches a worker.
    fn command_arrives(
        &mut self,
        (n, incarnation): (usize, u64),
        name: String,
        (token, epoch, commands): (u64, u64, Vec<WorkerCommand>),
        asked: Instant,
    ) {
        let t = self.t;
        let Some(worker) = self.workers.get_mut(&name) else {
            return;
        };
        if worker.deaf_until > t {
            return;
        }
        if worker.hung_until > t {
            let mail = Mail::AddressedCommand(n, incarnation, name, token, epoch, commands, asked);
            worker.held.push(mail);
            return;
        }
        let obeys = token >= worker.token && epoch == worker.epoch;
        if obeys {
            // Heeded once in half a lease.
            let heeds = t - worker.rose_at > self.settings.params.workers.lease_s / 2.0;
            if token > worker.token && heeds {
                worker.rose_at = t;
                worker.changed = true;
            }
            worker.token = token;
            self.obey(&name, &commands);
        }
        let heartbeat = self.report_of(&name);
        self.send(Mail::DirectReply(n, incarnation, heartbeat, token, asked));
    }
}
