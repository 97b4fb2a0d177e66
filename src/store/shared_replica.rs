//! The replica as the actors and handlers of a process share it.

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{watch, Notify};

use super::replica::Replica;

/// The replica behind a lock held for short times, with its revision for those who wait for one.
pub struct SharedReplica {
    replica: Mutex<Replica>,
    revision: watch::Sender<u64>,
    read_requested: Notify,
}

impl SharedReplica {
    /// Shares a new replica.
    pub fn new(replica: Replica) -> Self {
        Self {
            replica: Mutex::new(replica),
            revision: watch::Sender::new(0),
            read_requested: Notify::new(),
        }
    }

    /// Locks the replica. The lock must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock()
    }

    /// Subscribes to the revision up to which the replica is complete.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    pub(super) fn publish_revision(&self, revision: u64) {
        self.revision.send_replace(revision);
    }

    /// Requests a linearizable read at once.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Resolves when a read was requested.
    pub(super) async fn read_requested(&self) {
        self.read_requested.notified().await;
    }
}
