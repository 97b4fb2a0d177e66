//! Leader election: the role of this process, its lease, and the staleness of its replica.
//!
//! Everything here is pure state. The election actor feeds it the answers of the key-value store,
//! the peers feed it what they know of the leader, and the handlers of requests query
//! [`ElectionState::role`]. The states and their transitions are described in [`role`].

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
