//! Responses to heartbeats: which commands a leader sends, and whether it responds at all, depending on
//! its lease and on the age of its replica when the heartbeat arrives. Also the limit on redirects.

// A failed `unwrap` or `expect` fails the test.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_leader.rs"]
mod test_leader;

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
use test_leader::{accepted_job_records, array_job, machine_types};

/// The response to a heartbeat that a controller does not forward.
fn direct_response(outcome: HeartbeatOutcome) -> actix_web::HttpResponse {
    match outcome {
        HeartbeatOutcome::Answered(response) => response,
        HeartbeatOutcome::Queued(pending) => panic!("heartbeat queued for forwarding: {pending:?}"),
    }
}

/// A leader with one machine, and with a clock that the test sets.
struct SingleMachineLeader {
    shared: Arc<Shared>,
    started_at: Instant,
    now: Instant,
    sequence: u64,
    token: u64,
    tasks: Vec<(String, u64)>,
}

const MACHINE: &str = "m-000001";

impl SingleMachineLeader {
    /// A leader with an accepted job of one task, and with a replica that is complete.
    fn new() -> Self {
        let text = common::settings_with_unreachable_addresses();
        let shared = Shared::new(Settings::parse(&text, "a test").unwrap());
        let started_at = Instant::now();
        let rows = accepted_job_records(&array_job("wk-000001", 1), false).into_iter();
        let rows = rows.enumerate().map(|(index, (key, value))| KeyValue {
            key,
            value,
            version: index as u64 + 1,
        });
        shared.replica.lock().load(rows.collect(), 10);
        let cluster = Cluster::recover(
            Term(1),
            &shared.settings,
            &shared.replica.lock(),
            Arc::new(machine_types()),
            started_at,
            SystemTime::now(),
        );
        *shared.cluster.lock() = Some(cluster);
        let mut leader = Self {
            shared,
            started_at,
            now: started_at,
            sequence: 0,
            token: 0,
            tasks: Vec::new(),
        };
        leader.shared.election.lock().hold_lease(7, started_at);
        leader.shared.election.lock().become_leader(Leadership {
            term: Term(1),
            version: 1,
        });
        leader.complete_read();
        // The second heartbeat shows the fencing token of the first response, and lets the leader add the
        // machine to the inventory.
        leader.send_heartbeat();
        leader.send_heartbeat();
        leader.write_records();
        leader
    }

    /// Sets the clock to this many seconds after the start.
    fn set_time(&mut self, seconds: f64) -> &mut Self {
        self.now = self.started_at + Duration::from_secs_f64(seconds);
        self
    }

    /// Renews the lease at the current time.
    fn renew_lease(&self) {
        self.shared.election.lock().lease_renewed(7, self.now);
    }

    /// Completes a read that was sent at the current time.
    fn complete_read(&self) {
        self.shared.replica_complete(self.now);
    }

    /// Fails a store request at the current time.
    fn fail_request(&self) {
        self.shared.election.lock().freshness().invalidate(self.now);
    }

    /// Applies a watch event with the cancellation of the job by another controller.
    fn receive_cancellation(&self) {
        let id = JobId::parse("wk-000001").unwrap();
        let event = {
            let description = self.shared.replica.lock().descriptions[&id].record.clone();
            let record = JobRecord {
                verdict: Verdict::Cancelled,
                tasks: 1,
                description: Some(description),
            };
            knotlanding::store::WatchEvent {
                put_key: Some(keys::job(&id)),
                deleted_key: None,
                value: Some(to_value(&record)),
                version: 20,
            }
        };
        let changes = self.shared.replica.lock().apply(&[event], 20);
        assert_eq!(changes, [ReplicaChange::Job(id)]);
        self.shared.replica_changed(&changes);
        self.complete_read();
    }

    /// Plans a start of the job's task on the machine, and writes the records that must precede it.
    fn plan_start(&mut self) {
        let task = TaskId {
            job: JobId::parse("wk-000001").unwrap(),
            index: 0,
        };
        let attempt = Attempt::of(Term(1), 1);
        let mut guard = self.shared.cluster.lock();
        let cluster = guard.as_mut().unwrap();
        cluster.plan(&task, &MachineId(MACHINE.into()), attempt, self.now);
        drop(guard);
        self.write_records();
    }

    fn write_records(&self) {
        let replica = self.shared.replica.lock();
        let mut guard = self.shared.cluster.lock();
        let cluster = guard.as_mut().unwrap();
        for write in cluster.due_writes(&replica, self.now) {
            cluster.apply_write_outcome(&write.kind, &TransactionOutcome::Committed(11));
        }
    }

    /// Sends the machine's next heartbeat and executes the commands in the response. Returns the status
    /// and the verbs of the commands.
    fn send_heartbeat(&mut self) -> (u16, Vec<String>) {
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
        let response = direct_response(receive_heartbeat(&self.shared, Ok(body.into()), &|| now));
        let status = response.status().as_u16();
        let body =
            futures_util::FutureExt::now_or_never(actix_web::body::to_bytes(response.into_body()));
        let body: Value = ciborium::from_reader(&*body.unwrap().unwrap()).unwrap();
        let field = |value: &Value, name: &str| {
            let map = value.as_map().unwrap().iter();
            let mut matching = map.filter(|(key, _)| key.as_text() == Some(name));
            matching.next().map(|(_, value)| value.clone())
        };
        if let Some(token) = field(&body, "baton").and_then(|token| token.as_integer()) {
            self.token = u64::try_from(token).unwrap();
        }
        let commands = field(&body, "orders");
        let commands = commands
            .and_then(|orders| orders.into_array().ok())
            .unwrap_or_default();
        let mut verbs = Vec::new();
        for command in commands {
            let verb = field(&command, "verb").unwrap().into_text().unwrap();
            let task = field(&command, "strand").unwrap().into_text().unwrap();
            let attempt = field(&command, "try").unwrap().into_integer().unwrap();
            if verb == "run" {
                self.tasks.push((task, u64::try_from(attempt).unwrap()));
            } else {
                self.tasks.retain(|(running, _)| *running != task);
            }
            verbs.push(verb);
        }
        (status, verbs)
    }

    /// Calls `before_each` and sends a heartbeat in every second before `until`. Returns the second of the
    /// last response with status 200.
    fn last_success(&mut self, until: u32, mut before_each: impl FnMut(&Self)) -> u32 {
        let first = (self.now - self.started_at).as_secs() as u32;
        let mut last_success = first;
        for second in first..until {
            self.set_time(f64::from(second));
            before_each(self);
            if self.send_heartbeat().0 == 200 {
                last_success = second;
            }
        }
        last_success
    }
}

/// The store refuses the leader alone, and jobs are cancelled through the other controllers. Then the
/// store fails for all controllers, and every lease lasts its full duration after the outage: the leader
/// holds its lease, but its replica lacks the cancellations.
#[test]
fn start_planned_before_an_outage_is_not_sent_if_its_job_was_cancelled_meanwhile() {
    let mut leader = SingleMachineLeader::new();
    leader.plan_start();
    leader.set_time(1.0).fail_request();
    assert_eq!(
        leader.set_time(1.5).send_heartbeat(),
        (200, vec![]),
        "no start is sent after a failed request"
    );
    leader.set_time(64.0).renew_lease();
    let (status, commands) = leader.set_time(64.1).send_heartbeat();
    assert_eq!(
        (status, commands.len()),
        (503, 0),
        "a leader with an outdated replica responds with 503"
    );
    leader.set_time(64.3).receive_cancellation();
    assert_eq!(
        leader.set_time(64.4).send_heartbeat(),
        (200, vec![]),
        "no start is sent after the cancellation has arrived"
    );
}

/// After a failed request, the replica may lack a cancellation. The leader withholds starts until a later
/// read succeeds, but no longer.
#[test]
fn start_withheld_after_a_failed_request_is_sent_once_a_read_proves_the_replica_complete() {
    let mut leader = SingleMachineLeader::new();
    leader.plan_start();
    leader.set_time(1.0).fail_request();
    assert_eq!(leader.set_time(1.2).send_heartbeat(), (200, vec![]));
    leader.set_time(1.3).complete_read();
    assert_eq!(
        leader.set_time(1.4).send_heartbeat(),
        (200, vec!["run".to_owned()])
    );
}

/// After a pause of the process the replica is outdated, even if the lease is renewed at once.
#[test]
fn start_is_withheld_after_a_pause_until_the_next_read() {
    let mut leader = SingleMachineLeader::new();
    leader.plan_start();
    leader.set_time(9.0).renew_lease();
    assert_eq!(leader.send_heartbeat(), (200, vec![]));
    leader.set_time(9.2).complete_read();
    assert_eq!(leader.send_heartbeat(), (200, vec!["run".to_owned()]));
}

/// A cancellation may be confirmed just after the replica was last complete, without the leader receiving
/// it. The leader sends its last response with status 200 more than one worker lease before that
/// cancellation must have taken effect. This holds with and without successful lease renewals.
#[test]
fn leader_without_reads_stops_responding_in_time_for_a_cancelled_task_to_end() {
    for renews_lease in [true, false] {
        let mut leader = SingleMachineLeader::new();
        leader.plan_start();
        leader.set_time(0.5).complete_read();
        assert_eq!(leader.send_heartbeat().1, ["run"]);
        let workers = leader.shared.settings.params.workers.clone();
        let last_success = leader.last_success(120, |leader| {
            if renews_lease {
                leader.renew_lease();
            }
        });
        let tasks_end_at = f64::from(last_success) + workers.lease_s;
        assert!(
            tasks_end_at < 0.5 + workers.cancel_s,
            "last response with status 200 after {last_success} s"
        );
        assert!(
            f64::from(last_success) > LEADER_LEASE_MIN.as_secs_f64(),
            "the leader responds for longer than its own lease"
        );
    }
}

/// Without a read between them, two short outages count as one. A lease renewal between them must not
/// shorten the time in which the leader responds, nor extend it beyond the limit for cancellations.
#[test]
fn leader_with_a_renewal_between_two_outages_stops_responding_in_time_for_a_cancelled_task_to_end()
{
    let mut without_renewal = SingleMachineLeader::new();
    let mut with_renewal = SingleMachineLeader::new();
    let last_without = without_renewal.last_success(60, |leader| leader.fail_request());
    let last_with = with_renewal.last_success(60, |leader| {
        leader.fail_request();
        if (leader.now - leader.started_at).as_secs() == 8 {
            leader.renew_lease();
        }
    });
    assert!(last_with >= last_without);
    let workers = &with_renewal.shared.settings.params.workers;
    assert!(f64::from(last_with) + workers.lease_s < workers.cancel_s);
}

/// A leader whose lease has expired may not send starts, but still has to terminate the tasks of jobs that
/// are cancelled in its replica.
#[test]
fn leader_past_its_lease_terminates_the_task_of_a_cancelled_job() {
    let mut leader = SingleMachineLeader::new();
    leader.plan_start();
    assert_eq!(leader.set_time(0.5).send_heartbeat().1, ["run"]);
    assert_eq!(leader.set_time(1.0).send_heartbeat(), (200, vec![]));
    leader.set_time(2.0).receive_cancellation();
    // The lease has expired by this time.
    assert_eq!(
        leader.set_time(6.0).send_heartbeat(),
        (200, vec!["kill".to_owned()])
    );
}

/// Workers stop waiting for a response after 4 s, and retry on a new connection. When followers redirected
/// all workers to a leader with little processor time, it spent half a minute on responses to connections
/// that workers had already closed.
#[test]
fn follower_redirects_no_more_workers_than_the_leader_can_serve() {
    let text = common::settings_with_unreachable_addresses();
    let redirects_per_second = |cores: f64, controllers: usize| {
        let mut settings = Settings::parse(&text, "a test").unwrap();
        settings.params.resources.cores = cores;
        settings.params.count = controllers;
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
        let mut redirects = [0, 0];
        for second in 0..2 {
            let now = start + Duration::from_secs(second);
            for _ in 0..400 {
                let response =
                    direct_response(receive_heartbeat(&shared, Ok(body.clone().into()), &|| now));
                match response.status().as_u16() {
                    421 => redirects[second as usize] += 1,
                    status => assert_eq!(status, 503, "excess heartbeats get status 503"),
                }
            }
        }
        redirects
    };
    let [first, second] = redirects_per_second(0.029, 7);
    assert!(
        first > 0 && second > 0,
        "each second permits some redirects"
    );
    assert!(
        first + second < 100,
        "{first} and {second} redirects for 800 heartbeats"
    );
    assert_eq!(
        redirects_per_second(1.0, 3),
        [400, 400],
        "a leader with one core is sent all workers"
    );
}
