//! Detection, damping, the connectivity matrix and handover decisions, where links are turned on.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use knotlanding_links::gate::{GateRefusal, GateVerdict};
use knotlanding_links::handover::{Decision, HandoverPolicy};
use knotlanding_links::link::DetectionParams;
use knotlanding_links::matrix::Matrix;
use knotlanding_links::row::{Row, RowMessage, RowRejection, RowReply};
use knotlanding_links::table::{LinkChange, LinkTable, RowStamp, StoreOperation};
use parking_lot::Mutex;
use tracing::{info, warn};

use super::link_timing;
use super::snapshot::{LinkSnapshot, PublishedSnapshot};
use crate::config::Settings;
use crate::features::LinkFeatures;
use crate::metrics::LinkMetrics;
use crate::time::unix_ms;

/// Detection, damping and the connectivity matrix.
pub struct ActiveLinks {
    /// The parameters of the judgement.
    pub features: LinkFeatures,
    /// The links of this controller.
    pub table: Mutex<LinkTable>,
    /// The rows of the other controllers.
    pub matrix: Mutex<Matrix>,
    leadership: Mutex<HandoverPolicy>,
    snapshot: PublishedSnapshot,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    /// Rows accepted.
    pub rows_taken: AtomicU64,
    /// Rows rejected.
    pub rows_refused: AtomicU64,
    handovers: AtomicU64,
}

impl ActiveLinks {
    pub(super) fn new(settings: &Settings, features: LinkFeatures, now: Instant) -> Self {
        let timing = link_timing(settings);
        let judgement = DetectionParams {
            phi_down: features.detector_phi,
            damping: features.damping,
        };
        let others = || settings.peers.iter().map(|peer| peer.member.clone());
        let table = LinkTable::new(&settings.member, others(), judgement, timing, now);
        let snapshot = PublishedSnapshot::new(table.gate());
        Self {
            features,
            table: Mutex::new(table),
            matrix: Mutex::new(Matrix::new(others(), timing)),
            leadership: Mutex::new(HandoverPolicy::new(&timing, features.handovers_max)),
            snapshot,
            incarnation: AtomicU64::new(unix_ms(SystemTime::now())),
            sequence: AtomicU64::new(0),
            rows_taken: AtomicU64::new(0),
            rows_refused: AtomicU64::new(0),
            handovers: AtomicU64::new(0),
        }
    }

    /// Why the placement gate refuses new placements, if it does. Read without a lock.
    pub(super) fn placement_refusal(&self) -> Option<GateRefusal> {
        let refusal = self.snapshot.gate().refusal;
        refusal.filter(|_| self.features.placement_gate)
    }

    /// The latest decisions.
    pub fn snapshot(&self) -> Arc<LinkSnapshot> {
        self.snapshot.load_full()
    }

    pub(super) fn store(
        &self,
        operation: StoreOperation,
        sent: Instant,
        succeeded: bool,
        now: Instant,
    ) {
        let (change, gate) = {
            let mut table = self.table.lock();
            let change = table.store(operation, sent, succeeded, now);
            (change, table.gate())
        };
        log_changes(change.as_slice());
        self.publish_gate(gate);
    }

    /// Judges all links again.
    pub fn evaluate(&self, now: Instant) {
        let (changes, gate) = {
            let mut table = self.table.lock();
            (table.evaluate(now), table.gate())
        };
        log_changes(&changes);
        self.publish_gate(gate);
    }

    /// This process was paused; the links are judged anew.
    pub fn stood_still(&self, now: Instant) {
        self.table.lock().resume(now);
        self.leadership.lock().reset();
    }

    /// A request to a peer was answered or not.
    pub fn peer_asked(&self, member: &str, sent: Instant, answered: bool, now: Instant) {
        let change = self.table.lock().peer_request(member, sent, answered, now);
        log_changes(change.as_slice());
    }

    fn publish_gate(&self, gate: GateVerdict) {
        if !self.snapshot.set_gate(gate) {
            return;
        }
        match gate.refusal {
            Some(reason) => warn!(%reason, "placements suspended"),
            None => info!("placements resumed"),
        }
    }

    /// The row of this controller as it is now, numbered for sending.
    pub fn next_row(&self, leads_term: Option<u64>, now: Instant, wall: SystemTime) -> Row {
        let stamp = RowStamp {
            incarnation: self.incarnation.load(Ordering::Relaxed),
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            wall_ms: unix_ms(wall),
            leads_term,
        };
        self.table.lock().row(stamp, now)
    }

    /// The row of this controller as it is now, for use in this process.
    pub fn own_row(&self, leads_term: Option<u64>, now: Instant) -> Row {
        let stamp = RowStamp {
            incarnation: self.incarnation.load(Ordering::Relaxed),
            sequence: self.sequence.load(Ordering::Relaxed),
            wall_ms: 0,
            leads_term,
        };
        self.table.lock().row(stamp, now)
    }

    /// Takes another controller's row.
    pub fn take_row(
        &self,
        message: RowMessage,
        now: Instant,
        wall_ms: u64,
    ) -> Result<RowReply, RowRejection> {
        let member = message.member.clone();
        let taken = Row::check(message).and_then(|row| self.matrix.lock().take(row, now, wall_ms));
        match taken {
            Ok(()) => {
                self.rows_taken.fetch_add(1, Ordering::Relaxed);
                let change = self.table.lock().peer_row(&member, now);
                log_changes(change.as_slice());
            }
            Err(why) => {
                self.refuse_row(&member, why);
                // The reply names the newer incarnation: a process whose clock is behind takes a higher one.
                if why != RowRejection::FormerIncarnation {
                    return Err(why);
                }
            }
        }
        let newest_incarnation = self.matrix.lock().newest_incarnation(&member);
        Ok(RowReply { newest_incarnation })
    }

    /// Whether a write without effect should show if transactions succeed: those of this controller fail
    /// while it leads, or the leader has lost the key-value store and another node may have it.
    pub fn needs_write_probe(&self, leads: bool, now: Instant) -> bool {
        let own_fail = self.table.lock().store_write_down();
        (leads && own_fail) || self.matrix.lock().leader_lacks_store(now)
    }

    /// Counts a rejected row, and logs it once.
    pub fn refuse_row(&self, member: &str, why: RowRejection) {
        self.rows_refused.fetch_add(1, Ordering::Relaxed);
        if self.matrix.lock().should_log_rejection(member, why) {
            warn!(member, reason = %why, "row rejected");
        }
    }

    /// A peer answered a row. It may know a higher incarnation under this name, if the time of day was
    /// ahead then; rows of a lower incarnation would be rejected for ever.
    pub fn row_answered(&self, reply: RowReply) {
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

    /// The handover decision that follows from the matrix, while this controller leads.
    pub fn decide_handover(&self, now: Instant) -> Decision {
        let own = self.own_row(None, now);
        let decision = {
            let matrix = self.matrix.lock();
            self.leadership.lock().decide(&own, &matrix, now)
        };
        if self.snapshot.add_decision(&decision, now) {
            info!(?decision, "handover decision");
        }
        decision
    }

    /// Whether any other controller can use the key-value store, by its row; `None` without rows.
    pub fn others_have_store(&self, now: Instant) -> Option<bool> {
        let matrix = self.matrix.lock();
        let mut rows = matrix.rows(now).peekable();
        rows.peek()?;
        Some(rows.any(|(_, row, _)| row.store_usable()))
    }

    /// Leadership was handed over.
    pub fn handed_over(&self, now: Instant) {
        self.leadership.lock().handed_over(now);
        self.handovers.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether leadership was handed over so often lately that it stays.
    pub fn handovers_exhausted(&self, now: Instant) -> bool {
        self.leadership.lock().exhausted(now)
    }

    /// Counters for operators.
    pub fn metrics(&self, now: Instant) -> LinkMetrics {
        let (refused_for, suppressed) = {
            let table = self.table.lock();
            (table.gate_refused_for(now), table.suppressed().len())
        };
        LinkMetrics {
            rows_taken: self.rows_taken.load(Ordering::Relaxed),
            rows_refused: self.rows_refused.load(Ordering::Relaxed),
            gate_refused_s: refused_for.as_secs_f64(),
            suppressed,
            handovers: self.handovers.load(Ordering::Relaxed),
        }
    }

    /// Whether an election should be left to a better connected controller for a moment.
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
