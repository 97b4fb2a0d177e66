//! Commands that go straight to the workers, and what the other nodes are told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Cluster, Job, Machine, Phase, Slot, SlotId, Timing};
use crate::digest::{Counts, DigestContents, Hint};
use crate::model::{JobId, MachineId, Token};
use crate::rate_limit::Bucket;
use crate::wire::{DirectOrders, Order};

/// A stop is repeated in reports' answers; straight to the machine only after this long.
const REPEAT_STOP: Duration = Duration::from_secs(2);
/// A machine that was asked for its report is not asked again sooner.
const ASK_AGAIN: Duration = Duration::from_secs(3);
/// Machines asked in one round at least: each costs about as much as a report.
const QUESTIONS_PER_ROUND_MIN: usize = 40;
/// Rounds in which all machines of an earlier term are asked once, if more are to be asked.
const ROUNDS_TO_ASK_ALL: usize = 50;
/// Processor time that a direct command takes with its connection.
const COMMAND_CPU_S: f64 = 0.0003;
/// Part of the processor for those that can wait: the machines report by themselves in a moment.
const COMMANDS_PART: f64 = 0.5;

/// How many direct commands may go that can wait, by the processor's share. Seen on a lean site: 767
/// starts planned in one round, and as many raised tokens kept everything else waiting for seconds.
#[derive(Debug)]
pub struct Budget {
    bucket: Bucket,
}

impl Budget {
    /// For a machine with such a share of a processor.
    pub fn new(cores: f64, now: Instant) -> Self {
        let rate = cores * COMMANDS_PART / COMMAND_CPU_S;
        Self {
            bucket: Bucket::new(rate, now),
        }
    }

    /// How many may go now.
    fn left(&mut self, now: Instant) -> usize {
        self.bucket.level(now).max(0.0) as usize
    }

    fn take(&mut self, count: usize, now: Instant) {
        self.bucket.take(count as f64, now);
    }
}

/// Commands for one machine.
#[derive(Debug)]
pub struct Direct {
    /// The machine.
    pub machine: MachineId,
    /// Where it takes them.
    pub address: String,
    /// The commands.
    pub body: DirectOrders,
}

impl Cluster {
    /// Commands to be sent straight away: stops, and a raised token where a start waits for
    /// the machine's next report, since a worker reports at once when its token rises. A start
    /// itself never goes this way.
    pub fn direct_orders(&mut self, now: Instant) -> Vec<Direct> {
        let mut left = self.budget.left(now);
        let per_round = self.unsettled.len() / ROUNDS_TO_ASK_ALL;
        let per_round = per_round.max(QUESTIONS_PER_ROUND_MIN);
        let mut all = self.questions(now, left.min(per_round));
        let mut can_wait = all.len();
        left = left.saturating_sub(can_wait);
        for machine in self.machines.values_mut() {
            let wanted = machine.orders_wanted() && machine.fenced;
            if !wanted || machine.address.is_empty() {
                continue;
            }
            let mut orders = Vec::new();
            for (id, slot) in &mut machine.slots {
                if let Some(order) = stop_order(id, slot, now) {
                    orders.push(order);
                }
            }
            let token_raised = left > 0 && raise_token(machine, &self.jobs, &self.timing, now);
            if token_raised {
                left -= 1;
                can_wait += 1;
            }
            if token_raised || !orders.is_empty() {
                all.push(Direct {
                    machine: machine.id.clone(),
                    address: machine.address.clone(),
                    body: DirectOrders {
                        token: machine.token.0,
                        session: machine.newest.0,
                        orders,
                    },
                });
            }
        }
        self.budget.take(can_wait, now);
        all
    }

    /// Commands without orders, for the sake of their answers: they fence machines that a new
    /// leader has not heard from, and tell whether what looks like an old report comes from a
    /// machine that has begun again.
    fn questions(&mut self, now: Instant, most: usize) -> Vec<Direct> {
        let mut all = Vec::new();
        let first = Token::first(self.term);
        let again = |at: Option<Instant>| {
            at.is_none_or(|at| now.saturating_duration_since(at) >= ASK_AGAIN)
        };
        // Who was never asked comes first, then who was asked longest ago: those that don't answer
        // must not take the turn of those that would.
        let unsettled = self.unsettled.iter().filter_map(|id| self.machines.get(id));
        let due = unsettled.filter(|m| !m.fenced && !m.address.is_empty() && again(m.asked));
        let mut due: Vec<(Option<Instant>, MachineId)> = due
            .map(|machine| (machine.asked, machine.id.clone()))
            .collect();
        due.sort();
        for (_, id) in due.into_iter().take(most) {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.asked = Some(now);
                all.push(question(machine, machine.newest.0, first));
            }
        }
        for machine in self.machines.values_mut() {
            if !machine.reachability.fine() && again(machine.asked) && !machine.address.is_empty() {
                // If this arrives, its next report comes at once and ends the doubt.
                machine.asked = Some(now);
                all.push(question(machine, machine.newest.0, first));
                continue;
            }
            let Some((session, asked)) = &mut machine.probe else {
                continue;
            };
            if !again(*asked) || machine.address.is_empty() || all.len() >= most {
                continue;
            }
            *asked = Some(now);
            let session = *session;
            all.push(question(machine, session, first));
        }
        all
    }

    /// A command sent then was not answered.
    pub fn in_vain(&mut self, id: &MachineId, asked: Instant) {
        if let Some(machine) = self.machines.get_mut(id) {
            // What was heard since shows more than this.
            if machine.reported.is_none_or(|at| at < asked) {
                machine.in_vain += 1;
            }
        }
    }

    /// What changed since this was last asked, for the other nodes.
    pub fn news(&mut self) -> DigestContents {
        let changed = std::mem::take(&mut self.changed);
        self.news_of(changed.jobs.iter(), changed.machines.iter())
    }

    /// All there is to tell, for a node that lacks it.
    pub fn all_news(&self) -> DigestContents {
        self.news_of(self.jobs.keys(), self.machines.keys())
    }

    fn news_of<'a>(
        &self,
        jobs: impl Iterator<Item = &'a JobId>,
        machines: impl Iterator<Item = &'a MachineId>,
    ) -> DigestContents {
        let mut news = DigestContents::default();
        for id in jobs {
            if self.jobs.contains_key(id) {
                let (done, running) = self.count(id);
                let id = id.clone();
                news.counts.push(Counts { id, done, running });
            } else {
                news.over.push(id.clone());
            }
        }
        for id in machines {
            let Some(machine) = self.machines.get(id) else {
                news.gone.push(id.clone());
                continue;
            };
            let images = machine.images.iter();
            let hint = Hint {
                address: machine.address.clone(),
                session: machine.newest.0,
                images: images
                    .map(|(image, gb)| (self.images.name(*image).to_owned(), *gb as f32))
                    .collect(),
            };
            if machine.reported.is_some() {
                news.hints.push((id.clone(), hint));
            }
        }
        news
    }
}

/// A command without orders.
fn question(machine: &Machine, session: u64, first: Token) -> Direct {
    Direct {
        machine: machine.id.clone(),
        address: machine.address.clone(),
        body: DirectOrders {
            token: machine.token.max(first).0,
            // Sessions begin at one.
            session: session.max(1),
            orders: Vec::new(),
        },
    }
}

/// Raises the machine's token if a start waits for its report; whether it did. Workers heed
/// that once in half a lease only.
fn raise_token(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    timing: &Timing,
    now: Instant,
) -> bool {
    let since = |at: Instant| now.saturating_duration_since(at);
    let heeded = machine
        .token_raised_at
        .is_none_or(|at| since(at) >= timing.lease / 2);
    if !heeded || !machine.can_start(now, timing.quiet) {
        return false;
    }
    let waits = machine.slots.iter().any(|(slot, state)| {
        let job = jobs.get(&slot.task.job);
        state.phase == Phase::Planned
            && job.is_some_and(|job| job.open() && job.may_send(&machine.id))
    });
    let Some(raised) = machine.token.raised().filter(|_| waits) else {
        return false;
    };
    machine.token = raised;
    machine.token_raised_at = Some(now);
    true
}

/// The stop to send for a slot now, if one is due.
pub(super) fn stop_order(id: &SlotId, slot: &mut Slot, now: Instant) -> Option<Order> {
    let sent = slot.sent() && slot.occupies();
    let stop = slot.stop.as_mut().filter(|_| sent)?;
    let saving = slot.phase == Phase::Flushing && stop.grace_s > 0.0;
    let recent = stop
        .told
        .is_some_and(|at| now.saturating_duration_since(at) < REPEAT_STOP);
    if saving || recent {
        return None;
    }
    stop.told = Some(now);
    Some(Order::Kill {
        task: id.task.to_string(),
        attempt: id.attempt.0,
        grace_s: stop.grace_s,
    })
}
