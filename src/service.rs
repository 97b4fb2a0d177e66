//! What the parts of one process share, each behind a short lock of its own.
//!
//! Locks are taken in the order replica, role, cluster, the rest; they are never held across
//! an await, and nothing is sent, written or encoded under them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::{watch, Notify};
use tracing::warn;

use crate::cluster::{Catalog, Cluster, Drain};
use crate::config::Settings;
use crate::fleet::Thrift;
use crate::leader::Role;
use crate::metrics::Metrics;
use crate::model::{JobId, MachineId};
use crate::peer::DigestView;
use crate::sched::Policy;
use crate::sockets::Sockets;
use crate::store::from_value;
use crate::store::limiter::Bucket;
use crate::store::replica::{News, Replica};

/// When the state service last answered, and whether it has failed since.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    /// When the last request that was answered had been sent.
    pub answered: Option<Instant>,
    /// Since when it has not answered.
    pub failing_since: Option<Instant>,
}

/// What a peer says of its contact with the state service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// It has it.
    Fine,
    /// It lost it, too.
    Failing,
    /// It takes no connection from us.
    Refused,
}

/// What the peers said since we lost the state service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Neighbours {
    asked: Option<Instant>,
    fine: Option<Instant>,
    failing: Option<Instant>,
    refused: Option<Instant>,
}

impl Neighbours {
    /// They were asked; the first time counts.
    pub fn asked(&mut self, now: Instant) {
        self.asked.get_or_insert(now);
    }

    /// One answered.
    pub fn said(&mut self, said: Said, now: Instant) {
        match said {
            Said::Fine => self.fine = Some(now),
            Said::Failing => self.failing = Some(now),
            Said::Refused => self.refused = Some(now),
        }
    }

    /// Whether it is this node alone that is cut off: another one is fine, or none at all can
    /// be reached for a while. In an outage that all share none is better than another.
    pub fn we_alone(&self, now: Instant) -> bool {
        let recent = |at: Option<Instant>| {
            at.is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST)
        };
        if recent(self.fine) {
            return true;
        }
        let waited = self
            .asked
            .is_some_and(|at| now.saturating_duration_since(at) >= CONTACT_LOST);
        waited && !recent(self.failing) && !recent(self.refused)
    }
}

/// Workers that report to other nodes while we lead: they are up and don't get through to us.
#[derive(Debug, Default)]
pub struct MisdirectedReports {
    counts: HashMap<String, u64>,
    last: Option<Instant>,
}

/// Misdirected reports at one node between two digests that are no chance: a worker that has just come up
/// asks any node once.
pub const MANY_MISDIRECTED: u64 = 5;
/// How long they are remembered: workers that wait for our answer in vain come there again
/// after that and a second.
const MISDIRECTED_KEPT: Duration = Duration::from_secs(6);

impl MisdirectedReports {
    /// A node says how many workers it has sent elsewhere so far.
    pub fn counted(&mut self, member: &str, count: u64, now: Instant) {
        let before = self.counts.insert(member.to_owned(), count);
        // A lower count comes from a new life of the node.
        let more = before.map_or(0, |before| count.saturating_sub(before));
        if more >= MANY_MISDIRECTED {
            self.last = Some(now);
        }
    }

    /// Whether many have come there lately.
    pub fn lately(&self, now: Instant) -> bool {
        self.last
            .is_some_and(|at| now.saturating_duration_since(at) < MISDIRECTED_KEPT)
    }
}

/// Operators' settings, kept in the state service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Idle machines are kept this many times as long as a new one takes to be as useful.
    #[serde(default = "one")]
    pub idle_factor: f64,
    /// Spare room for classes that start promptly, as a part of what is expected.
    #[serde(default = "one")]
    pub spare_factor: f64,
    /// Machines that get no new tasks.
    #[serde(default)]
    pub drained: Vec<String>,
}

fn one() -> f64 {
    1.0
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            idle_factor: one(),
            spare_factor: one(),
            drained: Vec::new(),
        }
    }
}

/// Largest factor operators may set: beyond it nothing would ever be returned.
const MOST_FACTOR: f64 = 100.0;
/// Most machines drained by name.
const MOST_DRAINED: usize = 500;

impl OperatorSettings {
    /// The first field that makes no sense.
    pub fn wrong_field(&self) -> Option<&'static str> {
        let factor_ok = |f: f64| f.is_finite() && (0.0..=MOST_FACTOR).contains(&f);
        if !factor_ok(self.idle_factor) {
            return Some("idle_factor");
        }
        if !factor_ok(self.spare_factor) {
            return Some("spare_factor");
        }
        let names_ok = self.drained.iter().all(|name| !name.is_empty());
        (self.drained.len() > MOST_DRAINED || !names_ok).then_some("drained")
    }

    /// What of it the fleet needs.
    pub fn thrift(&self) -> Thrift {
        Thrift {
            idle_factor: self.idle_factor,
            spare_factor: self.spare_factor,
        }
    }
}

/// Counts a connection for as long as it is open.
pub struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    /// One more.
    pub fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Everything shared.
pub struct Shared {
    /// The platform's settings.
    pub settings: Settings,
    /// How the sockets are shared out.
    pub sockets: Sockets,
    /// What scheduling needs of them.
    pub policy: Policy,
    /// Our records.
    pub replica: Mutex<Replica>,
    /// The replica's revision, for those who wait for one.
    pub revision: watch::Sender<u64>,
    /// Who leads.
    pub role: Mutex<Role>,
    /// The picture, while we lead.
    pub cluster: Mutex<Option<Cluster>>,
    /// Machine types, once known.
    pub catalog: Mutex<Option<Catalog>>,
    /// What the leader last told.
    pub digest_view: Mutex<DigestView>,
    /// Contact with the state service.
    pub contact: Mutex<Contact>,
    /// When a peer last told that it is in contact with the state service.
    pub peer_contact: Mutex<Option<Instant>>,
    /// What the peers say while we lack the state service.
    pub neighbours: Mutex<Neighbours>,
    /// Operators' settings in force.
    pub operator: Mutex<OperatorSettings>,
    /// Connections open on the public address.
    pub connections: Arc<AtomicUsize>,
    /// Reports that may yet be sent on to the leader.
    pub redirects: Mutex<Bucket>,
    /// Reports of workers that we have sent elsewhere.
    pub misdirected: AtomicU64,
    /// Workers that report elsewhere while we lead.
    pub misdirected_reports: Mutex<MisdirectedReports>,
    /// Figures.
    pub metrics: Mutex<Metrics>,
    /// Wakes the round.
    pub wake_round: Notify,
    /// Jobs cancelled here that the other nodes have not been told of.
    pub cancelled: Mutex<Vec<JobId>>,
    /// Wakes who tells them.
    pub wake_peers: Notify,
    /// Wakes the election.
    pub wake_leader: Notify,
    /// Wakes who reads the records: a question came, or a lead needs its proof.
    pub wake_reader: Notify,
}

/// A node whose contact is older than this while another node's is not can take no requests.
const CONTACT_LOST: Duration = Duration::from_secs(4);

/// Cancelled jobs that may wait to be told to the other nodes. Their watches bring the rest.
const MOST_CANCELLED: usize = 1024;

/// Bytes that a final verdict takes with its key, in a table that has just grown.
const VERDICT_BYTES: f64 = 160.0;
/// Part of the memory for them.
const VERDICTS_PART: f64 = 0.15;

/// Final verdicts that a process with so much memory keeps at hand.
fn most_verdicts(mem_mb: f64) -> usize {
    (mem_mb * 1024.0 * 1024.0 * VERDICTS_PART / VERDICT_BYTES).max(1.0) as usize
}

/// Processor time that a worker's first report costs the leader, with its connection.
const FIRST_REPORT_CPU_S: f64 = 0.00015;
/// Part of the leader's processor for those that come to it anew.
const FIRST_REPORTS_PART: f64 = 0.6;

/// How many workers a second this node sends to the leader. All nodes together send no more than it
/// can take: a worker gives an answer up after four seconds and comes again on a new connection,
/// so a leader that is short of processor time would go on answering those that have given up.
/// The others try the next node a second later.
fn redirect_rate(settings: &Settings) -> f64 {
    let others = settings.params.count.saturating_sub(1).max(1);
    let cores = settings.params.resources.cores;
    cores * FIRST_REPORTS_PART / FIRST_REPORT_CPU_S / others as f64
}

impl Shared {
    /// The state of a process that has just started.
    pub fn new(settings: Settings) -> Arc<Self> {
        Arc::new(Self {
            sockets: Sockets::of(&settings),
            policy: Policy::new(&settings),
            role: Mutex::new(Role::new(&settings)),
            replica: Mutex::new(Replica::keeping(most_verdicts(
                settings.params.resources.mem_mb,
            ))),
            revision: watch::Sender::new(0),
            cluster: Mutex::default(),
            catalog: Mutex::default(),
            digest_view: Mutex::default(),
            neighbours: Mutex::default(),
            contact: Mutex::default(),
            peer_contact: Mutex::default(),
            operator: Mutex::default(),
            connections: Arc::default(),
            redirects: Mutex::new(Bucket::new(redirect_rate(&settings), Instant::now())),
            misdirected: AtomicU64::default(),
            misdirected_reports: Mutex::default(),
            metrics: Mutex::default(),
            wake_round: Notify::new(),
            cancelled: Mutex::default(),
            wake_peers: Notify::new(),
            wake_leader: Notify::new(),
            wake_reader: Notify::new(),
            settings,
        })
    }

    /// A request sent at `sent` was answered by the state service.
    pub fn store_answered(&self, sent: Instant) {
        let mut contact = self.contact.lock();
        contact.answered = contact.answered.max(Some(sent));
        contact.failing_since = None;
    }

    /// A request to the state service failed.
    pub fn store_failed(&self) {
        let now = Instant::now();
        let leads = {
            let mut role = self.role.lock();
            role.freshness().doubt(now);
            role.own_term().is_some()
        };
        self.contact.lock().failing_since.get_or_insert(now);
        if leads {
            self.wake_reader.notify_one();
        }
    }

    /// The replica and the picture have all that was confirmed before `sent`.
    pub fn replica_complete(&self, sent: Instant) {
        self.role.lock().freshness().proved(sent);
    }

    /// Whether this node can take requests. In an outage that all nodes share none is better
    /// than another, and all go on.
    pub fn fit_for_requests(&self, now: Instant) -> bool {
        let contact = *self.contact.lock();
        let failing = contact
            .failing_since
            .is_some_and(|since| now.saturating_duration_since(since) > CONTACT_LOST);
        let peer = *self.peer_contact.lock();
        let peer_fine = peer.is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST);
        let loaded = self.replica.lock().loaded;
        let alone = !self.settings.known.is_empty() && self.neighbours.lock().we_alone(now);
        (loaded && !failing) || !(peer_fine || alone)
    }

    /// A cancellation is on record: what runs of the job is stopped at once where we answer for
    /// it, and the other nodes are to hear of it. Nobody waits for that.
    pub fn cancelled_here(&self, id: &JobId) {
        self.call_off(std::slice::from_ref(id));
        let mut waiting = self.cancelled.lock();
        if waiting.len() < MOST_CANCELLED {
            waiting.push(id.clone());
        }
        drop(waiting);
        self.wake_peers.notify_one();
    }

    /// Jobs are cancelled for good, whatever our replica says yet.
    pub fn call_off(&self, ids: &[JobId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.call_off(id);
            }
        }
        self.wake_round.notify_one();
    }

    /// Connections open on the public address.
    pub fn open(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Passes on what the watch brought.
    pub fn tell(&self, news: &[News]) {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let replica = self.replica.lock();
        let mut leader_changed = false;
        let mut jobs = false;
        for item in news {
            match item {
                News::Leader => leader_changed = true,
                News::Settings => {
                    let read = replica.settings.record.as_ref().and_then(from_value);
                    let settings: OperatorSettings = read.unwrap_or_default();
                    *self.operator.lock() = settings;
                }
                News::Misdirected(member, count) => {
                    self.misdirected_reports.lock().counted(member, *count, now);
                }
                News::Job(id) => {
                    jobs = true;
                    if let Some(cluster) = self.cluster.lock().as_mut() {
                        cluster.sync_job(id, &replica, now, wall, false);
                    }
                }
            }
        }
        if leader_changed {
            let record = replica.leader.as_ref().map(|leader| &leader.record);
            let lost = self.role.lock().records_say(record);
            if lost {
                warn!("the lead is lost");
                *self.cluster.lock() = None;
            }
            self.wake_leader.notify_one();
        }
        drop(replica);
        if jobs {
            self.wake_round.notify_one();
        }
    }

    /// Drains what the operators want drained.
    pub fn drain_by_operator(&self, cluster: &mut Cluster) {
        let operator = self.operator.lock();
        for machine in cluster.machines.values_mut() {
            let wanted = operator.drained.iter().any(|name| **name == *machine.id.0);
            match (wanted, machine.drain) {
                (true, None) => machine.drain = Some(Drain::Operator),
                (false, Some(Drain::Operator)) => machine.drain = None,
                _ => {}
            }
        }
    }

    /// Drops a machine that is gone for sure.
    pub fn machine_gone(&self, ids: &[MachineId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.machine_gone(id);
            }
        }
        self.wake_round.notify_one();
    }
}

#[cfg(test)]
mod tests;
