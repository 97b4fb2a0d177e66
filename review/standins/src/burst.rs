//! Jobs of small tasks come several times as often while the first machines boot. Rule: once the troubles are
//! over, no job is left waiting for 90 s while a machine that fits has room and its team is under its limit.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::users::array;
use crate::World;

/// How long a job may be left waiting.
const WAITING_S: f64 = 90.0;
/// Jobs come for so long.
const ARRIVALS_S: f64 = 19.0;
/// Usual time between two jobs, and how many times as often they come with the disruption.
const INTERVAL_S: f64 = 2.0;
const TIMES_AS_OFTEN: f64 = 4.0;
const TASKS: u64 = 20;
const CORES: f64 = 0.05;

pub async fn run(world: World) -> i32 {
    if !world.is_ready().await {
        return 2;
    }
    let World {
        record,
        trouble,
        cloud,
        nodes,
        users,
        ..
    } = &world;
    // Six tenths of the nominal boot time, and the run time of each task.
    *cloud.boot.lock().unwrap() = Duration::from_secs(18);
    *cloud.run_time.lock().unwrap() = Duration::from_secs(5);
    let interval = INTERVAL_S / if *trouble { TIMES_AS_OFTEN } else { 1.0 };
    let began = record.seconds();
    let mut accepted = Vec::new();
    let mut next = began;
    while next - began < ARRIVALS_S {
        let wait = (next - record.seconds()).max(0.0);
        actix::clock::sleep(Duration::from_secs_f64(wait)).await;
        next += interval;
        let id = format!("wk-{:06}", accepted.len() + 1);
        if !users
            .submit_until_accepted(&nodes.public, &array(&id, TASKS, CORES, 5.0))
            .await
        {
            return 2;
        }
        accepted.push(id);
    }
    let over = record.seconds();
    record.say(format!(
        "{} jobs accepted; {} machines",
        accepted.len(),
        cloud.machine_count()
    ));
    // Jobs of which no poll and no worker has shown anything but waiting, since the last job came.
    let mut waiting: BTreeSet<String> = accepted.iter().cloned().collect();
    while record.seconds() - over < WAITING_S && !waiting.is_empty() {
        for (turn, id) in waiting.clone().into_iter().enumerate() {
            let status = users.poll(&nodes.public[turn % 3], &id).await;
            if status.as_deref() != Some("pending") || cloud.has_started(&id) {
                waiting.remove(&id);
            }
        }
        // A machine has room for a task of any of these jobs at every look, or the time begins anew.
        actix::clock::sleep(Duration::from_secs(2)).await;
        let room = cloud.rooms(CORES);
        record.line(format!(
            "{} jobs wait; machines and the tasks on them: {room:?}",
            waiting.len()
        ));
        if record.seconds() - over > 10.0 && room.is_empty() {
            record.say("no machine has room");
            return 0;
        }
    }
    let waited = record.seconds() - over;
    record.say(format!(
        "{} of {} jobs still wait after {waited:.0} s; machines with room and the tasks on them: {:?}",
        waiting.len(),
        accepted.len(),
        cloud.rooms(CORES)
    ));
    i32::from(!waiting.is_empty())
}
