//! The cluster state of the leader, rebuilt from records and heartbeats. No other state shows where
//! tasks may be.
//!
//! Quota checks, zone constraints and placement all read it, so that unconfirmed starts and
//! unfinished terminations count the same for each of them. A placement ends only by
//! [`TerminationEvidence`].

mod commands;
mod detection;
mod dispatch_log;
mod display;
pub mod done;
mod expiry;
mod faults;
mod instances;
mod intern;
mod inventory;
pub mod job;
pub mod machine;
mod placement_refusal;
mod quota;
mod reconcile;
mod records;
mod recovery;
mod slow_machines;
mod sync;
mod task_instance;
mod termination;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use commands::{AddressedCommand, TerminationCommand};
pub use expiry::ARRIVAL_WINDOW;
pub use faults::{FaultAttribution, SuspectedJob};
pub use intern::{ImageId, Images, MachinePools, PoolId};
pub use job::{CapacityReservation, DispatchTargets, Job, Placement};
pub use machine::{CloudStatus, DrainReason, Machine, Persistence};
pub use placement_refusal::PlacementRefusal;
pub use reconcile::{HeartbeatOrdering, HeartbeatSource, MessageOrder};
pub use records::{RecordKind, RecordWrite};
pub use task_instance::{InstanceId, InstancePhase, TaskInstance, Termination};
pub use termination::TerminationEvidence;

use self::dispatch_log::DispatchLog;
use self::inventory::MachineInventory;
use crate::model::{JobId, MachineId, MachineType, Term};
use crate::pending_reason::PendingReason;
use crate::state_summary::MachineSummary;
use crate::timing::WorkerTiming;

/// The machine types as last read from the cloud, shared read-only.
pub type Catalog = Arc<Vec<MachineType>>;

/// Finds a machine type by its name.
pub fn find_machine_type<'a>(catalog: &'a Catalog, name: &str) -> Option<&'a MachineType> {
    catalog
        .iter()
        .find(|machine_type| machine_type.name == name)
}

/// The cluster state of one term.
#[derive(Debug)]
pub struct Cluster {
    /// The term of this leader.
    pub term: Term,
    /// When observation of the machines began: the start of the term, moved forward by every
    /// interval in which this process received no heartbeats.
    pub observing_since: Instant,
    /// When this process became the leader; pauses do not move it.
    became_leader_at: Instant,
    /// Heartbeat intervals, worker leases and timeouts.
    pub timing: WorkerTiming,
    /// Jobs that have to run or may still have tasks on machines.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines known from records, the cloud or heartbeats whose release is not confirmed.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines of earlier terms that are not fenced, may still hold a worker lease, and whose
    /// release is not confirmed.
    pub unreconciled: BTreeSet<MachineId>,
    /// Whether [`take_reconciliation_time`](Self::take_reconciliation_time) has returned the time
    /// until all of them were reconciled.
    reconciliation_time_taken: bool,
    /// Whether something has changed that the next scheduling cycle has to consider.
    pub scheduling_needed: bool,
    /// Times from submission to the first running task that the metrics have not taken yet.
    pub start_delays: Vec<Duration>,
    /// Recent submissions with their times, from which the expected demand is estimated.
    pub arrivals: Vec<(Instant, Arc<crate::model::JobSpec>)>,
    /// Pools of all machines seen in this term.
    pub pools: MachinePools,
    /// Images of all jobs and machines seen in this term.
    pub images: Images,
    /// Machines whose images changed and jobs whose task counts may have changed since the state
    /// summary was last published.
    unpublished: UnpublishedChanges,
    /// An earlier leader's summaries of machines from which this leader has received no heartbeat.
    inherited_summaries: HashMap<MachineId, MachineSummary>,
    /// Ratios of run time to estimate of the last tasks on any machine: the usual error of the
    /// estimates.
    slowdowns: VecDeque<f64>,
    /// Released machines, whose late heartbeats must not add them again.
    released_machines: BTreeSet<MachineId>,
    /// When a zone last counted as partitioned. The caller uses a reserved name for all machines.
    zone_partitions: BTreeMap<String, Instant>,
    attempts_issued: u32,
    /// Completed tasks per progress record.
    tasks_per_chunk: usize,
    /// The budget of direct commands that can be deferred.
    command_budget: commands::CommandBudget,
    /// Versions of the chunks and shards that this leader wrote, which the replica may not show
    /// yet.
    written_versions: HashMap<String, u64>,
    inventory: MachineInventory,
    dispatch_log: DispatchLog,
    /// When a dispatch record was last written.
    dispatch_recorded_at: Option<Instant>,
    /// Dispatch targets from the dispatch records for jobs that are not in the cluster state yet.
    recovered_targets: HashMap<JobId, DispatchTargets>,
    catalog: Catalog,
}

impl Cluster {
    /// Replaces the machine types.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        self.catalog = catalog;
    }

    /// The machine types in use.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Sets the same pending reason for all schedulable jobs, for a cycle that places nothing.
    pub fn set_pending_reason(&mut self, reason: PendingReason) {
        let open = self.jobs.values_mut().filter(|job| job.is_schedulable());
        open.for_each(|job| job.pending_reason = reason);
    }
}

/// Changes that have not been sent to the other controllers yet.
#[derive(Debug, Default)]
struct UnpublishedChanges {
    machines: BTreeSet<MachineId>,
    jobs: BTreeSet<JobId>,
}
