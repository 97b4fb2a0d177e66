//! One machine as its reports, the cloud and our own commands show it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use knotlanding_links::health::WorkerEvidence;
use knotlanding_links::reachability::Reachability;

use super::faults::Blame;
use super::{ImageId, KindId};
use crate::model::{Amount, Attempt, JobId, JobSpec, MachineId, TaskId, Token};
use crate::wire::{Cause, BODY_LIMIT};

/// Bytes that a task takes in a report, in the form by which its size is measured.
const REPORTED_BYTES: usize = 80;
/// Tasks on a machine, results that wait to be written down included, above which it gets no more:
/// half of what a report may hold. While the records take no progress, results of short tasks
/// would otherwise pile up until no report of the machine's could be sent.
const TASKS_PER_MACHINE_MAX: usize = BODY_LIMIT / REPORTED_BYTES / 2;

/// A start of a task on a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotId {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
}

/// Where a start stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Decided, not sent: nothing can have happened yet.
    Planned,
    /// Sent in the answer to that report. The next report of the worker's own shows whether
    /// it took.
    Sent {
        /// The session answered.
        session: u64,
        /// The report answered.
        seq: u64,
    },
    /// Waits for its image.
    Pulling,
    /// Waits for its gang.
    Gathering,
    /// Runs.
    Running,
    /// Saves.
    Flushing,
    /// Ended; off the machine, but still in its reports.
    Exited(Cause),
}

/// A stop we want.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stop {
    /// Time to save.
    pub grace_s: f64,
    /// When the machine was last told.
    pub told: Option<Instant>,
}

/// A start with all that is known of it.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The job, if it is known.
    pub spec: Option<Arc<JobSpec>>,
    /// Where it stands.
    pub phase: Phase,
    /// When it was planned or first seen.
    pub since: Instant,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// Whether it is to stop.
    pub stop: Option<Stop>,
    /// The image it needs, if the job is known.
    pub image: Option<ImageId>,
}

impl Slot {
    /// Whether the task may be on the machine.
    pub fn occupies(&self) -> bool {
        !matches!(self.phase, Phase::Exited(_))
    }

    /// Whether a worker may know of it.
    pub fn sent(&self) -> bool {
        self.phase != Phase::Planned
    }
}

/// What a machine's slots add up to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// What is taken.
    pub taken: Amount,
    /// Tasks that may be on it.
    pub tasks: usize,
    /// Something of unknown size is on it.
    pub unknown_amount: bool,
    /// A start is planned or a stop wanted.
    pub orders_wanted: bool,
}

/// Whether a record is in the state service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durable {
    /// Not there, or not known to be.
    No,
    /// Being written.
    Writing,
    /// There.
    Yes,
}

/// Why a machine takes no new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Tasks of several jobs failed on it.
    Sick,
    /// It is much slower than others of its type.
    Slow,
    /// An operator asked.
    Operator,
}

/// Where a machine stands with the cloud and with us.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Where it takes direct commands.
    pub address: String,
    /// Its type.
    pub build: String,
    /// Its zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
    /// Type, zone and kind as one number, see [`super::Kinds`].
    pub kind: Option<KindId>,
    /// When we first knew of it.
    pub since: Instant,
    /// When it was rented, as far as known.
    pub rented: Instant,
    /// Newest report's session and number.
    pub newest: (u64, u64),
    /// Highest token it has reported or we have used for it.
    pub token: Token,
    /// It has reported our term: no older leader can command it any more.
    pub fenced: bool,
    /// It has never seen any term and holds nothing: a start may be planned for it, and is
    /// sent once it is fenced.
    pub fresh: bool,
    /// The cloud has told of it: a rental's answer or the list. A late copy of a report alone
    /// is no sign that there is such a machine.
    pub known_to_cloud: bool,
    /// When it was last made to report at once.
    pub token_raised_at: Option<Instant>,
    /// What shows whether it hears us.
    pub reachability: Reachability,
    /// A report that looks old may come from a new life of the machine: the session to ask in,
    /// and when it was last asked.
    pub probe: Option<(u64, Option<Instant>)>,
    /// When it was last asked for a report that fences it.
    pub asked: Option<Instant>,
    /// Commands sent to it directly, without an answer, since it last spoke.
    pub in_vain: u32,
    /// The token that tells its present life from a former one whose reports may yet come.
    pub life: Token,
    /// When it was first heard in this term.
    pub met: Option<Instant>,
    /// When the newest report arrived.
    pub reported: Option<Instant>,
    /// When we last answered 200; its lease can't end before that plus the lease's time.
    pub answered: Option<Instant>,
    /// When the cloud takes it away.
    pub leaves: Option<Instant>,
    /// All starts that may be on it, and exited ones in its reports.
    pub slots: BTreeMap<SlotId, Slot>,
    /// Whether the roster in the state service names it.
    pub rostered: Durable,
    /// Images it has fetched with their sizes in GB, most recently used last.
    pub images: Vec<(ImageId, f64)>,
    /// Takes no new tasks.
    pub drain: Option<Drain>,
    /// A return is under way.
    pub returning: bool,
    /// Jobs whose tasks failed on it since the last that completed.
    pub blame: Vec<Blame>,
    /// Run time over estimate of the last task of each of the last few jobs on it.
    pub slowdowns: Vec<(JobId, f64)>,
    /// Takes no new tasks until then.
    pub rests_until: Option<Instant>,
    /// Since when it has had nothing to do.
    pub idle_since: Instant,
    /// What its slots add up to; see [`Machine::recount`].
    load: Load,
    /// What the cloud's list said of it last.
    pub listed: Listed,
    /// Since when it has said so.
    pub listed_since: Instant,
}

/// A machine's state in the cloud's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Not seen there.
    No,
    /// Booting.
    Booting,
    /// Running.
    Running,
    /// Stopped by itself.
    Failed,
}

impl Machine {
    /// A machine nothing is known of but its name.
    pub fn new(id: MachineId, now: Instant) -> Self {
        Self {
            id,
            address: String::new(),
            build: String::new(),
            zone: String::new(),
            spot: false,
            kind: None,
            since: now,
            rented: now,
            newest: (0, 0),
            token: Token::default(),
            fenced: false,
            fresh: false,
            known_to_cloud: false,
            token_raised_at: None,
            reachability: Reachability::default(),
            probe: None,
            asked: None,
            in_vain: 0,
            life: Token::default(),
            met: None,
            reported: None,
            answered: None,
            leaves: None,
            slots: BTreeMap::new(),
            rostered: Durable::No,
            images: Vec::new(),
            drain: None,
            returning: false,
            blame: Vec::new(),
            slowdowns: Vec::new(),
            rests_until: None,
            idle_since: now,
            load: Load::default(),
            listed: Listed::No,
            listed_since: now,
        }
    }

    /// Whether any task may be on it.
    pub fn busy(&self) -> bool {
        self.load.tasks > 0
    }

    /// Whether it should be up but has not reported in this term.
    pub fn expected(&self) -> bool {
        let up = self.listed == Listed::Running || self.rostered == Durable::Yes;
        self.reported.is_none() && up
    }

    /// What is taken of it, starts not yet confirmed and stops not yet finished included.
    pub fn taken(&self) -> Amount {
        self.load.taken
    }

    /// Whether something is on it whose size nobody knows.
    pub fn unknown_amount(&self) -> bool {
        self.load.unknown_amount
    }

    /// Whether commands are due to it, or a start waits for its report.
    pub fn orders_wanted(&self) -> bool {
        self.load.orders_wanted
    }

    /// Adds up its slots again. Rounds ask every machine for the sums, but only few machines'
    /// slots change between two rounds.
    pub fn recount(&mut self) {
        self.load = self.counted();
    }

    /// The sums as its slots have them now.
    pub fn counted(&self) -> Load {
        let mut load = Load::default();
        for slot in self.slots.values() {
            let occupies = slot.occupies();
            load.orders_wanted |= occupies && (!slot.sent() || slot.stop.is_some());
            if !occupies {
                continue;
            }
            load.tasks += 1;
            match &slot.spec {
                Some(spec) => load.taken.add(&spec.need),
                None => load.unknown_amount = true,
            }
        }
        load
    }

    /// The sums as they are kept.
    pub fn load(&self) -> &Load {
        &self.load
    }

    /// Whether it was up in this term and has been silent for longer than `limit`.
    pub fn silent(&self, now: Instant, limit: Duration) -> bool {
        self.reported
            .is_some_and(|at| now.saturating_duration_since(at) > limit)
    }

    /// What speaks for and against its health.
    pub fn evidence(&self) -> WorkerEvidence {
        WorkerEvidence {
            reported: self.reported,
            hears: self.fenced && self.reachability.fine(),
            doubted_since: self.reachability.doubted_since(),
            commands_in_vain: self.in_vain,
        }
    }

    /// Why it gets no new tasks, if that is so.
    pub fn passed_over(&self, now: Instant, silence: Duration) -> Option<&'static str> {
        let reasons = [
            (self.reported.is_none(), "it has not reported in this term"),
            (
                !(self.fenced || self.fresh),
                "it has not shown this term's token",
            ),
            (!self.reachability.fine(), "it does not seem to hear us"),
            (self.returning, "it is being returned"),
            (
                self.drain == Some(Drain::Sick),
                "tasks of several jobs failed on it",
            ),
            (
                self.drain == Some(Drain::Slow),
                "it is much slower than others",
            ),
            (self.drain == Some(Drain::Operator), "an operator drains it"),
            (self.leaves.is_some(), "the cloud takes it back"),
            (self.silent(now, silence), "it is silent"),
            (
                self.rests_until.is_some_and(|until| now < until),
                "it rests after a failure",
            ),
            (self.unknown_amount(), "something unknown runs on it"),
            (
                self.slots.len() >= TASKS_PER_MACHINE_MAX,
                "its reports would get too long",
            ),
        ];
        let holds = reasons.into_iter().find(|(holds, _)| *holds);
        holds.map(|(_, why)| why)
    }

    /// Whether it may get new tasks.
    pub fn takes_tasks(&self, now: Instant, silence: Duration) -> bool {
        self.passed_over(now, silence).is_none()
    }

    /// Something we told it did not show: it gets no starts until it brings back a token that
    /// it can have only from us, from now on.
    pub fn doubt(&mut self, now: Instant) {
        if let Some(raised) = self.token.raised().filter(|_| self.reachability.fine()) {
            self.token = raised;
            self.reachability.doubt(raised.0, now);
        }
    }

    /// Whether starts may be sent to it now, in the answer to a report.
    pub fn can_start(&self, now: Instant, silence: Duration) -> bool {
        self.fenced && self.rostered == Durable::Yes && self.takes_tasks(now, silence)
    }

    /// Whether it has the image, as far as we know.
    pub fn has_image(&self, image: ImageId) -> bool {
        self.images.iter().any(|(known, _)| *known == image)
    }

    /// Notes that it has just used an image.
    pub fn used_image(&mut self, image: ImageId, gb: f64, cache_gb: f64) {
        self.images.retain(|(known, _)| *known != image);
        self.images.push((image, gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.remove(0).1;
        }
    }
}
