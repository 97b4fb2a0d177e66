//! Scale-out: packs tasks into capacity that is free or will be, and rents machines for the rest.

mod bins;
mod options;
mod spare;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use self::bins::{Bin, Bins};
use self::options::{PricedOption, RentalOption, UsableOption};
use super::FleetView;
use crate::cluster::Cluster;
use crate::demand::UnmetDemand;
use crate::model::{JobSpec, MachineId, MachinePool};
use crate::policy::SchedulingPolicy;

/// The part of a job's slack for which its tasks may wait for expected releases. The rest makes up
/// for wrong estimates.
const RELEASE_WAIT_SLACK_PART: f64 = 0.4;

/// Constraints on where and when tasks of a job may be packed.
struct PackingLimits<'a> {
    zone: Option<&'a str>,
    /// How long the tasks may wait for expected releases.
    wait_s: f64,
    /// The number of the job's tasks packed so far, by zone.
    per_zone: HashMap<String, u32>,
}

/// Plans the rentals of one scaling decision. As many tasks of a job as fit a machine are packed at
/// once, not one by one.
pub(super) struct ScaleOutPlanner<'a> {
    cluster: &'a Cluster,
    policy: &'a SchedulingPolicy,
    now: Instant,
    options: Vec<RentalOption<'a>>,
    bins: Bins<'a>,
    /// The number of machines to rent, by index into `options`.
    rentals: BTreeMap<usize, u32>,
    /// Machines, booting ones included, into which tasks were packed without waiting for a release.
    machines_in_use: HashSet<MachineId>,
}

impl<'a> ScaleOutPlanner<'a> {
    /// Creates a planner with the capacity of machines that take tasks and of machines that are
    /// booting, without the machines in `releasing`.
    pub(super) fn new(fleet_view: &FleetView<'a>, releasing: &HashSet<MachineId>) -> Self {
        let FleetView {
            cluster,
            policy,
            now,
            ..
        } = *fleet_view;
        let options = options::rental_options(fleet_view);
        Self {
            cluster,
            policy,
            now,
            bins: Bins::new(cluster, &options, releasing, now),
            options,
            rentals: BTreeMap::new(),
            machines_in_use: HashSet::new(),
        }
    }

    /// Adds the expected releases to the bins into which tasks are packed.
    pub(super) fn include_releases(&mut self) {
        for (option_index, bin) in std::mem::take(&mut self.bins.releases) {
            self.bins.by_option[option_index].push(bin);
        }
    }

    /// Removes the expected releases from the bins.
    pub(super) fn exclude_releases(&mut self) {
        for bins in &mut self.bins.by_option {
            bins.retain(|bin| bin.released_after_s.is_none());
        }
    }

    /// Returns the machines to rent by pool, and the machines whose free capacity is needed.
    pub(super) fn into_plan(self) -> (Vec<(MachinePool, u32)>, HashSet<MachineId>) {
        let rentals = self.rentals.into_iter();
        let rentals =
            rentals.map(|(option_index, count)| (self.options[option_index].pool.clone(), count));
        (rentals.collect(), self.machines_in_use)
    }

    /// Returns the shortest nominal boot time among machine types that a job can use; 0 if there
    /// are none.
    pub(super) fn shortest_boot(&self, spec: &JobSpec) -> Duration {
        let usable = self.options.iter().filter(|option| {
            let pool = &option.pool;
            spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&option.machine_type.capacity)
        });
        let boots = usable.map(|option| option.machine_type.boot_time);
        boots.min().unwrap_or(Duration::ZERO)
    }

    fn usable_options(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<UsableOption> {
        options::usable_options(&self.options, self.cluster.catalog(), spec, zone)
    }

    fn cheapest_first(&self, usable: &[UsableOption]) -> Vec<PricedOption> {
        options::cheapest_first(&self.options, usable)
    }

    /// Places unmet demand, and plans rentals for the tasks that don't fit. A single-zone job
    /// without a zone is placed in the cheapest one.
    pub(super) fn place(&mut self, demand: &UnmetDemand) {
        let spec = &demand.spec;
        let mut zone = demand.zone.clone();
        if spec.single_zone && zone.is_none() {
            zone = self.cheapest_zone(demand);
            if zone.is_none() {
                return;
            }
        }
        let start_by = demand.complete_by.checked_sub(spec.estimate());
        let slack = start_by.map_or(Duration::ZERO, |at| at.saturating_duration_since(self.now));
        let mut limits = PackingLimits {
            zone: zone.as_deref(),
            wait_s: slack.as_secs_f64() * RELEASE_WAIT_SLACK_PART,
            per_zone: HashMap::new(),
        };
        self.pack(spec, demand.tasks, &mut limits);
    }

    /// Returns the zone in which the fewest tasks need a new machine; among these, the zone with
    /// the lowest price.
    fn cheapest_zone(&self, demand: &UnmetDemand) -> Option<String> {
        let spec = &demand.spec;
        let mut zones: Vec<&String> = self
            .options
            .iter()
            .map(|option| &option.pool.zone)
            .collect();
        zones.sort();
        zones.dedup();
        let mut best: Option<(u32, f64, String)> = None;
        for zone in zones {
            let usable = self.usable_options(spec, Some(zone));
            let bins = usable
                .iter()
                .flat_map(|usable| &self.bins.by_option[usable.option]);
            let fitting: u32 = bins
                .map(|bin| spec.task_resources.count_in(&bin.free))
                .sum();
            let missing = demand.tasks.saturating_sub(fitting);
            let price = match self.cheapest_first(&usable).first() {
                Some(first) => first.hourly_price,
                None if missing == 0 => 0.0,
                None => continue,
            };
            let better = best
                .as_ref()
                .is_none_or(|(fewest_missing, lowest_price, _)| {
                    missing < *fewest_missing
                        || (missing == *fewest_missing && price < *lowest_price)
                });
            if better {
                best = Some((missing, price, zone.clone()));
            }
        }
        best.map(|(_, _, zone)| zone)
    }

    /// Packs tasks into bins, and plans rentals for the rest.
    fn pack(&mut self, spec: &JobSpec, tasks: u32, limits: &mut PackingLimits) {
        let usable = self.usable_options(spec, limits.zone);
        let remaining = self.pack_into_bins(spec, tasks, &usable, limits);
        self.rent_for(spec, remaining, &usable, limits);
    }

    /// Packs tasks into bins and returns how many don't fit. Machines into which tasks were packed
    /// are not released: a gang that waits for its last machine must not lose the first ones.
    fn pack_into_bins(
        &mut self,
        spec: &JobSpec,
        tasks: u32,
        usable: &[UsableOption],
        limits: &mut PackingLimits,
    ) -> u32 {
        let zone_cap = spec.max_tasks_per_zone();
        let mut remaining = tasks;
        for UsableOption { option: index, .. } in usable {
            let option = &self.options[*index];
            let boot_s = option.machine_type.boot_time.as_secs_f64();
            let zone = option.pool.zone.clone();
            let packed_in_zone = limits.per_zone.entry(zone).or_default();
            for bin in &mut self.bins.by_option[*index] {
                // A release must come before a new machine would have booted, or early enough for
                // the job to complete in time.
                let in_time = bin
                    .released_after_s
                    .is_none_or(|after_s| after_s < limits.wait_s.max(boot_s));
                let fitting = spec
                    .task_resources
                    .count_in(&bin.free)
                    .min(remaining)
                    .min(zone_cap - *packed_in_zone);
                if remaining == 0 || fitting == 0 || !in_time {
                    continue;
                }
                // A release serves only one task, regardless of its size, since estimates may be
                // wrong.
                let packed = if bin.released_after_s.is_some() {
                    1
                } else {
                    fitting
                };
                bin.free.sub(&spec.task_resources.times(packed));
                *packed_in_zone += packed;
                remaining -= packed;
                self.machines_in_use
                    .extend(bin.machine.map(|machine| machine.id.clone()));
            }
        }
        remaining
    }

    /// Plans rentals of machines for the tasks, cheapest first, and packs the tasks into them.
    fn rent_for(
        &mut self,
        spec: &JobSpec,
        tasks: u32,
        usable: &[UsableOption],
        limits: &mut PackingLimits,
    ) {
        let zone_cap = spec.max_tasks_per_zone();
        let mut remaining = tasks;
        for PricedOption { usable, .. } in self.cheapest_first(usable) {
            let (option_index, tasks_per_machine) = (usable.option, usable.tasks_per_machine);
            let option = &self.options[option_index];
            let zone = option.pool.zone.clone();
            let packed_in_zone = limits.per_zone.entry(zone).or_default();
            let mut unpacked = remaining.min(zone_cap - *packed_in_zone);
            if unpacked == 0 {
                continue;
            }
            *packed_in_zone += unpacked;
            remaining -= unpacked;
            *self.rentals.entry(option_index).or_default() += unpacked.div_ceil(tasks_per_machine);
            while unpacked > 0 {
                let packed = unpacked.min(tasks_per_machine);
                let mut free = option.machine_type.capacity;
                free.sub(&spec.task_resources.times(packed));
                unpacked -= packed;
                self.bins.by_option[option_index].push(Bin {
                    machine: None,
                    free,
                    released_after_s: None,
                });
            }
        }
    }
}
