//! Selection of victims: finds on each machine the cheapest tasks whose termination frees capacity
//! for one task of the preemptor, then selects the cheapest machines.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use super::{cost, guarantee, SchedulingView};
use crate::capacity::CapacityIndex;
use crate::cluster::{find_machine_type, InstanceId, Job, Machine};
use crate::model::{JobId, MachineId, MachineType, Resources};
use crate::sched::order::QueueEntry;

/// Terminations that free capacity for tasks of a preemptor.
pub(super) struct PreemptionPlan<'a> {
    /// Resources that each team uses after these terminations.
    pub(super) team_use: HashMap<&'a str, Resources>,
    /// The number of the preemptor's tasks that get capacity.
    pub(super) served: u32,
    /// Lost run time and image pulls, summed over all terminations.
    pub(super) cost_s: f64,
    /// The tasks to terminate, in the order in which they were selected.
    pub(super) victims: Vec<(MachineId, InstanceId)>,
    /// Resources reserved on each machine of the plan, including those of
    /// [`VictimSearch::reserved`].
    pub(super) reserved: BTreeMap<MachineId, Resources>,
}

/// The search for victims for one preemptor. It changes nothing but the plan that it returns.
pub(super) struct VictimSearch<'a, 'b> {
    pub(super) view: SchedulingView<'a>,
    pub(super) team_use: &'b HashMap<&'a str, Resources>,
    pub(super) guaranteed: &'b HashSet<&'a JobId>,
    pub(super) preemptor: &'b QueueEntry<'a>,
    pub(super) capacity: &'b CapacityIndex<'a>,
    pub(super) reserved: &'b BTreeMap<MachineId, Resources>,
    /// Victims of earlier preemptors in this cycle, which are not yet marked in the cluster state.
    pub(super) victims: &'b HashSet<(MachineId, InstanceId)>,
}

/// A task that may be preempted.
struct VictimCandidate<'a> {
    lost_work_s: f64,
    instance: &'a InstanceId,
    resources: Resources,
}

/// Terminations on one machine that would free capacity for one task of the preemptor.
struct PreemptionOption {
    cost_s: f64,
    machine_index: usize,
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
        self.cost_s
            .total_cmp(&other.cost_s)
            .then(self.machine_index.cmp(&other.machine_index))
    }
}

impl<'a> VictimSearch<'a, '_> {
    /// Finds the cheapest terminations that free capacity for up to `tasks` tasks, in `zone` or in
    /// any zone. Returns `None` if there are none.
    pub(super) fn find_plan(&self, zone: Option<&str>, tasks: u32) -> Option<PreemptionPlan<'a>> {
        let pools = self.capacity.pools_for(&self.preemptor.job.spec, zone);
        let mut plan = PreemptionPlan {
            team_use: self.team_use.clone(),
            served: 0,
            cost_s: 0.0,
            victims: Vec::new(),
            reserved: BTreeMap::new(),
        };
        let mut planned_victims: HashSet<(MachineId, InstanceId)> = HashSet::new();
        let mut options: BinaryHeap<Reverse<PreemptionOption>> = BinaryHeap::new();
        let machines = self.capacity.machines.iter().enumerate();
        for (index, _) in machines.filter(|(_, machine)| pools.contains(&machine.pool)) {
            options.extend(
                self.cheapest_option(index, &plan, &planned_victims)
                    .map(Reverse),
            );
        }
        while plan.served < tasks {
            let Some(Reverse(best)) = options.pop() else {
                break;
            };
            let index = best.machine_index;
            // Victims selected since this option was computed may have brought a team down to its
            // guarantee.
            match self.cheapest_option(index, &plan, &planned_victims) {
                Some(current) if current.victims == best.victims => {}
                changed => {
                    options.extend(changed.map(Reverse));
                    continue;
                }
            }
            self.add_to_plan(best, &mut plan, &mut planned_victims);
            options.extend(
                self.cheapest_option(index, &plan, &planned_victims)
                    .map(Reverse),
            );
        }
        (plan.served > 0).then_some(plan)
    }

    fn add_to_plan(
        &self,
        option: PreemptionOption,
        plan: &mut PreemptionPlan,
        planned_victims: &mut HashSet<(MachineId, InstanceId)>,
    ) {
        let machine = &self.capacity.machines[option.machine_index].machine.id;
        plan.served += 1;
        plan.cost_s += option.cost_s;
        let reserved_before = self.reserved.get(machine).copied();
        let reserved = plan.reserved.entry(machine.clone());
        reserved
            .or_insert(reserved_before.unwrap_or_default())
            .add(&self.preemptor.job.spec.task_resources);
        for instance in option.victims {
            if let Some(job) = self.view.cluster.jobs.get(&instance.task.job) {
                if let Some(team_use) = plan.team_use.get_mut(job.spec.team.as_str()) {
                    team_use.sub(&job.spec.task_resources);
                }
            }
            planned_victims.insert((machine.clone(), instance.clone()));
            plan.victims.push((machine.clone(), instance));
        }
    }

    /// Returns the cheapest victims on one machine that free capacity for one task. There are no
    /// victims if the machine already has the capacity or terminations in progress free it.
    fn cheapest_option(
        &self,
        index: usize,
        plan: &PreemptionPlan,
        planned_victims: &HashSet<(MachineId, InstanceId)>,
    ) -> Option<PreemptionOption> {
        let machine = self.capacity.machines[index].machine;
        let catalog = self.view.cluster.catalog();
        let machine_type = find_machine_type(catalog, &machine.machine_type)?;
        let job = self.preemptor.job;
        let needed = &job.spec.task_resources;
        let (mut free, mut victim_candidates) =
            self.victim_candidates(machine, machine_type, plan, planned_victims)?;
        victim_candidates.sort_by(|a, b| a.lost_work_s.total_cmp(&b.lost_work_s));
        let mut lost_work_s = 0.0;
        let mut victims = Vec::new();
        for candidate in victim_candidates {
            if needed.fits(&free) {
                break;
            }
            free.add(&candidate.resources);
            lost_work_s += candidate.lost_work_s;
            victims.push(candidate.instance.clone());
        }
        // The preemptor can use the capacity only when the machine has pulled its image.
        let cost_s = lost_work_s + cost::pull_s(job, machine, machine_type);
        needed.fits(&free).then_some(PreemptionOption {
            cost_s,
            machine_index: index,
            victims,
        })
    }

    /// Returns the free capacity of a machine after all terminations decided so far, and the tasks
    /// on it that may be preempted; `None` if the spec or job of a task on it is not known.
    fn victim_candidates<'m>(
        &self,
        machine: &'m Machine,
        machine_type: &MachineType,
        plan: &PreemptionPlan,
        planned_victims: &HashSet<(MachineId, InstanceId)>,
    ) -> Option<(Resources, Vec<VictimCandidate<'m>>)> {
        let SchedulingView { cluster, now, .. } = self.view;
        let reserved = plan.reserved.get(&machine.id);
        let reserved = reserved.or(self.reserved.get(&machine.id));
        let mut free = machine_type.capacity;
        free.sub(&reserved.copied().unwrap_or_default());
        let mut victim_candidates = Vec::new();
        let instances = machine.instances.iter();
        for (id, instance) in instances.filter(|(_, instance)| instance.occupies()) {
            let spec = instance.spec.as_ref()?;
            let is_victim = || {
                let key = (machine.id.clone(), id.clone());
                planned_victims.contains(&key) || self.victims.contains(&key)
            };
            if instance.termination.is_some() || is_victim() {
                continue;
            }
            free.sub(&spec.task_resources);
            let job = cluster.jobs.get(&id.task.job)?;
            if self.may_preempt(&plan.team_use, job) {
                victim_candidates.push(VictimCandidate {
                    lost_work_s: cost::lost_work_s(job, instance, now),
                    instance: id,
                    resources: spec.task_resources,
                });
            }
        }
        Some((free, victim_candidates))
    }

    /// Whether the preemptor may preempt tasks of the victim, given the resources that teams use.
    fn may_preempt(&self, team_use: &HashMap<&str, Resources>, victim: &Job) -> bool {
        let preemptor = self.preemptor;
        if self.view.cluster.may_have_unreconciled_tasks(victim) || victim.terminating {
            return false;
        }
        if victim.spec.priority < preemptor.job.spec.priority {
            return true;
        }
        let is_other_team = victim.spec.team != preemptor.job.spec.team;
        // A job within its team's guarantee is not part of what the team uses above it.
        is_other_team
            && guarantee::exceeds_guarantee_without(self.view, team_use, victim)
            && !self.guaranteed.contains(&victim.spec.id)
            && guarantee::may_reclaim(self.view, preemptor)
    }
}
