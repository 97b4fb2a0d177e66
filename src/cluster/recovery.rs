//! Recovery of the cluster state by a new leader from the records. Machines of earlier terms stay
//! unreconciled until they are fenced or released, or their worker leases have expired.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant, SystemTime};

use tracing::info;

use super::dispatch_log::DispatchLog;
use super::inventory::MachineInventory;
use super::{
    commands, done, Catalog, Cluster, Images, Machine, MachinePools, Persistence,
    UnpublishedChanges,
};
use crate::config::Settings;
use crate::model::{JobId, MachineId, Term};
use crate::state_summary::SummaryCache;
use crate::store::replica::Replica;
use crate::timing::WorkerTiming;

impl Cluster {
    /// Builds the cluster state of a new term from the records alone.
    pub fn recover(
        term: Term,
        settings: &Settings,
        replica: &Replica,
        catalog: Catalog,
        now: Instant,
        wall: SystemTime,
    ) -> Self {
        let inventory = MachineInventory::load(&replica.inventory, settings.params.store.value_kb);
        let unreconciled: BTreeSet<MachineId> = inventory.machines().cloned().collect();
        let (dispatch_log, recovered_targets) = DispatchLog::load(
            term,
            &replica.dispatch_records,
            settings.params.store.value_kb,
        );
        let mut cluster = Self {
            term,
            observing_since: now,
            became_leader_at: now,
            timing: WorkerTiming::new(settings),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            unreconciled,
            reconciliation_time_taken: false,
            scheduling_needed: true,
            start_delays: Vec::new(),
            arrivals: Vec::new(),
            pools: MachinePools::default(),
            images: Images::default(),
            unpublished: UnpublishedChanges::default(),
            inherited_summaries: HashMap::new(),
            slowdowns: VecDeque::new(),
            released_machines: BTreeSet::new(),
            zone_partitions: BTreeMap::new(),
            attempts_issued: 0,
            command_budget: commands::CommandBudget::new(settings.params.resources.cores, now),
            written_versions: HashMap::new(),
            tasks_per_chunk: done::tasks_per_chunk(settings.params.store.value_kb),
            inventory,
            dispatch_log,
            dispatch_recorded_at: None,
            recovered_targets,
            catalog,
        };
        cluster.recover_machines(now);
        cluster.recover_jobs(replica, now, wall);
        cluster
    }

    /// Adds the machines that the inventory records name.
    fn recover_machines(&mut self, now: Instant) {
        for id in &self.unreconciled {
            let mut machine = Machine::new(id.clone(), now);
            machine.inventory_record = Persistence::Written;
            self.machines.insert(id.clone(), machine);
        }
    }

    /// Adds the jobs that have not ended.
    fn recover_jobs(&mut self, replica: &Replica, now: Instant, wall: SystemTime) {
        let ids: Vec<JobId> = replica.descriptions.keys().cloned().collect();
        for id in ids {
            self.sync_job(&id, replica, now, wall, true);
        }
        // Other jobs in the dispatch records have ended, and no task of them can be on any machine.
        self.recovered_targets.clear();
        let jobs = &self.jobs;
        self.dispatch_log.retain_jobs(|id| jobs.contains_key(id));
    }

    /// Applies an earlier leader's summary of the machines. Late heartbeats of machines that it
    /// shows as removed must not add them again.
    pub fn adopt_summary(&mut self, summary: &SummaryCache) {
        self.inherited_summaries = summary.machines.clone();
        for id in &self.unreconciled {
            if let (Some(machine), Some(machine_summary)) =
                (self.machines.get_mut(id), self.inherited_summaries.get(id))
            {
                machine.address.clone_from(&machine_summary.address);
                machine.last_message.epoch = machine_summary.epoch;
            }
        }
        let removed = summary
            .removed_machines
            .iter()
            .filter(|id| !self.unreconciled.contains(*id));
        self.released_machines.extend(removed.cloned());
    }

    /// Marks the machine as reconciled: no unknown task of an earlier term can be on it any more.
    pub(super) fn mark_reconciled(&mut self, id: &MachineId) {
        if !self.unreconciled.remove(id) {
            return;
        }
        self.scheduling_needed = true;
        if self.unreconciled.is_empty() {
            info!(term = self.term.0, "all machines reconciled");
        }
    }

    /// The time from the start of observation until all machines were reconciled, returned once.
    pub fn take_reconciliation_time(&mut self, now: Instant) -> Option<Duration> {
        if self.reconciliation_time_taken || !self.unreconciled.is_empty() {
            return None;
        }
        self.reconciliation_time_taken = true;
        Some(now.saturating_duration_since(self.observing_since))
    }
}
