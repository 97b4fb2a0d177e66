//! The one owner of what this process knows of its links: to the state service, to the other
//! controllers and to the workers that report here.
//!
//! Contact with the state service and misdirected reports are judged always. Detection, damping, the
//! connectivity matrix and what hangs on them are there only if the features file turns them on.
//! Snapshots are read without a lock.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use knotlanding_links::contact::{Contact, PeerContactAnswer, PeerContacts, CONTACT_LOST};
use knotlanding_links::gate::{GateRefusal, GateVerdict};
use knotlanding_links::handover::{Decision, HandoverPolicy};
use knotlanding_links::link::DetectionParams;
use knotlanding_links::matrix::Matrix;
use knotlanding_links::misdirected::MisdirectedHeartbeats;
use knotlanding_links::row::{Row, RowMessage, RowRejection, RowReply};
use knotlanding_links::table::{LinkChange, LinkTable, RowStamp, StoreOperation};
use knotlanding_links::timing::LinkTiming;
use knotlanding_links::workers::worker_number;
use parking_lot::Mutex;
use tracing::{info, warn};

use crate::config::Settings;
use crate::features::LinkFeatures;
use crate::metrics::LinkMetrics;
use crate::time::secs;
use crate::time::unix_ms;
use crate::timing::leader_lease;
use crate::wire::Heartbeat;

/// Time between two rows.
pub const ROW_INTERVAL: Duration = Duration::from_secs(1);
/// Decisions on the lead that are remembered for operators.
const DECISIONS_KEPT: usize = 16;

/// What is judged always.
#[derive(Debug, Default)]
struct Evidence {
    contact: Contact,
    peer_contacts: PeerContacts,
    /// When a leader last told its digest.
    last_summary: Option<Instant>,
    misdirected: MisdirectedHeartbeats,
}

/// A decision on the lead, with its time.
#[derive(Debug, Clone)]
pub struct DecisionEntry {
    /// When it was made.
    pub at: Instant,
    /// The decision.
    pub decision: Decision,
}

/// What was decided last, for those who look often.
#[derive(Debug, Clone)]
pub struct LinkSnapshot {
    /// What the placement gate says.
    pub gate: GateVerdict,
    /// The latest decisions on the lead that differ from the one before, oldest first.
    pub decisions: VecDeque<DecisionEntry>,
}

/// Detection, damping and the connectivity matrix.
pub struct ActiveLinks {
    /// How they are judged.
    pub features: LinkFeatures,
    /// The links of this controller.
    pub table: Mutex<LinkTable>,
    /// The rows of the others.
    pub matrix: Mutex<Matrix>,
    leadership: Mutex<HandoverPolicy>,
    snapshot: ArcSwap<LinkSnapshot>,
    incarnation: AtomicU64,
    sequence: AtomicU64,
    /// Rows taken.
    pub rows_taken: AtomicU64,
    /// Rows refused.
    pub rows_refused: AtomicU64,
    handovers: AtomicU64,
}

/// The owner.
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
    /// Nothing is known yet.
    pub fn new(settings: &Settings, features: Option<LinkFeatures>) -> Self {
        let now = Instant::now();
        Self {
            evidence: Mutex::default(),
            active: features.map(|features| ActiveLinks::new(settings, features, now)),
        }
    }

    /// What the features file has turned on.
    pub fn active(&self) -> Option<&ActiveLinks> {
        self.active.as_ref()
    }

    /// A request to the state service, sent at `sent`, was answered.
    pub fn store_answered(&self, operation: StoreOperation, sent: Instant, now: Instant) {
        {
            let contact = &mut self.evidence.lock().contact;
            contact.answered = contact.answered.max(Some(sent));
            contact.failing_since = None;
        }
        if let Some(active) = &self.active {
            active.store(operation, sent, true, now);
        }
    }

    /// A request to the state service, sent at `sent`, failed.
    pub fn store_failed(&self, operation: StoreOperation, sent: Instant, now: Instant) {
        let contact = &mut self.evidence.lock().contact;
        contact.failing_since.get_or_insert(now);
        if let Some(active) = &self.active {
            active.store(operation, sent, false, now);
        }
    }

    /// Contact with the state service.
    pub fn contact(&self) -> Contact {
        self.evidence.lock().contact
    }

    /// The peers are asked whether they have the state service, while this process has not.
    pub fn peers_asked(&self, now: Instant) {
        self.evidence.lock().peer_contacts.probed(now);
    }

    /// A peer answered.
    pub fn peer_contact_answered(&self, answer: PeerContactAnswer, now: Instant) {
        self.evidence.lock().peer_contacts.record(answer, now);
    }

    /// What peers said counts no longer.
    pub fn forget_peer_contacts(&self) {
        self.evidence.lock().peer_contacts = PeerContacts::default();
    }

    /// A leader told its digest.
    pub fn summary_received(&self, now: Instant) {
        self.evidence.lock().last_summary = Some(now);
    }

    /// When a leader last told its digest.
    pub fn last_summary(&self) -> Option<Instant> {
        self.evidence.lock().last_summary
    }

    /// A node says how many reports it could neither answer nor forward so far.
    pub fn misdirected_counted(&self, member: &str, count: u64, now: Instant) {
        self.evidence
            .lock()
            .misdirected
            .record_count(member, count, now);
    }

    /// Whether many reports were misdirected lately.
    pub fn misdirected_lately(&self, now: Instant) -> bool {
        self.evidence.lock().misdirected.many_recently(now)
    }

    /// Whether this node can take requests as far as its links go; `has_peers` if it is not the only one.
    /// In an outage that all nodes share none is better than another, and all go on.
    pub fn fit_for_requests(&self, loaded: bool, has_peers: bool, now: Instant) -> bool {
        let lasts = |at: Instant| now.saturating_duration_since(at) <= CONTACT_LOST;
        let evidence = self.evidence.lock();
        let failing = evidence.contact.failing_since.is_some_and(|at| !lasts(at));
        let heard = evidence.last_summary;
        let peer_fine = heard.is_some_and(|at| now.saturating_duration_since(at) < CONTACT_LOST);
        let alone = has_peers && evidence.peer_contacts.isolated(now);
        (loaded && !failing) || !(peer_fine || alone)
    }

    /// Why nothing new may be placed, if the links are the reason. Read without a lock.
    pub fn placement_refusal(&self) -> Option<GateRefusal> {
        let active = self.active.as_ref()?;
        let refusal = active.snapshot.load().gate.refusal;
        refusal.filter(|_| active.features.placement_gate)
    }

    /// A worker's report came to this node, whoever decides it.
    pub fn worker_reported(&self, heartbeat: &Heartbeat, now: Instant) {
        if let Some(active) = &self.active {
            let number = worker_number(&heartbeat.machine);
            let newest = (heartbeat.epoch, heartbeat.sequence);
            active.table.lock().worker_heartbeat(number, newest, now);
        }
    }

    /// A worker's newest report was answered with 200 by this node.
    pub fn worker_answered(&self, machine: &str) {
        if let Some(active) = &self.active {
            active.table.lock().worker_answered(worker_number(machine));
        }
    }
}

impl ActiveLinks {
    fn new(settings: &Settings, features: LinkFeatures, now: Instant) -> Self {
        let timing = link_timing(settings);
        let judgement = DetectionParams {
            phi_down: features.detector_phi,
            damping: features.damping,
        };
        let others = || settings.known.iter().map(|peer| peer.member.clone());
        let table = LinkTable::new(&settings.member, others(), judgement, timing, now);
        let snapshot = LinkSnapshot {
            gate: table.gate(),
            decisions: VecDeque::new(),
        };
        Self {
            features,
            table: Mutex::new(table),
            matrix: Mutex::new(Matrix::new(others(), timing)),
            leadership: Mutex::new(HandoverPolicy::new(&timing, features.handovers_max)),
            snapshot: ArcSwap::from_pointee(snapshot),
            incarnation: AtomicU64::new(unix_ms(SystemTime::now())),
            sequence: AtomicU64::new(0),
            rows_taken: AtomicU64::new(0),
            rows_refused: AtomicU64::new(0),
            handovers: AtomicU64::new(0),
        }
    }

    /// What was decided last.
    pub fn snapshot(&self) -> Arc<LinkSnapshot> {
        self.snapshot.load_full()
    }

    fn store(&self, operation: StoreOperation, sent: Instant, succeeded: bool, now: Instant) {
        let (change, gate) = {
            let mut table = self.table.lock();
            let change = table.store(operation, sent, succeeded, now);
            (change, table.gate())
        };
        log_changes(change.as_slice());
        self.publish_gate(gate);
    }

    /// Looks at all links again.
    pub fn evaluate(&self, now: Instant) {
        let (changes, gate) = {
            let mut table = self.table.lock();
            (table.evaluate(now), table.gate())
        };
        log_changes(&changes);
        self.publish_gate(gate);
    }

    /// This process stood still; all links are looked at again.
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
        if self.snapshot.load().gate == gate {
            return;
        }
        match gate.refusal {
            Some(why) => warn!(%why, "no new placements"),
            None => info!("placements go on"),
        }
        self.snapshot.rcu(|before| LinkSnapshot {
            gate,
            ..LinkSnapshot::clone(before)
        });
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

    /// The row of this controller as it is now, for judging and showing it here.
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
                // Told of the newer life, a process whose clock is behind takes a higher one.
                if why != RowRejection::FormerIncarnation {
                    return Err(why);
                }
            }
        }
        let newest_incarnation = self.matrix.lock().newest_incarnation(&member);
        Ok(RowReply { newest_incarnation })
    }

    /// Whether a write of no consequence should show if transactions succeed: our own fail while we lead,
    /// or the leader lacks the state service and asks for somebody who has it.
    pub fn wants_probe(&self, leads: bool, now: Instant) -> bool {
        let own_fail = self.table.lock().store_write_down();
        (leads && own_fail) || self.matrix.lock().leader_lacks_store(now)
    }

    /// EventCounts a refused row, and logs it once.
    pub fn refuse_row(&self, member: &str, why: RowRejection) {
        self.rows_refused.fetch_add(1, Ordering::Relaxed);
        if self.matrix.lock().should_log_rejection(member, why) {
            warn!(member, %why, "row refused");
        }
    }

    /// A peer answered a row. It may know a higher life under our name than ours, if the time of day
    /// was ahead then; rows of a lower one would be refused for ever.
    pub fn row_answered(&self, reply: RowReply) {
        let incarnation = self.incarnation.load(Ordering::Relaxed);
        if reply.newest_incarnation > incarnation {
            info!("a former life has a higher number; taking one above it");
            self.incarnation
                .store(reply.newest_incarnation + 1, Ordering::Relaxed);
        }
    }

    /// What the matrix says of the lead, while this controller leads.
    pub fn decide_handover(&self, now: Instant) -> Decision {
        let own = self.own_row(None, now);
        let decision = {
            let matrix = self.matrix.lock();
            self.leadership.lock().decide(&own, &matrix, now)
        };
        let kind = std::mem::discriminant(&decision);
        let last = self.snapshot.load().decisions.back().cloned();
        let same = last.is_some_and(|last| std::mem::discriminant(&last.decision) == kind);
        if !same {
            info!(?decision, "decision on the lead");
            self.snapshot.rcu(|before| {
                let mut after = LinkSnapshot::clone(before);
                let decision = decision.clone();
                after
                    .decisions
                    .push_back(DecisionEntry { at: now, decision });
                if after.decisions.len() > DECISIONS_KEPT {
                    after.decisions.pop_front();
                }
                after
            });
        }
        decision
    }

    /// Whether any other controller's row says that it can use the state service; `None` if no row says
    /// anything.
    pub fn others_have_store(&self, now: Instant) -> Option<bool> {
        let matrix = self.matrix.lock();
        let mut rows = matrix.rows(now).peekable();
        rows.peek()?;
        Some(rows.any(|(_, row, _)| row.store_usable()))
    }

    /// The lead was handed over.
    pub fn handed_over(&self, now: Instant) {
        self.leadership.lock().handed_over(now);
        self.handovers.fetch_add(1, Ordering::Relaxed);
    }

    /// Whether the lead was handed over so often lately that it stays.
    pub fn handovers_exhausted(&self, now: Instant) -> bool {
        self.leadership.lock().exhausted(now)
    }

    /// EventCounts for operators.
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
        info!(%link, ?from, ?to, suppressed, "link");
    }
}
