//! Users cancel jobs at a node that stands still for a moment while the jobs complete. Rule `went_back`: a job
//! once called done is called something else.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::join_all;
use rand::Rng;

use crate::nodes::send_signal;
use crate::users::array;
use crate::World;

mod futures {
    use std::future::Future;

    /// Runs futures concurrently on this thread; returns their results in order.
    pub async fn join_all<F>(list: impl IntoIterator<Item = F>) -> Vec<F::Output>
    where
        F: Future + 'static,
        F::Output: 'static,
    {
        let handles: Vec<_> = list.into_iter().map(actix::spawn).collect();
        let mut results = Vec::with_capacity(handles.len());
        for handle in handles {
            results.push(handle.await.unwrap());
        }
        results
    }
}

const JOBS_PER_ROUND: u64 = 60;
/// Jobs that run all the time, which their users poll.
const POLLED_JOBS: u64 = 8;
const POLLS: u64 = 600;
const ROUNDS_UNTIL_S: f64 = 98.0;
/// How long the node stands still.
const STANDSTILL: Duration = Duration::from_millis(1250);

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
    if !world.is_ready().await {
        return 2;
    }
    let never = Instant::now() + Duration::from_secs(3600);
    for number in 1..=POLLED_JOBS {
        let id = format!("wk-{number:06}");
        cloud.ends.lock().unwrap().insert(id.clone(), never);
        if !users
            .submit_until_accepted(&nodes.public, &array(&id, 1, 0.05, 600.0))
            .await
        {
            return 2;
        }
    }
    let mut round = 0;
    let mut broken = Vec::new();
    while record.seconds() < ROUNDS_UNTIL_S && broken.is_empty() {
        round += 1;
        let ids: Vec<String> = (1..=JOBS_PER_ROUND)
            .map(|n| format!("wk-{:06}", round * 1000 + n))
            .collect();
        for id in &ids {
            cloud.ends.lock().unwrap().insert(id.clone(), never);
        }
        let accepted = join_all(ids.iter().enumerate().map(|(at, id)| {
            let (users, mut public) = (users.clone(), nodes.public.clone());
            public.rotate_left(at % 3);
            let job = array(id, 1, 0.05, 30.0);
            async move { users.submit_until_accepted(&public, &job).await }
        }));
        accepted.await;
        let started = record.seconds();
        while cloud.running() < (POLLED_JOBS + JOBS_PER_ROUND) as usize {
            if record.seconds() - started > 20.0 {
                record.say(format!("only {} tasks run", cloud.running()));
                return 2;
            }
            actix::clock::sleep(Duration::from_millis(100)).await;
        }
        let Some(leader) = store
            .leader()
            .and_then(|name| name.trim_start_matches("knot-").parse::<usize>().ok())
        else {
            continue;
        };
        // The leader goes on hearing of the tasks if no busy machine reports to the node that stands still.
        let followers = [(leader + 1) % 3, (leader + 2) % 3];
        let other = if cloud.hears_tasks(followers[0]) {
            followers[1]
        } else {
            followers[0]
        };
        let pid = nodes.pid(other);
        // The node reads for a first question at once, and a moment later for all that came meanwhile.
        let delay = Duration::from_micros(rand::rng().random_range(50..1200));
        let stopped = Arc::new(AtomicBool::new(false));
        let (flag, stop) = (stopped.clone(), *trouble);
        store.after_read(
            other,
            2,
            Box::new(move || {
                std::thread::spawn(move || {
                    let at = Instant::now() + delay;
                    while Instant::now() < at {
                        std::hint::spin_loop();
                    }
                    if stop {
                        send_signal(pid, libc::SIGSTOP);
                    }
                    flag.store(true, Ordering::SeqCst);
                });
            }),
        );
        // The tasks complete now.
        let end = Instant::now() + Duration::from_millis(100);
        for id in &ids {
            cloud.ends.lock().unwrap().insert(id.clone(), end);
        }
        let address = nodes.public[other].clone();
        let (first_user, first_address) = (users.clone(), address.clone());
        actix::spawn(async move { first_user.poll(&first_address, "wk-000001").await });
        actix::clock::sleep(Duration::from_millis(40)).await;
        for number in 0..POLLS {
            let (users, address) = (users.clone(), address.clone());
            let id = format!("wk-{:06}", number % POLLED_JOBS + 1);
            actix::spawn(async move { users.poll(&address, &id).await });
        }
        let cancels = ids.iter().map(|id| {
            let (users, address, id) = (users.clone(), address.clone(), id.clone());
            actix::spawn(async move { users.cancel(&address, &id).await })
        });
        let cancels: Vec<_> = cancels.collect();
        let fired = Instant::now();
        while !stopped.load(Ordering::SeqCst) && fired.elapsed() < Duration::from_secs(2) {
            actix::clock::sleep(Duration::from_millis(2)).await;
        }
        if *trouble {
            record.line(format!("knot-{other} stands still"));
        }
        // Other users ask another node meanwhile.
        let mut told: BTreeMap<String, f64> = BTreeMap::new();
        let still = Instant::now();
        while still.elapsed() < STANDSTILL {
            let left: Vec<String> = ids
                .iter()
                .filter(|id| !told.contains_key(*id))
                .cloned()
                .collect();
            let answers = join_all(left.into_iter().map(|id| {
                let (users, address) = (users.clone(), nodes.public[leader].clone());
                async move { (users.poll(&address, &id).await, id) }
            }));
            for (answer, id) in answers.await {
                if answer.as_deref() == Some("done") {
                    told.insert(id, record.seconds());
                }
            }
            actix::clock::sleep(Duration::from_millis(100)).await;
        }
        nodes.signal(other, libc::SIGCONT);
        record.line(format!("knot-{other} goes on"));
        let mut cancelled = 0;
        for cancel in cancels {
            cancelled += usize::from(cancel.await.unwrap().as_deref() == Some("cancelled"));
        }
        actix::clock::sleep(Duration::from_millis(500)).await;
        let answers = join_all(ids.iter().cloned().map(|id| {
            let (users, address) = (users.clone(), nodes.public[leader].clone());
            async move { (users.poll(&address, &id).await, id) }
        }));
        for (answer, id) in answers.await {
            let Some(status) = answer else { continue };
            if let Some(at) = told.get(&id).filter(|_| status != "done") {
                record.line(format!(
                    "{id} was called done at {at:.4} and is called {status} now"
                ));
                broken.push(id);
            }
        }
        record.say(format!(
            "round {round}: signal {} us after the read; told done: {}; told cancelled: {cancelled}; went back: {}",
            delay.as_micros(),
            told.len(),
            broken.len()
        ));
        actix::clock::sleep(Duration::from_secs(1)).await;
    }
    if round == 0 {
        return 2;
    }
    i32::from(!broken.is_empty())
}
