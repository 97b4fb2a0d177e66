//! Free room by machine, and places about to come free, as one round sees them.

pub mod price_cap;

use std::collections::HashMap;
use std::time::Instant;

use self::price_cap::too_dear;
use crate::cluster::{build_named, Cluster, ImageId, Kind, KindId, Machine};
use crate::model::{Amount, Build, JobSpec};

/// A task that outlived its estimate is expected to go on for at least this long.
const REMAINING_TIME_MIN_S: f64 = 3.0;
/// Time from a task's end to the start of another in its place: its report, a round, and the
/// report that takes the start.
const TURNOVER_S: f64 = 2.0;

/// Free room on one machine.
#[derive(Debug, Clone)]
pub struct Room<'a> {
    /// The machine.
    pub machine: &'a Machine,
    /// Its kind.
    pub kind: KindId,
    /// What is free.
    pub free: Amount,
}

/// Free room on all machines that take tasks, by kind.
#[derive(Debug)]
pub struct Rooms<'a> {
    /// All of them.
    pub all: Vec<Room<'a>>,
    /// Which of them are of a kind.
    by_kind: Vec<Vec<u32>>,
    kinds: Vec<(&'a Kind, Option<&'a Build>)>,
    catalog: &'a [Build],
}

impl<'a> Rooms<'a> {
    /// As the cluster state has it.
    pub fn of(cluster: &'a Cluster, now: Instant) -> Self {
        let kinds: Vec<_> = cluster
            .kinds
            .iter()
            .map(|(_, kind)| (kind, build_named(cluster.catalog(), &kind.build)))
            .collect();
        let mut all = Vec::with_capacity(cluster.machines.len());
        let mut by_kind = vec![Vec::new(); kinds.len()];
        for machine in cluster.machines.values() {
            let Some(kind) = machine.kind else { continue };
            if !machine.takes_tasks(now, cluster.timing.quiet) {
                continue;
            }
            let Some(build) = kinds.get(usize::from(kind.0)).and_then(|(_, build)| *build) else {
                continue;
            };
            let mut free = build.room;
            free.sub(&machine.taken());
            by_kind[usize::from(kind.0)].push(all.len() as u32);
            all.push(Room {
                machine,
                kind,
                free,
            });
        }
        Self {
            all,
            by_kind,
            kinds,
            catalog: cluster.catalog(),
        }
    }

    /// Kinds that a job may use, in one zone or any, whose machines can hold a task of it and
    /// are not too dear for it.
    pub fn kinds_for(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<KindId> {
        let mut kinds = self.all_kinds_for(spec, zone);
        kinds.retain(|id| {
            let build = self.kinds[usize::from(id.0)].1;
            build.is_some_and(|build| !too_dear(spec, build, self.catalog))
        });
        kinds
    }

    /// The same whatever they cost.
    pub fn all_kinds_for(&self, spec: &JobSpec, zone: Option<&str>) -> Vec<KindId> {
        let numbered = self.kinds.iter().enumerate();
        numbered
            .filter(|(_, (kind, build))| {
                zone.is_none_or(|zone| zone == kind.zone)
                    && spec.allows(&kind.build, &kind.zone, kind.spot)
                    && build.is_some_and(|build| spec.need.fits(&build.room))
            })
            .map(|(at, _)| KindId(at as u16))
            .collect()
    }

    /// What machines of a kind have in common.
    pub fn kind(&self, id: KindId) -> (&'a Kind, Option<&'a Build>) {
        self.kinds[usize::from(id.0)]
    }

    /// Rooms of some kinds in which a task of this size fits, as places in [`Rooms::all`].
    pub fn fitting<'b>(
        &'b self,
        kinds: &'b [KindId],
        need: &'b Amount,
    ) -> impl Iterator<Item = usize> + 'b {
        let rooms = kinds
            .iter()
            .flat_map(|kind| self.by_kind[usize::from(kind.0)].iter());
        rooms
            .map(|at| *at as usize)
            .filter(|at| need.fits(&self.all[*at].free))
    }

    /// Zones that have room of any size.
    pub fn zones(&self) -> Vec<String> {
        let kinds = self.kinds.iter().zip(&self.by_kind);
        let mut zones: Vec<String> = kinds
            .filter(|(_, rooms)| !rooms.is_empty())
            .map(|((kind, _), _)| kind.zone.clone())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }
}

/// Places expected to come free, soonest first. A task whose image would take longer to fetch
/// than such a place takes to come free, on a machine that has the image, waits for it.
#[derive(Debug)]
pub struct Departures {
    places: Vec<Departure>,
    claimed: Vec<bool>,
    /// Places by the images of their machines, soonest first. Made when it is first asked for:
    /// where images are fetched in no time, nobody waits for a place that has one.
    by_image: Option<HashMap<ImageId, Vec<u32>>>,
}

/// A place that a running task is expected to leave.
#[derive(Debug, Clone)]
pub struct Departure {
    /// In so many seconds.
    pub rest_s: f64,
    /// Where, in [`Rooms::all`].
    pub room: usize,
    /// What it takes now.
    pub amount: Amount,
}

/// See [`Departures`].
fn by_image(places: &[Departure], rooms: &Rooms) -> HashMap<ImageId, Vec<u32>> {
    let mut by_image: HashMap<ImageId, Vec<u32>> = HashMap::new();
    for (at, place) in places.iter().enumerate() {
        for (image, _) in &rooms.all[place.room].machine.images {
            by_image.entry(*image).or_default().push(at as u32);
        }
    }
    by_image
}

impl Departures {
    /// From what runs, by the owners' estimates.
    pub fn of(rooms: &Rooms, now: Instant) -> Self {
        let mut places = Vec::new();
        for (at, room) in rooms.all.iter().enumerate() {
            for slot in room.machine.slots.values() {
                let (Some(spec), Some(since)) = (&slot.spec, slot.running_since) else {
                    continue;
                };
                if slot.occupies() && spec.estimate_s > 0.0 {
                    let ran = now.saturating_duration_since(since).as_secs_f64();
                    let rest = (spec.estimate_s - ran).max(REMAINING_TIME_MIN_S) + TURNOVER_S;
                    places.push(Departure {
                        rest_s: rest,
                        room: at,
                        amount: spec.need,
                    });
                }
            }
        }
        places.sort_by(|a: &Departure, b| a.rest_s.total_cmp(&b.rest_s));
        Self {
            claimed: vec![false; places.len()],
            places,
            by_image: None,
        }
    }

    /// All places, soonest first.
    pub fn places(&self) -> &[Departure] {
        &self.places
    }

    /// Places that leave room for a task of the job within `limit` seconds, `most` at most.
    fn serving<'a>(
        &'a self,
        rooms: &'a Rooms,
        (spec, zone): (&'a JobSpec, Option<&str>),
        most: u32,
        limit: f64,
    ) -> impl Iterator<Item = usize> + 'a {
        let kinds = rooms.kinds_for(spec, zone);
        let soon = self.places.iter().take_while(move |p| p.rest_s <= limit);
        let fitting = soon.enumerate().filter(move |(at, place)| {
            let room = &rooms.all[place.room];
            let mut free = room.free;
            free.add(&place.amount);
            !self.claimed[*at] && kinds.contains(&room.kind) && spec.need.fits(&free)
        });
        fitting.map(|(at, _)| at).take(most as usize)
    }

    /// How many such places there are.
    pub fn could_serve(
        &self,
        rooms: &Rooms,
        wanted: (&JobSpec, Option<&str>),
        most: u32,
        limit: f64,
    ) -> u32 {
        self.serving(rooms, wanted, most, limit).count() as u32
    }

    /// Takes such places; how many there were.
    pub fn serve(
        &mut self,
        rooms: &Rooms,
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
        rooms: &Rooms,
        (kinds, image): (&[KindId], ImageId),
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
            if !self.claimed[at] && kinds.contains(&rooms.all[place.room].kind) {
                self.claimed[at] = true;
                return true;
            }
        }
        false
    }
}
