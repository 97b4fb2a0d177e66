//! The state that the parts of one process share. Each part of the state has a lock of its own, which
//! is held only briefly.
//!
//! Locks are acquired in this order: replica, election, cluster, all others. No lock is held across an
//! await, and nothing is sent, written or encoded while one is held.

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
use crate::model::{JobId, MachineId, Term};
use crate::policy::SchedulingPolicy;
use crate::sockets::SocketLimits;
use crate::state_summary::SummaryCache;
use crate::store::replica::Replica;
use crate::store::shared_replica::SharedReplica;

/// The state that the parts of one process share.
pub struct Shared {
    /// The settings, which do not change while the process runs.
    pub settings: Settings,
    /// Limits on the sockets for each purpose.
    pub sockets: SocketLimits,
    /// The scheduling policy that follows from the settings.
    pub policy: SchedulingPolicy,
    /// The replica of the records in the key-value store.
    pub replica: Arc<SharedReplica>,
    /// The state of the election.
    pub election: Mutex<ElectionState>,
    /// The cluster state, while this process leads.
    pub cluster: Mutex<Option<Cluster>>,
    /// The machine types; `None` until the cloud's catalog was read for the first time.
    pub catalog: Mutex<Option<Catalog>>,
    /// The latest state summary of a leader, for display and for the recovery when this process is elected.
    pub summary_cache: Mutex<SummaryCache>,
    /// The states of this process's links, and the evidence for them.
    pub links: LinkMonitor,
    /// The operators' settings, as the replica last showed them. They change a moment later than the replica,
    /// so that they must not be combined with the version in it.
    pub operator: Mutex<OperatorSettings>,
    /// The number of connections open on the public address.
    pub connections: ConnectionCount,
    /// Heartbeats that this controller forwards or redirects to the leader.
    pub forwarding: HeartbeatForwarding,
    /// Cancellations of which the peers have not been notified yet.
    pub cancellations: UnpublishedCancellations,
    /// Counters and histograms since the process started.
    pub metrics: Mutex<Metrics>,
    /// Notifications that wake the loops of the actors.
    pub wake_ups: WakeUps,
}

impl Shared {
    /// The state of a process that has just started without a features file.
    pub fn new(settings: Settings) -> Arc<Self> {
        Self::with_features(settings, Features::default())
    }

    /// The state of a process that has just started with these features.
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

    /// The leadership, if starts may be decided and sent under it now: the lease is valid, the replica
    /// is fresh, and the placement gate refuses nothing.
    pub fn leadership_for_starts(&self, now: Instant) -> Option<Leadership> {
        let leadership = self.election.lock().leadership_for_starts(now)?;
        self.links
            .placement_refusal()
            .is_none()
            .then_some(leadership)
    }

    /// Whether this controller can serve requests. In an outage that affects all controllers, none is
    /// in a better position than another, and all continue to serve.
    pub fn can_serve_requests(&self, now: Instant) -> bool {
        let loaded = self.replica.lock().loaded;
        let has_peers = !self.settings.peers.is_empty();
        self.links.can_serve_requests(loaded, has_peers, now)
    }

    /// Acts on a cancellation that is on record: the job's tasks are terminated at once if this process has
    /// the cluster state, and the cancellation is queued for the peers. The caller waits for neither.
    pub fn cancellation_recorded(&self, id: &JobId) {
        self.cancel_tasks(std::slice::from_ref(id));
        self.cancellations.push(id);
        self.wake_ups.cancellations.notify_one();
    }

    /// Terminates the tasks of these jobs, whose cancellations are on record even if the replica does not
    /// show them yet.
    pub fn cancel_tasks(&self, ids: &[JobId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.cancel_tasks(id);
            }
        }
        self.wake_ups.scheduler.notify_one();
    }

    /// Calls `action` with the cluster state of `term`; `None` if this process has none or that of another term.
    /// Whatever was decided or sent in a term is applied to the state of that term only: the state may have been
    /// replaced since.
    pub fn with_cluster_of<R>(
        &self,
        term: Term,
        action: impl FnOnce(&mut Cluster) -> R,
    ) -> Option<R> {
        let mut guard = self.cluster.lock();
        let cluster = guard.as_mut().filter(|cluster| cluster.term == term);
        cluster.map(action)
    }

    /// Applies the operators' list of machines to drain; drains for other reasons are left as they are.
    pub fn apply_operator_drains(&self, cluster: &mut Cluster) {
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

    /// A snapshot of all counters and histograms of this process.
    pub fn metrics_view(&self, now: Instant) -> MetricsView {
        let mut view = self.metrics.lock().view(now);
        view.resident_bytes = resident_bytes();
        view.links = self.links.active().map(|links| links.metrics(now));
        view
    }

    /// Removes machines that are confirmed to be released or terminated from the cluster state.
    pub fn machines_released(&self, ids: &[MachineId]) {
        if let Some(cluster) = self.cluster.lock().as_mut() {
            for id in ids {
                cluster.remove_released_machine(id);
            }
        }
        self.wake_ups.scheduler.notify_one();
    }
}
