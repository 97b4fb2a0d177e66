//! Machines that are released regardless of demand: failed or unfit ones, and those whose boot
//! takes too long.

use std::time::{Duration, Instant};

use crate::cluster::{find_machine_type, CloudStatus, Cluster, DrainReason, Machine, Persistence};
use crate::fleet::partition::{
    heartbeat_delay_max, is_isolated, is_partitioned, is_unresponsive, UNANSWERED_PROBES_MAX,
};
use crate::fleet::{Release, ReleaseReason};

/// How long machines of a partitioned zone are kept, in worker leases. Their tasks are lost when
/// the first lease expires. However, booting replacements and pulling images again takes as long as
/// most partitions last, and there are no replacements if all machines of a type are rented
/// already.
const PARTITION_TIMEOUT_LEASES: u32 = 4;
/// A machine is released when its boot takes longer than its nominal boot time multiplied by this
/// factor.
const BOOT_TIMEOUT_FACTOR: f64 = 4.0;
/// A machine is released when the cloud has listed it as running for this long without a heartbeat.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the machines to release regardless of demand, without those already being released.
pub(in crate::fleet) fn releases(cluster: &Cluster, now: Instant) -> Vec<Release> {
    let isolated = is_isolated(cluster, now);
    let machines = cluster
        .machines
        .values()
        .filter(|machine| !machine.is_releasing());
    let releases = machines.filter_map(|machine| {
        let assessment = Assessment {
            cluster,
            machine,
            now,
            missing_heartbeats_are_evidence: !isolated
                && !is_partitioned(cluster, &machine.zone, now),
        };
        assessment.release_reason().map(|reason| Release {
            machine: machine.id.clone(),
            reason,
        })
    });
    releases.collect()
}

struct Assessment<'a> {
    cluster: &'a Cluster,
    machine: &'a Machine,
    now: Instant,
    /// Whether missing heartbeats are evidence of a failure. They are not in a partitioned zone,
    /// where tasks run until their lease expires and machines need not boot again afterwards, and
    /// not if this controller is isolated.
    missing_heartbeats_are_evidence: bool,
}

impl Assessment<'_> {
    fn release_reason(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        if machine.cloud_status == CloudStatus::Failed {
            Some(ReleaseReason::Failed)
        } else if machine.last_heartbeat_at.is_some() {
            self.reason_after_heartbeats()
        } else if self.up_in_earlier_term() {
            self.reason_if_not_reconciled()
        } else if machine.cloud_status == CloudStatus::Running {
            let running_for = self
                .now
                .saturating_duration_since(machine.cloud_status_since);
            let timed_out = running_for > FIRST_HEARTBEAT_TIMEOUT
                && self.observed_for() > FIRST_HEARTBEAT_TIMEOUT;
            timed_out.then_some(ReleaseReason::NoFirstHeartbeat)
        } else {
            self.reason_while_booting()
        }
    }

    fn observed_for(&self) -> Duration {
        self.now
            .saturating_duration_since(self.cluster.observing_since)
    }

    /// Returns how long heartbeats may be missing before the machine is declared failed.
    fn failure_timeout(&self) -> Duration {
        let timing = &self.cluster.timing;
        if self.missing_heartbeats_are_evidence {
            timing.failed_after
        } else {
            timing
                .failed_after
                .max(timing.lease * PARTITION_TIMEOUT_LEASES)
        }
    }

    /// Whether the machine was up in an earlier term. Unlike an unreconciled machine, a machine
    /// that has only an inventory record may block no jobs.
    fn up_in_earlier_term(&self) -> bool {
        self.cluster.unreconciled.contains(&self.machine.id)
            || self.machine.inventory_record == Persistence::Written
    }

    /// Returns the reason to release a machine that has sent heartbeats in this term.
    fn reason_after_heartbeats(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        let timeout = self.failure_timeout();
        let drained_and_free = machine.drain.is_some() && !machine.is_busy();
        let drained_by_operator = machine.drain == Some(DrainReason::Operator);
        if machine.heartbeat_overdue(self.now, timeout) {
            Some(ReleaseReason::Unresponsive)
        } else if is_unresponsive(machine, self.now, timeout) {
            Some(ReleaseReason::Unreachable)
        } else if drained_and_free && !drained_by_operator {
            Some(ReleaseReason::Unfit)
        } else {
            None
        }
    }

    /// Returns the reason to release a machine that was up in an earlier term and has sent no
    /// heartbeat in this one. Where missing heartbeats are evidence of a failure, the time of one
    /// heartbeat is enough if status probes were unanswered or the machine's zone is unknown.
    fn reason_if_not_reconciled(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        let likely_lost =
            machine.unanswered_commands >= UNANSWERED_PROBES_MAX || machine.zone.is_empty();
        let timeout = if self.missing_heartbeats_are_evidence && likely_lost {
            heartbeat_delay_max(self.cluster)
        } else {
            self.failure_timeout()
        };
        (self.observed_for() > timeout).then_some(ReleaseReason::NotReconciled)
    }

    fn reason_while_booting(&self) -> Option<ReleaseReason> {
        let machine = self.machine;
        let age = self.now.saturating_duration_since(machine.rented_at);
        let machine_type = find_machine_type(self.cluster.catalog(), &machine.machine_type)?;
        let timed_out = age > machine_type.boot_time.mul_f64(BOOT_TIMEOUT_FACTOR);
        timed_out.then_some(ReleaseReason::BootTimeout)
    }
}
