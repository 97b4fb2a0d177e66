use std::net::TcpListener;
use std::time::SystemTime;

use futures_util::future::join;

use super::*;
use crate::config::Settings;
use crate::model::FencingToken;
use crate::model::MachinePool;
use crate::store::client::StoreClient;
use crate::store::replica::Replica;

/// A process that was paused for 51 s during a cycle must not pause its cycles for seven minutes if it
/// leads afterwards.
#[test]
fn pause_is_proportional_to_cycle_duration_and_bounded_after_a_process_pause() {
    assert_eq!(pause_after(Duration::ZERO), CYCLE_INTERVAL_MIN);
    let cycle_duration = Duration::from_millis(100);
    assert_eq!(
        pause_after(cycle_duration),
        cycle_duration * CYCLE_PAUSE_FACTOR
    );
    assert_eq!(pause_after(Duration::from_secs(51)), CYCLE_PAUSE_MAX);
}

const MACHINE: &str = "m-000001";

/// The cluster state of a term, with one machine that has sent no heartbeat.
fn cluster_of(shared: &Shared, term: Term) -> Cluster {
    let now = Instant::now();
    let mut cluster = Cluster::recover(
        term,
        &shared.settings,
        &Replica::default(),
        Arc::default(),
        now,
        SystemTime::now(),
    );
    let pool = MachinePool {
        machine_type: "cpu16".to_owned(),
        zone: "north".to_owned(),
        spot: false,
    };
    cluster.add_rented_machines(&[MACHINE.to_owned()], &pool, now);
    cluster
}

/// A scheduling loop of a process that leads in term 1.
fn loop_of_term_1() -> SchedulerLoop {
    let text = include_str!("../../../deploy/example.toml");
    let shared = Shared::new(Settings::parse(text, "a test").unwrap());
    *shared.cluster.lock() = Some(cluster_of(&shared, Term(1)));
    let now = Instant::now();
    {
        let mut election = shared.election.lock();
        election.hold_lease(7, now);
        election.become_leader(Leadership {
            term: Term(1),
            version: 1,
        });
        election.freshness().confirm(now);
    }
    let client = StoreClient::new(&shared.settings, Client::default());
    let replica = shared.replica.clone();
    let store = StoreActor::new(&shared.settings, client, replica, shared.clone()).start();
    SchedulerLoop {
        shared,
        store,
        http: Client::default(),
        unmet_demand: SharedDemand::default(),
        write_backoff_until: Mutex::default(),
        direct_command_permits: Semaphore::new(1),
    }
}

/// Sends a direct command in term 1 whose connection the machine closes without a response, at a time at
/// which the process has the cluster state of `term`. Returns the commands that count as unanswered then.
async fn unanswered_commands_in(term: Term) -> u32 {
    let scheduler = Rc::new(loop_of_term_1());
    let shared = scheduler.shared.clone();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let command = AddressedCommand {
        machine: MachineId(MACHINE.into()),
        address: listener.local_addr().unwrap().to_string(),
        token: FencingToken::first(Term(1)),
        epoch: 1,
        terminations: Vec::new(),
    };
    let machine = actix_web::web::block({
        let shared = shared.clone();
        move || {
            let connection = listener.accept().unwrap();
            *shared.cluster.lock() = Some(cluster_of(&shared, term));
            drop(connection);
        }
    });
    let ((), machine) = join(scheduler.send_command(command), machine).await;
    machine.unwrap();
    let guard = shared.cluster.lock();
    let machines = &guard.as_ref().unwrap().machines;
    machines[&MachineId(MACHINE.into())].unanswered_commands
}

/// Guards against a machine that counts as unresponsive sooner in a new term, for a command of an earlier one.
#[actix_web::test]
async fn unanswered_command_counts_only_in_the_term_in_which_it_was_sent() {
    assert_eq!(unanswered_commands_in(Term(1)).await, 1);
    assert_eq!(unanswered_commands_in(Term(2)).await, 0);
}
