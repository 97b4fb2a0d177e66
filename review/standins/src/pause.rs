//! Leaders stand still for longer than their lease and go on. A controller is a process that keeps running until
//! it is killed: a node that answers nobody for 75 s after all troubles are over hangs. If no node answers
//! questions about an accepted job for that time, the job is `forgotten` as well.

use std::time::Duration;

use crate::users::array;
use crate::World;

/// Time without any answer after which a job counts as forgotten, and here also a node as hanging.
const FORGOTTEN_S: f64 = 75.0;
/// The last pause ends by then, so that the time above fits the run.
const PAUSES_UNTIL_S: f64 = 38.0;
/// A pause ends shortly after another node was elected, or after this time.
const PAUSE_MAX_S: f64 = 3.5;
/// Up to 400 tasks on a machine of 32 cores: below the 409 up to which the service gives a machine more.
const JOBS: u64 = 60;
const TASKS_PER_JOB: u64 = 250;
const CORES: f64 = 0.08;
const RUN_TIME: Duration = Duration::from_secs(600);

pub async fn run(world: World) -> i32 {
    let World {
        record,
        trouble,
        cloud,
        nodes,
        users,
        store,
        ..
    } = &world;
    *cloud.run_time.lock().unwrap() = RUN_TIME;
    if !world.is_ready().await {
        return 2;
    }
    for number in 1..=JOBS {
        let job = array(&format!("wk-{number:06}"), TASKS_PER_JOB, CORES, 600.0);
        if !users.submit_until_accepted(&nodes.public, &job).await {
            return 2;
        }
    }
    let wanted = (JOBS * TASKS_PER_JOB) as usize;
    while cloud.running() < wanted && record.seconds() < 15.0 {
        actix::clock::sleep(Duration::from_millis(200)).await;
    }
    record.say(format!(
        "{} tasks run on {} machines",
        cloud.running(),
        cloud.machine_count()
    ));
    if cloud.running() == 0 {
        return 2;
    }
    // Nodes that have not answered since their last pause.
    let mut silent = [false; 3];
    let mut over = record.seconds();
    let mut gathered = false;
    while *trouble && record.seconds() + PAUSE_MAX_S < PAUSES_UNTIL_S && silent.contains(&false) {
        let leader = store
            .leader()
            .and_then(|name| name.trim_start_matches("knot-").parse::<usize>().ok());
        let Some(node) = leader.filter(|node| !silent[*node]) else {
            actix::clock::sleep(Duration::from_millis(100)).await;
            continue;
        };
        if silent.iter().filter(|silent| **silent).count() == 2 && !gathered {
            // Workers find the last node that answers within two responses that they wait for in vain.
            gathered = true;
            actix::clock::sleep(Duration::from_secs(8)).await;
            continue;
        }
        nodes.signal(node, libc::SIGSTOP);
        record.say(format!("knot-{node}, which leads, stands still"));
        let began = record.seconds();
        while record.seconds() - began < PAUSE_MAX_S {
            actix::clock::sleep(Duration::from_millis(20)).await;
            if store
                .leader()
                .is_some_and(|leader| leader != format!("knot-{node}"))
            {
                actix::clock::sleep(Duration::from_millis(300)).await;
                break;
            }
        }
        nodes.signal(node, libc::SIGCONT);
        over = record.seconds();
        let length = record.seconds() - began;
        record.say(format!(
            "knot-{node} goes on after {length:.2} s; leader: {:?}",
            store.leader()
        ));
        // Workers come back meanwhile, to this node or another.
        actix::clock::sleep(Duration::from_millis(1000)).await;
        let answer = users.up(&nodes.public[node]).await;
        actix::clock::sleep(Duration::from_millis(500)).await;
        record.say(format!("knot-{node}: /up: {answer:?}"));
        silent[node] = answer.is_none();
    }
    record.say(format!(
        "the troubles are over since {over:.1} s; nodes that did not answer then: {silent:?}"
    ));
    // A user for each node asks about a job.
    let watches = (0..3).map(|node| {
        let (record, users, address) = (record.clone(), users.clone(), nodes.public[node].clone());
        actix::spawn(async move {
            let (mut asked, mut answers) = (0, 0);
            // All is well once a node has answered a few times.
            while record.seconds() - over < FORGOTTEN_S && answers < 20 {
                asked += 1;
                answers += u32::from(users.poll(&address, "wk-000001").await.is_some());
                actix::clock::sleep(Duration::from_millis(500)).await;
            }
            (asked, answers)
        })
    });
    let watches: Vec<_> = watches.collect();
    let mut hanging = 0;
    for (node, watch) in watches.into_iter().enumerate() {
        let (asked, answers) = watch.await.unwrap();
        record.say(format!(
            "knot-{node}: {asked} questions in {:.0} s, {answers} answers",
            record.seconds() - over
        ));
        hanging += usize::from(answers == 0);
    }
    if hanging == 3 {
        record.say("forgotten: no node answers questions about wk-000001");
    }
    i32::from(hanging > 0)
}
