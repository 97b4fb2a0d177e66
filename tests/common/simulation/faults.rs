//! What can go wrong, and how it begins.

use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::LinkId;

use super::*;

/// What can go wrong.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The state service is out for all.
    StoreOutage,
    /// It refuses whoever leads.
    StoreRefusesLeader,
    /// Whoever leads gets no answer to what it reads; its renewals and writes get theirs.
    LeaderReadsUnanswered,
    /// Each of its answers takes up to that many seconds.
    SlowStore(f64),
    /// That share of transactions gets no answer; carried out at once, or 2 to 12 s later.
    UnansweredTransactions { share: f64, applied_at_once: bool },
    /// Of that share of reports a copy comes again, or is kept for the next leader.
    DuplicateHeartbeats {
        share: f64,
        kept_for_next_leader: bool,
    },
    /// Answers and commands to that share of the machines are lost.
    LoseResponses(f64),
    /// Reports of that share of the machines are lost.
    LoseHeartbeats(f64),
    /// That share of the machines hangs.
    HangWorkers(f64),
    /// So many machines die.
    TerminateMachines(usize),
    /// Whoever leads ends, and is back after that time.
    CrashLeader(f64),
    /// A follower ends, and is back after that time.
    CrashFollower(f64),
    /// All end, and are back after that time.
    CrashAll(f64),
    /// Whoever leads stands still.
    PauseLeader,
    /// Whoever leads loses the workers.
    LeaderCutFromWorkers,
    /// Users call off so many jobs.
    CancelJobs(usize),
    /// Jobs are called off as their last task ends, that share of them.
    CancelAtCompletion(f64),
    /// Batches of forwarded reports are lost, held or doubled.
    Batches(BatchFaults),
    /// A link is so meanwhile.
    Link(LinkId, LinkMode),
    /// A controller ends, and is back at once.
    Restart(usize),
    /// Transactions are refused; reads and leases are served.
    WritesRefused,
    /// A follower can't reach the leader; its workers and the state service reach both.
    FollowerCutFromLeader,
}

/// A fault with its time.
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
                // Every lease has its full time again afterwards.
                let expires_at = until + LEADER_LEASE_MIN.as_secs_f64();
                self.store
                    .leases
                    .values_mut()
                    .for_each(|lease_until| *lease_until = expires_at);
            }
            Fault::StoreRefusesLeader => {
                self.controller_refused = self.leader().map(|controller| (controller, until))
            }
            Fault::LeaderReadsUnanswered => {
                self.controller_without_reads = self.leader().map(|controller| (controller, until))
            }
            Fault::SlowStore(delay_max_s) => self.store_delay = (delay_max_s, until),
            Fault::UnansweredTransactions {
                share,
                applied_at_once,
            } => self.unanswered_transactions = (share, applied_at_once, until),
            Fault::DuplicateHeartbeats {
                share,
                kept_for_next_leader,
            } => self.duplicate_heartbeats = (share, kept_for_next_leader, until),
            Fault::LoseResponses(share) => {
                self.change_workers(share, |w| w.responses_lost_until = until)
            }
            Fault::LoseHeartbeats(share) => {
                self.change_workers(share, |w| w.heartbeats_lost_until = until)
            }
            Fault::HangWorkers(share) => self.change_workers(share, |w| w.hung_until = until),
            Fault::TerminateMachines(count) => self.terminate_machines(count),
            Fault::CrashLeader(restart_delay_s) => {
                if let Some(controller) = self.leader() {
                    self.crash(controller, restart_delay_s);
                }
            }
            Fault::CrashFollower(restart_delay_s) => {
                let leader = self.leader();
                if let Some(controller) = (0..3).find(|controller| Some(*controller) != leader) {
                    self.crash(controller, restart_delay_s);
                }
            }
            Fault::CrashAll(restart_delay_s) => {
                (0..3).for_each(|controller| self.crash(controller, restart_delay_s))
            }
            Fault::PauseLeader => {
                if let Some(controller) = self.leader() {
                    self.controllers[controller].paused_until = until;
                }
            }
            Fault::Batches(shares) => self.batch_faults = (shares, until),
            Fault::FollowerCutFromLeader => {
                let leader = self.leader();
                let follower = (0..3).find(|controller| Some(*controller) != leader);
                self.isolated_follower = follower.map(|controller| (controller, until));
            }
            Fault::Link(link, mode) => self.link_faults.push(TimedLinkFault { link, mode, until }),
            Fault::Restart(controller) => self.crash(controller, 0.2),
            Fault::WritesRefused => self.writes_refused_until = until,
            Fault::LeaderCutFromWorkers => {
                self.controller_cut_from_workers =
                    self.leader().map(|controller| (controller, until))
            }
            Fault::CancelJobs(count) => self.cancel_random_jobs(count),
            Fault::CancelAtCompletion(share) => {
                self.cancel_at_completion = (share, until);
                let ids: Vec<String> = self.jobs.keys().cloned().collect();
                for id in ids {
                    let selected = self.rng.random_bool(share);
                    self.jobs.get_mut(&id).unwrap().cancel_at_completion |= selected;
                }
            }
        }
    }

    /// A controller ends, and is back after that time.
    fn crash(&mut self, controller: usize, restart_delay_s: f64) {
        self.controllers[controller].is_running = false;
        self.controllers[controller].restart_at = self.now_s + restart_delay_s;
    }

    /// Changes a drawn share of the workers.
    fn change_workers(&mut self, share: f64, change: impl Fn(&mut Worker)) {
        for name in self.draw_workers(share) {
            change(self.workers.get_mut(&name).unwrap());
        }
    }

    /// So many machines die; the list shows them for a while.
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

    /// Users call off so many jobs.
    fn cancel_random_jobs(&mut self, count: usize) {
        let cancellable = self.jobs.iter().filter(|(_, job)| {
            job.observed_accepted_at.is_some()
                && !job.cancel_requested
                && job.observed_done_at.is_none()
        });
        let ids: Vec<String> = cancellable.map(|(id, _)| id.clone()).collect();
        for _ in 0..count.min(ids.len()) {
            let id = ids[self.rng.random_range(0..ids.len())].clone();
            self.cancel(&id);
        }
    }
}
