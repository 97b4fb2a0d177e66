//! The commands in the response to a heartbeat.

use std::time::Instant;

use crate::cluster::commands::termination_command;
use crate::cluster::{Cluster, InstanceId, InstancePhase, Job, TaskInstance, Termination};
use crate::model::{FencingToken, MachineId};
use crate::wire::{ExitCause, WorkerCommand};

/// Whether a machine may drop an exited task from its heartbeats. A completion of an active job has
/// to be recorded first.
fn may_clear(job: Option<&Job>, instance: &InstanceId, cause: ExitCause) -> bool {
    let unrecorded = |job: &Job| job.is_active() && !job.done.is_durable(instance.task.index);
    cause != ExitCause::Done || !job.is_some_and(unrecorded)
}

/// Requests the immediate termination of a task that must not run, also during a checkpoint.
fn terminate_unwanted(state: &mut TaskInstance) {
    if state.is_dispatched()
        && state
            .termination
            .is_none_or(|termination| termination.grace_s > 0.0)
    {
        state.termination = Some(Termination {
            grace_s: 0.0,
            last_sent_at: None,
        });
    }
}

/// The command that drops an exited task from the machine's heartbeats.
fn clear_command(instance: &InstanceId) -> WorkerCommand {
    WorkerCommand::Clear {
        task: instance.task.to_string(),
        attempt: instance.attempt.0,
    }
}

fn run_command(instance: &InstanceId) -> WorkerCommand {
    WorkerCommand::Run {
        task: instance.task.to_string(),
        attempt: instance.attempt.0,
    }
}

impl Cluster {
    /// Records that a machine is sent a response with status 200, which may renew the worker lease
    /// whatever commands it contains. Returns the token for the response.
    pub fn record_response(&mut self, id: &MachineId, now: Instant) -> FencingToken {
        let first = FencingToken::first(self.term);
        self.machines.get_mut(id).map_or(first, |machine| {
            machine.last_response_at = Some(now);
            machine.token.max(first)
        })
    }

    /// The commands in the response to a machine's last heartbeat. Only such responses carry
    /// starts: the agent drops a late response, so no start in it takes effect late. If `starts` is
    /// false, planned starts wait, since the replica may lack a cancellation.
    pub fn respond(&mut self, id: &MachineId, now: Instant, starts: bool) -> Vec<WorkerCommand> {
        let mut commands = Vec::new();
        let Some(machine) = self.machines.get_mut(id) else {
            return commands;
        };
        machine.last_response_at = Some(now);
        let in_reply_to = machine.last_message;
        let can_start = starts && machine.can_start(now, self.timing.suspect_after);
        for (instance, state) in &mut machine.instances {
            let job = self.jobs.get(&instance.task.job);
            if let InstancePhase::Exited(cause) = state.phase {
                if may_clear(job, instance, cause) {
                    commands.push(clear_command(instance));
                }
                continue;
            }
            let wanted =
                job.is_some_and(|job| job.is_active() && !job.done.contains(instance.task.index));
            if !wanted {
                terminate_unwanted(state);
            }
            if let Some(termination) = &mut state.termination {
                // Every heartbeat shows whether the termination command has arrived, so it may be
                // sent again.
                termination.last_sent_at = None;
            }
            let termination = termination_command(instance, state, now);
            commands.extend(termination.map(WorkerCommand::from));
            let recorded = job.is_some_and(|job| job.may_dispatch_to(id));
            if state.phase == InstancePhase::Planned && wanted && recorded && can_start {
                state.phase = InstancePhase::Dispatched { in_reply_to };
                commands.push(run_command(instance));
            }
        }
        machine.update_load();
        commands
    }
}
