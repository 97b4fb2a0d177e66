//! One machine as its heartbeats, the cloud's list and this leader's commands show it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use knotlanding_links::health::WorkerEvidence;
use knotlanding_links::reachability::Reachability;

use super::faults::FaultAttribution;
use super::termination::TerminationEvidence;
use super::{ImageId, InstanceId, MessageOrder, PoolId, TaskInstance};
use crate::model::{FencingToken, JobId, MachineId, Resources};

/// Sums over a machine's instances, without exited ones.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Resources of all instances of known jobs.
    pub allocated: Resources,
    /// The number of tasks that may be on the machine.
    pub tasks: usize,
    /// Whether an instance of an unknown job, whose resources are unknown, may be on the machine.
    pub has_unknown_task: bool,
    /// Whether a start is planned or a termination requested.
    pub commands_pending: bool,
}

/// Whether a record is in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// It is missing, or its last write was not confirmed.
    NotWritten,
    /// A write is in flight.
    Writing,
    /// A committed write or a read has shown it.
    Written,
}

/// Why a machine is drained: it takes no new tasks until an operator or a later finding ends the
/// drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainReason {
    /// Tasks of several jobs failed on it.
    Faulty,
    /// Its tasks exceed their estimates much further than tasks on other machines do.
    Slow,
    /// An operator requested the drain.
    Operator,
}

impl DrainReason {
    /// The text in the admin interface.
    pub fn label(self) -> &'static str {
        match self {
            Self::Faulty => "sick",
            Self::Slow => "slow",
            Self::Operator => "operator",
        }
    }
}

/// A machine that is rented or sends heartbeats, with its instances.
#[derive(Clone, Debug)]
pub struct Machine {
    /// The name given by the cloud.
    pub id: MachineId,
    /// Where it accepts direct commands; empty if unknown.
    pub address: String,
    /// The machine type; empty until the cloud or a heartbeat names it.
    pub machine_type: String,
    /// The zone; empty until the cloud or a heartbeat names it.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// The number of its pool in [`super::MachinePools`], once its type and zone are known.
    pub pool: Option<PoolId>,
    /// When it was rented, or first known if that is unknown.
    pub rented_at: Instant,
    /// Order of the last heartbeat within its current incarnation.
    pub(super) last_message: MessageOrder,
    /// Highest token in its heartbeats or in this leader's messages to it.
    pub token: FencingToken,
    /// Whether its last heartbeat contained a token of this term, so that its agent rejects
    /// commands of earlier leaders.
    pub fenced: bool,
    /// Whether the cloud has named it and its last heartbeat contained no token and no tasks.
    /// Starts may then be planned for it, and are sent once it is fenced.
    pub(super) never_fenced: bool,
    /// Whether a rental's response or the cloud's list has named it. A late copy of a heartbeat
    /// alone does not prove that the machine exists.
    pub(super) known_to_cloud: bool,
    /// When its token was last raised to make it send a heartbeat at once.
    pub(super) token_raised_at: Option<Instant>,
    /// Whether it has acknowledged this leader's responses and commands.
    pub reachability: Reachability,
    /// The probe that shows whether an apparently old heartbeat comes from a new incarnation.
    pub(super) pending_probe: Option<PendingProbe>,
    /// When it was last probed, to fence it or to confirm that responses reach it.
    pub(super) last_probed_at: Option<Instant>,
    /// Direct commands without a response since its last heartbeat.
    pub unanswered_commands: u32,
    /// The first token of its current incarnation; later heartbeats with a lower token are from a
    /// former one.
    pub(super) incarnation_token: FencingToken,
    /// When its first heartbeat of this term arrived.
    pub first_heartbeat_at: Option<Instant>,
    /// When its last heartbeat of this term arrived.
    pub last_heartbeat_at: Option<Instant>,
    /// When this leader last responded with 200. The worker lease ends at most `timing.lease`
    /// later.
    pub last_response_at: Option<Instant>,
    /// When the cloud will reclaim the spot machine, if a heartbeat has shown a spot notice.
    pub spot_deadline: Option<Instant>,
    /// All instances that may be on it, and exited ones that its heartbeats still contain.
    pub instances: BTreeMap<InstanceId, TaskInstance>,
    /// Whether the machine inventory in the store names it.
    pub inventory_record: Persistence,
    /// Images in its cache with their sizes in GB, most recently used last.
    pub images: Vec<(ImageId, f64)>,
    /// Why it is drained; `None` if it is not.
    pub drain: Option<DrainReason>,
    /// Whether its release is outstanding; see [`Cluster::set_releasing`](super::Cluster::set_releasing).
    pub(super) releasing: bool,
    /// Jobs whose tasks failed on it since a task last completed there.
    pub faults: Vec<FaultAttribution>,
    /// For each of the last few jobs on it, the ratio of run time to estimate of the last task.
    pub(super) slowdowns: Vec<(JobId, f64)>,
    /// Until when it takes no new tasks after a failure.
    pub backoff_until: Option<Instant>,
    /// Since when no task may be on it, if none is.
    pub idle_since: Instant,
    /// Sums over its instances; see [`Machine::update_load`].
    load: Load,
    /// Its status in the cloud's last list.
    pub cloud_status: CloudStatus,
    /// When that status was first seen, moved forward by pauses of this process.
    pub cloud_status_since: Instant,
}

/// A status probe that shows whether a machine has restarted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingProbe {
    /// The epoch to send in the probe, which is that of the apparently old heartbeat.
    pub(super) epoch: u64,
    /// When the probe was last sent.
    pub(super) last_sent_at: Option<Instant>,
}

/// The status of a machine in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudStatus {
    /// The list has not named it yet.
    NotListed,
    /// It is rented and boots.
    Booting,
    /// The list shows it with any other status.
    Running,
    /// The list shows it as failed.
    Failed,
}

impl Machine {
    /// A machine of which only the name is known.
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
            last_probed_at: None,
            unanswered_commands: 0,
            incarnation_token: FencingToken::default(),
            first_heartbeat_at: None,
            last_heartbeat_at: None,
            last_response_at: None,
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
            cloud_status: CloudStatus::NotListed,
            cloud_status_since: now,
        }
    }

    /// Whether any task may be on it.
    pub fn is_busy(&self) -> bool {
        self.load.tasks > 0
    }

    /// Whether its release is outstanding, so that it gets no new tasks.
    pub fn is_releasing(&self) -> bool {
        self.releasing
    }

    /// Whether it should be running but has sent no heartbeat in this term.
    pub fn awaits_first_heartbeat(&self) -> bool {
        let up = self.cloud_status == CloudStatus::Running
            || self.inventory_record == Persistence::Written;
        self.last_heartbeat_at.is_none() && up
    }

    /// The resources of its instances, including unconfirmed starts and unfinished terminations.
    pub fn allocated(&self) -> Resources {
        self.load.allocated
    }

    /// Whether an instance of an unknown job, whose resources are unknown, may be on it.
    pub fn has_unknown_task(&self) -> bool {
        self.load.has_unknown_task
    }

    /// Whether a start is planned or a termination requested.
    pub fn commands_pending(&self) -> bool {
        self.load.commands_pending
    }

    /// Computes the sums over its instances anew. They are cached, since every scheduling cycle
    /// reads them for all machines, while the instances of few machines change between two cycles.
    pub fn update_load(&mut self) {
        self.load = self.computed_load();
    }

    /// The sums over its current instances.
    pub fn computed_load(&self) -> Load {
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
                Some(spec) => load.allocated.add(&spec.task_resources),
                None => load.has_unknown_task = true,
            }
        }
        load
    }

    /// The cached sums.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Whether it has sent heartbeats in this term, the last one longer than `limit` ago.
    pub fn heartbeat_overdue(&self, now: Instant, limit: Duration) -> bool {
        self.last_heartbeat_at
            .is_some_and(|at| now.saturating_duration_since(at) > limit)
    }

    /// The evidence by which its health is evaluated.
    pub fn health_evidence(&self) -> WorkerEvidence {
        WorkerEvidence {
            last_heartbeat_at: self.last_heartbeat_at,
            is_confirmed: self.fenced && self.reachability.is_confirmed(),
            unacknowledged_since: self.reachability.pending_since(),
            unanswered_commands: self.unanswered_commands,
        }
    }

    /// Whether it may get new tasks.
    pub fn takes_tasks(&self, now: Instant, suspect_after: Duration) -> bool {
        self.placement_refusal(now, suspect_after).is_none()
    }

    /// Drops the planned starts of a job that has ended. Dispatched instances stay until their
    /// termination is proven.
    pub(super) fn drop_plans_of(&mut self, job: &JobId) {
        let id = &self.id;
        self.instances.retain(|instance, state| {
            let keep = instance.task.job != *job || state.is_dispatched();
            if !keep {
                TerminationEvidence::NeverDispatched.log(id, &instance.task);
            }
            keep
        });
        self.update_load();
    }

    /// Excludes the machine from starts after a response or command had no effect, until a
    /// heartbeat contains a raised token, which the agent can only have from a later response or
    /// command.
    pub(super) fn require_confirmation(&mut self, now: Instant) {
        if let Some(raised) = self
            .token
            .raised()
            .filter(|_| self.reachability.is_confirmed())
        {
            self.token = raised;
            self.reachability.require_acknowledgement(raised.0, now);
        }
    }

    /// Whether starts may be dispatched to it now, in the response to a heartbeat.
    pub fn can_start(&self, now: Instant, suspect_after: Duration) -> bool {
        self.fenced
            && self.inventory_record == Persistence::Written
            && self.takes_tasks(now, suspect_after)
    }

    /// Whether its image cache is believed to hold the image.
    pub fn has_image(&self, image: ImageId) -> bool {
        self.images.iter().any(|(known, _)| *known == image)
    }

    /// Marks an image as the most recently used, and evicts the least recently used ones beyond the
    /// cache size.
    pub fn record_image_use(&mut self, image: ImageId, gb: f64, cache_gb: f64) {
        self.images.retain(|(known, _)| *known != image);
        self.images.push((image, gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }
}
