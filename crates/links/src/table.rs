//! The links of this controller, and the placement gate that depends on them.

mod names;
mod workers;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::gate::{GateDecision, PlacementGate};
use crate::link::{DetectionParams, Link, LinkState, Transition};
use crate::row::{LinkStatus, PeerLinks, Row, RowMessage, ROW_VERSION};
use crate::timing::LinkTiming;

pub use names::{LinkChange, LinkName, StoreOperation};
use workers::WorkerLinks;

/// The links in both directions between this controller and a peer.
#[derive(Debug)]
struct PeerPair {
    outbound: Link,
    inbound: Link,
}

/// Identifies a row: its sender and time.
#[derive(Debug, Clone, Copy)]
pub struct RowHeader {
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Sequence number of the row.
    pub sequence: u64,
    /// Time of day in milliseconds.
    pub sent_at_ms: u64,
    /// The term in which this controller is the leader.
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
    peers: BTreeMap<String, PeerPair>,
    workers: WorkerLinks,
    gate: PlacementGate,
}

impl LinkTable {
    /// The links of `member` to the state service and these other controllers, without evidence.
    pub fn new(
        member: &str,
        others: impl Iterator<Item = String>,
        params: DetectionParams,
        timing: LinkTiming,
        now: Instant,
    ) -> Self {
        let link = |regular| Link::new(params, &timing, regular, now);
        let pair = |_: &String| PeerPair {
            outbound: link(Some(timing.row_interval)),
            inbound: link(Some(timing.row_interval)),
        };
        Self {
            member: member.to_owned(),
            params,
            store_read: link(None),
            store_write: link(None),
            store_lease: link(None),
            peers: others.map(|other| (other.clone(), pair(&other))).collect(),
            workers: WorkerLinks::new(timing.heartbeat_interval),
            gate: PlacementGate::new(now),
        }
    }

    /// Records the outcome of a request to the state service sent at `sent`.
    pub fn record_store_request(
        &mut self,
        operation: StoreOperation,
        sent: Instant,
        succeeded: bool,
        now: Instant,
    ) -> Option<LinkChange> {
        let (link, name) = match operation {
            StoreOperation::Read => (&mut self.store_read, LinkName::StoreRead),
            StoreOperation::Write => (&mut self.store_write, LinkName::StoreWrite),
            StoreOperation::Lease => (&mut self.store_lease, LinkName::StoreLease),
        };
        let transition = if succeeded {
            link.success(sent, now)
        } else {
            link.failure(sent, now)
        };
        self.gate.evaluate(&self.store_read, &self.store_write, now);
        change(name, transition)
    }

    /// Records whether a request to another controller, sent at `sent`, was answered.
    pub fn record_peer_request(
        &mut self,
        member: &str,
        sent: Instant,
        answered: bool,
        now: Instant,
    ) -> Option<LinkChange> {
        let link = &mut self.peers.get_mut(member)?.outbound;
        let transition = if answered {
            link.success(sent, now)
        } else {
            link.failure(sent, now)
        };
        change(LinkName::PeerOutbound(member.to_owned()), transition)
    }

    /// Records the arrival of an accepted row of another controller.
    pub fn record_peer_row(&mut self, member: &str, now: Instant) -> Option<LinkChange> {
        let link = &mut self.peers.get_mut(member)?.inbound;
        let transition = link.success(now, now);
        change(LinkName::PeerInbound(member.to_owned()), transition)
    }

    /// Records the arrival of a worker's heartbeat, with its epoch and sequence number. A copy of an older
    /// one is no evidence.
    pub fn record_worker_heartbeat(&mut self, worker: u32, newest: (u64, u64), now: Instant) {
        self.workers.heartbeat(worker, newest, now);
    }

    /// Records that the worker's newest heartbeat was answered with 200.
    pub fn record_worker_response(&mut self, worker: u32) {
        self.workers.answered(worker);
    }

    /// Re-evaluates everything that changes with time alone.
    pub fn evaluate(&mut self, now: Instant) -> Vec<LinkChange> {
        let mut changes = Vec::new();
        let store = [
            (&mut self.store_read, LinkName::StoreRead),
            (&mut self.store_write, LinkName::StoreWrite),
            (&mut self.store_lease, LinkName::StoreLease),
        ];
        for (link, name) in store {
            changes.extend(change(name, link.evaluate(now)));
        }
        for (member, pair) in &mut self.peers {
            let outbound = change(
                LinkName::PeerOutbound(member.clone()),
                pair.outbound.evaluate(now),
            );
            let inbound = change(
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

    /// This process was paused: silence meanwhile is no evidence against a peer or a worker.
    pub fn resume_after_pause(&mut self, now: Instant) {
        for pair in self.peers.values_mut() {
            pair.outbound.forget(now);
            pair.inbound.forget(now);
        }
        self.workers.resume(now);
    }

    /// The decision of the placement gate.
    pub fn gate(&self) -> GateDecision {
        self.gate.verdict()
    }

    /// Total time for which the gate has refused placements.
    pub fn gate_refused_for(&self, now: Instant) -> Duration {
        self.gate.refused_for(now)
    }

    /// Whether transactions at the state service fail, so that a probe is due.
    pub fn store_write_down(&self) -> bool {
        self.store_write.state() == LinkState::Down
    }

    /// The links that are suppressed at present.
    pub fn suppressed_links(&self) -> Vec<LinkName> {
        let links = self.named_links();
        let suppressed = links.filter(|(_, link)| link.suppressed());
        suppressed.map(|(name, _)| name).collect()
    }

    /// All links with their names, except those of workers.
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

    /// The row that this controller publishes.
    pub fn row(&self, stamp: RowHeader, now: Instant) -> Row {
        let workers = self.workers.sets(self.params.phi_down_threshold, now);
        let peers = self.peers.iter().map(|(member, pair)| PeerLinks {
            member: member.clone(),
            outbound: status(&pair.outbound, now),
            inbound: status(&pair.inbound, now),
        });
        Row {
            message: RowMessage {
                version: ROW_VERSION,
                member: self.member.clone(),
                incarnation: stamp.incarnation,
                sequence: stamp.sequence,
                sent_at_ms: stamp.sent_at_ms,
                leads_term: stamp.leads_term,
                store_read: status(&self.store_read, now),
                store_write: status(&self.store_write, now),
                peers: peers.collect(),
                reporting_workers: Vec::new(),
                reachable_workers: Vec::new(),
            },
            reporting_workers: workers.heard,
            reachable_workers: workers.reached,
        }
    }
}

impl Row {
    /// The message with its sets of workers.
    pub fn to_message(&self) -> RowMessage {
        RowMessage {
            reporting_workers: self.reporting_workers.to_bytes(),
            reachable_workers: self.reachable_workers.to_bytes(),
            ..self.message.clone()
        }
    }
}

fn change(link: LinkName, transition: Option<Transition>) -> Option<LinkChange> {
    transition.map(|transition| LinkChange { link, transition })
}

fn status(link: &Link, now: Instant) -> LinkStatus {
    let age = link.last_success_sent_at();
    let age = age.map(|at| now.saturating_duration_since(at).as_millis() as u64);
    LinkStatus {
        state: link.state(),
        suppressed: link.suppressed(),
        evidence_age_ms: age,
    }
}

#[cfg(test)]
mod tests;
