//! The scheduling policy: team quotas and the service-level objectives of job classes.

use std::collections::HashMap;
use std::time::Duration;

use crate::config::{Settings, TeamSettings};
use crate::model::Resources;

/// A class whose start objective allows this many boot times can wait for a boot. The rest of the
/// time is for a late boot, for pulling the image, and for waiting for capacity.
const BOOTS_PER_START: u32 = 3;

/// Quotas and objectives from the settings.
#[derive(Debug, Clone)]
pub struct SchedulingPolicy {
    /// Quotas by the name of the team.
    pub teams: HashMap<String, TeamSettings>,
    /// Objectives on the time from submission to completion by class, shortest first.
    pub completion_objectives: HashMap<String, Vec<Duration>>,
    /// The shortest objective on the time from submission to start, by class.
    pub start_objectives: HashMap<String, Duration>,
    /// Objectives on deadlines by class, as factors of the deadline, lowest first.
    pub deadline_objectives: HashMap<String, Vec<f64>>,
    /// The objective on the time within which tasks covered by a team's guarantee start.
    pub guarantee_objective: Option<Duration>,
    /// The zones of the deployment.
    pub zones: Vec<String>,
}

impl SchedulingPolicy {
    /// Extracts the policy from the settings.
    pub fn new(settings: &Settings) -> Self {
        let mut completion_objectives: HashMap<String, Vec<Duration>> = HashMap::new();
        let mut start_objectives: HashMap<String, Duration> = HashMap::new();
        let mut deadline_objectives: HashMap<String, Vec<f64>> = HashMap::new();
        let mut guarantee_objective = None;
        for objective in &settings.params.objectives {
            let class = objective.class.clone();
            let within = objective.within_s.map(crate::time::secs);
            match (objective.kind.as_str(), within) {
                ("wait", Some(within)) => {
                    let entry = start_objectives.entry(class).or_insert(within);
                    *entry = within.min(*entry);
                }
                ("finished", Some(within)) => {
                    let times = completion_objectives.entry(class).or_default();
                    times.push(within);
                    times.sort();
                }
                ("guarantee", Some(within)) => guarantee_objective = Some(within),
                ("deadline", _) => {
                    let times = deadline_objectives.entry(class).or_default();
                    times.push(objective.times.unwrap_or(1.0));
                    times.sort_by(f64::total_cmp);
                }
                // Objectives of other kinds do not affect when a job should start or complete.
                _ => {}
            }
        }
        let teams = settings.params.teams.iter();
        Self {
            teams: teams
                .map(|team| (team.name.clone(), team.clone()))
                .collect(),
            completion_objectives,
            start_objectives,
            deadline_objectives,
            guarantee_objective,
            zones: settings.params.zones.clone(),
        }
    }

    /// Whether jobs of a class have to start too soon to wait for a machine to boot. An objective
    /// that leaves time for several boots needs no spare capacity.
    pub fn cannot_wait_for_boot(&self, class: &str, boot: Duration) -> bool {
        let within = self.start_objectives.get(class);
        within.is_some_and(|within| *within < boot * BOOTS_PER_START)
    }

    /// Whether this usage is within the limit of the team's quota. A team removed from the settings
    /// has no limit, since its accepted jobs still have to run.
    pub fn within_limit(&self, team: &str, used: &Resources) -> bool {
        self.teams.get(team).is_none_or(|quota| {
            let limit = Resources {
                cpus: unlimited_if_zero(quota.cpus_max),
                gpus: unlimited_if_zero(quota.gpus_max),
                memory: f64::INFINITY,
            };
            used.fits(&limit)
        })
    }

    /// Whether the team's guarantee covers any resource that a task uses.
    pub fn has_guarantee_for(&self, team: &str, task: &Resources) -> bool {
        self.teams
            .get(team)
            .is_some_and(|t| (t.cpus > 0.0 && task.cpus > 0.0) || (t.gpus > 0.0 && task.gpus > 0.0))
    }

    /// Whether this usage exceeds the team's guarantee of any resource that the task uses.
    pub fn exceeds_guarantee(&self, team: &str, used: &Resources, task: &Resources) -> bool {
        self.teams.get(team).is_none_or(|quota| {
            let exceeds = |used: f64, guaranteed: f64, task: f64| task > 0.0 && used > guaranteed;
            let manages_cpus = quota.cpus > 0.0 || quota.cpus_max > 0.0;
            (manages_cpus && exceeds(used.cpus, quota.cpus, task.cpus))
                || exceeds(used.gpus, quota.gpus, task.gpus)
        })
    }

    /// Whether this usage is within the team's guarantee.
    pub fn within_guarantee(&self, team: &str, used: &Resources) -> bool {
        self.teams.get(team).is_some_and(|quota| {
            let has_guarantee = quota.cpus > 0.0 || quota.gpus > 0.0;
            let limit = Resources {
                cpus: unlimited_if_zero(quota.cpus),
                gpus: unlimited_if_zero(quota.gpus),
                memory: f64::INFINITY,
            };
            has_guarantee && used.fits(&limit)
        })
    }
}

fn unlimited_if_zero(amount: f64) -> f64 {
    if amount > 0.0 {
        amount
    } else {
        f64::INFINITY
    }
}

#[cfg(test)]
mod tests;
