//! The model's cloud.

use super::*;

impl World {
    pub(super) fn list(&mut self) -> Vec<ListedMachine> {
        let t = self.t;
        self.dead.retain(|_, (_, until)| *until + 300.0 > t);
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
        let up = self.workers.iter();
        let up = up.map(|(name, w)| entry(name, &w.machine_type, &w.zone, w.spot, "running"));
        let dead = self.dead.iter().map(|(name, (pool, until))| {
            let status = if *until > t { "running" } else { "failed" };
            entry(name, &pool.machine_type, &pool.zone, pool.spot, status)
        });
        up.chain(dead).collect()
    }

    pub(super) fn rent(&mut self, pool: &MachinePool, count: u32) -> Vec<String> {
        let has = self
            .workers
            .values()
            .filter(|w| w.machine_type == pool.machine_type);
        let room = CAPACITY.saturating_sub(has.count()).min(count as usize);
        let names: Vec<String> = (0..room).map(|_| self.new_name()).collect();
        for name in &names {
            let after = self.rng.random_range(0.2..2.0);
            self.post(after, Mail::Boot(name.clone(), pool.clone()));
        }
        names
    }

    pub(super) fn new_name(&mut self) -> String {
        self.machines_ever += 1;
        format!("m-{:06}", self.machines_ever)
    }

    pub(super) fn boot(&mut self, name: String, pool: MachinePool) {
        let worker = Worker {
            zone: pool.zone,
            machine_type: pool.machine_type,
            spot: pool.spot,
            epoch: 1,
            sequence: 0,
            token: 0,
            base: self.t,
            node: self.rng.random_range(0..3),
            next_report: self.t + self.rng.random_range(0.0..1.0),
            waits: None,
            changed: false,
            last_report: self.t,
            rose_at: -1000.0,
            hung_until: 0.0,
            deaf_until: 0.0,
            mute_until: 0.0,
            held: Vec::new(),
            tasks: BTreeMap::new(),
        };
        self.workers.insert(name, worker);
    }
}
