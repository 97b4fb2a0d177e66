//! Capacity that is released in time without preemption, as running tasks complete.

use std::time::Duration;

use super::{Preemption, Preemptor, View};
use crate::capacity::releases::ReleaseRequest;
use crate::sched::order::QueueEntry;

/// Terminating, saving and starting take about this long: capacity that is released sooner is
/// waited for, whatever the objectives.
pub(super) const RELEASE_WAIT_MIN_S: f64 = 12.0;

/// How long a job may wait for releases, in seconds: as long as it still starts in time, with the
/// time to pull its image and to terminate others, or a little while where that has passed.
fn release_wait_s(view: View, entry: &QueueEntry) -> f64 {
    let View {
        cluster,
        policy,
        now,
    } = view;
    let spec = &entry.job.spec;
    let age = now.saturating_duration_since(entry.job.submitted_at);
    let within = policy.start_objectives.get(&spec.class);
    let left = within.map_or(Duration::ZERO, |within| within.saturating_sub(age));
    let usable = cluster.catalog().iter().filter(|machine_type| {
        let allowed = |zone: &String| spec.allows(&machine_type.name, zone, false);
        spec.task_resources.fits(&machine_type.capacity) && machine_type.zones.iter().any(allowed)
    });
    let rates = usable.map(|machine_type| machine_type.pull_gb_per_s.max(f64::MIN_POSITIVE));
    let slowest = rates.fold(f64::INFINITY, f64::min);
    let pull_s = spec.image_gb / slowest;
    let wait_s = (left.as_secs_f64() - pull_s - RELEASE_WAIT_MIN_S).max(RELEASE_WAIT_MIN_S);
    match policy.guarantee_objective {
        // Half of it passes in terminating and starting.
        Some(within) if entry.guaranteed => wait_s.min(within.as_secs_f64() / 2.0),
        _ => wait_s,
    }
}

impl Preemption<'_, '_> {
    /// How many tasks of the preemptor get no capacity from releases in time. Releases are taken
    /// for the others.
    pub(super) fn tasks_without_release(
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
        let most = zones
            .iter()
            .max_by_key(|zone| releases.count(capacity, request(zone.as_deref())));
        let zone = most.and_then(|zone| zone.as_deref());
        let served = releases.reserve(capacity, request(zone));
        // Capacity for a part of its members is of no use to a gang.
        if entry.job.is_gang() && served < tasks {
            tasks
        } else {
            tasks - served
        }
    }
}
