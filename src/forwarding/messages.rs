//! Messages by which a follower forwards workers' reports to the leader.

use serde::{Deserialize, Serialize};

use crate::model::Term;
use crate::wire::{Order, Report, ReportAnswer, ReportedTask};

/// Version of [`ReportBatch`] and [`BatchAnswer`].
pub const BATCH_VERSION: u16 = 1;
/// Largest body of a batch that is taken. Senders keep well below it, see
/// [`super::forwarding::BATCH_BYTES_MAX`].
pub const BATCH_BODY_LIMIT: usize = 1024 * 1024;
/// Reports that arrived at a follower at about the same time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReportBatch {
    /// [`BATCH_VERSION`]; first, so that it can be read whatever follows.
    pub version: u16,
    /// The follower.
    pub member: String,
    /// The term that the batch is meant for.
    pub term: Term,
    /// Time of day at the sending, in milliseconds since 1970.
    pub sent_at_ms: u64,
    /// The reports.
    pub reports: Vec<ForwardedReport>,
}

/// A worker's report between nodes. [`Report`] itself takes numbers of any kind, which `bincode`
/// cannot express.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedReport {
    pub(crate) machine: String,
    pub(crate) address: String,
    pub(crate) build: String,
    pub(crate) zone: String,
    pub(crate) spot: bool,
    pub(crate) session: u64,
    pub(crate) seq: u64,
    pub(crate) token: u64,
    pub(crate) notice_s: Option<f64>,
    pub(crate) tasks: Vec<ReportedTask>,
}

impl From<Report> for ForwardedReport {
    fn from(report: Report) -> Self {
        Self {
            machine: report.machine,
            address: report.address,
            build: report.build,
            zone: report.zone,
            spot: report.spot,
            session: report.session,
            seq: report.seq,
            token: report.token,
            notice_s: report.notice_s,
            tasks: report.tasks,
        }
    }
}

impl From<ForwardedReport> for Report {
    fn from(report: ForwardedReport) -> Self {
        Self {
            machine: report.machine,
            address: report.address,
            build: report.build,
            zone: report.zone,
            spot: report.spot,
            session: report.session,
            seq: report.seq,
            token: report.token,
            notice_s: report.notice_s,
            tasks: report.tasks,
        }
    }
}

/// A command between nodes. [`Order`] itself is tagged by a field, which `bincode` cannot read.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ForwardedOrder {
    /// What to do.
    pub verb: ForwardedVerb,
    /// The task.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
}

/// What a [`ForwardedOrder`] wants.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum ForwardedVerb {
    /// Start the task.
    Run,
    /// Stop it.
    Kill {
        /// Time to save.
        grace_s: f64,
    },
    /// Forget it.
    Clear,
}

impl From<Order> for ForwardedOrder {
    fn from(order: Order) -> Self {
        let (verb, task, attempt) = match order {
            Order::Run { task, attempt } => (ForwardedVerb::Run, task, attempt),
            Order::Kill {
                task,
                attempt,
                grace_s,
            } => (ForwardedVerb::Kill { grace_s }, task, attempt),
            Order::Clear { task, attempt } => (ForwardedVerb::Clear, task, attempt),
        };
        Self {
            verb,
            task,
            attempt,
        }
    }
}

impl From<ForwardedOrder> for Order {
    fn from(order: ForwardedOrder) -> Self {
        let (task, attempt) = (order.task, order.attempt);
        match order.verb {
            ForwardedVerb::Run => Self::Run { task, attempt },
            ForwardedVerb::Kill { grace_s } => Self::Kill {
                task,
                attempt,
                grace_s,
            },
            ForwardedVerb::Clear => Self::Clear { task, attempt },
        }
    }
}

/// The leader's decision on one report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ForwardedAnswer {
    /// The worker gets 200 with this token and these orders.
    Accepted {
        /// The token.
        token: u64,
        /// The orders.
        orders: Vec<ForwardedOrder>,
    },
    /// The worker gets 503.
    Unavailable,
}

impl ForwardedAnswer {
    /// The body of the 200, if it is one.
    pub fn accepted(self) -> Option<ReportAnswer> {
        match self {
            Self::Accepted { token, orders } => Some(ReportAnswer {
                token,
                orders: orders.into_iter().map(Order::from).collect(),
            }),
            Self::Unavailable => None,
        }
    }
}

/// The leader's decisions, in the order of the reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BatchAnswer {
    /// [`BATCH_VERSION`].
    pub version: u16,
    /// The decisions.
    pub answers: Vec<ForwardedAnswer>,
}
