//! The actor of the scheduling cycle: runs cycles on all that happened since the last one, writes the
//! records that their decisions need, and sends direct commands.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use awc::Client;
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tracing::{debug, info};

use crate::cluster::{AddressedCommand, Cluster, HeartbeatOrdering, HeartbeatSource, RecordWrite};
use crate::demand::UnmetDemand;
use crate::leader::Leadership;
use crate::model::{FencingToken, MachineId, Term};
use crate::pending_reason::PendingReason;
use crate::sched::{self, Decisions};
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::{keys, Condition, StoreError, TransactionOutcome};
use crate::wire::{self, Heartbeat, WorkerCommand};

/// Shortest time between two cycles: events gather meanwhile.
const CYCLE_INTERVAL_MIN: Duration = Duration::from_millis(150);
/// Longest time between two cycles, so that timeouts are seen.
const CYCLE_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// After a cycle the loop pauses for this many times its duration, so that cycles leave the
/// processor to others.
const PAUSE_FACTOR: u32 = 8;
/// A cycle that is late by this much is so because the process was paused.
const PROCESS_PAUSE_MIN: Duration = Duration::from_millis(1500);
/// Longest pause after a cycle that took long: when the process was paused in the middle of one,
/// its duration says nothing of what cycles cost.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause after a write that failed.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// A worker that has not taken a direct command by then gets it with the answer to its heartbeat.
const DIRECT_COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// The unmet demand of the latest cycle, for the fleet.
pub type SharedDemand = Arc<Mutex<Vec<UnmetDemand>>>;

/// The actor.
pub struct SchedulerActor {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    unmet_demand: SharedDemand,
}

impl SchedulerActor {
    /// A scheduler that writes through `store` and commands workers through `http`.
    pub fn new(
        shared: Arc<Shared>,
        store: Addr<StoreActor>,
        http: Client,
        unmet_demand: SharedDemand,
    ) -> Self {
        Self {
            shared,
            store,
            http,
            unmet_demand,
        }
    }
}

impl Actor for SchedulerActor {
    type Context = Context<Self>;

    fn started(&mut self, _: &mut Self::Context) {
        let scheduler = SchedulerLoop {
            shared: self.shared.clone(),
            store: self.store.clone(),
            http: self.http.clone(),
            unmet_demand: self.unmet_demand.clone(),
            writes_backoff_until: Mutex::default(),
            direct_commands: Semaphore::new(self.shared.sockets.direct_commands),
        };
        actix::spawn(Rc::new(scheduler).run());
    }
}

/// How long to leave the processor to others after a cycle that took so long.
fn pause_after(took: Duration) -> Duration {
    (took * PAUSE_FACTOR).clamp(CYCLE_INTERVAL_MIN, PAUSE_MAX)
}

struct SchedulerLoop {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    unmet_demand: SharedDemand,
    writes_backoff_until: Mutex<Option<Instant>>,
    /// Limits the direct commands in flight, each of which takes a socket.
    direct_commands: Semaphore,
}

/// What a scheduling cycle leaves to be done without the cluster state.
struct CycleOutcome {
    direct_commands: Vec<AddressedCommand>,
    /// How long jobs were pending whose first start was seen since the last cycle.
    start_waits: Vec<Duration>,
    /// How long it took to reconcile all machines after a failover, if that has just ended.
    reconciled_after: Option<Duration>,
}

impl SchedulerLoop {
    async fn run(self: Rc<Self>) {
        // The term of the cycle before and when the next one was due.
        let mut due: Option<(Term, Instant)> = None;
        loop {
            let began = Instant::now();
            let leadership = self.shared.election.lock().leadership(began);
            if let Some(leadership) = &leadership {
                if let Some((_, due)) = due.filter(|(term, _)| *term == leadership.term) {
                    self.resume(leadership, due, began);
                }
                self.run_cycle(leadership, began);
            }
            let pause = pause_after(began.elapsed());
            if let Some(leadership) = &leadership {
                due = Some((leadership.term, began + pause.max(CYCLE_INTERVAL_MAX)));
            }
            actix::clock::sleep(pause).await;
            let woken = self.shared.wake_ups.scheduler.notified();
            let _ = actix::clock::timeout(CYCLE_INTERVAL_MAX.saturating_sub(pause), woken).await;
        }
    }

    /// After a time without cycles, as when the process was paused or the key-value store was out,
    /// heartbeats missed meanwhile are no evidence against the machines.
    fn resume(&self, leadership: &Leadership, due: Instant, now: Instant) {
        let missed = now.saturating_duration_since(due);
        if missed < PROCESS_PAUSE_MIN {
            return;
        }
        info!(?missed, "scheduling resumed after a pause");
        let mut guard = self.shared.cluster.lock();
        if let Some(cluster) = guard.as_mut().filter(|c| c.term == leadership.term) {
            cluster.resume(missed, now);
        }
    }

    /// Runs one scheduling cycle, writes the records it needs and sends its direct commands.
    fn run_cycle(self: &Rc<Self>, leadership: &Leadership, now: Instant) {
        let Some(outcome) = self.decide(leadership, now) else {
            return;
        };
        let writes = self.due_writes(leadership, now);
        let commands = outcome.direct_commands;
        let (commands_sent, records_written) = (commands.len() as u64, writes.len() as u64);
        for write in writes {
            actix::spawn(self.clone().write(leadership.clone(), write));
        }
        for command in commands {
            actix::spawn(self.clone().command(command));
        }
        let mut metrics = self.shared.metrics.lock();
        metrics.add_scheduling_cycle(now.elapsed());
        metrics.counts.direct_commands += commands_sent;
        metrics.counts.records_written += records_written;
        if let Some(reconciled_after) = outcome.reconciled_after {
            metrics.failovers.record(reconciled_after);
        }
        for wait in outcome.start_waits {
            metrics.job_waits.record(wait);
        }
    }

    /// Decides and applies the decisions to the cluster state, if that is of the present term.
    fn decide(&self, leadership: &Leadership, now: Instant) -> Option<CycleOutcome> {
        let refusal = self.shared.links.placement_refusal();
        let starting = refusal.is_none()
            && self
                .shared
                .election
                .lock()
                .leadership_for_starts(now)
                .is_some();
        let mut guard = self.shared.cluster.lock();
        let cluster = guard.as_mut().filter(|c| c.term == leadership.term)?;
        self.shared.drain_by_operator(cluster);
        cluster.expire(now);
        // Nothing is decided of jobs that may have been cancelled unseen; what was decided
        // before goes on.
        let decisions = if starting {
            sched::run_cycle(cluster, &self.shared.policy, now)
        } else {
            let reason = refusal.map_or(PendingReason::StaleReplica, PendingReason::Gate);
            cluster.set_pending_reason(reason);
            Decisions::default()
        };
        sched::apply(cluster, &decisions, now);
        cluster.scheduling_needed = false;
        self.count(&decisions, cluster);
        if starting {
            *self.unmet_demand.lock() = decisions.unmet_demand;
        }
        Some(CycleOutcome {
            direct_commands: cluster.direct_commands(now),
            start_waits: std::mem::take(&mut cluster.start_delays),
            reconciled_after: cluster.take_reconciliation_time(now),
        })
    }

    fn count(&self, decisions: &Decisions, cluster: &Cluster) {
        let starts: usize = decisions.starts.iter().map(|s| s.members.len()).sum();
        let stops = decisions.terminations.len() + decisions.gang_restarts.len();
        if starts + stops == 0 {
            return;
        }
        info!(
            starts,
            stops,
            unmet_demand = decisions.unmet_demand.len(),
            unreconciled = cluster.unreconciled.len(),
            "scheduling cycle"
        );
        let mut metrics = self.shared.metrics.lock();
        metrics.counts.starts += starts as u64;
        metrics.counts.stops += stops as u64;
    }

    fn due_writes(&self, leadership: &Leadership, now: Instant) -> Vec<RecordWrite> {
        let backoff = *self.writes_backoff_until.lock();
        if backoff.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let replica = self.shared.replica.lock();
        let mut guard = self.shared.cluster.lock();
        let cluster = guard.as_mut().filter(|c| c.term == leadership.term);
        cluster.map_or(Vec::new(), |cluster| cluster.due_writes(&replica, now))
    }

    /// Writes records that the cluster state waits for, on condition that this controller still leads.
    async fn write(self: Rc<Self>, leadership: Leadership, mut write: RecordWrite) {
        let condition = Condition::new(keys::LEADER, leadership.version);
        write.group.conditions.push(condition);
        let sent = self.store.send(Commit(write.group, write.urgency)).await;
        let outcome = sent.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown));
        debug!(kind = ?write.kind, urgency = ?write.urgency, "record write completed");
        if !outcome.committed() {
            debug!(kind = ?write.kind, ?outcome, "record write failed");
            *self.writes_backoff_until.lock() = Some(Instant::now() + WRITE_RETRY_DELAY);
        }
        if let Some(cluster) = self.shared.cluster.lock().as_mut() {
            if cluster.term == leadership.term {
                cluster.written(&write.kind, &outcome);
            }
        }
        self.shared.wake_ups.scheduler.notify_one();
    }

    /// Sends a direct command to a worker: terminations, or a raised token that makes it send a
    /// heartbeat. Late or repeated it does no harm, since no attempt is ever used twice.
    async fn command(self: Rc<Self>, direct: AddressedCommand) {
        let AddressedCommand {
            machine,
            address,
            body,
        } = direct;
        // A command that waits here also leaves with the answer to the next heartbeat of its machine.
        let Ok(_permit) = self.direct_commands.acquire().await else {
            return;
        };
        // Waiting for a permit, or a pause of the process, may have outlasted the leadership.
        let term = FencingToken(body.token).term();
        let leading = self.shared.election.lock().leadership(Instant::now());
        if leading.is_none_or(|leadership| leadership.term != term) {
            return;
        }
        let sent_at = Instant::now();
        debug_assert!(!body
            .commands
            .iter()
            .any(|o| matches!(o, WorkerCommand::Run { .. })));
        let sent = self
            .http
            .post(format!("http://{address}/orders"))
            .timeout(DIRECT_COMMAND_TIMEOUT)
            // Kept open, these would take a second socket for each machine.
            .force_close()
            .content_type(wire::CBOR_CONTENT_TYPE)
            .send_body(wire::encode(&body))
            .await;
        let Ok(mut answer) = sent else {
            debug!(%machine, "direct command unanswered");
            if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                cluster.command_unanswered(&machine, sent_at);
            }
            return;
        };
        let Ok(bytes) = answer.body().limit(wire::BODY_BYTES_MAX).await else {
            return;
        };
        let Ok(heartbeat) = wire::decode::<Heartbeat>(&bytes) else {
            return;
        };
        self.command_answered(&machine, term, &heartbeat, sent_at);
    }

    /// Takes the heartbeat with which a worker answers a direct command.
    fn command_answered(
        &self,
        machine: &MachineId,
        term: Term,
        heartbeat: &Heartbeat,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        if let Some(cluster) = self.shared.cluster.lock().as_mut() {
            if cluster.term == term {
                let source = HeartbeatSource::Command(sent_at);
                let verified = cluster.apply_heartbeat(heartbeat, source, now);
                debug!(%machine, ?verified, "direct command answered");
                if verified == HeartbeatOrdering::Deposed {
                    return;
                }
            }
        }
        self.shared.wake_ups.scheduler.notify_one();
    }
}

#[cfg(test)]
mod tests;
