//! The cases.

use std::path::Path;
use std::time::{Duration, Instant};

use ciborium::{cbor, Value};
use knotlanding_testbed::message::text;
use knotlanding_testbed::proxy::LinkMode;

use crate::deployment::{Deployment, Site, BRACKENRIDGE, INDUS};
use crate::world::{Flavor, JobInfo, Setup, World};
use crate::Outcome;

const LEADER_WAIT: Duration = Duration::from_secs(20);

async fn sleep(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}

/// A job as a user submits it.
struct Job {
    id: &'static str,
    lane: &'static str,
    owner: &'static str,
    shape: &'static str,
    rank: &'static str,
    strands: u64,
    cores: f64,
    ram_gb: f64,
    expect_s: f64,
    due_s: Value,
}

impl Job {
    fn body(&self) -> Value {
        let body = cbor!({
            "nameId" => self.id, "lane" => self.lane, "owner" => self.owner, "shape" => self.shape,
            "rank" => self.rank, "strands" => self.strands, "cores" => self.cores, "cards" => 0.0,
            "ramGb" => self.ram_gb, "bundle" => self.id, "sizeGb" => 0.5, "builds" => null,
            "yard" => null, "oneZone" => false, "apart" => false, "loaners" => true,
            "expectS" => self.expect_s, "markEveryS" => 0.0, "markCostS" => 0.0, "dueS" => self.due_s
        });
        body.unwrap()
    }

    fn info(&self, run_s: f64) -> JobInfo {
        JobInfo {
            strands: self.strands as usize,
            gang: self.shape == "group",
            run: Duration::from_secs_f64(run_s),
            fetch: Duration::from_millis(700),
        }
    }
}

fn world(
    site: &Site,
    flavors: Vec<Flavor>,
    machines: usize,
    (report_s, lease_s): (f64, f64),
) -> World {
    World::new(Setup {
        flavors,
        zones: site.zones.to_vec(),
        up_after: Duration::from_millis(1500),
        machines_max: machines,
        report_s,
        lease_s,
    })
}

fn finish(deployment: &mut Deployment, began: Instant, lines: &mut Vec<String>) {
    lines.extend(deployment.world.log_lines(began));
    lines.push(format!(
        "tasks that ended by themselves: {}; worker leases that ended: {}; reports refused, by status: {:?}",
        deployment.world.ended(),
        deployment.world.lease_ends(),
        deployment.world.refused_reports()
    ));
    let words = [
        "became leader",
        "leadership lost",
        "lease expired",
        "handing over",
        "placements",
        "panicked",
        "overflow",
    ];
    for index in 0..deployment.count() {
        lines.extend(deployment.log_lines(index, &words));
    }
    lines.push(format!(
        "controllers that ended by themselves: {}",
        deployment.ended_controllers()
    ));
}

/// A leader is cut from the state service and the other controllers; a job is cancelled at another node. No
/// task of it may be started after the user was told so.
pub async fn start_after_cancel(root: &Path, trouble: bool, lines: &mut Vec<String>) -> Outcome {
    let began = Instant::now();
    let flavor = Flavor {
        name: "lightbid",
        cores: 8.0,
        ram_gb: 64.0,
        boot_s: 30.0,
    };
    let world = world(&INDUS, vec![flavor], 6, (3.0, 45.0));
    let mut deployment = Deployment::start(root, &INDUS, 3, world.clone());
    let outcome = start_after_cancel_in(&deployment, trouble, lines).await;
    finish(&mut deployment, began, lines);
    outcome
}

async fn start_after_cancel_in(
    deployment: &Deployment,
    trouble: bool,
    lines: &mut Vec<String>,
) -> Outcome {
    let world = &deployment.world;
    if deployment.wait_for_leader(LEADER_WAIT).await.is_none() {
        return Outcome::CouldNotRun("no leader".to_owned());
    }
    let job = Job {
        id: "wk-000101",
        lane: "yearreplay",
        owner: "windco",
        shape: "array",
        rank: "best_effort",
        strands: 25_000,
        cores: 0.25,
        ram_gb: 0.9,
        expect_s: 4.0,
        due_s: Value::Null,
    };
    world.add_job(job.id, job.info(4.0));
    if deployment.submit(&job.body()).await != 201 {
        return Outcome::CouldNotRun("not accepted".to_owned());
    }
    let waited = Instant::now();
    while world.ended() < 300 {
        if waited.elapsed() > Duration::from_secs(70) {
            return Outcome::CouldNotRun(format!("only {} tasks done", world.ended()));
        }
        sleep(0.1).await;
    }
    let Some(leader) = deployment.leader() else {
        return Outcome::CouldNotRun("no leader before the cut".to_owned());
    };
    if trouble {
        deployment.cut(leader, LinkMode::BLACKHOLE);
        world.log(format!(
            "knot-{leader}, the leader, is cut from the state service and the others"
        ));
    }
    sleep(0.2).await;
    let other = (leader + 1) % deployment.count();
    let path = format!("/api/jobs/{}/abort", job.id);
    let (status, body) = deployment.ask(other, "POST", &path, None).await;
    let told_at = Instant::now();
    if status != 200 || text(&body, "status") != "cancelled" {
        return Outcome::CouldNotRun(format!("cancellation answered with {status}"));
    }
    sleep(8.0).await;
    deployment.cut(leader, LinkMode::default());
    // The leader may learn of the cancellation from the other node while an answer is on its way.
    let allowed = Duration::from_millis(200);
    let late: Vec<f64> = world
        .starts_of(job.id)
        .iter()
        .filter(|start| start.asked_at > told_at + allowed)
        .map(|start| {
            let after = start.at.duration_since(told_at).as_secs_f64();
            lines.push(format!(
                "{} started on {} {after:.3} s after the user was told, asked for {:.3} s after",
                start.strand,
                start.machine,
                start.asked_at.duration_since(told_at).as_secs_f64()
            ));
            after
        })
        .collect();
    let latest = late.iter().copied().fold(0.0, f64::max);
    match late.len() {
        0 => Outcome::Held("no start after the cancellation was confirmed".to_owned()),
        count => Outcome::Broken(format!(
            "{count} starts after the cancellation was confirmed, the last {latest:.3} s after"
        )),
    }
}

/// A job whose deadline is far off is submitted, and cancelled by its user. Other accepted jobs must run.
pub async fn far_deadline(root: &Path, trouble: bool, lines: &mut Vec<String>) -> Outcome {
    let began = Instant::now();
    let flavor = Flavor {
        name: "boxoffice",
        cores: 16.0,
        ram_gb: 32.0,
        boot_s: 50.0,
    };
    let world = world(&BRACKENRIDGE, vec![flavor], 6, (3.0, 22.0));
    let mut deployment = Deployment::start(root, &BRACKENRIDGE, 3, world.clone());
    world.add_machines(4);
    let outcome = far_deadline_in(&deployment, trouble).await;
    finish(&mut deployment, began, lines);
    outcome
}

async fn far_deadline_in(deployment: &Deployment, trouble: bool) -> Outcome {
    let world = &deployment.world;
    if deployment.wait_for_leader(LEADER_WAIT).await.is_none() {
        return Outcome::CouldNotRun("no leader".to_owned());
    }
    let seatlock = |id| Job {
        id,
        lane: "seatlock",
        owner: "gatecrew",
        shape: "group",
        rank: "urgent",
        strands: 2,
        cores: 7.0,
        ram_gb: 13.0,
        expect_s: 5.0,
        due_s: Value::Null,
    };
    let mistaken = Job {
        id: "wk-000202",
        lane: "fraudscore",
        owner: "trustops",
        shape: "array",
        rank: "standard",
        strands: 4,
        cores: 5.0,
        ram_gb: 8.0,
        expect_s: 5.0,
        due_s: if trouble {
            Value::from(i64::MAX)
        } else {
            Value::from(900.0)
        },
    };
    world.add_job(mistaken.id, mistaken.info(5.0));
    let status = deployment.submit(&mistaken.body()).await;
    if !matches!(status, 201 | 400 | 422) {
        return Outcome::CouldNotRun(format!("the mistaken job was answered with {status}"));
    }
    sleep(2.0).await;
    if status == 201 {
        let path = format!("/api/jobs/{}/abort", mistaken.id);
        deployment.ask(0, "POST", &path, None).await;
    }
    let jobs = [
        seatlock("wk-000203"),
        seatlock("wk-000204"),
        seatlock("wk-000205"),
    ];
    for job in &jobs {
        world.add_job(job.id, job.info(5.0));
        if deployment.submit(&job.body()).await != 201 {
            return Outcome::CouldNotRun("not accepted".to_owned());
        }
    }
    // The limit of the pages for a job that waits while a machine that fits has room.
    let accepted_at = Instant::now();
    while accepted_at.elapsed() < Duration::from_secs(90) {
        if jobs.iter().all(|job| world.starts_of(job.id).len() >= 2) {
            return Outcome::Held("all other jobs were started".to_owned());
        }
        sleep(0.25).await;
    }
    let started: usize = jobs.iter().map(|job| world.starts_of(job.id).len()).sum();
    Outcome::Broken(format!(
        "{started} tasks of {} accepted jobs were started in 90 s, with {} machines up",
        jobs.len(),
        world.machines_up()
    ))
}

/// Machines are being returned while the cloud is behind a cut, and then the state service is down. A job that
/// is accepted afterwards must run on one of them, or on another one.
pub async fn dropped_return(root: &Path, trouble: bool, lines: &mut Vec<String>) -> Outcome {
    let began = Instant::now();
    let flavor = Flavor {
        name: "heavybid",
        cores: 32.0,
        ram_gb: 128.0,
        boot_s: 30.0,
    };
    let world = world(&INDUS, vec![flavor], 3, (3.0, 45.0));
    let mut deployment = Deployment::start(root, &INDUS, 3, world.clone());
    world.add_machines(3);
    let outcome = dropped_return_in(&deployment, trouble).await;
    finish(&mut deployment, began, lines);
    outcome
}

async fn dropped_return_in(deployment: &Deployment, trouble: bool) -> Outcome {
    let world = &deployment.world;
    let Some(leader) = deployment.wait_for_leader(LEADER_WAIT).await else {
        return Outcome::CouldNotRun("no leader".to_owned());
    };
    if trouble {
        world.log("the cloud is behind a cut: connections to it are reset");
        deployment.set_cloud_links(LinkMode::REFUSED);
    }
    // Idle machines are returned at once.
    let settings = r#"{"version":0,"settings":{"idle_factor":0.0}}"#;
    if deployment
        .operate(leader, "settings", Some(settings))
        .await
        .is_empty()
    {
        return Outcome::CouldNotRun("the operators' setting was not taken".to_owned());
    }
    if trouble {
        let began = Instant::now();
        let machines = ["m-000001", "m-000002", "m-000003"];
        let mut returning = 0;
        while returning < machines.len() {
            if began.elapsed() > Duration::from_secs(12) {
                return Outcome::CouldNotRun(format!("{returning} machines are being returned"));
            }
            sleep(0.2).await;
            returning = 0;
            for name in machines {
                let path = format!("machines/{name}");
                let shown = deployment.operate(leader, &path, None).await;
                returning += usize::from(shown.contains("it is being returned"));
            }
        }
        world.log(
            "the leader shows all three machines as being returned; the state service is down",
        );
        deployment.store.set_outage(true);
        sleep(6.0).await;
        deployment.store.set_outage(false);
        world.log("the state service is back");
        sleep(1.0).await;
        deployment.set_cloud_links(LinkMode::default());
        world.log("the cloud can be reached again");
    } else {
        sleep(12.0).await;
    }
    sleep(1.0).await;
    let job = Job {
        id: "wk-000401",
        lane: "bidseal",
        owner: "gridops",
        shape: "group",
        rank: "urgent",
        strands: 1,
        cores: 30.0,
        ram_gb: 100.0,
        expect_s: 5.0,
        due_s: Value::Null,
    };
    world.add_job(job.id, job.info(5.0));
    if deployment.submit(&job.body()).await != 201 {
        return Outcome::CouldNotRun("not accepted".to_owned());
    }
    // The limit of the pages for a job that waits while a machine that fits has room.
    let accepted_at = Instant::now();
    while accepted_at.elapsed() < Duration::from_secs(91) {
        if !world.starts_of(job.id).is_empty() {
            return Outcome::Held("the job was started".to_owned());
        }
        sleep(0.25).await;
    }
    let same = deployment.leader() == Some(leader);
    Outcome::Broken(format!(
        "the job waited 91 s beside {} empty machines (the leader is the same: {same})",
        world.machines_up()
    ))
}
