//! What this process knows of its links: to the key-value store, to the other controllers and to the
//! agents that send heartbeats here.
//!
//! Contact with the key-value store and misdirected heartbeats are always judged, see `evidence`.
//! Detection, damping, the connectivity matrix and what depends on them exist only if the features
//! file turns them on, see `active`. Their decisions are read without a lock, see `snapshot`.

mod active;
mod evidence;
mod snapshot;

use std::time::{Duration, Instant};

use knotlanding_links::contact::{Contact, PeerContactAnswer, PeerContacts};
use knotlanding_links::gate::GateRefusal;
use knotlanding_links::table::StoreOperation;
use knotlanding_links::timing::LinkTiming;
use knotlanding_links::workers::worker_number;
use parking_lot::Mutex;

pub use self::active::ActiveLinks;
use self::evidence::Evidence;
pub use self::snapshot::{DecisionEntry, LinkSnapshot};
use crate::config::Settings;
use crate::features::LinkFeatures;
use crate::time::secs;
use crate::timing::leader_lease;
use crate::wire::Heartbeat;

/// Time between two rows.
pub const ROW_INTERVAL: Duration = Duration::from_secs(1);
/// The one owner of the state of this process's links.
pub struct LinkMonitor {
    evidence: Mutex<Evidence>,
    active: Option<ActiveLinks>,
}

/// The times by which links are judged.
pub fn link_timing(settings: &Settings) -> LinkTiming {
    let leader_lease = leader_lease(settings);
    let clock_ms = settings.params.clock_off_ms.max(0.0) * 2.0;
    LinkTiming {
        row_interval: ROW_INTERVAL,
        leader_lease,
        heartbeat_interval: secs(settings.params.workers.report_s),
        clock_skew_max: Duration::from_millis(clock_ms as u64),
    }
}

impl LinkMonitor {
    /// A monitor without any evidence.
    pub fn new(settings: &Settings, features: Option<LinkFeatures>) -> Self {
        let now = Instant::now();
        Self {
            evidence: Mutex::default(),
            active: features.map(|features| ActiveLinks::new(settings, features, now)),
        }
    }

    /// Detection, damping and the matrix, if the features file turns them on.
    pub fn active(&self) -> Option<&ActiveLinks> {
        self.active.as_ref()
    }

    /// A request to the key-value store, sent at `sent`, was answered.
    pub fn store_answered(&self, operation: StoreOperation, sent: Instant, now: Instant) {
        self.evidence.lock().store_answered(sent);
        if let Some(active) = &self.active {
            active.store(operation, sent, true, now);
        }
    }

    /// A request to the key-value store, sent at `sent`, failed.
    pub fn store_failed(&self, operation: StoreOperation, sent: Instant, now: Instant) {
        let contact = &mut self.evidence.lock().contact;
        contact.failing_since.get_or_insert(now);
        if let Some(active) = &self.active {
            active.store(operation, sent, false, now);
        }
    }

    /// Contact with the key-value store.
    pub fn contact(&self) -> Contact {
        self.evidence.lock().contact
    }

    /// The peers are asked whether they reach the key-value store, while this process does not.
    pub fn peers_asked(&self, now: Instant) {
        self.evidence.lock().peer_contacts.probed(now);
    }

    /// A peer answered.
    pub fn peer_contact_answered(&self, answer: PeerContactAnswer, now: Instant) {
        self.evidence.lock().peer_contacts.record(answer, now);
    }

    /// Discards the peers' answers.
    pub fn forget_peer_contacts(&self) {
        self.evidence.lock().peer_contacts = PeerContacts::default();
    }

    /// A state summary of a leader arrived.
    pub fn record_summary(&self, now: Instant) {
        self.evidence.lock().last_summary = Some(now);
    }

    /// When a state summary of a leader last arrived.
    pub fn last_summary(&self) -> Option<Instant> {
        self.evidence.lock().last_summary
    }

    /// A node counted so many misdirected heartbeats since it started.
    pub fn misdirected_counted(&self, member: &str, count: u64, now: Instant) {
        self.evidence
            .lock()
            .misdirected
            .record_count(member, count, now);
    }

    /// Whether many heartbeats were misdirected lately.
    pub fn misdirected_lately(&self, now: Instant) -> bool {
        self.evidence.lock().misdirected.many_recently(now)
    }

    /// Whether this node can take requests, judged by its links; `has_peers` if it is not the only one.
    /// In an outage that all nodes share, no node is better than another, and all go on.
    pub fn can_serve_requests(&self, loaded: bool, has_peers: bool, now: Instant) -> bool {
        let evidence = self.evidence.lock();
        evidence.fit_for_requests(loaded, has_peers, now)
    }

    /// Why nothing new may be placed, if the links are the reason. Read without a lock.
    pub fn placement_refusal(&self) -> Option<GateRefusal> {
        self.active.as_ref()?.placement_refusal()
    }

    /// A heartbeat arrived at this node, whichever node decides it.
    pub fn record_worker_heartbeat(&self, heartbeat: &Heartbeat, now: Instant) {
        if let Some(active) = &self.active {
            let number = worker_number(&heartbeat.machine);
            let newest = (heartbeat.epoch, heartbeat.sequence);
            active.table.lock().worker_heartbeat(number, newest, now);
        }
    }

    /// An agent's newest heartbeat was answered with 200 by this node.
    pub fn record_worker_response(&self, machine: &str) {
        if let Some(active) = &self.active {
            active.table.lock().worker_answered(worker_number(machine));
        }
    }
}
