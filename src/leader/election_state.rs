//! The state of the election as this process knows it.

use std::time::{Duration, Instant};

use super::{HeldLease, LeaderHint, Leadership, ReplicaFreshness, Role};
use crate::config::Settings;
use crate::model::Term;
use crate::store::keys::LeaderRecord;
use crate::timing::{
    heartbeat_staleness_limit, keep_alive_limit, leader_lease, start_staleness_limit,
    timeout_factor,
};

/// Subtracted from the own view of the lease: for drift of the clocks, and for the time between a
/// look at the clock and the action that follows.
pub(super) const LEADER_LEASE_MARGIN: Duration = Duration::from_millis(150);
/// How long a controller that handed over does not campaign, so that the others go first. If none of
/// them is able to lead, the cluster has no leader for that long.
const ELECTION_BACKOFF: Duration = Duration::from_secs(5);

/// Everything that decides the role of this process.
#[derive(Debug)]
pub struct ElectionState {
    pub(super) member: String,
    pub(super) leader_lease: Duration,
    pub(super) start_staleness_limit: Duration,
    pub(super) keep_alive_limit: Duration,
    pub(super) heartbeat_staleness_limit: Duration,
    freshness: ReplicaFreshness,
    /// Since when the lease has been renewed without a gap.
    renewed_without_gap_since: Option<Instant>,
    /// The lease under which this process campaigns or leads.
    lease: Option<HeldLease>,
    leadership: Option<Leadership>,
    /// The leader by the replica.
    recorded_leader: Option<LeaderRecord>,
    /// The leader of the highest term that announced itself to this process.
    announced_leader: Option<LeaderHint>,
    backoff_until: Option<Instant>,
}

impl ElectionState {
    /// A follower that knows of no leader.
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

    /// What this process may do now.
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

    /// The leader of the highest term that this process knows of, unless that is itself.
    fn leader_hint(&self) -> Option<LeaderHint> {
        let recorded = self.recorded_leader.as_ref().map(|record| LeaderHint {
            term: record.term,
            member: record.member.clone(),
        });
        let announced = self.announced_leader.clone();
        let newest = recorded.into_iter().chain(announced).max();
        newest.filter(|leader| leader.member != self.member)
    }

    /// The leadership, while it lasts.
    pub fn leadership(&self, now: Instant) -> Option<Leadership> {
        match self.role(now) {
            Role::Leader(leadership) => Some(leadership),
            Role::KeepAlive(_) | Role::Follower(_) => None,
        }
    }

    /// The leadership, if starts may be decided and sent under it.
    pub fn leadership_for_starts(&self, now: Instant) -> Option<Leadership> {
        self.leadership(now)
            .filter(|_| self.replica_allows_starts(now))
    }

    /// The staleness bound of the replica.
    pub fn freshness(&mut self) -> &mut ReplicaFreshness {
        &mut self.freshness
    }

    /// Whether a read is needed at once: the leadership lasts by its lease, and only the staleness of
    /// the replica forbids starts.
    pub fn needs_confirming_read(&self, now: Instant) -> bool {
        self.leads_by_lease(now) && !self.replica_allows_starts(now)
    }

    fn replica_allows_starts(&self, now: Instant) -> bool {
        self.freshness
            .allows_starts(self.start_staleness_limit, now)
    }

    /// Whether this process should hand over since renewals succeed and reads fail. That is the case
    /// after half of the time for which a stale replica still allows heartbeats to be answered, so
    /// that workers reach another controller before their leases expire.
    pub fn replica_too_stale_to_lead(&self, now: Instant) -> bool {
        let limit = self.heartbeat_staleness_limit / 2;
        let renewed_for_long = self
            .renewed_without_gap_since
            .is_some_and(|at| now.saturating_duration_since(at) > limit);
        self.leads_by_lease(now) && renewed_for_long && !self.freshness.within(limit, now)
    }

    fn leads_by_lease(&self, now: Instant) -> bool {
        let limit = self.leader_lease - LEADER_LEASE_MARGIN;
        self.leadership.is_some() && self.lease.is_some_and(|lease| lease.age(now) < limit)
    }

    /// The term in which this process leads, whether its lease has expired or not.
    pub fn own_term(&self) -> Option<Term> {
        self.leadership.as_ref().map(|leadership| leadership.term)
    }

    /// The lease under which this process campaigns or leads.
    pub fn lease(&self) -> Option<HeldLease> {
        self.lease
    }

    /// Whether that lease is held.
    pub fn holds_lease(&self, id: u64) -> bool {
        self.lease.is_some_and(|lease| lease.id() == id)
    }

    /// A lease was granted by a request that was sent at `sent`.
    pub fn hold_lease(&mut self, id: u64, sent: Instant) {
        self.lease = Some(HeldLease::new(id, sent));
    }

    /// The lease was renewed by a request that was sent at `sent`.
    pub fn lease_renewed(&mut self, id: u64, sent: Instant) {
        let Some(lease) = self.lease.as_mut().filter(|lease| lease.id() == id) else {
            return;
        };
        let gap = lease.age(sent) >= self.leader_lease - LEADER_LEASE_MARGIN;
        lease.renew(sent);
        if gap || self.renewed_without_gap_since.is_none() {
            self.renewed_without_gap_since = Some(sent);
        }
    }

    /// Begins to lead, once the replica shows the own record and the cluster state is recovered.
    pub fn become_leader(&mut self, leadership: Leadership) {
        self.leadership = Some(leadership);
        self.renewed_without_gap_since = None;
    }

    /// Ends the leadership and gives up the lease, which the caller may revoke in the store. Without
    /// its lease a leadership has no end by the clock, so that neither is ended alone from outside.
    pub fn step_down(&mut self) -> Option<HeldLease> {
        self.leadership = None;
        self.lease.take()
    }

    /// Starts the election backoff, so that other controllers campaign first.
    pub fn start_backoff(&mut self, now: Instant) {
        self.backoff_until = Some(now + ELECTION_BACKOFF);
    }

    /// Whether the election backoff lasts.
    pub fn in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Takes the leader's record from the replica. Returns whether the own leadership was lost by it.
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

    /// Takes what a leader announces of itself.
    pub fn observe_leader(&mut self, term: Term, member: &str) {
        let newest = self.announced_leader.as_ref();
        if newest.is_none_or(|newest| term >= newest.term) {
            let member = member.to_owned();
            self.announced_leader = Some(LeaderHint { term, member });
        }
    }

    /// Whether a leader's record is that of this process, under the lease that it holds.
    pub fn is_own_record(&self, record: &LeaderRecord) -> bool {
        record.member == self.member && self.holds_lease(record.lease)
    }
}
