//! A cap on the price of machines for work of the lowest rank: machines that cost several times what it needs are not for it.
//!
//! Work of the lowest rank takes whatever room there is. Where that is the processors of machines
//! rented for their cards, it keeps these from being returned, at ten times its price.

use crate::model::{Build, JobSpec, Rank};

/// Times the least price for the room that a task takes, above which a type is too dear for work
/// of the lowest rank. Types rented for the same resource differ by less, and so do spot and ordinary
/// machines of one type: nobody says whether money matters more than time.
const TOO_DEAR: f64 = 3.0;
/// The part of a machine that a task takes: of the resource of which it takes most.
fn part(spec: &JobSpec, build: &Build) -> f64 {
    let part = |need: f64, room: f64| if need > 0.0 { need / room } else { 0.0 };
    let (need, room) = (&spec.need, &build.room);
    let cpus = part(need.cpus, room.cpus);
    let gpus = part(need.gpus, room.gpus);
    cpus.max(gpus).max(part(need.memory, room.memory))
}

/// Whether machines of this type are too dear for the job while there are others it may use.
pub fn too_dear(spec: &JobSpec, build: &Build, catalog: &[Build]) -> bool {
    if spec.rank != Rank::BestEffort {
        return false;
    }
    let usable = catalog.iter().filter(|build| {
        let mut zones = build.zones.iter();
        spec.need.fits(&build.room) && zones.any(|zone| spec.allows(&build.name, zone, false))
    });
    let costs = usable.map(|build| build.price * part(spec, build));
    let least = costs.fold(f64::INFINITY, f64::min);
    build.price * part(spec, build) > least * TOO_DEAR
}
