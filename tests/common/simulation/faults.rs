//! Faults that a scenario injects into the simulation, and how each one starts.

use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::LinkId;

use super::*;

/// A fault. A share is the probability with which it affects each worker, message or job.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The store refuses all requests.
    StoreOutage,
    /// The store refuses the current leader's requests.
    LeaderRefused,
    /// The current leader's reads get no response; its lease renewals and writes are served.
    LeaderReadsLost,
    /// Every store response is delayed by up to this many additional seconds.
    SlowStore(f64),
    /// This share of the transactions gets no response; they are applied `at_once`, or 2 to 12 s later.
    LateWrites { share: f64, at_once: bool },
    /// A copy of this share of the heartbeats is delivered up to two worker leases later or, if `kept`, when
    /// the next leader takes over.
    HeartbeatCopies { share: f64, kept: bool },
    /// Responses and direct commands to this share of the workers are lost.
    LoseResponses(f64),
    /// Heartbeats of this share of the workers are lost.
    LoseHeartbeats(f64),
    /// This share of the workers hangs.
    HangWorkers(f64),
    /// This many machines terminate.
    TerminateMachines(usize),
    /// The leader terminates, and restarts after this many seconds.
    CrashLeader(f64),
    /// A follower terminates, and restarts after this many seconds.
    CrashFollower(f64),
    /// All controllers terminate, and restart after this many seconds.
    CrashAll(f64),
    /// The leader's process is paused.
    PauseLeader,
    /// The links between the current leader and all workers are cut: heartbeats to it and its direct
    /// commands are lost.
    LeaderCutOff,
    /// Users cancel this many jobs.
    CancelJobs(usize),
    /// The handlers of users' cancellations are delayed by up to this many seconds between the read of the
    /// verdict and what follows from it.
    DelayCancellations(f64),
    /// Users cancel this share of the jobs when the last task completes.
    CancelAtCompletion(f64),
    /// Batches of forwarded heartbeats are lost, delayed or duplicated.
    Batches(BatchFaults),
    /// The cloud treats requests of controllers in this way.
    Cloud(CloudFault),
    /// The operators have idle machines released at once.
    ReleaseIdleMachines,
    /// Copies of messages with commands arrive late.
    Copies(CopyShares),
    /// This share of the machines restart at once under their names.
    RestartWorkers(f64),
    /// A link has this mode.
    Link(LinkId, LinkMode),
    /// The controller with this index terminates, and restarts after 0.2 s.
    Restart(usize),
    /// The store refuses transactions with changes; it serves reads and lease requests.
    WritesRefused,
    /// One follower's batches are lost, as if it could not reach the leader; its connections to the
    /// workers and to the store are intact.
    FollowerCutFromLeader,
}

/// A fault and the time for which it lasts.
#[derive(Clone, Debug)]
pub struct TimedFault {
    pub starts_at: f64,
    pub duration_s: f64,
    pub fault: Fault,
}

pub fn timed_fault(starts_at: f64, duration_s: f64, fault: Fault) -> TimedFault {
    TimedFault {
        starts_at,
        duration_s,
        fault,
    }
}

impl Simulation {
    pub(super) fn start_fault(&mut self, timed_fault: &TimedFault) {
        let until = self.now_s + timed_fault.duration_s;
        match timed_fault.fault.clone() {
            Fault::StoreOutage => {
                self.store_out_until = until;
                // The store does not expire leases during an outage: each one lasts its full duration
                // from the end of the outage.
                let expiry = until + LEADER_LEASE_MIN.as_secs_f64();
                self.store.leases.values_mut().for_each(|end| *end = expiry);
            }
            Fault::LeaderRefused => self.refused = self.leader().map(|leader| (leader, until)),
            Fault::LeaderReadsLost => self.reads_lost = self.leader().map(|leader| (leader, until)),
            Fault::SlowStore(delay_max_s) => self.store_delay = (delay_max_s, until),
            Fault::LateWrites { share, at_once } => self.late_writes = (share, at_once, until),
            Fault::HeartbeatCopies { share, kept } => self.heartbeat_copies = (share, kept, until),
            Fault::LoseResponses(share) => self.modify(share, |w| w.responses_lost_until = until),
            Fault::LoseHeartbeats(share) => self.modify(share, |w| w.heartbeats_lost_until = until),
            Fault::HangWorkers(share) => self.modify(share, |w| w.hung_until = until),
            Fault::TerminateMachines(count) => self.terminate_machines(count),
            Fault::CrashLeader(delay_s) => {
                if let Some(index) = self.leader() {
                    self.crash(index, delay_s);
                }
            }
            Fault::CrashFollower(delay_s) => {
                let leader = self.leader();
                if let Some(index) = (0..3).find(|index| Some(*index) != leader) {
                    self.crash(index, delay_s);
                }
            }
            Fault::CrashAll(delay_s) => (0..3).for_each(|index| self.crash(index, delay_s)),
            Fault::PauseLeader => {
                if let Some(index) = self.leader() {
                    self.controllers[index].paused_until = until;
                }
            }
            Fault::Batches(shares) => self.batch_faults = (shares, until),
            Fault::Copies(shares) => self.copies.begin(shares, until),
            Fault::RestartWorkers(share) => self.restart_workers(share),
            Fault::Cloud(fault) => self.cloud.fault = Some((fault, until)),
            Fault::ReleaseIdleMachines => self.cloud.idle_released_until = until,
            Fault::FollowerCutFromLeader => {
                let leader = self.leader();
                let follower = (0..3).find(|index| Some(*index) != leader);
                self.isolated_follower = follower.map(|index| (index, until));
            }
            Fault::Link(link, mode) => self.link_faults.push(TimedLinkFault { link, mode, until }),
            Fault::Restart(index) => self.crash(index, 0.2),
            Fault::WritesRefused => self.writes_refused_until = until,
            Fault::LeaderCutOff => self.cut_off = self.leader().map(|leader| (leader, until)),
            Fault::CancelJobs(count) => self.cancel_random_jobs(count),
            Fault::DelayCancellations(delay_max_s) => self.handler_delay = (delay_max_s, until),
            Fault::CancelAtCompletion(share) => self.cancel_jobs_at_completion(share, until),
        }
    }

    /// Lets users cancel this share of the jobs, present and new ones, when the last task completes.
    fn cancel_jobs_at_completion(&mut self, share: f64, until: f64) {
        self.cancel_at_completion = (share, until);
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let selected = self.rng.random_bool(share);
            self.jobs.get_mut(&id).unwrap().cancel_at_completion |= selected;
        }
    }

    /// Terminates a controller, which restarts after the delay.
    fn crash(&mut self, index: usize, delay_s: f64) {
        self.controllers[index].is_running = false;
        self.controllers[index].restart_at = self.now_s + delay_s;
    }

    /// Applies a change to a randomly drawn share of the workers.
    fn modify(&mut self, share: f64, change: impl Fn(&mut Worker)) {
        for name in self.draw_workers(share) {
            change(self.workers.get_mut(&name).unwrap());
        }
    }

    /// Terminates machines, which the machine list shows as running for another 30 s.
    fn terminate_machines(&mut self, count: usize) {
        for _ in 0..count {
            let names: Vec<String> = self.workers.keys().cloned().collect();
            if names.is_empty() {
                return;
            }
            let name = &names[self.rng.random_range(0..names.len())];
            let worker = self.workers.remove(name).unwrap();
            let pool = MachinePool {
                machine_type: worker.machine_type,
                zone: worker.zone,
                spot: worker.spot,
            };
            self.failed_machines
                .insert(name.clone(), (pool, self.now_s + 30.0));
        }
    }

    /// Cancels up to `count` accepted jobs on behalf of users.
    fn cancel_random_jobs(&mut self, count: usize) {
        let cancellable = self.jobs.iter().filter(|(_, job)| {
            job.seen_accepted_at.is_some() && !job.cancel_requested && job.seen_done_at.is_none()
        });
        let ids: Vec<String> = cancellable.map(|(id, _)| id.clone()).collect();
        for _ in 0..count.min(ids.len()) {
            let id = ids[self.rng.random_range(0..ids.len())].clone();
            self.cancel(&id);
        }
    }
}
