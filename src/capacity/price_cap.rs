//! A price cap for best-effort jobs, which excludes machines that cost several times what a task
//! needs.
//!
//! Best-effort tasks use any free capacity. On the processors of machines rented for their GPUs,
//! they would keep these machines from being released, at ten times the price.

use crate::model::{JobSpec, MachineType, Priority};

/// A machine type is excluded if the share that a task takes of it costs more than this many times
/// the cheapest type's. Prices of machine types for the same resource differ by less than this
/// factor, as do spot and on-demand prices of one type. The cap ignores such differences, since no
/// objective says whether cost matters more than time.
const PRICE_CAP_FACTOR: f64 = 3.0;

/// The largest share that a task takes of any resource of a machine of this type.
fn dominant_share(spec: &JobSpec, machine_type: &MachineType) -> f64 {
    let share = |need: f64, whole: f64| if need > 0.0 { need / whole } else { 0.0 };
    let (need, whole) = (&spec.task_resources, &machine_type.capacity);
    let cpus = share(need.cpus, whole.cpus);
    let gpus = share(need.gpus, whole.gpus);
    cpus.max(gpus).max(share(need.memory, whole.memory))
}

/// Whether machines of this type exceed the job's price cap, given the other types it may use.
pub fn exceeds_price_cap(
    spec: &JobSpec,
    machine_type: &MachineType,
    catalog: &[MachineType],
) -> bool {
    if spec.priority != Priority::BestEffort {
        return false;
    }
    let usable = catalog.iter().filter(|candidate| {
        let mut zones = candidate.zones.iter();
        spec.task_resources.fits(&candidate.capacity)
            && zones.any(|zone| spec.allows(&candidate.name, zone, false))
    });
    let costs = usable.map(|candidate| candidate.hourly_price * dominant_share(spec, candidate));
    let lowest_cost = costs.fold(f64::INFINITY, f64::min);
    machine_type.hourly_price * dominant_share(spec, machine_type) > lowest_cost * PRICE_CAP_FACTOR
}
