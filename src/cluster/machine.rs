//! One machine as its heartbeats, the cloud and our own commands show it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use knotlanding_links::health::WorkerEvidence;
use knotlanding_links::reachability::Reachability;

use super::faults::FaultAttribution;
use super::placement_refusal::PlacementRefusal;
use super::termination::TerminationEvidence;
use super::{ImageId, MessageOrder, PoolId};
use crate::model::{Attempt, FencingToken, JobId, JobSpec, MachineId, Resources, TaskId};
use crate::wire::{ExitCause, BODY_BYTES_MAX};

/// Bytes that a task takes in a heartbeat, in the form by which its size is measured.
const TASK_STATUS_BYTES: usize = 80;
/// Tasks on a machine, results that wait to be recorded included, above which it gets no more:
/// half of what a heartbeat may hold. While the records take no progress, results of short tasks
/// would otherwise pile up until the machine could send no heartbeat.
const TASKS_PER_MACHINE_MAX: usize = BODY_BYTES_MAX / TASK_STATUS_BYTES / 2;

/// One start of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceId {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// The phase of a task instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstancePhase {
    /// Decided, not sent: nothing can have happened yet.
    Planned,
    /// Sent in the answer to a heartbeat. The next one that the worker sends by itself shows
    /// whether it took.
    Dispatched {
        /// The heartbeat answered.
        in_reply_to: MessageOrder,
    },
    /// Waits for its image.
    PullingImage,
    /// Waits for its gang.
    AwaitingGang,
    /// Runs.
    Running,
    /// Writes a checkpoint.
    Checkpointing,
    /// Ended; off the machine, but still in its heartbeats.
    Exited(ExitCause),
}

/// A termination that was requested.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Termination {
    /// Time for a checkpoint.
    pub(super) grace_s: f64,
    /// When it was last sent to the machine.
    pub(super) last_sent: Option<Instant>,
}

/// A task instance on a machine with all that is known of it.
#[derive(Clone, Debug)]
pub struct TaskInstance {
    /// The job, if it is known.
    pub spec: Option<Arc<JobSpec>>,
    /// Where it stands.
    pub phase: InstancePhase,
    /// When it was planned or first seen.
    pub known_since: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Whether it is to be terminated.
    pub termination: Option<Termination>,
    /// The image it needs, if the job is known.
    pub image: Option<ImageId>,
}

impl TaskInstance {
    /// Whether the task may be on the machine.
    pub fn occupies(&self) -> bool {
        !matches!(self.phase, InstancePhase::Exited(_))
    }

    /// Whether it was dispatched, so that a worker may know of it.
    pub fn is_dispatched(&self) -> bool {
        self.phase != InstancePhase::Planned
    }
}

/// What a machine's instances add up to.
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

/// Whether a record is in the store.
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
    /// When it was rented, as far as known.
    pub rented_at: Instant,
    /// Place of its last message among all of its incarnation.
    pub(super) last_message: MessageOrder,
    /// Highest token that it has shown or that we have used for it.
    pub token: FencingToken,
    /// It has shown our term: no older leader can command it any more.
    pub fenced: bool,
    /// It has never seen any term and holds nothing: a start may be planned for it, and is
    /// sent once it is fenced.
    pub(super) never_fenced: bool,
    /// The cloud has named it: a rental's answer or the list. A late copy of a heartbeat alone
    /// is no sign that there is such a machine.
    pub(super) known_to_cloud: bool,
    /// When it was last made to send a heartbeat at once.
    pub(super) token_raised_at: Option<Instant>,
    /// Whether our answers reach it.
    pub reachability: Reachability,
    /// A heartbeat that looks old may come from a new incarnation of the machine, which a
    /// probe shows.
    pub(super) pending_probe: Option<PendingProbe>,
    /// When it was last probed for a heartbeat that fences it.
    pub(super) last_probe: Option<Instant>,
    /// Commands sent to it directly, without an answer, since its last heartbeat.
    pub unanswered_commands: u32,
    /// The token that tells its present incarnation from a former one whose heartbeats may yet come.
    pub(super) incarnation: FencingToken,
    /// When it was first heard in this term.
    pub first_heartbeat: Option<Instant>,
    /// When the last heartbeat arrived.
    pub last_heartbeat: Option<Instant>,
    /// When we last answered 200; its lease can't end before that plus the lease's time.
    pub last_answered: Option<Instant>,
    /// When the cloud takes it away.
    pub spot_deadline: Option<Instant>,
    /// All instances that may be on it, and exited ones in its heartbeats.
    pub instances: BTreeMap<InstanceId, TaskInstance>,
    /// Whether the machine inventory in the store names it.
    pub inventory_record: Persistence,
    /// Images it has fetched with their sizes in GB, most recently used last.
    pub images: Vec<(ImageId, f64)>,
    /// Takes no new tasks.
    pub drain: Option<DrainReason>,
    /// A return is under way.
    pub releasing: bool,
    /// Jobs whose tasks failed on it since the last one that completed.
    pub faults: Vec<FaultAttribution>,
    /// Run time over estimate of the last task of each of the last few jobs on it.
    pub(super) slowdowns: Vec<(JobId, f64)>,
    /// Takes no new tasks until then.
    pub backoff_until: Option<Instant>,
    /// Since when it has had nothing to do.
    pub idle_since: Instant,
    /// What its instances add up to; see [`Machine::recount`].
    load: Load,
    /// Its state in the cloud's last list.
    pub listed: Listed,
    /// Since when it is in that state.
    pub listed_since: Instant,
}

/// A status probe that shows whether a machine has begun again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingProbe {
    /// The epoch to probe in.
    pub(super) epoch: u64,
    /// When the probe was last sent.
    pub(super) last_sent: Option<Instant>,
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
            rented_at: now,
            last_message: MessageOrder::default(),
            token: FencingToken::default(),
            fenced: false,
            never_fenced: false,
            known_to_cloud: false,
            token_raised_at: None,
            reachability: Reachability::default(),
            pending_probe: None,
            last_probe: None,
            unanswered_commands: 0,
            incarnation: FencingToken::default(),
            first_heartbeat: None,
            last_heartbeat: None,
            last_answered: None,
            spot_deadline: None,
            instances: BTreeMap::new(),
            inventory_record: Persistence::NotWritten,
            images: Vec::new(),
            drain: None,
            releasing: false,
            faults: Vec::new(),
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

    /// Whether it should be up but has sent no heartbeat in this term.
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

    /// Whether commands are due to it, or a start waits for its heartbeat.
    pub fn commands_pending(&self) -> bool {
        self.load.commands_pending
    }

    /// Adds up its instances again. Each scheduling cycle reads the sums of every machine, but the
    /// instances of few change between two cycles.
    pub fn recount(&mut self) {
        self.load = self.counted();
    }

    /// The sums of its instances as they are now.
    pub fn counted(&self) -> Load {
        let mut load = Load::default();
        for instance in self.instances.values() {
            let occupies = instance.occupies();
            load.commands_pending |=
                occupies && (!instance.is_dispatched() || instance.termination.is_some());
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
    pub fn placement_refusal(
        &self,
        now: Instant,
        suspect_after: Duration,
    ) -> Option<PlacementRefusal> {
        let fenced = self.fenced || self.never_fenced;
        let in_backoff = self.backoff_until.is_some_and(|until| now < until);
        let full = self.instances.len() >= TASKS_PER_MACHINE_MAX;
        // The first that holds is shown to operators.
        let refusals = [
            (self.last_heartbeat.is_none(), PlacementRefusal::NoHeartbeat),
            (!fenced, PlacementRefusal::NotFenced),
            (
                !self.reachability.confirmed(),
                PlacementRefusal::Unreachable,
            ),
            (self.releasing, PlacementRefusal::Releasing),
            (
                self.drain == Some(DrainReason::Faulty),
                PlacementRefusal::Faulty,
            ),
            (
                self.drain == Some(DrainReason::Slow),
                PlacementRefusal::Slow,
            ),
            (
                self.drain == Some(DrainReason::Operator),
                PlacementRefusal::Drained,
            ),
            (self.spot_deadline.is_some(), PlacementRefusal::SpotNotice),
            (self.silent(now, suspect_after), PlacementRefusal::Suspected),
            (in_backoff, PlacementRefusal::Backoff),
            (self.unknown_amount(), PlacementRefusal::UnknownTask),
            (full, PlacementRefusal::TooManyTasks),
        ];
        let first = refusals.into_iter().find(|(holds, _)| *holds);
        first.map(|(_, refusal)| refusal)
    }

    /// Whether it may get new tasks.
    pub fn takes_tasks(&self, now: Instant, suspect_after: Duration) -> bool {
        self.placement_refusal(now, suspect_after).is_none()
    }

    /// Drops the planned starts of a job that is over. What was dispatched stays until there is
    /// evidence of its termination.
    pub(super) fn drop_plans_of(&mut self, job: &JobId) {
        let id = &self.id;
        self.instances.retain(|instance, state| {
            let keep = instance.task.job != *job || state.is_dispatched();
            if !keep {
                TerminationEvidence::NeverDispatched.log(id, &instance.task);
            }
            keep
        });
        self.recount();
    }

    /// Something we sent had no effect: it gets no starts until it shows a token that it can have
    /// only from an answer of ours from now on.
    pub(super) fn require_confirmation(&mut self, now: Instant) {
        if let Some(raised) = self
            .token
            .raised()
            .filter(|_| self.reachability.confirmed())
        {
            self.token = raised;
            self.reachability.require_acknowledgement(raised.0, now);
        }
    }

    /// Whether starts may be dispatched to it now, in the answer to a heartbeat.
    pub fn can_start(&self, now: Instant, suspect_after: Duration) -> bool {
        self.fenced
            && self.inventory_record == Persistence::Written
            && self.takes_tasks(now, suspect_after)
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
