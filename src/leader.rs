//! Election, term, and what this process may do at a given moment.
//!
//! Pure state: the leader actor feeds it what the state service and the other nodes said, the
//! handlers ask [`ElectionState::role`].

use std::time::{Duration, Instant};

use crate::config::Settings;
use crate::model::Term;
use crate::store::keys::LeaderRecord;
use crate::timing::{answering, keep_alive_time, lease_time, slowness, start_freshness};

/// Taken off our side of the lease: drift of the clocks and the time between looking at the
/// clock and acting.
const MARGIN: Duration = Duration::from_millis(150);
/// How long a node that gave up its lead lets the others go first. Should none of them be able
/// to lead, this is what it costs.
const ELECTION_BACKOFF: Duration = Duration::from_secs(5);
/// How complete this process's replica is. The only owner of that fact: whatever was confirmed to
/// anybody before the newest read that was answered is in the replica, and in the cluster state made from it.
///
/// Renewals of the lease prove nothing of the replica. A state service that refuses this node
/// alone, and then everybody, gives every lease its full time again: an old leader then finds
/// itself leading, with a replica as old as the refusal.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReplicaFreshness {
    /// When the newest read was sent whose answer was taken whole.
    complete_at: Option<Instant>,
    /// When a request last failed.
    doubted_at: Option<Instant>,
}

impl ReplicaFreshness {
    /// A read that was sent then was answered, and all of the answer is in.
    pub fn proved(&mut self, sent: Instant) {
        self.complete_at = self.complete_at.max(Some(sent));
    }

    /// A request failed: contact may be lost from before then on.
    pub fn doubt(&mut self, now: Instant) {
        self.doubted_at = self.doubted_at.max(Some(now));
    }

    /// Whether the replica is complete up to less than `limit` ago.
    pub fn within(&self, limit: Duration, now: Instant) -> bool {
        self.complete_at
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    /// Whether it is good enough for starts: proved since contact last failed, and not longer ago
    /// than `limit`.
    pub fn allows_starts(&self, limit: Duration, now: Instant) -> bool {
        self.complete_at > self.doubted_at && self.within(limit, now)
    }
}

/// What this process may do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// Everything.
    Leader(Leadership),
    /// Only keep the workers' leases alive and stop tasks: no starts. The lease is over as far as
    /// we can tell, and whoever may lead instead can't have asked for more than time allows.
    KeepAlive(Term),
    /// Nothing; that node may.
    Follower(Option<LeaderHint>),
}

/// Another node that leads, as far as this one knows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaderHint {
    /// Its term.
    pub term: Term,
    /// Its name.
    pub member: String,
}

/// A term of our own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leadership {
    /// The term.
    pub term: Term,
    /// Version of the leader's key; every write of ours is conditional on it.
    pub version: u64,
}

/// Our lease in the state service.
#[derive(Debug, Clone, Copy)]
pub struct HeldLease {
    /// Its id.
    pub id: u64,
    /// When the last renewal that succeeded was sent.
    pub renewed: Instant,
}

/// All that decides this process's standing.
#[derive(Debug)]
pub struct ElectionState {
    me: String,
    lease_time: Duration,
    start_freshness: Duration,
    keep_alive: Duration,
    answering: Duration,
    freshness: ReplicaFreshness,
    /// Since when our lease has been renewed without a gap.
    held_since: Option<Instant>,
    /// Our lease, if we hold or seek one.
    pub lease: Option<HeldLease>,
    leadership: Option<Leadership>,
    known: Option<LeaderRecord>,
    /// Newest leader that told us of itself.
    heard: Option<LeaderHint>,
    /// Gave up a lead that was of no use, and leaves it to others until then.
    backoff_until: Option<Instant>,
}

impl ElectionState {
    /// A follower of nobody.
    pub fn new(settings: &Settings) -> Self {
        Self {
            me: settings.member.clone(),
            lease_time: lease_time(settings),
            start_freshness: start_freshness(slowness(settings)),
            keep_alive: keep_alive_time(settings),
            answering: answering(settings),
            freshness: ReplicaFreshness::default(),
            held_since: None,
            lease: None,
            leadership: None,
            known: None,
            heard: None,
            backoff_until: None,
        }
    }

    /// What this process may do now.
    pub fn role(&self, now: Instant) -> Role {
        if let (Some(leadership), Some(lease)) = (&self.leadership, &self.lease) {
            let newer = self
                .heard
                .as_ref()
                .filter(|heard| heard.term > leadership.term);
            let since = now.saturating_duration_since(lease.renewed);
            if let Some(newer) = newer {
                return Role::Follower(Some(newer.clone()));
            }
            if !self.freshness.within(self.answering, now) {
                return Role::Follower(None);
            }
            if since < self.lease_time - MARGIN {
                return Role::Leader(leadership.clone());
            }
            if since < self.lease_time + self.keep_alive {
                return Role::KeepAlive(leadership.term);
            }
            return Role::Follower(None);
        }
        let recorded = self.known.as_ref().map(|record| LeaderHint {
            term: record.term,
            member: record.member.clone(),
        });
        let newest = recorded.into_iter().chain(self.heard.clone()).max();
        Role::Follower(newest.filter(|leader| leader.member != self.me))
    }

    /// The lead, while it lasts.
    pub fn leadership(&self, now: Instant) -> Option<Leadership> {
        match self.role(now) {
            Role::Leader(leadership) => Some(leadership),
            _ => None,
        }
    }

    /// The lead, if starts may be decided and sent under it.
    pub fn leadership_for_starts(&self, now: Instant) -> Option<Leadership> {
        self.leadership(now)
            .filter(|_| self.freshness.allows_starts(self.start_freshness, now))
    }

    /// How complete the replica is.
    pub fn freshness(&mut self) -> &mut ReplicaFreshness {
        &mut self.freshness
    }

    /// Whether a read is wanted at once: the lead lasts by its lease, and only the replica's age
    /// keeps it from being of use.
    pub fn requires_read(&self, now: Instant) -> bool {
        self.leading_by_lease(now) && !self.freshness.allows_starts(self.start_freshness, now)
    }

    /// Time of our leases.
    pub fn lease_time(&self) -> Duration {
        self.lease_time
    }

    /// Our lease was renewed by a request sent then.
    pub fn renewed(&mut self, id: u64, sent: Instant) {
        if self.lease.is_none_or(|lease| lease.id != id) {
            return;
        }
        let Some(lease) = &mut self.lease else {
            return;
        };
        let gap = sent.saturating_duration_since(lease.renewed) >= self.lease_time - MARGIN;
        // Answers may come in another order than the renewals were sent.
        lease.renewed = lease.renewed.max(sent);
        if gap || self.held_since.is_none() {
            self.held_since = Some(sent);
        }
    }

    /// Whether we keep a lead that is of no use, since renewals succeed and reads don't: for half
    /// of the time for which an old replica still lets us answer reports, so that workers get to
    /// another node before their leases end.
    pub fn reads_nothing(&self, now: Instant) -> bool {
        let long_held = self
            .held_since
            .is_some_and(|at| now.saturating_duration_since(at) > self.answering / 2);
        self.leading_by_lease(now) && long_held && !self.freshness.within(self.answering / 2, now)
    }

    fn leading_by_lease(&self, now: Instant) -> bool {
        let lasts = self.lease_time - MARGIN;
        let held = |lease: &HeldLease| now.saturating_duration_since(lease.renewed) < lasts;
        self.leadership.is_some() && self.lease.as_ref().is_some_and(held)
    }

    /// The term of our lead, lasting or not.
    pub fn own_term(&self) -> Option<Term> {
        self.leadership.as_ref().map(|leadership| leadership.term)
    }

    /// Takes the lead, once the records show it and the cluster state is made.
    pub fn take(&mut self, leadership: Leadership) {
        self.leadership = Some(leadership);
        self.held_since = None;
    }

    /// Leaves the lead to others for a while; they go first as long as there are any.
    pub fn back_off(&mut self, now: Instant) {
        self.backoff_until = Some(now + ELECTION_BACKOFF);
    }

    /// Whether it is left to others.
    pub fn in_backoff(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Gives the lead up, for good as far as this term goes.
    pub fn step_down(&mut self) {
        self.leadership = None;
    }

    /// Takes what the records say of the leader. Whether we lost a lead by it.
    pub fn records_say(&mut self, record: Option<&LeaderRecord>) -> bool {
        self.known = record.cloned();
        let still = match (&self.leadership, record) {
            (Some(leadership), Some(record)) => {
                record.member == self.me && record.term == leadership.term
            }
            (Some(_), None) => false,
            (None, _) => true,
        };
        if !still {
            self.leadership = None;
        }
        !still
    }

    /// Takes what a leading node says of itself.
    pub fn hears(&mut self, term: Term, member: &str) {
        if self.heard.as_ref().is_none_or(|newest| term >= newest.term) {
            let member = member.to_owned();
            self.heard = Some(LeaderHint { term, member });
        }
    }

    /// Whether the lead on record is ours, under the lease we hold.
    pub fn record_is_ours(&self, record: &LeaderRecord) -> bool {
        record.member == self.me && self.lease.is_some_and(|lease| lease.id == record.lease)
    }
}

#[cfg(test)]
mod tests;
