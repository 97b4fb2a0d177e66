//! Free capacity of machines, and capacity about to be released, during one scheduling cycle.

pub mod price_cap;
pub mod releases;

use std::time::Instant;

use self::price_cap::exceeds_price_cap;
use crate::cluster::{find_machine_type, Cluster, Machine, PoolId};
use crate::model::{JobSpec, MachinePool, MachineType, Resources};

/// Free capacity of one machine.
#[derive(Debug, Clone)]
pub struct MachineCapacity<'a> {
    /// A machine that takes new tasks.
    pub machine: &'a Machine,
    /// The number of its pool, as in [`CapacityIndex::pool`].
    pub pool: PoolId,
    /// Its type's capacity less all allocated resources; reduced as the cycle places tasks.
    pub free: Resources,
}

/// A pool with its machine type.
#[derive(Debug, Clone, Copy)]
pub struct IndexedPool<'a> {
    /// The pool, whether or not any of its machines takes tasks.
    pub pool: &'a MachinePool,
    /// Absent if the catalog does not contain the type.
    pub machine_type: Option<&'a MachineType>,
}

/// Free capacity of all machines that take tasks, by pool.
#[derive(Debug)]
pub struct CapacityIndex<'a> {
    /// The machines, in the order of their names.
    pub machines: Vec<MachineCapacity<'a>>,
    by_pool: Vec<Vec<u32>>,
    pools: Vec<IndexedPool<'a>>,
    catalog: &'a [MachineType],
}

impl<'a> CapacityIndex<'a> {
    /// Builds the index from the cluster state.
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
            free.sub(&machine.allocated());
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

    /// Pools within the job's price cap that it may use, in one zone or any, whose machines can
    /// hold a task of it.
    pub fn pools_for(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<PoolId> {
        let mut pools = self.pools_for_at_any_price(spec, zone);
        pools.retain(|id| {
            let machine_type = self.pool(*id).machine_type;
            machine_type
                .is_some_and(|machine_type| !exceeds_price_cap(spec, machine_type, self.catalog))
        });
        pools
    }

    /// Pools that a job may use, in one zone or any, whose machines can hold a task of it.
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
            .map(|(index, _)| PoolId(index as u16))
            .collect()
    }

    /// The pool with this number, which must come from the cluster state that the index was built
    /// from.
    pub fn pool(&self, id: PoolId) -> IndexedPool<'a> {
        self.pools[usize::from(id.0)]
    }

    /// Machines of these pools with free capacity for a task, as indices into
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
            .map(|index| *index as usize)
            .filter(|index| needed.fits(&self.machines[*index].free))
    }

    /// The zones with machines that take tasks, sorted.
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
