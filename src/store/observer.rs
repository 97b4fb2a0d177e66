//! The interface between the store's actor and the rest of the process: notifications of what the
//! requests showed, and queries that decide how the actor reads and writes.

use std::time::Instant;

use knotlanding_links::table::StoreOperation;

use super::replica::ReplicaChange;

/// Implemented by whoever acts on the responses of the store. Calls come from the thread of the store's actor
/// and must not block.
pub trait StoreObserver: Send + Sync {
    /// A request sent at `sent` was answered.
    fn request_answered(&self, operation: StoreOperation, sent: Instant);

    /// A request sent at `sent` failed in a way that shows contact to be lost.
    fn request_failed(&self, operation: StoreOperation, sent: Instant);

    /// A watch or a read delivered this many events.
    fn events_received(&self, count: usize);

    /// These records changed in the replica.
    fn replica_changed(&self, changes: &[ReplicaChange]);

    /// The replica contains everything that was confirmed to anybody before `sent`.
    fn replica_confirmed(&self, sent: Instant);

    /// Whether a read is needed now to confirm the replica, even if no read is pending.
    fn needs_confirming_read(&self, now: Instant) -> bool;

    /// Whether this process has a term of its own: its watches have a short timeout then, and its writes
    /// may stay in the queue without a bound on their time.
    fn leads(&self) -> bool;
}
