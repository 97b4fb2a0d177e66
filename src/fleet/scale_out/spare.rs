//! Spare capacity for jobs that have to start before a rented machine would have booted.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{PackingLimits, ScaleOutPlanner};
use crate::fleet::demand::ArrivalTrend;
use crate::fleet::IdlePolicy;
use crate::model::JobSpec;

/// Spare capacity covers the mean number of tasks that arrive while a machine boots, plus this many
/// standard deviations.
const SPARE_DEVIATIONS: f64 = 3.0;
/// The shortest time over which arrivals are averaged, so that the first arrivals under a new
/// leader don't appear as a high rate. The longest is twice that.
const RATE_WINDOW_MIN: Duration = Duration::from_secs(90);

/// Recent arrivals of an urgent class.
struct RecentArrivals<'a> {
    /// Tasks of all jobs that arrived within the window.
    tasks: f64,
    spec: &'a JobSpec,
}

impl<'a> ScaleOutPlanner<'a> {
    /// Reserves capacity, and plans rentals, for jobs that may arrive while a machine boots, for
    /// classes whose jobs have to start sooner than that.
    pub(in crate::fleet) fn reserve_spare_capacity(
        &mut self,
        trend: &ArrivalTrend,
        idle_policy: IdlePolicy,
    ) {
        let window = self
            .now
            .saturating_duration_since(self.cluster.observing_since)
            .clamp(RATE_WINDOW_MIN, RATE_WINDOW_MIN * 2);
        for (_, RecentArrivals { tasks, spec }) in self.urgent_arrivals(window) {
            let usable = self.usable_options(spec, None);
            let cheapest = self.cheapest_first(&usable);
            let Some(cheapest_option) = cheapest.first() else {
                continue;
            };
            let boot = self.options[cheapest_option.usable.option]
                .machine_type
                .boot_time;
            let expected_tasks = tasks / window.as_secs_f64() * boot.as_secs_f64();
            let spare_tasks = (expected_tasks + SPARE_DEVIATIONS * expected_tasks.sqrt())
                * idle_policy.spare_factor;
            let spare_tasks = spare_tasks * trend.for_class(spec);
            let mut unconstrained = spec.clone();
            unconstrained.single_zone = false;
            unconstrained.zone_spread = false;
            unconstrained.zone = None;
            let mut limits = PackingLimits {
                zone: None,
                wait_s: 0.0,
                per_zone: HashMap::new(),
            };
            self.pack(&unconstrained, spare_tasks.round() as u32, &mut limits);
        }
    }

    /// Returns the arrivals of urgent classes within the last `window`, by class.
    fn urgent_arrivals(&self, window: Duration) -> BTreeMap<&'a str, RecentArrivals<'a>> {
        let cluster = self.cluster;
        let mut classes: BTreeMap<&str, RecentArrivals> = BTreeMap::new();
        for (at, spec) in &cluster.arrivals {
            let is_recent = self.now.saturating_duration_since(*at) <= window;
            let boot = self.shortest_boot(spec);
            if is_recent && self.policy.cannot_wait_for_boot(&spec.class, boot) {
                let arrivals = classes
                    .entry(&spec.class)
                    .or_insert(RecentArrivals { tasks: 0.0, spec });
                arrivals.tasks += f64::from(spec.tasks);
            }
        }
        classes
    }
}
