//! Commands that are sent directly to the agents, and the state summary for the other controllers.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Cluster, InstanceId, InstancePhase, Job, Machine, TaskInstance, WorkerTiming};
use crate::model::{FencingToken, JobId, MachineId};
use crate::rate_limit::TokenBucket;
use crate::state_summary::{MachineSummary, SummaryContents, TaskCounts};
use crate::wire::{DirectCommand, WorkerCommand};

/// Interval between direct repetitions of a termination command. Every response to a heartbeat
/// repeats it as well.
const TERMINATION_REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Shortest interval between two status probes of a machine.
const PROBE_INTERVAL: Duration = Duration::from_secs(3);
/// Lower bound on the limit of status probes per scheduling cycle. Each probe costs about as much
/// as a heartbeat.
const PROBES_PER_CYCLE_MIN: usize = 40;
/// Number of scheduling cycles over which the status probes of all unreconciled machines are
/// spread, if this limit is above its lower bound.
const CYCLES_TO_PROBE_ALL: usize = 50;
/// Processor time of a direct command with its connection.
const COMMAND_CPU_S: f64 = 0.0003;
/// Fraction of the processor for commands that can be deferred: status probes and raised tokens.
/// Without them, the agents still send their next heartbeats a moment later.
const DEFERRABLE_COMMANDS_CPU_FRACTION: f64 = 0.5;

/// Limits deferrable direct commands by the processor time of the controller. On a controller with
/// few cores, 767 starts planned in one cycle raised as many tokens, which delayed all other work
/// for seconds.
#[derive(Debug)]
pub struct CommandBudget {
    bucket: TokenBucket,
}

impl CommandBudget {
    /// A budget for a controller with this many processor cores.
    pub fn new(cores: f64, now: Instant) -> Self {
        let rate = cores * DEFERRABLE_COMMANDS_CPU_FRACTION / COMMAND_CPU_S;
        Self {
            bucket: TokenBucket::new(rate, now),
        }
    }

    /// The number of commands that may be sent now.
    fn available(&mut self, now: Instant) -> usize {
        self.bucket.level(now).max(0.0) as usize
    }

    fn spend(&mut self, count: usize, now: Instant) {
        self.bucket.take(count as f64, now);
    }
}

/// The command that terminates one start of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct TerminationCommand {
    id: InstanceId,
    grace_s: f64,
}

impl From<TerminationCommand> for WorkerCommand {
    fn from(command: TerminationCommand) -> Self {
        Self::Kill {
            task: command.id.task.to_string(),
            attempt: command.id.attempt.0,
            grace_s: command.grace_s,
        }
    }
}

/// Direct commands for one machine. A start can't be among them: a direct command may be executed minutes late, and
/// nothing would bound the time at which the start takes effect.
#[derive(Clone, Debug)]
pub struct AddressedCommand {
    /// The machine that executes the commands.
    pub machine: MachineId,
    /// Where the machine accepts direct commands.
    pub address: String,
    /// The token of the sender, by which the machine rejects late commands of earlier leaders.
    pub token: FencingToken,
    /// The agent epoch in which the commands may be executed.
    pub epoch: u64,
    /// The terminations; none in a status probe or if only the token is raised.
    pub terminations: Vec<TerminationCommand>,
}

impl AddressedCommand {
    /// The body of the request to the machine.
    pub fn body(&self) -> DirectCommand {
        let terminations = self.terminations.iter().cloned();
        DirectCommand {
            token: self.token.0,
            epoch: self.epoch,
            commands: terminations.map(WorkerCommand::from).collect(),
        }
    }
}

impl Cluster {
    /// The commands to send directly now: status probes, terminations, and a raised token where a
    /// start waits for the machine's next heartbeat, since an agent sends a heartbeat at once when
    /// its token rises. Starts are never sent directly.
    pub fn direct_commands(&mut self, now: Instant) -> Vec<AddressedCommand> {
        let mut remaining = self.command_budget.available(now);
        let per_cycle = self.unreconciled.len() / CYCLES_TO_PROBE_ALL;
        let per_cycle = per_cycle.max(PROBES_PER_CYCLE_MIN);
        let mut all = self.status_probes(now, remaining.min(per_cycle));
        let mut deferrable = all.len();
        remaining = remaining.saturating_sub(deferrable);
        for machine in self.machines.values_mut() {
            let commands_due = machine.commands_pending() && machine.fenced;
            if !commands_due || machine.address.is_empty() {
                continue;
            }
            let instances = machine.instances.iter_mut();
            let terminations: Vec<TerminationCommand> = instances
                .filter_map(|(id, instance)| termination_command(id, instance, now))
                .collect();
            let token_raised = remaining > 0 && raise_token(machine, &self.jobs, &self.timing, now);
            if token_raised {
                remaining -= 1;
                deferrable += 1;
            }
            if token_raised || !terminations.is_empty() {
                all.push(AddressedCommand {
                    machine: machine.id.clone(),
                    address: machine.address.clone(),
                    token: machine.token,
                    epoch: machine.last_message.epoch,
                    terminations,
                });
            }
        }
        self.command_budget.spend(deferrable, now);
        all
    }

    /// Status probes: direct commands without content, sent for their responses. They fence
    /// machines from which a new leader has not received a heartbeat, make a machine confirm that
    /// it is reachable, and show whether an apparently old heartbeat comes from a new incarnation.
    fn status_probes(&mut self, now: Instant, limit: usize) -> Vec<AddressedCommand> {
        let mut all = Vec::new();
        let first = FencingToken::first(self.term);
        let probe_due = |at: Option<Instant>| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= PROBE_INTERVAL)
        };
        // Machines never probed come first, then those probed longest ago, so that unresponsive
        // machines never displace the others.
        let unreconciled = self
            .unreconciled
            .iter()
            .filter_map(|id| self.machines.get(id));
        let due = unreconciled
            .filter(|m| !m.fenced && !m.address.is_empty() && probe_due(m.last_probed_at));
        let mut due: Vec<(Option<Instant>, MachineId)> = due
            .map(|machine| (machine.last_probed_at, machine.id.clone()))
            .collect();
        due.sort();
        for (_, id) in due.into_iter().take(limit) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.last_probed_at = Some(now);
                all.push(status_probe(machine, machine.last_message.epoch, first));
            }
        }
        for machine in self.machines.values_mut() {
            if !machine.reachability.is_confirmed()
                && probe_due(machine.last_probed_at)
                && !machine.address.is_empty()
            {
                // If the probe arrives, the agent sends its next heartbeat at once, which confirms
                // it.
                machine.last_probed_at = Some(now);
                all.push(status_probe(machine, machine.last_message.epoch, first));
                continue;
            }
            let Some(pending) = &mut machine.pending_probe else {
                continue;
            };
            if !probe_due(pending.last_sent_at) || machine.address.is_empty() || all.len() >= limit
            {
                continue;
            }
            pending.last_sent_at = Some(now);
            let epoch = pending.epoch;
            all.push(status_probe(machine, epoch, first));
        }
        all
    }

    /// Records that a command sent at `sent_at` got no response.
    pub fn record_unanswered_command(&mut self, id: &MachineId, sent_at: Instant) {
        if let Some(machine) = self.machines.get_mut(id) {
            // A heartbeat received since then outweighs the missing response.
            if machine.last_heartbeat_at.is_none_or(|at| at < sent_at) {
                machine.unanswered_commands += 1;
            }
        }
    }

    /// The part of the state summary that changed since the last call, for the other controllers.
    pub fn take_summary_changes(&mut self) -> SummaryContents {
        let changed = std::mem::take(&mut self.unpublished);
        self.summary_of(changed.jobs.iter(), changed.machines.iter())
    }

    /// The complete state summary, for a controller that lacks it.
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
                contents.task_counts.push(TaskCounts { id, done, running });
            } else {
                contents.ended_jobs.push(id.clone());
            }
        }
        for id in machines {
            let Some(machine) = self.machines.get(id) else {
                contents.removed_machines.push(id.clone());
                continue;
            };
            let images = machine.images.iter();
            let summary = MachineSummary {
                address: machine.address.clone(),
                epoch: machine.last_message.epoch,
                images: images
                    .map(|(image, gb)| (self.images.name(*image).to_owned(), *gb as f32))
                    .collect(),
            };
            if machine.last_heartbeat_at.is_some() {
                contents.machines.push((id.clone(), summary));
            }
        }
        contents
    }
}

fn status_probe(machine: &Machine, epoch: u64, first: FencingToken) -> AddressedCommand {
    AddressedCommand {
        machine: machine.id.clone(),
        address: machine.address.clone(),
        token: machine.token.max(first),
        // Epochs start at 1.
        epoch: epoch.max(1),
        terminations: Vec::new(),
    }
}

/// Raises the machine's token if a start waits for its heartbeat, and returns whether it did.
/// Agents react to a raised token only once per half worker lease.
fn raise_token(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    timing: &WorkerTiming,
    now: Instant,
) -> bool {
    let since = |at: Instant| now.saturating_duration_since(at);
    let may_raise = machine
        .token_raised_at
        .is_none_or(|at| since(at) >= timing.lease / 2);
    if !may_raise || !machine.can_start(now, timing.suspect_after) {
        return false;
    }
    let start_waits = machine.instances.iter().any(|(instance, state)| {
        let job = jobs.get(&instance.task.job);
        state.phase == InstancePhase::Planned
            && job.is_some_and(|job| job.is_schedulable() && job.may_dispatch_to(&machine.id))
    });
    let Some(raised) = machine.token.raised().filter(|_| start_waits) else {
        return false;
    };
    machine.token = raised;
    machine.token_raised_at = Some(now);
    true
}

/// The termination command to send for an instance now, if one is due.
pub(super) fn termination_command(
    id: &InstanceId,
    instance: &mut TaskInstance,
    now: Instant,
) -> Option<TerminationCommand> {
    let may_be_present = instance.is_dispatched() && instance.occupies();
    let termination = instance.termination.as_mut().filter(|_| may_be_present)?;
    let checkpointing = instance.phase == InstancePhase::Checkpointing && termination.grace_s > 0.0;
    let recently_sent = termination
        .last_sent_at
        .is_some_and(|at| now.saturating_duration_since(at) < TERMINATION_REPEAT_INTERVAL);
    if checkpointing || recently_sent {
        return None;
    }
    termination.last_sent_at = Some(now);
    Some(TerminationCommand {
        id: id.clone(),
        grace_s: termination.grace_s,
    })
}
