//! The round: order the jobs, tentatively allocate, decide. Pure functions of the cluster state and
//! an `Instant`; nothing here does I/O or changes the cluster state.

pub mod allocate;
pub mod order;
pub mod preempt;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::capacity::{CapacityIndex, ExpectedReleases};
use crate::cluster::{CapacityReservation, Cluster, Job};
use crate::demand::UnmetDemand;
use crate::model::{Attempt, JobId, MachineId, Priority, Resources, TaskId};
use crate::policy::SchedulingPolicy;
use allocate::Claim;

/// Tasks of one job started in one round; a larger array goes on in the next one.
const STARTS_PER_JOB_MAX: usize = 256;
/// A gang that has waited this many times its workers' gang wait keeps its tentative room
/// from later jobs, so that smaller ones can't starve it.
const KEEP_ROOM_AFTER: u32 = 2;

/// How long room that stops make is kept for the gang they are made for: saving, stopping and
/// the reports that show it, for the slowest of its machines.
const CLAIM_LASTS: Duration = Duration::from_secs(20);

/// Why a suspected job waits that could be tried now.
const TRIAL_ROOM: &str = "room for a trial, since it fails everywhere";

/// What a round looks at: the cluster state, the rules and the time.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    /// The cluster state.
    pub cluster: &'a Cluster,
    /// What of the settings matters.
    pub policy: &'a SchedulingPolicy,
    /// The time.
    pub now: Instant,
}

/// Which attempt a start belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptChoice {
    /// One of its own, for the gang as a whole.
    New,
    /// The gang's present one: a member is replaced before the gang has started.
    Same(Attempt),
}

/// Starts that leave together.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub under: AttemptChoice,
    /// Tasks and where each goes.
    pub members: Vec<(u32, MachineId)>,
}

/// A single task to be stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskTermination {
    /// The task.
    pub task: TaskId,
    /// Its attempt.
    pub attempt: Attempt,
    /// Where it is.
    pub machine: MachineId,
    /// Time to save.
    pub grace_s: f64,
}

/// What a round decides.
#[derive(Debug, Default)]
pub struct Decisions {
    /// Starts.
    pub starts: Vec<Start>,
    /// Gangs to be stopped as a whole.
    pub gang_stops: Vec<(JobId, &'static str)>,
    /// Tasks to be stopped.
    pub terminations: Vec<TaskTermination>,
    /// Jobs for which others are stopped, with the zone.
    pub claims: Vec<(JobId, Option<String>)>,
    /// What the fleet is short of.
    pub unmet_demand: Vec<UnmetDemand>,
    /// Why jobs wait.
    pub waits: Vec<(JobId, &'static str)>,
}

/// One round.
pub fn round(cluster: &Cluster, policy: &SchedulingPolicy, now: Instant) -> Decisions {
    let view = View {
        cluster,
        policy,
        now,
    };
    let mut decisions = Decisions::default();
    let mut rooms = CapacityIndex::of(cluster, now);
    let mut used: HashMap<String, Resources> = cluster
        .team_use()
        .into_iter()
        .map(|(team, sum)| (team.to_owned(), sum))
        .collect();
    let mut departures = ExpectedReleases::of(&rooms, now);
    let claims = allocate::claims(view);
    let ordered = order::order(cluster, policy, now);
    let mut wanting = Vec::new();
    for entry in &ordered.entries {
        let job = entry.job;
        let id = &job.spec.id;
        let why = if cluster.blocked(job) {
            Some("machines of an earlier term to report")
        } else if job.backoff_until.is_some_and(|until| now < until) {
            Some(match job.suspected() {
                true => "its next trial, since it fails everywhere",
                false => "its rest after a failure",
            })
        } else if job.stopping {
            Some("its tasks to stop")
        } else {
            None
        };
        if let Some(why) = why {
            if job.pending_count() > 0 {
                decisions.waits.push((id.clone(), why));
            }
            continue;
        }
        let sum = used.entry(job.spec.team.clone()).or_default();
        if job.gang() {
            step_gang(view, &claims, entry, sum, &mut rooms, &mut decisions);
        } else {
            step_array(
                view,
                &claims,
                entry,
                sum,
                &mut rooms,
                &mut departures,
                &mut decisions,
            );
        }
        let unmet_demand = decisions.unmet_demand.last().filter(|s| s.spec.id == *id);
        if let Some(unmet_demand) = unmet_demand {
            wanting.push((entry, unmet_demand.tasks));
        }
    }
    preempt::preempt(view, &ordered, &wanting, &mut decisions);
    preempt::leave_noticed(cluster, &mut decisions, now);
    decisions
}

/// A gang: whole, repaired, or not at all.
fn step_gang(
    view: View,
    claims: &[Claim],
    entry: &order::Entry,
    used: &mut Resources,
    rooms: &mut CapacityIndex,
    decisions: &mut Decisions,
) {
    let View {
        cluster,
        policy,
        now,
    } = view;
    let job = entry.job;
    let id = &job.spec.id;
    let placed = job.placements.len() as u32;
    let missing: Vec<u32> = job.pending().collect();
    if missing.is_empty() {
        return;
    }
    let under = match job.attempt {
        None => AttemptChoice::New,
        Some(attempt) => {
            let mixed = job
                .placements
                .values()
                .flatten()
                .any(|p| p.attempt != attempt);
            // Running and succeeded members together are fewer than the minimum.
            let broken = job.seen_running && placed + job.done.len() < job.spec.minimum();
            if mixed || broken {
                decisions.gang_stops.push((id.clone(), "a member is gone"));
                return;
            }
            AttemptChoice::Same(attempt)
        }
    };
    let mut wanted = *used;
    wanted.add(&job.spec.task_resources.times(missing.len() as u32));
    if !policy.within_limit(&job.spec.team, &wanted) {
        decisions.waits.push((id.clone(), "its team's limit"));
        return;
    }
    let found = allocate::gang(view, claims, job, &missing, rooms);
    // Ready when the allocated members reach the minimum, or with those that succeeded.
    if found.members.len() as u32 + placed + job.done.len() >= job.spec.minimum() {
        *used = wanted;
        found.keep(rooms, &job.spec.task_resources);
        decisions.starts.push(Start {
            job: id.clone(),
            under,
            members: found.machines(rooms),
        });
        return;
    }
    if job.suspected() {
        // Nothing is kept, stopped or rented for it.
        decisions.waits.push((id.clone(), TRIAL_ROOM));
        return;
    }
    let age = now.saturating_duration_since(job.submitted);
    if let Some(reservation) = job.capacity_reserved(now) {
        // Else what was stopped for it would start again in the room that this has made.
        let found = allocate::claimed(
            view,
            claims,
            job,
            &missing,
            (rooms, reservation.zone.as_deref()),
        );
        found.keep(rooms, &job.spec.task_resources);
    } else if age >= cluster.timing.gang_barrier_timeout * KEEP_ROOM_AFTER {
        found.keep(rooms, &job.spec.task_resources);
    }
    decisions
        .waits
        .push((id.clone(), "room for all its members"));
    decisions.unmet_demand.push(UnmetDemand {
        spec: job.spec.clone(),
        tasks: missing.len() as u32,
        submitted: job.submitted,
        target: entry.target,
        zone: found.zone,
    });
}

/// An array: every task is a gang of one.
fn step_array(
    view: View,
    claims: &[Claim],
    entry: &order::Entry,
    used: &mut Resources,
    rooms: &mut CapacityIndex<'_>,
    departures: &mut ExpectedReleases,
    decisions: &mut Decisions,
) {
    let policy = view.policy;
    let job = entry.job;
    let id = &job.spec.id;
    let age = view.now.saturating_duration_since(job.submitted);
    let late = job.spec.priority == Priority::BestEffort && order::overdue(job, age);
    let most = match (job.suspected(), job.has_placements()) {
        // The first one may go where the others would be too dear.
        (false, _) if late => 1,
        (false, _) => STARTS_PER_JOB_MAX,
        // One task tells whether it still fails.
        (true, false) => 1,
        (true, true) => 0,
    };
    let missing: Vec<u32> = job.pending().take(most).collect();
    if missing.is_empty() {
        return;
    }
    let mut allowed = 0;
    let mut sum = *used;
    for _ in &missing {
        sum.add(&job.spec.task_resources);
        if !policy.within_limit(&job.spec.team, &sum) {
            break;
        }
        allowed += 1;
    }
    if allowed == 0 {
        decisions.waits.push((id.clone(), "its team's limit"));
        return;
    }
    let found = allocate::array(view, claims, job, &missing[..allowed], rooms, departures);
    let placed = found.members.len();
    used.add(&job.spec.task_resources.times(placed as u32));
    found.keep(rooms, &job.spec.task_resources);
    for member in found.machines(rooms) {
        decisions.starts.push(Start {
            job: id.clone(),
            under: AttemptChoice::New,
            members: vec![member],
        });
    }
    let waiting = (allowed - placed) as u32;
    if job.suspected() {
        if waiting > 0 {
            decisions.waits.push((id.clone(), TRIAL_ROOM));
        }
    } else if waiting > 0 && found.deferred >= waiting {
        decisions
            .waits
            .push((id.clone(), "a place with its image to come free"));
    } else if waiting > 0 {
        decisions.waits.push((id.clone(), "room"));
        decisions.unmet_demand.push(UnmetDemand {
            spec: job.spec.clone(),
            tasks: waiting - found.deferred,
            submitted: job.submitted,
            target: entry.target,
            zone: found.zone,
        });
    }
}

/// Carries the decisions over into the cluster state.
pub fn apply(cluster: &mut Cluster, decisions: &Decisions, now: Instant) {
    for start in &decisions.starts {
        let attempt = match start.under {
            AttemptChoice::New => cluster.next_attempt(),
            AttemptChoice::Same(attempt) => attempt,
        };
        for (index, machine) in &start.members {
            let task = TaskId {
                job: start.job.clone(),
                index: *index,
            };
            tracing::debug!(%task, %machine, attempt = attempt.0, "start");
            cluster.plan(&task, machine, attempt, now);
        }
    }
    for (job, why) in &decisions.gang_stops {
        tracing::info!(%job, why, "gang stops");
        cluster.stop_gang(job);
    }
    for termination in &decisions.terminations {
        tracing::info!(task = %termination.task, machine = %termination.machine, "task stops");
        let instance = crate::cluster::InstanceId {
            task: termination.task.clone(),
            attempt: termination.attempt,
        };
        cluster.stop(&termination.machine, &instance, termination.grace_s);
    }
    for (id, zone) in &decisions.claims {
        if let Some(job) = cluster.jobs.get_mut(id) {
            job.capacity_reservation = Some(CapacityReservation {
                zone: zone.clone(),
                until: now + CLAIM_LASTS,
            });
        }
    }
    for (id, why) in &decisions.waits {
        if let Some(job) = cluster.jobs.get_mut(id) {
            if job.pending_reason != *why {
                tracing::debug!(job = %id, why, "waits");
            }
            job.pending_reason = why;
        }
    }
}

/// Zones in which a job's tasks may be now.
pub(crate) fn zones_of<'a>(cluster: &'a Cluster, job: &'a Job) -> HashMap<&'a str, u32> {
    let mut zones = HashMap::new();
    for place in job.placements.values().flatten() {
        if let Some(machine) = cluster.machines.get(&place.machine) {
            *zones.entry(machine.zone.as_str()).or_default() += 1;
        }
    }
    zones
}
