//! A cap on the price of machines for best-effort work: machines that cost several times what the
//! work needs are not for it.
//!
//! Best-effort work takes whatever capacity is free. Where that is the processors of machines rented
//! for their graphics cards, it would keep these from being released, at ten times its price.

use crate::model::{JobSpec, MachineType, Priority};

/// Times the least price for the capacity that a task takes, above which a machine type is not for
/// best-effort work. Types rented for the same resource differ by less, and so do spot and
/// on-demand machines of one type: no objective says whether money matters more than time.
const PRICE_CAP_FACTOR: f64 = 3.0;

/// The share of a machine that a task takes: of its dominant resource.
fn dominant_share(spec: &JobSpec, machine_type: &MachineType) -> f64 {
    let share = |need: f64, whole: f64| if need > 0.0 { need / whole } else { 0.0 };
    let (need, whole) = (&spec.task_resources, &machine_type.capacity);
    let cpus = share(need.cpus, whole.cpus);
    let gpus = share(need.gpus, whole.gpus);
    cpus.max(gpus).max(share(need.memory, whole.memory))
}

/// Whether machines of this type exceed the price cap of the job, given the others it may use.
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
