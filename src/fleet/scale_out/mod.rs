//! Scale out: packs tasks into the capacity that is free or will be, and rents for the rest.

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

/// Part of a patient job's slack that may pass in waiting for expected releases; the rest is for
/// estimates that are wrong.
const SLACK_PART: f64 = 0.4;

/// Where tasks of a job may be packed.
struct PackingLimits<'a> {
    zone: Option<&'a str>,
    /// Seconds they may wait for expected releases.
    wait_s: f64,
    /// Tasks of the job already packed, by zone.
    per_zone: HashMap<String, u32>,
}

/// Plans one scaling decision. Tasks of a job are packed by the machine, not one by one.
pub(super) struct ScaleOutPlanner<'a> {
    cluster: &'a Cluster,
    policy: &'a SchedulingPolicy,
    now: Instant,
    options: Vec<RentalOption<'a>>,
    bins: Bins<'a>,
    /// Machines to rent, by option.
    rentals: BTreeMap<usize, u32>,
    /// Machines whose capacity is needed.
    in_use: HashSet<MachineId>,
}

impl<'a> ScaleOutPlanner<'a> {
    /// A planner with the capacity of machines that take tasks, and of machines that boot.
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
            in_use: HashSet::new(),
        }
    }

    /// Lets tasks be packed into expected releases.
    pub(super) fn include_releases(&mut self) {
        for (at, bin) in std::mem::take(&mut self.bins.releases) {
            self.bins.by_option[at].push(bin);
        }
    }

    /// Ends that.
    pub(super) fn exclude_releases(&mut self) {
        for bins in &mut self.bins.by_option {
            bins.retain(|bin| bin.released_after_s.is_none());
        }
    }

    /// The machines to rent, and those that are in use, or will be, for what was packed.
    pub(super) fn into_plan(self) -> (Vec<(MachinePool, u32)>, HashSet<MachineId>) {
        let rentals = self.rentals.into_iter();
        let rentals = rentals.map(|(at, count)| (self.options[at].pool.clone(), count));
        (rentals.collect(), self.in_use)
    }

    /// The shortest boot of machines that a job can use.
    pub(super) fn quickest_boot(&self, spec: &JobSpec) -> Duration {
        let usable = self.options.iter().filter(|option| {
            let pool = &option.pool;
            spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&option.machine_type.capacity)
        });
        let boots = usable.map(|option| option.machine_type.boot_time);
        boots.min().unwrap_or(Duration::ZERO)
    }

    fn usable(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<UsableOption> {
        options::usable(&self.options, self.cluster.catalog(), spec, zone)
    }

    fn cheapest(&self, usable: &[UsableOption]) -> Vec<PricedOption> {
        options::cheapest(&self.options, usable)
    }

    /// Places unmet demand, renting what is missing.
    pub(super) fn place(&mut self, demand: &UnmetDemand) {
        let spec = &demand.spec;
        let mut zone = demand.zone.clone();
        if spec.single_zone && zone.is_none() {
            zone = self.cheapest_zone(demand);
            if zone.is_none() {
                return;
            }
        }
        let latest = demand.complete_by.checked_sub(spec.estimate());
        let slack = latest.map_or(Duration::ZERO, |at| at.saturating_duration_since(self.now));
        let mut limits = PackingLimits {
            zone: zone.as_deref(),
            wait_s: slack.as_secs_f64() * SLACK_PART,
            per_zone: HashMap::new(),
        };
        self.pack(spec, demand.tasks, &mut limits);
    }

    /// The zone in which the fewest machines have to be rented, then the cheapest.
    fn cheapest_zone(&self, demand: &UnmetDemand) -> Option<String> {
        let spec = &demand.spec;
        let mut zones: Vec<&String> = self.options.iter().map(|o| &o.pool.zone).collect();
        zones.sort();
        zones.dedup();
        let mut best: Option<(u32, f64, String)> = None;
        for zone in zones {
            let usable = self.usable(spec, Some(zone));
            let bins = usable
                .iter()
                .flat_map(|usable| &self.bins.by_option[usable.option]);
            let fitting: u32 = bins
                .map(|bin| spec.task_resources.count_in(&bin.free))
                .sum();
            let missing = demand.tasks.saturating_sub(fitting);
            let price = match self.cheapest(&usable).first() {
                Some(first) => first.price,
                None if missing == 0 => 0.0,
                None => continue,
            };
            let better = best.as_ref().is_none_or(|(fewest, least, _)| {
                missing < *fewest || (missing == *fewest && price < *least)
            });
            if better {
                best = Some((missing, price, zone.clone()));
            }
        }
        best.map(|(_, _, zone)| zone)
    }

    /// Packs tasks into bins and rents for the rest.
    fn pack(&mut self, spec: &JobSpec, tasks: u32, limits: &mut PackingLimits) {
        let usable = self.usable(spec, limits.zone);
        let left = self.pack_into_bins(spec, tasks, &usable, limits);
        self.rent_for(spec, left, &usable, limits);
    }

    /// Packs tasks into bins; returns how many are left. Machines whose capacity is used are kept:
    /// a gang that waits for the last of its machines must not lose the first ones.
    fn pack_into_bins(
        &mut self,
        spec: &JobSpec,
        tasks: u32,
        usable: &[UsableOption],
        limits: &mut PackingLimits,
    ) -> u32 {
        let zone_cap = spec.max_tasks_per_zone();
        let mut left = tasks;
        for UsableOption { option: at, .. } in usable {
            let option = &self.options[*at];
            let boot_s = option.machine_type.boot_time.as_secs_f64();
            let zone = option.pool.zone.clone();
            let in_zone = limits.per_zone.entry(zone).or_default();
            for bin in &mut self.bins.by_option[*at] {
                // A release must come sooner than a new machine would be up, or soon enough for the
                // job to be in time.
                let in_time = bin
                    .released_after_s
                    .is_none_or(|after_s| after_s < limits.wait_s.max(boot_s));
                let fitting = spec
                    .task_resources
                    .count_in(&bin.free)
                    .min(left)
                    .min(zone_cap - *in_zone);
                if left == 0 || fitting == 0 || !in_time {
                    continue;
                }
                // A release serves one task, whatever its size: estimates are not added up.
                let packed = if bin.released_after_s.is_some() {
                    1
                } else {
                    fitting
                };
                bin.free.sub(&spec.task_resources.times(packed));
                *in_zone += packed;
                left -= packed;
                self.in_use
                    .extend(bin.machine.map(|machine| machine.id.clone()));
            }
        }
        left
    }

    /// Rents machines for tasks, cheapest first, and packs the tasks into them.
    fn rent_for(
        &mut self,
        spec: &JobSpec,
        tasks: u32,
        usable: &[UsableOption],
        limits: &mut PackingLimits,
    ) {
        let zone_cap = spec.max_tasks_per_zone();
        let mut left = tasks;
        for PricedOption { usable, .. } in self.cheapest(usable) {
            let (at, each) = (usable.option, usable.tasks_per_machine);
            let option = &self.options[at];
            let zone = option.pool.zone.clone();
            let in_zone = limits.per_zone.entry(zone).or_default();
            let mut rented_for = left.min(zone_cap - *in_zone);
            if rented_for == 0 {
                continue;
            }
            *in_zone += rented_for;
            left -= rented_for;
            *self.rentals.entry(at).or_default() += rented_for.div_ceil(each);
            while rented_for > 0 {
                let packed = rented_for.min(each);
                let mut free = option.machine_type.capacity;
                free.sub(&spec.task_resources.times(packed));
                rented_for -= packed;
                self.bins.by_option[at].push(Bin {
                    machine: None,
                    free,
                    released_after_s: None,
                });
            }
        }
    }
}
