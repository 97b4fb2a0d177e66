//! Selection of victims: on each machine the cheapest tasks that make way for one task of the
//! preemptor, then the cheapest machines.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use super::{cost, guarantee, View};
use crate::capacity::CapacityIndex;
use crate::cluster::{find_machine_type, InstanceId, Job, Machine};
use crate::model::{JobId, MachineId, MachineType, Resources};
use crate::sched::order::QueueEntry;

/// Terminations that make way for tasks of a job.
pub(super) struct PreemptionPlan<'a> {
    /// What teams use after them.
    pub(super) team_use: HashMap<&'a str, Resources>,
    /// Tasks that get capacity.
    pub(super) ready: u32,
    /// Lost time, in seconds.
    pub(super) cost: f64,
    /// What is terminated.
    pub(super) victims: Vec<(MachineId, InstanceId)>,
    /// What is reserved of each machine after them.
    pub(super) reserved: BTreeMap<MachineId, Resources>,
}

/// The search for victims for one preemptor.
pub(super) struct VictimSearch<'a, 'b> {
    pub(super) view: View<'a>,
    pub(super) team_use: &'b HashMap<&'a str, Resources>,
    pub(super) guaranteed: &'b HashSet<&'a JobId>,
    pub(super) preemptor: &'b QueueEntry<'a>,
    pub(super) capacity: &'b CapacityIndex<'a>,
    pub(super) reserved: &'b BTreeMap<MachineId, Resources>,
    /// Victims of earlier preemptors.
    pub(super) victims: &'b HashSet<(MachineId, InstanceId)>,
}

/// A task that may be preempted.
struct VictimCandidate<'a> {
    lost_work_s: f64,
    instance: &'a InstanceId,
    resources: Resources,
}

/// A machine on which terminations would make way for a task.
struct PreemptionOption {
    cost: f64,
    machine: usize,
    victims: Vec<InstanceId>,
}

impl PartialEq for PreemptionOption {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for PreemptionOption {}

impl PartialOrd for PreemptionOption {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PreemptionOption {
    fn cmp(&self, other: &Self) -> Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.machine.cmp(&other.machine))
    }
}

impl<'a> VictimSearch<'a, '_> {
    /// The cheapest terminations that make way for up to `tasks` tasks in a zone, or anywhere.
    pub(super) fn plan(&self, zone: Option<&str>, tasks: u32) -> Option<PreemptionPlan<'a>> {
        let pools = self.capacity.pools_for(&self.preemptor.job.spec, zone);
        let mut plan = PreemptionPlan {
            team_use: self.team_use.clone(),
            ready: 0,
            cost: 0.0,
            victims: Vec::new(),
            reserved: BTreeMap::new(),
        };
        let mut victims: HashSet<(MachineId, InstanceId)> = HashSet::new();
        let mut options: BinaryHeap<Reverse<PreemptionOption>> = BinaryHeap::new();
        let machines = self.capacity.machines.iter().enumerate();
        for (at, _) in machines.filter(|(_, machine)| pools.contains(&machine.pool)) {
            options.extend(self.option(at, &plan, &victims).map(Reverse));
        }
        while plan.ready < tasks {
            let Some(Reverse(best)) = options.pop() else {
                break;
            };
            let at = best.machine;
            // What was taken meanwhile may leave a team without anything beyond its guarantee.
            match self.option(at, &plan, &victims) {
                Some(current) if current.victims == best.victims => {}
                changed => {
                    options.extend(changed.map(Reverse));
                    continue;
                }
            }
            self.add_to_plan(best, &mut plan, &mut victims);
            options.extend(self.option(at, &plan, &victims).map(Reverse));
        }
        (plan.ready > 0).then_some(plan)
    }

    fn add_to_plan(
        &self,
        option: PreemptionOption,
        plan: &mut PreemptionPlan,
        victims: &mut HashSet<(MachineId, InstanceId)>,
    ) {
        let machine = &self.capacity.machines[option.machine].machine.id;
        plan.ready += 1;
        plan.cost += option.cost;
        let before = self.reserved.get(machine).copied();
        let sum = plan.reserved.entry(machine.clone());
        sum.or_insert(before.unwrap_or_default())
            .add(&self.preemptor.job.spec.task_resources);
        for instance in option.victims {
            if let Some(job) = self.view.cluster.jobs.get(&instance.task.job) {
                if let Some(sum) = plan.team_use.get_mut(job.spec.team.as_str()) {
                    sum.sub(&job.spec.task_resources);
                }
            }
            victims.insert((machine.clone(), instance.clone()));
            plan.victims.push((machine.clone(), instance));
        }
    }

    /// The cheapest victims on one machine that make way for one task; none where there is
    /// capacity already or terminations under way free it.
    fn option(
        &self,
        at: usize,
        plan: &PreemptionPlan,
        victims: &HashSet<(MachineId, InstanceId)>,
    ) -> Option<PreemptionOption> {
        let machine = self.capacity.machines[at].machine;
        let catalog = self.view.cluster.catalog();
        let machine_type = find_machine_type(catalog, &machine.machine_type)?;
        let job = self.preemptor.job;
        let needed = &job.spec.task_resources;
        let (mut free, mut candidates) = self.candidates(machine, machine_type, plan, victims)?;
        candidates.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s));
        let mut cost = 0.0;
        let mut victims = Vec::new();
        for candidate in candidates {
            if needed.fits(&free) {
                break;
            }
            free.add(&candidate.resources);
            cost += candidate.lost_work_s;
            victims.push(candidate.instance.clone());
        }
        // Capacity is of use to the preemptor once its image is there.
        let cost = cost + cost::pull_s(job, machine, machine_type);
        needed.fits(&free).then_some(PreemptionOption {
            cost,
            machine: at,
            victims,
        })
    }

    /// What is free of a machine after all terminations decided so far, and the tasks on it that
    /// may be preempted.
    fn candidates<'m>(
        &self,
        machine: &'m Machine,
        machine_type: &MachineType,
        plan: &PreemptionPlan,
        victims: &HashSet<(MachineId, InstanceId)>,
    ) -> Option<(Resources, Vec<VictimCandidate<'m>>)> {
        let View { cluster, now, .. } = self.view;
        let reserved = plan.reserved.get(&machine.id);
        let reserved = reserved.or(self.reserved.get(&machine.id));
        let mut free = machine_type.capacity;
        free.sub(&reserved.copied().unwrap_or_default());
        let mut candidates = Vec::new();
        let instances = machine.instances.iter();
        for (id, instance) in instances.filter(|(_, instance)| instance.occupies()) {
            let spec = instance.spec.as_ref()?;
            let is_victim = || {
                let key = (machine.id.clone(), id.clone());
                victims.contains(&key) || self.victims.contains(&key)
            };
            if instance.termination.is_some() || is_victim() {
                continue;
            }
            free.sub(&spec.task_resources);
            let job = cluster.jobs.get(&id.task.job)?;
            if self.may_preempt(&plan.team_use, job) {
                candidates.push(VictimCandidate {
                    lost_work_s: cost::lost_work_s(job, instance, now),
                    instance: id,
                    resources: spec.task_resources,
                });
            }
        }
        Some((free, candidates))
    }

    /// Whether the preemptor may preempt tasks of a job.
    fn may_preempt(&self, team_use: &HashMap<&str, Resources>, victim: &Job) -> bool {
        let preemptor = self.preemptor;
        if self.view.cluster.may_have_unreconciled_tasks(victim) || victim.stopping {
            return false;
        }
        if victim.spec.priority < preemptor.job.spec.priority {
            return true;
        }
        let other_team = victim.spec.team != preemptor.job.spec.team;
        // What is itself within the guarantee is not what its team has beyond it.
        other_team
            && guarantee::exceeded_without(self.view, team_use, victim)
            && !self.guaranteed.contains(&victim.spec.id)
            && guarantee::may_reclaim(self.view, preemptor)
    }
}
