//! The links of this controller, and the placement gate that hangs on them.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::detector::PhiAccrual;
use crate::gate::{GateVerdict, PlacementGate};
use crate::link::{Judgement, Link, LinkState, Transition};
use crate::row::{LinkStatus, PeerLinks, Row, RowMessage, ROW_VERSION};
use crate::timing::LinkTiming;
use crate::workers::WorkerSet;

/// Reports missed, for certain, before a worker is forgotten here: it reports elsewhere.
const WORKER_FORGOTTEN_REPORTS: u32 = 20;

/// What a request to the state service wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreOperation {
    /// A read, a watch or a comparison.
    Read,
    /// A transaction with changes.
    Write,
    /// Granting, renewing or ending a lease.
    Lease,
}

/// Which link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkName {
    /// Reads of the state service.
    StoreRead,
    /// Transactions at the state service.
    StoreWrite,
    /// Leases at the state service.
    StoreLease,
    /// Requests to another controller, answered.
    PeerOutbound(String),
    /// Requests of another controller, arriving.
    PeerInbound(String),
}

impl fmt::Display for LinkName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StoreRead => write!(f, "state service, reads"),
            Self::StoreWrite => write!(f, "state service, writes"),
            Self::StoreLease => write!(f, "state service, leases"),
            Self::PeerOutbound(member) => write!(f, "requests to {member}"),
            Self::PeerInbound(member) => write!(f, "requests from {member}"),
        }
    }
}

/// A link that changed its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkChange {
    /// Which.
    pub link: LinkName,
    /// How.
    pub transition: Transition,
}

#[derive(Debug)]
struct PeerPair {
    outbound: Link,
    inbound: Link,
}

/// What is known here of a worker that reports to this controller.
#[derive(Debug)]
struct WorkerLinks {
    detector: PhiAccrual,
    /// The session and number of its newest report.
    newest: (u64, u64),
    /// That report was answered with 200.
    answered: bool,
    /// It has shown that an answer arrived, and nothing has spoken against it since.
    reached: bool,
}

/// Identifies the sender and the moment of a row.
#[derive(Debug, Clone, Copy)]
pub struct RowStamp {
    /// The life of this process.
    pub incarnation: u64,
    /// Number of the row.
    pub sequence: u64,
    /// Time of day in milliseconds.
    pub wall_ms: u64,
    /// The term that this controller leads.
    pub leads_term: Option<u64>,
}

/// The links of one controller.
#[derive(Debug)]
pub struct LinkTable {
    member: String,
    judgement: Judgement,
    timing: LinkTiming,
    store_read: Link,
    store_write: Link,
    store_lease: Link,
    peers: BTreeMap<String, PeerPair>,
    workers: BTreeMap<u32, WorkerLinks>,
    gate: PlacementGate,
}

impl LinkTable {
    /// The links of `member` to the state service and these other controllers, of which nothing is known.
    pub fn new(
        member: &str,
        others: impl Iterator<Item = String>,
        judgement: Judgement,
        timing: LinkTiming,
        now: Instant,
    ) -> Self {
        let link = |regular| Link::new(judgement, &timing, regular, now);
        let pair = |_: &String| PeerPair {
            outbound: link(Some(timing.row_interval)),
            inbound: link(Some(timing.row_interval)),
        };
        Self {
            member: member.to_owned(),
            judgement,
            timing,
            store_read: link(None),
            store_write: link(None),
            store_lease: link(None),
            peers: others.map(|other| (other.clone(), pair(&other))).collect(),
            workers: BTreeMap::new(),
            gate: PlacementGate::new(now),
        }
    }

    /// A request to the state service, sent at `sent`, succeeded or failed.
    pub fn store(
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

    /// A request to another controller, sent at `sent`, was answered or not.
    pub fn peer_asked(
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

    /// A row of another controller came that is as fresh as its number says.
    pub fn peer_heard(&mut self, member: &str, now: Instant) -> Option<LinkChange> {
        let link = &mut self.peers.get_mut(member)?.inbound;
        let transition = link.success(now, now);
        change(LinkName::PeerInbound(member.to_owned()), transition)
    }

    /// A report of a worker came to this controller, with its session and number. A copy of an older one
    /// is no evidence.
    pub fn worker_reported(&mut self, worker: u32, newest: (u64, u64), now: Instant) {
        let expected = self.timing.report_interval;
        let links = self.workers.entry(worker).or_insert_with(|| WorkerLinks {
            detector: PhiAccrual::new(expected),
            newest: (0, 0),
            answered: false,
            reached: false,
        });
        if newest <= links.newest {
            return;
        }
        // Without our answer the worker would have gone to another controller. If it has only this one,
        // only an answered report shows that it stayed for the answer's sake.
        let next = newest.0 == links.newest.0 && newest.1 == links.newest.1 + 1;
        links.reached = next && links.answered;
        links.newest = newest;
        links.answered = false;
        links.detector.heartbeat(now);
    }

    /// The worker's newest report was answered with 200.
    pub fn worker_answered(&mut self, worker: u32) {
        if let Some(links) = self.workers.get_mut(&worker) {
            links.answered = true;
        }
    }

    /// Looks at everything that time alone changes.
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
        let forgotten = self.timing.report_interval * WORKER_FORGOTTEN_REPORTS;
        self.workers.retain(|_, links| {
            let last = links.detector.last();
            last.is_some_and(|at| now.saturating_duration_since(at) < forgotten)
        });
        self.gate.evaluate(&self.store_read, &self.store_write, now);
        changes
    }

    /// This process stood still: what it did not hear meanwhile is no evidence against anybody.
    pub fn stood_still(&mut self, now: Instant) {
        for pair in self.peers.values_mut() {
            pair.outbound.forget(now);
            pair.inbound.forget(now);
        }
        for links in self.workers.values_mut() {
            links.detector.heartbeat(now);
        }
    }

    /// What the gate says.
    pub fn gate(&self) -> GateVerdict {
        self.gate.verdict()
    }

    /// How long the gate has refused placements in all.
    pub fn gate_refused_for(&self, now: Instant) -> Duration {
        self.gate.refused_for(now)
    }

    /// Whether transactions at the state service fail, so that a probe is wanted.
    pub fn writes_fail(&self) -> bool {
        self.store_write.state() == LinkState::Down
    }

    /// Links that are suppressed now.
    pub fn suppressed(&self) -> Vec<LinkName> {
        let links = self.named_links();
        let suppressed = links.filter(|(_, link)| link.suppressed());
        suppressed.map(|(name, _)| name).collect()
    }

    /// All links with their names, workers' excepted.
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

    /// What this controller tells the others.
    pub fn row(&self, stamp: RowStamp, now: Instant) -> Row {
        let mut heard = WorkerSet::default();
        let mut reached = WorkerSet::default();
        for (number, links) in &self.workers {
            if links.detector.phi(now) < self.judgement.phi_down {
                heard.insert(*number);
                if links.reached {
                    reached.insert(*number);
                }
            }
        }
        let peers = self.peers.iter().map(|(member, pair)| PeerLinks {
            member: member.clone(),
            outbound: heartbeat(&pair.outbound, now),
            inbound: heartbeat(&pair.inbound, now),
        });
        Row {
            message: RowMessage {
                version: ROW_VERSION,
                member: self.member.clone(),
                incarnation: stamp.incarnation,
                sequence: stamp.sequence,
                sent_at_ms: stamp.wall_ms,
                leads_term: stamp.leads_term,
                store_read: heartbeat(&self.store_read, now),
                store_write: heartbeat(&self.store_write, now),
                peers: peers.collect(),
                workers_heard: Vec::new(),
                workers_reached: Vec::new(),
            },
            heard,
            reached,
        }
    }
}

impl Row {
    /// The message with its sets of workers.
    pub fn to_message(&self) -> RowMessage {
        RowMessage {
            workers_heard: self.heard.to_bytes(),
            workers_reached: self.reached.to_bytes(),
            ..self.message.clone()
        }
    }
}

fn change(link: LinkName, transition: Option<Transition>) -> Option<LinkChange> {
    transition.map(|transition| LinkChange { link, transition })
}

fn heartbeat(link: &Link, now: Instant) -> LinkStatus {
    let age = link.evidence_at();
    let age = age.map(|at| now.saturating_duration_since(at).as_millis() as u64);
    LinkStatus {
        state: link.state(),
        suppressed: link.suppressed(),
        evidence_age_ms: age,
    }
}

#[cfg(test)]
mod tests;
