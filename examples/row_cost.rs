//! What the rows of the connectivity matrix cost a controller, natively: `cargo run --release --example
//! row_cost -- 4000 7` for 4,000 workers and seven controllers.

// A measurement that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant, SystemTime};

use knotlanding::config::{Peer, Settings};
use knotlanding::features::{Features, LinkFeatures};
use knotlanding::peer::links::accept_encoded_row;
use knotlanding::service::Shared;
use knotlanding::wire::Heartbeat;

/// Rows of each controller that are measured.
const ROWS: u32 = 200;

fn shared(member: usize, count: usize) -> std::sync::Arc<Shared> {
    let text = include_str!("../deploy/example.toml");
    let mut settings = Settings::parse(text, "example").unwrap();
    settings.member = format!("knot-{member}");
    let others = (0..count).filter(|other| *other != member);
    settings.peers = others
        .map(|other| Peer {
            member: format!("knot-{other}"),
            zone: String::new(),
            peer_addr: "127.0.0.1:1".parse().unwrap(),
        })
        .collect();
    let links = Some(LinkFeatures::default());
    Shared::with_features(settings, Features { links })
}

fn heartbeat(number: usize, sequence: u64) -> Heartbeat {
    Heartbeat {
        machine: format!("m-{number:06}"),
        address: String::new(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        epoch: 1,
        sequence,
        token: 0,
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn main() {
    let mut arguments = std::env::args()
        .skip(1)
        .map(|a| a.parse::<usize>().unwrap());
    let workers = arguments.next().unwrap_or(4_000);
    let count = arguments.next().unwrap_or(7);
    let controllers: Vec<_> = (0..count).map(|member| shared(member, count)).collect();
    let start = Instant::now();
    let began = Instant::now();
    for sequence in 1..=2 {
        let at = start + Duration::from_secs(3 * sequence);
        for number in 0..workers {
            let links = &controllers[number % count].links;
            links.record_worker_heartbeat(&heartbeat(number, sequence), at);
            links.record_worker_response(&format!("m-{number:06}"));
        }
    }
    let per_report = began.elapsed() / (2 * workers as u32);
    let now = start + Duration::from_secs(7);
    let (mut made, mut taken, mut bytes) = (Duration::ZERO, Duration::ZERO, 0);
    for _ in 0..ROWS {
        let began = Instant::now();
        let active = controllers[0].links.active().unwrap();
        active.evaluate(now);
        let row = active.next_row(Some(1), now, SystemTime::now());
        let encoded = knotlanding::peer::encode(&row.to_message()).unwrap();
        made += began.elapsed();
        bytes = encoded.len();
        let began = Instant::now();
        let receiver = controllers[1].links.active().unwrap();
        accept_encoded_row(receiver, &encoded, now, SystemTime::now()).unwrap();
        taken += began.elapsed();
    }
    for sender in &controllers[1..] {
        let row = sender
            .links
            .active()
            .unwrap()
            .next_row(None, now, SystemTime::now());
        let encoded = knotlanding::peer::encode(&row.to_message()).unwrap();
        let receiver = controllers[0].links.active().unwrap();
        accept_encoded_row(receiver, &encoded, now, SystemTime::now()).unwrap();
    }
    let began = Instant::now();
    for _ in 0..ROWS {
        controllers[0].links.active().unwrap().decide_handover(now);
    }
    let decided = began.elapsed();
    println!("{workers} workers, {count} controllers");
    println!("a row: {bytes} bytes");
    println!("evidence of a report: {per_report:?}");
    println!("making a row: {:?}", made / ROWS);
    println!("taking a row: {:?}", taken / ROWS);
    println!("a decision on the lead: {:?}", decided / ROWS);
    let second = made / ROWS + (taken / ROWS) * (count as u32 - 1) + decided / ROWS;
    println!("a second of a leader: {second:?}");
}
