//! The simulated cloud: machine list, rentals and boots.

use super::*;

impl Simulation {
    pub(super) fn machine_list(&mut self) -> Vec<ListedMachine> {
        let now_s = self.now_s;
        self.failed_machines
            .retain(|_, (_, until)| *until + 300.0 > now_s);
        let entry =
            |name: &String, machine_type: &str, zone: &str, spot, status: &str| ListedMachine {
                id: name.clone(),
                address: "127.0.0.1:9".to_owned(),
                machine_type: machine_type.to_owned(),
                zone: zone.to_owned(),
                spot,
                status: status.to_owned(),
                age_s: 60.0,
            };
        let running = self.workers.iter();
        let running =
            running.map(|(name, w)| entry(name, &w.machine_type, &w.zone, w.spot, "running"));
        let failed = self.failed_machines.iter().map(|(name, (pool, until))| {
            let status = if *until > now_s { "running" } else { "failed" };
            entry(name, &pool.machine_type, &pool.zone, pool.spot, status)
        });
        running.chain(failed).collect()
    }

    /// Rents up to `count` machines, limited by [`MACHINES_PER_TYPE_MAX`], and returns their names. The
    /// machines boot later.
    pub(super) fn rent_machines(&mut self, pool: &MachinePool, count: u32) -> Vec<String> {
        let running = self
            .workers
            .values()
            .filter(|worker| worker.machine_type == pool.machine_type);
        let available = MACHINES_PER_TYPE_MAX
            .saturating_sub(running.count())
            .min(count as usize);
        let names: Vec<String> = (0..available).map(|_| self.new_machine_name()).collect();
        for name in &names {
            let after = self.rng.random_range(0.2..2.0);
            self.deliver_after(after, Message::MachineBoot(name.clone(), pool.clone()));
        }
        names
    }

    pub(super) fn new_machine_name(&mut self) -> String {
        self.machines_created += 1;
        format!("m-{:06}", self.machines_created)
    }

    pub(super) fn boot_machine(&mut self, name: String, pool: MachinePool) {
        let worker = Worker {
            zone: pool.zone,
            machine_type: pool.machine_type,
            spot: pool.spot,
            epoch: 1,
            sequence: 0,
            token: 0,
            lease_started_at: self.now_s,
            controller: self.rng.random_range(0..3),
            next_heartbeat_at: self.now_s + self.rng.random_range(0.0..1.0),
            exchanges: 0,
            awaited_response: None,
            state_changed: false,
            last_heartbeat_at: self.now_s,
            token_raised_at: -1000.0,
            hung_until: 0.0,
            responses_lost_until: 0.0,
            heartbeats_lost_until: 0.0,
            held_messages: Vec::new(),
            tasks: BTreeMap::new(),
        };
        self.workers.insert(name, worker);
    }
}
