//! Unmet demand for machines, which a scheduling cycle passes to the fleet.

use std::sync::Arc;
use std::time::Instant;

use crate::model::{JobSpec, Term};

/// The unmet demand of the latest scheduling cycle that could start tasks, with the term of that cycle.
#[derive(Debug, Default)]
pub struct TermDemand {
    term: Term,
    unmet: Vec<UnmetDemand>,
}

impl TermDemand {
    /// The unmet demand of a cycle in this term.
    pub fn new(term: Term, unmet: Vec<UnmetDemand>) -> Self {
        Self { term, unmet }
    }

    /// The unmet demand, if the cycle was in this term. Before the first such cycle there is none: the jobs of
    /// an earlier term may have ended since.
    pub fn in_term(&self, term: Term) -> &[UnmetDemand] {
        if self.term == term {
            &self.unmet
        } else {
            &[]
        }
    }
}

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
