//! Heartbeats on which this controller does not decide: it forwards them to the leader, redirects their
//! agents to the leader, or responds with an error.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use parking_lot::{Mutex, MutexGuard};

use crate::config::Settings;
use crate::forwarding::{ForwardingQueue, QueueLimits};
use crate::rate_limit::TokenBucket;

/// Processor time in seconds that the first heartbeat of an agent costs the leader, connection setup
/// included.
const FIRST_HEARTBEAT_CPU_S: f64 = 0.00015;
/// Fraction of the leader's processor time for first heartbeats on new connections.
const FIRST_HEARTBEATS_CPU_FRACTION: f64 = 0.6;

/// The number of agents per second that this controller redirects to the leader. All controllers
/// together redirect no more than the leader can serve: an agent drops a response after four seconds
/// and retries on a new connection, so that an overloaded leader would keep responding to agents that
/// no longer wait. Agents above the limit try the next controller one second later.
fn redirect_rate(settings: &Settings) -> f64 {
    let followers = settings.params.count.saturating_sub(1).max(1);
    let cores = settings.params.resources.cores;
    cores * FIRST_HEARTBEATS_CPU_FRACTION / FIRST_HEARTBEAT_CPU_S / followers as f64
}

/// The forwarding queue, the rate limit of redirects, and the count of misdirected heartbeats.
#[derive(Debug)]
pub struct HeartbeatForwarding {
    queue: Mutex<ForwardingQueue>,
    redirects: Mutex<TokenBucket>,
    misdirected: AtomicU64,
}

impl HeartbeatForwarding {
    /// An empty queue with these limits, and the rate limit of redirects that follows from the settings.
    pub fn new(settings: &Settings, limits: QueueLimits) -> Self {
        Self {
            queue: Mutex::new(ForwardingQueue::new(limits)),
            redirects: Mutex::new(TokenBucket::new(redirect_rate(settings), Instant::now())),
            misdirected: AtomicU64::default(),
        }
    }

    /// Locks the forwarding queue, which includes the state of the path to the leader.
    pub fn lock(&self) -> MutexGuard<'_, ForwardingQueue> {
        self.queue.lock()
    }

    /// Returns whether an agent may be redirected to the leader now, and counts it against the rate
    /// limit if so.
    pub fn try_redirect(&self, now: Instant) -> bool {
        let mut redirects = self.redirects.lock();
        let allowed = redirects.level(now) >= 1.0;
        if allowed {
            redirects.take(1.0, now);
        }
        allowed
    }

    /// Counts a heartbeat to which this controller responded with a status other than 200.
    pub fn count_misdirected(&self) {
        self.misdirected.fetch_add(1, Ordering::Relaxed);
    }

    /// The number of misdirected heartbeats since the process started.
    pub fn misdirected(&self) -> u64 {
        self.misdirected.load(Ordering::Relaxed)
    }
}
