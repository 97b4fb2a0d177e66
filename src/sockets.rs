//! Divides the sockets of a process among their purposes.
//!
//! With several machines per socket, the kept-alive connections of agents alone would use all sockets: new
//! machines could not send heartbeats, and leases would expire on healthy machines. Each purpose therefore
//! has a share, all shares together stay below the limit, and connections that are cheap to reopen are
//! closed after the response before their share is used up.

use std::time::Duration;

use crate::config::Settings;
use crate::forwarding::BATCHES_IN_FLIGHT;
use crate::time::secs;

/// Maximum connections to the key-value store: for transactions in flight, a read, the watch and the lease,
/// and as many again that timed out and are still open.
const STORE_CONNECTIONS: usize = 16;
/// Of these, the connections of the election, which has a separate client: for granting, renewing and
/// revoking the lease.
const ELECTION_CONNECTIONS: usize = 4;
/// Connections to the cloud: one request at a time, and earlier ones that timed out.
const CLOUD_CONNECTIONS: usize = 4;
/// Connections to each peer: for a state summary, a query, and an earlier one that timed out.
const CONNECTIONS_TO_EACH_PEER: usize = 3;
/// Connections from each peer: the same, and those for heartbeat batches and rows.
const CONNECTIONS_FROM_EACH_PEER: usize =
    CONNECTIONS_TO_EACH_PEER + FORWARDING_CONNECTIONS + ROW_CONNECTIONS_PER_PEER;
/// Connections to and from each peer for rows of the connectivity matrix: one in use, and one that timed out.
const ROW_CONNECTIONS_PER_PEER: usize = 2;
/// Connections to the leader for forwarded heartbeats: batches in flight, and as many that timed out.
const FORWARDING_CONNECTIONS: usize = 2 * BATCHES_IN_FLIGHT;
/// Connections from operators to the peer address.
const OPERATOR_CONNECTIONS: usize = 8;
/// Share of the sockets for direct commands to agents, each of which opens a separate connection.
const DIRECT_COMMANDS_SHARE: f64 = 0.05;
/// Share of the sockets left for connections that are closing or not yet accepted.
const SPARE_SHARE: f64 = 0.05;
/// Share of the public connections above which a connection is closed after the response to a heartbeat. The
/// agent opens another one for the next heartbeat; keeping the connection alive only saves this.
const HEARTBEAT_CLOSE_SHARE: f64 = 0.85;
/// The same share for the responses to users. It is higher than that for heartbeats, because the load
/// balancer sends new connections to the controllers with few open ones.
const USER_CLOSE_SHARE: f64 = 0.92;
/// Minimum share of the sockets for the public address, whatever the other purposes need.
const PUBLIC_SHARE_MIN: f64 = 0.5;
/// Heartbeat intervals for which an idle connection stays open: longer than the time between any two
/// heartbeats, but short enough that connections of terminated machines do not occupy sockets for long.
const IDLE_TIMEOUT_HEARTBEATS: f64 = 2.0;
/// Minimum idle timeout: users poll about every five seconds, so a connection kept for less time would not
/// be reused.
const IDLE_TIMEOUT_MIN: Duration = Duration::from_secs(12);

/// The listen backlog is the number of public connections divided by this: the agents of a controller that
/// terminated reconnect to the next one in a burst.
const BACKLOG_DIVISOR: usize = 8;
/// Bounds on the backlog. The operating system also limits it, usually to a higher value.
const BACKLOG_MIN: u32 = 256;
const BACKLOG_MAX: u32 = 4096;

/// The connection limits of one process by purpose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SocketLimits {
    /// Maximum connections accepted on the public address.
    pub public: usize,
    /// Open public connections above which a connection is closed after the response to a heartbeat.
    pub heartbeat_close_threshold: usize,
    /// Open public connections above which a connection is closed after the response to a user.
    pub user_close_threshold: usize,
    /// Public connections that may wait to be accepted, not counted in `public`.
    pub backlog: u32,
    /// Maximum connections accepted from the peers and from operators.
    pub peers_inbound: usize,
    /// Connections to the cloud and, for state summaries and queries, to the peers.
    pub cloud_and_peers: usize,
    /// Connections to the key-value store, except those of the election.
    pub store: usize,
    /// Connections of the election to the key-value store.
    pub election: usize,
    /// Connections to the leader for forwarded heartbeats.
    pub forwarding: usize,
    /// Connections to the peers for rows of the connectivity matrix.
    pub rows: usize,
    /// Maximum direct commands in flight at once.
    pub direct_commands: usize,
    /// Time after which an idle public connection is closed.
    pub idle_timeout: Duration,
}

impl SocketLimits {
    /// Divides `params.resources.max_sockets` among the purposes.
    pub fn from_settings(settings: &Settings) -> Self {
        let max_sockets = settings.params.resources.max_sockets;
        let share_of = |share: f64, total: usize| (total as f64 * share).max(1.0) as usize;
        let peer_count = settings.peers.len();
        let peers_inbound = OPERATOR_CONNECTIONS + CONNECTIONS_FROM_EACH_PEER * peer_count;
        let cloud_and_peers = CLOUD_CONNECTIONS + CONNECTIONS_TO_EACH_PEER * peer_count;
        let direct_commands = share_of(DIRECT_COMMANDS_SHARE, max_sockets);
        let rows = (ROW_CONNECTIONS_PER_PEER * peer_count).max(1);
        let other_purposes = peers_inbound
            + cloud_and_peers
            + rows
            + FORWARDING_CONNECTIONS
            + STORE_CONNECTIONS
            + direct_commands
            + share_of(SPARE_SHARE, max_sockets);
        let public = max_sockets
            .saturating_sub(other_purposes)
            .max(share_of(PUBLIC_SHARE_MIN, max_sockets));
        let heartbeat_interval = secs(settings.params.workers.report_s);
        Self {
            public,
            heartbeat_close_threshold: share_of(HEARTBEAT_CLOSE_SHARE, public),
            user_close_threshold: share_of(USER_CLOSE_SHARE, public),
            backlog: u32::try_from(public / BACKLOG_DIVISOR).map_or(BACKLOG_MAX, |backlog| {
                backlog.clamp(BACKLOG_MIN, BACKLOG_MAX)
            }),
            peers_inbound,
            cloud_and_peers,
            store: STORE_CONNECTIONS - ELECTION_CONNECTIONS,
            election: ELECTION_CONNECTIONS,
            forwarding: FORWARDING_CONNECTIONS,
            rows,
            direct_commands,
            idle_timeout: heartbeat_interval
                .mul_f64(IDLE_TIMEOUT_HEARTBEATS)
                .max(IDLE_TIMEOUT_MIN),
        }
    }
}

#[cfg(test)]
mod tests;
