//! A price cap for best-effort jobs, which excludes machines that cost several times what a task
//! needs.
//!
//! Best-effort tasks use any free capacity. On the processors of machines rented for their GPUs,
//! they would keep these machines from being released, at ten times the price.

use crate::model::{JobSpec, MachineType, Priority};

/// A machine type is excluded if the share that a task takes of it costs more than this many times
/// the cheapest type's. Prices of types for the same resource differ by less, as do spot and
/// on-demand prices of one type: no objective says whether money matters more than time.
const PRICE_CAP_FACTOR: f64 = 3.0;

/// The share of the task's dominant resource in the machine's capacity.
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
    let usable = catalog.iter().filter(|machine_type| {
        let mut zones = machine_type.zones.iter();
        spec.task_resources.fits(&machine_type.capacity)
            && zones.any(|zone| spec.allows(&machine_type.name, zone, false))
    });
    let costs =
        usable.map(|machine_type| machine_type.hourly_price * dominant_share(spec, machine_type));
    let least = costs.fold(f64::INFINITY, f64::min);
    machine_type.hourly_price * dominant_share(spec, machine_type) > least * PRICE_CAP_FACTOR
}
