//! The connectivity matrix: the newest row of every other controller, until it expires.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use crate::row::{Row, RowRejection};
use crate::timing::LinkTiming;
use crate::workers::WorkerSet;

/// A row with its time of arrival.
#[derive(Debug, Clone)]
struct Received {
    row: Row,
    at: Instant,
}

/// The rows of the other controllers.
#[derive(Debug)]
pub struct ConnectivityMatrix {
    timing: LinkTiming,
    rows: BTreeMap<String, Option<Received>>,
    /// Rejections logged since the sender's last accepted row.
    logged_rejections: HashSet<(String, RowRejection)>,
}

impl ConnectivityMatrix {
    /// A matrix without any row, for these other controllers.
    pub fn new(members: impl Iterator<Item = String>, timing: LinkTiming) -> Self {
        Self {
            timing,
            rows: members.map(|member| (member, None)).collect(),
            logged_rejections: HashSet::new(),
        }
    }

    /// Accepts a row that arrived at `now`, at the time of day `wall_ms`. A rejected row changes nothing.
    pub fn accept_row(&mut self, row: Row, now: Instant, wall_ms: u64) -> Result<(), RowRejection> {
        let message = &row.message;
        let Some(slot) = self.rows.get_mut(&message.member) else {
            return Err(RowRejection::UnknownMember);
        };
        if let Some(received) = slot {
            let known = &received.row.message;
            if message.incarnation < known.incarnation {
                return Err(RowRejection::FormerIncarnation);
            }
            if message.incarnation == known.incarnation && message.sequence <= known.sequence {
                return Err(RowRejection::NotNewer);
            }
        }
        let age = Duration::from_millis(wall_ms.saturating_sub(message.sent_at_ms));
        if age > self.timing.row_age_max() {
            return Err(RowRejection::TooOld);
        }
        let member = message.member.clone();
        *slot = Some(Received { row, at: now });
        self.logged_rejections
            .retain(|(sender, _)| *sender != member);
        Ok(())
    }

    /// Whether a rejection should be logged: once for each reason and sender until a row is accepted, and
    /// once for all unknown senders together.
    pub fn should_log_rejection(&mut self, member: &str, reason: RowRejection) -> bool {
        let known = self.rows.contains_key(member);
        let member = if known { member } else { "" };
        self.logged_rejections.insert((member.to_owned(), reason))
    }

    /// The highest incarnation of a member in an accepted row; 0 without one.
    pub fn newest_incarnation(&self, member: &str) -> u64 {
        let received = self.rows.get(member).and_then(Option::as_ref);
        received.map_or(0, |received| received.row.message.incarnation)
    }

    /// The row of a member, unless it is unknown or expired.
    pub fn row(&self, member: &str, now: Instant) -> Option<&Row> {
        let received = self.rows.get(member)?.as_ref()?;
        let age = now.saturating_duration_since(received.at);
        (age < self.timing.row_lifetime()).then_some(&received.row)
    }

    /// All rows that have not expired, with the time since their arrival.
    pub fn rows(&self, now: Instant) -> impl Iterator<Item = (&str, &Row, Duration)> {
        self.rows.iter().filter_map(move |(member, received)| {
            let row = self.row(member, now)?;
            let at = received.as_ref()?.at;
            Some((member.as_str(), row, now.saturating_duration_since(at)))
        })
    }

    /// Whether the row of a leader shows that it lacks the state service. The others then probe whether
    /// they have it, and publish that in their rows.
    pub fn leader_lacks_store(&self, now: Instant) -> bool {
        let mut leaders = self
            .rows(now)
            .filter(|(_, row, _)| row.message.leads_term.is_some());
        leaders.any(|(_, row, _)| !row.store_usable())
    }

    /// Maximum age of evidence in a row.
    pub fn evidence_age_max(&self) -> Duration {
        self.timing.row_lifetime()
    }

    /// The other controllers, with or without a row.
    pub fn members(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Workers whose heartbeats `member` would receive as the leader: those that send them to it, and those
    /// of every other controller that reaches it, since followers forward heartbeats. `own` is the row of this
    /// controller.
    pub fn workers_served_by(&self, member: &str, own: &Row, now: Instant) -> WorkerSet {
        let others = self.rows(now).map(|(_, row, _)| row);
        let mut served = WorkerSet::default();
        for row in others.chain(std::iter::once(own)) {
            if row.message.member == member || row.reaches(member) {
                served.union_with(&row.reporting_workers);
            }
        }
        served
    }
}

#[cfg(test)]
mod tests;
