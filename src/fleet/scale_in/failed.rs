//! Machines that are released whatever the demand: failed, unfit, or with a hopeless boot.

use std::time::{Duration, Instant};

use crate::cluster::{find_machine_type, CloudStatus, Cluster, DrainReason, Machine, Persistence};
use crate::fleet::partition::{
    heartbeat_delay_max, isolated, partitioned, unresponsive, UNANSWERED_PROBES_MAX,
};
use crate::fleet::{Release, ReleaseReason};

/// Worker leases for which machines of a partitioned zone are kept. Their work is lost with the
/// first; but to boot and to pull images anew takes as long as most partitions last, and where all
/// machines of a type are rented, nothing replaces them meanwhile.
const PARTITION_LEASES: u32 = 4;
/// A boot of this many times its nominal time is given up.
const HOPELESS_BOOT_FACTOR: f64 = 4.0;
/// A machine listed as running for that long without a heartbeat is given up.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(30);

/// Machines that are released whatever the demand.
pub(in crate::fleet) fn machines(cluster: &Cluster, now: Instant) -> Vec<Release> {
    let isolated = isolated(cluster, now);
    let machines = cluster.machines.values().filter(|m| !m.releasing);
    let releases = machines.filter_map(|machine| {
        let assessment = Assessment {
            cluster,
            machine,
            now,
            trusted: !isolated && !partitioned(cluster, &machine.zone, now),
        };
        assessment.reason().map(|reason| Release {
            machine: machine.id.clone(),
            reason,
        })
    });
    releases.collect()
}

/// The assessment of one machine.
struct Assessment<'a> {
    cluster: &'a Cluster,
    machine: &'a Machine,
    now: Instant,
    /// Whether missing heartbeats are evidence of a failure. In a partitioned zone work goes on for a
    /// lease, and machines need not boot again.
    trusted: bool,
}

impl Assessment<'_> {
    fn reason(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        if machine.cloud_status == CloudStatus::Failed {
            Some(ReleaseReason::Failed)
        } else if machine.last_heartbeat_at.is_some() {
            self.after_heartbeats()
        } else if self.up_in_earlier_term() {
            self.unreconciled()
        } else if machine.cloud_status == CloudStatus::Running {
            let running_for = self
                .now
                .saturating_duration_since(machine.cloud_status_since);
            let timed_out = running_for > FIRST_HEARTBEAT_TIMEOUT
                && self.leader_for() > FIRST_HEARTBEAT_TIMEOUT;
            timed_out.then_some(ReleaseReason::NeverReported)
        } else {
            self.booting()
        }
    }

    fn leader_for(&self) -> Duration {
        self.now
            .saturating_duration_since(self.cluster.observing_since)
    }

    /// How long heartbeats may be missing before the machine is declared failed.
    fn failure_timeout(&self) -> Duration {
        let timing = &self.cluster.timing;
        if self.trusted {
            timing.failed_after
        } else {
            timing.failed_after.max(timing.lease * PARTITION_LEASES)
        }
    }

    /// Whether it was up in an earlier term, whether others wait for it or not.
    fn up_in_earlier_term(&self) -> bool {
        self.cluster.unreconciled.contains(&self.machine.id)
            || self.machine.inventory_record == Persistence::Written
    }

    /// Of a machine that has sent heartbeats in this term.
    fn after_heartbeats(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        let timeout = self.failure_timeout();
        let drained = machine.drain.is_some() && !machine.is_busy();
        let by_operator = machine.drain == Some(DrainReason::Operator);
        if machine.heartbeat_overdue(self.now, timeout) {
            Some(ReleaseReason::Unresponsive)
        } else if unresponsive(machine, self.now, timeout) {
            Some(ReleaseReason::Unreachable)
        } else if drained && !by_operator {
            Some(ReleaseReason::Unfit)
        } else {
            None
        }
    }

    /// Of a machine that may hold tasks of an earlier term and has sent no heartbeat in this one.
    /// Unanswered status probes and a heartbeat that should have come are enough, where missing
    /// heartbeats are evidence.
    fn unreconciled(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        let unanswered =
            machine.unanswered_commands >= UNANSWERED_PROBES_MAX || machine.zone.is_empty();
        let timeout = if self.trusted && unanswered {
            heartbeat_delay_max(self.cluster)
        } else {
            self.failure_timeout()
        };
        (self.leader_for() > timeout).then_some(ReleaseReason::NotReconciled)
    }

    fn booting(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        let age = self.now.saturating_duration_since(machine.rented_at);
        let machine_type = find_machine_type(self.cluster.catalog(), &machine.machine_type)?;
        let hopeless = age > machine_type.boot_time.mul_f64(HOPELESS_BOOT_FACTOR);
        hopeless.then_some(ReleaseReason::HopelessBoot)
    }
}
