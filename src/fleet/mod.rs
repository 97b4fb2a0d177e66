//! The fleet: what to rent, what to return. Pure decisions here, the cloud's protocol in
//! [`client`].

pub mod client;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use crate::cluster::{build_named, Cluster, Drain, Listed, Machine};
use crate::model::{Amount, Build, JobSpec, MachineId};
use crate::sched::allocate::{Departures, Rooms};
use crate::sched::{Policy, Short};

/// Most machines in one rental request, by the cloud's protocol.
pub const MOST_A_HIRE: u32 = 50;
/// Most names in one return, by the cloud's protocol.
pub const MOST_A_RETURN: usize = 100;
/// Tasks of one job planned for in one look: a job of a hundred thousand must not cost a look
/// its second, and the next look goes on from what was rented.
const MOST_A_LOOK: u32 = 200;
/// A boot of this many times its nominal time no longer counts on as room to come.
const LATE_BOOT: f64 = 1.8;
/// A boot of this many times its nominal time is given up.
const HOPELESS_BOOT: f64 = 4.0;
/// A machine listed as running for that long without a report is given up.
const UNHEARD: Duration = Duration::from_secs(30);
/// How long a type, zone and kind that had nothing to give is not asked again.
const NO_CAPACITY_PAUSE: Duration = Duration::from_secs(15);
/// How long a refusal counts against the hope to get such a machine again.
const REFUSAL_REMEMBERED: Duration = Duration::from_secs(120);
/// Part of the fleet that must be heard from before silence of the rest is believed: when
/// nobody is heard, it is more likely us.
const HEARD_PART: f64 = 0.5;
/// Machines of a zone that must be silent before the zone may count as cut off.
const LEAST_CUT: usize = 3;
/// Standard deviations above the mean of what may arrive while a machine boots.
const SPARE_DEVIATIONS: f64 = 3.0;
/// The same for machines that serve only classes which can wait for a boot.
const PATIENT_KEEP: f64 = 0.6;
/// How much longer a machine is kept idle that serves a class which has to start promptly: it
/// has the images, and nobody waits for a boot.
const PROMPT_KEEP: f64 = 3.0;
/// Part of a patient job's slack that may go by in waiting for places to come free; the rest
/// is for estimates that are wrong.
const SLACK_PART: f64 = 0.4;
/// Shortest time over which arrivals are averaged, so that the first ones don't count for a
/// flood.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(90);

/// A kind of machine that can be asked for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Offer {
    /// Type.
    pub build: String,
    /// Zone.
    pub zone: String,
    /// Spot or ordinary.
    pub spot: bool,
}

/// What the fleet decides.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Rent so many.
    Rent(Offer, u32),
    /// Return these, with the reason.
    Return(Vec<MachineId>, &'static str),
}

/// What is known of the market: who had nothing to give, and until when not to ask again.
#[derive(Debug, Default)]
pub struct Market {
    empty_until: HashMap<Offer, Instant>,
    refused: HashMap<Offer, Instant>,
}

impl Market {
    /// The offer had nothing, or less than asked for.
    pub fn exhausted(&mut self, offer: &Offer, now: Instant) {
        let until = now + NO_CAPACITY_PAUSE;
        self.empty_until.insert(offer.clone(), until);
        self.refused.insert(offer.clone(), now);
    }

    /// Whether it had something the last time, as far as is remembered.
    fn likely(&self, offer: &Offer, now: Instant) -> bool {
        let at = self.refused.get(offer);
        at.is_none_or(|at| now.saturating_duration_since(*at) > REFUSAL_REMEMBERED)
    }

    fn asks(&self, offer: &Offer, now: Instant) -> bool {
        self.empty_until
            .get(offer)
            .is_none_or(|until| now >= *until)
    }
}

/// Operators' say in the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Thrift {
    /// Idle machines are kept for this many times what a new one would take to be as useful.
    pub idle_factor: f64,
    /// Spare room kept for classes that have to start soon, as a part of what may arrive.
    pub spare_factor: f64,
}

impl Default for Thrift {
    fn default() -> Self {
        Self {
            idle_factor: 1.0,
            spare_factor: 1.0,
        }
    }
}

/// Room that is there, or will be.
struct Bay {
    machine: Option<MachineId>,
    offer: Offer,
    free: Amount,
    /// A task is on it still, and is expected to leave in so many seconds.
    rest_s: Option<f64>,
}

/// What to rent and return now.
pub fn plan(
    cluster: &Cluster,
    policy: &Policy,
    short: &[Short],
    market: &Market,
    thrift: Thrift,
    now: Instant,
) -> Vec<Action> {
    let mut actions = Vec::new();
    let lost = lost_machines(cluster, now);
    let leaving: BTreeSet<MachineId> = lost.iter().map(|(id, _)| id.clone()).collect();
    let mut by_reason: BTreeMap<&'static str, Vec<MachineId>> = BTreeMap::new();
    for (id, why) in lost {
        by_reason.entry(why).or_default().push(id);
    }

    let mut planner = Planner {
        cluster,
        market,
        now,
        bays: bays(cluster, &leaving, now),
        rents: BTreeMap::new(),
    };
    // Who has to start soon is not made to wait for others to finish.
    let (prompt, patient): (Vec<&Short>, Vec<&Short>) = short
        .iter()
        .partition(|want| policy.prompt.contains_key(&want.spec.class));
    for want in prompt {
        planner.place_want(want);
    }
    planner.bays.extend(departing(cluster, &leaving, now));
    for want in patient {
        planner.place_want(want);
    }
    planner.bays.retain(|bay| bay.rest_s.is_none());
    let kept = planner.keep_spare(policy, thrift);
    let rents = planner.rents;
    for (id, why) in idle_machines(cluster, &kept, &leaving, policy, market, thrift, now) {
        by_reason.entry(why).or_default().push(id);
    }
    for (offer, count) in rents {
        actions.push(Action::Rent(offer, count.min(MOST_A_HIRE)));
    }
    for (why, ids) in by_reason {
        for chunk in ids.chunks(MOST_A_RETURN) {
            actions.push(Action::Return(chunk.to_vec(), why));
        }
    }
    actions
}

/// Zones most of whose machines are silent at once.
fn silent_zones<'a>(up: &[&'a Machine], quiet: Duration, now: Instant) -> HashSet<&'a str> {
    let mut zones: HashMap<&str, (usize, usize)> = HashMap::new();
    for machine in up {
        let (all, silent) = zones.entry(machine.zone.as_str()).or_default();
        *all += 1;
        *silent += usize::from(machine.silent(now, quiet));
    }
    zones
        .into_iter()
        .filter(|(_, (all, silent))| *silent >= LEAST_CUT && *silent * 2 > *all)
        .map(|(zone, _)| zone)
        .collect()
}

/// Machines to be given up whatever the demand.
fn lost_machines(cluster: &Cluster, now: Instant) -> Vec<(MachineId, &'static str)> {
    let up: Vec<&Machine> = cluster
        .machines
        .values()
        .filter(|m| m.reported.is_some())
        .collect();
    let quiet = cluster.timing.quiet;
    let heard = up.iter().filter(|m| !m.silent(now, quiet)).count();
    let we_hear = !up.is_empty() && heard as f64 >= up.len() as f64 * HEARD_PART;
    let since_take_over = now.saturating_duration_since(cluster.since);
    let cut_off = silent_zones(&up, quiet, now);
    let mut lost = Vec::new();
    for machine in cluster.machines.values().filter(|m| !m.returning) {
        let id = machine.id.clone();
        let age = now.saturating_duration_since(machine.rented);
        let boot = build_named(cluster.catalog(), &machine.build).map(|build| build.boot);
        // With nobody heard, only a silence that ends all leases counts.
        let limit = if we_hear {
            cluster.timing.lost
        } else {
            cluster.timing.lease * 2
        };
        let why = if machine.listed == Listed::Failed {
            Some("it failed")
        } else if machine.reported.is_some() {
            // A zone that falls silent as a whole is more likely cut off than dead: its work
            // goes on for a lease, and its machines need not boot again.
            let limit = if cut_off.contains(machine.zone.as_str()) {
                limit.max(cluster.timing.lease * 2)
            } else {
                limit
            };
            let drained = machine.drain.is_some() && !machine.busy();
            let by_operator = machine.drain == Some(Drain::Operator);
            if machine.silent(now, limit) {
                Some("it is silent")
            } else if drained && !by_operator {
                Some("it is not fit for work")
            } else {
                None
            }
        } else if cluster.unsettled.contains(&machine.id) {
            // It may hold tasks and hasn't been heard since we took over.
            (since_take_over > limit).then_some("it did not report")
        } else if machine.listed == Listed::Running {
            let unheard = now.saturating_duration_since(machine.listed_since) > UNHEARD;
            (unheard && since_take_over > UNHEARD).then_some("it never reported")
        } else {
            let hopeless = boot.is_some_and(|boot| age > boot.mul_f64(HOPELESS_BOOT));
            hopeless.then_some("its boot is hopeless")
        };
        if let Some(why) = why {
            lost.push((id, why));
        }
    }
    lost
}

/// Room on machines that take tasks, and on machines that boot.
fn bays(cluster: &Cluster, leaving: &BTreeSet<MachineId>, now: Instant) -> Vec<Bay> {
    let mut bays: Vec<Bay> = Rooms::of(cluster, now)
        .0
        .into_iter()
        .filter(|(id, _)| !leaving.contains(id))
        .map(|(id, room)| Bay {
            machine: Some(id),
            offer: Offer {
                build: room.build,
                zone: room.zone,
                spot: room.spot,
            },
            free: room.free,
            rest_s: None,
        })
        .collect();
    for machine in cluster.machines.values() {
        let coming = machine.reported.is_none()
            && !machine.returning
            && !cluster.unsettled.contains(&machine.id)
            && !leaving.contains(&machine.id);
        let Some(build) = build_named(cluster.catalog(), &machine.build).filter(|_| coming) else {
            continue;
        };
        let age = now.saturating_duration_since(machine.rented);
        if age <= build.boot.mul_f64(LATE_BOOT) {
            bays.push(Bay {
                machine: Some(machine.id.clone()),
                offer: Offer {
                    build: machine.build.clone(),
                    zone: machine.zone.clone(),
                    spot: machine.spot,
                },
                free: build.room,
                rest_s: None,
            });
        }
    }
    bays
}

/// Room that running tasks will leave, by their owners' estimates.
fn departing(cluster: &Cluster, leaving: &BTreeSet<MachineId>, now: Instant) -> Vec<Bay> {
    let rooms = Rooms::of(cluster, now);
    let departures = Departures::of(cluster, &rooms, now);
    let mut bays = Vec::new();
    for place in departures.places() {
        let room = rooms.0.get(&place.machine);
        let Some(room) = room.filter(|_| !leaving.contains(&place.machine)) else {
            continue;
        };
        let mut free = room.free;
        free.add(&place.amount);
        bays.push(Bay {
            machine: None,
            offer: Offer {
                build: room.build.clone(),
                zone: room.zone.clone(),
                spot: room.spot,
            },
            free,
            rest_s: Some(place.rest_s),
        });
    }
    bays
}

/// Offers that a job can use, cheapest for a task of it first.
fn offers(
    cluster: &Cluster,
    spec: &JobSpec,
    zone: Option<&str>,
    market: &Market,
    now: Instant,
) -> Vec<(f64, Offer)> {
    let mut offers = Vec::new();
    for build in cluster.catalog().iter() {
        let each = spec.need.count_in(&build.room);
        if each == 0 {
            continue;
        }
        for build_zone in &build.zones {
            for spot in [true, false] {
                let offer = Offer {
                    build: build.name.clone(),
                    zone: build_zone.clone(),
                    spot,
                };
                let fits_zone = zone.is_none_or(|zone| zone == build_zone);
                let allowed = spec.allows(&build.name, build_zone, spot);
                if fits_zone && allowed && market.asks(&offer, now) {
                    offers.push((unit_price(build, spot, each), offer));
                }
            }
        }
    }
    offers.sort_by(|a, b| a.0.total_cmp(&b.0));
    offers
}

fn unit_price(build: &Build, spot: bool, each: u32) -> f64 {
    build.price_of(spot) / f64::from(each.max(1))
}

/// Puts what waits into the room there is or will be, and rents for the rest.
struct Planner<'a> {
    cluster: &'a Cluster,
    market: &'a Market,
    now: Instant,
    bays: Vec<Bay>,
    rents: BTreeMap<Offer, u32>,
}

/// Where a task may be put.
struct Bounds<'a> {
    zone: Option<&'a str>,
    /// Seconds it may wait for others to leave.
    patience_s: f64,
    /// Tasks of its job already put, by zone.
    per_zone: HashMap<String, u32>,
}

impl Planner<'_> {
    /// Offers that a job can use, cheapest for a task of it first.
    fn offers(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<(f64, Offer)> {
        offers(self.cluster, spec, zone, self.market, self.now)
    }

    /// Puts tasks without room into bays, renting what is missing.
    fn place_want(&mut self, want: &Short) {
        let spec = &want.spec;
        let mut zone = want.zone.clone();
        if spec.one_zone && zone.is_none() {
            zone = self.cheapest_zone(want);
            if zone.is_none() {
                return;
            }
        }
        let latest = want.target.checked_sub(spec.estimate());
        let slack = latest.map_or(Duration::ZERO, |at| at.saturating_duration_since(self.now));
        let mut bounds = Bounds {
            zone: zone.as_deref(),
            patience_s: slack.as_secs_f64() * SLACK_PART,
            per_zone: HashMap::new(),
        };
        for _ in 0..want.tasks.min(MOST_A_LOOK) {
            if !self.place_one(spec, &mut bounds) {
                return;
            }
        }
    }

    /// The zone in which the fewest machines have to be rented, then the cheapest.
    fn cheapest_zone(&self, want: &Short) -> Option<String> {
        let spec = &want.spec;
        let catalog = self.cluster.catalog();
        let zones: BTreeSet<&String> = catalog.iter().flat_map(|b| &b.zones).collect();
        let mut best: Option<(u32, f64, String)> = None;
        for zone in zones {
            let there: u32 = self
                .bays
                .iter()
                .filter(|bay| bay.offer.zone == *zone && usable(spec, bay))
                .map(|bay| spec.need.count_in(&bay.free))
                .sum();
            let missing = want.tasks.saturating_sub(there);
            let price = match self.offers(spec, Some(zone)).first() {
                Some((price, _)) => *price,
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

    /// Whether a place comes free sooner than a new machine would be up, or soon enough for
    /// the job to be in time.
    fn soon_enough(&self, bay: &Bay, patience_s: f64) -> bool {
        let Some(rest_s) = bay.rest_s else {
            return true;
        };
        let build = build_named(self.cluster.catalog(), &bay.offer.build);
        let boot_s = build.map_or(0.0, |build| build.boot.as_secs_f64());
        rest_s < patience_s.max(boot_s)
    }

    /// Puts one task into a bay or rents for it; whether it found either.
    fn place_one(&mut self, spec: &JobSpec, bounds: &mut Bounds) -> bool {
        let cap = spec.zone_cap();
        let per_zone = &bounds.per_zone;
        let open = |zone: &str| per_zone.get(zone).copied().unwrap_or(0) < cap;
        let found = self.bays.iter().position(|bay| {
            bounds.zone.is_none_or(|zone| zone == bay.offer.zone)
                && open(&bay.offer.zone)
                && usable(spec, bay)
                && self.soon_enough(bay, bounds.patience_s)
        });
        if let Some(at) = found {
            let bay = &mut self.bays[at];
            bay.free.sub(&spec.need);
            let zone = bay.offer.zone.clone();
            *bounds.per_zone.entry(zone).or_default() += 1;
            return true;
        }
        let offers = self.offers(spec, bounds.zone);
        let Some((_, offer)) = offers.into_iter().find(|(_, offer)| open(&offer.zone)) else {
            return false;
        };
        let Some(build) = build_named(self.cluster.catalog(), &offer.build) else {
            return false;
        };
        let mut free = build.room;
        free.sub(&spec.need);
        *self.rents.entry(offer.clone()).or_default() += 1;
        *bounds.per_zone.entry(offer.zone.clone()).or_default() += 1;
        self.bays.push(Bay {
            machine: None,
            offer,
            free,
            rest_s: None,
        });
        true
    }

    /// Keeps, and rents, room for what may arrive while a machine would boot, for classes
    /// whose jobs have to start sooner than that. Returns the machines so kept.
    fn keep_spare(&mut self, policy: &Policy, thrift: Thrift) -> HashSet<MachineId> {
        let cluster = self.cluster;
        let mut kept = HashSet::new();
        let window = self
            .now
            .saturating_duration_since(cluster.since)
            .clamp(ARRIVAL_WINDOW, ARRIVAL_WINDOW * 2);
        let mut classes: BTreeMap<&str, (f64, &JobSpec)> = BTreeMap::new();
        for (at, spec) in &cluster.arrivals {
            let recent = self.now.saturating_duration_since(*at) <= window;
            if recent && policy.prompt.contains_key(&spec.class) {
                let entry = classes.entry(&spec.class).or_insert((0.0, spec));
                entry.0 += f64::from(spec.tasks);
            }
        }
        for (_, (tasks, spec)) in classes {
            let offers = self.offers(spec, None);
            let boot = offers.first().and_then(|(_, offer)| {
                let build = build_named(cluster.catalog(), &offer.build)?;
                Some(build.boot)
            });
            let Some(boot) = boot else { continue };
            let expected = tasks / window.as_secs_f64() * boot.as_secs_f64();
            let spare = (expected + SPARE_DEVIATIONS * expected.sqrt()) * thrift.spare_factor;
            let mut any = spec.clone();
            any.one_zone = false;
            any.spread = false;
            any.zone = None;
            let mut bounds = Bounds {
                zone: None,
                patience_s: 0.0,
                per_zone: HashMap::new(),
            };
            for _ in 0..spare.round() as u32 {
                let before: Vec<Amount> = self.bays.iter().map(|bay| bay.free).collect();
                if !self.place_one(&any, &mut bounds) {
                    break;
                }
                let mut changed = self.bays.iter().zip(&before);
                let used = changed.find(|(bay, was)| bay.free != **was);
                if let Some(id) = used.and_then(|(bay, _)| bay.machine.clone()) {
                    kept.insert(id);
                }
            }
        }
        kept
    }
}

fn usable(spec: &JobSpec, bay: &Bay) -> bool {
    spec.allows(&bay.offer.build, &bay.offer.zone, bay.offer.spot) && spec.need.fits(&bay.free)
}

/// Idle machines whose keeping costs more than a new one likely would.
fn idle_machines(
    cluster: &Cluster,
    kept: &HashSet<MachineId>,
    leaving: &BTreeSet<MachineId>,
    policy: &Policy,
    market: &Market,
    thrift: Thrift,
    now: Instant,
) -> Vec<(MachineId, &'static str)> {
    let mut idle = Vec::new();
    for machine in cluster.machines.values() {
        let free = machine.reported.is_some()
            && machine.fenced
            && !machine.returning
            && !machine.busy()
            && !kept.contains(&machine.id)
            && !leaving.contains(&machine.id);
        if !free {
            continue;
        }
        let Some(build) = build_named(cluster.catalog(), &machine.build) else {
            // A type the catalog does not have is of no use to anybody.
            idle.push((machine.id.clone(), "its type is unknown"));
            continue;
        };
        let since = now.saturating_duration_since(machine.idle_since);
        let again = cheapest_again(build, machine, market, now);
        let part = (again / build.price_of(machine.spot)).clamp(0.0, 1.0);
        let worth = worth_keeping(machine, build).mul_f64(part);
        let prompt = serves_prompt(cluster, policy, machine, build);
        let worth = worth.mul_f64(if prompt { PROMPT_KEEP } else { PATIENT_KEEP });
        if since > worth.mul_f64(thrift.idle_factor) {
            idle.push((machine.id.clone(), "it is idle"));
        }
    }
    idle
}

/// Whether a class that starts promptly has lately asked for such a machine.
fn serves_prompt(cluster: &Cluster, policy: &Policy, machine: &Machine, build: &Build) -> bool {
    cluster.arrivals.iter().any(|(_, spec)| {
        policy.prompt.contains_key(&spec.class)
            && spec.allows(&machine.build, &machine.zone, machine.spot)
            && spec.need.fits(&build.room)
    })
}

/// The price at which such a machine could likely be had again. An ordinary machine is not
/// worth keeping as long where a spot one would take its place.
fn cheapest_again(build: &Build, machine: &Machine, market: &Market, now: Instant) -> f64 {
    let own = build.price_of(machine.spot);
    let zones = build.zones.iter();
    let spot = zones.map(|zone| Offer {
        build: build.name.clone(),
        zone: zone.clone(),
        spot: true,
    });
    let mut spot = spot.filter(|offer| market.likely(offer, now));
    if spot.next().is_some() {
        own.min(build.spot_price)
    } else {
        own
    }
}

/// How long a machine is worth keeping idle: the time a new one needs to boot and to fetch
/// the images that this one has. Whoever waits at most that long never pays more than twice
/// what knowing the future would have cost.
fn worth_keeping(machine: &Machine, build: &Build) -> Duration {
    let images: f64 = machine.images.iter().map(|(_, gb)| gb).sum();
    let fetch = images / build.fetch_rate.max(f64::MIN_POSITIVE);
    build.boot + crate::config::secs(fetch)
}
