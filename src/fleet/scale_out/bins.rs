//! Bins into which tasks are packed: free capacity of machines that take tasks, capacity of
//! machines that are booting, and expected releases.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::options::RentalOption;
use crate::capacity::releases::ExpectedReleases;
use crate::capacity::CapacityIndex;
use crate::cluster::{Cluster, Machine};
use crate::model::{MachineId, MachinePool, Resources};

/// A machine that has been booting for longer than its nominal boot time multiplied by this factor
/// is late. Its capacity no longer counts, unless too many machines of its pool are late.
const LATE_BOOT_FACTOR: f64 = 1.8;
/// The part of a pool's machines that may be replaced at once because they boot late; at least
/// [`LATE_BOOTS_REPLACED_MIN`].
const LATE_BOOTS_REPLACED_PART: f64 = 0.1;
/// The number of late machines of a pool that may be replaced at once, however small the pool is.
const LATE_BOOTS_REPLACED_MIN: usize = 4;

/// Capacity of one machine that is free or will be.
pub(super) struct Bin<'a> {
    /// The machine; absent if it is yet to be rented or if a task has to release the capacity
    /// first.
    pub(super) machine: Option<&'a Machine>,
    pub(super) free: Resources,
    /// In how many seconds a running task is expected to release the capacity; absent if it is
    /// free, or will be when the machine has booted.
    pub(super) released_after_s: Option<f64>,
}

/// All bins, by the rental option of their machine.
pub(super) struct Bins<'a> {
    /// Indexed like the rental options.
    pub(super) by_option: Vec<Vec<Bin<'a>>>,
    /// Expected releases, each with the index of its rental option. They are not part of
    /// `by_option`.
    pub(super) releases: Vec<(usize, Bin<'a>)>,
}

impl<'a> Bins<'a> {
    /// Returns the capacity of all machines but those in `releasing`.
    pub(super) fn new(
        cluster: &'a Cluster,
        options: &[RentalOption],
        releasing: &HashSet<MachineId>,
        now: Instant,
    ) -> Self {
        let option_by_pool = options_by_pool(cluster, options);
        let option_of = |machine: &Machine| {
            let pool = machine.pool.filter(|_| !releasing.contains(&machine.id))?;
            option_by_pool.get(usize::from(pool.0)).copied().flatten()
        };
        let capacity = CapacityIndex::of(cluster, now);
        let releases = release_bins(&capacity, &option_of, now);
        let mut by_option: Vec<Vec<Bin>> = options.iter().map(|_| Vec::new()).collect();
        for candidate in capacity.machines {
            if let Some(index) = option_of(candidate.machine) {
                by_option[index].push(Bin {
                    machine: Some(candidate.machine),
                    free: candidate.free,
                    released_after_s: None,
                });
            }
        }
        for (index, machine) in booting_machines(cluster, options, &option_of, now) {
            by_option[index].push(Bin {
                machine: Some(machine),
                free: options[index].machine_type.capacity,
                released_after_s: None,
            });
        }
        Self {
            by_option,
            releases,
        }
    }
}

/// Returns the index of the rental option of each pool, by pool id; `None` if the catalog no longer
/// offers it.
fn options_by_pool(cluster: &Cluster, options: &[RentalOption]) -> Vec<Option<usize>> {
    let option_of = |pool: &MachinePool| options.iter().position(|option| option.pool == *pool);
    let pools = cluster.pools.iter();
    pools.map(|(_, pool)| option_of(pool)).collect()
}

fn release_bins<'a>(
    capacity: &CapacityIndex,
    option_of: &dyn Fn(&Machine) -> Option<usize>,
    now: Instant,
) -> Vec<(usize, Bin<'a>)> {
    let mut bins = Vec::new();
    for release in ExpectedReleases::of(capacity, now).all() {
        let candidate = &capacity.machines[release.machine];
        let Some(index) = option_of(candidate.machine) else {
            continue;
        };
        let mut free = candidate.free;
        free.add(&release.resources);
        let bin = Bin {
            machine: None,
            free,
            released_after_s: Some(release.after_s),
        };
        bins.push((index, bin));
    }
    bins
}

/// Returns the booting machines whose capacity counts, each with the index of its rental option.
/// Late machines don't count, so that others are rented instead: the latest first, and only a
/// limited number at once, because new machines would be late as well where all boots are slow.
fn booting_machines<'a>(
    cluster: &'a Cluster,
    options: &[RentalOption],
    option_of: &dyn Fn(&Machine) -> Option<usize>,
    now: Instant,
) -> Vec<(usize, &'a Machine)> {
    let mut booting_machines = Vec::new();
    let mut late_machines: BTreeMap<usize, Vec<(Duration, &Machine)>> = BTreeMap::new();
    let mut machine_counts: HashMap<usize, usize> = HashMap::new();
    for machine in cluster.machines.values() {
        let Some(index) = option_of(machine) else {
            continue;
        };
        *machine_counts.entry(index).or_default() += 1;
        let is_booting = machine.last_heartbeat_at.is_none()
            && !machine.is_releasing()
            && !cluster.unreconciled.contains(&machine.id);
        if !is_booting {
            continue;
        }
        let age = now.saturating_duration_since(machine.rented_at);
        if age
            <= options[index]
                .machine_type
                .boot_time
                .mul_f64(LATE_BOOT_FACTOR)
        {
            booting_machines.push((index, machine));
        } else {
            late_machines.entry(index).or_default().push((age, machine));
        }
    }
    for (index, mut machines) in late_machines {
        let machine_count = machine_counts.get(&index).copied().unwrap_or_default();
        let replaced = ((machine_count as f64 * LATE_BOOTS_REPLACED_PART) as usize)
            .max(LATE_BOOTS_REPLACED_MIN);
        machines.sort_by_key(|(age, _)| std::cmp::Reverse(*age));
        let not_replaced = machines.into_iter().skip(replaced);
        booting_machines.extend(not_replaced.map(|(_, machine)| (index, machine)));
    }
    booting_machines
}
