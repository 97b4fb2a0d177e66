use std::time::SystemTime;

use parking_lot::Mutex;

use super::*;
use crate::config::Settings;
use crate::demand::{TermDemand, UnmetDemand};
use crate::leader::Leadership;
use crate::model::{JobId, JobKind, JobSpec, MachineType, Priority, Resources};
use crate::store::replica::Replica;

fn cpu_machines() -> Catalog {
    Arc::new(vec![MachineType {
        name: "cpu16".to_owned(),
        capacity: Resources {
            cpus: 16.0,
            gpus: 0.0,
            memory: 64.0,
        },
        hourly_price: 0.9,
        hourly_spot_price: 0.3,
        boot_time: Duration::from_secs(40),
        cache_gb: 50.0,
        pull_gb_per_s: 0.5,
        zones: vec!["a".to_owned()],
    }])
}

/// The demand of a job of one task that was submitted five minutes ago.
fn demand_for_one_machine() -> Vec<UnmetDemand> {
    let now = Instant::now();
    let spec = JobSpec {
        id: JobId::parse("wk-000001").unwrap(),
        class: "batch".to_owned(),
        team: "blue".to_owned(),
        kind: JobKind::Array,
        priority: Priority::Urgent,
        tasks: 1,
        task_resources: Resources {
            cpus: 15.0,
            gpus: 0.0,
            memory: 20.0,
        },
        machine_types: None,
        zone: None,
        single_zone: false,
        zone_spread: false,
        spot: true,
        image: "img-1".to_owned(),
        image_gb: 3.0,
        estimate_s: 100.0,
        checkpoint_interval_s: 30.0,
        checkpoint_cost_s: 5.0,
        deadline_s: None,
    };
    vec![UnmetDemand {
        spec: Arc::new(spec),
        tasks: 1,
        submitted_at: now,
        complete_by: now,
        zone: None,
    }]
}

/// The scaling loop of a process that has begun to lead in term 2, without jobs or machines.
fn loop_of_term_2(unmet_demand: SharedDemand) -> ScalingLoop {
    let text = include_str!("../../../deploy/example.toml");
    let shared = Shared::new(Settings::parse(text, "a test").unwrap());
    let (term, now) = (Term(2), Instant::now());
    let cluster = Cluster::recover(
        term,
        &shared.settings,
        &Replica::default(),
        cpu_machines(),
        now,
        SystemTime::now(),
    );
    *shared.cluster.lock() = Some(cluster);
    {
        let mut election = shared.election.lock();
        election.hold_lease(7, now);
        election.become_leader(Leadership { term, version: 1 });
        election.freshness().confirm(now);
    }
    let cloud = CloudClient::new(shared.settings.external.cloud, awc::Client::default());
    ScalingLoop {
        shared,
        cloud,
        unmet_demand,
        capacity_backoff: CapacityBackoff::default(),
        rental_requests: 0,
        pending_rentals: Vec::new(),
        pending_releases: Vec::new(),
        term,
        catalog_read_at: None,
        listing: MachineListing::default(),
        request_budget: TokenBucket::new(1.0, now),
    }
}

fn machines_rented_for(demand: SharedDemand) -> u32 {
    let actions = loop_of_term_2(demand).plan_actions();
    let rented = actions.iter().map(|action| match action {
        ScalingAction::Rent(_, count) => *count,
        ScalingAction::Release(..) => 0,
    });
    rented.sum()
}

/// Guards against machines that are rented for jobs which ended long ago: a process that was elected again still
/// had the unmet demand of its earlier term.
#[actix_web::test]
async fn unmet_demand_of_an_earlier_term_rents_no_machine() {
    let of_term = |term| Arc::new(Mutex::new(TermDemand::new(term, demand_for_one_machine())));
    assert_eq!(machines_rented_for(of_term(Term(2))), 1);
    assert_eq!(machines_rented_for(of_term(Term(1))), 0);
}
