//! The transaction that elects a leader.

use super::keys::{self, LeaderRecord, TermRecord};
use super::replica::Replica;
use super::{to_value, Change, Condition, Transaction};
use crate::model::Term;

/// The term that the next election begins, with the version of the record of the term before, both from one
/// state of the replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NextTerm {
    /// The term.
    pub term: Term,
    replaced_version: u64,
}

impl NextTerm {
    /// The term after the highest one in the replica.
    pub fn of_replica(replica: &Replica) -> Self {
        Self {
            term: Term(replica.term.record.0 + 1),
            replaced_version: replica.term.version,
        }
    }

    /// The transaction that elects the controller with this record, which names this term: it succeeds only if
    /// there is no leader and no other controller has begun this term.
    pub fn election(&self, record: &LeaderRecord) -> Transaction {
        let term_record = TermRecord { term: self.term };
        Transaction::new(
            vec![
                Condition::new(keys::LEADER, 0),
                Condition::new(keys::TERM, self.replaced_version),
            ],
            vec![
                Change::Put {
                    key: keys::LEADER.to_owned(),
                    value: to_value(record),
                    lease: Some(record.lease),
                },
                Change::put(keys::TERM, to_value(&term_record)),
            ],
        )
    }
}
