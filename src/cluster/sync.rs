//! Updates of jobs and machines from the records and from the cloud.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use super::done::DoneSet;
use super::{
    CloudStatus, Cluster, DispatchTargets, Job, Machine, Persistence, TerminationEvidence,
};
use crate::model::{JobId, MachineId, MachinePool, Verdict};
use crate::pending_reason::PendingReason;
use crate::state_summary::REMOVED_MACHINES_MAX;
use crate::store::keys::{self, JobDescription};
use crate::store::replica::Replica;
use crate::time::{secs, unix_ms};
use crate::wire::ListedMachine;

/// Machines to which starts may have been sent, according to the job's own record.
fn targets_of(record: &JobDescription) -> DispatchTargets {
    match &record.hosts {
        Some(names) => DispatchTargets::Machines(
            names
                .iter()
                .map(|name| MachineId(name.as_str().into()))
                .collect(),
        ),
        None if record.started => DispatchTargets::Anywhere,
        None => DispatchTargets::none(),
    }
}

impl Cluster {
    /// Applies the current records of a job. `recovering` is true if the job is not a new
    /// submission.
    pub fn sync_job(
        &mut self,
        id: &JobId,
        replica: &Replica,
        now: Instant,
        wall: SystemTime,
        recovering: bool,
    ) {
        if self.jobs.contains_key(id) {
            self.update_job(id, replica);
            return;
        }
        let Some(job) = self.job_from_records(id, replica, now, wall) else {
            return;
        };
        self.unpublished.jobs.insert(id.clone());
        if !recovering {
            self.arrivals.push((now, job.spec.clone()));
        }
        self.jobs.insert(id.clone(), job);
        self.scheduling_needed = true;
    }

    /// Applies a newer verdict of a known job.
    fn update_job(&mut self, id: &JobId, replica: &Replica) {
        let (Some(verdict), Some(job)) = (replica.jobs.get(id), self.jobs.get_mut(id)) else {
            return;
        };
        if verdict.version > job.version {
            job.version = verdict.version;
            job.verdict = verdict.record.verdict;
            self.scheduling_needed = true;
            if job.verdict == Verdict::Cancelled {
                self.terminate_tasks(id, 0.0);
            }
        }
        // This leader has retired the job: its records are deleted, and no task of it is left. A
        // controller of version 0.3.0 deletes the description earlier, with the cancellation.
        let no_placements = !self.jobs.get(id).is_some_and(Job::has_placements);
        if no_placements
            && !replica.descriptions.contains_key(id)
            && verdict.record.verdict != Verdict::Accepted
        {
            self.remove_ended_job(id);
        }
    }

    /// The job by its records, unless it has ended.
    fn job_from_records(
        &mut self,
        id: &JobId,
        replica: &Replica,
        now: Instant,
        wall: SystemTime,
    ) -> Option<Job> {
        let verdict = replica.jobs.get(id)?;
        let description = replica.descriptions.get(id)?;
        let record = &description.record;
        let recovered = self.recovered_targets.remove(id);
        let started = record.started || recovered.is_some();
        let mut dispatch_targets = targets_of(record);
        if let Some(recovered) = recovered {
            dispatch_targets.add(recovered);
        }
        let age = Duration::from_millis(unix_ms(wall).saturating_sub(record.submitted_ms));
        let mut done = DoneSet::new(record.spec.tasks, self.tasks_per_chunk);
        for (chunk, digits) in replica.completed_task_chunks(id) {
            done.mark_durable(chunk, &digits.bits);
        }
        Some(Job {
            spec: Arc::new(record.spec.clone()),
            image: self.images.intern(&record.spec.image),
            submitted_at: now.checked_sub(age).unwrap_or(now),
            version: verdict.version,
            verdict: verdict.record.verdict,
            cancellation_requested: false,
            dispatch_record: if started {
                Persistence::Written
            } else {
                Persistence::NotWritten
            },
            started_in_earlier_term: started,
            dispatch_targets,
            dispatch_writes: 0,
            done,
            placements: BTreeMap::new(),
            attempt: None,
            seen_running: false,
            terminating: false,
            capacity_reservation: None,
            backoff_until: None,
            failed_on: BTreeSet::new(),
            suspicion: None,
            writing: false,
            has_own_key: description.has_own_key,
            progress_written_at: None,
            first_running_at: None,
            pending_reason: PendingReason::NotConsidered,
        })
    }

    /// Removes a job that has ended.
    pub(super) fn remove_ended_job(&mut self, id: &JobId) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        for chunk in 0..job.done.chunks() {
            self.written_versions
                .remove(&keys::completed_tasks(id, chunk));
        }
        self.dispatch_log.remove_job(id);
        for machine in self.machines.values_mut().filter(|m| m.commands_pending()) {
            machine.drop_plans_of(id);
        }
    }

    /// Removes a machine whose release the cloud has confirmed, and all tasks that were on it.
    pub fn remove_released_machine(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.remove(id) {
            for instance in machine.instances.keys() {
                self.remove_placement(id, instance, TerminationEvidence::ReleaseConfirmed);
            }
        }
        self.mark_reconciled(id);
        self.unpublished.machines.insert(id.clone());
        self.inventory.remove(id);
        // Late heartbeats may still arrive and must not add the machine again.
        self.released_machines.insert(id.clone());
        if self.released_machines.len() > REMOVED_MACHINES_MAX {
            self.released_machines.pop_first();
        }
        self.scheduling_needed = true;
    }

    /// Marks machines whose release is outstanding, which get no new tasks, or clears this mark. Starts planned on
    /// them are dropped, since they would wait there for as long as the release is not confirmed.
    pub fn set_releasing(&mut self, machines: &[MachineId], releasing: bool) {
        for id in machines {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.releasing = releasing;
            }
            if releasing {
                self.drop_planned_starts(id);
            }
        }
        self.scheduling_needed |= !releasing;
    }

    /// Adds machines that the cloud has rented to this deployment.
    pub fn add_rented_machines(&mut self, names: &[String], pool: &MachinePool, now: Instant) {
        for name in names {
            let id = MachineId(name.as_str().into());
            if self.released_machines.contains(&id) {
                continue;
            }
            let machine = self.machines.entry(id.clone());
            let machine = machine.or_insert_with(|| Machine::new(id, now));
            machine.known_to_cloud = true;
            machine.machine_type.clone_from(&pool.machine_type);
            machine.zone.clone_from(&pool.zone);
            machine.spot = pool.spot;
            machine.pool = Some(self.pools.intern(&pool.machine_type, &pool.zone, pool.spot));
        }
    }

    /// Applies the cloud's list of machines. The list lags, so absence from it is no evidence that
    /// a machine was released.
    pub fn apply_machine_list(&mut self, list: &[ListedMachine], now: Instant) {
        for entry in list {
            let id = MachineId(entry.id.as_str().into());
            if self.released_machines.contains(&id) {
                continue;
            }
            let machine = self.machines.entry(id.clone());
            let machine = machine.or_insert_with(|| Machine::new(id, now));
            if machine.last_heartbeat_at.is_none() {
                machine.machine_type.clone_from(&entry.machine_type);
                machine.zone.clone_from(&entry.zone);
                machine.spot = entry.spot;
                machine.pool = Some(self.pools.intern(
                    &entry.machine_type,
                    &entry.zone,
                    entry.spot,
                ));
                if machine.address.is_empty() {
                    machine.address.clone_from(&entry.address);
                }
                let rented = now.checked_sub(secs(entry.age_s)).unwrap_or(now);
                machine.rented_at = rented.min(machine.rented_at);
            }
            machine.known_to_cloud = true;
            let cloud_status = match entry.status.as_str() {
                "booting" => CloudStatus::Booting,
                "failed" => CloudStatus::Failed,
                _ => CloudStatus::Running,
            };
            if machine.cloud_status != cloud_status {
                machine.cloud_status = cloud_status;
                machine.cloud_status_since = now;
            }
        }
    }
}
