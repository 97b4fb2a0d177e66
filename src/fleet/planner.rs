//! Puts what waits into the room there is or will be, and rents for the rest.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::idle::Demand;
use super::lost::cut_off;
use super::{FleetView, IdlePolicy, Market};
use crate::capacity::price_cap::exceeds_price_cap;
use crate::capacity::releases::ExpectedReleases;
use crate::capacity::CapacityIndex;
use crate::cluster::{Cluster, Machine};
use crate::demand::UnmetDemand;
use crate::model::{JobSpec, MachineId, MachinePool, MachineType, Resources};
use crate::policy::SchedulingPolicy;

/// A boot of this many times its nominal time no longer counts on as room to come.
const LATE_BOOT: f64 = 1.8;
/// Machines of a kind whose late boots are replaced at once: a part of all that there are of it,
/// and a few in any case.
const REPLACED_PART: f64 = 0.1;
const REPLACED_BOOTS_MIN: usize = 4;
/// Standard deviations above the mean of what may arrive while a machine boots.
const SPARE_DEVIATIONS: f64 = 3.0;
/// Part of a patient job's slack that may go by in waiting for places to come free; the rest
/// is for estimates that are wrong.
const SLACK_PART: f64 = 0.4;
/// Shortest time over which arrivals are averaged, so that the first ones don't count for a
/// flood.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(90);

/// What can be rented, with its price.
struct RentalOption<'a> {
    pool: MachinePool,
    machine_type: &'a MachineType,
    asked: bool,
}

/// MachineCapacity that is there, or will be.
struct Vacancy<'a> {
    machine: Option<&'a Machine>,
    free: Resources,
    /// A task is on it still, and is expected to leave in so many seconds.
    rest_s: Option<f64>,
}

/// Where tasks may be put.
struct Bounds<'a> {
    zone: Option<&'a str>,
    /// Seconds they may wait for others to leave.
    patience_s: f64,
    /// Tasks of their job already put, by zone.
    per_zone: HashMap<String, u32>,
}

/// Machines that boot and are counted on, with the options they are of. Late ones are replaced, the
/// longest late first, but only so many at once: where all boots are slow, others would be late
/// as well.
fn coming<'a>(
    cluster: &'a Cluster,
    leaving: &HashSet<MachineId>,
    options: &[RentalOption],
    offer_of: &dyn Fn(&Machine) -> Option<usize>,
    now: Instant,
) -> Vec<(usize, &'a Machine)> {
    let mut coming = Vec::new();
    let mut late: BTreeMap<usize, Vec<(Duration, &Machine)>> = BTreeMap::new();
    let mut all: HashMap<usize, usize> = HashMap::new();
    for machine in cluster.machines.values() {
        let Some(at) = offer_of(machine).filter(|_| !leaving.contains(&machine.id)) else {
            continue;
        };
        *all.entry(at).or_default() += 1;
        let boots = machine.last_heartbeat.is_none()
            && !machine.releasing
            && !cluster.unreconciled.contains(&machine.id);
        if !boots {
            continue;
        }
        let age = now.saturating_duration_since(machine.rented_at);
        if age <= options[at].machine_type.boot.mul_f64(LATE_BOOT) {
            coming.push((at, machine));
        } else {
            late.entry(at).or_default().push((age, machine));
        }
    }
    for (at, mut machines) in late {
        let known = all.get(&at).copied().unwrap_or_default();
        let replaced = ((known as f64 * REPLACED_PART) as usize).max(REPLACED_BOOTS_MIN);
        machines.sort_by_key(|(age, _)| std::cmp::Reverse(*age));
        let counted = machines.into_iter().skip(replaced);
        coming.extend(counted.map(|(_, machine)| (at, machine)));
    }
    coming
}

/// The plan of one decision about the fleet. Tasks of a job are put by the machine, not one by one.
pub(super) struct Planner<'a> {
    cluster: &'a Cluster,
    policy: &'a SchedulingPolicy,
    now: Instant,
    options: Vec<RentalOption<'a>>,
    /// MachineCapacity by option.
    vacancies: Vec<Vec<Vacancy<'a>>>,
    departing: Vec<(usize, Vacancy<'a>)>,
    rents: BTreeMap<usize, u32>,
    /// Machines whose room is spoken for.
    kept: HashSet<MachineId>,
}

/// All that the cloud offers, and whether it may be asked for now.
fn rental_options<'a>(
    cluster: &'a Cluster,
    market: &Market,
    now: Instant,
) -> Vec<RentalOption<'a>> {
    let mut options = Vec::new();
    for machine_type in cluster.catalog().iter() {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                let pool = MachinePool {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                let asked = market.asks(&pool, now) && !cut_off(cluster, zone, now);
                options.push(RentalOption {
                    pool,
                    machine_type,
                    asked,
                });
            }
        }
    }
    options
}

/// Where machines of each kind stand among the options.
fn offers_by_kind(cluster: &Cluster, options: &[RentalOption]) -> Vec<Option<usize>> {
    let option_of = |pool: &MachinePool| options.iter().position(|option| option.pool == *pool);
    let pools = cluster.pools.iter();
    pools.map(|(_, pool)| option_of(pool)).collect()
}

impl<'a> Planner<'a> {
    /// MachineCapacity on machines that take tasks, and on machines that boot.
    pub(super) fn new(fleet_view: &FleetView<'a>, leaving: &HashSet<MachineId>) -> Self {
        let FleetView {
            cluster,
            policy,
            market,
            now,
            ..
        } = *fleet_view;
        let options = rental_options(cluster, market, now);
        let offer_by_kind = offers_by_kind(cluster, &options);
        let offer_of = |machine: &Machine| {
            let pool = machine.pool?;
            offer_by_kind.get(usize::from(pool.0)).copied().flatten()
        };
        let mut vacancies: Vec<Vec<Vacancy>> = options.iter().map(|_| Vec::new()).collect();
        let rooms = CapacityIndex::of(cluster, now);
        let departures = ExpectedReleases::of(&rooms, now);
        let mut departing = Vec::new();
        for place in departures.all() {
            let room = &rooms.machines[place.machine];
            let mut free = room.free;
            free.add(&place.resources);
            let vacancy = Vacancy {
                machine: None,
                free,
                rest_s: Some(place.after_s),
            };
            if let Some(at) = offer_of(room.machine).filter(|_| !leaving.contains(&room.machine.id))
            {
                departing.push((at, vacancy));
            }
        }
        for room in rooms.machines {
            if let Some(at) = offer_of(room.machine).filter(|_| !leaving.contains(&room.machine.id))
            {
                vacancies[at].push(Vacancy {
                    machine: Some(room.machine),
                    free: room.free,
                    rest_s: None,
                });
            }
        }
        for (at, machine) in coming(cluster, leaving, &options, &offer_of, now) {
            vacancies[at].push(Vacancy {
                machine: Some(machine),
                free: options[at].machine_type.capacity,
                rest_s: None,
            });
        }
        Self {
            cluster,
            policy,
            now,
            options,
            vacancies,
            departing,
            rents: BTreeMap::new(),
            kept: HashSet::new(),
        }
    }

    /// Lets tasks count on room that running ones will leave, by their owners' estimates.
    pub(super) fn count_on_departures(&mut self) {
        for (at, vacancy) in std::mem::take(&mut self.departing) {
            self.vacancies[at].push(vacancy);
        }
    }

    /// Ends that.
    pub(super) fn forget_departures(&mut self) {
        for vacancies in &mut self.vacancies {
            vacancies.retain(|vacancy| vacancy.rest_s.is_none());
        }
    }

    /// What to rent.
    pub(super) fn rents(self) -> Vec<(MachinePool, u32)> {
        let rents = self.rents.into_iter();
        rents
            .map(|(at, count)| (self.options[at].pool.clone(), count))
            .collect()
    }

    /// The shortest boot of what a job can use.
    pub(super) fn quickest_boot(&self, spec: &JobSpec) -> Duration {
        let usable = self.options.iter().filter(|option| {
            let pool = &option.pool;
            spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                && spec.task_resources.fits(&option.machine_type.capacity)
        });
        let boots = usable.map(|option| option.machine_type.boot);
        boots.min().unwrap_or(Duration::ZERO)
    }

    /// Options that a job can use, with the tasks that fit each machine.
    fn usable(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<(usize, u32)> {
        let options = self.options.iter().enumerate();
        options
            .filter(|(_, option)| {
                let pool = &option.pool;
                zone.is_none_or(|zone| zone == pool.zone)
                    && spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                    && !exceeds_price_cap(spec, option.machine_type, self.cluster.catalog())
            })
            .map(|(at, option)| {
                (
                    at,
                    spec.task_resources.count_in(&option.machine_type.capacity),
                )
            })
            .filter(|(_, each)| *each > 0)
            .collect()
    }

    /// Those of them that may be asked for now, cheapest for a task first.
    fn cheapest(&self, usable: &[(usize, u32)]) -> Vec<(f64, usize, u32)> {
        let asked = usable.iter().filter(|(at, _)| self.options[*at].asked);
        let mut cheapest: Vec<_> = asked
            .map(|(at, each)| {
                let option = &self.options[*at];
                let price = option.machine_type.price_of(option.pool.spot) / f64::from(*each);
                (price, *at, *each)
            })
            .collect();
        cheapest.sort_by(|a, b| a.0.total_cmp(&b.0));
        cheapest
    }

    /// Puts tasks without room into vacancies, renting what is missing.
    pub(super) fn place_want(&mut self, want: &UnmetDemand) {
        let spec = &want.spec;
        let mut zone = want.zone.clone();
        if spec.single_zone && zone.is_none() {
            zone = self.cheapest_zone(want);
            if zone.is_none() {
                return;
            }
        }
        let latest = want.complete_by.checked_sub(spec.estimate());
        let slack = latest.map_or(Duration::ZERO, |at| at.saturating_duration_since(self.now));
        let mut bounds = Bounds {
            zone: zone.as_deref(),
            patience_s: slack.as_secs_f64() * SLACK_PART,
            per_zone: HashMap::new(),
        };
        self.place(spec, want.tasks, &mut bounds);
    }

    /// The zone in which the fewest machines have to be rented, then the cheapest.
    fn cheapest_zone(&self, want: &UnmetDemand) -> Option<String> {
        let spec = &want.spec;
        let mut zones: Vec<&String> = self.options.iter().map(|w| &w.pool.zone).collect();
        zones.sort();
        zones.dedup();
        let mut best: Option<(u32, f64, String)> = None;
        for zone in zones {
            let usable = self.usable(spec, Some(zone));
            let vacancies = usable.iter().flat_map(|(at, _)| &self.vacancies[*at]);
            let there: u32 = vacancies
                .map(|vacancy| spec.task_resources.count_in(&vacancy.free))
                .sum();
            let missing = want.tasks.saturating_sub(there);
            let price = match self.cheapest(&usable).first() {
                Some((price, ..)) => *price,
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

    /// Puts tasks into vacancies and rents for the rest. Machines whose room was used are kept: a
    /// gang that waits for the last of its machines must not lose the first ones.
    fn place(&mut self, spec: &JobSpec, tasks: u32, bounds: &mut Bounds) {
        let cap = spec.zone_cap();
        let usable = self.usable(spec, bounds.zone);
        let mut left = tasks;
        for (at, _) in &usable {
            let option = &self.options[*at];
            let boot_s = option.machine_type.boot.as_secs_f64();
            let there = bounds.per_zone.entry(option.pool.zone.clone()).or_default();
            for vacancy in &mut self.vacancies[*at] {
                // A place must come free sooner than a new machine would be up, or soon enough
                // for the job to be in time.
                let soon = vacancy
                    .rest_s
                    .is_none_or(|rest| rest < bounds.patience_s.max(boot_s));
                let room = spec
                    .task_resources
                    .count_in(&vacancy.free)
                    .min(left)
                    .min(cap - *there);
                if left == 0 || room == 0 || !soon {
                    continue;
                }
                // What leaves makes one place, whatever its size: estimates are not added up.
                let room = if vacancy.rest_s.is_some() { 1 } else { room };
                vacancy.free.sub(&spec.task_resources.times(room));
                *there += room;
                left -= room;
                self.kept
                    .extend(vacancy.machine.map(|machine| machine.id.clone()));
            }
        }
        for (_, at, each) in self.cheapest(&usable) {
            let option = &self.options[at];
            let there = bounds.per_zone.entry(option.pool.zone.clone()).or_default();
            let mut here = left.min(cap - *there);
            if here == 0 {
                continue;
            }
            *there += here;
            left -= here;
            *self.rents.entry(at).or_default() += here.div_ceil(each);
            while here > 0 {
                let on_it = here.min(each);
                let mut free = option.machine_type.capacity;
                free.sub(&spec.task_resources.times(on_it));
                here -= on_it;
                self.vacancies[at].push(Vacancy {
                    machine: None,
                    free,
                    rest_s: None,
                });
            }
        }
    }

    /// Keeps, and rents, room for what may arrive while a machine would boot, for classes
    /// whose jobs have to start sooner than that. Returns all machines that are not to go,
    /// those that jobs wait for included.
    pub(super) fn keep_spare(
        &mut self,
        demand: &Demand,
        idle_policy: IdlePolicy,
    ) -> HashSet<MachineId> {
        let (cluster, policy) = (self.cluster, self.policy);
        let window = self
            .now
            .saturating_duration_since(cluster.since)
            .clamp(ARRIVAL_WINDOW, ARRIVAL_WINDOW * 2);
        let mut classes: BTreeMap<&str, (f64, &JobSpec)> = BTreeMap::new();
        for (at, spec) in &cluster.arrivals {
            let recent = self.now.saturating_duration_since(*at) <= window;
            let boot = self.quickest_boot(spec);
            if recent && policy.is_urgent(&spec.class, boot) {
                let entry = classes.entry(&spec.class).or_insert((0.0, spec));
                entry.0 += f64::from(spec.tasks);
            }
        }
        for (_, (tasks, spec)) in classes {
            let usable = self.usable(spec, None);
            let cheapest = self.cheapest(&usable);
            let Some((_, first, _)) = cheapest.first() else {
                continue;
            };
            let boot = self.options[*first].machine_type.boot;
            let expected = tasks / window.as_secs_f64() * boot.as_secs_f64();
            let spare = (expected + SPARE_DEVIATIONS * expected.sqrt()) * idle_policy.spare_factor;
            let spare = spare * demand.of_class(spec);
            let mut any = spec.clone();
            any.single_zone = false;
            any.zone_spread = false;
            any.zone = None;
            let mut bounds = Bounds {
                zone: None,
                patience_s: 0.0,
                per_zone: HashMap::new(),
            };
            self.place(&any, spare.round() as u32, &mut bounds);
        }
        std::mem::take(&mut self.kept)
    }
}
