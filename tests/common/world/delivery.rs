//! What is on its way, and what it does where it arrives.

use knotlanding_testbed::proxy::Flow;
use knotlanding_testbed::schedule::LinkId;

use super::*;

#[derive(Clone, Debug)]
pub(super) enum Mail {
    ToStore(usize, u64, StoreRequest, RequestPurpose, f64),
    FromStore(usize, u64, StoreResponse, RequestPurpose, f64),
    /// Applied late, nobody waits for it.
    LateWrite(Group),
    Report(usize, Box<Report>, Option<u64>),
    Reply(
        String,
        u64,
        u64,
        u16,
        Option<String>,
        Option<(u64, Vec<Order>)>,
    ),
    Direct(usize, u64, String, u64, u64, Vec<Order>, Instant),
    DirectReply(usize, u64, Box<Report>, u64, Instant),
    Cancelled(usize, Vec<JobId>),
    Return(usize, u64, Vec<MachineId>),
    Returned(usize, u64, Vec<MachineId>),
    Rent(usize, u64, Offer, u32),
    Rented(usize, u64, Offer, Vec<String>),
    Boot(String, Offer),
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
            Mail::ToStore(n, life, ask, why, sent) => self.serve(n, life, ask, why, sent),
            Mail::LateWrite(group) => {
                if t < self.out_until {
                    self.post(1.0, Mail::LateWrite(group));
                } else {
                    self.store.expire(t);
                    self.store.multi(&group);
                }
            }
            Mail::FromStore(n, life, answered, why, sent) => {
                if self.at_node(n, Some(life), || {
                    Mail::FromStore(n, life, answered.clone(), why.clone(), sent)
                }) {
                    self.answered(n, answered, why, sent);
                }
            }
            Mail::Cancelled(n, jobs) => {
                if self.at_node(n, None, || Mail::Cancelled(n, jobs.clone())) {
                    self.nodes[n].shared.cancel_tasks(&jobs);
                }
            }
            Mail::Report(n, report, number) => self.report_arrives(n, report, number),
            Mail::Batch(to, bytes, from, life, id) => {
                let again = || Mail::Batch(to, bytes.clone(), from, life, id);
                if self.at_node(to, None, again) {
                    self.batch_arrives(to, &bytes, (from, life, id));
                }
            }
            Mail::BatchAnswer(n, life, id, answer) => {
                let again = || Mail::BatchAnswer(n, life, id, answer.clone());
                if self.at_node(n, Some(life), again) {
                    self.batch_answered(n, id, answer);
                }
            }
            Mail::Row(..) | Mail::RowAnswered(..) => self.deliver_row(mail),
            Mail::Reply(name, session, number, status, redirect, told) => {
                let hung = |w: &Worker| w.hung_until > t;
                if self.workers.get(&name).is_some_and(hung) {
                    return;
                }
                self.reply(&name, (session, number, status), redirect, told);
            }
            Mail::Direct(n, life, name, token, session, orders, asked) => {
                let command = (token, session, orders);
                self.command_arrives((n, life), name, command, asked);
            }
            Mail::DirectReply(n, life, report, token, asked) => {
                self.command_answered(n, life, report, token, asked)
            }
            Mail::Return(n, life, ids) => {
                for id in &ids {
                    self.workers.remove(&*id.0);
                    self.dead.remove(&*id.0);
                }
                self.send(Mail::Returned(n, life, ids));
            }
            Mail::Returned(n, life, ids) => {
                if self.at_node(n, Some(life), || Mail::Returned(n, life, ids.clone())) {
                    self.nodes[n].shared.machine_gone(&ids);
                }
            }
            Mail::Rent(n, life, offer, count) => {
                let names = self.rent(&offer, count);
                self.send(Mail::Rented(n, life, offer, names));
            }
            Mail::Rented(n, life, offer, names) => self.rental_answered(n, life, offer, names),
            Mail::Boot(name, offer) => self.boot(name, offer),
        }
    }

    /// A row, or what became of one, reaches a node.
    fn deliver_row(&mut self, mail: Mail) {
        match mail {
            Mail::Row(to, bytes, from, life, sent) => {
                let again = || Mail::Row(to, bytes.clone(), from, life, sent);
                if self.at_node(to, None, again) {
                    self.row_arrives(to, &bytes, (from, life, sent));
                }
            }
            Mail::RowAnswered(n, life, answer) => {
                let again = || Mail::RowAnswered(n, life, answer.clone());
                if self.at_node(n, Some(life), again) {
                    self.row_answered(n, answer);
                }
            }
            _ => {}
        }
    }

    /// A worker's report, or a copy of one without a number, reaches a node.
    fn report_arrives(&mut self, n: usize, report: Box<Report>, number: Option<u64>) {
        if self.cut_from_workers(n) {
            return;
        }
        let cut = self.link_mode(LinkId::Workers(zone_number(&report.zone), n));
        let late = Mail::Report(n, report.clone(), None);
        if self.keeps_request(&cut, Some(late)) {
            return;
        }
        if !self.at_node(n, None, || Mail::Report(n, report.clone(), number)) {
            return;
        }
        let now = self.instant();
        let body = wire::encode(&*report);
        let received = receive(&self.nodes[n].shared, Ok(body.into()), &|| now);
        let (name, session) = (report.machine.clone(), report.session);
        let answers = cut.mode.answers == Flow::Pass;
        match (received, number.filter(|_| answers)) {
            (Reception::Answered(answer), Some(number)) => {
                self.answer_worker(&name, (session, number), answer);
            }
            (Reception::Forwarded(pending), Some(number)) => {
                self.wait_for_leader(n, pending, (name, session, number));
            }
            // A copy: it is forwarded as any report, and nobody waits for its answer.
            (Reception::Forwarded(pending), None) => {
                self.wait_for_leader(n, pending, (name, session, 0));
            }
            (Reception::Answered(_), None) => {}
        }
    }

    /// A worker's answer to a direct command reaches the node that sent it.
    fn command_answered(
        &mut self,
        n: usize,
        life: u64,
        report: Box<Report>,
        token: u64,
        asked: Instant,
    ) {
        if !self.at_node(n, Some(life), || {
            Mail::DirectReply(n, life, report.clone(), token, asked)
        }) {
            return;
        }
        let now = self.instant();
        let late = now.saturating_duration_since(asked) > Duration::from_secs(2);
        let shared = self.nodes[n].shared.clone();
        let mut guard = shared.cluster.lock();
        let term = Token(token).term();
        if let Some(cluster) = guard.as_mut().filter(|c| c.term == term && !late) {
            let verified = cluster.report(&report, ReportSource::Command(asked), now);
            assert_ne!(verified, Verified::Deposed, "ours was executed or refused");
        }
    }

    /// The cloud's answer to a rental reaches the node that asked.
    fn rental_answered(&mut self, n: usize, life: u64, offer: Offer, names: Vec<String>) {
        if !self.at_node(n, Some(life), || {
            Mail::Rented(n, life, offer.clone(), names.clone())
        }) {
            return;
        }
        let now = self.instant();
        let shared = self.nodes[n].shared.clone();
        if let Some(cluster) = shared.cluster.lock().as_mut() {
            cluster.hired(&names, &offer, now);
        }
        if names.is_empty() {
            self.nodes[n].market.exhausted(&offer, now);
        }
    }

    /// A direct command reaches a worker.
    fn command_arrives(
        &mut self,
        (n, life): (usize, u64),
        name: String,
        (token, session, orders): (u64, u64, Vec<Order>),
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
            let mail = Mail::Direct(n, life, name, token, session, orders, asked);
            worker.held.push(mail);
            return;
        }
        let obeys = token >= worker.token && session == worker.session;
        if obeys {
            // Heeded once in half a lease.
            let heeds = t - worker.rose_at > self.settings.params.workers.lease_s / 2.0;
            if token > worker.token && heeds {
                worker.rose_at = t;
                worker.changed = true;
            }
            worker.token = token;
            self.obey(&name, &orders);
        }
        let report = self.report_of(&name);
        self.send(Mail::DirectReply(n, life, report, token, asked));
    }
}
