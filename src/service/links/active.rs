//! Failure detection, damping, the connectivity matrix and handover decisions, where links are enabled.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use knotlanding_links::gate::{GateDecision, GateRefusal};
use knotlanding_links::handover::{HandoverDecision, HandoverPolicy};
use knotlanding_links::link::DetectionParams;
use knotlanding_links::matrix::ConnectivityMatrix;
use knotlanding_links::row::{Row, RowMessage, RowRejection, RowReply};
use knotlanding_links::table::{LinkChange, LinkTable, RowHeader, StoreOperation};
use parking_lot::Mutex;
use tracing::{info, warn};

use super::link_timing;
use super::snapshot::{LinkSnapshot, PublishedSnapshot};
use crate::config::Settings;
use crate::features::LinkFeatures;
use crate::metrics::LinkMetrics;
use crate::time::unix_ms;

/// The state of failure detection, damping, the connectivity matrix and handover decisions.
pub struct ActiveLinks {
    /// The parts that the features file enables, with their parameters.
    pub features: LinkFeatures,
    /// The states of this controller's links.
    pub table: Mutex<LinkTable>,
    /// The latest rows of the other controllers.
    pub matrix: Mutex<ConnectivityMatrix>,
    handover_policy: Mutex<HandoverPolicy>,
    snapshot: PublishedSnapshot,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    /// Rows of other controllers that were added to the matrix.
    pub rows_accepted: AtomicU64,
    /// Rows that were rejected for any reason, those that could not be decoded included.
    pub rows_rejected: AtomicU64,
    handovers: AtomicU64,
}

impl ActiveLinks {
    pub(super) fn new(settings: &Settings, features: LinkFeatures, now: Instant) -> Self {
        let timing = link_timing(settings);
        let detection = DetectionParams {
            phi_down_threshold: features.detector_phi,
            damping_enabled: features.damping,
        };
        let other_members = || settings.peers.iter().map(|peer| peer.member.clone());
        let table = LinkTable::new(&settings.member, other_members(), detection, timing, now);
        let snapshot = PublishedSnapshot::new(table.gate());
        Self {
            features,
            table: Mutex::new(table),
            matrix: Mutex::new(ConnectivityMatrix::new(other_members(), timing)),
            handover_policy: Mutex::new(HandoverPolicy::new(&timing, features.handovers_max)),
            snapshot,
            incarnation: AtomicU64::new(unix_ms(SystemTime::now())),
            sequence: AtomicU64::new(0),
            rows_accepted: AtomicU64::new(0),
            rows_rejected: AtomicU64::new(0),
            handovers: AtomicU64::new(0),
        }
    }

    /// The reason why the placement gate refuses new placements, if it is enabled and refuses them, read
    /// without a lock.
    pub(super) fn placement_refusal(&self) -> Option<GateRefusal> {
        let refusal = self.snapshot.gate().refusal;
        refusal.filter(|_| self.features.placement_gate)
    }

    /// The state of the placement gate and the latest handover decisions, read without a lock.
    pub fn snapshot(&self) -> Arc<LinkSnapshot> {
        self.snapshot.load_full()
    }

    pub(super) fn record_store_request(
        &self,
        operation: StoreOperation,
        sent_at: Instant,
        succeeded: bool,
        now: Instant,
    ) {
        let (change, gate) = {
            let mut table = self.table.lock();
            let change = table.record_store_request(operation, sent_at, succeeded, now);
            (change, table.gate())
        };
        log_changes(change.as_slice());
        self.publish_gate(gate);
    }

    /// Evaluates all links and the placement gate at `now`.
    pub fn evaluate(&self, now: Instant) {
        let (changes, gate) = {
            let mut table = self.table.lock();
            (table.evaluate(now), table.gate())
        };
        log_changes(&changes);
        self.publish_gate(gate);
    }

    /// Resumes after a pause of this process: heartbeats and rows missed meanwhile are no evidence of
    /// failed links.
    pub fn resume_after_pause(&self, now: Instant) {
        self.table.lock().resume_after_pause(now);
        self.handover_policy.lock().reset();
    }

    /// Records a request to a peer, and whether the peer responded.
    pub fn record_peer_request(
        &self,
        member: &str,
        sent_at: Instant,
        answered: bool,
        now: Instant,
    ) {
        let change = self
            .table
            .lock()
            .record_peer_request(member, sent_at, answered, now);
        log_changes(change.as_slice());
    }

    fn publish_gate(&self, gate: GateDecision) {
        if !self.snapshot.set_gate(gate) {
            return;
        }
        match gate.refusal {
            Some(reason) => warn!(%reason, "placements suspended"),
            None => info!("placements resumed"),
        }
    }

    /// The current row of this controller, for sending to the peers, with the next sequence number.
    pub fn next_row(&self, leads_term: Option<u64>, now: Instant, wall_time: SystemTime) -> Row {
        let header = RowHeader {
            incarnation: self.incarnation.load(Ordering::Relaxed),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            sent_at_ms: unix_ms(wall_time),
            leads_term,
        };
        self.table.lock().row(header, now)
    }

    /// The current row of this controller, for use in this process, with the last sequence number.
    pub fn own_row(&self, leads_term: Option<u64>, now: Instant) -> Row {
        let header = RowHeader {
            incarnation: self.incarnation.load(Ordering::Relaxed),
            sequence: self.sequence.load(Ordering::Relaxed),
            sent_at_ms: 0,
            leads_term,
        };
        self.table.lock().row(header, now)
    }

    /// Checks another controller's row and adds it to the matrix. The response to the sender is the same for
    /// an accepted row and for one of a former incarnation.
    pub fn accept_row(
        &self,
        message: RowMessage,
        now: Instant,
        wall_ms: u64,
    ) -> Result<RowReply, RowRejection> {
        let member = message.member.clone();
        let outcome = Row::from_message(message)
            .and_then(|row| self.matrix.lock().accept_row(row, now, wall_ms));
        match outcome {
            Ok(()) => {
                self.rows_accepted.fetch_add(1, Ordering::Relaxed);
                let change = self.table.lock().record_peer_row(&member, now);
                log_changes(change.as_slice());
            }
            Err(rejection) => {
                self.record_row_rejection(&member, rejection);
                // The response contains the newest incarnation, above which a process whose clock is behind
                // raises its own.
                if rejection != RowRejection::FormerIncarnation {
                    return Err(rejection);
                }
            }
        }
        let newest_incarnation = self.matrix.lock().newest_incarnation(&member);
        Ok(RowReply { newest_incarnation })
    }

    /// Whether a probe record should be written to show whether transactions succeed: either this controller
    /// leads and its transactions fail, or the row of a leader shows that it does not reach the key-value
    /// store, and this controller may reach it.
    pub fn needs_write_probe(&self, is_leader: bool, now: Instant) -> bool {
        let own_writes_fail = self.table.lock().store_write_down();
        (is_leader && own_writes_fail) || self.matrix.lock().leader_lacks_store(now)
    }

    /// Counts a rejected row. Logs the rejection if it is the first of this sender for this reason since the
    /// sender's last accepted row.
    pub fn record_row_rejection(&self, member: &str, rejection: RowRejection) {
        self.rows_rejected.fetch_add(1, Ordering::Relaxed);
        if self.matrix.lock().should_log_rejection(member, rejection) {
            warn!(member, reason = %rejection, "row rejected");
        }
    }

    /// Raises the incarnation of this process above the one in a peer's response to a row. The peer has
    /// accepted a higher incarnation of this controller if the clock was ahead at that time; it would reject
    /// all rows of a lower one.
    pub fn handle_row_reply(&self, reply: RowReply) {
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        if reply.newest_incarnation > incarnation {
            info!(
                former = reply.newest_incarnation,
                "incarnation raised above a former one"
            );
            self.incarnation
                .store(reply.newest_incarnation + 1, Ordering::Relaxed);
        }
    }

    /// The handover decision of this controller as leader, by its own row and the rows of the peers.
    pub fn decide_handover(&self, now: Instant) -> HandoverDecision {
        let own = self.own_row(None, now);
        let decision = {
            let matrix = self.matrix.lock();
            self.handover_policy.lock().decide(&own, &matrix, now)
        };
        if self.snapshot.add_decision(&decision, now) {
            info!(?decision, "handover decision");
        }
        decision
    }

    /// Whether the row of any other controller shows that it can use the key-value store; `None`
    /// without rows.
    pub fn others_have_store(&self, now: Instant) -> Option<bool> {
        let matrix = self.matrix.lock();
        let mut rows = matrix.rows(now).peekable();
        rows.peek()?;
        Some(rows.any(|(_, row, _)| row.store_usable()))
    }

    /// Records that this controller handed over leadership, for the limit on handovers and the metrics.
    pub fn handed_over(&self, now: Instant) {
        self.handover_policy.lock().record_handover(now);
        self.handovers.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the limit on recent handovers is reached, so that this controller keeps its leadership.
    pub fn handover_limit_reached(&self, now: Instant) -> bool {
        self.handover_policy.lock().limit_reached(now)
    }

    /// The metrics of the links since the process started; `suppressed` counts the links that are
    /// suppressed now.
    pub fn metrics(&self, now: Instant) -> LinkMetrics {
        let (refused_for, suppressed) = {
            let table = self.table.lock();
            (table.gate_refused_for(now), table.suppressed_links().len())
        };
        LinkMetrics {
            rows_taken: self.rows_accepted.load(Ordering::Relaxed),
            rows_refused: self.rows_rejected.load(Ordering::Relaxed),
            gate_refused_s: refused_for.as_secs_f64(),
            suppressed,
            handovers: self.handovers.load(Ordering::Relaxed),
        }
    }

    /// Whether this controller should delay its campaign in favor of a better connected controller.
    pub fn should_yield(&self, now: Instant) -> bool {
        if !self.features.leadership {
            return false;
        }
        let own = self.own_row(None, now);
        HandoverPolicy::should_yield(&own, &self.matrix.lock(), now)
    }
}

fn log_changes(changes: &[LinkChange]) {
    for change in changes {
        let (link, transition) = (&change.link, &change.transition);
        let (from, to, suppressed) = (transition.from, transition.to, transition.suppressed);
        info!(%link, ?from, ?to, suppressed, "link state changed");
    }
}
