//! Owner of the round: takes all that happened since the last one, decides, writes down what
//! has to be written, and sends stops straight away.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use actix::prelude::*;
use awc::Client;
use knotlanding_links::gate::GateRefusal;
use parking_lot::Mutex;
use tokio::sync::Semaphore;
use tracing::{debug, info};

use crate::cluster::{AddressedCommand, HeartbeatSource, RecordWrite, Verified};
use crate::demand::UnmetDemand;
use crate::leader::Leadership;
use crate::model::{FencingToken, Term};
use crate::sched::{self, Decisions};
use crate::service::Shared;
use crate::store::actor::{Commit, StoreActor};
use crate::store::{keys, Condition, StoreError, TransactionOutcome};
use crate::wire::{self, Heartbeat, WorkerCommand};

/// Shortest time between two rounds: events gather meanwhile.
const ROUND_INTERVAL_MIN: Duration = Duration::from_millis(150);
/// Longest time between two rounds, so that what time alone brings is seen.
const ROUND_INTERVAL_MAX: Duration = Duration::from_secs(1);
/// A round may take up to this part of the time; the more it costs, the rarer it gets.
const ROUND_PART: u32 = 8;
/// A round that is late by this much is so because nothing of us ran.
const STOOD_STILL: Duration = Duration::from_millis(1500);
/// Longest pause after a round that took long: when the process stood still in the middle of
/// one, that says nothing of what rounds cost.
const ROUND_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause after a write that failed.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// A worker that has not taken a direct command by then gets it by its report.
const ORDER_LIMIT: Duration = Duration::from_secs(2);

/// What jobs wait for while the replica is too old for starts.
const FRESH_READ: &str = "a fresh read of the records";

/// The latest round's shortages, for the fleet.
pub type SharedDemand = Arc<Mutex<Vec<UnmetDemand>>>;

/// The actor.
pub struct SchedulerActor {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    unmet_demand: SharedDemand,
}

impl SchedulerActor {
    /// A round that writes through `store` and commands workers through `http`.
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
        let rounds = SchedulerLoop {
            shared: self.shared.clone(),
            store: self.store.clone(),
            http: self.http.clone(),
            unmet_demand: self.unmet_demand.clone(),
            writes_backoff_until: Mutex::default(),
            at_once: Semaphore::new(self.shared.sockets.direct),
        };
        actix::spawn(Rc::new(rounds).run());
    }
}

/// How long to leave the processor to others after a round that took so long.
fn pause_after(took: Duration) -> Duration {
    (took * ROUND_PART).clamp(ROUND_INTERVAL_MIN, ROUND_PAUSE_MAX)
}

struct SchedulerLoop {
    shared: Arc<Shared>,
    store: Addr<StoreActor>,
    http: Client,
    unmet_demand: SharedDemand,
    writes_backoff_until: Mutex<Option<Instant>>,
    /// AddressedCommand commands under way, each with a socket.
    at_once: Semaphore,
}

impl SchedulerLoop {
    async fn run(self: Rc<Self>) {
        // The term of the round before and when the next one was due.
        let mut due: Option<(Term, Instant)> = None;
        loop {
            let began = Instant::now();
            let leadership = self.shared.election.lock().leadership(began);
            if let Some(leadership) = &leadership {
                if let Some((_, due)) = due.filter(|(term, _)| *term == leadership.term) {
                    self.resume(leadership, due, began);
                }
                self.round(leadership, began);
            }
            let pause = pause_after(began.elapsed());
            if let Some(leadership) = &leadership {
                due = Some((leadership.term, began + pause.max(ROUND_INTERVAL_MAX)));
            }
            actix::clock::sleep(pause).await;
            let woken = self.shared.wake_ups.scheduler.notified();
            let _ = actix::clock::timeout(ROUND_INTERVAL_MAX.saturating_sub(pause), woken).await;
        }
    }

    /// After a time without rounds, as when the process stood still or the state service was
    /// out, what was not heard meanwhile says nothing about the machines.
    fn resume(&self, leadership: &Leadership, due: Instant, now: Instant) {
        let missed = now.saturating_duration_since(due);
        if missed < STOOD_STILL {
            return;
        }
        info!(?missed, "rounds go on");
        let mut guard = self.shared.cluster.lock();
        if let Some(cluster) = guard.as_mut().filter(|c| c.term == leadership.term) {
            cluster.resume(missed, now);
        }
    }

    fn round(self: &Rc<Self>, leadership: &Leadership, now: Instant) {
        let refusal = self.shared.links.placement_refusal();
        let starting = refusal.is_none()
            && self
                .shared
                .election
                .lock()
                .leadership_for_starts(now)
                .is_some();
        let (direct, waits, settled) = {
            let mut guard = self.shared.cluster.lock();
            let Some(cluster) = guard.as_mut().filter(|c| c.term == leadership.term) else {
                return;
            };
            self.shared.drain_by_operator(cluster);
            cluster.expire(now);
            // Of jobs that may have been cancelled unseen nothing is decided; what was decided
            // before goes on.
            let decisions = if starting {
                sched::round(cluster, &self.shared.policy, now)
            } else {
                cluster.all_wait_for(refusal.map_or(FRESH_READ, GateRefusal::reason));
                Decisions::default()
            };
            sched::apply(cluster, &decisions, now);
            cluster.dirty = false;
            let starts: usize = decisions.starts.iter().map(|s| s.members.len()).sum();
            let stops = decisions.terminations.len() + decisions.gang_stops.len();
            if starts + stops > 0 {
                let unreconciled = cluster.unreconciled.len();
                info!(
                    starts,
                    stops,
                    unmet_demand = decisions.unmet_demand.len(),
                    unreconciled,
                    "round"
                );
                let mut metrics = self.shared.metrics.lock();
                metrics.counts.starts += starts as u64;
                metrics.counts.stops += stops as u64;
            }
            if starting {
                *self.unmet_demand.lock() = decisions.unmet_demand;
            }
            let direct = cluster.direct_commands(now);
            let waits = std::mem::take(&mut cluster.waits);
            (direct, waits, cluster.take_settled_after(now))
        };
        let writes = self.due_writes(leadership, now);
        let (commands, records) = (direct.len() as u64, writes.len() as u64);
        for write in writes {
            actix::spawn(self.clone().write(leadership.clone(), write));
        }
        for command in direct {
            actix::spawn(self.clone().command(command));
        }
        let mut metrics = self.shared.metrics.lock();
        metrics.add_round(now.elapsed());
        metrics.counts.direct_commands += commands;
        metrics.counts.records_written += records;
        if let Some(settled) = settled {
            metrics.failovers.add(settled);
        }
        for wait in waits {
            metrics.waits.add(wait);
        }
    }

    fn due_writes(&self, leadership: &Leadership, now: Instant) -> Vec<RecordWrite> {
        let rest = *self.writes_backoff_until.lock();
        if rest.is_some_and(|until| now < until) {
            return Vec::new();
        }
        let replica = self.shared.replica.lock();
        let mut guard = self.shared.cluster.lock();
        let cluster = guard.as_mut().filter(|c| c.term == leadership.term);
        cluster.map_or(Vec::new(), |cluster| cluster.due_writes(&replica, now))
    }

    /// Writes what the cluster state waits for, on condition that we still lead.
    async fn write(self: Rc<Self>, leadership: Leadership, mut write: RecordWrite) {
        let condition = Condition::new(keys::LEADER, leadership.version);
        write.group.conditions.push(condition);
        let sent = self.store.send(Commit(write.group, write.urgency)).await;
        let outcome = sent.unwrap_or(TransactionOutcome::Failed(StoreError::Unknown));
        debug!(kind = ?write.kind, urgency = ?write.urgency, "write ended");
        if !outcome.committed() {
            debug!(kind = ?write.kind, ?outcome, "write failed");
            *self.writes_backoff_until.lock() = Some(Instant::now() + WRITE_RETRY_DELAY);
        }
        if let Some(cluster) = self.shared.cluster.lock().as_mut() {
            if cluster.term == leadership.term {
                cluster.written(&write.kind, &outcome);
            }
        }
        self.shared.wake_ups.scheduler.notify_one();
    }

    /// Sends stops straight to a worker. Late or repeated they do no harm, since no attempt
    /// is ever used twice.
    async fn command(self: Rc<Self>, direct: AddressedCommand) {
        let AddressedCommand {
            machine,
            address,
            body,
        } = direct;
        // What waits here waits for its machine's report as well, whichever comes first.
        let Ok(_permit) = self.at_once.acquire().await else {
            return;
        };
        // Waiting for a place, or standing still, may have taken longer than the lead lasts.
        let leading = self.shared.election.lock().leadership(Instant::now());
        if leading.is_none_or(|leadership| leadership.term != FencingToken(body.token).term()) {
            return;
        }
        let asked = Instant::now();
        debug_assert!(!body
            .commands
            .iter()
            .any(|o| matches!(o, WorkerCommand::Run { .. })));
        let sent = self
            .http
            .post(format!("http://{address}/orders"))
            .timeout(ORDER_LIMIT)
            // Kept open, these would take a socket a machine beside the machine's own.
            .force_close()
            .content_type(wire::CBOR)
            .send_body(wire::encode(&body))
            .await;
        let Ok(mut answer) = sent else {
            debug!(%machine, "no answer to a direct command");
            if let Some(cluster) = self.shared.cluster.lock().as_mut() {
                cluster.command_unanswered(&machine, asked);
            }
            return;
        };
        let Ok(bytes) = answer.body().limit(wire::BODY_LIMIT).await else {
            return;
        };
        let Ok(heartbeat) = wire::decode::<Heartbeat>(&bytes) else {
            return;
        };
        let now = Instant::now();
        if let Some(cluster) = self.shared.cluster.lock().as_mut() {
            if cluster.term == FencingToken(body.token).term() {
                let verified =
                    cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Command(asked), now);
                debug!(%machine, ?verified, "direct command answered");
                if verified == Verified::Deposed {
                    return;
                }
            }
        }
        self.shared.wake_ups.scheduler.notify_one();
    }
}

#[cfg(test)]
mod tests;
