//! What the records and the cloud tell the cluster state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use super::done::DoneSet;
use super::{Cluster, DispatchTargets, Job, Listed, Machine, Persistence, TerminationEvidence};
use crate::model::{JobId, MachineId, MachinePool, Verdict};
use crate::state_summary::GONE_MACHINES_KEPT;
use crate::store::keys;
use crate::store::replica::Replica;
use crate::time::{secs, unix_ms};
use crate::wire::ListedMachine;

impl Cluster {
    /// Takes what the records now say of a job.
    pub fn sync_job(
        &mut self,
        id: &JobId,
        replica: &Replica,
        now: Instant,
        wall: SystemTime,
        recovering: bool,
    ) {
        let Some(verdict) = replica.jobs.get(id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(id) {
            if verdict.version > job.version {
                job.version = verdict.version;
                job.verdict = verdict.record.0;
                self.dirty = true;
                if job.verdict == Verdict::Cancelled {
                    self.stop_job(id, 0.0);
                }
            }
            // Our own retirement of the job: the records are gone, and so are its tasks. A node of
            // 0.3.0 that cancels lets the description go sooner.
            let gone = !self.jobs.get(id).is_some_and(Job::has_placements);
            if gone && !replica.live.contains_key(id) && verdict.record.0 != Verdict::Accepted {
                self.forget_job(id);
            }
            return;
        }
        let Some(live) = replica.live.get(id) else {
            return;
        };
        let record = &live.record;
        // What starts there were, by all that the records say.
        let listed = self.recovered_targets.remove(id);
        let started = record.started || listed.is_some();
        let mut dispatch_targets = match &record.hosts {
            Some(hosts) => DispatchTargets::Machines(
                hosts.iter().map(|h| MachineId(h.as_str().into())).collect(),
            ),
            None if record.started => DispatchTargets::Anywhere,
            None => DispatchTargets::none(),
        };
        if let Some(listed) = listed {
            dispatch_targets.add(listed);
        }
        let age_ms = unix_ms(wall).saturating_sub(record.submitted_ms);
        let age = Duration::from_millis(age_ms);
        let mut done = DoneSet::new(record.spec.tasks, self.chunk);
        for (chunk, digits) in replica.done_chunks(id) {
            done.mark_durable(chunk, &digits.bits);
        }
        let spec = Arc::new(record.spec.clone());
        let image = self.images.id(&spec.image);
        self.changed.jobs.insert(id.clone());
        if !recovering {
            self.arrivals.push((now, spec.clone()));
        }
        let job = Job {
            spec,
            image,
            submitted: now.checked_sub(age).unwrap_or(now),
            submitted_ms: record.submitted_ms,
            version: verdict.version,
            verdict: verdict.record.0,
            cancellation_requested: false,
            dispatch_record: if started {
                Persistence::Written
            } else {
                Persistence::NotWritten
            },
            inherited: started,
            dispatch_targets,
            dispatch_writes: 0,
            done,
            placements: BTreeMap::new(),
            attempt: None,
            seen_running: false,
            stopping: false,
            claim: None,
            backoff_until: None,
            failed_on: BTreeSet::new(),
            suspicion: None,
            writing: false,
            has_own_key: live.has_own_key,
            progress_written_at: None,
            first_run: None,
            pending_reason: "its first round",
        };
        self.jobs.insert(id.clone(), job);
        self.dirty = true;
    }

    pub(super) fn forget_job(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.remove(id) {
            for chunk in 0..job.done.chunks() {
                self.versions.remove(&keys::done(id, chunk));
            }
            self.dispatch_log.over(id);
            for machine in self.machines.values_mut().filter(|m| m.commands_pending()) {
                machine.instances.retain(|instance, state| {
                    // What was never dispatched needs no memory; the rest stays until it is terminated.
                    instance.task.job != *id || state.sent()
                });
                machine.recount();
            }
        }
    }

    /// The machine is gone for sure, and all that was on it.
    pub fn machine_gone(&mut self, id: &MachineId) {
        if let Some(machine) = self.machines.remove(id) {
            for instance in machine.instances.keys() {
                self.remove_placement(id, instance, TerminationEvidence::ReleaseConfirmed);
            }
        }
        self.mark_reconciled(id);
        self.changed.machines.insert(id.clone());
        self.inventory.remove(id);
        // Reports of it may still be on their way; they must not bring it back.
        self.departed.insert(id.clone());
        if self.departed.len() > GONE_MACHINES_KEPT {
            self.departed.pop_first();
        }
        self.dirty = true;
    }

    /// Takes machines the cloud has given us.
    pub fn machines_rented(&mut self, names: &[String], pool: &MachinePool, now: Instant) {
        for name in names {
            let id = MachineId(name.as_str().into());
            if self.departed.contains(&id) {
                continue;
            }
            let machine = self.machines.entry(id.clone());
            let machine = machine.or_insert_with(|| Machine::new(id, now));
            machine.known_to_cloud = true;
            machine.machine_type.clone_from(&pool.machine_type);
            machine.zone.clone_from(&pool.zone);
            machine.spot = pool.spot;
            machine.pool = Some(self.pools.id(&pool.machine_type, &pool.zone, pool.spot));
        }
    }

    /// Takes the cloud's list. It lags, so absence from it proves nothing.
    pub fn listed(&mut self, list: &[ListedMachine], now: Instant) {
        for entry in list {
            let id = MachineId(entry.id.as_str().into());
            if self.departed.contains(&id) {
                continue;
            }
            let machine = self.machines.entry(id.clone());
            let machine = machine.or_insert_with(|| Machine::new(id, now));
            if machine.last_heartbeat.is_none() {
                machine.machine_type.clone_from(&entry.machine_type);
                machine.zone.clone_from(&entry.zone);
                machine.spot = entry.spot;
                machine.pool = Some(self.pools.id(&entry.machine_type, &entry.zone, entry.spot));
                if machine.address.is_empty() {
                    machine.address.clone_from(&entry.address);
                }
                let rented = now.checked_sub(secs(entry.age_s)).unwrap_or(now);
                machine.rented_at = rented.min(machine.rented_at);
            }
            machine.known_to_cloud = true;
            let listed = match entry.status.as_str() {
                "booting" => Listed::Booting,
                "failed" => Listed::Failed,
                _ => Listed::Running,
            };
            if machine.listed != listed {
                machine.listed = listed;
                machine.listed_since = now;
            }
        }
    }
}
