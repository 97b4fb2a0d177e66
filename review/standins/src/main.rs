//! Stand-ins and tests of the independent review: `review-standins CASE RECORD-FILE FOLDER`.
//! Exit code 1: a rule was broken; 0: it held; 2: the case could not run. `TROUBLE=0` leaves out the disruption.

mod abort;
mod burst;
mod cloud;
mod nodes;
mod pause;
mod record;
mod store;
mod users;

use record::Record;

/// What every case needs.
pub struct World {
    pub record: Record,
    pub trouble: bool,
    pub store: store::Store,
    pub cloud: cloud::Cloud,
    pub nodes: nodes::Nodes,
    pub users: users::Users,
}

impl World {
    /// Starts the stand-ins and three nodes. The cloud has up to `capacity` machines of one type.
    fn start(
        record: Record,
        folder: &str,
        trouble: bool,
        capacity: usize,
        build: &'static str,
    ) -> Self {
        let (store, states) = store::Store::start(3, record.clone());
        let (cloud, cloud_address) = cloud::Cloud::start(capacity, build, record.clone());
        let nodes = nodes::Nodes::start(folder, &states, &cloud_address, record.clone());
        cloud.set_nodes(&nodes.public);
        let users = users::Users::new(record.clone());
        Self {
            record,
            trouble,
            store,
            cloud,
            nodes,
            users,
        }
    }

    /// Waits until every node answers `/up` with 200 and one of them leads; false after 15 s.
    async fn is_ready(&self) -> bool {
        for address in &self.nodes.public {
            while self.users.up(address).await != Some(200) {
                if self.record.seconds() > 15.0 {
                    self.record.say("a node does not serve");
                    return false;
                }
                actix::clock::sleep(std::time::Duration::from_millis(50)).await;
            }
        }
        while self.store.leader().is_none() {
            if self.record.seconds() > 15.0 {
                return false;
            }
            actix::clock::sleep(std::time::Duration::from_millis(50)).await;
        }
        true
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, file, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE RECORD-FILE FOLDER");
        std::process::exit(2);
    };
    let record = Record::create(file);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.say(format!(
        "case {case}, disruption {}",
        if trouble { "on" } else { "off" }
    ));
    let code = actix::System::new().block_on(async {
        match case.as_str() {
            "burst" => {
                burst::run(World::start(record.clone(), folder, trouble, 4, "heavybid")).await
            }
            "pause" => {
                pause::run(World::start(
                    record.clone(),
                    folder,
                    trouble,
                    40,
                    "heavybid",
                ))
                .await
            }
            "abort" => {
                abort::run(World::start(record.clone(), folder, trouble, 8, "lightbid")).await
            }
            _ => 2,
        }
    });
    record.say(match code {
        0 => "the rule held",
        1 => "RULE BROKEN",
        _ => "the case could not run",
    });
    std::process::exit(code);
}
