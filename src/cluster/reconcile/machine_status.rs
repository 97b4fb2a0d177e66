//! The part of a heartbeat about the machine itself: its order, description, spot notice and token.

use std::time::{Duration, Instant};

use tracing::{info, warn};

use super::MessageOrder;
use crate::cluster::{Cluster, Machine};
use crate::model::{FencingToken, MachineId};
use crate::time::secs;
use crate::wire::Heartbeat;

impl Machine {
    /// Detects that a response was lost: the machine is in a later epoch, although the last
    /// response should still extend its worker lease.
    fn detect_lost_response(&mut self, order: MessageOrder, lease: Duration, now: Instant) {
        let later_epoch = self.last_heartbeat_at.is_some() && order.epoch > self.last_message.epoch;
        let lease_held = self
            .last_response_at
            .is_some_and(|at| now.saturating_duration_since(at) < lease);
        if later_epoch && lease_held {
            warn!(machine = %self.id, epoch = order.epoch, "worker lease ended although answered");
            self.require_confirmation(now);
        }
    }

    /// Applies a spot notice or its withdrawal, and returns whether either is new.
    fn apply_spot_notice(&mut self, notice_s: Option<f64>, now: Instant) -> bool {
        let before = self.spot_deadline;
        self.spot_deadline = notice_s.map(|s| now + secs(s));
        let changed = before.is_some() != self.spot_deadline.is_some();
        if changed {
            match notice_s {
                Some(notice_s) => info!(machine = %self.id, notice_s, "spot notice received"),
                None => info!(machine = %self.id, "spot notice withdrawn"),
            }
        }
        changed
    }
}

impl Cluster {
    /// Applies all of a newer heartbeat except its tasks, and returns whether the machine was busy
    /// before.
    pub(super) fn apply_machine_status(
        &mut self,
        id: &MachineId,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> Option<bool> {
        let order = MessageOrder::of(heartbeat);
        let machine = self.machines.get_mut(id)?;
        machine.detect_lost_response(order, self.timing.lease, now);
        machine.last_message = order;
        machine.pending_probe = None;
        machine.unanswered_commands = 0;
        machine.first_heartbeat_at.get_or_insert(now);
        self.scheduling_needed |= machine.apply_spot_notice(heartbeat.notice_s, now);
        if machine.last_heartbeat_at.replace(now).is_none() {
            self.apply_first_heartbeat(id, now);
        }
        self.apply_description(id, heartbeat);
        self.apply_token(id, heartbeat)
    }

    /// Handles the machine's first heartbeat of this term. An earlier leader's summary gives the
    /// images in the machine's cache.
    fn apply_first_heartbeat(&mut self, id: &MachineId, now: Instant) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        self.scheduling_needed = true;
        machine.idle_since = now;
        if let Some(summary) = self.inherited_summaries.remove(id) {
            let images = summary.images.iter();
            let images = images.map(|(name, gb)| (self.images.intern(name), f64::from(*gb)));
            machine.images = images.collect();
        }
        self.unpublished.machines.insert(id.clone());
    }

    /// Applies the address, type and zone, and whether it is a spot machine.
    fn apply_description(&mut self, id: &MachineId, heartbeat: &Heartbeat) {
        let Some(machine) = self.machines.get_mut(id) else {
            return;
        };
        machine.address.clone_from(&heartbeat.address);
        let known = machine.pool.and_then(|pool| self.pools.get(pool));
        let same = known.is_some_and(|pool| {
            pool.machine_type == heartbeat.machine_type
                && pool.zone == heartbeat.zone
                && pool.spot == heartbeat.spot
        });
        if !same {
            machine.machine_type.clone_from(&heartbeat.machine_type);
            machine.zone.clone_from(&heartbeat.zone);
            machine.spot = heartbeat.spot;
            let pool = self
                .pools
                .intern(&heartbeat.machine_type, &heartbeat.zone, heartbeat.spot);
            machine.pool = Some(pool);
        }
    }

    /// Applies the token in the heartbeat, and whether the machine may hold tasks. Returns whether
    /// it was busy before.
    fn apply_token(&mut self, id: &MachineId, heartbeat: &Heartbeat) -> Option<bool> {
        let machine = self.machines.get_mut(id)?;
        let token = FencingToken(heartbeat.token);
        machine.fenced = token.term() == self.term;
        machine.reachability.record_token(token.0);
        machine.token = machine.token.max(token).max(FencingToken::first(self.term));
        let was_never_fenced = machine.never_fenced;
        machine.never_fenced =
            heartbeat.token == 0 && heartbeat.tasks.is_empty() && machine.known_to_cloud;
        let was_busy = machine.is_busy();
        if was_never_fenced && !heartbeat.tasks.is_empty() {
            // A late copy made the machine look new, so its free capacity was overestimated.
            self.drop_planned_starts(id);
        }
        Some(was_busy)
    }
}
