//! Bins into which tasks are packed: free capacity of machines, of machines that boot, and expected
//! releases.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::options::RentalOption;
use crate::capacity::releases::ExpectedReleases;
use crate::capacity::CapacityIndex;
use crate::cluster::{Cluster, Machine};
use crate::model::{MachineId, MachinePool, Resources};

/// A boot of this many times its nominal time is late, and its capacity no longer counted on.
const LATE_BOOT_FACTOR: f64 = 1.8;
/// Machines of a pool whose late boots are replaced at once: a part of all that there are of it,
/// and a few in any case.
const REPLACED_PART: f64 = 0.1;
const REPLACED_BOOTS_MIN: usize = 4;

/// Capacity that is free, or will be.
pub(super) struct Bin<'a> {
    /// The machine, if it is rented and its capacity need not be released first.
    pub(super) machine: Option<&'a Machine>,
    /// What is free.
    pub(super) free: Resources,
    /// In how many seconds the task that is still on it is expected to release it.
    pub(super) released_after_s: Option<f64>,
}

/// Bins by rental option.
pub(super) struct Bins<'a> {
    pub(super) by_option: Vec<Vec<Bin<'a>>>,
    /// Expected releases, with their options.
    pub(super) releases: Vec<(usize, Bin<'a>)>,
}

impl<'a> Bins<'a> {
    /// The capacity of all machines but those that are being released.
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
            if let Some(at) = option_of(candidate.machine) {
                by_option[at].push(Bin {
                    machine: Some(candidate.machine),
                    free: candidate.free,
                    released_after_s: None,
                });
            }
        }
        for (at, machine) in booting(cluster, options, &option_of, now) {
            by_option[at].push(Bin {
                machine: Some(machine),
                free: options[at].machine_type.capacity,
                released_after_s: None,
            });
        }
        Self {
            by_option,
            releases,
        }
    }
}

/// The rental option of each pool.
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
        let Some(at) = option_of(candidate.machine) else {
            continue;
        };
        let mut free = candidate.free;
        free.add(&release.resources);
        let bin = Bin {
            machine: None,
            free,
            released_after_s: Some(release.after_s),
        };
        bins.push((at, bin));
    }
    bins
}

/// Machines that boot and are counted on, with their options. Late ones are replaced, the longest
/// late first, but only so many at once: where all boots are slow, new ones would be late as well.
fn booting<'a>(
    cluster: &'a Cluster,
    options: &[RentalOption],
    option_of: &dyn Fn(&Machine) -> Option<usize>,
    now: Instant,
) -> Vec<(usize, &'a Machine)> {
    let mut booting = Vec::new();
    let mut late: BTreeMap<usize, Vec<(Duration, &Machine)>> = BTreeMap::new();
    let mut all: HashMap<usize, usize> = HashMap::new();
    for machine in cluster.machines.values() {
        let Some(at) = option_of(machine) else {
            continue;
        };
        *all.entry(at).or_default() += 1;
        let boots = machine.last_heartbeat_at.is_none()
            && !machine.releasing
            && !cluster.unreconciled.contains(&machine.id);
        if !boots {
            continue;
        }
        let age = now.saturating_duration_since(machine.rented_at);
        if age <= options[at].machine_type.boot_time.mul_f64(LATE_BOOT_FACTOR) {
            booting.push((at, machine));
        } else {
            late.entry(at).or_default().push((age, machine));
        }
    }
    for (at, mut machines) in late {
        let all = all.get(&at).copied().unwrap_or_default();
        let replaced = ((all as f64 * REPLACED_PART) as usize).max(REPLACED_BOOTS_MIN);
        machines.sort_by_key(|(age, _)| std::cmp::Reverse(*age));
        let counted = machines.into_iter().skip(replaced);
        booting.extend(counted.map(|(_, machine)| (at, machine)));
    }
    booting
}
