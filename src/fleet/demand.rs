//! Expected demand: how likely more jobs of each class arrive.

use std::collections::HashMap;
use std::time::Instant;

use crate::cluster::{Cluster, ARRIVAL_WINDOW};
use crate::model::{JobSpec, MachinePool, MachineType};

/// The least number of arrivals from which the time between arrivals is estimated.
const ARRIVALS_MIN: usize = 5;
/// Time without arrivals, in multiples of the mean time between arrivals, after which the
/// likelihood of more arrivals starts to decline. Random arrivals leave such a gap by chance one
/// time in fifty.
const DECLINE_START_GAPS: f64 = 4.0;
/// Time without arrivals, in multiples of the mean time between arrivals, after which no more
/// arrivals are expected. Random arrivals leave such a gap by chance one time in four hundred.
const DECLINE_END_GAPS: f64 = 6.0;

/// The spec of one job of a class, and the likelihood, from 0 to 1, that more arrive.
struct ClassTrend<'a> {
    spec: &'a JobSpec,
    likelihood: f64,
}

struct ClassArrivals<'a> {
    spec: &'a JobSpec,
    count: usize,
    last_arrival_at: Instant,
}

/// How likely more jobs of each class arrive, from 0 to 1.
pub(super) struct ArrivalTrend<'a>(HashMap<&'a str, ClassTrend<'a>>);

impl<'a> ArrivalTrend<'a> {
    /// Estimates the likelihood from the time since the last arrival: once it is several times the
    /// mean time between arrivals, they are unlikely to continue at the same rate.
    pub(super) fn of(cluster: &'a Cluster, now: Instant) -> Self {
        let mut classes: HashMap<&str, ClassArrivals> = HashMap::new();
        for (at, spec) in &cluster.arrivals {
            let arrivals = classes.entry(&spec.class).or_insert(ClassArrivals {
                spec,
                count: 0,
                last_arrival_at: *at,
            });
            arrivals.count += 1;
            arrivals.last_arrival_at = arrivals.last_arrival_at.max(*at);
        }
        let trends = classes.into_iter().map(|(class, arrivals)| {
            let trend = ClassTrend {
                spec: arrivals.spec,
                likelihood: arrivals.likelihood(cluster, now),
            };
            (class, trend)
        });
        Self(trends.collect())
    }

    /// Returns the likelihood for the class of a job; 1 if the class has no recorded arrivals,
    /// since there is no evidence of a decline.
    pub(super) fn for_class(&self, spec: &JobSpec) -> f64 {
        let trend = self.0.get(spec.class.as_str());
        trend.map_or(1.0, |trend| trend.likelihood)
    }

    /// Returns the highest likelihood among the classes that can use a pool. If none of them has
    /// recorded arrivals, it is 1 while the leader is new, and 0 later.
    pub(super) fn for_pool(
        &self,
        pool: &MachinePool,
        machine_type: &MachineType,
        new_leader: bool,
    ) -> f64 {
        let users = self.0.values().filter(|ClassTrend { spec, .. }| {
            spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&machine_type.capacity)
        });
        let highest = users.map(|trend| trend.likelihood).reduce(f64::max);
        highest.unwrap_or(if new_leader { 1.0 } else { 0.0 })
    }
}

impl ClassArrivals<'_> {
    fn likelihood(&self, cluster: &Cluster, now: Instant) -> f64 {
        let observed_for = now.saturating_duration_since(cluster.observing_since);
        if self.count < ARRIVALS_MIN && observed_for < ARRIVAL_WINDOW {
            return 1.0;
        }
        let mean_s = observed_for.min(ARRIVAL_WINDOW).as_secs_f64() / self.count as f64;
        let gaps = now
            .saturating_duration_since(self.last_arrival_at)
            .as_secs_f64()
            / mean_s;
        let likelihood =
            1.0 - (gaps - DECLINE_START_GAPS) / (DECLINE_END_GAPS - DECLINE_START_GAPS);
        likelihood.clamp(0.0, 1.0)
    }
}
