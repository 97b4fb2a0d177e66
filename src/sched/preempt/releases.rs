//! Capacity that running tasks release in time when they complete, without preemption.

use std::time::Duration;

use super::{Preemption, Preemptor, SchedulingView};
use crate::capacity::releases::ReleaseRequest;
use crate::sched::order::QueueEntry;

/// The approximate time to terminate a task, save its checkpoint and start another. A job waits for
/// capacity that is released sooner than that, regardless of its objectives.
pub(super) const RELEASE_WAIT_MIN_S: f64 = 12.0;

/// Returns how many seconds a job may wait for releases and still meet its start objective, given
/// the time to pull its image and to terminate other tasks. Where no such time is left, it returns
/// [`RELEASE_WAIT_MIN_S`]. A guaranteed job waits for at most half of the guarantee objective.
fn release_wait_s(view: SchedulingView, entry: &QueueEntry) -> f64 {
    let SchedulingView {
        cluster,
        policy,
        now,
    } = view;
    let spec = &entry.job.spec;
    let age = now.saturating_duration_since(entry.job.submitted_at);
    let within = policy.start_objectives.get(&spec.class);
    let time_left = within.map_or(Duration::ZERO, |within| within.saturating_sub(age));
    let usable = cluster.catalog().iter().filter(|machine_type| {
        let allowed = |zone: &String| spec.allows(&machine_type.name, zone, false);
        spec.task_resources.fits(&machine_type.capacity) && machine_type.zones.iter().any(allowed)
    });
    let pull_rates = usable.map(|machine_type| machine_type.pull_gb_per_s.max(f64::MIN_POSITIVE));
    let slowest_rate = pull_rates.fold(f64::INFINITY, f64::min);
    let pull_s = spec.image_gb / slowest_rate;
    let wait_s = (time_left.as_secs_f64() - pull_s - RELEASE_WAIT_MIN_S).max(RELEASE_WAIT_MIN_S);
    match policy.guarantee_objective {
        // The other half of the objective is for terminating other tasks and starting these.
        Some(within) if entry.guaranteed => wait_s.min(within.as_secs_f64() / 2.0),
        _ => wait_s,
    }
}

impl Preemption<'_, '_> {
    /// Returns how many tasks of the preemptor get no capacity from releases in time, and reserves
    /// releases for the others.
    pub(super) fn tasks_not_served_by_releases(
        &mut self,
        preemptor: &Preemptor,
        zones: &[Option<String>],
    ) -> u32 {
        let Preemptor { entry, tasks } = *preemptor;
        let spec = &entry.job.spec;
        let wait_s = release_wait_s(self.view, entry);
        let request = |zone| ReleaseRequest {
            spec,
            zone,
            tasks,
            within_s: wait_s,
        };
        let (capacity, releases) = (&self.capacity, &mut self.expected_releases);
        let best_zone = zones
            .iter()
            .max_by_key(|zone| releases.count(capacity, request(zone.as_deref())));
        let zone = best_zone.and_then(|zone| zone.as_deref());
        let served_tasks = releases.reserve(capacity, request(zone));
        // A gang can't start with capacity for only some of its members.
        if entry.job.is_gang() && served_tasks < tasks {
            tasks
        } else {
            tasks - served_tasks
        }
    }
}
