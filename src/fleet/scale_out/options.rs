//! Rental options: all pools of the catalog, and those that a job can use.

use crate::capacity::price_cap::exceeds_price_cap;
use crate::fleet::partition::is_partitioned;
use crate::fleet::FleetView;
use crate::model::{JobSpec, MachinePool, MachineType};

/// A pool from which machines can be rented.
pub(super) struct RentalOption<'a> {
    pub(super) pool: MachinePool,
    pub(super) machine_type: &'a MachineType,
    /// Whether the pool may get a rental request now.
    pub(super) requestable: bool,
}

/// A rental option that a job can use.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsableOption {
    /// The index into the rental options.
    pub(super) option: usize,
    /// The number of the job's tasks that fit one machine; at least 1.
    pub(super) tasks_per_machine: u32,
}

/// A usable option with the price of its machines for the job.
#[derive(Debug, Clone, Copy)]
pub(super) struct PricedOption {
    pub(super) usable: UsableOption,
    /// The hourly price of a machine divided by the tasks that fit it.
    pub(super) hourly_price: f64,
}

/// Returns all pools that the catalog offers: every combination of machine type, zone, and spot or
/// on-demand. A pool in backoff or in a partitioned zone gets no request.
pub(super) fn rental_options<'a>(fleet_view: &FleetView<'a>) -> Vec<RentalOption<'a>> {
    let FleetView {
        cluster,
        capacity_backoff,
        now,
        ..
    } = *fleet_view;
    let mut options = Vec::new();
    for machine_type in cluster.catalog().iter() {
        for zone in &machine_type.zones {
            for spot in [true, false] {
                let pool = MachinePool {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot,
                };
                let requestable =
                    capacity_backoff.may_request(&pool, now) && !is_partitioned(cluster, zone, now);
                options.push(RentalOption {
                    pool,
                    machine_type,
                    requestable,
                });
            }
        }
    }
    options
}

/// Returns the options that a job can use in `zone`, or in any zone, within its price cap.
pub(super) fn usable_options(
    options: &[RentalOption],
    catalog: &[MachineType],
    spec: &JobSpec,
    zone: Option<&str>,
) -> Vec<UsableOption> {
    options
        .iter()
        .enumerate()
        .filter(
            |(
                _,
                RentalOption {
                    pool, machine_type, ..
                },
            )| {
                zone.is_none_or(|zone| zone == pool.zone)
                    && spec.allows(&pool.machine_type, &pool.zone, pool.spot)
                    && !exceeds_price_cap(spec, machine_type, catalog)
            },
        )
        .map(|(index, option)| UsableOption {
            option: index,
            tasks_per_machine: spec.task_resources.count_in(&option.machine_type.capacity),
        })
        .filter(|usable| usable.tasks_per_machine > 0)
        .collect()
}

/// Returns the usable options that may be requested now, the lowest price for a task first.
pub(super) fn cheapest_first(
    options: &[RentalOption],
    usable: &[UsableOption],
) -> Vec<PricedOption> {
    let requestable = usable
        .iter()
        .filter(|usable| options[usable.option].requestable);
    let mut priced: Vec<PricedOption> = requestable
        .map(|usable| {
            let RentalOption {
                pool, machine_type, ..
            } = &options[usable.option];
            PricedOption {
                usable: *usable,
                hourly_price: machine_type.hourly_price_of(pool.spot)
                    / f64::from(usable.tasks_per_machine),
            }
        })
        .collect();
    priced.sort_by(|a, b| a.hourly_price.total_cmp(&b.hourly_price));
    priced
}
