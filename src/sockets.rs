//! How the sockets of a process are divided among their purposes.
//!
//! With hundreds of machines for every hundred sockets, the kept connections of agents alone would use
//! them all: new machines could not send heartbeats, and leases would expire on healthy machines. So each purpose has its part, all parts together stay below the limit, and
//! connections that are cheap to open again are closed after their answer before their part is
//! used up.

use std::time::Duration;

use crate::config::Settings;
use crate::forwarding::BATCHES_IN_FLIGHT;
use crate::time::secs;

/// Connections to the key-value store at most: transactions in flight, a read, the watch, the lease,
/// with as many again that timed out and are still open.
const TO_STORE: usize = 16;
/// Of these, the election's, which has a client of its own: renewals, and one that ends a lease.
const TO_ELECTION: usize = 4;
/// Connections to the cloud: one request at a time, and former ones that timed out.
const TO_CLOUD: usize = 4;
/// Connections to each other node: a state summary and a query, and former ones.
const TO_EACH_PEER: usize = 3;
/// Connections from each other node: the same, and batches of heartbeats with former ones.
const FROM_EACH_PEER: usize = TO_EACH_PEER + TO_LEADER + ROWS_EACH_PEER;
/// Connections to and from each other node for rows: one, and one that timed out.
const ROWS_EACH_PEER: usize = 2;
/// Connections on which heartbeats are forwarded: batches in flight and former ones.
const TO_LEADER: usize = 2 * BATCHES_IN_FLIGHT;
/// Connections of operators.
const OPERATORS: usize = 8;
/// Part for direct commands to agents, each of which has a connection of its own.
const DIRECT_PART: f64 = 0.05;
/// Part left for connections that are being closed and for those not yet taken up.
const SPARE_PART: f64 = 0.05;
/// Part of the public connections beyond which connections are closed after the response to a
/// heartbeat. An agent opens another for its next heartbeat; kept ones only save that.
const HEARTBEATS_CLOSE_PART: f64 = 0.85;
/// The same for users. They come last, since the load balancer sends new connections to where
/// few are open.
const USERS_CLOSE_PART: f64 = 0.92;
/// Least share of the limit for the public address, whatever the others need.
const PUBLIC_PART_MIN: f64 = 0.5;
/// An idle connection stays open for this many heartbeat intervals: longer than any interval between two,
/// and not so long that what is left of machines that died keeps their places.
const IDLE_HEARTBEATS: f64 = 2.0;
/// Users poll every five seconds or so; a connection kept for less would be of no use.
const IDLE_LEAST: Duration = Duration::from_secs(12);

/// Part of the public connections that may wait to be accepted: the agents of a node that ended
/// reconnect to the next one in a burst.
const BACKLOG_PART: usize = 8;
/// Bounds on it. The system has a bound of its own, usually the higher one.
const BACKLOG_MIN: u32 = 256;
const BACKLOG_MAX: u32 = 4096;

/// The shares of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sockets {
    /// Connections taken on the public address.
    pub public: usize,
    /// Open public ones beyond which connections are closed after the response to a heartbeat.
    pub heartbeats_close: usize,
    /// The same for users.
    pub users_close: usize,
    /// Public connections that may wait to be accepted.
    pub backlog: u32,
    /// Connections taken from the other nodes and from operators.
    pub peers_in: usize,
    /// Connections to the cloud and the other nodes.
    pub own: usize,
    /// Connections to the key-value store, except those of the election.
    pub store: usize,
    /// Connections of the election to the key-value store.
    pub election: usize,
    /// Connections to the leader for forwarded heartbeats.
    pub forwarding: usize,
    /// Connections to the other nodes for rows of the connectivity matrix.
    pub rows: usize,
    /// Direct commands in flight at once.
    pub direct: usize,
    /// How long an idle public connection stays open.
    pub idle: Duration,
}

impl Sockets {
    /// From the settings.
    pub fn of(settings: &Settings) -> Self {
        let all = settings.params.resources.max_sockets;
        let part = |part: f64, of: usize| (of as f64 * part).max(1.0) as usize;
        let peers = settings.known.len();
        let peers_in = OPERATORS + FROM_EACH_PEER * peers;
        let own = TO_CLOUD + TO_EACH_PEER * peers;
        let direct = part(DIRECT_PART, all);
        let rows = (ROWS_EACH_PEER * peers).max(1);
        let others = peers_in + own + rows + TO_LEADER + TO_STORE + direct + part(SPARE_PART, all);
        let public = all.saturating_sub(others).max(part(PUBLIC_PART_MIN, all));
        let heartbeat = secs(settings.params.workers.report_s);
        Self {
            public,
            heartbeats_close: part(HEARTBEATS_CLOSE_PART, public),
            users_close: part(USERS_CLOSE_PART, public),
            backlog: u32::try_from(public / BACKLOG_PART).map_or(BACKLOG_MAX, |backlog| {
                backlog.clamp(BACKLOG_MIN, BACKLOG_MAX)
            }),
            peers_in,
            own,
            store: TO_STORE - TO_ELECTION,
            election: TO_ELECTION,
            forwarding: TO_LEADER,
            rows,
            direct,
            idle: heartbeat.mul_f64(IDLE_HEARTBEATS).max(IDLE_LEAST),
        }
    }
}

#[cfg(test)]
mod tests;
