//! The simulated workers: heartbeats, leases, tasks and gangs.

use super::*;

#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) phase: TaskPhase,
    pub(super) cause: Option<ExitCause>,
    /// End of the current phase, if the phase has a fixed duration.
    pub(super) until: f64,
    pub(super) phase_since: f64,
    /// Time since which a member of the gang is missing.
    pub(super) missing_since: Option<f64>,
}

pub(super) struct Worker {
    pub(super) zone: String,
    pub(super) machine_type: String,
    pub(super) spot: bool,
    /// Number of the session; a new one starts when the lease expires.
    pub(super) epoch: u64,
    pub(super) sequence: u64,
    /// Highest fencing token received.
    pub(super) token: u64,
    /// Time at which the last acknowledged heartbeat was sent, or at which the session started.
    pub(super) lease_started_at: f64,
    /// Controller to which the worker sends its heartbeats.
    pub(super) controller: usize,
    pub(super) next_heartbeat_at: f64,
    /// Number of heartbeats sent by all incarnations, each in an exchange of its own.
    pub(super) exchanges: u64,
    /// Number of the exchange, session epoch and send time of the heartbeat that has no response yet.
    pub(super) awaited_response: Option<(u64, u64, f64)>,
    /// Whether the next heartbeat is sent early.
    pub(super) state_changed: bool,
    pub(super) last_heartbeat_at: f64,
    /// Time at which a newer fencing token last triggered an early heartbeat.
    pub(super) token_raised_at: f64,
    pub(super) hung_until: f64,
    pub(super) responses_lost_until: f64,
    pub(super) heartbeats_lost_until: f64,
    /// Messages that arrived while the worker was hung.
    pub(super) held_messages: Vec<Message>,
    /// Tasks by name and attempt.
    pub(super) tasks: BTreeMap<(String, u64), Task>,
}

pub(super) fn task_parts(task: &str) -> (&str, u32) {
    let (job, index) = task.split_once('/').unwrap();
    (job, index.parse().unwrap())
}

pub(super) fn is_active(task: &Task) -> bool {
    matches!(
        task.phase,
        TaskPhase::AwaitingGang | TaskPhase::Running | TaskPhase::Checkpointing
    )
}

impl Simulation {
    pub(super) fn next_heartbeat(&mut self, name: &str) -> Box<Heartbeat> {
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

    pub(super) fn step_worker(&mut self, name: &str) {
        let worker_settings = self.worker_settings();
        let now_s = self.now_s;
        let worker = self.workers.get_mut(name).unwrap();
        if worker.hung_until > now_s {
            return;
        }
        if now_s - worker.lease_started_at > worker_settings.lease_s {
            worker.epoch += 1;
            worker.lease_started_at = now_s;
            worker.tasks.clear();
            worker.awaited_response = None;
            worker.state_changed = true;
        }
        for message in std::mem::take(&mut worker.held_messages) {
            self.deliver(message);
        }
        self.step_tasks(name);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some((_, _, sent_s)) = worker.awaited_response {
            if now_s - sent_s > WORKER_TIMEOUT_S {
                worker.awaited_response = None;
                worker.controller = (worker.controller + 1) % 3;
                worker.next_heartbeat_at = now_s + 1.0;
            }
            return;
        }
        let due = now_s >= worker.next_heartbeat_at
            || (worker.state_changed && now_s - worker.last_heartbeat_at > 0.5);
        if !due {
            return;
        }
        worker.state_changed = false;
        worker.last_heartbeat_at = now_s;
        worker.exchanges += 1;
        let number = worker.exchanges;
        worker.awaited_response = Some((number, worker.epoch, now_s));
        let (controller, heartbeats_lost) =
            (worker.controller, worker.heartbeats_lost_until > now_s);
        let interval_s = worker_settings.report_s * self.rng.random_range(0.75..1.25);
        self.workers.get_mut(name).unwrap().next_heartbeat_at = now_s + interval_s;
        let heartbeat = self.next_heartbeat(name);
        if !heartbeats_lost {
            let (share, kept, until) = self.heartbeat_copies;
            if now_s < until && self.rng.random_bool(share) {
                if kept {
                    self.kept_heartbeats.push((*heartbeat).clone());
                } else {
                    let after = self.rng.random_range(2.0..worker_settings.lease_s * 2.0);
                    self.deliver_after(
                        after,
                        Message::Heartbeat(controller, heartbeat.clone(), None),
                    );
                }
            }
            self.copy_heartbeat(&heartbeat);
            self.send(Message::Heartbeat(controller, heartbeat, Some(number)));
        }
    }

    /// Advances the phases of a worker's tasks.
    pub(super) fn step_tasks(&mut self, name: &str) {
        let now_s = self.now_s;
        let worker_settings = self.worker_settings();
        let keys: Vec<(String, u64)> = self.workers[name].tasks.keys().cloned().collect();
        for key in keys {
            let state = self.workers[name].tasks[&key].clone();
            let (job, _) = task_parts(&key.0);
            let is_gang = self
                .jobs
                .get(job)
                .is_some_and(|job| job.spec.kind == JobKind::Gang);
            let next = match state.phase {
                TaskPhase::PullingImage if now_s >= state.until => {
                    self.record_task_start(name, &key.0);
                    if self.completed_tasks.contains(&key.0) {
                        Some((TaskPhase::Exited, Some(ExitCause::Done)))
                    } else if is_gang {
                        Some((TaskPhase::AwaitingGang, None))
                    } else {
                        Some((TaskPhase::Running, None))
                    }
                }
                TaskPhase::AwaitingGang if self.gang_ready(&key) => {
                    Some((TaskPhase::Running, None))
                }
                TaskPhase::AwaitingGang
                    if now_s - state.phase_since > worker_settings.gang_wait_s =>
                {
                    Some((TaskPhase::Exited, Some(ExitCause::GangBarrierTimeout)))
                }
                TaskPhase::Running if is_gang && self.gang_done(&key) => {
                    Some((TaskPhase::Exited, Some(ExitCause::Done)))
                }
                TaskPhase::Running if is_gang && !self.gang_complete(&key) => {
                    let missing_since = *self.task(name, &key).missing_since.get_or_insert(now_s);
                    (now_s - missing_since > worker_settings.gang_peer_s)
                        .then_some((TaskPhase::Exited, Some(ExitCause::GangMemberLost)))
                }
                TaskPhase::Running
                    if !is_gang && now_s - state.phase_since > self.jobs[job].run_s =>
                {
                    Some((TaskPhase::Exited, Some(ExitCause::Done)))
                }
                TaskPhase::Checkpointing if now_s >= state.until => {
                    Some((TaskPhase::Exited, Some(ExitCause::Stopped)))
                }
                _ => None,
            };
            if let Some((phase, cause)) = next {
                let state = self.task(name, &key);
                state.phase = phase;
                state.cause = cause;
                state.phase_since = now_s;
                let worker = self.workers.get_mut(name).unwrap();
                worker.state_changed = true;
                if cause == Some(ExitCause::Done) {
                    self.record_completion(&key.0);
                }
            }
        }
    }

    /// Records the result of a task, which is kept. The members of a gang complete together: where one is done, all are,
    /// also one whose machine hangs and shows it only when it is started again.
    fn record_completion(&mut self, task: &str) {
        let (job, _) = task_parts(task);
        let spec = &self.jobs[job].spec;
        if spec.kind == JobKind::Gang {
            let members = (0..spec.tasks).map(|index| format!("{job}/{index}"));
            self.completed_tasks.extend(members);
        } else {
            self.completed_tasks.insert(task.to_owned());
        }
    }

    pub(super) fn task(&mut self, name: &str, key: &(String, u64)) -> &mut Task {
        let worker = self.workers.get_mut(name).unwrap();
        worker.tasks.get_mut(key).unwrap()
    }

    /// Tasks of a gang's attempt, and whether the worker of each one hangs.
    pub(super) fn gang_members(&self, key: &(String, u64)) -> Vec<(&Task, bool)> {
        let (job, _) = task_parts(&key.0);
        let mut members = Vec::new();
        for worker in self.workers.values() {
            for ((task, attempt), state) in &worker.tasks {
                if *attempt == key.1 && task_parts(task).0 == job {
                    members.push((state, worker.hung_until > self.now_s));
                }
            }
        }
        members
    }

    pub(super) fn gang_size(&self, key: &(String, u64)) -> usize {
        let (job, _) = task_parts(&key.0);
        self.jobs[job].spec.tasks as usize
    }

    pub(super) fn gang_ready(&self, key: &(String, u64)) -> bool {
        let ready = self.gang_members(key).into_iter().filter(|(task, hung)| {
            !hung
                && (matches!(task.phase, TaskPhase::AwaitingGang | TaskPhase::Running)
                    || task.cause == Some(ExitCause::Done))
        });
        ready.count() >= self.gang_size(key)
    }

    pub(super) fn gang_complete(&self, key: &(String, u64)) -> bool {
        let present = self.gang_members(key).into_iter().filter(|(task, hung)| {
            !hung && (task.phase == TaskPhase::Running || task.cause == Some(ExitCause::Done))
        });
        present.count() >= self.gang_size(key)
    }

    pub(super) fn gang_done(&self, key: &(String, u64)) -> bool {
        let (job, _) = task_parts(&key.0);
        let run_s = self.jobs[job].run_s;
        let members = self.gang_members(key);
        let any_done = members
            .iter()
            .any(|(task, _)| task.cause == Some(ExitCause::Done));
        let ran = |t: &Task| t.phase == TaskPhase::Running && self.now_s - t.phase_since > run_s;
        any_done || (self.gang_complete(key) && members.iter().all(|(task, _)| ran(task)))
    }

    /// Counts the start of a task on a machine, and checks that the task runs on no other machine and that
    /// the machine's type and zone are permitted.
    pub(super) fn record_task_start(&mut self, name: &str, task: &str) {
        self.task_starts += 1;
        let (job, _) = task_parts(task);
        let elsewhere = self.workers.iter().find(|(other, worker)| {
            let runs = |((key, _), state): (&(String, u64), &Task)| key == task && is_active(state);
            *other != name && self.may_run_tasks(worker) && worker.tasks.iter().any(runs)
        });
        if let Some((other, _)) = elsewhere {
            let detail = format!("{task} on {other} and {name}");
            self.record_violation("ran_twice", detail);
        }
        let spec = self.jobs[job].spec.clone();
        let (machine_type, zone) = {
            let worker = &self.workers[name];
            (worker.machine_type.clone(), worker.zone.clone())
        };
        if spec
            .machine_types
            .as_ref()
            .is_some_and(|allowed| !allowed.contains(&machine_type))
        {
            self.record_violation("wrong_place", format!("{task} on {machine_type}"));
        }
        let mut zones: Vec<String> = Vec::new();
        for (other, worker) in &self.workers {
            let runs_job = |((candidate, _), state): (&(String, u64), &Task)| {
                task_parts(candidate).0 == job && is_active(state)
            };
            if other != name && self.may_run_tasks(worker) && worker.tasks.iter().any(runs_job) {
                zones.push(worker.zone.clone());
            }
        }
        if spec.single_zone && zones.iter().any(|other| *other != zone) {
            self.record_violation(
                "wrong_place",
                format!("{task} in {zone}, others in {zones:?}"),
            );
        }
        if self.jobs[job].seen_cancelled_at.is_some() {
            self.starts_of_cancelled_jobs += 1;
        }
    }

    /// Whether a worker's tasks may still run. A worker that hangs beyond its lease terminates them when
    /// it resumes.
    pub(super) fn may_run_tasks(&self, worker: &Worker) -> bool {
        let lease_s = self.settings.params.workers.lease_s;
        worker.hung_until <= self.now_s || self.now_s - worker.lease_started_at <= lease_s
    }

    pub(super) fn execute_commands(&mut self, name: &str, commands: &[WorkerCommand]) {
        let now_s = self.now_s;
        for command in commands {
            match command {
                WorkerCommand::Run { task, attempt } => {
                    // The time for pulling the image is zero if the machine has it in its cache.
                    let until = now_s + [0.0, 0.3, 4.0][self.rng.random_range(0..3)];
                    let worker = self.workers.get_mut(name).unwrap();
                    if worker.tasks.contains_key(&(task.clone(), *attempt)) {
                        continue;
                    }
                    let other_attempt = |(key, state): (&(String, u64), &Task)| {
                        key.0 == *task && state.phase != TaskPhase::Exited
                    };
                    let refused = worker.tasks.iter().any(other_attempt);
                    worker.state_changed = true;
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
                            phase_since: now_s,
                            missing_since: None,
                        },
                    );
                    self.record_executed_start(name, task, *attempt);
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
                        state.until = now_s + 1.0;
                    } else if state.phase != TaskPhase::Exited {
                        state.phase = TaskPhase::Exited;
                        state.cause = Some(ExitCause::Stopped);
                    }
                    worker.state_changed = true;
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

    pub(super) fn receive_heartbeat_response(
        &mut self,
        name: &str,
        (epoch, number, status): (u64, u64, u16),
        redirect: Option<String>,
        body: Option<(u64, Vec<WorkerCommand>)>,
    ) {
        let now_s = self.now_s;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let Some((awaited, _, sent_s)) = worker.awaited_response else {
            return;
        };
        if awaited != number || worker.epoch != epoch || now_s - sent_s > WORKER_TIMEOUT_S {
            return;
        }
        worker.awaited_response = None;
        match (status, body) {
            (200, Some((token, commands))) => {
                if token < worker.token {
                    return;
                }
                worker.lease_started_at = sent_s;
                worker.token = token;
                self.execute_commands(name, &commands);
            }
            (421, _) => {
                let to = redirect.and_then(|member| {
                    let mut controllers = self.controllers.iter();
                    controllers.position(|controller| controller.name == member)
                });
                match to.filter(|to| *to != worker.controller) {
                    Some(to) => {
                        worker.controller = to;
                        worker.next_heartbeat_at = now_s + 0.2;
                    }
                    None => {
                        worker.controller = (worker.controller + 1) % 3;
                        worker.next_heartbeat_at = now_s + 1.0;
                    }
                }
            }
            _ => {
                worker.controller = (worker.controller + 1) % 3;
                worker.next_heartbeat_at = now_s + 1.0;
            }
        }
    }

    /// Sends a controller's response to the worker that waits for it.
    pub(super) fn send_response(
        &mut self,
        name: &str,
        (epoch, number): (u64, u64),
        response: HttpResponse,
    ) {
        let status = response.status().as_u16();
        let bytes = actix_web::body::to_bytes(response.into_body());
        let bytes = bytes.now_or_never().unwrap().unwrap();
        let redirect = (status == 421).then(|| {
            let redirect: Redirect = wire::decode(&bytes).unwrap();
            redirect.report_to
        });
        let redirect = redirect.flatten();
        let body = (status == 200).then(|| {
            let response: HeartbeatResponse = wire::decode(&bytes).unwrap();
            (response.token, response.commands)
        });
        if let Some((_, commands)) = &body {
            self.record_sent_starts(commands);
        }
        let now_s = self.now_s;
        let loses_responses = |worker: &Worker| worker.responses_lost_until > now_s;
        if !self.workers.get(name).is_some_and(loses_responses) {
            let name = name.to_owned();
            self.send_with_copy(Message::HeartbeatResponse(
                name, epoch, number, status, redirect, body,
            ));
        }
    }

    pub(super) fn draw_workers(&mut self, share: f64) -> Vec<String> {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        let selected = names.into_iter().filter(|_| self.rng.random_bool(share));
        selected.collect()
    }
}
