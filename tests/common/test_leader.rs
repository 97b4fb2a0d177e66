//! An in-memory leader with a clock that the test advances. Its text log records every event.

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

/// A leader with a cluster state, stored records and a manual clock, but no network.
///
/// Lines of the log begin with the seconds since the start. A heartbeat appears as
/// `(epoch.sequence term)` with its tasks as `task#attempt`, the attempt in hexadecimal.
pub struct TestLeader {
    pub settings: Settings,
    pub policy: SchedulingPolicy,
    pub cluster: Cluster,
    pub records: Vec<(String, knotlanding::store::Value)>,
    /// Number of records replaced so far. The versions of all records include it, so that a
    /// replaced record never gets a lower version.
    pub replaced_records: u64,
    pub now: Instant,
    pub started_at: Instant,
    /// Sequence number of the last heartbeat from [`Self::receive_heartbeat`], for all machines.
    pub last_sequence: u64,
    /// Store revision of the last committed write.
    pub revision: u64,
    pub log: String,
    /// The token that the next heartbeat shows, unless the first token of its term is higher.
    pub shown_token: Option<FencingToken>,
}

/// The time of day in all tests. With the real time, jobs submitted together would sometimes differ
/// in age by a millisecond, and therefore in order.
pub fn fixed_wall_time() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

pub fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, gpus: f64, hourly_price: f64| MachineType {
        name: name.to_owned(),
        capacity: Resources {
            cpus,
            gpus,
            memory: 64.0,
        },
        hourly_price,
        hourly_spot_price: hourly_price / 3.0,
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

/// An urgent gang in a single zone. Each of its tasks needs a `cpu16` machine of its own.
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

/// A standard array in any zone. A `gpu2` machine holds two of its tasks.
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
    /// Returns the leader of term 1, which has recovered its state from these records.
    pub fn with_records(records: Vec<(String, knotlanding::store::Value)>) -> Self {
        let text = super::common::settings_with_unreachable_addresses();
        let settings = Settings::parse(&text, "test").unwrap();
        let started_at = Instant::now() + Duration::from_secs(100_000);
        let mut leader = Self {
            policy: SchedulingPolicy::new(&settings),
            cluster: Cluster::recover(
                Term(1),
                &settings,
                &Replica::default(),
                Arc::new(machine_types()),
                started_at,
                fixed_wall_time(),
            ),
            settings,
            records,
            replaced_records: 0,
            now: started_at,
            started_at,
            last_sequence: 0,
            revision: 100,
            log: String::new(),
            shown_token: None,
        };
        leader.recover(1);
        leader
    }

    pub fn new() -> Self {
        Self::with_records(Vec::new())
    }

    /// Adds a line to the log.
    pub fn note(&mut self, line: &str) {
        let elapsed = self.now.duration_since(self.started_at).as_secs_f64();
        writeln!(self.log, "{elapsed:6.1}s {line}").unwrap();
    }

    /// A replica loaded with the stored records.
    pub fn replica(&self) -> Replica {
        let entries = self.records.iter().enumerate();
        let entries = entries.map(|(index, (key, value))| KeyValue {
            key: key.clone(),
            value: value.clone(),
            version: index as u64 + 1 + self.replaced_records,
        });
        let mut replica = Replica::default();
        replica.load(entries.collect(), self.records.len() as u64);
        replica
    }

    /// Stores a record, without applying it to the cluster state.
    pub fn put_record(&mut self, key: String, value: knotlanding::store::Value) {
        let before = self.records.len();
        self.records.retain(|(stored_key, _)| *stored_key != key);
        self.replaced_records += (before - self.records.len()) as u64;
        self.records.push((key, value));
    }

    /// Begins the given term with a cluster state recovered from the stored records.
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
            "term {term} begins with {unreconciled} unreconciled machines"
        ));
    }

    /// Stores the records of an accepted job and applies them.
    pub fn submit(&mut self, spec: JobSpec) {
        self.note(&format!("job submitted: {} x{}", spec.id, spec.tasks));
        for (key, value) in accepted_job_records(&spec, false) {
            self.put_record(key, value);
        }
        self.sync_job(&spec.id);
    }

    pub fn cancel(&mut self, id: &str) {
        self.note(&format!("job cancelled: {id}"));
        let id = JobId::parse(id).unwrap();
        let description = self
            .replica()
            .descriptions
            .get(&id)
            .map(|replicated| replicated.record.clone());
        let record = JobRecord {
            verdict: Verdict::Cancelled,
            tasks: 1,
            description,
        };
        self.put_record(keys::job(&id), to_value(&record));
        self.sync_job(&id);
    }

    /// Applies the stored records of a job to the cluster state.
    pub fn sync_job(&mut self, id: &JobId) {
        let replica = self.replica();
        let wall = fixed_wall_time();
        self.cluster.sync_job(id, &replica, self.now, wall, false);
    }

    pub fn advance_clock(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
    }

    /// Runs one scheduling cycle, in which the store commits all writes.
    pub fn run_cycle(&mut self) -> Decisions {
        self.run_cycle_with(true)
    }

    /// Runs one scheduling cycle. The store commits all of its writes or rejects all of them.
    pub fn run_cycle_with(&mut self, writes_succeed: bool) -> Decisions {
        for machine in self.cluster.machines.values() {
            assert_eq!(*machine.load(), machine.computed_load(), "{}", machine.id);
        }
        self.cluster.expire(self.now);
        let decisions = sched::run_cycle(&self.cluster, &self.policy, self.now);
        sched::apply(&mut self.cluster, &decisions, self.now);
        for start in &decisions.starts {
            let placements: Vec<_> = start
                .members
                .iter()
                .map(|(index, machine)| format!("{index} on {machine}"))
                .collect();
            self.note(&format!(
                "cycle: start {} [{}]",
                start.job,
                placements.join(", ")
            ));
        }
        for restart in &decisions.gang_restarts {
            let (job, reason) = (&restart.job, restart.reason);
            self.note(&format!("cycle: terminate gang {job}: {reason}"));
        }
        for termination in &decisions.terminations {
            self.note(&format!(
                "cycle: terminate {} on {}",
                termination.task, termination.machine
            ));
        }
        for pending in &decisions.pending_jobs {
            let (job, reason) = (&pending.job, pending.reason);
            self.note(&format!("cycle: {job} waits for {reason}"));
        }
        self.write_records(writes_succeed);
        let direct_commands = self.cluster.direct_commands(self.now);
        for command in &direct_commands {
            let AddressedCommand { machine, .. } = command;
            let body = command.body();
            // The low 20 bits of a token count how often it was raised in its term.
            let raise_count = body.token & 0xfffff;
            let commands = commands_text(&body.commands);
            self.note(&format!(
                "direct command to {machine} (token raise {raise_count}): {commands}"
            ));
        }
        decisions
    }

    /// Performs all due writes. The store commits all of them or rejects all of them.
    pub fn write_records(&mut self, succeeds: bool) {
        let replica = self.replica();
        for write in self.cluster.due_writes(&replica, self.now) {
            let outcome = if succeeds {
                self.revision += 1;
                TransactionOutcome::Committed(self.revision)
            } else {
                TransactionOutcome::Failed(StoreError::Refused(503))
            };
            let contents = match &write.kind {
                RecordKind::Dispatch { entries, .. } => {
                    let each = entries.iter().map(|entry| match &entry.targets {
                        DispatchTargets::Anywhere => format!("{} to any machine", entry.job),
                        DispatchTargets::Machines(machines) => {
                            format!("{} to {machines:?} only", entry.job)
                        }
                    });
                    format!("dispatch of {}", each.collect::<Vec<_>>().join("; "))
                }
                RecordKind::Progress { job, chunk, digits } => {
                    format!("completed tasks of {job}, chunk {chunk} = {digits}")
                }
                RecordKind::Finished { job } => format!("{job} finished"),
                RecordKind::Retired { job } => format!("records of {job} deleted"),
                RecordKind::Inventory { shard, machines } => {
                    format!("inventory shard {shard} = {machines:?}")
                }
            };
            self.note(&format!(
                "write {}: {contents}",
                if succeeds { "committed" } else { "rejected" }
            ));
            self.cluster.apply_write_outcome(&write.kind, &outcome);
        }
    }

    /// Applies a heartbeat with this epoch, sequence number and term, and returns its ordering. The
    /// machine has sent it either `unsolicited` or in response to a direct command. The leader responds
    /// with commands only to an unsolicited heartbeat that is newer than all earlier ones.
    pub fn receive_heartbeat_with(
        &mut self,
        machine: &str,
        (epoch, sequence, term): (u64, u64, u64),
        tasks: &[(&str, u64, TaskPhase, Option<ExitCause>)],
        unsolicited: bool,
    ) -> HeartbeatOrdering {
        let source = if unsolicited {
            HeartbeatSource::Worker
        } else {
            HeartbeatSource::Command(self.now)
        };
        let (machine_type, zone) = type_and_zone_of(machine);
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
        let task_texts: Vec<String> = tasks
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
                .shown_token
                .unwrap_or_default()
                .0
                .max(FencingToken::first(Term(term)).0),
            notice_s: None,
            tasks,
        };
        let ordering = self.cluster.apply_heartbeat(&heartbeat, source, self.now);
        let kind = if unsolicited {
            "heartbeat from"
        } else {
            "direct command response from"
        };
        self.note(&format!(
            "{kind} {machine} ({epoch}.{sequence} term {term}): [{}] {ordering:?}",
            task_texts.join(", ")
        ));
        if unsolicited && ordering == HeartbeatOrdering::Newer {
            let id = MachineId(machine.into());
            let commands = self.cluster.respond(&id, self.now, true);
            if !commands.is_empty() {
                self.note(&format!(
                    "response to {machine}: {}",
                    commands_text(&commands)
                ));
            }
        }
        ordering
    }

    /// Applies the next heartbeat of a machine in epoch 1. It shows the machine's current token and
    /// thereby acknowledges all responses and direct commands.
    pub fn receive_heartbeat(
        &mut self,
        machine: &str,
        tasks: &[(&str, u64, TaskPhase, Option<ExitCause>)],
    ) {
        self.last_sequence += 1;
        let term = self.cluster.term.0;
        let id = MachineId(machine.into());
        self.shown_token = self.cluster.machines.get(&id).map(|m| m.token);
        self.receive_heartbeat_with(machine, (1, self.last_sequence, term), tasks, true);
        self.shown_token = None;
    }

    /// Applies a machine list of the cloud that contains only these machines.
    pub fn receive_machine_list(&mut self, names: &[&str]) {
        let list: Vec<ListedMachine> = names
            .iter()
            .map(|name| ListedMachine {
                id: (*name).to_owned(),
                address: "127.0.0.1:9".to_owned(),
                machine_type: type_and_zone_of(name).0.to_owned(),
                zone: type_and_zone_of(name).1.to_owned(),
                spot: false,
                status: "running".to_owned(),
                age_s: 100.0,
            })
            .collect();
        self.cluster.apply_machine_list(&list, self.now);
    }

    /// Adds machines by their heartbeats, and writes the inventory record in one cycle.
    pub fn add_machines(&mut self, names: &[&str]) {
        for name in names {
            self.receive_heartbeat(name, &[]);
        }
        self.run_cycle();
    }

    /// Plans rentals and releases and logs them. They have no effect on the cluster state.
    pub fn plan_scaling(&mut self, decisions: &Decisions) {
        fleet::detect_partitions(&mut self.cluster, self.now);
        let capacity_backoff = CapacityBackoff::default();
        let idle_policy = IdlePolicy::default();
        let actions = fleet::plan(&FleetView {
            cluster: &self.cluster,
            policy: &self.policy,
            unmet_demand: &decisions.unmet_demand,
            capacity_backoff: &capacity_backoff,
            idle_policy,
            now: self.now,
        });
        for action in actions {
            let action_text = match action {
                ScalingAction::Rent(pool, count) => format!("Rent({pool:?}, {count})"),
                ScalingAction::Release(ids, reason) => {
                    format!("Release({ids:?}, {:?})", reason.as_str())
                }
            };
            self.note(&format!("scaling: {action_text}"));
        }
    }
}

/// A leader with three machines, on the first two of which a gang of two runs.
pub fn leader_with_running_gang() -> TestLeader {
    let mut leader = TestLeader::new();
    leader.add_machines(&["m-c1n", "m-c2n", "m-c3n"]);
    leader.submit(gang_job("wk-000001", 2));
    leader.run_cycle();
    leader.receive_heartbeat("m-c1n", &[]);
    leader.receive_heartbeat("m-c2n", &[]);
    leader.receive_heartbeat("m-c1n", &[("wk-000001/0", ATTEMPT_1, RUNNING, None)]);
    leader.receive_heartbeat("m-c2n", &[("wk-000001/1", ATTEMPT_1, RUNNING, None)]);
    leader
}

/// The records of an accepted job. With `started`, a dispatch record shows that starts may have been
/// sent to any machine.
pub fn accepted_job_records(
    spec: &JobSpec,
    started: bool,
) -> Vec<(String, knotlanding::store::Value)> {
    let job = JobRecord::accepted(spec.clone(), fixed_wall_time());
    let mut records = vec![(keys::job(&spec.id), to_value(&job))];
    if started {
        records.push(dispatch_record(&spec.id, None));
    }
    records
}

/// A dispatch record of term 0: starts of the job may have been sent to these machines, or with `None`
/// to any machine.
pub fn dispatch_record(
    id: &JobId,
    machines: Option<&[&str]>,
) -> (String, knotlanding::store::Value) {
    let machines = machines.map(|names| names.iter().map(|name| (*name).to_owned()).collect());
    let record = DispatchedJobsRecord {
        jobs: vec![(id.clone(), machines)],
    };
    let number: u32 = id.as_str()[3..].parse().unwrap();
    (keys::dispatch(Term(0), number), to_value(&record))
}

/// The records of an accepted job as version 0.3.0 wrote them: the description has a key of its own and
/// names the machines to which starts may have been sent.
pub fn accepted_job_records_v0_3_0(
    spec: &JobSpec,
    machines: &[&str],
) -> Vec<(String, knotlanding::store::Value)> {
    let description = JobDescription {
        spec: spec.clone(),
        submitted_ms: 0,
        started: true,
        hosts: Some(
            machines
                .iter()
                .map(|machine| (*machine).to_owned())
                .collect(),
        ),
    };
    let job = JobRecord::without_description(Verdict::Accepted, spec.tasks);
    vec![
        (keys::job(&spec.id), to_value(&job)),
        (keys::description(&spec.id), to_value(&description)),
    ]
}

/// The inventory record of shard 0.
pub fn inventory_record(machines: &[&str]) -> (String, knotlanding::store::Value) {
    let machines = machines.iter().map(|m| (*m).to_owned()).collect();
    (keys::inventory(0), to_value(&InventoryRecord { machines }))
}

/// The machine type and zone that a name stands for: `m-c1n` is a `cpu16` machine in `north`, `m-g2s` a
/// `gpu2` machine in `south`.
pub fn type_and_zone_of(machine: &str) -> (&'static str, &'static str) {
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

/// The exit cause in parentheses, or nothing.
pub fn cause(cause: Option<ExitCause>) -> String {
    cause.map_or(String::new(), |cause| format!("({cause:?})"))
}

pub fn commands_text(commands: &[WorkerCommand]) -> String {
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

/// The first two attempts that term 1 issues.
pub const ATTEMPT_1: u64 = 1 << 32 | 1;
pub const ATTEMPT_2: u64 = ATTEMPT_1 + 1;
pub const RUNNING: TaskPhase = TaskPhase::Running;
pub const AWAITING_GANG: TaskPhase = TaskPhase::AwaitingGang;
pub const EXITED: TaskPhase = TaskPhase::Exited;

/// Applies the next heartbeat of a machine that receives neither responses nor direct commands of this
/// leader: the heartbeat shows only the first token of term 1.
pub fn receive_heartbeat_with_first_token(
    leader: &mut TestLeader,
    machine: &str,
    tasks: &[(&str, u64, TaskPhase, Option<ExitCause>)],
) {
    leader.last_sequence += 1;
    let sequence = leader.last_sequence;
    leader.receive_heartbeat_with(machine, (1, sequence, 1), tasks, true);
}
