//! What this process may do, and how that changes.
//!
//! ```text
//!                no leader on record,           leader record committed,
//!                no election backoff            cluster state recovered
//!   +----------+ ------------------> +-----------+ ------------------> +--------+
//!   | follower |                     | candidate |                     | leader | <-+
//!   +----------+ <------------------ +-----------+                     +--------+   |
//!     ^      ^    conflict or failure                                   |    |      |
//!     |      |                                                          |    |      |
//!     |      +--- steps down, newer term observed, replica too stale ---+    |      | lease
//!     |                                                        lease expired |      | renewed
//!     |                                                                      v      |
//!     |                                                        +-------------------+|
//!     +--- steps down, newer term observed, replica too -------| keep-alive leader |+
//!          stale, keep-alive limit reached                     +-------------------+
//! ```
//!
//! A candidate is a follower that holds a lease and has no leadership yet, so that [`Role`] has no
//! variant for it. Only [`ElectionState`](super::ElectionState) makes transitions:
//!
//! | transition | cause |
//! | --- | --- |
//! | follower to candidate | `hold_lease` |
//! | candidate to leader | `become_leader` |
//! | leader to keep-alive leader | time passes without a renewal |
//! | keep-alive leader to leader | `lease_renewed` |
//! | any to follower | `step_down`, `observe_leader_record`, `observe_leader`, time passes |
//!
//! What changes with time alone is derived from the clock on every call of
//! [`ElectionState::role`](super::ElectionState::role): no timer has to fire for a role to end.

use crate::model::Term;

/// What this process may do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// It may decide and send everything.
    Leader(Leadership),
    /// It may only extend the workers' leases and stop tasks, but start none. Its lease has expired
    /// by its own clock, and a newer leader waits for longer than this role lasts.
    KeepAlive(Term),
    /// It may do nothing but redirect to that leader, if one is known.
    Follower(Option<LeaderHint>),
}

/// Another controller that leads, as far as this one knows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaderHint {
    /// Its term.
    pub term: Term,
    /// Its name.
    pub member: String,
}

/// A term in which this process leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: Term,
    /// Version of the leader's key. Every write of the leader is conditional on it, so that no
    /// write of an earlier leader succeeds after a failover.
    pub version: u64,
}
