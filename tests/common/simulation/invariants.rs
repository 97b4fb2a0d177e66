//! Invariants that are checked during a run.

use super::*;

/// Maximum time for which a job may wait while machines have room for it and its team is within its
/// limit.
const WAIT_WITH_ROOM_MAX_S: f64 = 90.0;

/// Maximum time for which the leader may keep a machine from tasks in order to release it, after all faults.
const RELEASE_MAX_S: f64 = 30.0;

impl Simulation {
    /// Checks that no machine is kept from tasks for a release that never comes.
    pub(super) fn check_releases(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let releasing: BTreeSet<String> = {
            let guard = self.controllers[leader].shared.cluster.lock();
            let machines = guard.iter().flat_map(|cluster| cluster.machines.values());
            let marked = machines.filter(|machine| machine.is_releasing());
            marked.map(|machine| machine.id.to_string()).collect()
        };
        let now_s = self.now_s;
        self.releasing_since
            .retain(|name, _| releasing.contains(name));
        for name in releasing {
            let since = *self.releasing_since.entry(name.clone()).or_insert(now_s);
            if now_s - since > RELEASE_MAX_S {
                self.record_violation("blocked", name);
            }
        }
    }

    /// Checks after a step that the tasks of cancelled jobs have ended in time and that teams are within
    /// their limits.
    pub(super) fn check_invariants(&mut self) {
        let cancel_s = self.worker_settings().cancel_s;
        let mut violations = Vec::new();
        let mut used: HashMap<String, Resources> = HashMap::new();
        for (name, worker) in self
            .workers
            .iter()
            .filter(|(_, worker)| self.may_run_tasks(worker))
        {
            for ((task, _), state) in &worker.tasks {
                let (job, _) = task_parts(task);
                let Some(job) = self.jobs.get(job).filter(|_| is_active(state)) else {
                    continue;
                };
                let team_total = used.entry(job.spec.team.clone()).or_default();
                team_total.add(&job.spec.task_resources);
                let past_limit = job
                    .seen_cancelled_at
                    .is_some_and(|at| self.now_s > at + cancel_s);
                if past_limit && worker.hung_until <= self.now_s {
                    violations.push(("ran_cancelled", format!("{task} on {name}")));
                }
            }
        }
        for (team, total) in used {
            if !self.policy.within_limit(&team, &total) {
                violations.push(("quota", format!("{team} uses {total:?}")));
            }
        }
        for (rule, detail) in violations {
            self.record_violation(rule, detail);
        }
    }

    /// Whether a task of the job waits although there is room for it.
    pub(super) fn waits_despite_room(&self, id: &str) -> bool {
        let job = &self.jobs[id];
        let is_ended = job.seen_done_at.is_some() || job.cancel_requested;
        if job.seen_accepted_at.is_none() || is_ended {
            return false;
        }
        let placed = |task: &str| {
            let is_present = |((candidate, _), state): (&(String, u64), &Task)| {
                candidate == task && state.phase != TaskPhase::Exited
            };
            self.workers
                .values()
                .any(|worker| worker.tasks.iter().any(is_present))
        };
        let tasks = (0..job.spec.tasks).map(|index| format!("{id}/{index}"));
        let waiting = tasks.filter(|task| !self.completed_tasks.contains(task) && !placed(task));
        let waiting = waiting.count() as u32;
        if waiting == 0 {
            return false;
        }
        let is_gang = job.spec.kind == JobKind::Gang;
        if is_gang && waiting < job.spec.tasks {
            // The remaining members have to end first.
            return false;
        }
        let tasks_to_place = if is_gang { waiting } else { 1 };
        let mut used = job.spec.task_resources.times(tasks_to_place);
        let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
        for worker in self.workers.values() {
            let mut taken = job.spec.task_resources;
            for ((task, _), state) in &worker.tasks {
                let other = &self.jobs[task_parts(task).0].spec;
                if state.phase != TaskPhase::Exited {
                    taken.add(&other.task_resources);
                    if other.team == job.spec.team {
                        used.add(&other.task_resources);
                    }
                }
            }
            let machine_type = machine_types()
                .into_iter()
                .find(|known| known.name == worker.machine_type);
            if machine_type.is_some_and(|machine_type| taken.fits(&machine_type.capacity)) {
                *zones.entry(&worker.zone).or_default() += 1;
            }
        }
        let has_room = zones.values().any(|count| *count >= tasks_to_place);
        // An array that is bound to the zone of its other tasks is not checked. An array without placed or
        // completed tasks may use any zone.
        let bound_to_zone = job.spec.single_zone && !is_gang && waiting < job.spec.tasks;
        has_room && !bound_to_zone && self.policy.within_limit(&job.spec.team, &used)
    }

    /// Checks that no job waits too long despite room for it.
    pub(super) fn check_waiting_jobs(&mut self) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            if !self.waits_despite_room(&id) {
                self.placeable_since.remove(&id);
                continue;
            }
            let now_s = self.now_s;
            let waiting_since = *self.placeable_since.entry(id.clone()).or_insert(now_s);
            if now_s - waiting_since > WAIT_WITH_ROOM_MAX_S {
                self.record_violation("neglected", id);
            }
        }
    }

    pub(super) fn record_violation(&mut self, rule: &str, detail: String) {
        let line = format!("{:.2}s {rule}: {detail}", self.now_s);
        if self.violations.len() < 20 {
            self.violations.push(line);
        }
    }
}
