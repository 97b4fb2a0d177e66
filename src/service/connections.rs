//! Counts the connections that are open on the public address.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of connections open on the public address, shared with the server that accepts them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// The current number, which may change before the caller uses it.
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts a connection while it is open, that is until this value is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    count: ConnectionCount,
    has_received_request: AtomicBool,
}

impl OpenConnection {
    /// Counts a connection that was just accepted.
    pub fn new(count: ConnectionCount) -> Self {
        count.0.fetch_add(1, Ordering::Relaxed);
        Self {
            count,
            has_received_request: AtomicBool::new(false),
        }
    }

    /// Returns whether the current request is the first on this connection: true on the first call only.
    pub fn first_request(&self) -> bool {
        !self.has_received_request.swap(true, Ordering::Relaxed)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.0.fetch_sub(1, Ordering::Relaxed);
    }
}
