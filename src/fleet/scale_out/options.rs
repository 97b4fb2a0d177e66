//! Rental options: all pools of the catalog, and what a job can use of them.

use crate::capacity::price_cap::exceeds_price_cap;
use crate::fleet::partition::partitioned;
use crate::fleet::FleetView;
use crate::model::{JobSpec, MachinePool, MachineType};

/// A pool from which machines can be rented.
pub(super) struct RentalOption<'a> {
    pub(super) pool: MachinePool,
    pub(super) machine_type: &'a MachineType,
    /// Whether it may get a request now.
    pub(super) requestable: bool,
}

/// A rental option that a job can use.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsableOption {
    /// The index of the option.
    pub(super) option: usize,
    /// Tasks of the job that fit one machine.
    pub(super) tasks_per_machine: u32,
}

/// A usable option with its price.
#[derive(Debug, Clone, Copy)]
pub(super) struct PricedOption {
    pub(super) usable: UsableOption,
    /// Price an hour for one task.
    pub(super) price: f64,
}

/// All that the cloud offers.
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
                    capacity_backoff.may_request(&pool, now) && !partitioned(cluster, zone, now);
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

/// Options that a job can use.
pub(super) fn usable(
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
        .map(|(at, option)| UsableOption {
            option: at,
            tasks_per_machine: spec.task_resources.count_in(&option.machine_type.capacity),
        })
        .filter(|usable| usable.tasks_per_machine > 0)
        .collect()
}

/// Those of the usable options that may get a request now, cheapest for a task first.
pub(super) fn cheapest(options: &[RentalOption], usable: &[UsableOption]) -> Vec<PricedOption> {
    let requestable = usable
        .iter()
        .filter(|usable| options[usable.option].requestable);
    let mut cheapest: Vec<PricedOption> = requestable
        .map(|usable| {
            let RentalOption {
                pool, machine_type, ..
            } = &options[usable.option];
            PricedOption {
                usable: *usable,
                price: machine_type.hourly_price_of(pool.spot)
                    / f64::from(usable.tasks_per_machine),
            }
        })
        .collect();
    cheapest.sort_by(|a, b| a.price.total_cmp(&b.price));
    cheapest
}
