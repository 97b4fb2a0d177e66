//! Tasks that wait for machines, as a scheduling cycle hands them to the fleet.

use std::sync::Arc;
use std::time::Instant;

use crate::model::JobSpec;

/// Tasks for which there is no room.
#[derive(Debug, Clone)]
pub struct UnmetDemand {
    /// The job.
    pub spec: Arc<JobSpec>,
    /// How many of its tasks.
    pub tasks: u32,
    /// When the job was taken.
    pub submitted: Instant,
    /// When the job should be over.
    pub target: Instant,
    /// The only zone in which they can go now, if that is settled.
    pub zone: Option<String>,
}
