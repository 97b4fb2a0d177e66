//! The order of a machine's messages.

use std::time::Instant;

use tracing::info;

use crate::cluster::machine::PendingProbe;
use crate::cluster::{Cluster, Machine};
use crate::model::{FencingToken, MachineId};
use crate::wire::Heartbeat;

/// The order of a message among all messages of one incarnation of a machine. Later epochs come
/// after earlier ones, and sequence numbers order the messages of one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct MessageOrder {
    /// The agent's epoch, which begins at 1 and rises when its lease expires.
    pub epoch: u64,
    /// The number of the message in its epoch.
    pub sequence: u64,
}

impl MessageOrder {
    /// The order of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            epoch: heartbeat.epoch,
            sequence: heartbeat.sequence,
        }
    }
}

/// What made an agent send a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// The agent's schedule, or a raised token.
    Worker,
    /// A direct command sent at that time, to which it is the response.
    Command(Instant),
}

/// How a heartbeat compares with all earlier ones of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOrdering {
    /// It is newer than all before, and was applied.
    Newer,
    /// It is outdated or a copy, or its machine is released. Nothing of it was applied.
    Older,
    /// The heartbeat shows a token of a later term than this leader's.
    Deposed,
}

impl Cluster {
    /// Whether a heartbeat is newer than all before. The first one of a new incarnation is newer.
    pub(super) fn is_newer(
        &mut self,
        id: &MachineId,
        heartbeat: &Heartbeat,
        source: HeartbeatSource,
        now: Instant,
    ) -> bool {
        let machine = self
            .machines
            .entry(id.clone())
            .or_insert_with(|| Machine::new(id.clone(), now));
        let order = MessageOrder::of(heartbeat);
        // After a restart, late copies of the former incarnation's messages may have higher
        // numbers.
        let former = source == HeartbeatSource::Worker
            && FencingToken(heartbeat.token) < machine.incarnation_token;
        if machine.last_heartbeat_at.is_none() || !(former || order <= machine.last_message) {
            return true;
        }
        let requested_since = match source {
            HeartbeatSource::Worker => false,
            HeartbeatSource::Command(at) => machine.last_heartbeat_at.is_some_and(|last| at > last),
        };
        if !requested_since || order == machine.last_message {
            // Either a late copy, or a restarted machine that counts from 1 again. A probe shows
            // which.
            if order < machine.last_message && machine.pending_probe.is_none() {
                machine.pending_probe = Some(PendingProbe {
                    epoch: heartbeat.epoch,
                    last_sent_at: None,
                });
            }
            return false;
        }
        // Within one incarnation the order only rises, but this later message has a lower one.
        info!(machine = %id, epoch = order.epoch, "machine restarted");
        self.begin_incarnation(id);
        true
    }
}
