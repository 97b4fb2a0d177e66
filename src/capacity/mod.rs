//! Free room by machine, and places about to come free, as one round sees them.

pub mod price_cap;

use std::collections::HashMap;
use std::time::Instant;

use self::price_cap::too_dear;
use crate::cluster::{find_machine_type, Cluster, ImageId, Machine, PoolId};
use crate::model::{JobSpec, MachinePool, MachineType, Resources};

/// A task that outlived its estimate is expected to go on for at least this long.
const REMAINING_TIME_MIN_S: f64 = 3.0;
/// Time from a task's end to the start of another in its place: its report, a round, and the
/// report that takes the start.
const TURNOVER_S: f64 = 2.0;

/// Free room on one machine.
#[derive(Debug, Clone)]
pub struct MachineCapacity<'a> {
    /// The machine.
    pub machine: &'a Machine,
    /// Its kind.
    pub pool: PoolId,
    /// What is free.
    pub free: Resources,
}

/// Free room on all machines that take tasks, by kind.
#[derive(Debug)]
pub struct CapacityIndex<'a> {
    /// All of them.
    pub all: Vec<MachineCapacity<'a>>,
    /// Which of them are of a kind.
    by_pool: Vec<Vec<u32>>,
    pools: Vec<(&'a MachinePool, Option<&'a MachineType>)>,
    catalog: &'a [MachineType],
}

impl<'a> CapacityIndex<'a> {
    /// As the cluster state has it.
    pub fn of(cluster: &'a Cluster, now: Instant) -> Self {
        let pools: Vec<_> = cluster
            .pools
            .iter()
            .map(|(_, pool)| {
                (
                    pool,
                    find_machine_type(cluster.catalog(), &pool.machine_type),
                )
            })
            .collect();
        let mut all = Vec::with_capacity(cluster.machines.len());
        let mut by_pool = vec![Vec::new(); pools.len()];
        for machine in cluster.machines.values() {
            let Some(pool) = machine.pool else { continue };
            if !machine.takes_tasks(now, cluster.timing.suspect_after) {
                continue;
            }
            let Some(machine_type) = pools
                .get(usize::from(pool.0))
                .and_then(|(_, machine_type)| *machine_type)
            else {
                continue;
            };
            let mut free = machine_type.room;
            free.sub(&machine.taken());
            by_pool[usize::from(pool.0)].push(all.len() as u32);
            all.push(MachineCapacity {
                machine,
                pool,
                free,
            });
        }
        Self {
            all,
            by_pool,
            pools,
            catalog: cluster.catalog(),
        }
    }

    /// MachinePools that a job may use, in one zone or any, whose machines can hold a task of it and
    /// are not too dear for it.
    pub fn pools_for(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<PoolId> {
        let mut pools = self.all_pools_for(spec, zone);
        pools.retain(|id| {
            let machine_type = self.pools[usize::from(id.0)].1;
            machine_type.is_some_and(|machine_type| !too_dear(spec, machine_type, self.catalog))
        });
        pools
    }

    /// The same whatever they cost.
    pub fn all_pools_for(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<PoolId> {
        let numbered = self.pools.iter().enumerate();
        numbered
            .filter(|(_, (pool, machine_type))| {
                zone.is_none_or(|zone| zone == pool.zone)
                    && spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                    && machine_type
                        .is_some_and(|machine_type| spec.task_resources.fits(&machine_type.room))
            })
            .map(|(at, _)| PoolId(at as u16))
            .collect()
    }

    /// What machines of a kind have in common.
    pub fn pool(&self, id: PoolId) -> (&'a MachinePool, Option<&'a MachineType>) {
        self.pools[usize::from(id.0)]
    }

    /// CapacityIndex of some kinds in which a task of this size fits, as places in [`CapacityIndex::all`].
    pub fn fitting<'b>(
        &'b self,
        pools: &'b [PoolId],
        need: &'b Resources,
    ) -> impl Iterator<Item = usize> + 'b {
        let rooms = pools
            .iter()
            .flat_map(|pool| self.by_pool[usize::from(pool.0)].iter());
        rooms
            .map(|at| *at as usize)
            .filter(|at| need.fits(&self.all[*at].free))
    }

    /// Zones that have room of any size.
    pub fn zones(&self) -> Vec<String> {
        let pools = self.pools.iter().zip(&self.by_pool);
        let mut zones: Vec<String> = pools
            .filter(|(_, rooms)| !rooms.is_empty())
            .map(|((pool, _), _)| pool.zone.clone())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }
}

/// Places expected to come free, soonest first. A task whose image would take longer to fetch
/// than such a place takes to come free, on a machine that has the image, waits for it.
#[derive(Debug)]
pub struct ExpectedReleases {
    places: Vec<ExpectedRelease>,
    claimed: Vec<bool>,
    /// Places by the images of their machines, soonest first. Made when it is first asked for:
    /// where images are fetched in no time, nobody waits for a place that has one.
    by_image: Option<HashMap<ImageId, Vec<u32>>>,
}

/// A place that a running task is expected to leave.
#[derive(Debug, Clone)]
pub struct ExpectedRelease {
    /// In so many seconds.
    pub rest_s: f64,
    /// Where, in [`CapacityIndex::all`].
    pub room: usize,
    /// What it takes now.
    pub amount: Resources,
}

/// See [`ExpectedReleases`].
fn by_image(places: &[ExpectedRelease], rooms: &CapacityIndex) -> HashMap<ImageId, Vec<u32>> {
    let mut by_image: HashMap<ImageId, Vec<u32>> = HashMap::new();
    for (at, place) in places.iter().enumerate() {
        for (image, _) in &rooms.all[place.room].machine.images {
            by_image.entry(*image).or_default().push(at as u32);
        }
    }
    by_image
}

impl ExpectedReleases {
    /// From what runs, by the owners' estimates.
    pub fn of(rooms: &CapacityIndex, now: Instant) -> Self {
        let mut places = Vec::new();
        for (at, room) in rooms.all.iter().enumerate() {
            for instance in room.machine.instances.values() {
                let (Some(spec), Some(since)) = (&instance.spec, instance.running_since) else {
                    continue;
                };
                if instance.occupies() && spec.estimate_s > 0.0 {
                    let ran = now.saturating_duration_since(since).as_secs_f64();
                    let rest = (spec.estimate_s - ran).max(REMAINING_TIME_MIN_S) + TURNOVER_S;
                    places.push(ExpectedRelease {
                        rest_s: rest,
                        room: at,
                        amount: spec.task_resources,
                    });
                }
            }
        }
        places.sort_by(|a: &ExpectedRelease, b| a.rest_s.total_cmp(&b.rest_s));
        Self {
            claimed: vec![false; places.len()],
            places,
            by_image: None,
        }
    }

    /// All places, soonest first.
    pub fn places(&self) -> &[ExpectedRelease] {
        &self.places
    }

    /// Places that leave room for a task of the job within `limit` seconds, `most` at most.
    fn serving<'a>(
        &'a self,
        rooms: &'a CapacityIndex,
        (spec, zone): (&'a JobSpec, Option<&str>),
        most: u32,
        limit: f64,
    ) -> impl Iterator<Item = usize> + 'a {
        let pools = rooms.pools_for(spec, zone);
        let soon = self.places.iter().take_while(move |p| p.rest_s <= limit);
        let fitting = soon.enumerate().filter(move |(at, place)| {
            let room = &rooms.all[place.room];
            let mut free = room.free;
            free.add(&place.amount);
            !self.claimed[*at] && pools.contains(&room.pool) && spec.task_resources.fits(&free)
        });
        fitting.map(|(at, _)| at).take(most as usize)
    }

    /// How many such places there are.
    pub fn could_serve(
        &self,
        rooms: &CapacityIndex,
        wanted: (&JobSpec, Option<&str>),
        most: u32,
        limit: f64,
    ) -> u32 {
        self.serving(rooms, wanted, most, limit).count() as u32
    }

    /// Takes such places; how many there were.
    pub fn serve(
        &mut self,
        rooms: &CapacityIndex,
        wanted: (&JobSpec, Option<&str>),
        most: u32,
        limit: f64,
    ) -> u32 {
        let served: Vec<usize> = self.serving(rooms, wanted, most, limit).collect();
        for at in &served {
            self.claimed[*at] = true;
        }
        served.len() as u32
    }

    /// Takes the first place on a machine with the image that comes free within `limit`
    /// seconds. `from` is how far earlier calls for the same job have looked.
    pub fn claim(
        &mut self,
        rooms: &CapacityIndex,
        (pools, image): (&[PoolId], ImageId),
        limit: f64,
        from: &mut usize,
    ) -> bool {
        let places = &self.places;
        let by_image = self.by_image.get_or_insert_with(|| by_image(places, rooms));
        let Some(places) = by_image.get(&image) else {
            return false;
        };
        while let Some(at) = places.get(*from).map(|at| *at as usize) {
            let place = &self.places[at];
            if place.rest_s >= limit {
                return false;
            }
            *from += 1;
            if !self.claimed[at] && pools.contains(&rooms.all[place.room].pool) {
                self.claimed[at] = true;
                return true;
            }
        }
        false
    }
}
