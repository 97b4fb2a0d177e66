//! Spare capacity for jobs that have to start sooner than a machine boots.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{PackingLimits, ScaleOutPlanner};
use crate::fleet::demand::ArrivalTrend;
use crate::fleet::IdlePolicy;
use crate::model::JobSpec;

/// Standard deviations above the mean of what may arrive while a machine boots.
const SPARE_DEVIATIONS: f64 = 3.0;
/// Shortest time over which arrivals are averaged, so that the first ones don't count for a
/// flood.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(90);

/// Tasks of an urgent class that arrived lately.
struct RecentArrivals<'a> {
    tasks: f64,
    spec: &'a JobSpec,
}

impl<'a> ScaleOutPlanner<'a> {
    /// Keeps, and rents, capacity for what may arrive while a machine would boot, for classes whose
    /// jobs have to start sooner than that.
    pub(in crate::fleet) fn reserve_spare_capacity(
        &mut self,
        trend: &ArrivalTrend,
        idle_policy: IdlePolicy,
    ) {
        let window = self
            .now
            .saturating_duration_since(self.cluster.observing_since)
            .clamp(ARRIVAL_WINDOW, ARRIVAL_WINDOW * 2);
        for (_, RecentArrivals { tasks, spec }) in self.urgent_arrivals(window) {
            let usable = self.usable(spec, None);
            let cheapest = self.cheapest(&usable);
            let Some(first) = cheapest.first() else {
                continue;
            };
            let boot = self.options[first.usable.option].machine_type.boot_time;
            let expected = tasks / window.as_secs_f64() * boot.as_secs_f64();
            let spare = (expected + SPARE_DEVIATIONS * expected.sqrt()) * idle_policy.spare_factor;
            let spare = spare * trend.of_class(spec);
            let mut unconstrained = spec.clone();
            unconstrained.single_zone = false;
            unconstrained.zone_spread = false;
            unconstrained.zone = None;
            let mut limits = PackingLimits {
                zone: None,
                wait_s: 0.0,
                per_zone: HashMap::new(),
            };
            self.pack(&unconstrained, spare.round() as u32, &mut limits);
        }
    }

    /// Arrivals of urgent classes within the window.
    fn urgent_arrivals(&self, window: Duration) -> BTreeMap<&'a str, RecentArrivals<'a>> {
        let cluster = self.cluster;
        let mut classes: BTreeMap<&str, RecentArrivals> = BTreeMap::new();
        for (at, spec) in &cluster.arrivals {
            let recent = self.now.saturating_duration_since(*at) <= window;
            let boot = self.quickest_boot(spec);
            if recent && self.policy.cannot_wait_for_boot(&spec.class, boot) {
                let arrivals = classes
                    .entry(&spec.class)
                    .or_insert(RecentArrivals { tasks: 0.0, spec });
                arrivals.tasks += f64::from(spec.tasks);
            }
        }
        classes
    }
}
