//! What a worker's report does to the cluster state, and what it is answered.

use std::time::{Duration, Instant};

use knotlanding_links::reachability::Reachability;
use tracing::{debug, info, warn};

use super::commands::stop_order;
use super::machine::{Drain, Machine, Phase, Slot, SlotId};
use super::{build_named, Cluster, Place};
use crate::model::{Attempt, JobId, MachineId, TaskId, Token};
use crate::time::secs;
use crate::wire::{Cause, Order, Report, ReportedTask, TaskPhase};

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
pub enum ReportSource {
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
fn phase_of(reported: &ReportedTask) -> Phase {
    match reported.phase {
        TaskPhase::Pulling => Phase::Pulling,
        TaskPhase::Gathering => Phase::Gathering,
        TaskPhase::Running => Phase::Running,
        TaskPhase::Flushing => Phase::Flushing,
        TaskPhase::Exited => Phase::Exited(reported.cause.unwrap_or(Cause::Other)),
    }
}

impl Cluster {
    /// Takes a report. One that the worker sent by itself shows what became of starts sent in
    /// the answer to the one before, but may be a late copy; one that answers a command of ours
    /// is as fresh as the command.
    pub fn report(&mut self, report: &Report, source: ReportSource, now: Instant) -> Verified {
        let own = source == ReportSource::Worker;
        let token = Token(report.token);
        if token.term() > self.term {
            return Verified::Deposed;
        }
        let id = MachineId(report.machine.as_str().into());
        if self.departed.contains(&id) {
            return Verified::Older;
        }
        if !self.is_news(&id, report, source, now) {
            return Verified::Older;
        }
        let newest = (report.session, report.seq);
        let Some(was_busy) = self.take_header(&id, report, now) else {
            return Verified::Older;
        };
        let listed = self.take_tasks(&id, report, now);
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
        report: &Report,
        source: ReportSource,
        now: Instant,
    ) -> bool {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), now));
        let number = (report.session, report.seq);
        // After a new beginning, copies of what the former life said may have higher numbers.
        let own = source == ReportSource::Worker;
        let former = own && Token(report.token) < machine.life;
        if machine.reported.is_none() || !(former || number <= machine.newest) {
            return true;
        }
        let asked_since = match source {
            ReportSource::Worker => false,
            ReportSource::Command(at) => machine.reported.is_some_and(|reported| at > reported),
        };
        if !asked_since || number == machine.newest {
            // A late copy, or a machine that begins again at one: asking it tells.
            if number < machine.newest && machine.probe.is_none() {
                machine.probe = Some((report.session, None));
            }
            return false;
        }
        // Within one life numbers only grow, and this was said after we had the newest.
        info!(machine = %id, "begins again");
        self.restarted(id);
        true
    }

    /// Takes all of a newer report but its tasks; whether the machine was busy before it.
    fn take_header(&mut self, id: &MachineId, report: &Report, now: Instant) -> Option<bool> {
        let machine = self.machines.get_mut(id)?;
        let rose = machine.reported.is_some() && report.session > machine.newest.0;
        let held = machine
            .answered
            .is_some_and(|at| now.saturating_duration_since(at) < self.timing.lease);
        if rose && held {
            // Its lease ended although we answered.
            warn!(machine = %id, "its lease ended though we answered");
            machine.doubt(now);
        }
        machine.newest = (report.session, report.seq);
        machine.probe = None;
        machine.in_vain = 0;
        machine.met.get_or_insert(now);
        if machine.reported.is_none() {
            self.dirty = true;
            machine.idle_since = now;
            if let Some(hint) = self.hints.remove(id) {
                let images = hint.images.iter();
                let images = images.map(|(name, gb)| (self.images.id(name), f64::from(*gb)));
                machine.images = images.collect();
            }
            self.changed.machines.insert(id.clone());
        }
        machine.reported = Some(now);
        self.take_description(id, report);
        self.take_standing(id, report, now)
    }

    /// Takes what the machine is: its address, type, zone and kind.
    fn take_description(&mut self, id: &MachineId, report: &Report) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.address.clone_from(&report.address);
        let known = machine.kind.and_then(|kind| self.kinds.get(kind));
        let same = known.is_some_and(|kind| {
            kind.build == report.build && kind.zone == report.zone && kind.spot == report.spot
        });
        if !same {
            machine.build.clone_from(&report.build);
            machine.zone.clone_from(&report.zone);
            machine.spot = report.spot;
            let kind = self.kinds.id(&report.build, &report.zone, report.spot);
            machine.kind = Some(kind);
        }
    }

    /// Takes how the machine stands: its notice, the token it has seen, whether it holds nothing;
    /// whether it was busy before.
    fn take_standing(&mut self, id: &MachineId, report: &Report, now: Instant) -> Option<bool> {
        let machine = self.machines.get_mut(id)?;
        let leaves = report.notice_s.map(|s| now + secs(s));
        if machine.leaves.is_some() != leaves.is_some() {
            info!(machine = %id, notice_s = ?report.notice_s, "spot notice");
            self.dirty = true;
        }
        machine.leaves = leaves;
        let token = Token(report.token);
        machine.fenced = token.term() == self.term;
        machine.reachability.heard(token.0);
        machine.token = machine.token.max(token).max(Token::first(self.term));
        let was_fresh = machine.fresh;
        machine.fresh = report.token == 0 && report.tasks.is_empty() && machine.known_to_cloud;
        let was_busy = machine.busy();
        if was_fresh && !report.tasks.is_empty() {
            // What made it look fresh was a late copy: its room is not what it seemed.
            let plans = machine.slots.iter().filter(|(_, state)| !state.sent());
            let plans: Vec<SlotId> = plans.map(|(slot, _)| slot.clone()).collect();
            for slot in plans {
                self.drop_slot(id, &slot);
            }
        }
        Some(was_busy)
    }

    /// Takes the tasks of a report; all that could be read.
    fn take_tasks(&mut self, id: &MachineId, report: &Report, now: Instant) -> Vec<SlotId> {
        let mut listed = Vec::with_capacity(report.tasks.len());
        for reported in &report.tasks {
            let Some(task) = TaskId::parse(&reported.task) else {
                continue;
            };
            let slot = SlotId {
                task,
                attempt: Attempt(reported.attempt),
            };
            self.see(id, &slot, phase_of(reported), now);
            listed.push(slot);
        }
        listed
    }

    /// The machine is not waited for any longer.
    pub(super) fn settled(&mut self, id: &MachineId) {
        if !self.unsettled.remove(id) {
            return;
        }
        self.dirty = true;
        if self.unsettled.is_empty() {
            info!(term = self.term.0, "all machines settled");
        }
    }

    /// How long after the take-over all machines were settled, told once.
    pub fn take_settled_after(&mut self, now: Instant) -> Option<Duration> {
        if self.settled_told || !self.unsettled.is_empty() {
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
            machine.life = raised;
        }
        machine.token_raised_at = None;
        machine.reachability = Reachability::default();
        machine.images.clear();
        let slots: Vec<SlotId> = machine.slots.keys().cloned().collect();
        for slot in slots {
            self.drop_slot(id, &slot);
        }
        self.dirty = true;
    }

    /// Removes what a fenced machine's report does not show any more.
    fn settle(
        &mut self,
        id: &MachineId,
        newest: (u64, u64),
        (own, now): (bool, Instant),
        listed: &[SlotId],
    ) {
        let Some(machine) = self.machines.get(id) else {
            return;
        };
        let gone: Vec<SlotId> = machine
            .slots
            .iter()
            .filter(|(slot, _)| !listed.contains(slot))
            .filter(|(_, state)| match state.phase {
                Phase::Planned => false,
                // A direct command's answer may overtake the answer that carried the start.
                Phase::Sent { session, seq } => {
                    newest.0 > session || (own && newest > (session, seq))
                }
                _ => true,
            })
            .map(|(slot, _)| slot.clone())
            .collect();
        let lost = gone.iter().any(|slot| {
            let state = machine.slots.get(slot);
            state.is_some_and(|state| matches!(state.phase, Phase::Sent { .. }))
        });
        for slot in gone {
            debug!(machine = %id, task = %slot.task, "gone");
            self.drop_slot(id, &slot);
        }
        if let Some(machine) = self.machines.get_mut(id).filter(|_| lost) {
            // An answer of ours did not arrive: the next may not either.
            machine.doubt(now);
        }
    }

    /// Takes one task of a report.
    fn see(&mut self, id: &MachineId, slot: &SlotId, phase: Phase, now: Instant) {
        let job = self.jobs.get(&slot.task.job);
        let (spec, image) = job.map(|job| (job.spec.clone(), job.image)).unzip();
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let known = machine.slots.contains_key(slot);
        let state = machine.slots.entry(slot.clone()).or_insert_with(|| Slot {
            spec,
            phase: Phase::Pulling,
            since: now,
            running_since: None,
            stop: None,
            image,
        });
        let before = state.phase;
        let first_seen = !known || matches!(before, Phase::Planned | Phase::Sent { .. });
        state.phase = phase;
        if phase == Phase::Running && state.running_since.is_none() {
            state.running_since = Some(now);
        }
        let has_image = matches!(
            phase,
            Phase::Gathering | Phase::Running | Phase::Exited(Cause::Done)
        );
        if before == phase && known {
            return;
        }
        let needs = state
            .image
            .zip(state.spec.as_ref().map(|spec| spec.image_gb));
        if let (true, Some((image, gb))) = (has_image, needs) {
            let cache = build_named(&self.catalog, &machine.build).map_or(0.0, |b| b.cache_gb);
            let known = machine.has_image(image);
            machine.used_image(image, gb, cache);
            if !known {
                self.changed.machines.insert(id.clone());
            }
        }
        self.changed.jobs.insert(slot.task.job.clone());
        self.dirty = true;
        debug!(machine = %id, task = %slot.task, ?phase, "task");
        match phase {
            Phase::Exited(cause) => {
                self.exited(id, slot, cause, first_seen || before != phase, now)
            }
            _ => {
                if !known {
                    self.adopt(id, slot);
                }
                if phase == Phase::Running {
                    self.runs(slot, now);
                }
            }
        }
    }

    /// A task that we did not plan is on the machine: an earlier leader's.
    fn adopt(&mut self, id: &MachineId, slot: &SlotId) {
        let Some(job) = self.jobs.get_mut(&slot.task.job) else {
            return;
        };
        if slot.task.index >= job.spec.tasks {
            return;
        }
        let place = Place {
            machine: id.clone(),
            attempt: slot.attempt,
        };
        let places = job.places.entry(slot.task.index).or_default();
        if !places.contains(&place) {
            places.push(place);
        }
        if job.gang() && job.attempt.is_none_or(|attempt| attempt < slot.attempt) {
            job.attempt = Some(slot.attempt);
        }
    }

    fn runs(&mut self, slot: &SlotId, now: Instant) {
        let Some(job) = self.jobs.get_mut(&slot.task.job) else {
            return;
        };
        if job.attempt == Some(slot.attempt) {
            job.begun = true;
        }
        if job.first_run.is_none() {
            job.first_run = Some(now);
            let wait = now.saturating_duration_since(job.submitted);
            self.waits.push(wait);
        }
    }

    /// A task has ended.
    fn exited(&mut self, id: &MachineId, slot: &SlotId, cause: Cause, new: bool, now: Instant) {
        self.leave(id, slot);
        if !new {
            return;
        }
        let job_id = &slot.task.job;
        match cause {
            Cause::Done => {
                if let Some(job) = self.jobs.get_mut(job_id) {
                    if slot.task.index < job.spec.tasks {
                        job.done.insert(slot.task.index);
                    }
                }
                self.drop_plans(&slot.task);
                self.succeeded(id, job_id);
                self.note_slowdown(id, slot, now);
            }
            Cause::Error => self.failed(id, job_id, now),
            Cause::NoRoom | Cause::InUse | Cause::Unknown => {
                warn!(machine = %id, task = %slot.task, ?cause, "start refused");
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.rests_until = Some(now + secs(REST_AFTER_REFUSAL_S));
                }
            }
            // Of a gang that can never succeed every member fails; what only goes with another was fine.
            Cause::MatesGone => self.prove(job_id),
            Cause::Stopped | Cause::Alone | Cause::Other => {}
        }
    }

    /// A task has completed, as an old report of a machine that had been given up shows: where it
    /// was planned anew nothing was sent, and nothing else would ever end that plan.
    fn drop_plans(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let places = job.places.get(&task.index).into_iter().flatten();
        let plans: Vec<(MachineId, SlotId)> = places
            .map(|place| {
                let slot = SlotId {
                    task: task.clone(),
                    attempt: place.attempt,
                };
                (place.machine.clone(), slot)
            })
            .filter(|(machine, slot)| {
                let machine = self.machines.get(machine);
                let state = machine.and_then(|machine| machine.slots.get(slot));
                state.is_some_and(|state| !state.sent())
            })
            .collect();
        for (machine, slot) in plans {
            self.drop_slot(&machine, &slot);
        }
    }

    /// Compares how long a task ran with its estimate, and the machine's record with that of
    /// all: estimates are often wrong by half, but not for several jobs on one machine only.
    fn note_slowdown(&mut self, id: &MachineId, slot: &SlotId, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        let state = machine.slots.get(slot);
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
        machine.slowdowns.retain(|(job, _)| *job != slot.task.job);
        machine.slowdowns.push((slot.task.job.clone(), slowdown));
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
            machine.drain = Some(Drain::Slow);
        }
    }

    /// Notes that a machine gets a 200 of ours, whatever it is told: its lease may be renewed.
    /// The token it is answered with.
    pub fn mark_answered(&mut self, id: &MachineId, now: Instant) -> Token {
        let first = Token::first(self.term);
        self.machines.get_mut(id).map_or(first, |machine| {
            machine.answered = Some(now);
            machine.token.max(first)
        })
    }

    /// What a machine is told in the answer to its newest report. Starts go out here only:
    /// the worker drops an answer that comes late, so nothing sent here is executed late. Without
    /// `starts` they wait: the replica may lack a cancellation.
    pub fn answer(&mut self, id: &MachineId, now: Instant, starts: bool) -> Vec<Order> {
        let mut orders = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return orders;
        };
        machine.answered = Some(now);
        let (session, seq) = machine.newest;
        let can_start = starts && machine.can_start(now, self.timing.quiet);
        for (slot, state) in &mut machine.slots {
            let job = self.jobs.get(&slot.task.job);
            if let Phase::Exited(cause) = state.phase {
                let keep = cause == Cause::Done
                    && job.is_some_and(|job| job.wanted() && !job.done.is_durable(slot.task.index));
                if !keep {
                    orders.push(Order::Clear {
                        task: slot.task.to_string(),
                        attempt: slot.attempt.0,
                    });
                }
                continue;
            }
            let wanted = job.is_some_and(|job| job.wanted() && !job.done.contains(slot.task.index));
            if !wanted && state.sent() && state.stop.is_none_or(|stop| stop.grace_s > 0.0) {
                state.stop = Some(super::Stop {
                    grace_s: 0.0,
                    told: None,
                });
            }
            if let Some(stop) = &mut state.stop {
                // Every report of the machine's shows whether the stop has arrived.
                stop.told = None;
            }
            if let Some(order) = stop_order(slot, state, now) {
                orders.push(order);
            }
            let durable = job.is_some_and(|job| job.may_send(id));
            if state.phase == Phase::Planned && wanted && durable && can_start {
                state.phase = Phase::Sent { session, seq };
                orders.push(Order::Run {
                    task: slot.task.to_string(),
                    attempt: slot.attempt.0,
                });
            }
        }
        machine.recount();
        orders
    }
}
