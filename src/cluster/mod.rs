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
pub use expiry::ARRIVALS_KEPT;
pub use faults::{FaultAttribution, SuspectedJob};
pub use intern::{ImageId, Images, MachinePools, PoolId};
pub use job::{DispatchTargets, Job, Placement};
pub use machine::{
    DrainReason, InstanceId, InstancePhase, Listed, Machine, Persistence, TaskInstance, Termination,
};
pub use reconcile::{HeartbeatOrdering, HeartbeatSource, MessageOrder};
pub use records::{RecordKind, RecordWrite};
pub use termination::TerminationEvidence;

use self::dispatch_log::DispatchLog;
use crate::model::{JobId, MachineId, MachineType, Term};
use crate::state_summary::MachineHint;
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
    pub since: Instant,
    /// When we took over, whatever was heard since.
    became_leader_at: Instant,
    /// Timing of the workers.
    pub timing: WorkerTiming,
    /// Jobs of which a task may be anywhere, or has to run.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machines of earlier terms that neither reported our term nor are gone.
    pub unreconciled: BTreeSet<MachineId>,
    /// Whether it was given out how long they took.
    reconciliation_reported: bool,
    /// Something happened that a round should look at.
    pub dirty: bool,
    /// Waits from submission to first run, not yet taken by the metrics.
    pub waits: Vec<Duration>,
    /// Submissions per class, for the expected demand.
    pub arrivals: Vec<(Instant, Arc<crate::model::JobSpec>)>,
    /// Types, zones and kinds of machines met.
    pub pools: MachinePools,
    /// Images met.
    pub images: Images,
    /// Machines whose images changed and jobs whose counts may have, since the others were
    /// last told.
    changed: Changed,
    hints: HashMap<MachineId, MachineHint>,
    /// Run times over estimates of the last tasks anywhere: what the owners' errors and the
    /// day's mood amount to.
    slowdowns: VecDeque<f64>,
    departed: BTreeSet<MachineId>,
    /// When a zone last counted as cut off, and under no name when hardly half of all machines
    /// was heard.
    cuts: BTreeMap<String, Instant>,
    attempts: u32,
    chunk: usize,
    /// AddressedCommand commands that can wait.
    budget: commands::CommandBudget,
    /// Versions of the chunks and shards we wrote, which the replica may not show yet.
    versions: HashMap<String, u64>,
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

    /// Nothing is placed now, and all jobs that would be wait for the same.
    pub fn all_wait_for(&mut self, what: &'static str) {
        let open = self.jobs.values_mut().filter(|job| job.open());
        open.for_each(|job| job.pending_reason = what);
    }
}

/// What the other nodes were not told yet.
#[derive(Debug, Default)]
struct Changed {
    machines: BTreeSet<MachineId>,
    jobs: BTreeSet<JobId>,
}
