//! What a worker's report does to the cluster state, and what it is answered.

use std::time::{Duration, Instant};

use knotlanding_links::reachability::Reachability;
use tracing::{debug, info, warn};

use super::commands::stop_command;
use super::machine::{DrainReason, InstanceId, InstancePhase, Machine, TaskInstance};
use super::{find_machine_type, Cluster, Placement};
use crate::model::{Attempt, FencingToken, JobId, MachineId, TaskId};
use crate::time::secs;
use crate::wire::{ExitCause, Heartbeat, TaskPhase, TaskStatus, WorkerCommand};

/// Jobs of which a machine's slowdown is compared with the others'.
const JOBS_TO_COMPARE: usize = 3;
/// A machine this much slower than the median, for all of them, is given up.
const SLOW_FACTOR: f64 = 2.5;
/// Tasks anywhere whose slowdown is remembered, and how many there must be for a judgement.
const SLOWDOWNS_KEPT: usize = 60;
const SLOWDOWNS_TO_JUDGE: usize = 15;
/// How long a task waits after a refused start, until the cluster state is right again.
const REST_AFTER_REFUSAL_S: f64 = 3.0;

/// What made a worker report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The worker sent it by itself.
    Worker,
    /// In answer to a direct command sent then.
    Command(Instant),
}

/// A report whose (session, number) was compared with what we have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verified {
    /// Newer than all before.
    Newer,
    /// Old: nothing in it counts.
    Older,
    /// The worker has seen a higher term than ours.
    Deposed,
}

/// Where a reported task stands.
fn phase_of(reported: &TaskStatus) -> InstancePhase {
    match reported.phase {
        TaskPhase::PullingImage => InstancePhase::PullingImage,
        TaskPhase::AwaitingGang => InstancePhase::AwaitingGang,
        TaskPhase::Running => InstancePhase::Running,
        TaskPhase::Checkpointing => InstancePhase::Checkpointing,
        TaskPhase::Exited => InstancePhase::Exited(reported.cause.unwrap_or(ExitCause::Other)),
    }
}

impl Cluster {
    /// Takes a report. One that the worker sent by itself shows what became of starts sent in
    /// the answer to the one before, but may be a late copy; one that answers a command of ours
    /// is as fresh as the command.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Instant,
    ) -> Verified {
        let own = source == HeartbeatSource::Worker;
        let token = FencingToken(heartbeat.token);
        if token.term() > self.term {
            return Verified::Deposed;
        }
        let id = MachineId(heartbeat.machine.as_str().into());
        if self.departed.contains(&id) {
            return Verified::Older;
        }
        if !self.is_news(&id, heartbeat, source, now) {
            return Verified::Older;
        }
        let newest = (heartbeat.epoch, heartbeat.sequence);
        let Some(was_busy) = self.take_header(&id, heartbeat, now) else {
            return Verified::Older;
        };
        let listed = self.take_tasks(&id, heartbeat, now);
        let Some(machine) = self.machines.get_mut(&id) else {
            return Verified::Older;
        };
        machine.recount();
        if machine.fenced {
            self.settle(&id, newest, (own, now), &listed);
            self.settled(&id);
        }
        if let Some(machine) = self.machines.get_mut(&id) {
            if was_busy && !machine.busy() {
                machine.idle_since = now;
                self.dirty = true;
            }
        }
        Verified::Newer
    }

    /// Whether a report is newer than all before. One that begins a new life of the machine is.
    fn is_news(
        &mut self,
        id: &MachineId,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Instant,
    ) -> bool {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), now));
        let number = (heartbeat.epoch, heartbeat.sequence);
        // After a new beginning, copies of what the former life said may have higher numbers.
        let own = source == HeartbeatSource::Worker;
        let former = own && FencingToken(heartbeat.token) < machine.incarnation;
        if machine.last_heartbeat.is_none() || !(former || number <= machine.newest) {
            return true;
        }
        let asked_since = match source {
            HeartbeatSource::Worker => false,
            HeartbeatSource::Command(at) => {
                machine.last_heartbeat.is_some_and(|reported| at > reported)
            }
        };
        if !asked_since || number == machine.newest {
            // A late copy, or a machine that begins again at one: asking it tells.
            if number < machine.newest && machine.pending_probe.is_none() {
                machine.pending_probe = Some((heartbeat.epoch, None));
            }
            return false;
        }
        // Within one life numbers only grow, and this was said after we had the newest.
        info!(machine = %id, "begins again");
        self.restarted(id);
        true
    }

    /// Takes all of a newer report but its tasks; whether the machine was busy before it.
    fn take_header(&mut self, id: &MachineId, heartbeat: &Heartbeat, now: Instant) -> Option<bool> {
        let machine = self.machines.get_mut(id)?;
        let rose = machine.last_heartbeat.is_some() && heartbeat.epoch > machine.newest.0;
        let held = machine
            .answered
            .is_some_and(|at| now.saturating_duration_since(at) < self.timing.lease);
        if rose && held {
            // Its lease ended although we answered.
            warn!(machine = %id, "its lease ended though we answered");
            machine.doubt(now);
        }
        machine.newest = (heartbeat.epoch, heartbeat.sequence);
        machine.pending_probe = None;
        machine.unanswered_commands = 0;
        machine.first_heartbeat.get_or_insert(now);
        if machine.last_heartbeat.is_none() {
            self.dirty = true;
            machine.idle_since = now;
            if let Some(hint) = self.hints.remove(id) {
                let images = hint.images.iter();
                let images = images.map(|(name, gb)| (self.images.id(name), f64::from(*gb)));
                machine.images = images.collect();
            }
            self.changed.machines.insert(id.clone());
        }
        machine.last_heartbeat = Some(now);
        self.take_description(id, heartbeat);
        self.take_standing(id, heartbeat, now)
    }

    /// Takes what the machine is: its address, type, zone and kind.
    fn take_description(&mut self, id: &MachineId, heartbeat: &Heartbeat) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.address.clone_from(&heartbeat.address);
        let known = machine.pool.and_then(|pool| self.pools.get(pool));
        let same = known.is_some_and(|pool| {
            pool.machine_type == heartbeat.machine_type
                && pool.zone == heartbeat.zone
                && pool.spot == heartbeat.spot
        });
        if !same {
            machine.machine_type.clone_from(&heartbeat.machine_type);
            machine.zone.clone_from(&heartbeat.zone);
            machine.spot = heartbeat.spot;
            let pool = self
                .pools
                .id(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot);
            machine.pool = Some(pool);
        }
    }

    /// Takes how the machine stands: its notice, the token it has seen, whether it holds nothing;
    /// whether it was busy before.
    fn take_standing(
        &mut self,
        id: &MachineId,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<bool> {
        let machine = self.machines.get_mut(id)?;
        let spot_deadline = heartbeat.notice_s.map(|s| now + secs(s));
        if machine.spot_deadline.is_some() != spot_deadline.is_some() {
            info!(machine = %id, notice_s = ?heartbeat.notice_s, "spot notice");
            self.dirty = true;
        }
        machine.spot_deadline = spot_deadline;
        let token = FencingToken(heartbeat.token);
        machine.fenced = token.term() == self.term;
        machine.reachability.acknowledge(token.0);
        machine.token = machine.token.max(token).max(FencingToken::first(self.term));
        let was_fresh = machine.fresh;
        machine.fresh =
            heartbeat.token == 0 && heartbeat.tasks.is_empty() && machine.known_to_cloud;
        let was_busy = machine.busy();
        if was_fresh && !heartbeat.tasks.is_empty() {
            // What made it look fresh was a late copy: its room is not what it seemed.
            let plans = machine.instances.iter().filter(|(_, state)| !state.sent());
            let plans: Vec<InstanceId> = plans.map(|(instance, _)| instance.clone()).collect();
            for instance in plans {
                self.remove_instance(id, &instance);
            }
        }
        Some(was_busy)
    }

    /// Takes the tasks of a report; all that could be read.
    fn take_tasks(
        &mut self,
        id: &MachineId,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Vec<InstanceId> {
        let mut listed = Vec::with_capacity(heartbeat.tasks.len());
        for reported in &heartbeat.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                continue;
            };
            let instance = InstanceId {
                task,
                attempt: Attempt(reported.attempt),
            };
            self.see(id, &instance, phase_of(reported), now);
            listed.push(instance);
        }
        listed
    }

    /// The machine is not waited for any longer.
    pub(super) fn settled(&mut self, id: &MachineId) {
        if !self.unreconciled.remove(id) {
            return;
        }
        self.dirty = true;
        if self.unreconciled.is_empty() {
            info!(term = self.term.0, "all machines settled");
        }
    }

    /// How long after the take-over all machines were settled, told once.
    pub fn take_settled_after(&mut self, now: Instant) -> Option<Duration> {
        if self.settled_told || !self.unreconciled.is_empty() {
            return None;
        }
        self.settled_told = true;
        Some(now.saturating_duration_since(self.since))
    }

    /// The machine runs a new life: whatever was on it went with the old one, and answers to
    /// the old one's reports can't reach it.
    fn restarted(&mut self, id: &MachineId) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.answered = None;
        if let Some(raised) = machine.token.raised() {
            // The former life never had this one; the new one gets it with the next answer.
            machine.token = raised;
            machine.incarnation = raised;
        }
        machine.token_raised_at = None;
        machine.reachability = Reachability::default();
        machine.images.clear();
        let instances: Vec<InstanceId> = machine.instances.keys().cloned().collect();
        for instance in instances {
            self.remove_instance(id, &instance);
        }
        self.dirty = true;
    }

    /// Removes what a fenced machine's report does not show any more.
    fn settle(
        &mut self,
        id: &MachineId,
        newest: (u64, u64),
        (own, now): (bool, Instant),
        listed: &[InstanceId],
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let gone: Vec<InstanceId> = machine
            .instances
            .iter()
            .filter(|(instance, _)| !listed.contains(instance))
            .filter(|(_, state)| match state.phase {
                InstancePhase::Planned => false,
                // A direct command's answer may overtake the answer that carried the start.
                InstancePhase::Dispatched { epoch, sequence } => {
                    newest.0 > epoch || (own && newest > (epoch, sequence))
                }
                _ => true,
            })
            .map(|(instance, _)| instance.clone())
            .collect();
        let lost = gone.iter().any(|instance| {
            let state = machine.instances.get(instance);
            state.is_some_and(|state| matches!(state.phase, InstancePhase::Dispatched { .. }))
        });
        for instance in gone {
            debug!(machine = %id, task = %instance.task, "gone");
            self.remove_instance(id, &instance);
        }
        if let Some(machine) = self.machines.get_mut(id).filter(|_| lost) {
            // An answer of ours did not arrive: the next may not either.
            machine.doubt(now);
        }
    }

    /// Takes one task of a report.
    fn see(&mut self, id: &MachineId, instance: &InstanceId, phase: InstancePhase, now: Instant) {
        let job = self.jobs.get(&instance.task.job);
        let (spec, image) = job.map(|job| (job.spec.clone(), job.image)).unzip();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let known = machine.instances.contains_key(instance);
        let state = machine
            .instances
            .entry(instance.clone())
            .or_insert_with(|| TaskInstance {
                spec,
                phase: InstancePhase::PullingImage,
                since: now,
                running_since: None,
                stop: None,
                image,
            });
        let before = state.phase;
        let first_seen = !known
            || matches!(
                before,
                InstancePhase::Planned | InstancePhase::Dispatched { .. }
            );
        state.phase = phase;
        if phase == InstancePhase::Running && state.running_since.is_none() {
            state.running_since = Some(now);
        }
        let has_image = matches!(
            phase,
            InstancePhase::AwaitingGang
                | InstancePhase::Running
                | InstancePhase::Exited(ExitCause::Done)
        );
        if before == phase && known {
            return;
        }
        let needs = state
            .image
            .zip(state.spec.as_ref().map(|spec| spec.image_gb));
        if let (true, Some((image, gb))) = (has_image, needs) {
            let cache =
                find_machine_type(&self.catalog, &machine.machine_type).map_or(0.0, |b| b.cache_gb);
            let known = machine.has_image(image);
            machine.used_image(image, gb, cache);
            if !known {
                self.changed.machines.insert(id.clone());
            }
        }
        self.changed.jobs.insert(instance.task.job.clone());
        self.dirty = true;
        debug!(machine = %id, task = %instance.task, ?phase, "task");
        match phase {
            InstancePhase::Exited(cause) => {
                self.exited(id, instance, cause, first_seen || before != phase, now)
            }
            _ => {
                if !known {
                    self.adopt(id, instance);
                }
                if phase == InstancePhase::Running {
                    self.runs(instance, now);
                }
            }
        }
    }

    /// A task that we did not plan is on the machine: an earlier leader's.
    fn adopt(&mut self, id: &MachineId, instance: &InstanceId) {
        let Some(job) = self.jobs.get_mut(&instance.task.job) else {
            return;
        };
        if instance.task.index >= job.spec.tasks {
            return;
        }
        let placement = Placement {
            machine: id.clone(),
            attempt: instance.attempt,
        };
        let placements = job.placements.entry(instance.task.index).or_default();
        if !placements.contains(&placement) {
            placements.push(placement);
        }
        if job.gang() && job.attempt.is_none_or(|attempt| attempt < instance.attempt) {
            job.attempt = Some(instance.attempt);
        }
    }

    fn runs(&mut self, instance: &InstanceId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&instance.task.job) else {
            return;
        };
        if job.attempt == Some(instance.attempt) {
            job.seen_running = true;
        }
        if job.first_run.is_none() {
            job.first_run = Some(now);
            let wait = now.saturating_duration_since(job.submitted);
            self.waits.push(wait);
        }
    }

    /// A task has ended.
    fn exited(
        &mut self,
        id: &MachineId,
        instance: &InstanceId,
        cause: ExitCause,
        new: bool,
        now: Instant,
    ) {
        self.leave(id, instance);
        if !new {
            return;
        }
        let job_id = &instance.task.job;
        match cause {
            ExitCause::Done => {
                if let Some(job) = self.jobs.get_mut(job_id) {
                    if instance.task.index < job.spec.tasks {
                        job.done.insert(instance.task.index);
                    }
                }
                self.drop_plans(&instance.task);
                self.succeeded(id, job_id);
                self.note_slowdown(id, instance, now);
            }
            ExitCause::Error => self.failed(id, job_id, now),
            ExitCause::InsufficientCapacity
            | ExitCause::AlreadyPresent
            | ExitCause::UnknownTask => {
                warn!(machine = %id, task = %instance.task, ?cause, "start refused");
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.backoff_until = Some(now + secs(REST_AFTER_REFUSAL_S));
                }
            }
            // Of a gang that can never succeed every member fails; what only goes with another was fine.
            ExitCause::GangMemberLost => self.prove(job_id),
            ExitCause::Stopped | ExitCause::GangBarrierTimeout | ExitCause::Other => {}
        }
    }

    /// A task has completed, as an old report of a machine that had been given up shows: where it
    /// was planned anew nothing was sent, and nothing else would ever end that plan.
    fn drop_plans(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let placements = job.placements.get(&task.index).into_iter().flatten();
        let plans: Vec<(MachineId, InstanceId)> = placements
            .map(|placement| {
                let instance = InstanceId {
                    task: task.clone(),
                    attempt: placement.attempt,
                };
                (placement.machine.clone(), instance)
            })
            .filter(|(machine, instance)| {
                let machine = self.machines.get(machine);
                let state = machine.and_then(|machine| machine.instances.get(instance));
                state.is_some_and(|state| !state.sent())
            })
            .collect();
        for (machine, instance) in plans {
            self.remove_instance(&machine, &instance);
        }
    }

    /// Compares how long a task ran with its estimate, and the machine's record with that of
    /// all: estimates are often wrong by half, but not for several jobs on one machine only.
    fn note_slowdown(&mut self, id: &MachineId, instance: &InstanceId, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let state = machine.instances.get(instance);
        let Some((spec, since)) = state.and_then(|s| Some((s.spec.clone()?, s.running_since?)))
        else {
            return;
        };
        if spec.estimate_s <= 0.0 {
            return;
        }
        let ran = now.saturating_duration_since(since).as_secs_f64();
        let slowdown = ran / spec.estimate_s;
        self.slowdowns.push_back(slowdown);
        if self.slowdowns.len() > SLOWDOWNS_KEPT {
            self.slowdowns.pop_front();
        }
        machine
            .slowdowns
            .retain(|(job, _)| *job != instance.task.job);
        machine
            .slowdowns
            .push((instance.task.job.clone(), slowdown));
        if machine.slowdowns.len() > JOBS_TO_COMPARE {
            machine.slowdowns.remove(0);
        }
        let mut sorted: Vec<f64> = self.slowdowns.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let median = sorted[sorted.len() / 2];
        let slow = |(_, slowdown): &(JobId, f64)| *slowdown > median * SLOW_FACTOR;
        let enough =
            machine.slowdowns.len() == JOBS_TO_COMPARE && sorted.len() >= SLOWDOWNS_TO_JUDGE;
        if enough && machine.slowdowns.iter().all(slow) && machine.drain.is_none() {
            warn!(machine = %id, median, slowdowns = ?machine.slowdowns, "slow for several jobs");
            machine.drain = Some(DrainReason::Slow);
        }
    }

    /// Notes that a machine gets a 200 of ours, whatever it is told: its lease may be renewed.
    /// The token it is answered with.
    pub fn mark_answered(&mut self, id: &MachineId, now: Instant) -> FencingToken {
        let first = FencingToken::first(self.term);
        self.machines.get_mut(id).map_or(first, |machine| {
            machine.answered = Some(now);
            machine.token.max(first)
        })
    }

    /// What a machine is told in the answer to its newest report. Starts go out here only:
    /// the worker drops an answer that comes late, so nothing sent here is executed late. Without
    /// `starts` they wait: the replica may lack a cancellation.
    pub fn answer(&mut self, id: &MachineId, now: Instant, starts: bool) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return commands;
        };
        machine.answered = Some(now);
        let (epoch, sequence) = machine.newest;
        let can_start = starts && machine.can_start(now, self.timing.suspect_after);
        for (instance, state) in &mut machine.instances {
            let job = self.jobs.get(&instance.task.job);
            if let InstancePhase::Exited(cause) = state.phase {
                let keep = cause == ExitCause::Done
                    && job.is_some_and(|job| {
                        job.wanted() && !job.done.is_durable(instance.task.index)
                    });
                if !keep {
                    commands.push(WorkerCommand::Clear {
                        task: instance.task.to_string(),
                        attempt: instance.attempt.0,
                    });
                }
                continue;
            }
            let wanted =
                job.is_some_and(|job| job.wanted() && !job.done.contains(instance.task.index));
            if !wanted && state.sent() && state.stop.is_none_or(|stop| stop.grace_s > 0.0) {
                state.stop = Some(super::Termination {
                    grace_s: 0.0,
                    told: None,
                });
            }
            if let Some(stop) = &mut state.stop {
                // Every report of the machine's shows whether the stop has arrived.
                stop.told = None;
            }
            if let Some(command) = stop_command(instance, state, now) {
                commands.push(command);
            }
            let durable = job.is_some_and(|job| job.may_send(id));
            if state.phase == InstancePhase::Planned && wanted && durable && can_start {
                state.phase = InstancePhase::Dispatched { epoch, sequence };
                commands.push(WorkerCommand::Run {
                    task: instance.task.to_string(),
                    attempt: instance.attempt.0,
                });
            }
        }
        machine.recount();
        commands
    }
}
