//! Meetings of troubles, at the border where a report is answered: what leaves, and what does not,
//! by what this process knows at that moment.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scene.rs"]
mod scene;

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use ciborium::{cbor, Value};
use knotlanding::api::workers::{receive_heartbeat, HeartbeatOutcome};
use knotlanding::cluster::Cluster;
use knotlanding::config::Settings;
use knotlanding::leader::Leadership;
use knotlanding::model::{Attempt, JobId, MachineId, TaskId, Term, Verdict};
use knotlanding::service::Shared;
use knotlanding::store::keys::{self, JobRecord};
use knotlanding::store::replica::ReplicaChange;
use knotlanding::store::{to_value, KeyValue, TransactionOutcome};
use knotlanding::timing::LEADER_LEASE_MIN;
use scene::{accepted, array, machine_types};

/// The answer of a node that has nobody to forward the report to.
fn answered_here(reception: HeartbeatOutcome) -> actix_web::HttpResponse {
    match reception {
        HeartbeatOutcome::Answered(answer) => answer,
        HeartbeatOutcome::Queued(pending) => panic!("forwarded: {pending:?}"),
    }
}

/// A leader of one machine, with a clock that the test moves.
struct LoneLeader {
    shared: Arc<Shared>,
    start: Instant,
    now: Instant,
    sequence: u64,
    token: u64,
    tasks: Vec<(String, u64)>,
}

const MACHINE: &str = "m-000001";

impl LoneLeader {
    /// A leader whose records name one job of one task, with a fresh replica.
    fn new() -> Self {
        let text = common::settings_of_nobody();
        let shared = Shared::new(Settings::parse(&text, "a test").unwrap());
        let start = Instant::now();
        let rows = accepted(&array("wk-000001", 1), false).into_iter();
        let rows = rows.enumerate().map(|(at, (key, value))| KeyValue {
            key,
            value,
            version: at as u64 + 1,
        });
        shared.replica.lock().load(rows.collect(), 10);
        let cluster = Cluster::recover(
            Term(1),
            &shared.settings,
            &shared.replica.lock(),
            Arc::new(machine_types()),
            start,
            SystemTime::now(),
        );
        *shared.cluster.lock() = Some(cluster);
        let mut leader = Self {
            shared,
            start,
            now: start,
            sequence: 0,
            token: 0,
            tasks: Vec::new(),
        };
        leader.shared.election.lock().hold_lease(7, start);
        leader.shared.election.lock().become_leader(Leadership {
            term: Term(1),
            version: 1,
        });
        leader.read();
        // Twice, so that the machine shows our token and can be entered into the roster.
        leader.heartbeat();
        leader.heartbeat();
        leader.write();
        leader
    }

    fn at(&mut self, s: f64) -> &mut Self {
        self.now = self.start + Duration::from_secs_f64(s);
        self
    }

    /// The lease is renewed now.
    fn renew(&self) {
        self.shared.election.lock().lease_renewed(7, self.now);
    }

    /// A read that was sent now has been answered.
    fn read(&self) {
        self.shared.replica_complete(self.now);
    }

    /// A request fails now.
    fn fail(&self) {
        self.shared.election.lock().freshness().invalidate(self.now);
    }

    /// Another node has cancelled the job, and the watch brings it.
    fn learn_of_the_cancellation(&self) {
        let id = JobId::parse("wk-000001").unwrap();
        let event = {
            let live = self.shared.replica.lock().descriptions[&id].record.clone();
            let record = JobRecord {
                verdict: Verdict::Cancelled,
                tasks: 1,
                description: Some(live),
            };
            knotlanding::store::WatchEvent {
                put_key: Some(keys::job(&id)),
                deleted_key: None,
                value: Some(to_value(&record)),
                version: 20,
            }
        };
        let news = self.shared.replica.lock().apply(&[event], 20);
        assert_eq!(news, [ReplicaChange::Job(id)]);
        self.shared.replica_changed(&news);
        self.read();
    }

    /// Plans a start of the job's task on the machine, and writes what has to be written first.
    fn plan(&mut self) {
        let task = TaskId {
            job: JobId::parse("wk-000001").unwrap(),
            index: 0,
        };
        let attempt = Attempt::of(Term(1), 1);
        let mut guard = self.shared.cluster.lock();
        let cluster = guard.as_mut().unwrap();
        cluster.plan(&task, &MachineId(MACHINE.into()), attempt, self.now);
        drop(guard);
        self.write();
    }

    fn write(&self) {
        let replica = self.shared.replica.lock();
        let mut guard = self.shared.cluster.lock();
        let cluster = guard.as_mut().unwrap();
        for write in cluster.due_writes(&replica, self.now) {
            cluster.apply_write_outcome(&write.kind, &TransactionOutcome::Committed(11));
        }
    }

    /// The machine's next report; the status, and the verbs that it is answered with. It does
    /// what it is told.
    fn heartbeat(&mut self) -> (u16, Vec<String>) {
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(task, attempt)| {
                cbor!({"strand" => task, "try" => attempt, "status" => "running"}).unwrap()
            })
            .collect();
        let heartbeat = cbor!({
            "host" => MACHINE, "address" => "127.0.0.1:9", "build" => "gpu2", "yard" => "north",
            "loaners" => false, "tenure" => 1, "tally" => self.sequence, "baton" => self.token,
            "strands" => tasks,
        });
        let mut body = Vec::new();
        ciborium::into_writer(&heartbeat.unwrap(), &mut body).unwrap();
        let now = self.now;
        let answer = answered_here(receive_heartbeat(&self.shared, Ok(body.into()), &|| now));
        let status = answer.status().as_u16();
        let body =
            futures_util::FutureExt::now_or_never(actix_web::body::to_bytes(answer.into_body()));
        let body: Value = ciborium::from_reader(&*body.unwrap().unwrap()).unwrap();
        let get = |value: &Value, name: &str| {
            let map = value.as_map().unwrap().iter();
            let mut found = map.filter(|(key, _)| key.as_text() == Some(name));
            found.next().map(|(_, value)| value.clone())
        };
        if let Some(token) = get(&body, "baton").and_then(|t| t.as_integer()) {
            self.token = u64::try_from(token).unwrap();
        }
        let commands = get(&body, "orders");
        let commands = commands
            .and_then(|o| o.into_array().ok())
            .unwrap_or_default();
        let mut verbs = Vec::new();
        for command in commands {
            let verb = get(&command, "verb").unwrap().into_text().unwrap();
            let task = get(&command, "strand").unwrap().into_text().unwrap();
            let attempt = get(&command, "try").unwrap().into_integer().unwrap();
            if verb == "run" {
                self.tasks.push((task, u64::try_from(attempt).unwrap()));
            } else {
                self.tasks.retain(|(known, _)| *known != task);
            }
            verbs.push(verb);
        }
        (status, verbs)
    }

    /// How long after `self.start` the last 200 was, answering every second until `until`.
    fn last_answer(&mut self, until: u32, mut each: impl FnMut(&Self)) -> u32 {
        let first = (self.now - self.start).as_secs() as u32;
        let mut last = first;
        for s in first..until {
            self.at(f64::from(s));
            each(self);
            if self.heartbeat().0 == 200 {
                last = s;
            }
        }
        last
    }
}

/// The meeting before all others: the state service refuses the leader alone, jobs are cancelled
/// through others, then it is out for all, and afterwards every lease has its full time again.
#[test]
fn a_start_planned_before_a_gap_never_leaves_once_its_job_was_cancelled_in_it() {
    let mut leader = LoneLeader::new();
    leader.plan();
    leader.at(1.0).fail();
    assert_eq!(
        leader.at(1.5).heartbeat(),
        (200, vec![]),
        "contact may be lost"
    );
    leader.at(64.0).renew();
    let (status, commands) = leader.at(64.1).heartbeat();
    assert_eq!(
        (status, commands.len()),
        (503, 0),
        "leads, with an old replica"
    );
    leader.at(64.3).learn_of_the_cancellation();
    assert_eq!(leader.at(64.4).heartbeat(), (200, vec![]), "it knows now");
}

/// The same without a cancellation: the start leaves as soon as the replica is proved complete.
#[test]
fn a_start_that_waited_for_the_proof_leaves_with_it() {
    let mut leader = LoneLeader::new();
    leader.plan();
    leader.at(1.0).fail();
    assert_eq!(leader.at(1.2).heartbeat(), (200, vec![]));
    leader.at(1.3).read();
    assert_eq!(leader.at(1.4).heartbeat(), (200, vec!["run".to_owned()]));
}

/// A process that stood still has an old replica, whatever its lease says when it wakes up.
#[test]
fn no_start_leaves_after_standing_still_before_the_next_read() {
    let mut leader = LoneLeader::new();
    leader.plan();
    leader.at(9.0).renew();
    assert_eq!(leader.heartbeat(), (200, vec![]));
    leader.at(9.2).read();
    assert_eq!(leader.heartbeat(), (200, vec!["run".to_owned()]));
}

/// Whatever was cancelled unseen is gone in time: the last 200 leaves a lease before the end of a
/// cancellation that was confirmed just after the replica was last complete. So for a leader
/// whose renewals succeed while its reads don't, and for one that has lost both.
#[test]
fn the_last_answer_of_a_leader_that_reads_nothing_lets_no_task_outlive_a_cancellation() {
    for renews in [true, false] {
        let mut leader = LoneLeader::new();
        leader.plan();
        leader.at(0.5).read();
        assert_eq!(leader.heartbeat().1, ["run"]);
        let workers = leader.shared.settings.params.workers.clone();
        let last = leader.last_answer(120, |leader| {
            if renews {
                leader.renew();
            }
        });
        let gone = f64::from(last) + workers.lease_s;
        assert!(gone < 0.5 + workers.cancel_s, "{last} s");
        assert!(
            f64::from(last) > LEADER_LEASE_MIN.as_secs_f64(),
            "work goes on for a while"
        );
    }
}

/// Two cuts one after the other, each short: no read between them, so they count as one.
#[test]
fn renewals_between_two_cuts_do_not_lengthen_the_time() {
    let mut once = LoneLeader::new();
    let mut twice = LoneLeader::new();
    let last_once = once.last_answer(60, |leader| leader.fail());
    let last_twice = twice.last_answer(60, |leader| {
        leader.fail();
        if (leader.now - leader.start).as_secs() == 8 {
            leader.renew();
        }
    });
    assert!(last_twice >= last_once);
    let workers = &twice.shared.settings.params.workers;
    assert!(f64::from(last_twice) + workers.lease_s < workers.cancel_s);
}

/// Cancelled jobs' tasks are stopped by whoever answers reports, without starts too.
#[test]
fn a_leader_past_its_lease_that_knows_of_a_cancellation_kills_the_task() {
    let mut leader = LoneLeader::new();
    leader.plan();
    assert_eq!(leader.at(0.5).heartbeat().1, ["run"]);
    assert_eq!(leader.at(1.0).heartbeat(), (200, vec![]));
    leader.at(2.0).learn_of_the_cancellation();
    // Past its lease by now.
    assert_eq!(leader.at(6.0).heartbeat(), (200, vec!["kill".to_owned()]));
}

/// Workers give an answer up after four seconds and come again on a new connection: a leader that
/// is short of processor time went on answering those that had given up, for half a minute.
#[test]
fn a_follower_sends_on_no_more_workers_than_the_leader_can_take_in() {
    let text = common::settings_of_nobody();
    let sent_on = |cores: f64, nodes: usize| {
        let mut settings = Settings::parse(&text, "a test").unwrap();
        settings.params.resources.cores = cores;
        settings.params.count = nodes;
        let shared = Shared::new(settings);
        shared.election.lock().observe_leader(Term(3), "knot-1");
        let start = Instant::now();
        let heartbeat = cbor!({
            "host" => MACHINE, "address" => "127.0.0.1:9", "build" => "gpu2", "yard" => "north",
            "loaners" => false, "tenure" => 1, "tally" => 1, "baton" => 0,
            "strands" => Vec::<Value>::new(),
        });
        let mut body = Vec::new();
        ciborium::into_writer(&heartbeat.unwrap(), &mut body).unwrap();
        let mut sent_on = [0, 0];
        for s in 0..2 {
            let now = start + Duration::from_secs(s);
            for _ in 0..400 {
                let answer =
                    answered_here(receive_heartbeat(&shared, Ok(body.clone().into()), &|| now));
                match answer.status().as_u16() {
                    421 => sent_on[s as usize] += 1,
                    status => assert_eq!(status, 503, "to be tried at the next node"),
                }
            }
        }
        sent_on
    };
    let [first, second] = sent_on(0.029, 7);
    assert!(first > 0 && second > 0, "a bucket that fills again");
    assert!(first + second < 100, "{first} and {second} of 800");
    assert_eq!(
        sent_on(1.0, 3),
        [400, 400],
        "a usual machine takes them all"
    );
}
