//! A small cluster under a clock that the test moves, and what happens in it as text.

#![allow(dead_code)]

use std::fmt::Write;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use knotlanding::cluster::{
    AddressedCommand, Cluster, DispatchTargets, HeartbeatOrdering, HeartbeatSource, RecordKind,
};
use knotlanding::config::Settings;
use knotlanding::fleet::{self, CapacityBackoff, FleetView, IdlePolicy, ScalingAction};
use knotlanding::model::{
    FencingToken, JobId, JobKind, JobSpec, MachineId, MachineType, Priority, Resources, Term,
    Verdict,
};
use knotlanding::policy::SchedulingPolicy;
use knotlanding::sched::{self, Decisions};
use knotlanding::store::keys::{
    self, DispatchedJobsRecord, InventoryRecord, JobDescription, JobRecord,
};
use knotlanding::store::replica::Replica;
use knotlanding::store::{to_value, KeyValue, StoreError, TransactionOutcome};
use knotlanding::wire::{
    ExitCause, Heartbeat, ListedMachine, TaskPhase, TaskStatus, WorkerCommand,
};

/// A small cluster with a clock, and what has happened in it so far as text.
pub struct TestLeader {
    pub settings: Settings,
    pub policy: SchedulingPolicy,
    pub cluster: Cluster,
    pub records: Vec<(String, knotlanding::store::Value)>,
    /// Records written over, so that versions only grow.
    pub rewritten: u64,
    pub now: Instant,
    pub start: Instant,
    pub sequence: u64,
    pub revision: u64,
    pub log: String,
    /// The token that the next report shows, if it is not a term's first.
    pub heard: Option<FencingToken>,
}

/// The time of day in all scenes: with the real one, jobs submitted together would differ in age
/// by a millisecond now and then, and with it in order.
pub fn fixed_wall_time() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

pub fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, gpus: f64, price: f64| MachineType {
        name: name.to_owned(),
        capacity: Resources {
            cpus,
            gpus,
            memory: 64.0,
        },
        hourly_price: price,
        hourly_spot_price: price / 3.0,
        boot_time: Duration::from_secs(40),
        cache_gb: 50.0,
        pull_gb_per_s: 0.5,
        zones: vec!["north".to_owned(), "south".to_owned()],
    };
    vec![
        machine_type("cpu16", 16.0, 0.0, 0.9),
        machine_type("gpu2", 12.0, 2.0, 6.0),
    ]
}

pub fn gang_job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(id).unwrap(),
        class: "prompt".to_owned(),
        team: "blue".to_owned(),
        kind: JobKind::Gang,
        priority: Priority::Urgent,
        tasks,
        task_resources: Resources {
            cpus: 15.0,
            gpus: 0.0,
            memory: 20.0,
        },
        machine_types: None,
        zone: None,
        single_zone: true,
        zone_spread: false,
        spot: true,
        image: "img-1".to_owned(),
        image_gb: 3.0,
        estimate_s: 100.0,
        checkpoint_interval_s: 30.0,
        checkpoint_cost_s: 5.0,
        deadline_s: None,
    }
}

pub fn array_job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        kind: JobKind::Array,
        priority: Priority::Standard,
        class: "batch".to_owned(),
        team: "red".to_owned(),
        task_resources: Resources {
            cpus: 5.0,
            gpus: 1.0,
            memory: 20.0,
        },
        single_zone: false,
        checkpoint_interval_s: 0.0,
        checkpoint_cost_s: 0.0,
        deadline_s: Some(300.0),
        ..gang_job(id, tasks)
    }
}

impl TestLeader {
    /// Takes over with these records as of term 1.
    pub fn with(records: Vec<(String, knotlanding::store::Value)>) -> Self {
        let text = super::common::settings_of_nobody();
        let settings = Settings::parse(&text, "test").unwrap();
        let start = Instant::now() + Duration::from_secs(100_000);
        let mut scene = Self {
            policy: SchedulingPolicy::new(&settings),
            cluster: Cluster::recover(
                Term(1),
                &settings,
                &Replica::default(),
                Arc::new(machine_types()),
                start,
                fixed_wall_time(),
            ),
            settings,
            records,
            rewritten: 0,
            now: start,
            start,
            sequence: 0,
            revision: 100,
            log: String::new(),
            heard: None,
        };
        scene.recover(1);
        scene
    }

    pub fn new() -> Self {
        Self::with(Vec::new())
    }

    pub fn note(&mut self, line: &str) {
        let at = self.now.duration_since(self.start).as_secs_f64();
        writeln!(self.log, "{at:6.1}s {line}").unwrap();
    }

    pub fn replica(&self) -> Replica {
        let rows = self.records.iter().enumerate();
        let rows = rows.map(|(at, (key, value))| KeyValue {
            key: key.clone(),
            value: value.clone(),
            version: at as u64 + 1 + self.rewritten,
        });
        let mut replica = Replica::default();
        replica.load(rows.collect(), self.records.len() as u64);
        replica
    }

    pub fn put_record(&mut self, key: String, value: knotlanding::store::Value) {
        let before = self.records.len();
        self.records.retain(|(known, _)| *known != key);
        self.rewritten += (before - self.records.len()) as u64;
        self.records.push((key, value));
    }

    pub fn recover(&mut self, term: u64) {
        self.cluster = Cluster::recover(
            Term(term),
            &self.settings,
            &self.replica(),
            Arc::new(machine_types()),
            self.now,
            fixed_wall_time(),
        );
        let unreconciled = self.cluster.unreconciled.len();
        self.note(&format!(
            "term {term} begins, {unreconciled} machines unsettled"
        ));
    }

    pub fn submit(&mut self, spec: JobSpec) {
        self.note(&format!("submitted: {} x{}", spec.id, spec.tasks));
        for (key, value) in accepted_job_records(&spec, false) {
            self.put_record(key, value);
        }
        self.sync(&spec.id);
    }

    pub fn cancel(&mut self, id: &str) {
        self.note(&format!("cancelled by its user: {id}"));
        let id = JobId::parse(id).unwrap();
        let live = self
            .replica()
            .descriptions
            .get(&id)
            .map(|live| live.record.clone());
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks: 1,
            description: live,
        };
        self.put_record(keys::job(&id), to_value(&record));
        self.sync(&id);
    }

    pub fn sync(&mut self, id: &JobId) {
        let replica = self.replica();
        let wall = fixed_wall_time();
        self.cluster.sync_job(id, &replica, self.now, wall, false);
    }

    pub fn advance_clock(&mut self, s: f64) {
        self.now += Duration::from_secs_f64(s);
    }

    /// One round, with all writes committed unless they are refused.
    pub fn round(&mut self) -> Decisions {
        self.round_with(true)
    }

    pub fn round_with(&mut self, writes_work: bool) -> Decisions {
        for machine in self.cluster.machines.values() {
            assert_eq!(*machine.load(), machine.computed_load(), "{}", machine.id);
        }
        self.cluster.expire(self.now);
        let decisions = sched::run_cycle(&self.cluster, &self.policy, self.now);
        sched::apply(&mut self.cluster, &decisions, self.now);
        for start in &decisions.starts {
            let to: Vec<_> = start
                .members
                .iter()
                .map(|(i, m)| format!("{i} on {m}"))
                .collect();
            self.note(&format!("round: start {} [{}]", start.job, to.join(", ")));
        }
        for restart in &decisions.gang_restarts {
            let (job, reason) = (&restart.job, restart.reason);
            self.note(&format!("round: stop gang {job}: {reason}"));
        }
        for termination in &decisions.terminations {
            self.note(&format!(
                "round: stop {} on {}",
                termination.task, termination.machine
            ));
        }
        for pending in &decisions.pending_jobs {
            let (job, reason) = (&pending.job, pending.reason);
            self.note(&format!("round: {job} waits for {reason}"));
        }
        self.write_records(writes_work);
        let direct = self.cluster.direct_commands(self.now);
        for direct in &direct {
            let AddressedCommand { machine, body, .. } = direct;
            let raised = body.token & 0xfffff;
            let commands = shown(&body.commands);
            self.note(&format!(
                "straight to {machine} (raised {raised}): {commands}"
            ));
        }
        decisions
    }

    pub fn write_records(&mut self, works: bool) {
        let replica = self.replica();
        for write in self.cluster.due_writes(&replica, self.now) {
            let outcome = if works {
                self.revision += 1;
                TransactionOutcome::Committed(self.revision)
            } else {
                TransactionOutcome::Failed(StoreError::Refused(503))
            };
            let what = match &write.kind {
                RecordKind::Dispatch { entries, .. } => {
                    let each = entries.iter().map(|entry| match &entry.targets {
                        DispatchTargets::Anywhere => format!("{} anywhere", entry.job),
                        DispatchTargets::Machines(machines) => {
                            format!("{} to {machines:?} at most", entry.job)
                        }
                    });
                    format!("starts: {}", each.collect::<Vec<_>>().join("; "))
                }
                RecordKind::Progress { job, chunk, digits } => {
                    format!("{job} done chunk {chunk} = {digits}")
                }
                RecordKind::Finished { job } => format!("{job} is done"),
                RecordKind::Retired { job } => format!("{job} retired"),
                RecordKind::Inventory { shard, machines } => {
                    format!("roster {shard} = {machines:?}")
                }
            };
            self.note(&format!(
                "write {}: {what}",
                if works { "ok" } else { "refused" }
            ));
            self.cluster.apply_write_outcome(&write.kind, &outcome);
        }
    }

    /// A report with an explicit number; what it is answered.
    pub fn receive_heartbeat_with(
        &mut self,
        machine: &str,
        (epoch, sequence, token): (u64, u64, u64),
        tasks: &[(&str, u64, TaskPhase, Option<ExitCause>)],
        own: bool,
    ) -> HeartbeatOrdering {
        let source = if own {
            HeartbeatSource::Worker
        } else {
            HeartbeatSource::Command(self.now)
        };
        let (machine_type, zone) = place_of(machine);
        let tasks: Vec<TaskStatus> = tasks
            .iter()
            .map(|(task, attempt, phase, cause)| TaskStatus {
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
        let heartbeat = Heartbeat {
            machine: machine.to_owned(),
            address: "127.0.0.1:9".to_owned(),
            machine_type: machine_type.to_owned(),
            zone: zone.to_owned(),
            spot: false,
            epoch,
            sequence,
            token: self
                .heard
                .unwrap_or_default()
                .0
                .max(FencingToken::first(Term(token)).0),
            notice_s: None,
            tasks,
        };
        let verified = self.cluster.apply_heartbeat(&heartbeat, source, self.now);
        let kind = if own { "report" } else { "direct answer" };
        self.note(&format!(
            "{kind} of {machine} ({epoch}.{sequence} token {token}): [{}] {verified:?}",
            list.join(", ")
        ));
        if own && verified == HeartbeatOrdering::Newer {
            let id = MachineId(machine.into());
            let commands = self.cluster.respond(&id, self.now, true);
            if !commands.is_empty() {
                self.note(&format!("answer to {machine}: {}", shown(&commands)));
            }
        }
        verified
    }

    /// The next report of a machine in session 1 that hears all it is told.
    pub fn receive_heartbeat(
        &mut self,
        machine: &str,
        tasks: &[(&str, u64, TaskPhase, Option<ExitCause>)],
    ) {
        self.sequence += 1;
        let token = self.cluster.term.0;
        let id = MachineId(machine.into());
        self.heard = self.cluster.machines.get(&id).map(|m| m.token);
        self.receive_heartbeat_with(machine, (1, self.sequence, token), tasks, true);
        self.heard = None;
    }

    /// The cloud's list names these machines.
    pub fn listed(&mut self, names: &[&str]) {
        let list: Vec<ListedMachine> = names
            .iter()
            .map(|name| ListedMachine {
                id: (*name).to_owned(),
                address: "127.0.0.1:9".to_owned(),
                machine_type: place_of(name).0.to_owned(),
                zone: place_of(name).1.to_owned(),
                spot: false,
                status: "running".to_owned(),
                age_s: 100.0,
            })
            .collect();
        self.cluster.apply_machine_list(&list, self.now);
    }

    /// Machines that have reported and are on the roster.
    pub fn machines(&mut self, names: &[&str]) {
        for name in names {
            self.receive_heartbeat(name, &[]);
        }
        self.round();
    }

    pub fn fleet(&mut self, decisions: &Decisions) {
        fleet::detect_partitions(&mut self.cluster, self.now);
        let market = CapacityBackoff::default();
        let idle_policy = IdlePolicy::default();
        let actions = fleet::plan(&FleetView {
            cluster: &self.cluster,
            policy: &self.policy,
            unmet_demand: &decisions.unmet_demand,
            capacity_backoff: &market,
            idle_policy,
            now: self.now,
        });
        for action in actions {
            let shown = match action {
                ScalingAction::Rent(pool, count) => format!("Rent({pool:?}, {count})"),
                ScalingAction::Release(ids, reason) => {
                    format!("Return({ids:?}, {:?})", reason.as_str())
                }
            };
            self.note(&format!("fleet: {shown}"));
        }
    }
}

/// A gang of two that runs on the first two of three machines.
pub fn running_gang() -> TestLeader {
    let mut s = TestLeader::new();
    s.machines(&["m-c1n", "m-c2n", "m-c3n"]);
    s.submit(gang_job("wk-000001", 2));
    s.round();
    s.receive_heartbeat("m-c1n", &[]);
    s.receive_heartbeat("m-c2n", &[]);
    s.receive_heartbeat("m-c1n", &[("wk-000001/0", FIRST, RUNNING, None)]);
    s.receive_heartbeat("m-c2n", &[("wk-000001/1", FIRST, RUNNING, None)]);
    s
}

pub fn accepted_job_records(
    spec: &JobSpec,
    started: bool,
) -> Vec<(String, knotlanding::store::Value)> {
    let submitted = fixed_wall_time().duration_since(SystemTime::UNIX_EPOCH);
    let live = JobDescription {
        spec: spec.clone(),
        submitted_ms: submitted.unwrap().as_millis() as u64,
        started: false,
        hosts: None,
    };
    let job = JobRecord {
        verdict: Verdict::Accepted,
        tasks: spec.tasks,
        description: Some(live),
    };
    let mut records = vec![(keys::job(&spec.id), to_value(&job))];
    if started {
        records.push(sent(&spec.id, None));
    }
    records
}

/// A list that says where starts of a job may have been sent.
pub fn sent(id: &JobId, hosts: Option<&[&str]>) -> (String, knotlanding::store::Value) {
    let hosts = hosts.map(|hosts| hosts.iter().map(|host| (*host).to_owned()).collect());
    let record = DispatchedJobsRecord {
        jobs: vec![(id.clone(), hosts)],
    };
    let number: u32 = id.as_str()[3..].parse().unwrap();
    (keys::dispatch(Term(0), number), to_value(&record))
}

/// The same job as version 0.3.0 wrote it down.
pub fn accepted_apart(spec: &JobSpec, hosts: &[&str]) -> Vec<(String, knotlanding::store::Value)> {
    let live = JobDescription {
        spec: spec.clone(),
        submitted_ms: 0,
        started: true,
        hosts: Some(hosts.iter().map(|host| (*host).to_owned()).collect()),
    };
    let job = JobRecord::without_description(Verdict::Accepted, spec.tasks);
    vec![
        (keys::job(&spec.id), to_value(&job)),
        (keys::description(&spec.id), to_value(&live)),
    ]
}

pub fn inventory(machines: &[&str]) -> (String, knotlanding::store::Value) {
    let machines = machines.iter().map(|m| (*m).to_owned()).collect();
    (keys::inventory(0), to_value(&InventoryRecord { machines }))
}

/// `m-c1n`: the first cpu machine in the north; `m-g2s`: the second gpu one in the south.
pub fn place_of(machine: &str) -> (&'static str, &'static str) {
    let machine_type = if machine.contains('c') {
        "cpu16"
    } else {
        "gpu2"
    };
    let zone = if machine.ends_with('n') {
        "north"
    } else {
        "south"
    };
    (machine_type, zone)
}

pub fn cause(cause: Option<ExitCause>) -> String {
    cause.map_or(String::new(), |cause| format!("({cause:?})"))
}

pub fn shown(commands: &[WorkerCommand]) -> String {
    let each = commands.iter().map(|command| match command {
        WorkerCommand::Run { task, attempt } => format!("run {task}#{attempt:x}"),
        WorkerCommand::Kill {
            task,
            attempt,
            grace_s,
        } => format!("kill {task}#{attempt:x} grace {grace_s}"),
        WorkerCommand::Clear { task, attempt } => format!("clear {task}#{attempt:x}"),
    });
    each.collect::<Vec<_>>().join("; ")
}

/// The attempt that term 1 gives out first, and its successors.
pub const FIRST: u64 = 1 << 32 | 1;
pub const SECOND: u64 = FIRST + 1;
pub const RUNNING: TaskPhase = TaskPhase::Running;
pub const GATHERING: TaskPhase = TaskPhase::AwaitingGang;
pub const EXITED: TaskPhase = TaskPhase::Exited;

/// A machine whose reports arrive, in the words of the report that shows only the first token.
pub fn deaf_report(
    s: &mut TestLeader,
    machine: &str,
    tasks: &[(&str, u64, TaskPhase, Option<ExitCause>)],
) {
    s.sequence += 1;
    let sequence = s.sequence;
    s.receive_heartbeat_with(machine, (1, sequence, 1), tasks, true);
}
