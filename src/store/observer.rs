//! What the rest of the process learns from the traffic with the key-value store, and what the store's
//! actor asks it.

use std::time::Instant;

use knotlanding_links::table::StoreOperation;

use super::replica::ReplicaChange;

/// Implemented by whoever acts on the store's answers. Calls come from the thread of the store's actor
/// and must not block.
pub trait StoreObserver: Send + Sync {
    /// A request sent at `sent` was answered.
    fn request_answered(&self, operation: StoreOperation, sent: Instant);

    /// A request sent at `sent` failed in a way that shows contact to be lost.
    fn request_failed(&self, operation: StoreOperation, sent: Instant);

    /// A watch or a read brought this many events.
    fn events_received(&self, count: usize);

    /// These records changed in the replica.
    fn replica_changed(&self, changes: &[ReplicaChange]);

    /// The replica has all that was confirmed to anybody before `sent`.
    fn replica_confirmed(&self, sent: Instant);

    /// Whether a read is required now, without anybody having asked for a record.
    fn requires_read(&self, now: Instant) -> bool;

    /// Whether this process holds a term: its watch is kept short then, and its writes have no bound on
    /// their time in the queue.
    fn leads(&self) -> bool;
}
