//! Demand to come: how likely jobs of each class still arrive.

use std::collections::HashMap;
use std::time::Instant;

use crate::cluster::{Cluster, ARRIVAL_WINDOW};
use crate::model::{JobSpec, MachinePool, MachineType};

/// Arrivals needed to say anything about the time between them.
const ARRIVALS_MIN: usize = 5;
/// Mean times between arrivals without any, after which it is doubtful that more come (for
/// random arrivals this happens by chance one time in fifty).
const DOUBTFUL_AFTER: f64 = 4.0;
/// The same after which no more are expected (one time in four hundred).
const OVER_AFTER: f64 = 6.0;

/// A job of a class, and how likely more of them arrive.
struct ClassTrend<'a> {
    spec: &'a JobSpec,
    likelihood: f64,
}

/// Arrivals of a class.
struct ClassArrivals<'a> {
    spec: &'a JobSpec,
    count: usize,
    last: Instant,
}

/// How likely more jobs of each class arrive, from 0 to 1.
pub(super) struct ArrivalTrend<'a>(HashMap<&'a str, ClassTrend<'a>>);

impl<'a> ArrivalTrend<'a> {
    /// By the time since the last arrival, against the mean time between two: after several times
    /// that, it is unlikely that they go on as before.
    pub(super) fn of(cluster: &'a Cluster, now: Instant) -> Self {
        let mut classes: HashMap<&str, ClassArrivals> = HashMap::new();
        for (at, spec) in &cluster.arrivals {
            let arrivals = classes.entry(&spec.class).or_insert(ClassArrivals {
                spec,
                count: 0,
                last: *at,
            });
            arrivals.count += 1;
            arrivals.last = arrivals.last.max(*at);
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

    /// For jobs of a class. Of one that was never seen nothing is known.
    pub(super) fn of_class(&self, spec: &JobSpec) -> f64 {
        let trend = self.0.get(spec.class.as_str());
        trend.map_or(1.0, |trend| trend.likelihood)
    }

    /// For a pool, by the classes that can use it. Where none was seen, more may arrive as long as
    /// the leader is young.
    pub(super) fn of_pool(
        &self,
        pool: &MachinePool,
        machine_type: &MachineType,
        young: bool,
    ) -> f64 {
        let users = self.0.values().filter(|ClassTrend { spec, .. }| {
            spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&machine_type.capacity)
        });
        let most = users.map(|trend| trend.likelihood).reduce(f64::max);
        most.unwrap_or(if young { 1.0 } else { 0.0 })
    }
}

impl ClassArrivals<'_> {
    fn likelihood(&self, cluster: &Cluster, now: Instant) -> f64 {
        let known = now.saturating_duration_since(cluster.observing_since);
        if self.count < ARRIVALS_MIN && known < ARRIVAL_WINDOW {
            return 1.0;
        }
        let mean_s = known.min(ARRIVAL_WINDOW).as_secs_f64() / self.count as f64;
        let gaps = now.saturating_duration_since(self.last).as_secs_f64() / mean_s;
        let likelihood = 1.0 - (gaps - DOUBTFUL_AFTER) / (OVER_AFTER - DOUBTFUL_AFTER);
        likelihood.clamp(0.0, 1.0)
    }
}
