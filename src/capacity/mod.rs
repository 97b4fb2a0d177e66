//! Free capacity of machines, and capacity about to be released, as one scheduling cycle sees them.

pub mod price_cap;
pub mod releases;

use std::time::Instant;

use self::price_cap::exceeds_price_cap;
use crate::cluster::{find_machine_type, Cluster, Machine, PoolId};
use crate::model::{JobSpec, MachinePool, MachineType, Resources};

/// Free capacity of one machine.
#[derive(Debug, Clone)]
pub struct MachineCapacity<'a> {
    /// The machine.
    pub machine: &'a Machine,
    /// Its pool.
    pub pool: PoolId,
    /// What is free.
    pub free: Resources,
}

/// A pool with its machine type, if the catalog has that.
#[derive(Debug, Clone, Copy)]
pub struct IndexedPool<'a> {
    /// The pool.
    pub pool: &'a MachinePool,
    /// Its machine type.
    pub machine_type: Option<&'a MachineType>,
}

/// Free capacity of all machines that take tasks, by pool.
#[derive(Debug)]
pub struct CapacityIndex<'a> {
    /// All of them.
    pub machines: Vec<MachineCapacity<'a>>,
    /// Indices into `machines`, by pool.
    by_pool: Vec<Vec<u32>>,
    pools: Vec<IndexedPool<'a>>,
    catalog: &'a [MachineType],
}

impl<'a> CapacityIndex<'a> {
    /// The index of the cluster state.
    pub fn of(cluster: &'a Cluster, now: Instant) -> Self {
        let pools: Vec<_> = cluster
            .pools
            .iter()
            .map(|(_, pool)| IndexedPool {
                pool,
                machine_type: find_machine_type(cluster.catalog(), &pool.machine_type),
            })
            .collect();
        let mut machines = Vec::with_capacity(cluster.machines.len());
        let mut by_pool = vec![Vec::new(); pools.len()];
        for machine in cluster.machines.values() {
            let Some(pool) = machine.pool else { continue };
            if !machine.takes_tasks(now, cluster.timing.suspect_after) {
                continue;
            }
            let indexed = pools.get(usize::from(pool.0));
            let Some(machine_type) = indexed.and_then(|indexed| indexed.machine_type) else {
                continue;
            };
            let mut free = machine_type.capacity;
            free.sub(&machine.taken());
            by_pool[usize::from(pool.0)].push(machines.len() as u32);
            machines.push(MachineCapacity {
                machine,
                pool,
                free,
            });
        }
        Self {
            machines,
            by_pool,
            pools,
            catalog: cluster.catalog(),
        }
    }

    /// Pools that a job may use, in one zone or any, whose machines can hold a task of it and are
    /// within its price cap.
    pub fn pools_for(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<PoolId> {
        let mut pools = self.pools_for_at_any_price(spec, zone);
        pools.retain(|id| {
            let machine_type = self.pool(*id).machine_type;
            machine_type
                .is_some_and(|machine_type| !exceeds_price_cap(spec, machine_type, self.catalog))
        });
        pools
    }

    /// The same whatever they cost.
    pub fn pools_for_at_any_price(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<PoolId> {
        let numbered = self.pools.iter().enumerate();
        numbered
            .filter(|(_, IndexedPool { pool, machine_type })| {
                zone.is_none_or(|zone| zone == pool.zone)
                    && spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                    && machine_type.is_some_and(|machine_type| {
                        spec.task_resources.fits(&machine_type.capacity)
                    })
            })
            .map(|(at, _)| PoolId(at as u16))
            .collect()
    }

    /// A pool.
    pub fn pool(&self, id: PoolId) -> IndexedPool<'a> {
        self.pools[usize::from(id.0)]
    }

    /// Machines of some pools in which a task of this size fits, as indices into
    /// [`CapacityIndex::machines`].
    pub fn machines_fitting<'b>(
        &'b self,
        pools: &'b [PoolId],
        needed: &'b Resources,
    ) -> impl Iterator<Item = usize> + 'b {
        let machines = pools
            .iter()
            .flat_map(|pool| self.by_pool[usize::from(pool.0)].iter());
        machines
            .map(|at| *at as usize)
            .filter(|at| needed.fits(&self.machines[*at].free))
    }

    /// Zones with machines that take tasks.
    pub fn zones(&self) -> Vec<String> {
        let pools = self.pools.iter().zip(&self.by_pool);
        let mut zones: Vec<String> = pools
            .filter(|(_, machines)| !machines.is_empty())
            .map(|(indexed, _)| indexed.pool.zone.clone())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }
}
