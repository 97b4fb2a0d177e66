//! Unmet demand for machines, as a scheduling cycle hands it to the fleet.

use std::sync::Arc;
use std::time::Instant;

use crate::model::JobSpec;

/// Tasks without capacity.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// The job.
    pub spec: Arc<JobSpec>,
    /// How many of its tasks.
    pub tasks: u32,
    /// When the job was submitted.
    pub submitted: Instant,
    /// When the job should be complete.
    pub complete_by: Instant,
    /// The only zone in which they can go, if other tasks of the job bind them to it.
    pub zone: Option<String>,
}
