//! Counts the connections that are open on the public address.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;

/// The number of connections open on the public address, shared with the server that accepts them.
#[derive(Debug, Clone, Default)]
pub struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// How many are open.
    pub fn open(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// Counts a connection for as long as it is open.
#[derive(Debug)]
pub struct OpenConnection {
    count: ConnectionCount,
    used: AtomicBool,
}

impl OpenConnection {
    /// Counts a connection that was just accepted.
    pub fn new(count: ConnectionCount) -> Self {
        count.0.fetch_add(1, Ordering::Relaxed);
        Self {
            count,
            used: AtomicBool::new(false),
        }
    }

    /// Whether this is the connection's first request.
    pub fn first_request(&self) -> bool {
        !self.used.swap(true, Ordering::Relaxed)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.0.fetch_sub(1, Ordering::Relaxed);
    }
}
