//! The interface between the store's actor and the rest of the process: notifications about requests and
//! changes of the replica, and queries that decide how the actor reads and writes.

use std::time::Instant;

use knotlanding_links::table::StoreOperation;

use super::replica::ReplicaChange;

/// Receives the notifications of the store's actor. The methods are called on the actor's thread and must
/// not block.
pub trait StoreObserver: Send + Sync {
    /// Called when a request sent at `sent_at` showed that the store is available, even if it failed.
    fn request_answered(&self, operation: StoreOperation, sent_at: Instant);

    /// Called when a request sent at `sent_at` failed with an error that shows that the store may be
    /// unavailable, see [`StoreError::shows_outage`](super::StoreError::shows_outage).
    fn request_failed(&self, operation: StoreOperation, sent_at: Instant);

    /// Called when a watch or a read has delivered `count` events, which may be none.
    fn events_received(&self, count: usize);

    /// Called after `changes` were applied to the replica.
    fn replica_changed(&self, changes: &[ReplicaChange]);

    /// Called after the replica has been brought up to date by a read or watch sent at `sent_at`: it
    /// contains everything that any controller confirmed to a client before that time.
    fn replica_confirmed(&self, sent_at: Instant);

    /// Whether a read is needed now to confirm the replica, even if no read is pending.
    fn needs_confirming_read(&self, now: Instant) -> bool;

    /// Whether this process was elected in a term and has not stepped down. A leader's watches have a short
    /// timeout, and its writes may stay in the queue for any time.
    fn leads(&self) -> bool;
}
