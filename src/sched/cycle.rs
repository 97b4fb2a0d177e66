//! One scheduling cycle: schedules jobs one after the other on the capacity that is left.

use std::collections::HashMap;

use super::allocate::{self, Allocation, LatencySensitiveClass};
use super::decisions::{AttemptChoice, Decisions, GangRestartReason, Start};
use super::order::{self, QueueEntry};
use super::View;
use crate::capacity::releases::ExpectedReleases;
use crate::capacity::CapacityIndex;
use crate::cluster::Job;
use crate::demand::UnmetDemand;
use crate::model::{Priority, Resources};
use crate::pending_reason::PendingReason;

/// Tasks of one job started in one cycle; a larger array goes on in the next one.
const STARTS_PER_JOB_MAX: usize = 256;
/// A gang that has been pending for this many barrier timeouts reserves its tentative capacity
/// against later jobs, so that smaller ones can't starve it.
const RESERVE_AFTER_BARRIER_TIMEOUTS: u32 = 2;

/// The state of a scheduling cycle.
pub(super) struct Cycle<'a> {
    view: View<'a>,
    latency_sensitive: Vec<LatencySensitiveClass<'a>>,
    capacity: CapacityIndex<'a>,
    expected_releases: ExpectedReleases,
    team_use: HashMap<&'a str, Resources>,
    decisions: Decisions,
}

/// Why a job is not considered at all, if it is not.
fn excluded(view: View, job: &Job) -> Option<PendingReason> {
    if view.cluster.may_have_unreconciled_tasks(job) {
        Some(PendingReason::UnreconciledMachines)
    } else if job.backoff_until.is_some_and(|until| view.now < until) {
        Some(match job.is_suspected() {
            true => PendingReason::TrialBackoff,
            false => PendingReason::FailureBackoff,
        })
    } else if job.stopping {
        Some(PendingReason::Terminating)
    } else {
        None
    }
}

impl<'a> Cycle<'a> {
    pub(super) fn new(view: View<'a>) -> Self {
        let capacity = CapacityIndex::of(view.cluster, view.now);
        Self {
            view,
            latency_sensitive: allocate::latency_sensitive_classes(view),
            expected_releases: ExpectedReleases::of(&capacity, view.now),
            capacity,
            team_use: view.cluster.team_use(),
            decisions: Decisions::default(),
        }
    }

    pub(super) fn into_decisions(self) -> Decisions {
        self.decisions
    }

    /// Schedules a job; the number of its tasks for which there is no capacity, if other work
    /// may be preempted for them.
    pub(super) fn schedule(&mut self, entry: &QueueEntry<'a>) -> Option<u32> {
        let job = entry.job;
        if let Some(reason) = excluded(self.view, job) {
            if job.pending_count() > 0 {
                self.decisions.keep_pending(&job.spec.id, reason);
            }
            return None;
        }
        if job.is_gang() {
            self.schedule_gang(entry)
        } else {
            self.schedule_array(entry)
        }
    }

    /// Schedules a gang: as a whole, by replacing members of its present attempt, or not at all.
    fn schedule_gang(&mut self, entry: &QueueEntry<'a>) -> Option<u32> {
        let job = entry.job;
        let id = &job.spec.id;
        let missing: Vec<u32> = job.pending().collect();
        if missing.is_empty() {
            return None;
        }
        let Some(attempt) = attempt_of(job) else {
            let reason = GangRestartReason::MemberLost;
            self.decisions.restart_gang(id, reason);
            return None;
        };
        let mut team_use = self.team_use_of(job);
        team_use.add(&job.spec.task_resources.times(missing.len() as u32));
        if !self.view.policy.within_limit(&job.spec.team, &team_use) {
            self.decisions.keep_pending(id, PendingReason::TeamLimit);
            return None;
        }
        let allocation = allocate::gang(
            self.view,
            &self.latency_sensitive,
            job,
            &missing,
            &self.capacity,
        );
        // Ready when the allocated members reach the minimum, or with those that succeeded.
        let allocated = allocation.members.len() as u32;
        let placed = job.placements.len() as u32;
        if allocated + placed + job.done.len() >= job.spec.min_running_tasks() {
            self.team_use.insert(&job.spec.team, team_use);
            self.reserve(job, &allocation);
            self.decisions.starts.push(Start {
                job: id.clone(),
                attempt,
                members: allocation.machines(&self.capacity),
            });
            return None;
        }
        if job.is_suspected() {
            // Nothing is reserved, preempted or rented for it.
            self.decisions
                .keep_pending(id, PendingReason::TrialCapacity);
            return None;
        }
        self.reserve_for_pending_gang(job, &missing, &allocation);
        self.decisions.keep_pending(id, PendingReason::GangCapacity);
        Some(self.add_unmet_demand(entry, missing.len() as u32, allocation.zone))
    }

    /// Reserves capacity for a gang that stays pending, if it was freed for this gang or if the
    /// gang has been pending for long.
    fn reserve_for_pending_gang(&mut self, job: &Job, missing: &[u32], allocation: &Allocation) {
        let View { cluster, now, .. } = self.view;
        let age = now.saturating_duration_since(job.submitted_at);
        if let Some(reservation) = job.capacity_reserved(now) {
            // Else the preempted work would start again on the capacity that it has freed.
            let classes = &self.latency_sensitive;
            let within = (&self.capacity, reservation.zone.as_deref());
            let allocation = allocate::reserved(self.view, classes, job, missing, within);
            self.reserve(job, &allocation);
        } else if age >= cluster.timing.gang_barrier_timeout * RESERVE_AFTER_BARRIER_TIMEOUTS {
            self.reserve(job, allocation);
        }
    }

    /// Schedules an array: every task is a gang of one.
    fn schedule_array(&mut self, entry: &QueueEntry<'a>) -> Option<u32> {
        let job = entry.job;
        let id = &job.spec.id;
        let missing: Vec<u32> = job.pending().take(self.starts_max(job)).collect();
        if missing.is_empty() {
            return None;
        }
        let allowed = self.within_team_limit(job, missing.len());
        if allowed == 0 {
            self.decisions.keep_pending(id, PendingReason::TeamLimit);
            return None;
        }
        let allocation = allocate::array(
            self.view,
            &self.latency_sensitive,
            job,
            &missing[..allowed],
            &self.capacity,
            &mut self.expected_releases,
        );
        let placed = allocation.members.len();
        let mut team_use = self.team_use_of(job);
        team_use.add(&job.spec.task_resources.times(placed as u32));
        self.team_use.insert(&job.spec.team, team_use);
        self.reserve(job, &allocation);
        for member in allocation.machines(&self.capacity) {
            self.decisions.starts.push(Start {
                job: id.clone(),
                attempt: AttemptChoice::New,
                members: vec![member],
            });
        }
        let unplaced = (allowed - placed) as u32;
        if unplaced == 0 {
            return None;
        }
        if job.is_suspected() {
            self.decisions
                .keep_pending(id, PendingReason::TrialCapacity);
            return None;
        }
        if allocation.deferred >= unplaced {
            self.decisions
                .keep_pending(id, PendingReason::ImageLocality);
            return None;
        }
        self.decisions.keep_pending(id, PendingReason::Capacity);
        let tasks = unplaced - allocation.deferred;
        Some(self.add_unmet_demand(entry, tasks, allocation.zone))
    }

    /// How many tasks of an array may start in this cycle.
    fn starts_max(&self, job: &Job) -> usize {
        let age = self.view.now.saturating_duration_since(job.submitted_at);
        let best_effort = job.spec.priority == Priority::BestEffort;
        match (job.is_suspected(), job.has_placements()) {
            // The first one may use machines that exceed the price cap of the others.
            (false, _) if best_effort && order::past_start_deadline(job, age) => 1,
            (false, _) => STARTS_PER_JOB_MAX,
            // One task is enough to see whether the job still fails.
            (true, false) => 1,
            (true, true) => 0,
        }
    }

    /// How many of so many tasks the limit of the team admits.
    fn within_team_limit(&self, job: &Job, tasks: usize) -> usize {
        let mut team_use = self.team_use_of(job);
        for admitted in 0..tasks {
            team_use.add(&job.spec.task_resources);
            if !self.view.policy.within_limit(&job.spec.team, &team_use) {
                return admitted;
            }
        }
        tasks
    }

    fn team_use_of(&self, job: &Job) -> Resources {
        let team_use = self.team_use.get(job.spec.team.as_str());
        team_use.copied().unwrap_or_default()
    }

    fn reserve(&mut self, job: &Job, allocation: &Allocation) {
        allocation.reserve(&mut self.capacity, &job.spec.task_resources);
    }

    fn add_unmet_demand(&mut self, entry: &QueueEntry, tasks: u32, zone: Option<String>) -> u32 {
        let job = entry.job;
        self.decisions.unmet_demand.push(UnmetDemand {
            spec: job.spec.clone(),
            tasks,
            submitted: job.submitted_at,
            complete_by: entry.objective,
            zone,
        });
        tasks
    }
}

/// The attempt under which missing members of a gang start. None if the gang has to restart.
fn attempt_of(job: &Job) -> Option<AttemptChoice> {
    let Some(attempt) = job.attempt else {
        return Some(AttemptChoice::New);
    };
    let mut placements = job.placements.values().flatten();
    let mixed = placements.any(|placement| placement.attempt != attempt);
    // Running and succeeded members together are fewer than the minimum.
    let alive = job.placements.len() as u32 + job.done.len();
    let broken = job.seen_running && alive < job.spec.min_running_tasks();
    (!mixed && !broken).then_some(AttemptChoice::Current(attempt))
}
