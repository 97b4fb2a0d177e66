//! The connectivity matrix: the newest row of every other controller, until it expires.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use crate::row::{Row, RowRejection};
use crate::timing::LinkTiming;
use crate::workers::WorkerSet;

#[derive(Debug, Clone)]
struct ReceivedRow {
    row: Row,
    received_at: Instant,
}

/// The rows of the other controllers.
#[derive(Debug)]
pub struct ConnectivityMatrix {
    timing: LinkTiming,
    rows: BTreeMap<String, Option<ReceivedRow>>,
    /// Rejections logged since the last accepted row of the sender.
    logged_rejections: HashSet<(String, RowRejection)>,
}

impl ConnectivityMatrix {
    /// Creates a matrix without rows. `members` are the names of the other controllers; only their rows are
    /// accepted.
    pub fn new(members: impl Iterator<Item = String>, timing: LinkTiming) -> Self {
        Self {
            timing,
            rows: members.map(|member| (member, None)).collect(),
            logged_rejections: HashSet::new(),
        }
    }

    /// Stores a row that arrived at `now`, which is the time of day `now_unix_ms`, or rejects it. A rejected
    /// row changes nothing.
    pub fn accept_row(
        &mut self,
        row: Row,
        now: Instant,
        now_unix_ms: u64,
    ) -> Result<(), RowRejection> {
        let message = &row.message;
        let Some(slot) = self.rows.get_mut(&message.member) else {
            return Err(RowRejection::UnknownMember);
        };
        if let Some(received) = slot {
            let newest = &received.row.message;
            if message.incarnation < newest.incarnation {
                return Err(RowRejection::FormerIncarnation);
            }
            if message.incarnation == newest.incarnation && message.sequence <= newest.sequence {
                return Err(RowRejection::NotNewer);
            }
        }
        let age = Duration::from_millis(now_unix_ms.saturating_sub(message.sent_at_ms));
        if age > self.timing.row_age_max() {
            return Err(RowRejection::TooOld);
        }
        let member = message.member.clone();
        *slot = Some(ReceivedRow {
            row,
            received_at: now,
        });
        self.logged_rejections
            .retain(|(sender, _)| *sender != member);
        Ok(())
    }

    /// Whether a rejection should be logged. Each reason is logged once per known sender until a row of that
    /// sender is accepted, and once for all unknown senders together.
    pub fn should_log_rejection(&mut self, member: &str, reason: RowRejection) -> bool {
        let is_known = self.rows.contains_key(member);
        let member = if is_known { member } else { "" };
        self.logged_rejections.insert((member.to_owned(), reason))
    }

    /// The incarnation of a member's newest accepted row, which may have expired; 0 without one.
    pub fn newest_incarnation(&self, member: &str) -> u64 {
        let received = self.rows.get(member).and_then(Option::as_ref);
        received.map_or(0, |received| received.row.message.incarnation)
    }

    /// The newest row of a member; `None` if there is none or it has expired.
    pub fn row(&self, member: &str, now: Instant) -> Option<&Row> {
        let received = self.rows.get(member)?.as_ref()?;
        let age = now.saturating_duration_since(received.received_at);
        (age < self.timing.row_lifetime()).then_some(&received.row)
    }

    /// All rows that have not expired, in the order of their senders' names, with the time since their
    /// arrival.
    pub fn rows(&self, now: Instant) -> impl Iterator<Item = (&str, &Row, Duration)> {
        self.rows.iter().filter_map(move |(member, received)| {
            let row = self.row(member, now)?;
            let received_at = received.as_ref()?.received_at;
            Some((
                member.as_str(),
                row,
                now.saturating_duration_since(received_at),
            ))
        })
    }

    /// Whether the row of a leader shows that it cannot use the key-value store. The other controllers then
    /// probe whether they can write, and publish the result in their rows.
    pub fn leader_lacks_store(&self, now: Instant) -> bool {
        let mut leaders = self
            .rows(now)
            .filter(|(_, row, _)| row.message.leads_term.is_some());
        leaders.any(|(_, row, _)| !row.store_usable())
    }

    /// Maximum age of the evidence in a row for [`Row::store_proven`].
    pub fn evidence_age_max(&self) -> Duration {
        self.timing.row_lifetime()
    }

    /// Names of the other controllers, with or without a row.
    pub fn members(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Agents whose heartbeats `member` would receive as the leader: those that send them to it, and those
    /// that send them to a controller which reaches it, because followers forward heartbeats. `own_row` is
    /// the row of this controller, which the matrix does not contain.
    pub fn workers_served_by(&self, member: &str, own_row: &Row, now: Instant) -> WorkerSet {
        let others = self.rows(now).map(|(_, row, _)| row);
        let mut served = WorkerSet::default();
        for row in others.chain(std::iter::once(own_row)) {
            if row.message.member == member || row.reaches(member) {
                served.union_with(&row.reporting_workers);
            }
        }
        served
    }
}

#[cfg(test)]
mod tests;
