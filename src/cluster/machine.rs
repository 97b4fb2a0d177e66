//! One machine as its reports, the cloud and our own commands show it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use knotlanding_links::health::WorkerEvidence;
use knotlanding_links::reachability::Reachability;

use super::faults::FaultAttribution;
use super::{ImageId, PoolId};
use crate::model::{Attempt, FencingToken, JobId, JobSpec, MachineId, Resources, TaskId};
use crate::wire::{ExitCause, BODY_LIMIT};

/// Bytes that a task takes in a report, in the form by which its size is measured.
const REPORTED_BYTES: usize = 80;
/// Tasks on a machine, results that wait to be written down included, above which it gets no more:
/// half of what a report may hold. While the records take no progress, results of short tasks
/// would otherwise pile up until no report of the machine's could be sent.
const TASKS_PER_MACHINE_MAX: usize = BODY_LIMIT / REPORTED_BYTES / 2;

/// A start of a task on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// Where a start stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstancePhase {
    /// Decided, not sent: nothing can have happened yet.
    Planned,
    /// Sent in the answer to that report. The next report of the worker's own shows whether
    /// it took.
    Dispatched {
        /// The session answered.
        epoch: u64,
        /// The report answered.
        sequence: u64,
    },
    /// Waits for its image.
    PullingImage,
    /// Waits for its gang.
    AwaitingGang,
    /// Runs.
    Running,
    /// Saves.
    Checkpointing,
    /// Ended; off the machine, but still in its reports.
    Exited(ExitCause),
}

/// A stop we want.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Termination {
    /// Time to save.
    pub grace_s: f64,
    /// When the machine was last told.
    pub told: Option<Instant>,
}

/// A start with all that is known of it.
#[derive(Clone, Debug)]
pub struct TaskInstance {
    /// The job, if it is known.
    pub spec: Option<Arc<JobSpec>>,
    /// Where it stands.
    pub phase: InstancePhase,
    /// When it was planned or first seen.
    pub since: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Whether it is to stop.
    pub stop: Option<Termination>,
    /// The image it needs, if the job is known.
    pub image: Option<ImageId>,
}

impl TaskInstance {
    /// Whether the task may be on the machine.
    pub fn occupies(&self) -> bool {
        !matches!(self.phase, InstancePhase::Exited(_))
    }

    /// Whether a worker may know of it.
    pub fn sent(&self) -> bool {
        self.phase != InstancePhase::Planned
    }
}

/// What a machine's slots add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// What is taken.
    pub taken: Resources,
    /// Tasks that may be on it.
    pub tasks: usize,
    /// Something of unknown size is on it.
    pub unknown_amount: bool,
    /// A start is planned or a stop wanted.
    pub commands_pending: bool,
}

/// Whether a record is in the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// Not there, or not known to be.
    NotWritten,
    /// Being written.
    Writing,
    /// There.
    Written,
}

/// Why a machine takes no new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// Tasks of several jobs failed on it.
    Faulty,
    /// It is much slower than others of its type.
    Slow,
    /// An operator asked.
    Operator,
}

impl DrainReason {
    /// The word by which operators see it.
    pub fn label(self) -> &'static str {
        match self {
            Self::Faulty => "sick",
            Self::Slow => "slow",
            Self::Operator => "operator",
        }
    }
}

/// Where a machine stands with the cloud and with us.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Where it takes direct commands.
    pub address: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Type, zone and kind as one number, see [`super::MachinePools`].
    pub pool: Option<PoolId>,
    /// When we first knew of it.
    pub since: Instant,
    /// When it was rented, as far as known.
    pub rented_at: Instant,
    /// Newest report's session and number.
    pub newest: (u64, u64),
    /// Highest token it has reported or we have used for it.
    pub token: FencingToken,
    /// It has reported our term: no older leader can command it any more.
    pub fenced: bool,
    /// It has never seen any term and holds nothing: a start may be planned for it, and is
    /// sent once it is fenced.
    pub fresh: bool,
    /// The cloud has told of it: a rental's answer or the list. A late copy of a report alone
    /// is no sign that there is such a machine.
    pub known_to_cloud: bool,
    /// When it was last made to report at once.
    pub token_raised_at: Option<Instant>,
    /// What shows whether it hears us.
    pub reachability: Reachability,
    /// A report that looks old may come from a new life of the machine: the session to ask in,
    /// and when it was last asked.
    pub pending_probe: Option<(u64, Option<Instant>)>,
    /// When it was last asked for a report that fences it.
    pub last_probe: Option<Instant>,
    /// Commands sent to it directly, without an answer, since it last spoke.
    pub unanswered_commands: u32,
    /// The token that tells its present life from a former one whose reports may yet come.
    pub incarnation: FencingToken,
    /// When it was first heard in this term.
    pub first_heartbeat: Option<Instant>,
    /// When the newest report arrived.
    pub last_heartbeat: Option<Instant>,
    /// When we last answered 200; its lease can't end before that plus the lease's time.
    pub answered: Option<Instant>,
    /// When the cloud takes it away.
    pub spot_deadline: Option<Instant>,
    /// All starts that may be on it, and exited ones in its reports.
    pub instances: BTreeMap<InstanceId, TaskInstance>,
    /// Whether the roster in the state service names it.
    pub inventory_record: Persistence,
    /// Images it has fetched with their sizes in GB, most recently used last.
    pub images: Vec<(ImageId, f64)>,
    /// Takes no new tasks.
    pub drain: Option<DrainReason>,
    /// A return is under way.
    pub releasing: bool,
    /// Jobs whose tasks failed on it since the last that completed.
    pub blame: Vec<FaultAttribution>,
    /// Run time over estimate of the last task of each of the last few jobs on it.
    pub slowdowns: Vec<(JobId, f64)>,
    /// Takes no new tasks until then.
    pub backoff_until: Option<Instant>,
    /// Since when it has had nothing to do.
    pub idle_since: Instant,
    /// What its slots add up to; see [`Machine::recount`].
    load: Load,
    /// What the cloud's list said of it last.
    pub listed: Listed,
    /// Since when it has said so.
    pub listed_since: Instant,
}

/// A machine's state in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Not seen there.
    No,
    /// Booting.
    Booting,
    /// Running.
    Running,
    /// Stopped by itself.
    Failed,
}

impl Machine {
    /// A machine nothing is known of but its name.
    pub fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            address: String::new(),
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            pool: None,
            since: now,
            rented_at: now,
            newest: (0, 0),
            token: FencingToken::default(),
            fenced: false,
            fresh: false,
            known_to_cloud: false,
            token_raised_at: None,
            reachability: Reachability::default(),
            pending_probe: None,
            last_probe: None,
            unanswered_commands: 0,
            incarnation: FencingToken::default(),
            first_heartbeat: None,
            last_heartbeat: None,
            answered: None,
            spot_deadline: None,
            instances: BTreeMap::new(),
            inventory_record: Persistence::NotWritten,
            images: Vec::new(),
            drain: None,
            releasing: false,
            blame: Vec::new(),
            slowdowns: Vec::new(),
            backoff_until: None,
            idle_since: now,
            load: Load::default(),
            listed: Listed::No,
            listed_since: now,
        }
    }

    /// Whether any task may be on it.
    pub fn busy(&self) -> bool {
        self.load.tasks > 0
    }

    /// Whether it should be up but has not reported in this term.
    pub fn expected(&self) -> bool {
        let up = self.listed == Listed::Running || self.inventory_record == Persistence::Written;
        self.last_heartbeat.is_none() && up
    }

    /// What is taken of it, starts not yet confirmed and stops not yet finished included.
    pub fn taken(&self) -> Resources {
        self.load.taken
    }

    /// Whether something is on it whose size nobody knows.
    pub fn unknown_amount(&self) -> bool {
        self.load.unknown_amount
    }

    /// Whether commands are due to it, or a start waits for its report.
    pub fn commands_pending(&self) -> bool {
        self.load.commands_pending
    }

    /// Adds up its slots again. SchedulerLoop ask every machine for the sums, but only few machines'
    /// slots change between two rounds.
    pub fn recount(&mut self) {
        self.load = self.counted();
    }

    /// The sums as its slots have them now.
    pub fn counted(&self) -> Load {
        let mut load = Load::default();
        for instance in self.instances.values() {
            let occupies = instance.occupies();
            load.commands_pending |= occupies && (!instance.sent() || instance.stop.is_some());
            if !occupies {
                continue;
            }
            load.tasks += 1;
            match &instance.spec {
                Some(spec) => load.taken.add(&spec.task_resources),
                None => load.unknown_amount = true,
            }
        }
        load
    }

    /// The sums as they are kept.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Whether it was up in this term and has been silent for longer than `limit`.
    pub fn silent(&self, now: Instant, limit: Duration) -> bool {
        self.last_heartbeat
            .is_some_and(|at| now.saturating_duration_since(at) > limit)
    }

    /// What speaks for and against its health.
    pub fn evidence(&self) -> WorkerEvidence {
        WorkerEvidence {
            last_heartbeat: self.last_heartbeat,
            confirmed: self.fenced && self.reachability.confirmed(),
            unacknowledged_since: self.reachability.pending_since(),
            unanswered_commands: self.unanswered_commands,
        }
    }

    /// Why it gets no new tasks, if that is so.
    pub fn passed_over(&self, now: Instant, silence: Duration) -> Option<&'static str> {
        let reasons = [
            (
                self.last_heartbeat.is_none(),
                "it has not reported in this term",
            ),
            (
                !(self.fenced || self.fresh),
                "it has not shown this term's token",
            ),
            (
                !self.reachability.confirmed(),
                "it does not seem to hear us",
            ),
            (self.releasing, "it is being returned"),
            (
                self.drain == Some(DrainReason::Faulty),
                "tasks of several jobs failed on it",
            ),
            (
                self.drain == Some(DrainReason::Slow),
                "it is much slower than others",
            ),
            (
                self.drain == Some(DrainReason::Operator),
                "an operator drains it",
            ),
            (self.spot_deadline.is_some(), "the cloud takes it back"),
            (self.silent(now, silence), "it is silent"),
            (
                self.backoff_until.is_some_and(|until| now < until),
                "it rests after a failure",
            ),
            (self.unknown_amount(), "something unknown runs on it"),
            (
                self.instances.len() >= TASKS_PER_MACHINE_MAX,
                "its reports would get too long",
            ),
        ];
        let holds = reasons.into_iter().find(|(holds, _)| *holds);
        holds.map(|(_, why)| why)
    }

    /// Whether it may get new tasks.
    pub fn takes_tasks(&self, now: Instant, silence: Duration) -> bool {
        self.passed_over(now, silence).is_none()
    }

    /// Something we told it did not show: it gets no starts until it brings back a token that
    /// it can have only from us, from now on.
    pub fn doubt(&mut self, now: Instant) {
        if let Some(raised) = self
            .token
            .raised()
            .filter(|_| self.reachability.confirmed())
        {
            self.token = raised;
            self.reachability.require_acknowledgement(raised.0, now);
        }
    }

    /// Whether starts may be sent to it now, in the answer to a report.
    pub fn can_start(&self, now: Instant, silence: Duration) -> bool {
        self.fenced
            && self.inventory_record == Persistence::Written
            && self.takes_tasks(now, silence)
    }

    /// Whether it has the image, as far as we know.
    pub fn has_image(&self, image: ImageId) -> bool {
        self.images.iter().any(|(known, _)| *known == image)
    }

    /// Notes that it has just used an image.
    pub fn used_image(&mut self, image: ImageId, gb: f64, cache_gb: f64) {
        self.images.retain(|(known, _)| *known != image);
        self.images.push((image, gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }
}
