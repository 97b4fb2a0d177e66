//! The state of this process's links: to the key-value store, to the other controllers, and to the
//! agents that send heartbeats to this controller.
//!
//! Contact with the key-value store and misdirected heartbeats are always evaluated, see `evidence`.
//! Failure detection, damping, the connectivity matrix and what depends on them exist only if the
//! features file enables them, see `active`. Their decisions are read without a lock, see `snapshot`.

mod active;
mod evidence;
mod snapshot;

use std::time::{Duration, Instant};

use knotlanding_links::contact::{PeerContactResult, PeerContacts, StoreContact};
use knotlanding_links::gate::GateRefusal;
use knotlanding_links::misdirected::CountSource;
use knotlanding_links::table::StoreOperation;
use knotlanding_links::timing::LinkTiming;
use knotlanding_links::workers::{worker_number, HeartbeatId};
use parking_lot::Mutex;

pub use self::active::ActiveLinks;
use self::evidence::Evidence;
pub use self::snapshot::{DecisionEntry, LinkSnapshot};
use crate::config::Settings;
use crate::features::LinkFeatures;
use crate::time::secs;
use crate::timing::leader_lease;
use crate::wire::Heartbeat;

/// Time between two rows that a controller sends to a peer.
pub const ROW_INTERVAL: Duration = Duration::from_secs(1);

/// The only owner of the state of this process's links.
pub struct LinkMonitor {
    evidence: Mutex<Evidence>,
    active: Option<ActiveLinks>,
}

/// The durations by which links are evaluated, derived from the settings.
pub fn link_timing(settings: &Settings) -> LinkTiming {
    let leader_lease = leader_lease(settings);
    let clock_skew_ms = settings.params.clock_off_ms.max(0.0) * 2.0;
    LinkTiming {
        row_interval: ROW_INTERVAL,
        leader_lease,
        heartbeat_interval: secs(settings.params.workers.report_s),
        clock_skew_max: Duration::from_millis(clock_skew_ms as u64),
    }
}

impl LinkMonitor {
    /// A monitor without evidence; `features` is `None` where the features file does not enable links.
    pub fn new(settings: &Settings, features: Option<LinkFeatures>) -> Self {
        let now = Instant::now();
        Self {
            evidence: Mutex::default(),
            active: features.map(|features| ActiveLinks::new(settings, features, now)),
        }
    }

    /// Failure detection, damping and the matrix, if the features file enables them.
    pub fn active(&self) -> Option<&ActiveLinks> {
        self.active.as_ref()
    }

    /// Records that the key-value store responded to a request sent at `sent_at`.
    pub fn store_answered(&self, operation: StoreOperation, sent_at: Instant, now: Instant) {
        self.evidence.lock().store_answered(sent_at);
        if let Some(active) = &self.active {
            active.record_store_request(operation, sent_at, true, now);
        }
    }

    /// Records that a request to the key-value store, sent at `sent_at`, failed.
    pub fn store_failed(&self, operation: StoreOperation, sent_at: Instant, now: Instant) {
        let contact = &mut self.evidence.lock().contact;
        contact.failing_since.get_or_insert(now);
        if let Some(active) = &self.active {
            active.record_store_request(operation, sent_at, false, now);
        }
    }

    /// The last successful contact with the key-value store, and since when requests fail.
    pub fn contact(&self) -> StoreContact {
        self.evidence.lock().contact
    }

    /// Records that the peers were queried whether they reach the key-value store, which this process
    /// does not reach.
    pub fn record_peer_queries(&self, now: Instant) {
        self.evidence.lock().peer_contacts.record_probe(now);
    }

    /// Records a peer's response to such a query.
    pub fn record_peer_contact(&self, answer: PeerContactResult, now: Instant) {
        self.evidence
            .lock()
            .peer_contacts
            .record_result(answer, now);
    }

    /// Discards the queries and the peers' responses, as when this process reaches the key-value store
    /// again.
    pub fn discard_peer_contacts(&self) {
        self.evidence.lock().peer_contacts = PeerContacts::default();
    }

    /// Records that a state summary of a leader arrived.
    pub fn record_summary(&self, now: Instant) {
        self.evidence.lock().last_summary_at = Some(now);
    }

    /// When a state summary of a leader last arrived; `None` before the first one.
    pub fn last_summary_at(&self) -> Option<Instant> {
        self.evidence.lock().last_summary_at
    }

    /// Records the number of misdirected heartbeats that a controller has counted since its process
    /// started.
    pub fn record_misdirected_count(
        &self,
        member: &str,
        source: CountSource,
        count: u64,
        now: Instant,
    ) {
        self.evidence
            .lock()
            .misdirected
            .record_count(member, source, count, now);
    }

    /// Whether another controller recently counted many misdirected heartbeats within a short time.
    pub fn misdirected_lately(&self, now: Instant) -> bool {
        self.evidence.lock().misdirected.has_recent_increase(now)
    }

    /// Whether this controller can serve requests, by the state of its links. `loaded` says whether the
    /// replica is loaded, and `has_peers` whether there are other controllers. In an outage that
    /// affects all controllers, none is in a better position than another, and all continue to serve.
    pub fn can_serve_requests(&self, loaded: bool, has_peers: bool, now: Instant) -> bool {
        let evidence = self.evidence.lock();
        evidence.can_serve_requests(loaded, has_peers, now)
    }

    /// The reason why the placement gate refuses new placements, if it is enabled and refuses them, read
    /// without a lock.
    pub fn placement_refusal(&self) -> Option<GateRefusal> {
        self.active.as_ref()?.placement_refusal()
    }

    /// Records a heartbeat that arrived at this controller, whether or not this controller decides on it.
    pub fn record_worker_heartbeat(&self, heartbeat: &Heartbeat, now: Instant) {
        if let Some(active) = &self.active {
            let number = worker_number(&heartbeat.machine);
            active
                .table
                .lock()
                .record_worker_heartbeat(number, heartbeat.id(), now);
        }
    }

    /// Records that this controller sent a 200 in response to this heartbeat of the agent.
    pub fn record_worker_response(&self, machine: &str, heartbeat: HeartbeatId) {
        if let Some(active) = &self.active {
            active
                .table
                .lock()
                .record_worker_response(worker_number(machine), heartbeat);
        }
    }
}
