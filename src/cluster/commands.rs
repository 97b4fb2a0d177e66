//! Commands that go straight to the workers, and what the other nodes are told.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::{Cluster, Durable, Job, Machine, Phase, Slot, SlotId};
use crate::model::{JobId, MachineId, Verdict};
use crate::peer::{Counts, Hint, News};
use crate::wire::Order;

/// A stop is repeated in reports' answers; straight to the machine only after this long.
const REPEAT_STOP: Duration = Duration::from_secs(2);
/// A machine that was made to report is not asked again sooner.
const RING_AGAIN: Duration = Duration::from_secs(2);

impl Cluster {
    /// Machines with commands to be sent straight away, with those commands: stops, and the
    /// clearing of a result where a start waits for the next report, since a worker reports at
    /// once when its tasks change. A start itself never goes this way.
    pub fn direct_orders(&mut self, now: Instant) -> Vec<(MachineId, String, u64, Vec<Order>)> {
        let mut all = Vec::new();
        let quiet = self.timing.quiet;
        for machine in self.machines.values_mut() {
            let wanted = machine.restless() && machine.fenced;
            if !wanted || machine.address.is_empty() {
                continue;
            }
            let mut orders = Vec::new();
            for (id, slot) in &mut machine.slots {
                if let Some(order) = stop_order(id, slot, now) {
                    orders.push(order);
                }
            }
            if orders.is_empty() {
                orders.extend(ring(machine, &self.jobs, now, quiet));
            }
            if !orders.is_empty() {
                all.push((
                    machine.id.clone(),
                    machine.address.clone(),
                    machine.newest.0,
                    orders,
                ));
            }
        }
        all
    }

    /// What changed since this was last asked, for the other nodes.
    pub fn news(&mut self) -> News {
        let changed = std::mem::take(&mut self.changed);
        self.news_of(changed.jobs.iter(), changed.machines.iter())
    }

    /// All there is to tell, for a node that lacks it.
    pub fn all_news(&self) -> News {
        self.news_of(self.jobs.keys(), self.machines.keys())
    }

    fn news_of<'a>(
        &self,
        jobs: impl Iterator<Item = &'a JobId>,
        machines: impl Iterator<Item = &'a MachineId>,
    ) -> News {
        let mut news = News::default();
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

/// The clearing that makes a machine report at once, if a start waits for its report.
fn ring(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    now: Instant,
    quiet: Duration,
) -> Option<Order> {
    let recent = machine
        .rung
        .is_some_and(|at| now.saturating_duration_since(at) < RING_AGAIN);
    if recent || !machine.can_start(now, quiet) {
        return None;
    }
    let job_of = |slot: &SlotId| jobs.get(&slot.task.job);
    let mut slots = machine.slots.iter();
    slots.find(|(slot, state)| {
        state.phase == Phase::Planned
            && job_of(slot).is_some_and(|job| job.open() && job.started == Durable::Yes)
    })?;
    let mut slots = machine.slots.iter();
    let (bell, _) = slots.find(|(slot, state)| {
        state.phase == Phase::Exited(crate::wire::Cause::Done)
            && job_of(slot).is_none_or(|job| {
                job.verdict != Verdict::Accepted || job.done.is_durable(slot.task.index)
            })
    })?;
    let order = Order::Clear {
        task: bell.task.to_string(),
        attempt: bell.attempt.0,
    };
    machine.rung = Some(now);
    Some(order)
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
