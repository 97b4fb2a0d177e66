//! Preemption: terminates running tasks to free capacity for pending tasks of jobs that have
//! precedence over them.

mod cost;
mod guarantee;
mod releases;
mod victims;

use std::collections::{BTreeMap, HashMap, HashSet};

use super::allocate;
use super::decisions::{Decisions, GangRestartReason, Reservation};
use super::order::{JobQueue, QueueEntry};
use super::SchedulingView;
use crate::capacity::releases::ExpectedReleases;
use crate::capacity::CapacityIndex;
use crate::cluster::{Cluster, InstanceId};
use crate::model::{JobId, MachineId, Resources};
use victims::{PreemptionPlan, VictimSearch};

/// The most jobs for which one cycle looks for victims, in the order of the queue. The next cycle
/// takes into account what is being terminated for them.
const PREEMPTORS_PER_CYCLE: usize = 12;

/// A job for which other work may be preempted.
#[derive(Debug)]
pub struct Preemptor<'a, 'q> {
    /// The queue entry of the job.
    pub entry: &'q QueueEntry<'a>,
    /// The number of its tasks without capacity; at least 1.
    pub tasks: u32,
}

/// Selects victims for jobs without capacity, in the order of the queue, and adds their termination
/// to the decisions.
pub fn preempt(
    view: SchedulingView,
    queue: &JobQueue,
    preemptors: &[Preemptor],
    decisions: &mut Decisions,
) {
    if preemptors.is_empty() {
        return;
    }
    let placed = view
        .cluster
        .jobs
        .values()
        .filter(|job| job.has_placements());
    let lowest_priority = placed.map(|job| job.spec.priority).min();
    let eligible = preemptors.iter().filter(|preemptor| {
        let entry = preemptor.entry;
        lowest_priority.is_some_and(|priority| priority < entry.job.spec.priority)
            || guarantee::may_reclaim(view, entry)
    });
    let mut preemption = Preemption::new(view, &queue.guaranteed, decisions);
    for preemptor in eligible.take(PREEMPTORS_PER_CYCLE) {
        preemption.preempt_for(preemptor, decisions);
    }
}

struct Preemption<'a, 'q> {
    view: SchedulingView<'a>,
    guaranteed: &'q HashSet<&'a JobId>,
    capacity: CapacityIndex<'a>,
    expected_releases: ExpectedReleases,
    /// Resources that each team uses, without tasks that are being terminated.
    team_use: HashMap<&'a str, Resources>,
    /// Resources of each machine taken by the starts of this cycle and by earlier preemptors.
    reserved: BTreeMap<MachineId, Resources>,
    victims: HashSet<(MachineId, InstanceId)>,
}

impl<'a, 'q> Preemption<'a, 'q> {
    fn new(
        view: SchedulingView<'a>,
        guaranteed: &'q HashSet<&'a JobId>,
        decisions: &Decisions,
    ) -> Self {
        let capacity = CapacityIndex::of(view.cluster, view.now);
        Self {
            view,
            guaranteed,
            expected_releases: ExpectedReleases::of(&capacity, view.now),
            capacity,
            team_use: remaining_team_use(view.cluster),
            reserved: reserved_for_starts(view.cluster, decisions),
            victims: HashSet::new(),
        }
    }

    fn preempt_for(&mut self, preemptor: &Preemptor<'a, '_>, decisions: &mut Decisions) {
        let job = preemptor.entry.job;
        // A single-zone job can't use capacity in two zones: each zone is considered on its own.
        let zones = if job.spec.single_zone {
            allocate::candidate_zones(self.view, job, &self.capacity)
        } else {
            vec![None]
        };
        let tasks = self.tasks_not_served_by_releases(preemptor, &zones);
        if tasks == 0 {
            return;
        }
        // If capacity is already being freed for the job, more is freed in the same zone only.
        let reservation = job.capacity_reserved(self.view.now);
        let zones = reservation.map_or(zones, |reservation| vec![reservation.zone.clone()]);
        let Some((plan, zone)) = self.cheapest_plan(preemptor.entry, zones, tasks) else {
            return;
        };
        // A gang can't start with capacity for only some of its members.
        if job.is_gang() && plan.served != tasks {
            return;
        }
        if job.is_gang() {
            let job = job.spec.id.clone();
            decisions.reservations.push(Reservation { job, zone });
        }
        self.apply_plan(plan, decisions);
    }

    /// Returns the plan that frees capacity for the most tasks, among these the one of least cost,
    /// with its zone.
    fn cheapest_plan(
        &self,
        preemptor: &QueueEntry<'a>,
        zones: Vec<Option<String>>,
        tasks: u32,
    ) -> Option<(PreemptionPlan<'a>, Option<String>)> {
        let plans = zones.into_iter().filter_map(|zone| {
            let search = VictimSearch {
                view: self.view,
                team_use: &self.team_use,
                guaranteed: self.guaranteed,
                preemptor,
                capacity: &self.capacity,
                reserved: &self.reserved,
                victims: &self.victims,
            };
            search
                .find_plan(zone.as_deref(), tasks)
                .map(|plan| (plan, zone))
        });
        plans.min_by(|(a, _), (b, _)| b.served.cmp(&a.served).then(a.cost_s.total_cmp(&b.cost_s)))
    }

    fn apply_plan(&mut self, plan: PreemptionPlan<'a>, decisions: &mut Decisions) {
        self.reserved.extend(plan.reserved);
        self.team_use = plan.team_use;
        for (machine, instance) in plan.victims {
            if let Some(job) = self.view.cluster.jobs.get(&instance.task.job) {
                decisions.terminate(job, &machine, &instance, GangRestartReason::Preempted);
            }
            // The victim's capacity belongs to this preemptor and must not count for another.
            self.victims.insert((machine, instance));
        }
    }
}

/// Returns the resources of each machine that the starts of the cycle will take.
fn reserved_for_starts(cluster: &Cluster, decisions: &Decisions) -> BTreeMap<MachineId, Resources> {
    let mut reserved: BTreeMap<MachineId, Resources> = BTreeMap::new();
    for start in &decisions.starts {
        let Some(job) = cluster.jobs.get(&start.job) else {
            continue;
        };
        for (_, machine) in &start.members {
            let resources = reserved.entry(machine.clone()).or_default();
            resources.add(&job.spec.task_resources);
        }
    }
    reserved
}

/// Returns the resources that each team uses, without tasks that are being terminated, so that
/// preemption takes from a team only what it uses above its guarantee.
fn remaining_team_use(cluster: &Cluster) -> HashMap<&str, Resources> {
    let mut team_use = cluster.team_use();
    for machine in cluster
        .machines
        .values()
        .filter(|machine| machine.commands_pending())
    {
        for instance in machine.instances.values() {
            let terminating = instance.occupies() && instance.termination.is_some();
            let Some(spec) = instance.spec.as_ref().filter(|_| terminating) else {
                continue;
            };
            if let Some(resources) = team_use.get_mut(spec.team.as_str()) {
                resources.sub(&spec.task_resources);
            }
        }
    }
    team_use
}
