//! The cluster state of the leader, rebuilt from heartbeats: the only owner of where a task may be.
//!
//! Quota, zones and placement read it, so that an unconfirmed start and an unfinished termination
//! count the same for all of them. A placement ends only by [`TerminationEvidence`].

mod commands;
mod detection;
mod dispatch_log;
mod display;
pub mod done;
mod expiry;
mod faults;
mod instances;
mod intern;
pub mod job;
pub mod machine;
mod placement_refusal;
mod quota;
mod reconcile;
mod records;
mod recovery;
mod slow_machines;
mod sync;
mod termination;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use commands::AddressedCommand;
pub use expiry::ARRIVAL_WINDOW;
pub use faults::{FaultAttribution, SuspectedJob};
pub use intern::{ImageId, Images, MachinePools, PoolId};
pub use job::{CapacityReservation, DispatchTargets, Job, Placement};
pub use machine::{
    CloudStatus, DrainReason, InstanceId, InstancePhase, Machine, Persistence, TaskInstance,
    Termination,
};
pub use placement_refusal::PlacementRefusal;
pub use reconcile::{HeartbeatOrdering, HeartbeatSource, MessageOrder};
pub use records::{RecordKind, RecordWrite};
pub use termination::TerminationEvidence;

use self::dispatch_log::DispatchLog;
use crate::model::{JobId, MachineId, MachineType, Term};
use crate::pending_reason::PendingReason;
use crate::state_summary::MachineSummary;
use crate::timing::WorkerTiming;

/// The machine types as last read, shared read-only.
pub type Catalog = Arc<Vec<MachineType>>;

/// Finds a type.
pub fn find_machine_type<'a>(catalog: &'a Catalog, name: &str) -> Option<&'a MachineType> {
    catalog
        .iter()
        .find(|machine_type| machine_type.name == name)
}

/// The cluster state of one term.
#[derive(Debug)]
pub struct Cluster {
    /// Our term.
    pub term: Term,
    /// Since when we lead; moved on by times in which we heard nobody.
    pub observing_since: Instant,
    /// When we became leader, whatever was heard since.
    became_leader_at: Instant,
    /// Timing of the workers.
    pub timing: WorkerTiming,
    /// Jobs of which a task may be anywhere, or has to run.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines of earlier terms that have neither shown our term nor are confirmed terminated.
    pub unreconciled: BTreeSet<MachineId>,
    /// Whether it was given out how long they took.
    reconciliation_reported: bool,
    /// Something changed that the next scheduling cycle has to consider.
    pub scheduling_needed: bool,
    /// Times from submission to the first running task, not yet taken by the metrics.
    pub start_delays: Vec<Duration>,
    /// Submissions per class, for the expected demand.
    pub arrivals: Vec<(Instant, Arc<crate::model::JobSpec>)>,
    /// Types, zones and kinds of machines met.
    pub pools: MachinePools,
    /// Images met.
    pub images: Images,
    /// Machines whose images changed and jobs whose counts may have, since the summary was last
    /// published.
    unpublished: UnpublishedChanges,
    hints: HashMap<MachineId, MachineSummary>,
    /// Run times over estimates of the last tasks anywhere: the usual error of the estimates.
    slowdowns: VecDeque<f64>,
    /// Machines of which late heartbeats must not be taken for those of new machines.
    terminated_machines: BTreeSet<MachineId>,
    /// When a zone last counted as cut off; the empty name stands for all machines.
    zone_cuts: BTreeMap<String, Instant>,
    attempts_issued: u32,
    /// Completed tasks that one progress record holds.
    chunk: usize,
    /// Direct commands that can wait.
    command_budget: commands::CommandBudget,
    /// Versions of the chunks and shards we wrote, which the replica may not show yet.
    written_versions: HashMap<String, u64>,
    inventory: records::MachineInventory,
    dispatch_log: DispatchLog,
    /// When a dispatch record was last written.
    dispatch_recorded_at: Option<Instant>,
    /// What the dispatch records say of jobs that are not in the cluster state yet.
    recovered_targets: HashMap<JobId, DispatchTargets>,
    catalog: Catalog,
}

impl Cluster {
    /// Takes a new catalog.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        self.catalog = catalog;
    }

    /// The catalog in use.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Nothing is placed now, and all schedulable jobs are pending for the same reason.
    pub fn set_pending_reason(&mut self, reason: PendingReason) {
        let open = self.jobs.values_mut().filter(|job| job.is_schedulable());
        open.for_each(|job| job.pending_reason = reason);
    }
}

/// What the other controllers have not been sent yet.
#[derive(Debug, Default)]
struct UnpublishedChanges {
    machines: BTreeSet<MachineId>,
    jobs: BTreeSet<JobId>,
}
