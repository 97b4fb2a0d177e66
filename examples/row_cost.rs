//! Measures the time that the rows of the connectivity matrix take a controller on this machine, without a
//! network: `cargo run --release --example row_cost -- 4000 7` for 4,000 agents and seven controllers.

// An unexpected state ends the measurement with a panic.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use std::time::{Duration, Instant, SystemTime};

use knotlanding::config::{Peer, Settings};
use knotlanding::features::{Features, LinkFeatures};
use knotlanding::peer::links::accept_encoded_row;
use knotlanding::service::Shared;
use knotlanding::wire::Heartbeat;

/// Number of rows, and of handover decisions, over which a measurement is averaged.
const ROWS: u32 = 200;

fn controller(index: usize, controller_count: usize) -> std::sync::Arc<Shared> {
    let example = include_str!("../deploy/example.toml");
    let mut settings = Settings::parse(example, "example").unwrap();
    settings.member = format!("knot-{index}");
    let peers = (0..controller_count).filter(|other| *other != index);
    settings.peers = peers
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
        .map(|argument| argument.parse::<usize>().unwrap());
    let workers = arguments.next().unwrap_or(4_000);
    let controller_count = arguments.next().unwrap_or(7);
    let controllers: Vec<_> = (0..controller_count)
        .map(|index| controller(index, controller_count))
        .collect();
    let simulated_start = Instant::now();
    let recording_started_at = Instant::now();
    for sequence in 1..=2 {
        let received_at = simulated_start + Duration::from_secs(3 * sequence);
        for number in 0..workers {
            let links = &controllers[number % controller_count].links;
            let heartbeat = heartbeat(number, sequence);
            links.record_worker_heartbeat(&heartbeat, received_at);
            links.record_worker_response(&heartbeat.machine, heartbeat.id());
        }
    }
    let per_heartbeat = recording_started_at.elapsed() / (2 * workers as u32);
    let now = simulated_start + Duration::from_secs(7);
    let (mut encode_time, mut accept_time, mut row_bytes) = (Duration::ZERO, Duration::ZERO, 0);
    for _ in 0..ROWS {
        let encode_started_at = Instant::now();
        let active = controllers[0].links.active().unwrap();
        active.evaluate(now);
        let row = active.next_row(Some(1), now, SystemTime::now());
        let encoded = knotlanding::peer::encode(&row.to_message()).unwrap();
        encode_time += encode_started_at.elapsed();
        row_bytes = encoded.len();
        let accept_started_at = Instant::now();
        let receiver = controllers[1].links.active().unwrap();
        accept_encoded_row(receiver, &encoded, now, SystemTime::now()).unwrap();
        accept_time += accept_started_at.elapsed();
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
    let decisions_started_at = Instant::now();
    for _ in 0..ROWS {
        controllers[0].links.active().unwrap().decide_handover(now);
    }
    let decision_time = decisions_started_at.elapsed();
    println!("{workers} workers, {controller_count} controllers");
    println!("size of a row: {row_bytes} bytes");
    println!("recording a heartbeat and its response: {per_heartbeat:?}");
    println!("evaluating and encoding a row: {:?}", encode_time / ROWS);
    println!("decoding and accepting a row: {:?}", accept_time / ROWS);
    println!("handover decision: {:?}", decision_time / ROWS);
    let per_second = encode_time / ROWS
        + (accept_time / ROWS) * (controller_count as u32 - 1)
        + decision_time / ROWS;
    println!("total of a leader per second: {per_second:?}");
}
