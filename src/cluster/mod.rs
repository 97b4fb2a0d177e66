//! The state of the cluster that the leader rebuilds from reports: the only owner of where a task may be.
//!
//! Quota, zones and placement ask here, so that a start not yet confirmed and a stop not yet
//! finished count the same for all of them. A task leaves a machine only by one of three
//! proofs: a report of a fenced machine without it, the cloud's confirmation that the machine
//! is gone, or the end of the worker's lease while we lead and it was fenced by us.

mod commands;
pub mod done;
mod faults;
mod heartbeat;
mod intern;
pub mod job;
pub mod machine;
mod records;
mod sent;
mod sync;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

pub use commands::AddressedCommand;
pub use faults::{FaultAttribution, SuspectedJob};
pub use heartbeat::{HeartbeatSource, Verified};
pub use intern::{ImageId, Images, MachinePools, PoolId};
pub use job::{Job, Placement, Sent};
pub use machine::{
    DrainReason, InstanceId, InstancePhase, Listed, Machine, Persistence, TaskInstance, Termination,
};
pub use records::{RecordKind, RecordWrite};

use knotlanding_links::health::{HealthJudge, HealthLimits};
use knotlanding_links::reachability::hears_few;

use self::sent::SentLists;
use crate::config::Settings;
use crate::model::{Attempt, JobId, MachineId, MachineType, Resources, TaskId, Term};
use crate::state_summary::{MachineSummary, SummaryCache};
use crate::store::replica::Replica;
use crate::timing::WorkerTiming;

/// The longest interval between two reports, in parts of the usual one.
const LATE_REPORT: f64 = 1.25;
/// A worker waits that long for an answer before it turns to another node, by the protocol.
const WORKER_GIVES_UP: Duration = Duration::from_secs(4);

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
    /// Whether it was told how long they took.
    settled_told: bool,
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
    hints: HashMap<MachineId, MachineSummary>,
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
    sent: SentLists,
    /// When a list was last written.
    listed_at: Option<Instant>,
    /// What the lists say of jobs that are not in the cluster state yet.
    said: HashMap<JobId, Sent>,
    catalog: Catalog,
}

impl Cluster {
    /// Takes over: reads the records and trusts nothing else.
    pub fn recover(
        term: Term,
        settings: &Settings,
        replica: &Replica,
        catalog: Catalog,
        now: Instant,
        wall: SystemTime,
    ) -> Self {
        let inventory =
            records::MachineInventory::load(&replica.inventory, settings.params.state.value_kb);
        let unreconciled: BTreeSet<MachineId> = inventory.machines().cloned().collect();
        let (sent, said) = SentLists::load(term, &replica.sent, settings.params.state.value_kb);
        let mut cluster = Self {
            term,
            since: now,
            became_leader_at: now,
            timing: WorkerTiming::new(settings),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            unreconciled,
            settled_told: false,
            dirty: true,
            waits: Vec::new(),
            arrivals: Vec::new(),
            pools: MachinePools::default(),
            images: Images::default(),
            changed: Changed::default(),
            hints: HashMap::new(),
            slowdowns: VecDeque::new(),
            departed: BTreeSet::new(),
            cuts: BTreeMap::new(),
            attempts: 0,
            budget: commands::CommandBudget::new(settings.params.resources.cores, now),
            versions: HashMap::new(),
            chunk: done::chunk_size(settings.params.state.value_kb),
            inventory,
            sent,
            listed_at: None,
            said,
            catalog,
        };
        let inventory_record: Vec<MachineId> = cluster.unreconciled.iter().cloned().collect();
        for id in inventory_record {
            let mut machine = Machine::new(id.clone(), now);
            machine.inventory_record = Persistence::Written;
            cluster.machines.insert(id, machine);
        }
        let ids: Vec<JobId> = replica.live.keys().cloned().collect();
        for id in ids {
            cluster.sync_job(&id, replica, now, wall, true);
        }
        // Of whatever else is listed no task can be anywhere.
        cluster.said.clear();
        let jobs = &cluster.jobs;
        cluster.sent.keep(|id| jobs.contains_key(id));
        cluster
    }

    /// Takes what an earlier leader told of the machines. Those that are gone must not come
    /// back by late copies of their reports.
    pub fn hint(&mut self, told: &SummaryCache) {
        self.hints = told.hints.clone();
        for id in &self.unreconciled {
            if let (Some(machine), Some(hint)) = (self.machines.get_mut(id), self.hints.get(id)) {
                machine.address.clone_from(&hint.address);
                machine.newest.0 = hint.epoch;
            }
        }
        let gone = told
            .gone
            .iter()
            .filter(|id| !self.unreconciled.contains(*id));
        self.departed.extend(gone.cloned());
    }

    /// Takes a new catalog.
    pub fn set_catalog(&mut self, catalog: Catalog) {
        self.catalog = catalog;
    }

    /// The catalog in use.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// A new attempt number; never given out before in any term.
    pub fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt::of(self.term, self.attempts)
    }

    /// Whether tasks of the job may be somewhere we have not heard from yet: on a machine that
    /// its record names, or on any that it may use where the record names none.
    pub fn blocked(&self, job: &Job) -> bool {
        blocked_by(&self.unreconciled, &self.machines, job)
    }

    /// What each team may be using at most right now.
    pub fn team_use(&self) -> HashMap<&str, Resources> {
        let mut sums: HashMap<&str, Resources> = HashMap::new();
        for job in self.jobs.values() {
            let mut count: usize = job.placements.values().map(Vec::len).sum();
            if self.blocked(job) {
                // Tasks of an inherited job that nobody reported may be running unseen.
                count += job.pending_count() as usize;
            }
            if count > 0 {
                let sum = sums.entry(job.spec.team.as_str()).or_default();
                sum.add(&job.spec.task_resources.times(count as u32));
            }
        }
        sums
    }

    /// Plans a start. Nothing is sent before [`Cluster::answer`] finds it safe.
    pub fn plan(&mut self, task: &TaskId, machine: &MachineId, attempt: Attempt, now: Instant) {
        let (Some(job), Some(host)) =
            (self.jobs.get_mut(&task.job), self.machines.get_mut(machine))
        else {
            return;
        };
        let placement = Placement {
            machine: machine.clone(),
            attempt,
        };
        job.placements
            .entry(task.index)
            .or_default()
            .push(placement);
        if job.gang() {
            job.attempt = Some(attempt);
        }
        let instance = TaskInstance {
            spec: Some(job.spec.clone()),
            phase: InstancePhase::Planned,
            since: now,
            running_since: None,
            stop: None,
            image: Some(job.image),
        };
        let id = InstanceId {
            task: task.clone(),
            attempt,
        };
        host.instances.insert(id, instance);
        host.recount();
    }

    /// Wants a task stopped. A start that was never sent is simply dropped.
    pub fn stop(&mut self, machine: &MachineId, instance: &InstanceId, grace_s: f64) {
        let Some(host) = self.machines.get_mut(machine) else {
            return;
        };
        let Some(state) = host.instances.get_mut(instance) else {
            return;
        };
        if !state.sent() {
            self.remove_instance(machine, instance);
            return;
        }
        if !state.occupies() {
            return;
        }
        match &mut state.stop {
            // A cancellation overrides a save that is under way.
            Some(stop) if grace_s < stop.grace_s => {
                *stop = Termination {
                    grace_s,
                    told: None,
                }
            }
            Some(_) => {}
            none => {
                *none = Some(Termination {
                    grace_s,
                    told: None,
                })
            }
        }
        host.recount();
        self.dirty = true;
    }

    /// Wants all tasks of a job stopped.
    pub fn stop_job(&mut self, id: &JobId, grace_s: f64) {
        for (machine, instance) in self.instances_of(id) {
            self.stop(&machine, &instance, grace_s);
        }
    }

    /// The job is cancelled for good, by what another node says; the records will show it.
    pub fn cancel_tasks(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.cancellation_requested || job.verdict != crate::model::Verdict::Accepted {
            return;
        }
        job.cancellation_requested = true;
        self.dirty = true;
        self.stop_job(id, 0.0);
    }

    /// Nothing is placed now, and all jobs that would be wait for the same.
    pub fn all_wait_for(&mut self, what: &'static str) {
        let open = self.jobs.values_mut().filter(|job| job.open());
        open.for_each(|job| job.pending_reason = what);
    }

    /// All places of a job.
    pub fn instances_of(&self, id: &JobId) -> Vec<(MachineId, InstanceId)> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let mut instances = Vec::new();
        for (index, placements) in &job.placements {
            for placement in placements {
                let task = TaskId {
                    job: id.clone(),
                    index: *index,
                };
                let instance = InstanceId {
                    task,
                    attempt: placement.attempt,
                };
                instances.push((placement.machine.clone(), instance));
            }
        }
        instances
    }

    /// Stops a gang's present attempt, with time to save if it saves.
    pub fn stop_gang(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.stopping = true;
        let grace = if job.spec.can_checkpoint() {
            job.spec.grace()
        } else {
            0.0
        };
        self.stop_job(id, grace);
    }

    /// Removes a start from both sides of the cluster state.
    fn remove_instance(&mut self, machine: &MachineId, instance: &InstanceId) {
        if let Some(host) = self.machines.get_mut(machine) {
            host.instances.remove(instance);
            host.recount();
        }
        self.leave(machine, instance);
    }

    /// The task is not on that machine any more (it never was, it exited, or it is gone).
    fn leave(&mut self, machine: &MachineId, instance: &InstanceId) {
        let Some(job) = self.jobs.get_mut(&instance.task.job) else {
            return;
        };
        self.changed.jobs.insert(instance.task.job.clone());
        if let Some(placements) = job.placements.get_mut(&instance.task.index) {
            placements.retain(|p| p.machine != *machine || p.attempt != instance.attempt);
            if placements.is_empty() {
                job.placements.remove(&instance.task.index);
            }
        }
        if job.placements.is_empty() {
            // The attempt is over; the next one starts fresh.
            job.attempt = None;
            job.seen_running = false;
            job.stopping = false;
        }
        self.dirty = true;
    }

    /// Ends what time alone ends. Only to be called while we lead.
    pub fn expire(&mut self, now: Instant) {
        if now.saturating_duration_since(self.became_leader_at) > self.timing.inherited_lease {
            self.settle_inherited();
        }
        let lease = self.timing.lease;
        let quiet = self.timing.suspect_after;
        let mut over = Vec::new();
        for (id, machine) in &self.machines {
            let lease_over = machine.fenced
                && machine
                    .answered
                    .is_some_and(|at| now.saturating_duration_since(at) > lease);
            let silent = machine.silent(now, quiet);
            if !(lease_over || silent) {
                continue;
            }
            for (instance, state) in &machine.instances {
                // Silence frees a plan, since nothing was sent; a start needs proof.
                let drop_plan = silent && !state.sent();
                if drop_plan || (lease_over && state.sent()) {
                    over.push((id.clone(), instance.clone()));
                }
            }
        }
        for (machine, instance) in over {
            self.remove_instance(&machine, &instance);
        }
        let recent = now.checked_sub(ARRIVALS_KEPT);
        self.arrivals
            .retain(|(at, _)| recent.is_none_or(|recent| *at >= recent));
    }

    /// Machines of earlier terms that nobody of ours has answered hold nothing any more. What they
    /// are worth waiting for is another matter.
    fn settle_inherited(&mut self) {
        let inherited_lease = self.unreconciled.iter().filter(|id| {
            let machine = self.machines.get(*id);
            machine.is_none_or(|machine| machine.answered.is_none())
        });
        let inherited_lease: Vec<MachineId> = inherited_lease.cloned().collect();
        if !inherited_lease.is_empty() {
            tracing::info!(
                machines = inherited_lease.len(),
                "hold nothing any more, by their leases"
            );
        }
        for id in inherited_lease {
            self.settled(&id);
        }
    }

    /// Goes on after a time in which we took no reports: nobody was silent towards us then.
    /// When a worker's lease ends is another matter, since it counts from our last answer.
    pub fn resume(&mut self, missed: Duration, now: Instant) {
        let later = |at: Instant| (at + missed).min(now);
        self.since = later(self.since);
        for machine in self.machines.values_mut() {
            machine.last_heartbeat = machine.last_heartbeat.map(later);
            machine.first_heartbeat = machine.first_heartbeat.map(later);
            machine.listed_since = later(machine.listed_since);
            machine.reachability.wait(missed);
            machine.unanswered_commands = 0;
        }
    }

    /// Remembers that a zone counts as cut off, or all machines if there is no name.
    pub fn note_cut(&mut self, zone: &str, now: Instant) {
        self.cuts.insert(zone.to_owned(), now);
    }

    /// Whether a zone counted as cut off within `limit`.
    pub fn cut_lately(&self, zone: &str, now: Instant, limit: Duration) -> bool {
        let at = self.cuts.get(zone);
        at.is_some_and(|at| now.saturating_duration_since(*at) < limit)
    }

    /// Whether hardly any machine is heard any more, although some were or should have been:
    /// either all of them are lost, or we are cut off from them.
    pub fn hears_few_machines(&self, now: Instant) -> bool {
        // An interval and a quarter, an answer given up and another node tried first.
        let limit = self.timing.heartbeat_interval.mul_f64(LATE_REPORT) + WORKER_GIVES_UP;
        if now.saturating_duration_since(self.since) < limit {
            return false;
        }
        let (mut known, mut heard) = (0, 0);
        for (id, machine) in &self.machines {
            if machine.last_heartbeat.is_some() || self.unreconciled.contains(id) {
                known += 1;
                heard +=
                    usize::from(machine.last_heartbeat.is_some() && !machine.silent(now, limit));
            }
        }
        hears_few(known, heard)
    }

    /// What machines' health is judged by now. Who hears hardly any of them can't tell a machine's
    /// silence from its own.
    pub fn health_judge(&self, now: Instant) -> HealthJudge {
        HealthJudge {
            limits: HealthLimits {
                suspect: self.timing.heartbeat_interval.mul_f64(LATE_REPORT)
                    + self.timing.heartbeat_interval / 2,
                lost: self.timing.failed_after,
            },
            hears_workers: !self.hears_few_machines(now),
            now,
        }
    }

    /// Number of completed and of running tasks of one job, for display.
    pub fn count(&self, id: &JobId) -> (u32, u32) {
        let Some(job) = self.jobs.get(id) else {
            return (0, 0);
        };
        let running = self
            .instances_of(id)
            .into_iter()
            .filter(|(machine, instance)| {
                let machine = self.machines.get(machine);
                let instance = machine.and_then(|machine| machine.instances.get(instance));
                instance.is_some_and(|s| {
                    matches!(
                        s.phase,
                        InstancePhase::Running | InstancePhase::Checkpointing
                    )
                })
            });
        (job.done.len(), running.count() as u32)
    }
}

/// See [`Cluster::blocked`].
fn blocked_by(
    unreconciled: &BTreeSet<MachineId>,
    machines: &BTreeMap<MachineId, Machine>,
    job: &Job,
) -> bool {
    if !job.inherited || unreconciled.is_empty() {
        return false;
    }
    match &job.sent {
        Sent::Hosts(hosts) => hosts.iter().any(|host| unreconciled.contains(host)),
        Sent::Anywhere => unreconciled.iter().any(|id| {
            let machine = machines.get(id).filter(|machine| machine.pool.is_some());
            // Of a machine whose kind nobody told it may be.
            machine.is_none_or(|m| job.spec.allows(&m.machine_type, &m.zone, m.spot))
        }),
    }
}

/// What the other nodes were not told yet.
#[derive(Debug, Default)]
struct Changed {
    machines: BTreeSet<MachineId>,
    jobs: BTreeSet<JobId>,
}

/// How long submissions are remembered for the expected demand.
pub const ARRIVALS_KEPT: Duration = Duration::from_secs(180);
