//! The decisions that follow from the states of the links, for readers that take no lock.

use std::collections::VecDeque;
use std::time::Instant;

use arc_swap::ArcSwap;
use knotlanding_links::gate::GateDecision;
use knotlanding_links::handover::HandoverDecision;
use std::sync::Arc;

/// Handover decisions that are kept for operators to read.
const DECISIONS_KEPT: usize = 16;

/// A handover decision with its time.
#[derive(Debug, Clone)]
pub struct DecisionEntry {
    /// When the decision was made.
    pub at: Instant,
    /// The decision, with the candidate if there is one.
    pub decision: HandoverDecision,
}

/// The decisions at one point in time.
#[derive(Debug, Clone)]
pub struct LinkSnapshot {
    /// Whether the placement gate admits new placements.
    pub gate: GateDecision,
    /// The latest handover decisions that differ in kind from the one before, oldest first.
    pub decisions: VecDeque<DecisionEntry>,
}

/// The published snapshot, which is replaced as a whole.
#[derive(Debug)]
pub(super) struct PublishedSnapshot(ArcSwap<LinkSnapshot>);

impl PublishedSnapshot {
    pub(super) fn new(gate: GateDecision) -> Self {
        Self(ArcSwap::from_pointee(LinkSnapshot {
            gate,
            decisions: VecDeque::new(),
        }))
    }

    pub(super) fn load_full(&self) -> Arc<LinkSnapshot> {
        self.0.load_full()
    }

    pub(super) fn gate(&self) -> GateDecision {
        self.0.load().gate
    }

    /// Replaces the decision of the placement gate by a later one. Returns whether it was replaced: threads that
    /// evaluate the gate one after the other may publish in another order.
    pub(super) fn set_gate(&self, gate: GateDecision) -> bool {
        if self.gate().number >= gate.number {
            return false;
        }
        let mut is_replaced = false;
        self.0.rcu(|before| {
            is_replaced = before.gate.number < gate.number;
            let mut after = LinkSnapshot::clone(before);
            if is_replaced {
                after.gate = gate;
            }
            after
        });
        is_replaced
    }

    /// Adds a decision if it is of another kind than the latest one. Returns whether it was added.
    pub(super) fn add_decision(&self, decision: &HandoverDecision, now: Instant) -> bool {
        let kind = std::mem::discriminant(decision);
        let latest = self.0.load().decisions.back().cloned();
        if latest.is_some_and(|latest| std::mem::discriminant(&latest.decision) == kind) {
            return false;
        }
        self.0.rcu(|before| {
            let mut after = LinkSnapshot::clone(before);
            after.decisions.push_back(DecisionEntry {
                at: now,
                decision: decision.clone(),
            });
            if after.decisions.len() > DECISIONS_KEPT {
                after.decisions.pop_front();
            }
            after
        });
        true
    }
}

#[cfg(test)]
mod tests;
