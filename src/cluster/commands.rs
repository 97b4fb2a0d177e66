//! Commands that go directly to the workers, and the summary for the other controllers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Cluster, InstanceId, InstancePhase, Job, Machine, TaskInstance, WorkerTiming};
use crate::model::{FencingToken, JobId, MachineId};
use crate::rate_limit::TokenBucket;
use crate::state_summary::{Counts, MachineSummary, SummaryContents};
use crate::wire::{DirectCommand, WorkerCommand};

/// A stop is repeated in every answer to a heartbeat; directly only after this long.
const REPEAT_STOP: Duration = Duration::from_secs(2);
/// A machine that was probed is not probed again sooner.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Machines probed in one scheduling cycle at least: each costs about as much as a heartbeat.
const PROBES_PER_CYCLE_MIN: usize = 40;
/// Scheduling cycles in which all machines of an earlier term are probed once, if there are more.
const CYCLES_TO_PROBE_ALL: usize = 50;
/// Processor time that a direct command takes with its connection.
const COMMAND_CPU_S: f64 = 0.0003;
/// Part of the processor for those that can wait: the machines send heartbeats by themselves in a moment.
const COMMANDS_PART: f64 = 0.5;

/// How many direct commands may go that can wait, by the processor's share. Seen with a small
/// share: 767 starts planned in one cycle, and as many raised tokens delayed all else for seconds.
#[derive(Debug)]
pub struct CommandBudget {
    bucket: TokenBucket,
}

impl CommandBudget {
    /// For a machine with such a share of a processor.
    pub fn new(cores: f64, now: Instant) -> Self {
        let rate = cores * COMMANDS_PART / COMMAND_CPU_S;
        Self {
            bucket: TokenBucket::new(rate, now),
        }
    }

    /// How many may go now.
    fn left(&mut self, now: Instant) -> usize {
        self.bucket.level(now).max(0.0) as usize
    }

    fn take(&mut self, count: usize, now: Instant) {
        self.bucket.take(count as f64, now);
    }
}

/// Commands for one machine.
#[derive(Debug)]
pub struct AddressedCommand {
    /// The machine.
    pub machine: MachineId,
    /// Where it takes them.
    pub address: String,
    /// The commands.
    pub body: DirectCommand,
}

impl Cluster {
    /// Commands to be sent directly: stops, and a raised token where a start waits for the
    /// machine's next heartbeat, since a worker sends one at once when its token rises. A start
    /// itself never goes this way.
    pub fn direct_commands(&mut self, now: Instant) -> Vec<AddressedCommand> {
        let mut left = self.command_budget.left(now);
        let per_cycle = self.unreconciled.len() / CYCLES_TO_PROBE_ALL;
        let per_cycle = per_cycle.max(PROBES_PER_CYCLE_MIN);
        let mut all = self.status_probes(now, left.min(per_cycle));
        let mut can_wait = all.len();
        left = left.saturating_sub(can_wait);
        for machine in self.machines.values_mut() {
            let wanted = machine.commands_pending() && machine.fenced;
            if !wanted || machine.address.is_empty() {
                continue;
            }
            let mut commands = Vec::new();
            for (id, instance) in &mut machine.instances {
                if let Some(command) = stop_command(id, instance, now) {
                    commands.push(command);
                }
            }
            let token_raised = left > 0 && raise_token(machine, &self.jobs, &self.timing, now);
            if token_raised {
                left -= 1;
                can_wait += 1;
            }
            if token_raised || !commands.is_empty() {
                all.push(AddressedCommand {
                    machine: machine.id.clone(),
                    address: machine.address.clone(),
                    body: DirectCommand {
                        token: machine.token.0,
                        epoch: machine.last_message.epoch,
                        commands,
                    },
                });
            }
        }
        self.command_budget.take(can_wait, now);
        all
    }

    /// Status probes: direct commands without content, for the sake of their answers. They fence
    /// machines that a new leader has not heard from, and show whether what looks like an old
    /// heartbeat comes from a new incarnation.
    fn status_probes(&mut self, now: Instant, most: usize) -> Vec<AddressedCommand> {
        let mut all = Vec::new();
        let first = FencingToken::first(self.term);
        let again = |at: Option<Instant>| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
        };
        // Machines never probed come first, then those probed longest ago: those that don't answer
        // must not take the turn of those that would.
        let unreconciled = self
            .unreconciled
            .iter()
            .filter_map(|id| self.machines.get(id));
        let due =
            unreconciled.filter(|m| !m.fenced && !m.address.is_empty() && again(m.last_probe));
        let mut due: Vec<(Option<Instant>, MachineId)> = due
            .map(|machine| (machine.last_probe, machine.id.clone()))
            .collect();
        due.sort();
        for (_, id) in due.into_iter().take(most) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.last_probe = Some(now);
                all.push(status_probe(machine, machine.last_message.epoch, first));
            }
        }
        for machine in self.machines.values_mut() {
            if !machine.reachability.confirmed()
                && again(machine.last_probe)
                && !machine.address.is_empty()
            {
                // If this arrives, its next heartbeat comes at once and confirms it.
                machine.last_probe = Some(now);
                all.push(status_probe(machine, machine.last_message.epoch, first));
                continue;
            }
            let Some(pending) = &mut machine.pending_probe else {
                continue;
            };
            if !again(pending.last_sent) || machine.address.is_empty() || all.len() >= most {
                continue;
            }
            pending.last_sent = Some(now);
            let epoch = pending.epoch;
            all.push(status_probe(machine, epoch, first));
        }
        all
    }

    /// A command sent at that time was not answered.
    pub fn record_unanswered_command(&mut self, id: &MachineId, asked: Instant) {
        if let Some(machine) = self.machines.get_mut(id) {
            // What was heard since shows more than this.
            if machine.last_heartbeat_at.is_none_or(|at| at < asked) {
                machine.unanswered_commands += 1;
            }
        }
    }

    /// What changed since this was last taken, for the other controllers.
    pub fn take_summary_changes(&mut self) -> SummaryContents {
        let changed = std::mem::take(&mut self.unpublished);
        self.summary_of(changed.jobs.iter(), changed.machines.iter())
    }

    /// The whole summary, for a controller that lacks it.
    pub fn full_summary(&self) -> SummaryContents {
        self.summary_of(self.jobs.keys(), self.machines.keys())
    }

    fn summary_of<'a>(
        &self,
        jobs: impl Iterator<Item = &'a JobId>,
        machines: impl Iterator<Item = &'a MachineId>,
    ) -> SummaryContents {
        let mut contents = SummaryContents::default();
        for id in jobs {
            if self.jobs.contains_key(id) {
                let (done, running) = self.task_counts(id);
                let id = id.clone();
                contents.counts.push(Counts { id, done, running });
            } else {
                contents.over.push(id.clone());
            }
        }
        for id in machines {
            let Some(machine) = self.machines.get(id) else {
                contents.gone.push(id.clone());
                continue;
            };
            let images = machine.images.iter();
            let hint = MachineSummary {
                address: machine.address.clone(),
                epoch: machine.last_message.epoch,
                images: images
                    .map(|(image, gb)| (self.images.name(*image).to_owned(), *gb as f32))
                    .collect(),
            };
            if machine.last_heartbeat_at.is_some() {
                contents.hints.push((id.clone(), hint));
            }
        }
        contents
    }
}

/// A direct command without content.
fn status_probe(machine: &Machine, epoch: u64, first: FencingToken) -> AddressedCommand {
    AddressedCommand {
        machine: machine.id.clone(),
        address: machine.address.clone(),
        body: DirectCommand {
            token: machine.token.max(first).0,
            // Epochs begin at one.
            epoch: epoch.max(1),
            commands: Vec::new(),
        },
    }
}

/// Raises the machine's token if a start waits for its heartbeat; whether it did. Workers heed
/// that once in half a lease only.
fn raise_token(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    timing: &WorkerTiming,
    now: Instant,
) -> bool {
    let since = |at: Instant| now.saturating_duration_since(at);
    let heeded = machine
        .token_raised_at
        .is_none_or(|at| since(at) >= timing.lease / 2);
    if !heeded || !machine.can_start(now, timing.suspect_after) {
        return false;
    }
    let waits = machine.instances.iter().any(|(instance, state)| {
        let job = jobs.get(&instance.task.job);
        state.phase == InstancePhase::Planned
            && job.is_some_and(|job| job.is_schedulable() && job.may_dispatch_to(&machine.id))
    });
    let Some(raised) = machine.token.raised().filter(|_| waits) else {
        return false;
    };
    machine.token = raised;
    machine.token_raised_at = Some(now);
    true
}

/// The stop to send for an instance now, if one is due.
pub(super) fn stop_command(
    id: &InstanceId,
    instance: &mut TaskInstance,
    now: Instant,
) -> Option<WorkerCommand> {
    let sent = instance.is_dispatched() && instance.occupies();
    let stop = instance.termination.as_mut().filter(|_| sent)?;
    let saving = instance.phase == InstancePhase::Checkpointing && stop.grace_s > 0.0;
    let recent = stop
        .last_sent
        .is_some_and(|at| now.saturating_duration_since(at) < REPEAT_STOP);
    if saving || recent {
        return None;
    }
    stop.last_sent = Some(now);
    Some(WorkerCommand::Kill {
        task: id.task.to_string(),
        attempt: id.attempt.0,
        grace_s: stop.grace_s,
    })
}
