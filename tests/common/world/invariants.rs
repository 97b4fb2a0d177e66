//! The protocol's rules, checked after every step.

use super::*;

/// How long a job may wait while a machine that fits has room and its team is under its limit.
const WAIT_WITH_ROOM_MAX_S: f64 = 90.0;

impl World {
    /// What must hold at every moment.
    pub(super) fn check(&mut self) {
        let cancel_s = self.timing().cancel_s;
        let mut broken = Vec::new();
        let mut used: HashMap<String, Resources> = HashMap::new();
        for (name, worker) in self.workers.iter().filter(|(_, w)| self.goes_on(w)) {
            for ((task, _), state) in &worker.tasks {
                let (job, _) = task_parts(task);
                let Some(job) = self.jobs.get(job).filter(|_| on_machine(state)) else {
                    continue;
                };
                let sum = used.entry(job.spec.team.clone()).or_default();
                sum.add(&job.spec.task_resources);
                let late = job.told_cancelled.is_some_and(|at| self.t > at + cancel_s);
                if late && worker.hung_until <= self.t {
                    broken.push(("ran_cancelled", format!("{task} on {name}")));
                }
            }
        }
        for (team, sum) in used {
            if !self.policy.within_limit(&team, &sum) {
                broken.push(("quota", format!("{team} uses {sum:?}")));
            }
        }
        for (rule, what) in broken {
            self.break_rule(rule, what);
        }
    }

    /// Whether tasks of the job wait while there is room for them.
    pub(super) fn waits_in_vain(&self, id: &str) -> bool {
        let job = &self.jobs[id];
        let over = job.told_done.is_some() || job.asked_to_cancel;
        if job.told_accepted.is_none() || over {
            return false;
        }
        let placed = |task: &str| {
            let on = |((at, _), state): (&(String, u64), &Task)| {
                at == task && state.phase != TaskPhase::Exited
            };
            self.workers.values().any(|w| w.tasks.iter().any(on))
        };
        let tasks = (0..job.spec.tasks).map(|index| format!("{id}/{index}"));
        let waiting = tasks.filter(|task| !self.completed.contains(task) && !placed(task));
        let waiting = waiting.count() as u32;
        if waiting == 0 {
            return false;
        }
        let gang = job.spec.kind == JobKind::Gang;
        if gang && waiting < job.spec.tasks {
            // The rest of it has to stop first.
            return false;
        }
        let wanted = if gang { waiting } else { 1 };
        let mut used = job.spec.task_resources.times(wanted);
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
                .find(|b| b.name == worker.machine_type);
            if machine_type.is_some_and(|machine_type| taken.fits(&machine_type.capacity)) {
                *zones.entry(&worker.zone).or_default() += 1;
            }
        }
        let room = zones.values().any(|count| *count >= wanted);
        // An array bound to one zone has room where its other tasks are, or anywhere without any.
        let bound = job.spec.single_zone && !gang && waiting < job.spec.tasks;
        room && !bound && self.policy.within_limit(&job.spec.team, &used)
    }

    /// Nobody waits for nothing once the troubles are over.
    pub(super) fn check_waits(&mut self) {
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            if !self.waits_in_vain(&id) {
                self.neglected.remove(&id);
                continue;
            }
            let t = self.t;
            let since = *self.neglected.entry(id.clone()).or_insert(t);
            if t - since > WAIT_WITH_ROOM_MAX_S {
                self.break_rule("neglected", id);
            }
        }
    }

    pub(super) fn break_rule(&mut self, rule: &str, what: String) {
        let line = format!("{:.2}s {rule}: {what}", self.t);
        if self.broken.len() < 20 {
            self.broken.push(line);
        }
    }
}
