//! The election state of this process: its lease, its leadership, and the leaders it has observed.

use std::time::{Duration, Instant};

use super::{HeldLease, LeaderHint, Leadership, ReplicaFreshness, Role};
use crate::config::Settings;
use crate::model::Term;
use crate::store::keys::LeaderRecord;
use crate::timing::{
    heartbeat_staleness_limit, keep_alive_limit, leader_lease, start_staleness_limit,
    timeout_factor,
};

/// Subtracted from the lease duration when this process checks its own lease. It covers clock drift and
/// the time between a clock reading and the action that follows.
pub(super) const LEADER_LEASE_MARGIN: Duration = Duration::from_millis(150);
/// Time for which a controller that handed over does not campaign, so that the other controllers campaign
/// first. If none of them can lead, the cluster has no leader for this time.
const ELECTION_BACKOFF: Duration = Duration::from_secs(5);

/// The state from which [`role`](Self::role) derives the role of this process.
#[derive(Debug)]
pub struct ElectionState {
    pub(super) member: String,
    pub(super) leader_lease: Duration,
    pub(super) start_staleness_limit: Duration,
    pub(super) keep_alive_limit: Duration,
    pub(super) heartbeat_staleness_limit: Duration,
    freshness: ReplicaFreshness,
    /// When the first successful renewal since the lease last expired, by the clock of this process, was
    /// sent. `None` until the first renewal of a leadership.
    renewed_without_gap_since: Option<Instant>,
    /// The lease under which this process campaigns or leads.
    lease: Option<HeldLease>,
    leadership: Option<Leadership>,
    /// The leader's record in the replica.
    recorded_leader: Option<LeaderRecord>,
    /// The leader with the highest term among those that announced themselves to this process.
    announced_leader: Option<LeaderHint>,
    backoff_until: Option<Instant>,
}

impl ElectionState {
    /// Creates the state of a follower that has observed no leader.
    pub fn new(settings: &Settings) -> Self {
        Self {
            member: settings.member.clone(),
            leader_lease: leader_lease(settings),
            start_staleness_limit: start_staleness_limit(timeout_factor(settings)),
            keep_alive_limit: keep_alive_limit(settings),
            heartbeat_staleness_limit: heartbeat_staleness_limit(settings),
            freshness: ReplicaFreshness::default(),
            renewed_without_gap_since: None,
            lease: None,
            leadership: None,
            recorded_leader: None,
            announced_leader: None,
            backoff_until: None,
        }
    }

    /// The role at `now`. It also changes without an event, as time passes, so that callers must query it for
    /// each action.
    pub fn role(&self, now: Instant) -> Role {
        match (&self.leadership, &self.lease) {
            (Some(leadership), Some(lease)) => self.role_in_own_term(leadership, lease, now),
            _ => Role::Follower(self.leader_hint()),
        }
    }

    fn role_in_own_term(&self, leadership: &Leadership, lease: &HeldLease, now: Instant) -> Role {
        let newer_leader = self
            .announced_leader
            .as_ref()
            .filter(|announced| announced.term > leadership.term);
        if let Some(newer_leader) = newer_leader {
            return Role::Follower(Some(newer_leader.clone()));
        }
        if !self.freshness.within(self.heartbeat_staleness_limit, now) {
            return Role::Follower(None);
        }
        let age = lease.age(now);
        if age < self.leader_lease - LEADER_LEASE_MARGIN {
            return Role::Leader(leadership.clone());
        }
        if age < self.leader_lease + self.keep_alive_limit {
            return Role::KeepAlive(leadership.term);
        }
        Role::Follower(None)
    }

    /// The observed leader with the highest term; `None` if there is none or it is this process.
    fn leader_hint(&self) -> Option<LeaderHint> {
        let recorded = self.recorded_leader.as_ref().map(|record| LeaderHint {
            term: record.term,
            member: record.member.clone(),
        });
        let announced = self.announced_leader.clone();
        let newest = recorded.into_iter().chain(announced).max();
        newest.filter(|leader| leader.member != self.member)
    }

    /// The leadership, if the role at `now` is [`Role::Leader`].
    pub fn leadership(&self, now: Instant) -> Option<Leadership> {
        match self.role(now) {
            Role::Leader(leadership) => Some(leadership),
            Role::KeepAlive(_) | Role::Follower(_) => None,
        }
    }

    /// The leadership, if the replica is also fresh enough to decide and send starts.
    pub fn leadership_for_starts(&self, now: Instant) -> Option<Leadership> {
        self.leadership(now)
            .filter(|_| self.replica_allows_starts(now))
    }

    /// The staleness bound of the replica, for recording confirmations and failures.
    pub fn freshness(&mut self) -> &mut ReplicaFreshness {
        &mut self.freshness
    }

    /// Whether a read is needed at once: this process leads under an unexpired lease, and only the
    /// staleness of the replica forbids starts.
    pub fn needs_confirming_read(&self, now: Instant) -> bool {
        self.leads_by_lease(now) && !self.replica_allows_starts(now)
    }

    fn replica_allows_starts(&self, now: Instant) -> bool {
        self.freshness
            .allows_starts(self.start_staleness_limit, now)
    }

    /// Whether this process should hand over because renewals succeed while reads fail. This holds once both
    /// have lasted for half of the staleness limit for heartbeats, so that agents reach another controller
    /// before the worker leases expire.
    pub fn replica_too_stale_to_lead(&self, now: Instant) -> bool {
        let limit = self.heartbeat_staleness_limit / 2;
        let renewed_beyond_limit = self
            .renewed_without_gap_since
            .is_some_and(|at| now.saturating_duration_since(at) > limit);
        self.leads_by_lease(now) && renewed_beyond_limit && !self.freshness.within(limit, now)
    }

    fn leads_by_lease(&self, now: Instant) -> bool {
        let limit = self.leader_lease - LEADER_LEASE_MARGIN;
        self.leadership.is_some() && self.lease.is_some_and(|lease| lease.age(now) < limit)
    }

    /// The term of the leadership, even if its lease has expired. `None` if this process does not lead.
    pub fn own_term(&self) -> Option<Term> {
        self.leadership.as_ref().map(|leadership| leadership.term)
    }

    /// The lease under which this process campaigns or leads; it may have expired.
    pub fn lease(&self) -> Option<HeldLease> {
        self.lease
    }

    /// Whether this process campaigns or leads under the lease with this id.
    pub fn holds_lease(&self, id: u64) -> bool {
        self.lease.is_some_and(|lease| lease.id() == id)
    }

    /// Records a lease that was granted by a request sent at `sent_at`.
    pub fn hold_lease(&mut self, id: u64, sent_at: Instant) {
        self.lease = Some(HeldLease::new(id, sent_at));
    }

    /// Records that a renewal sent at `sent_at` succeeded. Renewals of any other lease are ignored.
    pub fn lease_renewed(&mut self, id: u64, sent_at: Instant) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.id() == id) else {
            return;
        };
        let had_expired = lease.age(sent_at) >= self.leader_lease - LEADER_LEASE_MARGIN;
        lease.renew(sent_at);
        if had_expired || self.renewed_without_gap_since.is_none() {
            self.renewed_without_gap_since = Some(sent_at);
        }
    }

    /// Starts a leadership. The caller must have observed this process's leader record in the replica and
    /// recovered the cluster state.
    pub fn become_leader(&mut self, leadership: Leadership) {
        self.leadership = Some(leadership);
        self.renewed_without_gap_since = None;
    }

    /// Ends the leadership and returns the lease, which the caller may revoke in the store. Both end
    /// together, since a leadership without a lease would have no time at which it expires.
    pub fn step_down(&mut self) -> Option<HeldLease> {
        self.leadership = None;
        self.lease.take()
    }

    /// Starts the election backoff, so that other controllers campaign first.
    pub fn start_backoff(&mut self, now: Instant) {
        self.backoff_until = Some(now + ELECTION_BACKOFF);
    }

    /// Whether this process must not campaign at `now`.
    pub fn in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Applies the leader's record from the replica. A leadership that the record does not confirm ends;
    /// returns whether one ended.
    pub fn observe_leader_record(&mut self, record: Option<&LeaderRecord>) -> bool {
        self.recorded_leader = record.cloned();
        let Some(leadership) = &self.leadership else {
            return false;
        };
        let confirmed = record
            .is_some_and(|record| record.member == self.member && record.term == leadership.term);
        if !confirmed {
            self.leadership = None;
        }
        !confirmed
    }

    /// Records a leader that announced itself, unless one with a higher term has done so.
    pub fn observe_leader(&mut self, term: Term, member: &str) {
        let newest = self.announced_leader.as_ref();
        if newest.is_none_or(|newest| term >= newest.term) {
            let member = member.to_owned();
            self.announced_leader = Some(LeaderHint { term, member });
        }
    }

    /// Whether this process wrote a leader's record under its present lease.
    pub fn is_own_record(&self, record: &LeaderRecord) -> bool {
        record.member == self.member && self.holds_lease(record.lease)
    }
}
