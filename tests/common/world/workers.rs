//! The model's workers: reports, leases, tasks and gangs.

use super::*;

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) phase: TaskPhase,
    pub(super) cause: Option<ExitCause>,
    pub(super) until: f64,
    pub(super) began: f64,
    pub(super) missing_since: Option<f64>,
}

pub(super) struct Worker {
    pub(super) zone: String,
    pub(super) machine_type: String,
    pub(super) spot: bool,
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    pub(super) token: u64,
    pub(super) base: f64,
    pub(super) node: usize,
    pub(super) next_report: f64,
    /// Number, session and time of the report under way.
    pub(super) waits: Option<(u64, u64, f64)>,
    pub(super) changed: bool,
    pub(super) last_report: f64,
    pub(super) rose_at: f64,
    pub(super) hung_until: f64,
    pub(super) deaf_until: f64,
    pub(super) mute_until: f64,
    pub(super) held: Vec<Mail>,
    pub(super) tasks: BTreeMap<(String, u64), Task>,
}

pub(super) fn task_parts(task: &str) -> (&str, u32) {
    let (job, index) = task.split_once('/').unwrap();
    (job, index.parse().unwrap())
}

pub(super) fn on_machine(task: &Task) -> bool {
    matches!(
        task.phase,
        TaskPhase::AwaitingGang | TaskPhase::Running | TaskPhase::Checkpointing
    )
}

impl World {
    pub(super) fn report_of(&mut self, name: &str) -> Box<Heartbeat> {
        let worker = self.workers.get_mut(name).unwrap();
        worker.sequence += 1;
        let tasks = worker
            .tasks
            .iter()
            .map(|((task, attempt), state)| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                phase: state.phase,
                cause: state.cause,
                saved: None,
            });
        Box::new(Heartbeat {
            machine: name.to_owned(),
            address: "127.0.0.1:9".to_owned(),
            machine_type: worker.machine_type.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            epoch: worker.epoch,
            sequence: worker.sequence,
            token: worker.token,
            notice_s: None,
            tasks: tasks.collect(),
        })
    }

    pub(super) fn worker(&mut self, name: &str) {
        let timing = self.timing();
        let t = self.t;
        let worker = self.workers.get_mut(name).unwrap();
        if worker.hung_until > t {
            return;
        }
        if t - worker.base > timing.lease_s {
            worker.epoch += 1;
            worker.base = t;
            worker.tasks.clear();
            worker.waits = None;
            worker.changed = true;
        }
        for mail in std::mem::take(&mut worker.held) {
            self.deliver(mail);
        }
        self.progress(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some((_, _, sent)) = worker.waits {
            if t - sent > GIVES_UP {
                worker.waits = None;
                worker.node = (worker.node + 1) % 3;
                worker.next_report = t + 1.0;
            }
            return;
        }
        let due = t >= worker.next_report || (worker.changed && t - worker.last_report > 0.5);
        if !due {
            return;
        }
        worker.changed = false;
        worker.last_report = t;
        worker.waits = Some((worker.sequence + 1, worker.epoch, t));
        let (node, mute) = (worker.node, worker.mute_until > t);
        let every = timing.report_s * self.rng.random_range(0.75..1.25);
        self.workers.get_mut(name).unwrap().next_report = t + every;
        let heartbeat = self.report_of(name);
        if !mute {
            let (share, for_next, until) = self.late_reports;
            if t < until && self.rng.random_bool(share) {
                if for_next {
                    self.kept.push((*heartbeat).clone());
                } else {
                    let after = self.rng.random_range(2.0..timing.lease_s * 2.0);
                    self.post(after, Mail::Heartbeat(node, heartbeat.clone(), None));
                }
            }
            let number = heartbeat.sequence;
            self.send(Mail::Heartbeat(node, heartbeat, Some(number)));
        }
    }

    /// Tasks go on, and gangs.
    pub(super) fn progress(&mut self, name: &str) {
        let t = self.t;
        let timing = self.timing();
        let keys: Vec<(String, u64)> = self.workers[name].tasks.keys().cloned().collect();
        for key in keys {
            let state = self.workers[name].tasks[&key].clone();
            let (job, _) = task_parts(&key.0);
            let gang = self
                .jobs
                .get(job)
                .is_some_and(|j| j.spec.kind == JobKind::Gang);
            let next = match state.phase {
                TaskPhase::PullingImage if t >= state.until => {
                    self.starts_on(name, &key.0);
                    if self.completed.contains(&key.0) {
                        Some((TaskPhase::Exited, Some(ExitCause::Done)))
                    } else if gang {
                        Some((TaskPhase::AwaitingGang, None))
                    } else {
                        Some((TaskPhase::Running, None))
                    }
                }
                TaskPhase::AwaitingGang if self.gathered(&key) => Some((TaskPhase::Running, None)),
                TaskPhase::AwaitingGang if t - state.began > timing.gang_wait_s => {
                    Some((TaskPhase::Exited, Some(ExitCause::GangBarrierTimeout)))
                }
                TaskPhase::Running if gang && self.gang_done(&key) => {
                    Some((TaskPhase::Exited, Some(ExitCause::Done)))
                }
                TaskPhase::Running if gang && !self.gang_whole(&key) => {
                    let since = *self.task(name, &key).missing_since.get_or_insert(t);
                    (t - since > timing.gang_peer_s)
                        .then_some((TaskPhase::Exited, Some(ExitCause::GangMemberLost)))
                }
                TaskPhase::Running if !gang && t - state.began > self.jobs[job].run_s => {
                    Some((TaskPhase::Exited, Some(ExitCause::Done)))
                }
                TaskPhase::Checkpointing if t >= state.until => {
                    Some((TaskPhase::Exited, Some(ExitCause::Stopped)))
                }
                _ => None,
            };
            if let Some((phase, cause)) = next {
                let state = self.task(name, &key);
                state.phase = phase;
                state.cause = cause;
                state.began = t;
                let worker = self.workers.get_mut(name).unwrap();
                worker.changed = true;
                if cause == Some(ExitCause::Done) {
                    self.completed.insert(key.0.clone());
                }
            }
        }
    }

    pub(super) fn task(&mut self, name: &str, key: &(String, u64)) -> &mut Task {
        let worker = self.workers.get_mut(name).unwrap();
        worker.tasks.get_mut(key).unwrap()
    }

    /// The phases of a gang's attempt on machines that go on.
    pub(super) fn members(&self, key: &(String, u64)) -> Vec<(&Task, bool)> {
        let (job, _) = task_parts(&key.0);
        let mut members = Vec::new();
        for worker in self.workers.values() {
            for ((task, attempt), state) in &worker.tasks {
                if *attempt == key.1 && task_parts(task).0 == job {
                    members.push((state, worker.hung_until > self.t));
                }
            }
        }
        members
    }

    pub(super) fn gang_size(&self, key: &(String, u64)) -> usize {
        let (job, _) = task_parts(&key.0);
        self.jobs[job].spec.tasks as usize
    }

    pub(super) fn gathered(&self, key: &(String, u64)) -> bool {
        let ready = self.members(key).into_iter().filter(|(task, hung)| {
            !hung
                && (matches!(task.phase, TaskPhase::AwaitingGang | TaskPhase::Running)
                    || task.cause == Some(ExitCause::Done))
        });
        ready.count() >= self.gang_size(key)
    }

    pub(super) fn gang_whole(&self, key: &(String, u64)) -> bool {
        let there = self.members(key).into_iter().filter(|(task, hung)| {
            !hung && (task.phase == TaskPhase::Running || task.cause == Some(ExitCause::Done))
        });
        there.count() >= self.gang_size(key)
    }

    pub(super) fn gang_done(&self, key: &(String, u64)) -> bool {
        let (job, _) = task_parts(&key.0);
        let run_s = self.jobs[job].run_s;
        let members = self.members(key);
        let any = members
            .iter()
            .any(|(task, _)| task.cause == Some(ExitCause::Done));
        let ran = |task: &Task| task.phase == TaskPhase::Running && self.t - task.began > run_s;
        any || (self.gang_whole(key) && members.iter().all(|(task, _)| ran(task)))
    }

    /// A task is on its machine from now on: the rules about where.
    pub(super) fn starts_on(&mut self, name: &str, task: &str) {
        self.starts += 1;
        let (job, _) = task_parts(task);
        let elsewhere = self.workers.iter().find(|(other, worker)| {
            let on = |((at, _), state): (&(String, u64), &Task)| at == task && on_machine(state);
            *other != name && self.goes_on(worker) && worker.tasks.iter().any(on)
        });
        if let Some((other, _)) = elsewhere {
            let what = format!("{task} on {other} and {name}");
            self.break_rule("ran_twice", what);
        }
        let spec = self.jobs[job].spec.clone();
        let (machine_type, zone) = {
            let worker = &self.workers[name];
            (worker.machine_type.clone(), worker.zone.clone())
        };
        if spec
            .machine_types
            .as_ref()
            .is_some_and(|b| !b.contains(&machine_type))
        {
            self.break_rule("wrong_place", format!("{task} on {machine_type}"));
        }
        let mut zones: Vec<String> = Vec::new();
        for (other, worker) in &self.workers {
            let on = |((at, _), state): (&(String, u64), &Task)| {
                task_parts(at).0 == job && on_machine(state)
            };
            if other != name && self.goes_on(worker) && worker.tasks.iter().any(on) {
                zones.push(worker.zone.clone());
            }
        }
        if spec.single_zone && zones.iter().any(|other| *other != zone) {
            self.break_rule(
                "wrong_place",
                format!("{task} in {zone}, others in {zones:?}"),
            );
        }
        if self.jobs[job].told_cancelled.is_some() {
            self.started_cancelled += 1;
        }
    }

    /// Whether its tasks may go on: one that hangs beyond its lease kills them when it wakes up.
    pub(super) fn goes_on(&self, worker: &Worker) -> bool {
        let lease_s = self.settings.params.workers.lease_s;
        worker.hung_until <= self.t || self.t - worker.base <= lease_s
    }

    pub(super) fn obey(&mut self, name: &str, commands: &[WorkerCommand]) {
        let t = self.t;
        for command in commands {
            match command {
                WorkerCommand::Run { task, attempt } => {
                    // Some machines have the image.
                    let until = t + [0.0, 0.3, 4.0][self.rng.random_range(0..3)];
                    let worker = self.workers.get_mut(name).unwrap();
                    if worker.tasks.contains_key(&(task.clone(), *attempt)) {
                        continue;
                    }
                    let other = |(at, state): (&(String, u64), &Task)| {
                        at.0 == *task && state.phase != TaskPhase::Exited
                    };
                    let refused = worker.tasks.iter().any(other);
                    worker.changed = true;
                    worker.tasks.insert(
                        (task.clone(), *attempt),
                        Task {
                            phase: if refused {
                                TaskPhase::Exited
                            } else {
                                TaskPhase::PullingImage
                            },
                            cause: refused.then_some(ExitCause::AlreadyPresent),
                            until,
                            began: t,
                            missing_since: None,
                        },
                    );
                }
                WorkerCommand::Kill {
                    task,
                    attempt,
                    grace_s,
                } => {
                    let worker = self.workers.get_mut(name).unwrap();
                    let key = (task.clone(), *attempt);
                    let Some(state) = worker.tasks.get_mut(&key) else {
                        continue;
                    };
                    if state.phase == TaskPhase::Running && *grace_s > 0.0 {
                        state.phase = TaskPhase::Checkpointing;
                        state.until = t + 1.0;
                    } else if state.phase != TaskPhase::Exited {
                        state.phase = TaskPhase::Exited;
                        state.cause = Some(ExitCause::Stopped);
                    }
                    worker.changed = true;
                }
                WorkerCommand::Clear { task, attempt } => {
                    let worker = self.workers.get_mut(name).unwrap();
                    let key = (task.clone(), *attempt);
                    let exited = worker.tasks.get(&key);
                    if exited.is_some_and(|state| state.phase == TaskPhase::Exited) {
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    pub(super) fn reply(
        &mut self,
        name: &str,
        (epoch, number, status): (u64, u64, u16),
        redirect: Option<String>,
        body: Option<(u64, Vec<WorkerCommand>)>,
    ) {
        let t = self.t;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((waits, _, sent)) = worker.waits else {
            return;
        };
        if waits != number || worker.epoch != epoch || t - sent > GIVES_UP {
            return;
        }
        worker.waits = None;
        match (status, body) {
            (200, Some((token, commands))) => {
                if token < worker.token {
                    return;
                }
                worker.base = sent;
                worker.token = token;
                self.obey(name, &commands);
            }
            (421, _) => {
                let to = redirect.and_then(|member| {
                    let mut nodes = self.nodes.iter();
                    nodes.position(|node| node.name == member)
                });
                match to.filter(|to| *to != worker.node) {
                    Some(to) => {
                        worker.node = to;
                        worker.next_report = t + 0.2;
                    }
                    None => {
                        worker.node = (worker.node + 1) % 3;
                        worker.next_report = t + 1.0;
                    }
                }
            }
            _ => {
                worker.node = (worker.node + 1) % 3;
                worker.next_report = t + 1.0;
            }
        }
    }

    /// Sends a node's answer to the worker that waits for it.
    pub(super) fn answer_worker(
        &mut self,
        name: &str,
        (epoch, number): (u64, u64),
        answer: HttpResponse,
    ) {
        let status = answer.status().as_u16();
        let body = actix_web::body::to_bytes(answer.into_body());
        let body = body.now_or_never().unwrap().unwrap();
        let redirect = (status == 421).then(|| {
            let redirect: Redirect = wire::decode(&body).unwrap();
            redirect.report_to
        });
        let redirect = redirect.flatten();
        let told = (status == 200).then(|| {
            let answer: HeartbeatResponse = wire::decode(&body).unwrap();
            (answer.token, answer.commands)
        });
        let t = self.t;
        let deaf = |w: &Worker| w.deaf_until > t;
        if !self.workers.get(name).is_some_and(deaf) {
            let name = name.to_owned();
            self.send(Mail::Reply(name, epoch, number, status, redirect, told));
        }
    }

    pub(super) fn some_workers(&mut self, share: f64) -> Vec<String> {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let drawn = names.into_iter().filter(|_| self.rng.random_bool(share));
        drawn.collect()
    }
}
