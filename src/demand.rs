//! Unmet demand for machines, which a scheduling cycle passes to the fleet.

use std::sync::Arc;
use std::time::Instant;

use crate::model::JobSpec;

/// Tasks of one job for which a scheduling cycle found no capacity.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// The specification of the job that the tasks belong to.
    pub spec: Arc<JobSpec>,
    /// The number of the tasks, without tasks that wait for an expected release; at least 1.
    pub tasks: u32,
    /// When the job was submitted, possibly to an earlier leader.
    pub submitted_at: Instant,
    /// The earliest objective that the job can still meet, or the latest one if it can meet none.
    /// The fleet derives from it how long the tasks may wait for capacity.
    pub complete_by: Instant,
    /// The only zone in which the tasks may run, if other tasks of the job bind them to it.
    pub zone: Option<String>,
}
