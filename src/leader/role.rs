//! The roles of this process in the election, and the transitions between them.
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
//! [`Role`] has no variant for a candidate: a candidate is a follower that holds a lease and has no
//! leadership yet. Only [`ElectionState`](super::ElectionState) makes transitions:
//!
//! | transition | cause |
//! | --- | --- |
//! | follower to candidate | `hold_lease` |
//! | candidate to leader | `become_leader` |
//! | leader to keep-alive leader | time passes without a renewal |
//! | keep-alive leader to leader | `lease_renewed` |
//! | any to follower | `step_down`, `observe_leader_record`, `observe_leader`, time passes |
//!
//! [`ElectionState::role`](super::ElectionState::role) derives every change that comes with time alone
//! from the clock on each call, so that no timer has to fire for a role to end.

use crate::model::Term;

/// The role of this process, which determines the actions that it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// It may make all decisions and send all messages. Starts also need a fresh replica.
    Leader(Leadership),
    /// It may extend worker leases and terminate tasks, but start none. The lease of this process has expired
    /// by its own clock. A newer leader waits for longer than this role lasts before it treats inherited
    /// worker leases as expired.
    KeepAlive(Term),
    /// It makes no scheduling decisions. It redirects or forwards heartbeats to that leader; `None` if no
    /// leader is known.
    Follower(Option<LeaderHint>),
}

/// The controller that leads, if it is not this one, by the newest information that this process has.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaderHint {
    /// The term in which it leads. Hints are ordered by the term first.
    pub term: Term,
    /// The controller's name, as in the settings.
    pub member: String,
}

/// A term in which this process leads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// The term that this process recorded in the store when it was elected.
    pub term: Term,
    /// Version of the leader's key. Every write of the leader is conditional on it, so that no write of
    /// an earlier leader succeeds after a failover.
    pub version: u64,
}
