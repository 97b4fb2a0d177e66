//! The scheduling actor: it runs scheduling cycles, each on all events since the last one, writes the
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
use crate::demand::TermDemand;
use crate::leader::Leadership;
use crate::model::{MachineId, Term};
use crate::pending_reason::PendingReason;
use crate::sched::{self, Decisions};
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::{keys, Condition, StoreError, TransactionOutcome};
use crate::wire::{self, Heartbeat};

/// Shortest time between two cycles. Events that arrive in between are handled together.
const CYCLE_INTERVAL_MIN: Duration = Duration::from_millis(150);
/// Longest time between two cycles, so that timeouts are handled without any event.
const CYCLE_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// After a cycle the loop pauses for this many times the duration of the cycle, so that cycles leave
/// processor time to the rest of the process.
const CYCLE_PAUSE_FACTOR: u32 = 8;
/// A cycle that starts late by at least this much shows that no cycles ran for a while, as when the
/// process was paused.
const CYCLE_GAP_MIN: Duration = Duration::from_millis(1500);
/// Longest pause after a cycle. If the process was paused during the cycle, the duration of the cycle
/// is no measure of its cost.
const CYCLE_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Backoff of all writes after one that failed.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Timeout for the response to a direct command. Without a response, the agent gets the command with the
/// response to its next heartbeat.
const DIRECT_COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// The unmet demand, written by the scheduler and read by the fleet.
pub type SharedDemand = Arc<Mutex<TermDemand>>;

/// Runs the scheduling loop of this process; cycles run only while it leads.
pub struct SchedulerActor {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    unmet_demand: SharedDemand,
}

impl SchedulerActor {
    /// Records are written through `store`, and direct commands are sent through `http`.
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
            write_backoff_until: Mutex::default(),
            direct_command_permits: Semaphore::new(self.shared.sockets.direct_commands),
        };
        actix::spawn(Rc::new(scheduler).run());
    }
}

/// The pause after a cycle, by the duration of the cycle.
fn pause_after(cycle_duration: Duration) -> Duration {
    (cycle_duration * CYCLE_PAUSE_FACTOR).clamp(CYCLE_INTERVAL_MIN, CYCLE_PAUSE_MAX)
}

struct SchedulerLoop {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    unmet_demand: SharedDemand,
    write_backoff_until: Mutex<Option<Instant>>,
    /// Limits the direct commands in flight, each of which takes a socket.
    direct_command_permits: Semaphore,
}

/// Results of a scheduling cycle that are handled without the lock on the cluster state.
struct CycleOutcome {
    direct_commands: Vec<AddressedCommand>,
    /// Times from submission to the first running task, for the jobs whose first running task appeared in a
    /// heartbeat since the last cycle.
    start_waits: Vec<Duration>,
    /// Time that the reconciliation of all machines after a failover took; only in the cycle in which it
    /// ended.
    reconciled_after: Option<Duration>,
}

impl SchedulerLoop {
    async fn run(self: Rc<Self>) {
        // The term of the last cycle, and when the next cycle of that term is due at the latest.
        let mut next_cycle: Option<(Term, Instant)> = None;
        loop {
            let began_at = Instant::now();
            let leadership = self.shared.election.lock().leadership(began_at);
            if let Some(leadership) = &leadership {
                if let Some((_, due_at)) = next_cycle.filter(|(term, _)| *term == leadership.term) {
                    self.resume_after_pause(leadership, due_at, began_at);
                }
                self.run_cycle(leadership, began_at);
            }
            let pause = pause_after(began_at.elapsed());
            if let Some(leadership) = &leadership {
                next_cycle = Some((leadership.term, began_at + pause.max(CYCLE_INTERVAL_MAX)));
            }
            actix::clock::sleep(pause).await;
            let notification = self.shared.wake_ups.scheduler.notified();
            let _ =
                actix::clock::timeout(CYCLE_INTERVAL_MAX.saturating_sub(pause), notification).await;
        }
    }

    /// Shifts the times of the cluster state after a time without cycles, as when the process was
    /// paused or the key-value store was unavailable: heartbeats missed meanwhile are no evidence that
    /// machines have failed.
    fn resume_after_pause(&self, leadership: &Leadership, due_at: Instant, now: Instant) {
        let missed = now.saturating_duration_since(due_at);
        if missed < CYCLE_GAP_MIN {
            return;
        }
        info!(?missed, "scheduling resumed after a pause");
        self.shared.with_cluster_of(leadership.term, |cluster| {
            cluster.resume_after_pause(missed, now);
        });
    }

    /// Runs one scheduling cycle, writes the records it needs and sends its direct commands.
    fn run_cycle(self: &Rc<Self>, leadership: &Leadership, now: Instant) {
        let Some(outcome) = self.decide(leadership, now) else {
            return;
        };
        let writes = self.due_writes(leadership, now);
        let commands = outcome.direct_commands;
        let (command_count, write_count) = (commands.len() as u64, writes.len() as u64);
        for write in writes {
            actix::spawn(self.clone().write_records(leadership.clone(), write));
        }
        for command in commands {
            actix::spawn(self.clone().send_command(command));
        }
        let mut metrics = self.shared.metrics.lock();
        metrics.add_scheduling_cycle(now.elapsed());
        metrics.counts.direct_commands += command_count;
        metrics.counts.records_written += write_count;
        if let Some(reconciled_after) = outcome.reconciled_after {
            metrics.failovers.record(reconciled_after);
        }
        for wait in outcome.start_waits {
            metrics.job_waits.record(wait);
        }
    }

    /// Runs the scheduling policy and applies its decisions to the cluster state, if the state is of
    /// the current term.
    fn decide(&self, leadership: &Leadership, now: Instant) -> Option<CycleOutcome> {
        let refusal = self.shared.links.placement_refusal();
        let starts_allowed = refusal.is_none()
            && self
                .shared
                .election
                .lock()
                .leadership_for_starts(now)
                .is_some();
        let mut guard = self.shared.cluster.lock();
        let cluster = guard
            .as_mut()
            .filter(|cluster| cluster.term == leadership.term)?;
        self.shared.apply_operator_drains(cluster);
        cluster.expire(now);
        // Without starts no new decisions are made, since jobs may have been cancelled without this
        // process having read it; earlier decisions are still carried out.
        let decisions = if starts_allowed {
            sched::run_cycle(cluster, &self.shared.policy, now)
        } else {
            let reason = refusal.map_or(PendingReason::StaleReplica, PendingReason::Gate);
            cluster.set_pending_reason(reason);
            Decisions::default()
        };
        sched::apply(cluster, &decisions, now);
        cluster.scheduling_needed = false;
        self.log_and_count(&decisions, cluster);
        if starts_allowed {
            let demand = TermDemand::new(leadership.term, decisions.unmet_demand);
            *self.unmet_demand.lock() = demand;
        }
        Some(CycleOutcome {
            direct_commands: cluster.direct_commands(now),
            start_waits: std::mem::take(&mut cluster.start_delays),
            reconciled_after: cluster.take_reconciliation_time(now),
        })
    }

    fn log_and_count(&self, decisions: &Decisions, cluster: &Cluster) {
        let starts: usize = decisions
            .starts
            .iter()
            .map(|start| start.members.len())
            .sum();
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
        let backoff = *self.write_backoff_until.lock();
        if backoff.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let replica = self.shared.replica.lock();
        let due = |cluster: &mut Cluster| cluster.due_writes(&replica, now);
        let writes = self.shared.with_cluster_of(leadership.term, due);
        writes.unwrap_or_default()
    }

    /// Writes records on which the cluster state waits, on condition that this controller still leads.
    async fn write_records(self: Rc<Self>, leadership: Leadership, mut write: RecordWrite) {
        let condition = Condition::new(keys::LEADER, leadership.version);
        write.transaction.conditions.push(condition);
        let response = self
            .store
            .send(Commit(write.transaction, write.priority))
            .await;
        let outcome = response.unwrap_or(TransactionOutcome::Failed(StoreError::OutcomeUnknown));
        let revision = outcome.revision();
        debug!(kind = ?write.kind, urgency = ?write.priority, revision, "record write completed");
        if !outcome.committed() {
            debug!(kind = ?write.kind, ?outcome, "record write failed");
            *self.write_backoff_until.lock() = Some(Instant::now() + WRITE_RETRY_DELAY);
        }
        self.shared.with_cluster_of(leadership.term, |cluster| {
            cluster.apply_write_outcome(&write.kind, &outcome);
        });
        self.shared.wake_ups.scheduler.notify_one();
    }

    /// Sends a direct command to an agent: terminations, or only a higher token. The agent responds with a
    /// heartbeat. A late or repeated command does no harm: it names an attempt, which starts again only as a
    /// gang member that was lost before its gang began.
    async fn send_command(self: Rc<Self>, command: AddressedCommand) {
        let (machine, address) = (&command.machine, &command.address);
        // A command that waits for a permit is also sent with the response to the next heartbeat of its
        // machine.
        let Ok(_permit) = self.direct_command_permits.acquire().await else {
            return;
        };
        // The leadership may have ended during the wait for a permit, or during a pause of the process.
        let term = command.token.term();
        let leading = self.shared.election.lock().leadership(Instant::now());
        if leading.is_none_or(|leadership| leadership.term != term) {
            return;
        }
        let sent_at = Instant::now();
        let response = self
            .http
            .post(format!("http://{address}/orders"))
            .timeout(DIRECT_COMMAND_TIMEOUT)
            // Connections that are kept open would take a second socket per machine.
            .force_close()
            .content_type(wire::CBOR_CONTENT_TYPE)
            .send_body(wire::encode(&command.body()))
            .await;
        let Ok(mut response) = response else {
            debug!(%machine, "direct command unanswered");
            self.shared.with_cluster_of(term, |cluster| {
                cluster.record_unanswered_command(machine, sent_at);
            });
            return;
        };
        let Ok(bytes) = response.body().limit(wire::BODY_BYTES_MAX).await else {
            return;
        };
        let Ok(heartbeat) = wire::decode::<Heartbeat>(&bytes) else {
            return;
        };
        self.handle_command_response(machine, term, &heartbeat, sent_at);
    }

    /// Applies the heartbeat with which an agent responds to a direct command that was sent at `sent_at`.
    fn handle_command_response(
        &self,
        machine: &MachineId,
        term: Term,
        heartbeat: &Heartbeat,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        let source = HeartbeatSource::Command(sent_at);
        let verified = self.shared.with_cluster_of(term, |cluster| {
            cluster.apply_heartbeat(heartbeat, source, now)
        });
        if let Some(verified) = verified {
            debug!(%machine, ?verified, "direct command answered");
        }
        if verified != Some(HeartbeatOrdering::Deposed) {
            self.shared.wake_ups.scheduler.notify_one();
        }
    }
}

#[cfg(test)]
mod tests;
