//! Stops that make room: preemption as the protocol allows it, and machines about to leave.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::allocate;
use super::order::{Entry, Ordered};
use super::{Decisions, TaskTermination, View};
use crate::capacity::{CapacityIndex, ExpectedReleases};
use crate::cluster::{
    find_machine_type, Cluster, DrainReason, InstanceId, InstancePhase, Job, Machine, TaskInstance,
};
use crate::model::{JobId, MachineId, Resources, TaskId};
use crate::policy::SchedulingPolicy;

/// Stopping, saving and starting take about this long: room that comes free sooner is waited
/// for, whatever the aims.
const WAIT_FOR_ROOM_MIN_S: f64 = 12.0;
/// Time for a stop to reach a machine by way of its report, when the direct command is lost.
const STOP_ARRIVES: Duration = Duration::from_secs(3);
/// Where no aim says how soon work within a guarantee is to start: how long it waits for room
/// to come free by itself before another team's work of the same rank is stopped for it. What
/// is stopped is often lost.
const GUARANTEE_WAIT: Duration = Duration::from_secs(60);

/// Claimants for which a round looks for victims; the first ones in order go first, and the
/// next round goes on from what was stopped for them.
const CLAIMS_PER_ROUND: u32 = 12;

/// Whether a job within its team's guarantee takes it back from other teams now.
fn claims_guarantee(policy: &SchedulingPolicy, claimant: &Entry, now: Instant) -> bool {
    let waited = now.saturating_duration_since(claimant.job.submitted);
    let wait_limit = match policy.guarantee {
        Some(within) => within.saturating_sub(crate::time::secs(WAIT_FOR_ROOM_MIN_S)),
        None => GUARANTEE_WAIT,
    };
    claimant.guaranteed && waited >= wait_limit
}

/// What the claimant may stop.
fn may_stop(search: &Search, used: &HashMap<&str, Resources>, victim: &Job) -> bool {
    let View {
        cluster,
        policy,
        now,
    } = search.view;
    let claimant = search.claimant;
    if cluster.blocked(victim) || victim.stopping {
        return false;
    }
    if victim.spec.priority < claimant.job.spec.priority {
        return true;
    }
    let other_team = victim.spec.team != claimant.job.spec.team;
    // Beyond its guarantee even without the task in question.
    let beyond = used.get(victim.spec.team.as_str()).is_some_and(|sum| {
        let mut rest = *sum;
        rest.sub(&victim.spec.task_resources);
        policy.beyond(&victim.spec.team, &rest, &victim.spec.task_resources)
    });
    // What is itself within the guarantee is not what its team has beyond it.
    let guaranteed = search.guaranteed.contains(&victim.spec.id);
    other_team && beyond && !guaranteed && claims_guarantee(policy, claimant, now)
}

/// What stopping a task throws away, in seconds of work.
fn loss(job: &Job, instance: &TaskInstance, now: Instant) -> f64 {
    let ran = instance
        .running_since
        .map_or(0.0, |at| now.saturating_duration_since(at).as_secs_f64());
    let lost = if job.spec.can_checkpoint() {
        job.spec.checkpoint_cost_s
    } else {
        ran
    };
    if job.gang() {
        lost * f64::from(job.spec.tasks)
    } else {
        lost
    }
}

/// How long a job may wait for room to come free by itself, in seconds: as long as it still
/// starts in time, its image and the stops included, or a little while where that is past.
fn wait_limit(view: View, claimant: &Entry) -> f64 {
    let View {
        cluster,
        policy,
        now,
    } = view;
    let spec = &claimant.job.spec;
    let age = now.saturating_duration_since(claimant.job.submitted);
    let within = policy.prompt.get(&spec.class);
    let left = within.map_or(Duration::ZERO, |within| within.saturating_sub(age));
    let usable = cluster.catalog().iter().filter(|machine_type| {
        let named = |zone: &String| spec.allows(&machine_type.name, zone, false);
        spec.task_resources.fits(&machine_type.room) && machine_type.zones.iter().any(named)
    });
    let rates = usable.map(|machine_type| machine_type.fetch_rate.max(f64::MIN_POSITIVE));
    let slowest = rates.fold(f64::INFINITY, f64::min);
    let fetch = spec.image_gb / slowest;
    let wait_limit = (left.as_secs_f64() - fetch - WAIT_FOR_ROOM_MIN_S).max(WAIT_FOR_ROOM_MIN_S);
    match policy.guarantee {
        // Half of it goes by in stopping and starting.
        Some(within) if claimant.guaranteed => wait_limit.min(within.as_secs_f64() / 2.0),
        _ => wait_limit,
    }
}

/// Finds victims for jobs that found no room, highest first.
pub fn preempt(
    view: View,
    ordered: &Ordered,
    wanting: &[(&Entry, u32)],
    decisions: &mut Decisions,
) {
    let View {
        cluster,
        policy,
        now,
    } = view;
    if wanting.is_empty() {
        return;
    }
    let lowest = cluster.jobs.values().filter(|j| j.has_placements());
    let lowest = lowest.map(|j| j.spec.priority).min();
    let mut used = staying_use(cluster);
    let mut promised = promised_to_starts(cluster, decisions);
    let mut taken: HashSet<(MachineId, InstanceId)> = HashSet::new();
    let rooms = CapacityIndex::of(cluster, now);
    let mut departures = ExpectedReleases::of(&rooms, now);
    let mut looks = CLAIMS_PER_ROUND;
    for (claimant, tasks) in wanting {
        let by_rank = lowest.is_some_and(|priority| priority < claimant.job.spec.priority);
        let by_guarantee = claims_guarantee(policy, claimant, now);
        if !by_rank && !by_guarantee {
            continue;
        }
        if looks == 0 {
            break;
        }
        looks -= 1;
        // MachineCapacity in two zones is of no use to a job bound to one.
        let zones = if claimant.job.spec.single_zone {
            allocate::zones_to_try(view, claimant.job, &rooms)
        } else {
            vec![None]
        };
        let tasks = without_room_in_time(view, claimant, *tasks, (&rooms, &zones), &mut departures);
        if tasks == 0 {
            continue;
        }
        // Where room is being made already, it goes on being made.
        let reserved = claimant.job.capacity_reserved(now);
        let zones = reserved.map_or(zones, |reservation| vec![reservation.zone.clone()]);
        let plans = zones.iter().filter_map(|zone| {
            let search = Search {
                view,
                used: &used,
                guaranteed: &ordered.guaranteed,
                claimant,
                rooms: &rooms,
                promised: &promised,
                taken: &taken,
            };
            search.plan(zone.as_deref(), tasks).map(|plan| (plan, zone))
        });
        let best =
            plans.min_by(|(a, _), (b, _)| b.ready.cmp(&a.ready).then(a.cost.total_cmp(&b.cost)));
        let whole = |plan: &PreemptionPlan| !claimant.job.gang() || plan.ready == tasks;
        let Some((plan, zone)) = best.filter(|(plan, _)| whole(plan)) else {
            continue;
        };
        if claimant.job.gang() {
            let id = claimant.job.spec.id.clone();
            decisions.claims.push((id, zone.clone()));
        }
        for (machine, sum) in plan.promised {
            promised.insert(machine, sum);
        }
        used = plan.used;
        for (machine, instance) in plan.victims {
            termination(cluster, decisions, &machine, &instance, "preempted");
            // Its room is the claimant's now: it must not be counted for another.
            taken.insert((machine, instance));
        }
    }
}

/// What the round's starts will take of each machine.
fn promised_to_starts(cluster: &Cluster, decisions: &Decisions) -> BTreeMap<MachineId, Resources> {
    let mut promised: BTreeMap<MachineId, Resources> = BTreeMap::new();
    for start in &decisions.starts {
        let Some(job) = cluster.jobs.get(&start.job) else {
            continue;
        };
        for (_, machine) in &start.members {
            let sum = promised.entry(machine.clone()).or_default();
            sum.add(&job.spec.task_resources);
        }
    }
    promised
}

/// How many of the claimant's tasks find no room that comes free by itself in time. That room is
/// taken for the others.
fn without_room_in_time(
    view: View,
    claimant: &Entry,
    tasks: u32,
    (rooms, zones): (&CapacityIndex, &[Option<String>]),
    departures: &mut ExpectedReleases,
) -> u32 {
    let spec = &claimant.job.spec;
    let wait_limit = wait_limit(view, claimant);
    let in_zone = |zone: &Option<String>| {
        departures.could_serve(rooms, (spec, zone.as_deref()), tasks, wait_limit)
    };
    let best = zones
        .iter()
        .max_by_key(|zone| in_zone(zone))
        .cloned()
        .flatten();
    let served = departures.serve(rooms, (spec, best.as_deref()), tasks, wait_limit);
    // A gang gains nothing by room for a part of it.
    if claimant.job.gang() && served < tasks {
        tasks
    } else {
        tasks - served
    }
}

/// What teams use without what is about to stop: only as much is taken from a team as it has
/// beyond its guarantee.
fn staying_use(cluster: &Cluster) -> HashMap<&str, Resources> {
    let mut used = cluster.team_use();
    for machine in cluster.machines.values().filter(|m| m.commands_pending()) {
        for instance in machine.instances.values() {
            let stops = instance.occupies() && instance.termination.is_some();
            let Some(spec) = instance.spec.as_ref().filter(|_| stops) else {
                continue;
            };
            if let Some(sum) = used.get_mut(spec.team.as_str()) {
                sum.sub(&spec.task_resources);
            }
        }
    }
    used
}

/// Stops that make room for a job's tasks.
struct PreemptionPlan<'a> {
    used: HashMap<&'a str, Resources>,
    ready: u32,
    cost: f64,
    victims: Vec<(MachineId, InstanceId)>,
    promised: BTreeMap<MachineId, Resources>,
}

/// What is looked at for one claimant.
struct Search<'a, 'b> {
    view: View<'a>,
    used: &'b HashMap<&'a str, Resources>,
    guaranteed: &'b HashSet<&'a JobId>,
    claimant: &'b Entry<'a>,
    rooms: &'b CapacityIndex<'a>,
    promised: &'b BTreeMap<MachineId, Resources>,
    taken: &'b HashSet<(MachineId, InstanceId)>,
}

impl<'a> Search<'a, '_> {
    /// The cheapest stops that make room for up to `tasks` tasks in a zone, or anywhere.
    fn plan(&self, zone: Option<&str>, tasks: u32) -> Option<PreemptionPlan<'a>> {
        let spec = &self.claimant.job.spec;
        let pools = self.rooms.pools_for(spec, zone);
        let mut plan = PreemptionPlan {
            used: self.used.clone(),
            ready: 0,
            cost: 0.0,
            victims: Vec::new(),
            promised: BTreeMap::new(),
        };
        let mut taken: HashSet<(MachineId, InstanceId)> = HashSet::new();
        let mut options: BinaryHeap<Reverse<Choice>> = BinaryHeap::new();
        let rooms = self.rooms.all.iter().enumerate();
        for (at, room) in rooms.filter(|(_, room)| pools.contains(&room.pool)) {
            options.extend(self.choice(at, room.machine, &plan, &taken));
        }
        while plan.ready < tasks {
            let Some(Reverse(best)) = options.pop() else {
                break;
            };
            let machine = self.rooms.all[best.at].machine;
            // What was taken meanwhile may leave a team without anything beyond its guarantee.
            match self.choice(best.at, machine, &plan, &taken) {
                Some(Reverse(now)) if now.victims == best.victims => {}
                changed => {
                    options.extend(changed);
                    continue;
                }
            }
            plan.ready += 1;
            plan.cost += best.cost;
            let before = self.promised.get(&machine.id).copied();
            let sum = plan.promised.entry(machine.id.clone());
            sum.or_insert(before.unwrap_or_default())
                .add(&spec.task_resources);
            for instance in best.victims {
                let job = self.view.cluster.jobs.get(&instance.task.job);
                if let Some(sum) = job.and_then(|job| plan.used.get_mut(job.spec.team.as_str())) {
                    sum.sub(&job.map_or(Resources::default(), |job| job.spec.task_resources));
                }
                taken.insert((machine.id.clone(), instance.clone()));
                plan.victims.push((machine.id.clone(), instance));
            }
            options.extend(self.choice(best.at, machine, &plan, &taken));
        }
        (plan.ready > 0).then_some(plan)
    }

    fn choice(
        &self,
        at: usize,
        machine: &Machine,
        plan: &PreemptionPlan,
        taken: &HashSet<(MachineId, InstanceId)>,
    ) -> Option<Reverse<Choice>> {
        let sum = plan
            .promised
            .get(&machine.id)
            .or(self.promised.get(&machine.id));
        let spot_deadline =
            |key: &(MachineId, InstanceId)| taken.contains(key) || self.taken.contains(key);
        let sum = sum.copied().unwrap_or_default();
        let (cost, victims) = victims_on(self, &plan.used, machine, sum, spot_deadline)?;
        Some(Reverse(Choice { cost, at, victims }))
    }
}

/// A machine on which stops would make room for a task.
struct Choice {
    cost: f64,
    at: usize,
    victims: Vec<InstanceId>,
}

impl PartialEq for Choice {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Choice {}

impl PartialOrd for Choice {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Choice {
    fn cmp(&self, other: &Self) -> Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.at.cmp(&other.at))
    }
}

/// The cheapest victims on one machine that make room for one task; none where there is room
/// already or stops under way make it.
fn victims_on(
    search: &Search,
    used: &HashMap<&str, Resources>,
    machine: &Machine,
    promised: Resources,
    spot_deadline: impl Fn(&(MachineId, InstanceId)) -> bool,
) -> Option<(f64, Vec<InstanceId>)> {
    let View { cluster, now, .. } = search.view;
    let claimant = search.claimant;
    let machine_type = find_machine_type(cluster.catalog(), &machine.machine_type)?;
    let need = &claimant.job.spec.task_resources;
    let mut free = machine_type.room;
    free.sub(&promised);
    let mut candidates = Vec::new();
    for (id, instance) in machine
        .instances
        .iter()
        .filter(|(_, instance)| instance.occupies())
    {
        let spec = instance.spec.as_ref()?;
        let leaving =
            instance.termination.is_some() || spot_deadline(&(machine.id.clone(), id.clone()));
        if leaving {
            continue;
        }
        free.sub(&spec.task_resources);
        let job = cluster.jobs.get(&id.task.job)?;
        if may_stop(search, used, job) {
            candidates.push((loss(job, instance, now), id, spec.task_resources));
        }
    }
    candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut cost = 0.0;
    let mut victims = Vec::new();
    for (loss, id, amount) in candidates {
        if need.fits(&free) {
            break;
        }
        free.add(&amount);
        cost += loss;
        victims.push(id.clone());
    }
    // A place is of use to the claimant once its image is there.
    let fetch = if machine.has_image(claimant.job.image) {
        0.0
    } else {
        claimant.job.spec.image_gb / machine_type.fetch_rate.max(f64::MIN_POSITIVE)
    };
    need.fits(&free).then_some((cost + fetch, victims))
}

/// Stops one task, or the gang it belongs to.
fn termination(
    cluster: &Cluster,
    decisions: &mut Decisions,
    machine: &MachineId,
    instance: &InstanceId,
    why: &'static str,
) {
    let Some(job) = cluster.jobs.get(&instance.task.job) else {
        return;
    };
    if job.gang() {
        let id = &job.spec.id;
        if !decisions
            .gang_stops
            .iter()
            .any(|(stopped, _)| stopped == id)
        {
            decisions.gang_stops.push((id.clone(), why));
        }
        return;
    }
    let grace_s = if job.spec.can_checkpoint() {
        job.spec.grace()
    } else {
        0.0
    };
    decisions.terminations.push(TaskTermination {
        task: TaskId {
            job: job.spec.id.clone(),
            index: instance.task.index,
        },
        attempt: instance.attempt,
        machine: machine.clone(),
        grace_s,
    });
}

/// Moves work off machines that the cloud is about to take, and off sick ones: progress is
/// saved while there is time, and what can't save runs on in the hope that it completes.
pub fn leave_noticed(cluster: &Cluster, decisions: &mut Decisions, now: Instant) {
    let mut seen: HashSet<JobId> = HashSet::new();
    for machine in cluster.machines.values() {
        let sick = matches!(
            machine.drain,
            Some(DrainReason::Faulty | DrainReason::Slow | DrainReason::Operator)
        );
        if machine.spot_deadline.is_none() && !sick {
            continue;
        }
        for (id, instance) in &machine.instances {
            let idle = instance.termination.is_some() || !instance.occupies();
            let Some(job) = cluster.jobs.get(&id.task.job).filter(|_| !idle) else {
                continue;
            };
            if job.stopping || (job.gang() && !seen.insert(job.spec.id.clone())) {
                continue;
            }
            let not_begun = !matches!(
                instance.phase,
                InstancePhase::Running | InstancePhase::Checkpointing
            );
            let time = machine
                .spot_deadline
                .map(|at| at.saturating_duration_since(now));
            let grace = crate::time::secs(job.spec.grace()) + STOP_ARRIVES;
            let go = match time {
                // Saving takes its time; until then the task may still complete.
                Some(time) if job.spec.can_checkpoint() && !not_begun => {
                    time <= grace + STOP_ARRIVES
                }
                // It can't save: it may run until the end.
                Some(_) if !not_begun => false,
                // It has done nothing yet: elsewhere it need not do it twice.
                Some(_) => true,
                None => not_begun || job.spec.can_checkpoint(),
            };
            if go && (not_begun && job.gang() && !job.seen_running) {
                // Only this member is replaced, under the same attempt.
                decisions.terminations.push(TaskTermination {
                    task: id.task.clone(),
                    attempt: id.attempt,
                    machine: machine.id.clone(),
                    grace_s: 0.0,
                });
            } else if go {
                termination(
                    cluster,
                    decisions,
                    &machine.id,
                    id,
                    "its machine is leaving",
                );
            }
        }
    }
}
