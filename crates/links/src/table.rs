//! The links of this controller, and the placement gate that depends on them.

mod names;
mod workers;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::gate::{GateDecision, PlacementGate};
use crate::link::{DetectionParams, Link, LinkState, Transition};
use crate::row::{LinkStatus, PeerLinks, Row, RowMessage, ROW_VERSION};
use crate::timing::LinkTiming;
use crate::workers::HeartbeatId;

pub use names::{LinkChange, LinkName, StoreOperation};
use workers::WorkerLinks;

/// The links in both directions between this controller and a peer.
#[derive(Debug)]
struct PeerLinkPair {
    outbound: Link,
    inbound: Link,
}

/// The fields of a row that its sender provides; see [`RowMessage`].
#[derive(Debug, Clone, Copy)]
pub struct RowHeader {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Sequence number of the row within the incarnation.
    pub sequence: u64,
    /// Time of day in milliseconds since 1970; 0 if the row is used only in this process.
    pub sent_at_ms: u64,
    /// The term in which this controller is the leader; `None` if it is not.
    pub leads_term: Option<u64>,
}

/// The links of one controller.
#[derive(Debug)]
pub struct LinkTable {
    member: String,
    params: DetectionParams,
    store_read: Link,
    store_write: Link,
    store_lease: Link,
    peers: BTreeMap<String, PeerLinkPair>,
    workers: WorkerLinks,
    gate: PlacementGate,
}

impl LinkTable {
    /// Creates the links of `member` to the key-value store and to the controllers `others`, without
    /// evidence. Links to agents are added when their heartbeats arrive.
    pub fn new(
        member: &str,
        others: impl Iterator<Item = String>,
        params: DetectionParams,
        timing: LinkTiming,
        now: Instant,
    ) -> Self {
        let new_link = |message_interval| Link::new(params, &timing, message_interval, now);
        let new_pair = |_: &String| PeerLinkPair {
            outbound: new_link(Some(timing.row_interval)),
            inbound: new_link(Some(timing.row_interval)),
        };
        Self {
            member: member.to_owned(),
            params,
            store_read: new_link(None),
            store_write: new_link(None),
            store_lease: new_link(None),
            peers: others
                .map(|other| (other.clone(), new_pair(&other)))
                .collect(),
            workers: WorkerLinks::new(timing.heartbeat_interval),
            gate: PlacementGate::new(now),
        }
    }

    /// Records the outcome of a request to the key-value store that was sent at `sent_at`.
    pub fn record_store_request(
        &mut self,
        operation: StoreOperation,
        sent_at: Instant,
        succeeded: bool,
        now: Instant,
    ) -> Option<LinkChange> {
        let (link, name) = match operation {
            StoreOperation::Read => (&mut self.store_read, LinkName::StoreRead),
            StoreOperation::Write => (&mut self.store_write, LinkName::StoreWrite),
            StoreOperation::Lease => (&mut self.store_lease, LinkName::StoreLease),
        };
        let transition = if succeeded {
            link.record_success(sent_at, now)
        } else {
            link.record_failure(sent_at, now)
        };
        self.gate.evaluate(&self.store_read, &self.store_write, now);
        link_change(name, transition)
    }

    /// Records whether a request that was sent to another controller at `sent_at` received a response.
    /// Requests to unknown controllers are ignored.
    pub fn record_peer_request(
        &mut self,
        member: &str,
        sent_at: Instant,
        answered: bool,
        now: Instant,
    ) -> Option<LinkChange> {
        let link = &mut self.peers.get_mut(member)?.outbound;
        let transition = if answered {
            link.record_success(sent_at, now)
        } else {
            link.record_failure(sent_at, now)
        };
        link_change(LinkName::PeerOutbound(member.to_owned()), transition)
    }

    /// Records the arrival of an accepted row of another controller.
    pub fn record_peer_row(&mut self, member: &str, now: Instant) -> Option<LinkChange> {
        let link = &mut self.peers.get_mut(member)?.inbound;
        let transition = link.record_success(now, now);
        link_change(LinkName::PeerInbound(member.to_owned()), transition)
    }

    /// Records the arrival of an agent's heartbeat. Copies and older heartbeats are ignored.
    pub fn record_worker_heartbeat(&mut self, worker: u32, heartbeat: HeartbeatId, now: Instant) {
        self.workers.record_heartbeat(worker, heartbeat, now);
    }

    /// Records that this controller responded with status 200 to this heartbeat of the agent.
    pub fn record_worker_response(&mut self, worker: u32, heartbeat: HeartbeatId) {
        self.workers.record_response(worker, heartbeat);
    }

    /// Re-evaluates all links and the gate, because their states also change without new evidence. Removes
    /// agents that have sent no heartbeat for a long time.
    pub fn evaluate(&mut self, now: Instant) -> Vec<LinkChange> {
        let mut changes = Vec::new();
        let store = [
            (&mut self.store_read, LinkName::StoreRead),
            (&mut self.store_write, LinkName::StoreWrite),
            (&mut self.store_lease, LinkName::StoreLease),
        ];
        for (link, name) in store {
            changes.extend(link_change(name, link.evaluate(now)));
        }
        for (member, pair) in &mut self.peers {
            let outbound = link_change(
                LinkName::PeerOutbound(member.clone()),
                pair.outbound.evaluate(now),
            );
            let inbound = link_change(
                LinkName::PeerInbound(member.clone()),
                pair.inbound.evaluate(now),
            );
            changes.extend(outbound);
            changes.extend(inbound);
        }
        self.workers.remove_expired(now);
        self.gate.evaluate(&self.store_read, &self.store_write, now);
        changes
    }

    /// Discards the evidence against peers and agents after a pause of this process, during which no message
    /// could be received.
    pub fn resume_after_pause(&mut self, now: Instant) {
        for pair in self.peers.values_mut() {
            pair.outbound.resume_after_pause(now);
            pair.inbound.resume_after_pause(now);
        }
        self.workers.resume_after_pause(now);
    }

    /// The last decision of the placement gate.
    pub fn gate(&self) -> GateDecision {
        self.gate.decision()
    }

    /// Total time for which the gate has refused placements.
    pub fn gate_refused_for(&self, now: Instant) -> Duration {
        self.gate.refused_for(now)
    }

    /// Whether transactions at the key-value store fail, so that a probe is due.
    pub fn store_write_down(&self) -> bool {
        self.store_write.state() == LinkState::Down
    }

    /// Names of the links that were suppressed at their last evaluation.
    pub fn suppressed_links(&self) -> Vec<LinkName> {
        let links = self.named_links();
        let suppressed = links.filter(|(_, link)| link.is_suppressed());
        suppressed.map(|(name, _)| name).collect()
    }

    /// All links with their names, except those of agents.
    pub fn named_links(&self) -> impl Iterator<Item = (LinkName, &Link)> {
        let store = [
            (LinkName::StoreRead, &self.store_read),
            (LinkName::StoreWrite, &self.store_write),
            (LinkName::StoreLease, &self.store_lease),
        ];
        let peers = self.peers.iter().flat_map(|(member, pair)| {
            [
                (LinkName::PeerOutbound(member.clone()), &pair.outbound),
                (LinkName::PeerInbound(member.clone()), &pair.inbound),
            ]
        });
        store.into_iter().chain(peers)
    }

    /// The row of this controller as of `now`.
    pub fn row(&self, header: RowHeader, now: Instant) -> Row {
        let workers = self
            .workers
            .row_workers(self.params.phi_down_threshold, now);
        let peers = self.peers.iter().map(|(member, pair)| PeerLinks {
            member: member.clone(),
            outbound: link_status(&pair.outbound, now),
            inbound: link_status(&pair.inbound, now),
        });
        Row {
            message: RowMessage {
                version: ROW_VERSION,
                member: self.member.clone(),
                incarnation: header.incarnation,
                sequence: header.sequence,
                sent_at_ms: header.sent_at_ms,
                leads_term: header.leads_term,
                store_read: link_status(&self.store_read, now),
                store_write: link_status(&self.store_write, now),
                peers: peers.collect(),
                reporting_workers: Vec::new(),
                reachable_workers: Vec::new(),
            },
            reporting_workers: workers.reporting,
            reachable_workers: workers.reachable,
        }
    }
}

impl Row {
    /// The message for sending, with the encoded sets of agents.
    pub fn to_message(&self) -> RowMessage {
        RowMessage {
            reporting_workers: self.reporting_workers.to_bytes(),
            reachable_workers: self.reachable_workers.to_bytes(),
            ..self.message.clone()
        }
    }
}

fn link_change(link: LinkName, transition: Option<Transition>) -> Option<LinkChange> {
    transition.map(|transition| LinkChange { link, transition })
}

fn link_status(link: &Link, now: Instant) -> LinkStatus {
    let sent_at = link.last_success_sent_at();
    let age_ms = sent_at.map(|at| now.saturating_duration_since(at).as_millis() as u64);
    LinkStatus {
        state: link.state(),
        suppressed: link.is_suppressed(),
        evidence_age_ms: age_ms,
    }
}

#[cfg(test)]
mod tests;
