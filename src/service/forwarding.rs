//! Heartbeats that this node does not decide itself: those forwarded to the leader, redirected to it,
//! or answered with an error.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use parking_lot::{Mutex, MutexGuard};

use crate::config::Settings;
use crate::forwarding::{Forwarding, QueueLimits};
use crate::rate_limit::TokenBucket;

/// Processor time that the first heartbeat of an agent costs the leader, with its connection.
const FIRST_HEARTBEAT_CPU_S: f64 = 0.00015;
/// Part of the leader's processor for agents that come to it anew.
const FIRST_HEARTBEATS_PART: f64 = 0.6;

/// How many agents a second this node redirects to the leader. All nodes together redirect no more
/// than it can take: an agent drops a response after four seconds and comes again on a new
/// connection, so that a leader without processor time would keep answering agents that no longer
/// wait. The others try the next node a second later.
fn redirect_rate(settings: &Settings) -> f64 {
    let others = settings.params.count.saturating_sub(1).max(1);
    let cores = settings.params.resources.cores;
    cores * FIRST_HEARTBEATS_PART / FIRST_HEARTBEAT_CPU_S / others as f64
}

/// The forwarding queue, the rate limit of redirects, and the count of misdirected heartbeats.
#[derive(Debug)]
pub struct HeartbeatForwarding {
    queue: Mutex<Forwarding>,
    redirects: Mutex<TokenBucket>,
    misdirected: AtomicU64,
}

impl HeartbeatForwarding {
    /// An empty queue within these limits.
    pub fn new(settings: &Settings, limits: QueueLimits) -> Self {
        Self {
            queue: Mutex::new(Forwarding::new(limits)),
            redirects: Mutex::new(TokenBucket::new(redirect_rate(settings), Instant::now())),
            misdirected: AtomicU64::default(),
        }
    }

    /// The forwarding queue, with what is known of the path to the leader.
    pub fn lock(&self) -> MutexGuard<'_, Forwarding> {
        self.queue.lock()
    }

    /// Whether another agent may be redirected to the leader now; if so, it counts as redirected.
    pub fn try_redirect(&self, now: Instant) -> bool {
        let mut redirects = self.redirects.lock();
        let allowed = redirects.level(now) >= 1.0;
        if allowed {
            redirects.take(1.0, now);
        }
        allowed
    }

    /// Counts a heartbeat that this node neither decided nor forwarded with success.
    pub fn count_misdirected(&self) {
        self.misdirected.fetch_add(1, Ordering::Relaxed);
    }

    /// The misdirected heartbeats since the process started.
    pub fn misdirected(&self) -> u64 {
        self.misdirected.load(Ordering::Relaxed)
    }
}
