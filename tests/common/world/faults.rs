//! What can go wrong, and how it begins.

use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::LinkId;

use super::*;

/// What can go wrong.
#[derive(Clone, Debug)]
pub enum Fault {
    /// The state service is out for all.
    StoreOut,
    /// It refuses whoever leads.
    RefuseLeader,
    /// Whoever leads gets no answer to what it reads; its renewals and writes get theirs.
    NoReads,
    /// Each of its answers takes up to that many seconds.
    StoreSlow(f64),
    /// That share of transactions gets no answer; carried out at once, or 2 to 12 s later.
    LateWrites { share: f64, at_once: bool },
    /// Of that share of reports a copy comes again, or is kept for the next leader.
    LateReports { share: f64, for_next: bool },
    /// Answers and commands to that share of the machines are lost.
    Deaf(f64),
    /// Reports of that share of the machines are lost.
    Mute(f64),
    /// That share of the machines hangs.
    Hang(f64),
    /// So many machines die.
    Die(usize),
    /// Whoever leads ends, and is back after that time.
    CrashLeader(f64),
    /// A follower ends, and is back after that time.
    CrashFollower(f64),
    /// All end, and are back after that time.
    CrashAll(f64),
    /// Whoever leads stands still.
    FreezeLeader,
    /// Whoever leads loses the workers.
    CutFromWorkers,
    /// Users call off so many jobs.
    CancelNow(usize),
    /// Jobs are called off as their last task ends, that share of them.
    CancelAtEnd(f64),
    /// Batches of forwarded reports are lost, held or doubled.
    Batches(BatchTrouble),
    /// A link is so meanwhile.
    Link(LinkId, LinkMode),
    /// A controller ends, and is back at once.
    Restart(usize),
    /// Transactions are refused; reads and leases are served.
    WritesFail,
    /// A follower can't reach the leader; its workers and the state service reach both.
    CutFollower,
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub at: f64,
    pub lasts: f64,
    pub fault: Fault,
}

pub fn trouble(at: f64, lasts: f64, fault: Fault) -> Trouble {
    Trouble { at, lasts, fault }
}

impl World {
    pub(super) fn begin(&mut self, trouble: &Trouble) {
        let until = self.t + trouble.lasts;
        match trouble.fault.clone() {
            Fault::StoreOut => {
                self.out_until = until;
                // Every lease has its full time again afterwards.
                let full = until + LEADER_LEASE_MIN.as_secs_f64();
                self.store.leases.values_mut().for_each(|at| *at = full);
            }
            Fault::RefuseLeader => self.refused = self.leader().map(|n| (n, until)),
            Fault::NoReads => self.no_reads = self.leader().map(|n| (n, until)),
            Fault::StoreSlow(most) => self.slow = (most, until),
            Fault::LateWrites { share, at_once } => self.late_writes = (share, at_once, until),
            Fault::LateReports { share, for_next } => self.late_reports = (share, for_next, until),
            Fault::Deaf(share) => self.affect_workers(share, |w| w.deaf_until = until),
            Fault::Mute(share) => self.affect_workers(share, |w| w.mute_until = until),
            Fault::Hang(share) => self.affect_workers(share, |w| w.hung_until = until),
            Fault::Die(count) => self.machines_die(count),
            Fault::CrashLeader(away) => {
                if let Some(n) = self.leader() {
                    self.crash(n, away);
                }
            }
            Fault::CrashFollower(away) => {
                let leader = self.leader();
                if let Some(n) = (0..3).find(|n| Some(*n) != leader) {
                    self.crash(n, away);
                }
            }
            Fault::CrashAll(away) => (0..3).for_each(|n| self.crash(n, away)),
            Fault::FreezeLeader => {
                if let Some(n) = self.leader() {
                    self.nodes[n].frozen_until = until;
                }
            }
            Fault::Batches(kinds) => self.batch_trouble = (kinds, until),
            Fault::CutFollower => {
                let leader = self.leader();
                let follower = (0..3).find(|n| Some(*n) != leader);
                self.cut_follower = follower.map(|n| (n, until));
            }
            Fault::Link(link, mode) => self.cut_links.push(CutLink { link, mode, until }),
            Fault::Restart(n) => self.crash(n, 0.2),
            Fault::WritesFail => self.writes_fail_until = until,
            Fault::CutFromWorkers => self.cut = self.leader().map(|n| (n, until)),
            Fault::CancelNow(count) => self.cancel_some(count),
            Fault::CancelAtEnd(share) => {
                self.cancel_at_end = (share, until);
                let ids: Vec<String> = self.jobs.keys().cloned().collect();
                for id in ids {
                    let drawn = self.rng.random_bool(share);
                    self.jobs.get_mut(&id).unwrap().cancel_at_end |= drawn;
                }
            }
        }
    }

    /// A controller ends, and is back after that time.
    fn crash(&mut self, n: usize, away: f64) {
        self.nodes[n].up = false;
        self.nodes[n].back_at = self.t + away;
    }

    /// Changes a drawn share of the workers.
    fn affect_workers(&mut self, share: f64, change: impl Fn(&mut Worker)) {
        for name in self.some_workers(share) {
            change(self.workers.get_mut(&name).unwrap());
        }
    }

    /// So many machines die; the list shows them for a while.
    fn machines_die(&mut self, count: usize) {
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
            self.dead.insert(name.clone(), (pool, self.t + 30.0));
        }
    }

    /// Users call off so many jobs.
    fn cancel_some(&mut self, count: usize) {
        let open = self.jobs.iter().filter(|(_, job)| {
            job.told_accepted.is_some() && !job.asked_to_cancel && job.told_done.is_none()
        });
        let ids: Vec<String> = open.map(|(id, _)| id.clone()).collect();
        for _ in 0..count.min(ids.len()) {
            let id = ids[self.rng.random_range(0..ids.len())].clone();
            self.cancel(&id);
        }
    }
}
