//! Kept traces of the core: what is told to whom and why, under a clock the test moves.
//! Read them in `tests/snapshots/`; a change of behaviour shows there as a changed line.

mod common;

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use knotlanding::cluster::{Cluster, Direct, Drain, RecordKind, Sent, Verified, Way};
use knotlanding::config::Settings;
use knotlanding::fleet::{self, Look, Market, Thrift};
use knotlanding::model::{
    Amount, Build, JobId, JobSpec, MachineId, Rank, Shape, Term, Token, Verdict,
};
use knotlanding::peer::Told;
use knotlanding::sched::{self, Decisions, Policy};
use knotlanding::store::keys::{self, DoneRecord, JobRecord, LiveRecord, RosterRecord};
use knotlanding::store::replica::Replica;
use knotlanding::store::{to_value, Outcome, Row, StoreError};
use knotlanding::wire::{Cause, ListedMachine, Order, Report, ReportedTask, TaskPhase};

/// A small cluster with a clock, and what has happened in it so far as text.
struct Scene {
    settings: Settings,
    policy: Policy,
    cluster: Cluster,
    records: Vec<(String, knotlanding::store::Value)>,
    now: Instant,
    start: Instant,
    seq: u64,
    revision: u64,
    log: String,
    /// The token that the next report shows, if it is not a term's first.
    heard: Option<Token>,
}

/// The time of day in all scenes: with the real one, jobs submitted together would differ in age
/// by a millisecond now and then, and with it in order.
fn wall() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

fn builds() -> Vec<Build> {
    let build = |name: &str, cpus: f64, gpus: f64, price: f64| Build {
        name: name.to_owned(),
        room: Amount {
            cpus,
            gpus,
            memory: 64.0,
        },
        price,
        spot_price: price / 3.0,
        boot: Duration::from_secs(40),
        cache_gb: 50.0,
        fetch_rate: 0.5,
        zones: vec!["north".to_owned(), "south".to_owned()],
    };
    vec![
        build("cpu16", 16.0, 0.0, 0.9),
        build("gpu2", 12.0, 2.0, 6.0),
    ]
}

fn gang(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(id).unwrap(),
        class: "prompt".to_owned(),
        team: "blue".to_owned(),
        shape: Shape::Gang,
        rank: Rank::Urgent,
        tasks,
        need: Amount {
            cpus: 15.0,
            gpus: 0.0,
            memory: 20.0,
        },
        builds: None,
        zone: None,
        one_zone: true,
        spread: false,
        spot: true,
        image: "img-1".to_owned(),
        image_gb: 3.0,
        estimate_s: 100.0,
        checkpoint_s: 30.0,
        save_s: 5.0,
        due_s: None,
    }
}

fn array(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        shape: Shape::Array,
        rank: Rank::Standard,
        class: "batch".to_owned(),
        team: "red".to_owned(),
        need: Amount {
            cpus: 5.0,
            gpus: 1.0,
            memory: 20.0,
        },
        one_zone: false,
        checkpoint_s: 0.0,
        save_s: 0.0,
        due_s: Some(300.0),
        ..gang(id, tasks)
    }
}

impl Scene {
    /// Takes over with these records as of term 1.
    fn with(records: Vec<(String, knotlanding::store::Value)>) -> Self {
        let text = common::settings_text(
            "knot-0",
            "127.0.0.1:1",
            "127.0.0.1:2",
            "127.0.0.1:3",
            "127.0.0.1:4",
        );
        let settings = Settings::parse(&text, "test").unwrap();
        let start = Instant::now() + Duration::from_secs(100_000);
        let mut scene = Self {
            policy: Policy::new(&settings),
            cluster: Cluster::take_over(
                Term(1),
                &settings,
                &Replica::default(),
                Arc::new(builds()),
                start,
                wall(),
            ),
            settings,
            records,
            now: start,
            start,
            seq: 0,
            revision: 100,
            log: String::new(),
            heard: None,
        };
        scene.take_over(1);
        scene
    }

    fn new() -> Self {
        Self::with(Vec::new())
    }

    fn note(&mut self, line: &str) {
        let at = self.now.duration_since(self.start).as_secs_f64();
        writeln!(self.log, "{at:6.1}s {line}").unwrap();
    }

    fn replica(&self) -> Replica {
        let rows = self.records.iter().enumerate();
        let rows = rows.map(|(at, (key, value))| Row {
            key: key.clone(),
            value: value.clone(),
            version: at as u64 + 1,
        });
        let mut replica = Replica::default();
        replica.load(rows.collect(), self.records.len() as u64);
        replica
    }

    fn record(&mut self, key: String, value: knotlanding::store::Value) {
        self.records.retain(|(known, _)| *known != key);
        self.records.push((key, value));
    }

    fn take_over(&mut self, term: u64) {
        self.cluster = Cluster::take_over(
            Term(term),
            &self.settings,
            &self.replica(),
            Arc::new(builds()),
            self.now,
            wall(),
        );
        let unsettled = self.cluster.unsettled.len();
        self.note(&format!(
            "term {term} begins, {unsettled} machines unsettled"
        ));
    }

    fn submit(&mut self, spec: JobSpec) {
        self.note(&format!("submitted: {} x{}", spec.id, spec.tasks));
        for (key, value) in accepted(&spec, false) {
            self.record(key, value);
        }
        self.sync(&spec.id);
    }

    fn cancel(&mut self, id: &str) {
        self.note(&format!("cancelled by its user: {id}"));
        let id = JobId::parse(id).unwrap();
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks: 1,
        };
        self.record(keys::job(&id), to_value(&record));
        self.sync(&id);
    }

    fn sync(&mut self, id: &JobId) {
        let replica = self.replica();
        let wall = wall();
        self.cluster.sync_job(id, &replica, self.now, wall, false);
    }

    fn pass(&mut self, s: f64) {
        self.now += Duration::from_secs_f64(s);
    }

    /// One round, with all writes committed unless they are refused.
    fn round(&mut self) -> Decisions {
        self.round_with(true)
    }

    fn round_with(&mut self, writes_work: bool) -> Decisions {
        for machine in self.cluster.machines.values() {
            assert_eq!(*machine.load(), machine.counted(), "{}", machine.id);
        }
        self.cluster.expire(self.now);
        let decisions = sched::round(&self.cluster, &self.policy, self.now);
        sched::apply(&mut self.cluster, &decisions, self.now);
        for start in &decisions.starts {
            let to: Vec<_> = start
                .members
                .iter()
                .map(|(i, m)| format!("{i} on {m}"))
                .collect();
            self.note(&format!("round: start {} [{}]", start.job, to.join(", ")));
        }
        for (job, why) in &decisions.gang_stops {
            self.note(&format!("round: stop gang {job}: {why}"));
        }
        for halt in &decisions.halts {
            self.note(&format!("round: stop {} on {}", halt.task, halt.machine));
        }
        for (job, why) in &decisions.waits {
            self.note(&format!("round: {job} waits for {why}"));
        }
        self.write(writes_work);
        let direct = self.cluster.direct_orders(self.now);
        for direct in &direct {
            let Direct { machine, body, .. } = direct;
            let raised = body.token & 0xfffff;
            let orders = shown(&body.orders);
            self.note(&format!(
                "straight to {machine} (raised {raised}): {orders}"
            ));
        }
        decisions
    }

    fn write(&mut self, works: bool) {
        let replica = self.replica();
        for write in self.cluster.due_writes(&replica) {
            let outcome = if works {
                self.revision += 1;
                Outcome::Committed(self.revision)
            } else {
                Outcome::Failed(StoreError::Refused(503))
            };
            let what = match &write.kind {
                RecordKind::Started(id, Sent::Anywhere) => format!("{id} started, anywhere"),
                RecordKind::Started(id, Sent::Hosts(hosts)) => {
                    format!("{id} started, on {hosts:?} at most")
                }
                RecordKind::Done(id, chunk, bits) => format!("{id} done chunk {chunk} = {bits}"),
                RecordKind::Finished(id) => format!("{id} is done"),
                RecordKind::Retired(id) => format!("{id} retired"),
                RecordKind::Roster(shard, names) => format!("roster {shard} = {names:?}"),
            };
            self.note(&format!(
                "write {}: {what}",
                if works { "ok" } else { "refused" }
            ));
            self.cluster.written(&write.kind, &outcome);
        }
    }

    /// A report with an explicit number; what it is answered.
    fn report_as(
        &mut self,
        machine: &str,
        (session, seq, token): (u64, u64, u64),
        tasks: &[(&str, u64, TaskPhase, Option<Cause>)],
        own: bool,
    ) -> Verified {
        let way = if own { Way::Own } else { Way::Asked(self.now) };
        let (build, zone) = place_of(machine);
        let tasks: Vec<ReportedTask> = tasks
            .iter()
            .map(|(task, attempt, phase, cause)| ReportedTask {
                task: (*task).to_owned(),
                attempt: *attempt,
                phase: *phase,
                cause: *cause,
                saved: None,
            })
            .collect();
        let list: Vec<String> = tasks
            .iter()
            .map(|t| format!("{}#{:x} {:?}{}", t.task, t.attempt, t.phase, cause(t.cause)))
            .collect();
        let report = Report {
            machine: machine.to_owned(),
            address: "127.0.0.1:9".to_owned(),
            build: build.to_owned(),
            zone: zone.to_owned(),
            spot: false,
            session,
            seq,
            token: self
                .heard
                .unwrap_or_default()
                .0
                .max(Token::first(Term(token)).0),
            notice_s: None,
            tasks,
        };
        let verified = self.cluster.report(&report, way, self.now);
        let kind = if own { "report" } else { "direct answer" };
        self.note(&format!(
            "{kind} of {machine} ({session}.{seq} token {token}): [{}] {verified:?}",
            list.join(", ")
        ));
        if own && verified == Verified::Newer {
            let id = MachineId(machine.into());
            let orders = self.cluster.answer(&id, self.now);
            if !orders.is_empty() {
                self.note(&format!("answer to {machine}: {}", shown(&orders)));
            }
        }
        verified
    }

    /// The next report of a machine in session 1 that hears all it is told.
    fn report(&mut self, machine: &str, tasks: &[(&str, u64, TaskPhase, Option<Cause>)]) {
        self.seq += 1;
        let token = self.cluster.term.0;
        let id = MachineId(machine.into());
        self.heard = self.cluster.machines.get(&id).map(|m| m.token);
        self.report_as(machine, (1, self.seq, token), tasks, true);
        self.heard = None;
    }

    /// The cloud's list names these machines.
    fn listed(&mut self, names: &[&str]) {
        let list: Vec<ListedMachine> = names
            .iter()
            .map(|name| ListedMachine {
                id: (*name).to_owned(),
                address: "127.0.0.1:9".to_owned(),
                build: place_of(name).0.to_owned(),
                zone: place_of(name).1.to_owned(),
                spot: false,
                status: "running".to_owned(),
                age_s: 100.0,
            })
            .collect();
        self.cluster.listed(&list, self.now);
    }

    /// Machines that have reported and are on the roster.
    fn machines(&mut self, names: &[&str]) {
        for name in names {
            self.report(name, &[]);
        }
        self.round();
    }

    fn fleet(&mut self, decisions: &Decisions) {
        let market = Market::default();
        let thrift = Thrift::default();
        let actions = fleet::plan(&Look {
            cluster: &self.cluster,
            policy: &self.policy,
            short: &decisions.short,
            market: &market,
            thrift,
            now: self.now,
        });
        for action in actions {
            self.note(&format!("fleet: {action:?}"));
        }
    }
}

/// A gang of two that runs on the first two of three machines.
fn running_gang() -> Scene {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-c2n", "m-c3n"]);
    s.submit(gang("wk-000001", 2));
    s.round();
    s.report("m-c1n", &[]);
    s.report("m-c2n", &[]);
    s.report("m-c1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.report("m-c2n", &[("wk-000001/1", FIRST, RUNNING, None)]);
    s
}

fn accepted(spec: &JobSpec, started: bool) -> Vec<(String, knotlanding::store::Value)> {
    let submitted = wall().duration_since(SystemTime::UNIX_EPOCH);
    let job = JobRecord {
        verdict: Verdict::Accepted,
        tasks: spec.tasks,
    };
    let live = LiveRecord {
        spec: spec.clone(),
        submitted_ms: submitted.unwrap().as_millis() as u64,
        started,
        hosts: None,
    };
    vec![
        (keys::job(&spec.id), to_value(&job)),
        (keys::live(&spec.id), to_value(&live)),
    ]
}

fn roster(machines: &[&str]) -> (String, knotlanding::store::Value) {
    let machines = machines.iter().map(|m| (*m).to_owned()).collect();
    (keys::roster(0), to_value(&RosterRecord { machines }))
}

/// `m-c1n`: the first cpu machine in the north; `m-g2s`: the second gpu one in the south.
fn place_of(machine: &str) -> (&'static str, &'static str) {
    let build = if machine.contains('c') {
        "cpu16"
    } else {
        "gpu2"
    };
    let zone = if machine.ends_with('n') {
        "north"
    } else {
        "south"
    };
    (build, zone)
}

fn cause(cause: Option<Cause>) -> String {
    cause.map_or(String::new(), |cause| format!("({cause:?})"))
}

fn shown(orders: &[Order]) -> String {
    let each = orders.iter().map(|order| match order {
        Order::Run { task, attempt } => format!("run {task}#{attempt:x}"),
        Order::Kill {
            task,
            attempt,
            grace_s,
        } => format!("kill {task}#{attempt:x} grace {grace_s}"),
        Order::Clear { task, attempt } => format!("clear {task}#{attempt:x}"),
    });
    each.collect::<Vec<_>>().join("; ")
}

/// The attempt that term 1 gives out first, and its successors.
const FIRST: u64 = 1 << 32 | 1;
const SECOND: u64 = FIRST + 1;
const RUNNING: TaskPhase = TaskPhase::Running;
const GATHERING: TaskPhase = TaskPhase::Gathering;
const EXITED: TaskPhase = TaskPhase::Exited;

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-c2s"]);
    s.submit(gang("wk-000001", 2));
    s.round();
    s.note("one machine in each zone, but the gang wants one zone: nothing starts");
    s.report("m-c1n", &[]);
    s.report("m-c3n", &[]);
    s.round();
    s.report("m-c1n", &[]);
    s.report("m-c3n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn no_start_leaves_before_its_records_are_written() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round_with(false);
    s.report("m-g1n", &[]);
    s.note("the started flag is not written: no run above");
    s.round();
    s.report("m-g1n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_start_that_got_lost_is_settled_by_the_next_own_report_only() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.seq += 1;
    s.note("the answer to a direct command overtakes the answer with the start");
    let seq = s.seq;
    s.report_as("m-g1n", (1, seq, 1), &[], false);
    s.round();
    s.note("the worker dropped the answer: its own next report proves it");
    s.report("m-g1n", &[]);
    s.round();
    s.note("nothing more goes there until it brings back a token given to it since");
    s.report("m-g1n", &[]);
    s.round();
    s.report("m-g1n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn late_and_repeated_reports_change_nothing() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    assert_eq!(s.report_as("m-g1n", (1, 1, 0), &[], true), Verified::Older);
    s.note("a new session is proof that all of the old one is gone");
    s.report_as("m-g1n", (2, 1, 1), &[], true);
    s.round();
    s.note("a machine that was returned does not come back by a late report");
    s.cluster.machine_gone(&MachineId("m-g1n".into()));
    assert_eq!(s.report_as("m-g1n", (2, 2, 1), &[], true), Verified::Older);
    assert!(s.cluster.machines.is_empty());
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_new_leader_starts_nothing_again_before_all_machines_have_spoken() {
    let mut records = accepted(&array("wk-000001", 2), true);
    records.extend(accepted(&array("wk-000002", 1), false));
    records.push(roster(&["m-g1n", "m-g2n"]));
    let mut s = Scene::with(records);
    s.note("a report with an older token shows where tasks are, but proves no absence");
    s.report_as(
        "m-g1n",
        (1, 5, 0),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.round();
    s.report_as(
        "m-g1n",
        (1, 6, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.round();
    s.report_as(
        "m-g1n",
        (1, 7, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.note("the other machine is silent; only its return settles it");
    s.pass(30.0);
    s.report_as(
        "m-g1n",
        (1, 8, 1),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    let decisions = s.round();
    s.fleet(&decisions);
    s.cluster.machine_gone(&MachineId("m-g2n".into()));
    s.report_as("m-g3n", (1, 1, 1), &[], true);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_deposed_leader_learns_it_from_the_token() {
    let mut s = Scene::new();
    assert_eq!(
        s.report_as("m-g1n", (1, 1, 2), &[], true),
        Verified::Deposed
    );
    assert!(s.cluster.machines.is_empty());
}

#[test]
fn silence_proves_nothing_until_the_lease_is_over() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g2n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.pass(15.0);
    s.report("m-g2n", &[]);
    s.round();
    s.note("silent, but within its lease: not started elsewhere");
    s.pass(6.5);
    s.report("m-g2n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_gang_that_lost_a_running_member_stops_and_starts_anew() {
    let mut s = running_gang();
    s.round();
    s.note("one machine is returned; the other member is told to stop with time to save");
    s.cluster.machine_gone(&MachineId("m-c2n".into()));
    s.round();
    s.note("until it is gone nothing of the gang starts");
    s.report(
        "m-c1n",
        &[("wk-000001/0", FIRST, TaskPhase::Flushing, None)],
    );
    s.round();
    s.report(
        "m-c1n",
        &[("wk-000001/0", FIRST, EXITED, Some(Cause::Stopped))],
    );
    s.round();
    s.report("m-c1n", &[]);
    s.report("m-c3n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_member_that_vanished_before_the_start_is_replaced_under_the_same_attempt() {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-c2n", "m-c3n"]);
    s.submit(gang("wk-000001", 2));
    s.round();
    s.report("m-c1n", &[]);
    s.report("m-c2n", &[]);
    s.report("m-c1n", &[("wk-000001/0", FIRST, GATHERING, None)]);
    s.cluster.machine_gone(&MachineId("m-c2n".into()));
    s.round();
    s.report("m-c3n", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn members_that_succeeded_count_toward_the_minimum() {
    let mut s = running_gang();
    s.report(
        "m-c1n",
        &[("wk-000001/0", FIRST, EXITED, Some(Cause::Done))],
    );
    s.cluster.machine_gone(&MachineId("m-c2n".into()));
    s.round();
    s.note("only the member without a result starts again; it need not wait for the other");
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_result_is_cleared_and_told_only_once_it_is_written() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 2));
    s.round();
    s.report("m-g1n", &[]);
    let done = ("wk-000001/0", FIRST, EXITED, Some(Cause::Done));
    let other = ("wk-000001/1", SECOND, RUNNING, None);
    s.report("m-g1n", &[done, other]);
    s.round_with(false);
    s.report("m-g1n", &[done, other]);
    s.round();
    s.report("m-g1n", &[done, other]);
    let other = ("wk-000001/1", SECOND, EXITED, Some(Cause::Done));
    s.report("m-g1n", &[other]);
    s.round();
    s.report("m-g1n", &[other]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_team_s_limit_counts_starts_not_yet_confirmed_and_stops_not_yet_finished() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n", "m-g3n"]);
    s.submit(array("wk-000001", 3));
    s.submit(array("wk-000002", 3));
    s.round();
    s.note("the team may use four cards: one task of the second job is in, two wait");
    for machine in ["m-g1n", "m-g2n", "m-g3n"] {
        s.report(machine, &[]);
    }
    s.cancel("wk-000001");
    s.round();
    s.note("cancelled, but not gone: still counted");
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_cancelled_job_leaves_its_records_last() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.cancel("wk-000001");
    s.note("cancelled while the start is on its way");
    s.round();
    s.report("m-g1n", &[("wk-000001/0", FIRST, TaskPhase::Pulling, None)]);
    s.round();
    s.report(
        "m-g1n",
        &[("wk-000001/0", FIRST, EXITED, Some(Cause::Stopped))],
    );
    s.round();
    s.report("m-g1n", &[]);
    assert!(s.cluster.jobs.is_empty());
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_write_without_an_answer_can_not_undo_a_newer_one_when_it_is_applied_late() {
    let mut s = Scene::new();
    s.report("m-g1n", &[]);
    let replica = s.replica();
    let lost = s.cluster.due_writes(&replica).remove(0);
    s.cluster
        .written(&lost.kind, &Outcome::Failed(StoreError::Unknown));
    s.report("m-g2n", &[]);
    let again = s.cluster.due_writes(&replica).remove(0);
    s.cluster.written(&again.kind, &Outcome::Committed(7));
    // Both ask for the shard as it was: whichever is applied first, the other one fails.
    assert_eq!(lost.group.when, again.group.when);
    s.report("m-g3n", &[]);
    let next = s.cluster.due_writes(&replica).remove(0);
    assert_eq!(
        next.group.when[0].version, 7,
        "and the next one builds on what was written"
    );
}

#[test]
fn a_task_nobody_knows_is_killed_and_its_machine_gets_nothing_else_meanwhile() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.report("m-g1n", &[("wk-000009/0", 5, RUNNING, None)]);
    s.round();
    s.report("m-g1n", &[("wk-000009/0", 5, EXITED, Some(Cause::Stopped))]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn failures_blame_the_machine_for_several_jobs_and_the_job_for_several_machines() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.submit(array("wk-000002", 1));
    s.round();
    s.report("m-g1n", &[]);
    let failed = |task, attempt| (task, attempt, EXITED, Some(Cause::Error));
    s.report(
        "m-g1n",
        &[failed("wk-000001/0", FIRST), failed("wk-000002/0", SECOND)],
    );
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("a job that fails on three machines rests, and they are blamed no more");
    for (machine, attempt) in [("m-g2n", SECOND + 1), ("m-g3n", SECOND + 3)] {
        s.report(machine, &[failed("wk-000001/0", attempt)]);
    }
    s.round();
    let blamed = s.cluster.machines.values().filter(|m| !m.blame.is_empty());
    let blamed: Vec<_> = blamed.map(|m| m.id.to_string()).collect();
    s.note(&format!("blamed: {blamed:?}"));
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_machine_that_is_slow_for_three_jobs_is_given_up_and_wrong_estimates_blame_none() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    for job in 1..=18u64 {
        let id = format!("wk-{job:06}");
        s.submit(array(&id, 1));
        let task = format!("{id}/0");
        // Every estimate is twice too high; what runs on the first machine takes five times
        // as long as what runs on the second.
        let (machine, ran) = if job % 6 == 0 {
            ("m-g1n", 250.0)
        } else {
            ("m-g2n", 50.0)
        };
        s.report(machine, &[(&task, job, RUNNING, None)]);
        s.pass(ran);
        s.report(machine, &[(&task, job, EXITED, Some(Cause::Done))]);
        s.report(machine, &[]);
    }
    let drain = |s: &Scene, id: &str| s.cluster.machines[&MachineId(id.into())].drain;
    assert_eq!(drain(&s, "m-g1n"), Some(Drain::Slow));
    assert_eq!(drain(&s, "m-g2n"), None);
}

#[test]
fn urgent_work_takes_room_from_standard_work_and_only_as_much_as_it_needs() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    let mut low = array("wk-000001", 2);
    low.checkpoint_s = 15.0;
    low.save_s = 6.0;
    s.submit(low);
    s.round();
    s.report("m-g1n", &[]);
    let first = ("wk-000001/0", FIRST, RUNNING, None);
    let second = ("wk-000001/1", SECOND, RUNNING, None);
    s.report("m-g1n", &[first, second]);
    let mut high = gang("wk-000002", 1);
    high.need.cpus = 7.0;
    s.submit(high);
    s.round();
    s.pass(0.5);
    s.note("the stop under way is not asked for twice");
    s.round();
    let stopped = ("wk-000001/0", FIRST, EXITED, Some(Cause::Stopped));
    s.report("m-g1n", &[stopped, second]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn the_fleet_rents_for_who_waits_and_returns_what_is_idle_or_lost() {
    let mut s = Scene::new();
    s.machines(&["m-c1n", "m-g1n"]);
    s.submit(array("wk-000001", 4));
    let decisions = s.round();
    s.fleet(&decisions);
    s.report("m-g1n", &[]);
    s.pass(90.0);
    s.report("m-c1n", &[]);
    let decisions = s.round();
    s.note("one machine idle, one silent for long");
    s.fleet(&decisions);
    s.pass(15.0);
    let decisions = s.round();
    s.note("nobody is heard: it may be us, so silence alone returns only what can't be alive");
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_zone_that_falls_silent_as_a_whole_keeps_its_machines_for_a_while() {
    let mut s = Scene::new();
    let mut job = array("wk-000001", 6);
    job.team = "blue".to_owned();
    s.submit(job);
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4s", "m-g5s", "m-g6s"];
    let tasks: Vec<String> = (0..6).map(|i| format!("wk-000001/{i}")).collect();
    let works = |s: &mut Scene, at: usize| {
        s.report(names[at], &[(&tasks[at], 1, RUNNING, None)]);
    };
    for at in 0..6 {
        works(&mut s, at);
    }
    s.pass(15.0);
    for at in 0..3 {
        works(&mut s, at);
    }
    let decisions = s.round();
    s.note("all of the south is silent, cut off most likely: nothing is returned");
    s.fleet(&decisions);
    for at in 3..5 {
        works(&mut s, at);
    }
    let decisions = s.round();
    s.note("one of the south alone is silent");
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

#[test]
fn done_tasks_of_an_earlier_term_never_run_again() {
    let mut records = accepted(&array("wk-000001", 3), true);
    let id = JobId::parse("wk-000001").unwrap();
    let bits = DoneRecord {
        bits: "5".to_owned(),
    };
    records.push((keys::done(&id, 0), to_value(&bits)));
    let mut s = Scene::with(records);
    s.report_as("m-g1n", (1, 1, 1), &[], true);
    s.round();
    s.note("tasks 0 and 2 are on record as done: only 1 starts");
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_raised_token_brings_the_report_that_takes_a_start_but_not_too_often() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.note("the started flag is written: now the token is raised, once in half a lease");
    s.round();
    s.round();
    s.report("m-g1n", &[]);
    s.submit(array("wk-000002", 1));
    s.round();
    s.round();
    s.pass(12.0);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.submit(array("wk-000003", 1));
    s.report(
        "m-g1n",
        &[("wk-000002/0", SECOND, EXITED, Some(Cause::Done))],
    );
    s.round();
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_machine_new_to_all_is_planned_for_at_once_but_started_on_only_when_fenced() {
    let mut s = Scene::new();
    s.submit(array("wk-000001", 1));
    s.listed(&["m-g1n", "m-g2n"]);
    s.report_as("m-g1n", (1, 1, 0), &[], true);
    s.round();
    s.note("its first report; the start waits until it knows our term");
    s.report_as("m-g1n", (1, 2, 1), &[], true);
    s.note("a late copy of an early report hides what is on the machine");
    s.submit(array("wk-000002", 1));
    s.report_as("m-g2n", (1, 1, 0), &[], true);
    s.round();
    let other = ("wk-000009/0", 5, RUNNING, None);
    s.report_as("m-g2n", (1, 9, 0), &[other], true);
    s.report_as("m-g2n", (1, 10, 1), &[other], true);
    insta::assert_snapshot!(s.log);
}

/// A machine whose reports arrive, in the words of the report that shows only the first token.
fn deaf_report(s: &mut Scene, machine: &str, tasks: &[(&str, u64, TaskPhase, Option<Cause>)]) {
    s.seq += 1;
    let seq = s.seq;
    s.report_as(machine, (1, seq, 1), tasks, true);
}

#[test]
fn a_machine_that_reports_but_hears_nothing_gets_no_more_starts_and_is_returned() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2s", "m-g3s", "m-g4s"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.note("from here nothing reaches m-g1n, while its reports arrive");
    let runs = ("wk-000001/0", SECOND, RUNNING, None);
    for step in 0..6 {
        s.pass(0.4);
        deaf_report(&mut s, "m-g1n", &[]);
        s.report(
            "m-g2s",
            if step < 2 {
                &[]
            } else {
                std::slice::from_ref(&runs)
            },
        );
        for other in ["m-g3s", "m-g4s"] {
            s.report(other, &[]);
        }
        let decisions = s.round();
        s.fleet(&decisions);
    }
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_machine_that_hears_again_half_way_works_again_and_a_deaf_zone_is_not_returned_at_once() {
    let mut s = Scene::new();
    let south = ["m-g2s", "m-g3s", "m-g4s"];
    s.machines(&["m-g1n", "m-g5n", "m-g6n", "m-g2s", "m-g3s", "m-g4s"]);
    let mut job = array("wk-000001", 12);
    job.team = "blue".to_owned();
    s.submit(job);
    s.round();
    for machine in ["m-g1n", "m-g5n", "m-g6n", "m-g2s", "m-g3s", "m-g4s"] {
        s.report(machine, &[]);
    }
    s.note("the south hears nothing from here on");
    for machine in south {
        deaf_report(&mut s, machine, &[]);
    }
    for _ in 0..5 {
        s.pass(0.5);
        for machine in south {
            deaf_report(&mut s, machine, &[]);
        }
        for machine in ["m-g1n", "m-g5n", "m-g6n"] {
            s.report(machine, &[]);
        }
    }
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("m-g2s hears again");
    s.report("m-g2s", &[]);
    s.round();
    s.report("m-g2s", &[]);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_deaf_machine_does_not_keep_a_new_leader_waiting_for_ever_nor_one_silent_machine_all_jobs() {
    let mut records = accepted(&array("wk-000001", 1), true);
    records.extend(accepted(&gang("wk-000002", 1), true));
    // The record of the second job names where it may be.
    let id = JobId::parse("wk-000002").unwrap();
    let mut live = LiveRecord {
        spec: gang("wk-000002", 1),
        submitted_ms: 0,
        started: true,
        hosts: Some(vec!["m-c1n".to_owned()]),
    };
    records.pop();
    records.push((keys::live(&id), to_value(&live)));
    live.spec.id = JobId::parse("wk-000003").unwrap();
    records.push(roster(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]));
    let mut s = Scene::with(records);
    s.listed(&["m-c1n", "m-c2n", "m-c3n", "m-g1n"]);
    for machine in ["m-c1n", "m-c2n", "m-c3n"] {
        s.report(machine, &[]);
    }
    s.note("m-g1n reports, but never shows our term; only the array can be there");
    s.report_as(
        "m-g1n",
        (4, 7, 0),
        &[("wk-000001/0", 7, RUNNING, None)],
        true,
    );
    s.round();
    for _ in 0..4 {
        s.pass(0.5);
        s.seq += 1;
        let seq = s.seq + 7;
        s.report_as(
            "m-g1n",
            (4, seq, 0),
            &[("wk-000001/0", 7, RUNNING, None)],
            true,
        );
        for machine in ["m-c1n", "m-c2n", "m-c3n"] {
            s.report(machine, &[]);
        }
    }
    let decisions = s.round();
    s.fleet(&decisions);
    s.note("its return is the proof");
    s.cluster.machine_gone(&MachineId("m-g1n".into()));
    s.report("m-g2n", &[]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn late_copies_of_reports_bring_nothing_back_and_prove_nothing() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.note("copies from before the start: no second start, and the task is not believed gone");
    for seq in [1, 3] {
        assert_eq!(
            s.report_as("m-g1n", (1, seq, 1), &[], true),
            Verified::Older
        );
    }
    s.round();
    s.cancel("wk-000001");
    s.round();
    s.report(
        "m-g1n",
        &[("wk-000001/0", FIRST, EXITED, Some(Cause::Stopped))],
    );
    s.note("a copy from before the stop: the task is not back, and its room is free");
    let seq = s.seq - 1;
    s.report_as(
        "m-g1n",
        (1, seq, 1),
        &[("wk-000001/0", FIRST, RUNNING, None)],
        true,
    );
    s.submit(array("wk-000002", 4));
    s.round();
    s.note("a machine that was returned, then copies of what it said");
    s.cluster.machine_gone(&MachineId("m-g2n".into()));
    s.report_as(
        "m-g2n",
        (1, 90, 1),
        &[("wk-000002/0", 9, RUNNING, None)],
        true,
    );
    let told: Vec<String> = s
        .cluster
        .news()
        .gone
        .iter()
        .map(|m| m.to_string())
        .collect();
    s.note(&format!(
        "the other nodes are told that it is gone: {told:?}"
    ));
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_copy_from_before_a_change_of_leader_is_a_hint_only() {
    let mut records = accepted(&array("wk-000001", 1), true);
    records.push(roster(&["m-g1n"]));
    let mut s = Scene::with(records);
    let mut told = Told::default();
    told.gone.push_back(MachineId("m-g9n".into()));
    s.cluster.hint(&told);
    s.note("copies: of a roster machine without the task, of one gone, of one nobody knows");
    s.report_as("m-g1n", (1, 3, 0), &[], true);
    s.report_as(
        "m-g9n",
        (1, 3, 0),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    s.report_as("m-g8n", (1, 1, 0), &[], true);
    s.round();
    s.report_as(
        "m-g1n",
        (1, 8, 1),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    s.round();
    s.pass(2.0);
    s.report_as(
        "m-g1n",
        (1, 9, 1),
        &[("wk-000001/0", 4, RUNNING, None)],
        true,
    );
    let decisions = s.round();
    s.note("the ghost is given up");
    s.fleet(&decisions);
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_machine_that_begins_again_under_its_name_is_told_from_a_late_copy_by_asking_it() {
    let mut s = Scene::new();
    s.machines(&["m-g1n"]);
    s.submit(array("wk-000001", 1));
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.pass(0.2);
    s.note("back at once: its session and number begin again");
    s.report_as("m-g1n", (1, 1, 0), &[], true);
    s.round();
    s.pass(0.1);
    s.report_as("m-g1n", (1, 2, 1), &[], false);
    s.note("what was on it went with its former life; copies of what that said are told apart");
    s.round();
    let running = ("wk-000001/0", FIRST, RUNNING, None);
    let copy = s.report_as("m-g1n", (1, 40, 1), &[running], true);
    assert_eq!(copy, Verified::Older);
    s.note("the new life brings back the token that only it was given");
    s.seq = 4;
    s.report("m-g1n", &[]);
    insta::assert_snapshot!(s.log);
}

/// Small jobs arrive faster than they leave; whatever is large has to begin all the same.
#[test]
fn the_largest_jobs_begin_in_bounded_time_under_a_stream_of_small_ones() {
    let mut s = Scene::new();
    let names: Vec<String> = (0..6).map(|n| format!("m-c{n}n")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    s.machines(&names);
    let mut running: Vec<(String, u64, String, f64)> = Vec::new();
    s.submit(gang("wk-900000", 6));
    let mut never = array("wk-900001", 3);
    never.need.gpus = 4.0;
    s.submit(never);
    let (mut next, mut began) = (1, None);
    for second in 0..240u32 {
        s.log.clear();
        s.pass(1.0);
        let mut small = gang(&format!("wk-{next:06}"), 1 + next % 2);
        small.team = if next % 3 == 0 { "red" } else { "blue" }.to_owned();
        s.submit(small);
        next += 1;
        let decisions = s.round();
        if decisions
            .starts
            .iter()
            .any(|start| start.job.as_str() == "wk-900000")
        {
            began = Some(second);
            break;
        }
        for start in decisions.starts {
            let attempt = s.cluster.jobs[&start.job].attempt.unwrap().0;
            for (index, machine) in start.members {
                running.push((
                    format!("{}/{index}", start.job),
                    attempt,
                    machine.to_string(),
                    0.0,
                ));
            }
        }
        for name in &names {
            let mut tasks = Vec::new();
            for (task, attempt, machine, age) in &mut running {
                if machine == name {
                    *age += 1.0;
                    let over = *age > 20.0;
                    let phase = if over { EXITED } else { RUNNING };
                    let cause = over.then_some(Cause::Done);
                    if *age > 1.0 {
                        tasks.push((task.as_str(), *attempt, phase, cause));
                    }
                }
            }
            s.report(name, &tasks);
        }
        running.retain(|(.., age)| *age <= 22.0);
    }
    assert!(began.is_some(), "it never began");
}

/// Seen on a recorded day: what was stopped for a gang started again in the first room that came
/// free, and was stopped again, thousands of times.
#[test]
fn room_made_for_a_gang_is_kept_until_the_last_of_it_is_free() {
    let mut s = Scene::new();
    s.machines(&["m-g1n", "m-g2n"]);
    let mut low = array("wk-000001", 4);
    low.checkpoint_s = 15.0;
    low.save_s = 6.0;
    s.submit(low);
    s.round();
    s.report("m-g1n", &[]);
    s.report("m-g2n", &[]);
    let task = |n: u64, phase, cause| {
        (
            ["wk-000001/0", "wk-000001/1", "wk-000001/2", "wk-000001/3"][n as usize],
            FIRST + n,
            phase,
            cause,
        )
    };
    let runs = |n| task(n, RUNNING, None);
    let gone = |n| task(n, EXITED, Some(Cause::Stopped));
    s.report("m-g1n", &[runs(0), runs(1)]);
    s.report("m-g2n", &[runs(2), runs(3)]);
    let mut high = gang("wk-000002", 2);
    high.need.cpus = 12.0;
    s.submit(high);
    s.round();
    s.pass(0.5);
    s.report("m-g1n", &[gone(0), gone(1)]);
    s.report("m-g2n", &[runs(2), runs(3)]);
    s.note("one of the two machines is free: nothing else goes there");
    s.round();
    s.pass(0.5);
    s.report("m-g1n", &[]);
    s.report("m-g2n", &[gone(2), gone(3)]);
    s.round();
    insta::assert_snapshot!(s.log);
}

#[test]
fn a_team_at_its_limit_and_a_job_that_fails_everywhere_hold_nobody_else_up() {
    let mut s = Scene::new();
    let names = ["m-g1n", "m-g2n", "m-g3n", "m-g4n", "m-g5n"];
    s.machines(&names);
    s.submit(array("wk-000001", 9));
    s.round();
    s.note("red uses all that it may; a job of blue has failed on three machines");
    let mut faulty = array("wk-000002", 1);
    faulty.team = "blue".to_owned();
    s.submit(faulty);
    for (machine, attempt) in [("m-g3n", 77), ("m-g4n", 78), ("m-g5n", 79)] {
        s.report(
            machine,
            &[("wk-000002/0", attempt, EXITED, Some(Cause::Error))],
        );
    }
    s.pass(11.0);
    for name in names {
        s.report(name, &[]);
    }
    let mut other = array("wk-000003", 2);
    other.team = "blue".to_owned();
    s.submit(other);
    s.round();
    insta::assert_snapshot!(s.log);
}
