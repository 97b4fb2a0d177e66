//! The round: order the jobs, tentatively allocate, decide. Pure functions of the cluster state and
//! an `Instant`; nothing here does I/O or changes the cluster state.

pub mod allocate;
pub mod order;
pub mod preempt;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::capacity::{Departures, Rooms};
use crate::cluster::{Cluster, Job};
use crate::demand::Short;
use crate::model::{Amount, Attempt, JobId, MachineId, Rank, TaskId};
use crate::policy::Policy;
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
    pub policy: &'a Policy,
    /// The time.
    pub now: Instant,
}

/// Which attempt a start belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Under {
    /// One of its own, for the gang as a whole.
    Fresh,
    /// The gang's present one: a member is replaced before the gang has started.
    Same(Attempt),
}

/// Starts that leave together.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub under: Under,
    /// Tasks and where each goes.
    pub members: Vec<(u32, MachineId)>,
}

/// A single task to be stopped.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStop {
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
    pub halts: Vec<TaskStop>,
    /// Jobs for which others are stopped, with the zone.
    pub claims: Vec<(JobId, Option<String>)>,
    /// What the fleet is short of.
    pub short: Vec<Short>,
    /// Why jobs wait.
    pub waits: Vec<(JobId, &'static str)>,
}

/// One round.
pub fn round(cluster: &Cluster, policy: &Policy, now: Instant) -> Decisions {
    let view = View {
        cluster,
        policy,
        now,
    };
    let mut decisions = Decisions::default();
    let mut rooms = Rooms::of(cluster, now);
    let mut used: HashMap<String, Amount> = cluster
        .team_use()
        .into_iter()
        .map(|(team, sum)| (team.to_owned(), sum))
        .collect();
    let mut departures = Departures::of(&rooms, now);
    let claims = allocate::claims(view);
    let ordered = order::order(cluster, policy, now);
    let mut wanting = Vec::new();
    for entry in &ordered.entries {
        let job = entry.job;
        let id = &job.spec.id;
        let why = if cluster.blocked(job) {
            Some("machines of an earlier term to report")
        } else if job.rests_until.is_some_and(|until| now < until) {
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
        let short = decisions.short.last().filter(|s| s.spec.id == *id);
        if let Some(short) = short {
            wanting.push((entry, short.tasks));
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
    used: &mut Amount,
    rooms: &mut Rooms,
    decisions: &mut Decisions,
) {
    let View {
        cluster,
        policy,
        now,
    } = view;
    let job = entry.job;
    let id = &job.spec.id;
    let placed = job.places.len() as u32;
    let missing: Vec<u32> = job.pending().collect();
    if missing.is_empty() {
        return;
    }
    let under = match job.attempt {
        None => Under::Fresh,
        Some(attempt) => {
            let mixed = job.places.values().flatten().any(|p| p.attempt != attempt);
            // Running and succeeded members together are fewer than the minimum.
            let broken = job.begun && placed + job.done.len() < job.spec.minimum();
            if mixed || broken {
                decisions.gang_stops.push((id.clone(), "a member is gone"));
                return;
            }
            Under::Same(attempt)
        }
    };
    let mut wanted = *used;
    wanted.add(&job.spec.need.times(missing.len() as u32));
    if !policy.within_limit(&job.spec.team, &wanted) {
        decisions.waits.push((id.clone(), "its team's limit"));
        return;
    }
    let found = allocate::gang(view, claims, job, &missing, rooms);
    // Ready when the allocated members reach the minimum, or with those that succeeded.
    if found.members.len() as u32 + placed + job.done.len() >= job.spec.minimum() {
        *used = wanted;
        found.keep(rooms, &job.spec.need);
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
    let claim = job.claim.as_ref().filter(|(_, until)| now < *until);
    if let Some((zone, _)) = claim {
        // Else what was stopped for it would start again in the room that this has made.
        let found = allocate::claimed(view, claims, job, &missing, (rooms, zone.as_deref()));
        found.keep(rooms, &job.spec.need);
    } else if age >= cluster.timing.gang_wait * KEEP_ROOM_AFTER {
        found.keep(rooms, &job.spec.need);
    }
    decisions
        .waits
        .push((id.clone(), "room for all its members"));
    decisions.short.push(Short {
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
    used: &mut Amount,
    rooms: &mut Rooms<'_>,
    departures: &mut Departures,
    decisions: &mut Decisions,
) {
    let policy = view.policy;
    let job = entry.job;
    let id = &job.spec.id;
    let age = view.now.saturating_duration_since(job.submitted);
    let late = job.spec.rank == Rank::BestEffort && order::overdue(job, age);
    let most = match (job.suspected(), job.placed()) {
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
        sum.add(&job.spec.need);
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
    used.add(&job.spec.need.times(placed as u32));
    found.keep(rooms, &job.spec.need);
    for member in found.machines(rooms) {
        decisions.starts.push(Start {
            job: id.clone(),
            under: Under::Fresh,
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
        decisions.short.push(Short {
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
            Under::Fresh => cluster.next_attempt(),
            Under::Same(attempt) => attempt,
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
    for halt in &decisions.halts {
        tracing::info!(task = %halt.task, machine = %halt.machine, "task stops");
        let slot = crate::cluster::SlotId {
            task: halt.task.clone(),
            attempt: halt.attempt,
        };
        cluster.stop(&halt.machine, &slot, halt.grace_s);
    }
    for (id, zone) in &decisions.claims {
        if let Some(job) = cluster.jobs.get_mut(id) {
            job.claim = Some((zone.clone(), now + CLAIM_LASTS));
        }
    }
    for (id, why) in &decisions.waits {
        if let Some(job) = cluster.jobs.get_mut(id) {
            if job.waits_for != *why {
                tracing::debug!(job = %id, why, "waits");
            }
            job.waits_for = why;
        }
    }
}

/// Zones in which a job's tasks may be now.
pub(crate) fn zones_of<'a>(cluster: &'a Cluster, job: &'a Job) -> HashMap<&'a str, u32> {
    let mut zones = HashMap::new();
    for place in job.places.values().flatten() {
        if let Some(machine) = cluster.machines.get(&place.machine) {
            *zones.entry(machine.zone.as_str()).or_default() += 1;
        }
    }
    zones
}
