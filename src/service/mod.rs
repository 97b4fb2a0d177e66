//! What the parts of one process share, each behind a short lock of its own.
//!
//! Locks are taken in the order replica, role, cluster, the rest; they are never held across
//! an await, and nothing is sent, written or encoded under them.

pub mod heartbeats;
pub mod links;
pub mod operator;

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use knotlanding_links::table::StoreOperation;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tracing::warn;

use crate::cluster::{Catalog, Cluster, DrainReason};
use crate::config::Settings;
use crate::features::Features;
use crate::forwarding::{Forwarding, QueueLimits};
use crate::leader::{ElectionState, Leadership};
use crate::metrics::{resident_bytes, Metrics, MetricsView};
use crate::model::{JobId, MachineId};
use crate::policy::SchedulingPolicy;
use crate::rate_limit::TokenBucket;
use crate::sockets::Sockets;
use crate::state_summary::SummaryCache;
use crate::store::from_value;
use crate::store::observer::StoreObserver;
use crate::store::replica::{Replica, ReplicaChange};
use crate::store::shared_replica::SharedReplica;
use links::LinkMonitor;
use operator::OperatorSettings;

/// EventCounts a connection for as long as it is open.
pub struct OpenConnection {
    count: Arc<AtomicUsize>,
    used: AtomicBool,
}

impl OpenConnection {
    /// One more.
    pub fn new(count: Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self {
            count,
            used: AtomicBool::new(false),
        }
    }

    /// Whether this is the connection's first request.
    pub fn first_request(&self) -> bool {
        !self.used.swap(true, Ordering::Relaxed)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Everything shared.
pub struct Shared {
    /// The platform's settings.
    pub settings: Settings,
    /// How the sockets are shared out.
    pub sockets: Sockets,
    /// What scheduling needs of them.
    pub policy: SchedulingPolicy,
    /// Our records.
    pub replica: Arc<SharedReplica>,
    /// Who leads.
    pub election: Mutex<ElectionState>,
    /// The cluster state, while we lead.
    pub cluster: Mutex<Option<Cluster>>,
    /// Machine types, once known.
    pub catalog: Mutex<Option<Catalog>>,
    /// What the leader last told.
    pub summary_cache: Mutex<SummaryCache>,
    /// What is known of this process's links.
    pub links: LinkMonitor,
    /// Operators' settings in force.
    pub operator: Mutex<OperatorSettings>,
    /// Connections open on the public address.
    pub connections: Arc<AtomicUsize>,
    /// Reports on their way to the leader, while another node leads.
    pub forwarding: Mutex<Forwarding>,
    /// Wakes who forwards them.
    pub wake_forwarding: Notify,
    /// Workers that may yet be sent to the leader where reports can't be forwarded.
    pub redirects: Mutex<TokenBucket>,
    /// Reports of workers that we could neither answer nor forward.
    pub misdirected: AtomicU64,
    /// Figures.
    pub metrics: Mutex<Metrics>,
    /// Wakes the round.
    pub wake_scheduler: Notify,
    /// Jobs cancelled here that the other nodes have not been told of.
    pub cancelled: Mutex<Vec<JobId>>,
    /// Wakes who tells them.
    pub wake_peers: Notify,
    /// Wakes the election.
    pub wake_election: Notify,
}

/// Cancelled jobs that may wait to be told to the other nodes. Their watches bring the rest.
const CANCELLATIONS_QUEUED_MAX: usize = 1024;

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
    /// The state of a process that has just started, with nothing turned on by a features file.
    pub fn new(settings: Settings) -> Arc<Self> {
        Self::with_features(settings, Features::default())
    }

    /// The state of a process that has just started.
    pub fn with_features(settings: Settings, features: Features) -> Arc<Self> {
        let sockets = Sockets::of(&settings);
        let queue_limits = QueueLimits::new(sockets.public, settings.params.resources.mem_mb);
        Arc::new(Self {
            sockets,
            policy: SchedulingPolicy::new(&settings),
            election: Mutex::new(ElectionState::new(&settings)),
            replica: Arc::new(SharedReplica::new(Replica::with_final_verdicts_max(
                most_verdicts(settings.params.resources.mem_mb),
            ))),
            cluster: Mutex::default(),
            catalog: Mutex::default(),
            summary_cache: Mutex::default(),
            links: LinkMonitor::new(&settings, features.links),
            operator: Mutex::default(),
            connections: Arc::default(),
            forwarding: Mutex::new(Forwarding::new(queue_limits)),
            wake_forwarding: Notify::new(),
            redirects: Mutex::new(TokenBucket::new(redirect_rate(&settings), Instant::now())),
            misdirected: AtomicU64::default(),
            metrics: Mutex::default(),
            wake_scheduler: Notify::new(),
            cancelled: Mutex::default(),
            wake_peers: Notify::new(),
            wake_election: Notify::new(),
            settings,
        })
    }

    /// A request sent at `sent` was answered by the state service.
    pub fn store_answered(&self, operation: StoreOperation, sent: Instant) {
        self.links.store_answered(operation, sent, Instant::now());
    }

    /// A request sent at `sent` to the state service failed.
    pub fn store_failed(&self, operation: StoreOperation, sent: Instant) {
        let now = Instant::now();
        let leads = {
            let mut election = self.election.lock();
            election.freshness().invalidate(now);
            election.own_term().is_some()
        };
        self.links.store_failed(operation, sent, now);
        if leads {
            self.replica.request_read();
        }
    }

    /// The lead, if starts may be decided and sent under it now: lease and replica allow it, and the
    /// links to the state service don't refuse it.
    pub fn leadership_for_starts(&self, now: Instant) -> Option<Leadership> {
        let leadership = self.election.lock().leadership_for_starts(now)?;
        self.links
            .placement_refusal()
            .is_none()
            .then_some(leadership)
    }

    /// The replica and the cluster state have all that was confirmed before `sent`.
    pub fn replica_complete(&self, sent: Instant) {
        self.election.lock().freshness().confirm(sent);
    }

    /// Whether this node can take requests. In an outage that all nodes share none is better
    /// than another, and all go on.
    pub fn fit_for_requests(&self, now: Instant) -> bool {
        let loaded = self.replica.lock().loaded;
        let has_peers = !self.settings.known.is_empty();
        self.links.fit_for_requests(loaded, has_peers, now)
    }

    /// A cancellation is on record: what runs of the job is stopped at once where we answer for
    /// it, and the other nodes are to hear of it. Nobody waits for that.
    pub fn cancellation_recorded(&self, id: &JobId) {
        self.cancel_tasks(std::slice::from_ref(id));
        let mut waiting = self.cancelled.lock();
        if waiting.len() < CANCELLATIONS_QUEUED_MAX {
            waiting.push(id.clone());
        }
        drop(waiting);
        self.wake_peers.notify_one();
    }

    /// Jobs are cancelled for good, whatever our replica says yet.
    pub fn cancel_tasks(&self, ids: &[JobId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.cancel_tasks(id);
            }
        }
        self.wake_scheduler.notify_one();
    }

    /// Connections open on the public address.
    pub fn open(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Passes on what the watch brought.
    pub fn tell(&self, changes: &[ReplicaChange]) {
        self.tell_at(changes, Instant::now(), SystemTime::now());
    }

    /// The same at a given time, for those who keep their own clocks.
    pub fn tell_at(&self, changes: &[ReplicaChange], now: Instant, wall: SystemTime) {
        let replica = self.replica.lock();
        let mut leader_changed = false;
        let mut jobs = false;
        for item in changes {
            match item {
                ReplicaChange::Leader => leader_changed = true,
                ReplicaChange::Settings => {
                    let read = replica.settings.record.as_ref().and_then(from_value);
                    let settings: OperatorSettings = read.unwrap_or_default();
                    *self.operator.lock() = settings;
                }
                ReplicaChange::Misdirected(member, count) => {
                    self.links.misdirected_counted(member, *count, now);
                }
                ReplicaChange::Job(id) => {
                    jobs = true;
                    if let Some(cluster) = self.cluster.lock().as_mut() {
                        cluster.sync_job(id, &replica, now, wall, false);
                    }
                }
            }
        }
        if leader_changed {
            let record = replica.leader.as_ref().map(|leader| &leader.record);
            let lost = self.election.lock().observe_leader_record(record);
            if lost {
                warn!("the lead is lost");
                *self.cluster.lock() = None;
            }
            self.wake_election.notify_one();
        }
        drop(replica);
        if jobs {
            self.wake_scheduler.notify_one();
        }
    }

    /// Drains what the operators want drained.
    pub fn drain_by_operator(&self, cluster: &mut Cluster) {
        let operator = self.operator.lock();
        for machine in cluster.machines.values_mut() {
            let wanted = operator.drained.iter().any(|name| **name == *machine.id.0);
            match (wanted, machine.drain) {
                (true, None) => machine.drain = Some(DrainReason::Operator),
                (false, Some(DrainReason::Operator)) => machine.drain = None,
                _ => {}
            }
        }
    }

    /// All figures of this process.
    pub fn metrics_view(&self, now: Instant) -> MetricsView {
        let mut view = self.metrics.lock().view(now);
        view.resident_bytes = resident_bytes();
        view.links = self.links.active().map(|links| links.metrics(now));
        view
    }

    /// Drops a machine that is gone for sure.
    pub fn machine_gone(&self, ids: &[MachineId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.machine_gone(id);
            }
        }
        self.wake_scheduler.notify_one();
    }
}

impl StoreObserver for Shared {
    fn request_answered(&self, operation: StoreOperation, sent: Instant) {
        self.store_answered(operation, sent);
    }

    fn request_failed(&self, operation: StoreOperation, sent: Instant) {
        self.store_failed(operation, sent);
    }

    fn events_received(&self, count: usize) {
        self.metrics.lock().counts.replica_events += count as u64;
    }

    fn replica_changed(&self, changes: &[ReplicaChange]) {
        self.tell(changes);
    }

    fn replica_confirmed(&self, sent: Instant) {
        self.replica_complete(sent);
    }

    fn needs_confirming_read(&self, now: Instant) -> bool {
        self.election.lock().needs_confirming_read(now)
    }

    fn leads(&self) -> bool {
        self.election.lock().own_term().is_some()
    }
}
