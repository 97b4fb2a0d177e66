//! What the parts of one process share, each behind a short lock of its own.
//!
//! Locks are taken in this order: replica, election, cluster, all others. No lock is held across an
//! await, and nothing is sent, written or encoded under one.

mod cancellations;
mod connections;
mod forwarding;
pub mod heartbeats;
pub mod links;
pub mod operator;
mod replica_size;
mod store_observer;
mod wake_ups;

use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;

pub use self::cancellations::UnpublishedCancellations;
pub use self::connections::{ConnectionCount, OpenConnection};
pub use self::forwarding::HeartbeatForwarding;
use self::links::LinkMonitor;
use self::operator::OperatorSettings;
pub use self::wake_ups::WakeUps;
use crate::cluster::{Catalog, Cluster, DrainReason};
use crate::config::Settings;
use crate::features::Features;
use crate::forwarding::QueueLimits;
use crate::leader::{ElectionState, Leadership};
use crate::metrics::{resident_bytes, Metrics, MetricsView};
use crate::model::{JobId, MachineId};
use crate::policy::SchedulingPolicy;
use crate::sockets::SocketLimits;
use crate::state_summary::SummaryCache;
use crate::store::replica::Replica;
use crate::store::shared_replica::SharedReplica;

/// The state that the parts of one process share.
pub struct Shared {
    /// The settings of the platform.
    pub settings: Settings,
    /// How the sockets are divided among their purposes.
    pub sockets: SocketLimits,
    /// The scheduling policy that follows from the settings.
    pub policy: SchedulingPolicy,
    /// The replica of the records in the key-value store.
    pub replica: Arc<SharedReplica>,
    /// The state of the election.
    pub election: Mutex<ElectionState>,
    /// The cluster state, while this process leads.
    pub cluster: Mutex<Option<Cluster>>,
    /// Machine types, once known.
    pub catalog: Mutex<Option<Catalog>>,
    /// The cache of the leader's state summary.
    pub summary_cache: Mutex<SummaryCache>,
    /// The state of this process's links.
    pub links: LinkMonitor,
    /// The operators' settings in force.
    pub operator: Mutex<OperatorSettings>,
    /// Connections open on the public address.
    pub connections: ConnectionCount,
    /// Heartbeats that this node forwards or redirects to the leader.
    pub forwarding: HeartbeatForwarding,
    /// Cancellations that the peers have not been notified of.
    pub cancellations: UnpublishedCancellations,
    /// Counters and histograms.
    pub metrics: Mutex<Metrics>,
    /// Wake-ups of the loops.
    pub wake_ups: WakeUps,
}

impl Shared {
    /// The state of a process that has just started, with nothing turned on by a features file.
    pub fn new(settings: Settings) -> Arc<Self> {
        Self::with_features(settings, Features::default())
    }

    /// The state of a process that has just started.
    pub fn with_features(settings: Settings, features: Features) -> Arc<Self> {
        let sockets = SocketLimits::from_settings(&settings);
        let mem_mb = settings.params.resources.mem_mb;
        let queue_limits = QueueLimits::new(sockets.public, mem_mb);
        let replica = Replica::with_final_verdicts_max(replica_size::verdicts_max(mem_mb));
        Arc::new(Self {
            sockets,
            policy: SchedulingPolicy::new(&settings),
            election: Mutex::new(ElectionState::new(&settings)),
            replica: Arc::new(SharedReplica::new(replica)),
            cluster: Mutex::default(),
            catalog: Mutex::default(),
            summary_cache: Mutex::default(),
            links: LinkMonitor::new(&settings, features.links),
            operator: Mutex::default(),
            connections: ConnectionCount::default(),
            forwarding: HeartbeatForwarding::new(&settings, queue_limits),
            cancellations: UnpublishedCancellations::default(),
            metrics: Mutex::default(),
            wake_ups: WakeUps::default(),
            settings,
        })
    }

    /// The leadership, if starts may be decided and sent under it now: lease and replica allow it,
    /// and the links to the key-value store do not refuse it.
    pub fn leadership_for_starts(&self, now: Instant) -> Option<Leadership> {
        let leadership = self.election.lock().leadership_for_starts(now)?;
        self.links
            .placement_refusal()
            .is_none()
            .then_some(leadership)
    }

    /// Whether this node can take requests. In an outage that all nodes share, no node is better
    /// than another, and all go on.
    pub fn fit_for_requests(&self, now: Instant) -> bool {
        let loaded = self.replica.lock().loaded;
        let has_peers = !self.settings.peers.is_empty();
        self.links.fit_for_requests(loaded, has_peers, now)
    }

    /// A cancellation is on record: the job's tasks are stopped at once where this node answers for
    /// them, and the cancellation is queued for the other nodes. Nobody waits for that.
    pub fn cancellation_recorded(&self, id: &JobId) {
        self.cancel_tasks(std::slice::from_ref(id));
        self.cancellations.push(id);
        self.wake_ups.cancellations.notify_one();
    }

    /// Cancellations of these jobs are on record, even if the replica has not seen them yet.
    pub fn cancel_tasks(&self, ids: &[JobId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.cancel_tasks(id);
            }
        }
        self.wake_ups.scheduler.notify_one();
    }

    /// Applies the operators' list of machines to drain.
    pub fn drain_by_operator(&self, cluster: &mut Cluster) {
        let operator = self.operator.lock();
        for machine in cluster.machines.values_mut() {
            let listed = operator.drained.iter().any(|name| **name == *machine.id.0);
            match (listed, machine.drain) {
                (true, None) => machine.drain = Some(DrainReason::Operator),
                (false, Some(DrainReason::Operator)) => machine.drain = None,
                _ => {}
            }
        }
    }

    /// All counters and histograms of this process.
    pub fn metrics_view(&self, now: Instant) -> MetricsView {
        let mut view = self.metrics.lock().view(now);
        view.resident_bytes = resident_bytes();
        view.links = self.links.active().map(|links| links.metrics(now));
        view
    }

    /// These machines are confirmed to be released or terminated; they leave the cluster state.
    pub fn machines_released(&self, ids: &[MachineId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.machine_gone(id);
            }
        }
        self.wake_ups.scheduler.notify_one();
    }
}
