//! Election, term, and what this process may do at a given moment.
//!
//! Pure state: the leader actor feeds it what the state service and the other nodes said, the
//! handlers ask [`Role::standing`].

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
pub struct Freshness {
    /// When the newest read was sent whose answer was taken whole.
    complete_at: Option<Instant>,
    /// When a request last failed.
    doubted_at: Option<Instant>,
}

impl Freshness {
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
pub enum Standing {
    /// Everything.
    Lead(Lead),
    /// Only keep the workers' leases alive and stop tasks: no starts. The lease is over as far as
    /// we can tell, and whoever may lead instead can't have asked for more than time allows.
    KeepAlive(Term),
    /// Nothing; that node may.
    Follow(Option<KnownLeader>),
}

/// Another node that leads, as far as this one knows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownLeader {
    /// Its term.
    pub term: Term,
    /// Its name.
    pub member: String,
}

/// A term of our own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lead {
    /// The term.
    pub term: Term,
    /// Version of the leader's key; every write of ours is conditional on it.
    pub version: u64,
}

/// Our lease in the state service.
#[derive(Debug, Clone, Copy)]
pub struct OwnLease {
    /// Its id.
    pub id: u64,
    /// When the last renewal that succeeded was sent.
    pub renewed: Instant,
}

/// All that decides this process's standing.
#[derive(Debug)]
pub struct Role {
    me: String,
    lease_time: Duration,
    start_freshness: Duration,
    keep_alive: Duration,
    answering: Duration,
    freshness: Freshness,
    /// Since when our lease has been renewed without a gap.
    held_since: Option<Instant>,
    /// Our lease, if we hold or seek one.
    pub lease: Option<OwnLease>,
    lead: Option<Lead>,
    known: Option<LeaderRecord>,
    /// Newest leader that told us of itself.
    heard: Option<KnownLeader>,
    /// Gave up a lead that was of no use, and leaves it to others until then.
    stands_back_until: Option<Instant>,
}

impl Role {
    /// A follower of nobody.
    pub fn new(settings: &Settings) -> Self {
        Self {
            me: settings.member.clone(),
            lease_time: lease_time(settings),
            start_freshness: start_freshness(slowness(settings)),
            keep_alive: keep_alive_time(settings),
            answering: answering(settings),
            freshness: Freshness::default(),
            held_since: None,
            lease: None,
            lead: None,
            known: None,
            heard: None,
            stands_back_until: None,
        }
    }

    /// What this process may do now.
    pub fn standing(&self, now: Instant) -> Standing {
        if let (Some(lead), Some(lease)) = (&self.lead, &self.lease) {
            let newer = self.heard.as_ref().filter(|heard| heard.term > lead.term);
            let since = now.saturating_duration_since(lease.renewed);
            if let Some(newer) = newer {
                return Standing::Follow(Some(newer.clone()));
            }
            if !self.freshness.within(self.answering, now) {
                return Standing::Follow(None);
            }
            if since < self.lease_time - MARGIN {
                return Standing::Lead(lead.clone());
            }
            if since < self.lease_time + self.keep_alive {
                return Standing::KeepAlive(lead.term);
            }
            return Standing::Follow(None);
        }
        let recorded = self.known.as_ref().map(|record| KnownLeader {
            term: record.term,
            member: record.member.clone(),
        });
        let newest = recorded.into_iter().chain(self.heard.clone()).max();
        Standing::Follow(newest.filter(|leader| leader.member != self.me))
    }

    /// The lead, while it lasts.
    pub fn leading(&self, now: Instant) -> Option<Lead> {
        match self.standing(now) {
            Standing::Lead(lead) => Some(lead),
            _ => None,
        }
    }

    /// The lead, if starts may be decided and sent under it.
    pub fn starting(&self, now: Instant) -> Option<Lead> {
        self.leading(now)
            .filter(|_| self.freshness.allows_starts(self.start_freshness, now))
    }

    /// How complete the replica is.
    pub fn freshness(&mut self) -> &mut Freshness {
        &mut self.freshness
    }

    /// Whether a read is wanted at once: the lead lasts by its lease, and only the replica's age
    /// keeps it from being of use.
    pub fn wants_proof(&self, now: Instant) -> bool {
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
        let held = |lease: &OwnLease| now.saturating_duration_since(lease.renewed) < lasts;
        self.lead.is_some() && self.lease.as_ref().is_some_and(held)
    }

    /// The term of our lead, lasting or not.
    pub fn own_term(&self) -> Option<Term> {
        self.lead.as_ref().map(|lead| lead.term)
    }

    /// Takes the lead, once the records show it and the cluster state is made.
    pub fn take(&mut self, lead: Lead) {
        self.lead = Some(lead);
        self.held_since = None;
    }

    /// Leaves the lead to others for a while; they go first as long as there are any.
    pub fn stand_back(&mut self, now: Instant) {
        self.stands_back_until = Some(now + ELECTION_BACKOFF);
    }

    /// Whether it is left to others.
    pub fn stands_back(&self, now: Instant) -> bool {
        self.stands_back_until.is_some_and(|until| now < until)
    }

    /// Gives the lead up, for good as far as this term goes.
    pub fn drop_lead(&mut self) {
        self.lead = None;
    }

    /// Takes what the records say of the leader. Whether we lost a lead by it.
    pub fn records_say(&mut self, record: Option<&LeaderRecord>) -> bool {
        self.known = record.cloned();
        let still = match (&self.lead, record) {
            (Some(lead), Some(record)) => record.member == self.me && record.term == lead.term,
            (Some(_), None) => false,
            (None, _) => true,
        };
        if !still {
            self.lead = None;
        }
        !still
    }

    /// Takes what a leading node says of itself.
    pub fn hears(&mut self, term: Term, member: &str) {
        if self.heard.as_ref().is_none_or(|newest| term >= newest.term) {
            let member = member.to_owned();
            self.heard = Some(KnownLeader { term, member });
        }
    }

    /// Whether the lead on record is ours, under the lease we hold.
    pub fn record_is_ours(&self, record: &LeaderRecord) -> bool {
        record.member == self.me && self.lease.is_some_and(|lease| lease.id == record.lease)
    }
}

#[cfg(test)]
mod tests;
