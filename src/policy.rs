//! What scheduling needs of the settings: teams' quotas and the service-level objectives of classes.

use std::collections::HashMap;
use std::time::Duration;

use crate::config::{Settings, TeamSettings};
use crate::model::Resources;

/// A class that may take this many boots to start can wait for one: for it to be late, for its
/// image, and for room.
const BOOTS_TO_SPARE: u32 = 3;

/// What the scheduler needs of the settings.
#[derive(Debug, Clone)]
pub struct SchedulingPolicy {
    /// Teams by name.
    pub teams: HashMap<String, TeamSettings>,
    /// The times that aims allow a class, shortest first.
    pub aims: HashMap<String, Vec<Duration>>,
    /// Classes that are to start soon, with the time allowed.
    pub prompt: HashMap<String, Duration>,
    /// Times its deadline that a job may take by the aims, least first.
    pub deadlines: HashMap<String, Vec<f64>>,
    /// How soon work within a guarantee is to start, if there is an aim on it.
    pub guarantee: Option<Duration>,
    /// Zones of the deployment.
    pub zones: Vec<String>,
}

impl SchedulingPolicy {
    /// From the settings.
    pub fn new(settings: &Settings) -> Self {
        let mut aims: HashMap<String, Vec<Duration>> = HashMap::new();
        let mut prompt: HashMap<String, Duration> = HashMap::new();
        let mut deadlines: HashMap<String, Vec<f64>> = HashMap::new();
        let mut guarantee = None;
        for objective in &settings.params.objectives {
            let class = objective.class.clone();
            let within = objective.within_s.map(crate::time::secs);
            match (objective.kind.as_str(), within) {
                ("wait", Some(within)) => {
                    let entry = prompt.entry(class).or_insert(within);
                    *entry = within.min(*entry);
                }
                ("finished", Some(within)) => {
                    let times = aims.entry(class).or_default();
                    times.push(within);
                    times.sort();
                }
                ("guarantee", Some(within)) => guarantee = Some(within),
                ("deadline", _) => {
                    let times = deadlines.entry(class).or_default();
                    times.push(objective.times.unwrap_or(1.0));
                    times.sort_by(f64::total_cmp);
                }
                // Aims of other kinds say nothing about when a job should start or end.
                _ => {}
            }
        }
        let teams = settings.params.teams.iter();
        Self {
            teams: teams
                .map(|team| (team.name.clone(), team.clone()))
                .collect(),
            aims,
            prompt,
            deadlines,
            guarantee,
            zones: settings.params.zones.clone(),
        }
    }

    /// Whether jobs of a class have to start so soon that nobody may wait for a machine to boot
    /// first. An aim on starting that leaves time for several boots asks for no spare room.
    pub fn hurries(&self, class: &str, boot: Duration) -> bool {
        let within = self.prompt.get(class);
        within.is_some_and(|within| *within < boot * BOOTS_TO_SPARE)
    }

    /// Whether the team may use `sum` at once. One that the settings don't name any more has no
    /// limit: its accepted jobs have to run all the same.
    pub fn within_limit(&self, team: &str, sum: &Resources) -> bool {
        self.teams.get(team).is_none_or(|t| {
            let limit = Resources {
                cpus: unmanaged_if_zero(t.cpus_max),
                gpus: unmanaged_if_zero(t.gpus_max),
                memory: f64::INFINITY,
            };
            sum.fits(&limit)
        })
    }

    /// Whether a task uses something of which the team is guaranteed an amount.
    pub fn claims(&self, team: &str, need: &Resources) -> bool {
        self.teams
            .get(team)
            .is_some_and(|t| (t.cpus > 0.0 && need.cpus > 0.0) || (t.gpus > 0.0 && need.gpus > 0.0))
    }

    /// Whether the team uses more than its guarantee of something that the task uses, too.
    pub fn beyond(&self, team: &str, sum: &Resources, need: &Resources) -> bool {
        self.teams.get(team).is_none_or(|t| {
            let over = |sum: f64, own: f64, need: f64| need > 0.0 && sum > own;
            let managed = t.cpus > 0.0 || t.cpus_max > 0.0;
            (managed && over(sum.cpus, t.cpus, need.cpus)) || over(sum.gpus, t.gpus, need.gpus)
        })
    }

    /// Whether `sum` is within what the team is guaranteed.
    pub fn within_guarantee(&self, team: &str, sum: &Resources) -> bool {
        self.teams.get(team).is_some_and(|t| {
            let managed = t.cpus > 0.0 || t.gpus > 0.0;
            let limit = Resources {
                cpus: unmanaged_if_zero(t.cpus),
                gpus: unmanaged_if_zero(t.gpus),
                memory: f64::INFINITY,
            };
            managed && sum.fits(&limit)
        })
    }
}

fn unmanaged_if_zero(amount: f64) -> f64 {
    if amount > 0.0 {
        amount
    } else {
        f64::INFINITY
    }
}

#[cfg(test)]
mod tests;
