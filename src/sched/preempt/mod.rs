//! Preemption: terminates work that may be preempted for tasks without capacity.

mod cost;
mod guarantee;
mod releases;
mod victims;

use std::collections::{BTreeMap, HashMap, HashSet};

use super::allocate;
use super::decisions::{Decisions, GangRestartReason, Reservation};
use super::order::{JobQueue, QueueEntry};
use super::View;
use crate::capacity::releases::ExpectedReleases;
use crate::capacity::CapacityIndex;
use crate::cluster::{Cluster, InstanceId};
use crate::model::{JobId, MachineId, Resources};
use victims::{PreemptionPlan, VictimSearch};

/// Jobs for which a cycle looks for victims; the first ones in order go first, and the next cycle
/// goes on from what was terminated for them.
const PREEMPTORS_PER_CYCLE: usize = 12;

/// A job for which other work may be preempted.
#[derive(Debug)]
pub struct Preemptor<'a, 'q> {
    /// The job.
    pub entry: &'q QueueEntry<'a>,
    /// Its tasks without capacity.
    pub tasks: u32,
}

/// Finds victims for jobs without capacity, in the order of the queue.
pub fn preempt(view: View, queue: &JobQueue, preemptors: &[Preemptor], decisions: &mut Decisions) {
    if preemptors.is_empty() {
        return;
    }
    let placed = view
        .cluster
        .jobs
        .values()
        .filter(|job| job.has_placements());
    let lowest = placed.map(|job| job.spec.priority).min();
    let eligible = preemptors.iter().filter(|preemptor| {
        let entry = preemptor.entry;
        lowest.is_some_and(|priority| priority < entry.job.spec.priority)
            || guarantee::may_reclaim(view, entry)
    });
    let mut preemption = Preemption::new(view, &queue.guaranteed, decisions);
    for preemptor in eligible.take(PREEMPTORS_PER_CYCLE) {
        preemption.preempt_for(preemptor, decisions);
    }
}

/// The state of preemption in one cycle.
struct Preemption<'a, 'q> {
    view: View<'a>,
    guaranteed: &'q HashSet<&'a JobId>,
    capacity: CapacityIndex<'a>,
    expected_releases: ExpectedReleases,
    /// What teams use without what is being terminated.
    team_use: HashMap<&'a str, Resources>,
    /// What the starts of this cycle and earlier preemptors take of each machine.
    reserved: BTreeMap<MachineId, Resources>,
    victims: HashSet<(MachineId, InstanceId)>,
}

impl<'a, 'q> Preemption<'a, 'q> {
    fn new(view: View<'a>, guaranteed: &'q HashSet<&'a JobId>, decisions: &Decisions) -> Self {
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
        // Capacity in two zones is of no use to a job bound to one.
        let zones = if job.spec.single_zone {
            allocate::zones_to_try(self.view, job, &self.capacity)
        } else {
            vec![None]
        };
        let tasks = self.tasks_without_release(preemptor, &zones);
        if tasks == 0 {
            return;
        }
        // Where capacity is being freed for the job already, it goes on being freed.
        let reservation = job.capacity_reserved(self.view.now);
        let zones = reservation.map_or(zones, |reservation| vec![reservation.zone.clone()]);
        let Some((plan, zone)) = self.cheapest_plan(preemptor.entry, zones, tasks) else {
            return;
        };
        // Part of its members are of no use to a gang.
        if job.is_gang() && plan.ready != tasks {
            return;
        }
        if job.is_gang() {
            let job = job.spec.id.clone();
            decisions.reservations.push(Reservation { job, zone });
        }
        self.carry_out(plan, decisions);
    }

    /// The plan that makes way for most tasks, then at the least cost, with its zone.
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
            search.plan(zone.as_deref(), tasks).map(|plan| (plan, zone))
        });
        plans.min_by(|(a, _), (b, _)| b.ready.cmp(&a.ready).then(a.cost.total_cmp(&b.cost)))
    }

    fn carry_out(&mut self, plan: PreemptionPlan<'a>, decisions: &mut Decisions) {
        self.reserved.extend(plan.reserved);
        self.team_use = plan.team_use;
        for (machine, instance) in plan.victims {
            if let Some(job) = self.view.cluster.jobs.get(&instance.task.job) {
                decisions.terminate(job, &machine, &instance, GangRestartReason::Preempted);
            }
            // Its capacity is the preemptor's now: it must not be counted for another.
            self.victims.insert((machine, instance));
        }
    }
}

/// What the starts of the cycle will take of each machine.
fn reserved_for_starts(cluster: &Cluster, decisions: &Decisions) -> BTreeMap<MachineId, Resources> {
    let mut reserved: BTreeMap<MachineId, Resources> = BTreeMap::new();
    for start in &decisions.starts {
        let Some(job) = cluster.jobs.get(&start.job) else {
            continue;
        };
        for (_, machine) in &start.members {
            let sum = reserved.entry(machine.clone()).or_default();
            sum.add(&job.spec.task_resources);
        }
    }
    reserved
}

/// What teams use without what is being terminated: only as much is taken from a team as it has
/// beyond its guarantee.
fn remaining_team_use(cluster: &Cluster) -> HashMap<&str, Resources> {
    let mut team_use = cluster.team_use();
    for machine in cluster.machines.values().filter(|m| m.commands_pending()) {
        for instance in machine.instances.values() {
            let terminating = instance.occupies() && instance.termination.is_some();
            let Some(spec) = instance.spec.as_ref().filter(|_| terminating) else {
                continue;
            };
            if let Some(sum) = team_use.get_mut(spec.team.as_str()) {
                sum.sub(&spec.task_resources);
            }
        }
    }
    team_use
}
