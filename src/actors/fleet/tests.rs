//! Tests of the scaling loop, against a stand-in for the cloud on loopback.

mod cloud;

use std::time::SystemTime;

use parking_lot::Mutex;

use self::cloud::{Answer, CloudStandIn};
use super::*;
use crate::cluster::{Cluster, HeartbeatSource, PlacementRefusal};
use crate::config::Settings;
use crate::demand::{TermDemand, UnmetDemand};
use crate::leader::Leadership;
use crate::model::{
    FencingToken, JobId, JobKind, JobSpec, MachineId, MachineType, Priority, Resources, Term,
};
use crate::store::replica::Replica;
use crate::wire::Heartbeat;

/// The term in which the controller of a test leads.
const TERM: Term = Term(2);
/// The id of its lease.
const LEASE: u64 = 7;
/// Age of a lease under which the controller no longer counts as the leader, but does not give up its term.
const LEASE_AGE_EXPIRED: Duration = Duration::from_secs(6);
/// Enough requests per second that no test waits for the rate limit.
const REQUESTS_PER_SECOND: f64 = 10_000.0;

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
    let (term, now) = (TERM, Instant::now());
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
        election.hold_lease(LEASE, now);
        election.become_leader(Leadership { term, version: 1 });
        election.freshness().confirm(now);
    }
    let cloud = CloudClient::new(shared.settings.external.cloud, awc::Client::default());
    let mut requests = OutstandingRequests::default();
    requests.enter_term(term);
    ScalingLoop {
        shared,
        cloud,
        unmet_demand,
        capacity_backoff: CapacityBackoff::default(),
        requests,
        catalog_read_at: None,
        listing: MachineListing::default(),
        request_budget: TokenBucket::new(REQUESTS_PER_SECOND, now),
    }
}

fn machines_rented_for(demand: SharedDemand) -> u32 {
    let rentals = loop_of_term_2(demand).decide();
    rentals.iter().map(|rental| rental.count).sum()
}

/// Guards against machines that are rented for jobs which ended long ago: a process that was elected again still
/// had the unmet demand of its earlier term.
#[actix_web::test]
async fn unmet_demand_of_an_earlier_term_rents_no_machine() {
    let of_term = |term| Arc::new(Mutex::new(TermDemand::new(term, demand_for_one_machine())));
    assert_eq!(machines_rented_for(of_term(Term(2))), 1);
    assert_eq!(machines_rented_for(of_term(Term(1))), 0);
}

/// A controller that leads in term 2, with a scaling loop and a stand-in for the cloud.
struct ScalingLeader {
    scaling: ScalingLoop,
    cloud: CloudStandIn,
}

impl ScalingLeader {
    /// A leader whose operators have idle machines released at once.
    fn new() -> Self {
        Self::with_demand(Vec::new())
    }

    fn with_demand(demand: Vec<UnmetDemand>) -> Self {
        let cloud = CloudStandIn::start();
        let demand = Arc::new(Mutex::new(TermDemand::new(TERM, demand)));
        let mut scaling = loop_of_term_2(demand);
        scaling.cloud = CloudClient::new(cloud.address, awc::Client::default());
        scaling.shared.operator.lock().idle_factor = 0.0;
        Self { scaling, cloud }
    }

    /// Adds a machine without tasks that has reported this term's token.
    fn add_idle_machine(&self, name: &str) -> MachineId {
        self.add_idle_machine_of_type(name, "cpu16")
    }

    fn add_idle_machine_of_type(&self, name: &str, machine_type: &str) -> MachineId {
        let heartbeat = Heartbeat {
            machine: name.to_owned(),
            address: "127.0.0.1:9".to_owned(),
            machine_type: machine_type.to_owned(),
            zone: "a".to_owned(),
            spot: false,
            epoch: 1,
            sequence: 1,
            token: FencingToken::first(TERM).0,
            notice_s: None,
            tasks: Vec::new(),
        };
        let now = Instant::now();
        self.scaling.shared.with_cluster_of(TERM, |cluster| {
            cluster.apply_heartbeat(&heartbeat, HeartbeatSource::Worker, now);
        });
        MachineId(name.into())
    }

    /// Why the machine gets no new tasks; an inner `None` if it may get some, an outer one if it is gone.
    fn refusal(&self, id: &MachineId) -> Option<Option<PlacementRefusal>> {
        let guard = self.scaling.shared.cluster.lock();
        let cluster = guard.as_ref()?;
        let machine = cluster.machines.get(id)?;
        Some(machine.placement_refusal(Instant::now(), cluster.timing.suspect_after))
    }

    /// The number of machines in the cluster state.
    fn machine_count(&self) -> usize {
        let guard = self.scaling.shared.cluster.lock();
        guard.as_ref().unwrap().machines.len()
    }

    /// Lets the operators keep idle machines for longer than a test runs.
    fn keep_idle_machines(&self) {
        self.scaling.shared.operator.lock().idle_factor = 100.0;
    }

    /// Lets the lease expire by the controller's clock. It does not lead until it has renewed the lease, in the
    /// same term and with the same cluster state.
    fn interrupt_leadership(shared: &Shared) {
        let mut election = shared.election.lock();
        election.hold_lease(LEASE, Instant::now() - LEASE_AGE_EXPIRED);
        assert_eq!(election.leadership(Instant::now()), None);
    }

    fn resume_leadership(&self) {
        let now = Instant::now();
        let mut election = self.scaling.shared.election.lock();
        election.hold_lease(LEASE, now);
        election.freshness().confirm(now);
        assert!(election.leadership(now).is_some());
    }
}

/// Guards against machines that stay blocked for the rest of the term: the releases without a response were dropped
/// while the leadership was interrupted, and the machines were neither released nor given any task.
#[actix_web::test]
async fn release_without_response_is_repeated_after_leadership_was_interrupted_within_the_term() {
    let mut leader = ScalingLeader::new();
    let machine = leader.add_idle_machine("m-000001");
    leader.cloud.next(Answer::LostBeforeExecution);
    leader.scaling.run_cycle().await;
    assert_eq!(leader.cloud.released(), Vec::<String>::new());
    ScalingLeader::interrupt_leadership(&leader.scaling.shared);
    leader.scaling.run_cycle().await;
    leader.resume_leadership();
    leader.scaling.run_cycle().await;
    assert_eq!(leader.cloud.released(), ["m-000001"]);
    assert_eq!(leader.refusal(&machine), None, "the machine is gone");
}

/// Guards against the same, where the cycle ended before it sent the release for which it had marked the machine.
#[actix_web::test]
async fn machine_whose_release_was_decided_but_not_sent_is_not_blocked() {
    let mut leader = ScalingLeader::new();
    leader.add_idle_machine("m-000001");
    let machine = leader.add_idle_machine_of_type("m-000002", "withdrawn16");
    // The two machines are released for different reasons, so by two requests.
    let shared = leader.scaling.shared.clone();
    let interrupt = move || ScalingLeader::interrupt_leadership(&shared);
    leader.cloud.on_next_request(interrupt);
    leader.scaling.run_cycle().await;
    assert_eq!(leader.cloud.released(), ["m-000001"]);
    leader.scaling.run_cycle().await;
    assert_eq!(leader.refusal(&machine), Some(None));
    leader.resume_leadership();
    leader.scaling.run_cycle().await;
    assert_eq!(leader.cloud.released(), ["m-000001", "m-000002"]);
}

/// Guards against tasks that are lost with their machine: the refusal of a repeated release let the machine take tasks,
/// while the cloud might still execute the first request, which had got no response.
#[actix_web::test]
async fn machine_takes_no_tasks_while_an_unanswered_release_may_still_be_executed() {
    let mut leader = ScalingLeader::new();
    let machine = leader.add_idle_machine("m-000001");
    leader.cloud.next(Answer::LostBeforeExecution);
    leader.scaling.run_cycle().await;
    // A cycle that decided anew would keep the machine now.
    leader.keep_idle_machines();
    for _ in 0..2 {
        leader.cloud.next(Answer::Refused);
        leader.scaling.run_cycle().await;
        let refusal = leader.refusal(&machine);
        assert_eq!(refusal, Some(Some(PlacementRefusal::Releasing)));
    }
    leader.scaling.run_cycle().await;
    assert_eq!(leader.cloud.released(), ["m-000001"]);
    assert_eq!(leader.refusal(&machine), None, "the machine is gone");
}

/// A release that was refused at once is not executed later, so that its machine may take tasks.
#[actix_web::test]
async fn machine_takes_tasks_after_the_cloud_has_refused_its_release() {
    let mut leader = ScalingLeader::new();
    let machine = leader.add_idle_machine("m-000001");
    leader.cloud.next(Answer::Refused);
    leader.scaling.run_cycle().await;
    assert_eq!(leader.refusal(&machine), Some(None));
}

/// Guards against machines without any use: each cycle rented for the same demand again, under another idempotency
/// key, while a rental was without a response, and the cloud executed all of them.
#[actix_web::test]
async fn demand_is_rented_for_once_while_the_rental_gets_no_response() {
    for answer in [Answer::LostBeforeExecution, Answer::LostAfterExecution] {
        let mut leader = ScalingLeader::with_demand(demand_for_one_machine());
        for _ in 0..6 {
            leader.cloud.next(answer);
        }
        for _ in 0..8 {
            leader.scaling.run_cycle().await;
        }
        assert_eq!(leader.cloud.machines_rented(), 1, "{answer:?}");
        assert_eq!(leader.machine_count(), 1, "{answer:?}");
    }
}

/// Guards against the same after a repetition that the cloud refused, and after an interruption of the leadership within
/// the term: the rental that may have been executed was forgotten.
#[actix_web::test]
async fn rental_without_response_is_not_forgotten_when_it_is_refused_or_leadership_is_interrupted()
{
    let mut leader = ScalingLeader::with_demand(demand_for_one_machine());
    leader.cloud.next(Answer::LostAfterExecution);
    leader.scaling.run_cycle().await;
    leader.cloud.next(Answer::Refused);
    leader.scaling.run_cycle().await;
    ScalingLeader::interrupt_leadership(&leader.scaling.shared);
    leader.scaling.run_cycle().await;
    leader.resume_leadership();
    leader.scaling.run_cycle().await;
    assert_eq!(leader.cloud.machines_rented(), 1);
    assert_eq!(leader.machine_count(), 1);
}
