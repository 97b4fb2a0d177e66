//! A leader in the process of the test, with the handlers of heartbeats and batches, a store in memory and a clock
//! that the test advances. Another leader can be elected on the same store at once.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use futures_util::FutureExt;
use knotlanding::api::workers::{receive_heartbeat, HeartbeatOutcome};
use knotlanding::cluster::{AddressedCommand, Cluster, HeartbeatSource};
use knotlanding::config::{Peer, Settings};
use knotlanding::forwarding::messages::{BatchAnswer, HeartbeatBatch, BATCH_VERSION};
use knotlanding::leader::Leadership;
use knotlanding::model::{JobId, JobSpec, Term};
use knotlanding::peer::heartbeats::answer_batch;
use knotlanding::peer::{decode, encode};
use knotlanding::sched;
use knotlanding::service::Shared;
use knotlanding::store::cancellation::{self, CancellationPlan};
use knotlanding::store::{Change, KeyValue, Transaction, TransactionOutcome, Value, WatchEvent};
use knotlanding::time::unix_ms;
use knotlanding::wire::{self, Heartbeat, HeartbeatResponse};

use crate::common;
use crate::test_leader::{accepted_job_records, fixed_wall_time, machine_types};

/// The follower that forwards heartbeats.
const FOLLOWER: &str = "knot-1";
const LEASE: u64 = 7;

/// How a heartbeat reaches the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The agent sends it to the leader.
    Direct,
    /// A follower forwards it in a batch.
    Forwarded,
}

/// A request with a heartbeat, as the leader receives it.
#[derive(Clone, Debug)]
pub enum HeartbeatRequest {
    Heartbeat(Vec<u8>),
    Batch(Vec<u8>),
}

pub struct LeaderWithStore {
    pub shared: Arc<Shared>,
    term: Term,
    rows: BTreeMap<String, (Value, u64)>,
    revision: u64,
    started_at: Instant,
    now: Instant,
}

fn settings() -> Settings {
    let text = common::settings_with_unreachable_addresses();
    let mut settings = Settings::parse(&text, "a test").unwrap();
    settings.peers.push(Peer {
        member: FOLLOWER.to_owned(),
        zone: "north".to_owned(),
        peer_addr: "127.0.0.1:9".parse().unwrap(),
    });
    settings
}

impl LeaderWithStore {
    /// The leader of term 1, without jobs or machines.
    pub fn new() -> Self {
        let started_at = Instant::now() + Duration::from_secs(100_000);
        let mut leader = Self {
            shared: Shared::new(settings()),
            term: Term(0),
            rows: BTreeMap::new(),
            revision: 0,
            started_at,
            now: started_at,
        };
        leader.elect_new_process();
        leader
    }

    /// Ends the process; another one leads in the next term at once, with what the store holds.
    pub fn elect_new_process(&mut self) {
        self.term = Term(self.term.0 + 1);
        self.shared = Shared::new(settings());
        let rows = self.rows.iter().map(|(key, (value, version))| KeyValue {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        let shared = self.shared.clone();
        shared.replica.lock().load(rows.collect(), self.revision);
        let cluster = Cluster::recover(
            self.term,
            &shared.settings,
            &shared.replica.lock(),
            Arc::new(machine_types()),
            self.now,
            self.wall_time(),
        );
        *shared.cluster.lock() = Some(cluster);
        let mut election = shared.election.lock();
        election.hold_lease(LEASE, self.now);
        let leadership = self.leadership();
        election.become_leader(leadership);
    }

    fn leadership(&self) -> Leadership {
        Leadership {
            term: self.term,
            version: 1,
        }
    }

    fn wall_time(&self) -> SystemTime {
        fixed_wall_time() + (self.now - self.started_at)
    }

    /// Advances the clock, with a renewed lease and a complete replica.
    pub fn advance(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
        self.shared.election.lock().lease_renewed(LEASE, self.now);
        self.shared.replica_complete(self.now);
    }

    /// Commits a transaction, and shows its changes to the replica.
    fn commit(&mut self, transaction: &Transaction) -> TransactionOutcome {
        let version_of = |key: &str| self.rows.get(key).map_or(0, |(_, version)| *version);
        for condition in &transaction.conditions {
            assert_eq!(version_of(&condition.key), condition.version);
        }
        self.revision += 1;
        let mut events = Vec::new();
        for change in &transaction.changes {
            let (put_key, deleted_key, value) = match change {
                Change::Put { key, value, .. } => {
                    let row = (value.clone(), self.revision);
                    self.rows.insert(key.clone(), row);
                    (Some(key.clone()), None, Some(value.clone()))
                }
                Change::Delete { key } => {
                    self.rows.remove(key);
                    (None, Some(key.clone()), None)
                }
            };
            events.push(WatchEvent {
                put_key,
                deleted_key,
                value,
                version: self.revision,
            });
        }
        let changes = self.shared.replica.lock().apply(&events, self.revision);
        let (now, wall_time) = (self.now, self.wall_time());
        self.shared.replica_changed_at(&changes, now, wall_time);
        TransactionOutcome::Committed(self.revision)
    }

    /// Accepts a job.
    pub fn submit(&mut self, spec: &JobSpec) {
        let records = accepted_job_records(spec, false).into_iter();
        let changes = records.map(|(key, value)| Change::put(key, value));
        self.commit(&Transaction::new(Vec::new(), changes.collect()));
    }

    /// Cancels a job by the record of its cancellation.
    pub fn cancel(&mut self, id: &JobId) {
        let plan = cancellation::plan(&self.shared.replica.lock(), id);
        let CancellationPlan::Write(write) = plan else {
            panic!("the job has not ended: {plan:?}");
        };
        self.commit(&write.transaction(id));
        self.shared.cancellation_recorded(id);
    }

    /// Runs a scheduling cycle, writes its records and returns its direct commands.
    pub fn run_cycle(&mut self) -> Vec<AddressedCommand> {
        let shared = self.shared.clone();
        let (writes, commands) = {
            let mut guard = shared.cluster.lock();
            let cluster = guard.as_mut().unwrap();
            shared.apply_operator_drains(cluster);
            cluster.expire(self.now);
            let decisions = sched::run_cycle(cluster, &shared.policy, self.now);
            sched::apply(cluster, &decisions, self.now);
            let replica = shared.replica.lock();
            (
                cluster.due_writes(&replica, self.now),
                cluster.direct_commands(self.now),
            )
        };
        for write in writes {
            let outcome = self.commit(&write.transaction);
            let mut guard = shared.cluster.lock();
            let cluster = guard.as_mut().unwrap();
            cluster.apply_write_outcome(&write.kind, &outcome);
        }
        commands
    }

    /// A heartbeat as the leader would receive it now.
    pub fn request(&self, heartbeat: Heartbeat, route: Route) -> HeartbeatRequest {
        match route {
            Route::Direct => HeartbeatRequest::Heartbeat(wire::encode(&heartbeat)),
            Route::Forwarded => {
                let batch = HeartbeatBatch {
                    version: BATCH_VERSION,
                    member: FOLLOWER.to_owned(),
                    term: self.term,
                    sent_at_ms: unix_ms(self.wall_time()),
                    heartbeats: vec![heartbeat.into()],
                };
                HeartbeatRequest::Batch(encode(&batch).unwrap())
            }
        }
    }

    /// The response with status 200 to a request, if there is one.
    pub fn respond(&self, request: &HeartbeatRequest) -> Option<HeartbeatResponse> {
        let now = self.now;
        match request {
            HeartbeatRequest::Heartbeat(bytes) => {
                let body = Ok(bytes.clone().into());
                let HeartbeatOutcome::Answered(response) =
                    receive_heartbeat(&self.shared, body, &|| now)
                else {
                    panic!("the leader forwards no heartbeat");
                };
                let is_accepted = response.status() == 200;
                let body = actix_web::body::to_bytes(response.into_body());
                let body = body.now_or_never().unwrap().unwrap();
                is_accepted.then(|| wire::decode(&body).unwrap())
            }
            HeartbeatRequest::Batch(bytes) => {
                let answer = answer_batch(&self.shared, bytes, &|| now, self.wall_time());
                let bytes = encode(&answer.ok()?).unwrap();
                let answer: BatchAnswer = decode(&bytes).unwrap();
                answer.answers.into_iter().next()?.accepted()
            }
        }
    }

    /// Applies the heartbeat with which an agent responded to a direct command that was just sent.
    pub fn receive_command_response(&self, heartbeat: &Heartbeat) {
        let source = HeartbeatSource::Command(self.now);
        self.shared.with_cluster_of(self.term, |cluster| {
            cluster.apply_heartbeat(heartbeat, source, self.now);
        });
    }
}
