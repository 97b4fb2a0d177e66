//! The replica in the form that the actors and request handlers of a process share.

use parking_lot::{Mutex, MutexGuard};
use tokio::sync::{watch, Notify};

use super::replica::Replica;

/// The replica behind a mutex that is only held briefly, with a channel that publishes its revision.
pub struct SharedReplica {
    replica: Mutex<Replica>,
    revision: watch::Sender<u64>,
    read_requested: Notify,
}

impl SharedReplica {
    /// Wraps a replica. The published revision is 0 until the replica is loaded.
    pub fn new(replica: Replica) -> Self {
        Self {
            replica: Mutex::new(replica),
            revision: watch::Sender::new(0),
            read_requested: Notify::new(),
        }
    }

    /// Locks the replica. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock()
    }

    /// Subscribes to the store revision up to which the replica is complete.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    pub(super) fn publish_revision(&self, revision: u64) {
        self.revision.send_replace(revision);
    }

    /// Requests that the watch sends a linearizable read at once if one is needed.
    pub fn request_read(&self) {
        self.read_requested.notify_one();
    }

    /// Waits for a call of [`request_read`](Self::request_read). It returns at once if there was a
    /// call since the last wait ended.
    pub(super) async fn wait_for_read_request(&self) {
        self.read_requested.notified().await;
    }
}
