//! Leader election: the role of this process, its lease, and the staleness of its replica.
//!
//! This module holds state and performs no I/O. The election actor applies the key-value store's
//! responses to it, the peer handlers apply leader announcements, and request handlers query
//! [`ElectionState::role`]. [`role`] describes the states and their transitions.

pub mod election_state;
pub mod freshness;
pub mod lease;
pub mod role;

pub use election_state::ElectionState;
pub use freshness::ReplicaFreshness;
pub use lease::HeldLease;
pub use role::{LeaderHint, Leadership, Role};

#[cfg(test)]
mod tests;
