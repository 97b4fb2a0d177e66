//! Backoff from machine pools in which the cloud had no capacity.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::MachinePool;

/// How long a pool that had no capacity gets no further rental request.
const NO_CAPACITY_RETRY_DELAY: Duration = Duration::from_secs(15);
/// How long a pool that had no capacity is assumed unable to replace a released machine.
const EXHAUSTION_RELEVANCE: Duration = Duration::from_secs(120);

/// Records when pools had no capacity, and until when they get no further rental request.
#[derive(Debug, Default)]
pub struct CapacityBackoff {
    retry_at: HashMap<MachinePool, Instant>,
    exhausted_at: HashMap<MachinePool, Instant>,
}

impl CapacityBackoff {
    /// Records that the pool had no capacity, or less than requested.
    pub fn record_exhausted(&mut self, pool: &MachinePool, now: Instant) {
        let retry_at = now + NO_CAPACITY_RETRY_DELAY;
        self.retry_at.insert(pool.clone(), retry_at);
        self.exhausted_at.insert(pool.clone(), now);
    }

    /// Whether the pool likely has capacity: no request has failed for [`EXHAUSTION_RELEVANCE`].
    pub(super) fn is_likely_available(&self, pool: &MachinePool, now: Instant) -> bool {
        let at = self.exhausted_at.get(pool);
        at.is_none_or(|at| now.saturating_duration_since(*at) > EXHAUSTION_RELEVANCE)
    }

    /// Whether [`NO_CAPACITY_RETRY_DELAY`] has passed since the pool last had no capacity.
    pub(super) fn may_request(&self, pool: &MachinePool, now: Instant) -> bool {
        self.retry_at.get(pool).is_none_or(|at| now >= *at)
    }
}
