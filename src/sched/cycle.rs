//! The state of one scheduling cycle, which schedules jobs one by one on the capacity that earlier
//! jobs left.

use std::collections::HashMap;

use super::allocate::{self, Allocation, LatencySensitiveClass};
use super::decisions::{AttemptChoice, Decisions, GangRestartReason, Start};
use super::order::{self, QueueEntry};
use super::SchedulingView;
use crate::capacity::releases::ExpectedReleases;
use crate::capacity::CapacityIndex;
use crate::cluster::Job;
use crate::demand::UnmetDemand;
use crate::model::{Priority, Resources};
use crate::pending_reason::PendingReason;

/// The most tasks of one job that one cycle starts; a larger array continues in the next cycle.
const STARTS_PER_JOB_MAX: usize = 256;
/// A gang that is still pending this many barrier timeouts after its submission reserves its
/// tentative allocation against later jobs, so that smaller jobs can't starve it.
const RESERVE_AFTER_BARRIER_TIMEOUTS: u32 = 2;

pub(super) struct Cycle<'a> {
    view: SchedulingView<'a>,
    latency_sensitive: Vec<LatencySensitiveClass<'a>>,
    capacity: CapacityIndex<'a>,
    expected_releases: ExpectedReleases,
    team_use: HashMap<&'a str, Resources>,
    decisions: Decisions,
}

/// Returns why this cycle must not schedule the job, if there is such a reason.
fn exclusion_reason(view: SchedulingView, job: &Job) -> Option<PendingReason> {
    if view.cluster.may_have_unreconciled_tasks(job) {
        Some(PendingReason::UnreconciledMachines)
    } else if job.backoff_until.is_some_and(|until| view.now < until) {
        Some(match job.is_suspected() {
            true => PendingReason::TrialBackoff,
            false => PendingReason::FailureBackoff,
        })
    } else if job.terminating {
        Some(PendingReason::Terminating)
    } else {
        None
    }
}

impl<'a> Cycle<'a> {
    pub(super) fn new(view: SchedulingView<'a>) -> Self {
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

    /// Schedules a job. Returns the number of its tasks without capacity, if other tasks may be
    /// preempted for them.
    pub(super) fn schedule(&mut self, entry: &QueueEntry<'a>) -> Option<u32> {
        let job = entry.job;
        if let Some(reason) = exclusion_reason(self.view, job) {
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

    /// Schedules a gang: starts all members, replaces the missing members of the current attempt,
    /// or starts none.
    fn schedule_gang(&mut self, entry: &QueueEntry<'a>) -> Option<u32> {
        let job = entry.job;
        let id = &job.spec.id;
        let missing: Vec<u32> = job.pending().collect();
        if missing.is_empty() {
            return None;
        }
        let Some(attempt) = attempt_for_missing_members(job) else {
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
        let allocation = allocate::allocate_gang(
            self.view,
            &self.latency_sensitive,
            job,
            &missing,
            &self.capacity,
        );
        // The gang can start when allocated, placed and completed members together reach the
        // minimum.
        let allocated = allocation.members.len() as u32;
        let placed = job.placements.len() as u32;
        if allocated + placed + job.done.len() >= job.spec.min_running_tasks() {
            self.team_use.insert(&job.spec.team, team_use);
            self.reserve(job, &allocation);
            self.decisions.starts.push(Start {
                job: id.clone(),
                attempt,
                members: allocation.assignments(&self.capacity),
            });
            return None;
        }
        if job.is_suspected() {
            // The scheduler reserves, preempts and rents nothing for a suspected job.
            self.decisions
                .keep_pending(id, PendingReason::TrialCapacity);
            return None;
        }
        self.reserve_for_pending_gang(job, &missing, &allocation);
        self.decisions.keep_pending(id, PendingReason::GangCapacity);
        Some(self.add_unmet_demand(entry, missing.len() as u32, allocation.zone))
    }

    /// Reserves capacity for a gang that stays pending, if preemption freed the capacity for this
    /// gang, or if [`RESERVE_AFTER_BARRIER_TIMEOUTS`] have passed since its submission.
    fn reserve_for_pending_gang(&mut self, job: &Job, missing: &[u32], allocation: &Allocation) {
        let SchedulingView { cluster, now, .. } = self.view;
        let age = now.saturating_duration_since(job.submitted_at);
        if let Some(reservation) = job.capacity_reserved(now) {
            // Otherwise the preempted tasks would restart on the capacity that they have freed.
            let classes = &self.latency_sensitive;
            let capacity_and_zone = (&self.capacity, reservation.zone.as_deref());
            let allocation = allocate::allocate_in_reserved_zone(
                self.view,
                classes,
                job,
                missing,
                capacity_and_zone,
            );
            self.reserve(job, &allocation);
        } else if age >= cluster.timing.gang_barrier_timeout * RESERVE_AFTER_BARRIER_TIMEOUTS {
            self.reserve(job, allocation);
        }
    }

    /// Schedules an array, whose tasks start independently of each other.
    fn schedule_array(&mut self, entry: &QueueEntry<'a>) -> Option<u32> {
        let job = entry.job;
        let id = &job.spec.id;
        let pending: Vec<u32> = job.pending().take(self.start_limit(job)).collect();
        if pending.is_empty() {
            return None;
        }
        let allowed = self.tasks_within_team_limit(job, pending.len());
        if allowed == 0 {
            self.decisions.keep_pending(id, PendingReason::TeamLimit);
            return None;
        }
        let allocation = allocate::allocate_array(
            self.view,
            &self.latency_sensitive,
            job,
            &pending[..allowed],
            &self.capacity,
            &mut self.expected_releases,
        );
        let placed = allocation.members.len();
        let mut team_use = self.team_use_of(job);
        team_use.add(&job.spec.task_resources.times(placed as u32));
        self.team_use.insert(&job.spec.team, team_use);
        self.reserve(job, &allocation);
        for member in allocation.assignments(&self.capacity) {
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
        if allocation.deferred_tasks >= unplaced {
            self.decisions
                .keep_pending(id, PendingReason::ImageLocality);
            return None;
        }
        self.decisions.keep_pending(id, PendingReason::Capacity);
        let tasks = unplaced - allocation.deferred_tasks;
        Some(self.add_unmet_demand(entry, tasks, allocation.zone))
    }

    /// Returns how many tasks of an array may start in this cycle.
    fn start_limit(&self, job: &Job) -> usize {
        let age = self.view.now.saturating_duration_since(job.submitted_at);
        let best_effort = job.spec.priority == Priority::BestEffort;
        match (job.is_suspected(), job.has_placements()) {
            // Only the first task may use machines above the price cap.
            (false, _) if best_effort && order::near_start_deadline(job, age) => 1,
            (false, _) => STARTS_PER_JOB_MAX,
            // One task is enough to find out whether the job still fails.
            (true, false) => 1,
            (true, true) => 0,
        }
    }

    /// Returns how many of `tasks` tasks fit within the limit of the job's team.
    fn tasks_within_team_limit(&self, job: &Job, tasks: usize) -> usize {
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
            submitted_at: job.submitted_at,
            complete_by: entry.complete_by,
            zone,
        });
        tasks
    }
}

/// Returns the attempt under which the missing members of a gang start, or `None` if the whole gang
/// has to restart.
fn attempt_for_missing_members(job: &Job) -> Option<AttemptChoice> {
    let Some(attempt) = job.attempt else {
        return Some(AttemptChoice::New);
    };
    let mut placements = job.placements.values().flatten();
    let has_other_attempts = placements.any(|placement| placement.attempt != attempt);
    // A gang that has run can't continue with fewer placed and completed members than the minimum.
    let remaining = job.placements.len() as u32 + job.done.len();
    let below_minimum = job.seen_running && remaining < job.spec.min_running_tasks();
    (!has_other_attempts && !below_minimum).then_some(AttemptChoice::Current(attempt))
}
