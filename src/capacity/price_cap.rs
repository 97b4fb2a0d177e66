//! A cap on the price of machines for work of the lowest rank: machines that cost several times what it needs are not for it.
//!
//! Work of the lowest rank takes whatever room there is. Where that is the processors of machines
//! rented for their cards, it keeps these from being returned, at ten times its price.

use crate::model::{JobSpec, MachineType, Priority};

/// Times the least price for the room that a task takes, above which a type is too dear for work
/// of the lowest rank. Types rented for the same resource differ by less, and so do spot and ordinary
/// machines of one type: nobody says whether money matters more than time.
const TOO_DEAR: f64 = 3.0;
/// The part of a machine that a task takes: of the resource of which it takes most.
fn part(spec: &JobSpec, machine_type: &MachineType) -> f64 {
    let part = |need: f64, room: f64| if need > 0.0 { need / room } else { 0.0 };
    let (need, room) = (&spec.task_resources, &machine_type.room);
    let cpus = part(need.cpus, room.cpus);
    let gpus = part(need.gpus, room.gpus);
    cpus.max(gpus).max(part(need.memory, room.memory))
}

/// Whether machines of this type are too dear for the job while there are others it may use.
pub fn too_dear(spec: &JobSpec, machine_type: &MachineType, catalog: &[MachineType]) -> bool {
    if spec.priority != Priority::BestEffort {
        return false;
    }
    let usable = catalog.iter().filter(|machine_type| {
        let mut zones = machine_type.zones.iter();
        spec.task_resources.fits(&machine_type.room)
            && zones.any(|zone| spec.allows(&machine_type.name, zone, false))
    });
    let costs = usable.map(|machine_type| machine_type.price * part(spec, machine_type));
    let least = costs.fold(f64::INFINITY, f64::min);
    machine_type.price * part(spec, machine_type) > least * TOO_DEAR
}
