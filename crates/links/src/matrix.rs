//! The connectivity matrix: the newest row of every other controller, as long as it says something.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use crate::row::{Row, RowRejection};
use crate::timing::LinkTiming;
use crate::workers::WorkerSet;

/// A row with the time at which it came.
#[derive(Debug, Clone)]
struct Received {
    row: Row,
    at: Instant,
}

/// The rows of the other controllers.
#[derive(Debug)]
pub struct Matrix {
    timing: LinkTiming,
    rows: BTreeMap<String, Option<Received>>,
    /// Refusals told since the sender's last good row.
    told: HashSet<(String, RowRejection)>,
}

impl Matrix {
    /// A matrix without any row, for these other controllers.
    pub fn new(members: impl Iterator<Item = String>, timing: LinkTiming) -> Self {
        Self {
            timing,
            rows: members.map(|member| (member, None)).collect(),
            told: HashSet::new(),
        }
    }

    /// Takes a row that came at `now`, at the time of day `wall_ms`. Refused, it changes nothing.
    pub fn take(&mut self, row: Row, now: Instant, wall_ms: u64) -> Result<(), RowRejection> {
        let message = &row.message;
        let Some(before) = self.rows.get_mut(&message.member) else {
            return Err(RowRejection::UnknownMember);
        };
        if let Some(before) = before {
            let known = &before.row.message;
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
        *before = Some(Received { row, at: now });
        self.told.retain(|(told, _)| *told != member);
        Ok(())
    }

    /// Whether a refusal should be logged: once for each kind and sender, until a good row comes. Of
    /// senders that are not known, once for all of them.
    pub fn tell_once(&mut self, member: &str, why: RowRejection) -> bool {
        let known = self.rows.contains_key(member);
        let member = if known { member } else { "" };
        self.told.insert((member.to_owned(), why))
    }

    /// The highest life of a member that was seen; 0 if none was.
    pub fn newest_incarnation(&self, member: &str) -> u64 {
        let received = self.rows.get(member).and_then(Option::as_ref);
        received.map_or(0, |received| received.row.message.incarnation)
    }

    /// The row of a member, if it is new enough to say anything.
    pub fn row(&self, member: &str, now: Instant) -> Option<&Row> {
        let received = self.rows.get(member)?.as_ref()?;
        let age = now.saturating_duration_since(received.at);
        (age < self.timing.row_lifetime()).then_some(&received.row)
    }

    /// All rows that say something, with the time since they came.
    pub fn rows(&self, now: Instant) -> impl Iterator<Item = (&str, &Row, Duration)> {
        self.rows.iter().filter_map(move |(member, received)| {
            let row = self.row(member, now)?;
            let at = received.as_ref()?.at;
            Some((member.as_str(), row, now.saturating_duration_since(at)))
        })
    }

    /// Whether a controller that leads says that it lacks the state service. The others then try whether
    /// they have it, which their rows tell.
    pub fn leader_lacks_store(&self, now: Instant) -> bool {
        let mut leads = self
            .rows(now)
            .filter(|(_, row, _)| row.message.leads_term.is_some());
        leads.any(|(_, row, _)| !row.store_usable())
    }

    /// How old evidence in a row may be.
    pub fn evidence_age_max(&self) -> Duration {
        self.timing.row_lifetime()
    }

    /// The other controllers, whether their rows are known or not.
    pub fn members(&self) -> impl Iterator<Item = &str> {
        self.rows.keys().map(String::as_str)
    }

    /// Workers whose reports `member` would get if it led: those that report to it, and those of every
    /// other controller that reaches it, since followers forward reports. `own` is the row of this
    /// controller.
    pub fn workers_served_by(&self, member: &str, own: &Row, now: Instant) -> WorkerSet {
        let others = self.rows(now).map(|(_, row, _)| row);
        let mut served = WorkerSet::default();
        for row in others.chain(std::iter::once(own)) {
            if row.message.member == member || row.reaches(member) {
                served.union_with(&row.heard);
            }
        }
        served
    }
}

#[cfg(test)]
mod tests;
