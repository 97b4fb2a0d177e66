//! Election, term, and what this process may do at a given moment.
//!
//! Pure state: the leader actor feeds it what the state service and the other nodes said, the
//! handlers ask [`Role::standing`].

use std::time::{Duration, Instant};

use crate::config::Settings;
use crate::model::Term;
use crate::store::actor::{WATCH_GRACE, WATCH_HOLD};
use crate::store::keys::LeaderRecord;

/// Time of the leader's lease: short enough that a crash is hardly noticed, long enough that
/// a slow answer of the state service or a late timer costs no leadership.
pub const LEASE: Duration = Duration::from_secs(3);
/// Time between renewals: three may fail before the lease does.
pub const RENEW_EVERY: Duration = Duration::from_millis(700);
/// Taken off our side of the lease: drift of the clocks and the time between looking at the
/// clock and acting.
const MARGIN: Duration = Duration::from_millis(150);
/// How long a node that gave up its lead lets the others go first. Should none of them be able
/// to lead, this is what it costs.
const STAND_BACK: Duration = Duration::from_secs(5);
/// Kept free of a cancellation's time when we answer reports without leading.
const CARETAKE_MARGIN: Duration = Duration::from_secs(2);

/// How long after its lease a leader goes on answering reports. A job may have been cancelled,
/// unseen by it, since just before the last contact; its tasks must be gone `cancel_s` later, and
/// they live up to a lease after an answer.
pub fn caretaking(settings: &Settings) -> Duration {
    let w = &settings.params.workers;
    let stale = WATCH_HOLD + WATCH_GRACE + CARETAKE_MARGIN;
    crate::config::secs(w.cancel_s - w.lease_s).saturating_sub(stale)
}

/// What this process may do now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// Everything.
    Lead(Lead),
    /// Only keep the workers' leases alive: no starts. The state service can't be reached, and
    /// whoever may lead instead can't have asked for more than time allows.
    Caretake(Term),
    /// Nothing; that node may.
    Follow(Option<String>),
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
    caretake: Duration,
    /// Our lease, if we hold or seek one.
    pub lease: Option<OwnLease>,
    lead: Option<Lead>,
    known: Option<LeaderRecord>,
    /// Newest leader that told us of itself.
    heard: Option<(Term, String)>,
    /// Gave up a lead that was of no use, and leaves it to others until then.
    stands_back_until: Option<Instant>,
}

impl Role {
    /// A follower of nobody.
    pub fn new(settings: &Settings) -> Self {
        Self {
            me: settings.member.clone(),
            caretake: caretaking(settings),
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
            let newer = self.heard.as_ref().filter(|(term, _)| *term > lead.term);
            let since = now.saturating_duration_since(lease.renewed);
            if let Some((_, member)) = newer {
                return Standing::Follow(Some(member.clone()));
            }
            if since < LEASE - MARGIN {
                return Standing::Lead(lead.clone());
            }
            if since < LEASE + self.caretake {
                return Standing::Caretake(lead.term);
            }
            return Standing::Follow(None);
        }
        let known = self.known.as_ref().map(|r| (r.term, r.member.clone()));
        let newest = known.into_iter().chain(self.heard.clone()).max();
        let other = newest.map(|(_, member)| member);
        Standing::Follow(other.filter(|member| *member != self.me))
    }

    /// The lead, while it lasts.
    pub fn leading(&self, now: Instant) -> Option<Lead> {
        match self.standing(now) {
            Standing::Lead(lead) => Some(lead),
            _ => None,
        }
    }

    /// The term of our lead, lasting or not.
    pub fn own_term(&self) -> Option<Term> {
        self.lead.as_ref().map(|lead| lead.term)
    }

    /// Takes the lead, once the records show it and the picture is made.
    pub fn take(&mut self, lead: Lead) {
        self.lead = Some(lead);
    }

    /// Leaves the lead to others for a while; they go first as long as there are any.
    pub fn stand_back(&mut self, now: Instant) {
        self.stands_back_until = Some(now + STAND_BACK);
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
        if self
            .heard
            .as_ref()
            .is_none_or(|(newest, _)| term >= *newest)
        {
            self.heard = Some((term, member.to_owned()));
        }
    }

    /// Whether the lead on record is ours, under the lease we hold.
    pub fn record_is_ours(&self, record: &LeaderRecord) -> bool {
        record.member == self.me && self.lease.is_some_and(|lease| lease.id == record.lease)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn role(now: Instant) -> Role {
        let mut role = Role {
            me: "knot-0".to_owned(),
            caretake: Duration::from_secs(10),
            lease: Some(OwnLease {
                id: 7,
                renewed: now,
            }),
            lead: None,
            known: None,
            heard: None,
            stands_back_until: None,
        };
        role.take(Lead {
            term: Term(4),
            version: 40,
        });
        role
    }

    #[test]
    fn a_lead_ends_before_the_lease_and_is_followed_by_caretaking_for_a_while() {
        let now = Instant::now();
        let role = role(now);
        assert!(matches!(role.standing(now), Standing::Lead(_)));
        let almost = now + LEASE - MARGIN;
        assert_eq!(role.standing(almost), Standing::Caretake(Term(4)));
        let late = now + LEASE + Duration::from_secs(10);
        assert_eq!(role.standing(late), Standing::Follow(None));
    }

    #[test]
    fn a_newer_leader_that_makes_itself_known_ends_a_lead_that_is_cut_off_from_the_records() {
        let now = Instant::now();
        let mut role = role(now);
        role.hears(Term(3), "knot-1");
        assert!(matches!(role.standing(now), Standing::Lead(_)));
        role.hears(Term(5), "knot-2");
        let expected = Standing::Follow(Some("knot-2".to_owned()));
        assert_eq!(role.standing(now), expected);
    }

    #[test]
    fn a_record_of_another_lease_is_not_ours_even_under_our_name() {
        let now = Instant::now();
        let mut role = role(now);
        let record = LeaderRecord {
            member: "knot-0".to_owned(),
            address: String::new(),
            term: Term(5),
            lease: 8,
        };
        assert!(!role.record_is_ours(&record));
        assert!(role.records_say(Some(&record)), "the old lead is lost");
        assert_eq!(role.standing(now), Standing::Follow(None));
    }
}
