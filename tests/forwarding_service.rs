//! Forwarded reports over real connections: the program as a follower, and as a leader, against
//! peers that answer as they should, as older versions do, with rubbish, or not at all.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/node.rs"]
mod node;

use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use actix_web::{web, App, HttpResponse, HttpServer};
use ciborium::{cbor, Value};
use knotlanding::forwarding::messages::{
    BatchAnswer, ForwardedAction, ForwardedAnswer, ForwardedCommand, ForwardedHeartbeat,
    HeartbeatBatch, BATCH_VERSION,
};
use knotlanding::model::{FencingToken, Term};
use knotlanding::peer::heartbeats::HEARTBEATS_PATH;
use knotlanding::peer::{decode, encode as encode_for_peer};
use knotlanding::time::unix_ms;
use knotlanding::wire::Heartbeat;
use knotlanding_testbed::message::{encode, field, number, text};
use node::{Bench, Node, TEST_TIMEOUT};

const LEADER_TERM: u64 = 3;

/// How the stand-in for a leading peer answers batches.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PeerAnswer {
    /// As a leader of this version.
    Right,
    /// As a version that has no such path.
    NotFound,
    /// 200 with a body that means nothing.
    Rubbish,
    /// 200 that answers fewer reports than were sent.
    TooFew,
    /// As a node that leads no more.
    OtherTerm,
}

#[derive(Clone)]
struct PeerStandIn {
    answer: Arc<Mutex<PeerAnswer>>,
    batches: Arc<Mutex<Vec<HeartbeatBatch>>>,
}

impl PeerStandIn {
    /// One at an address of its own.
    fn start() -> (Self, String) {
        let peer = Self {
            answer: Arc::new(Mutex::new(PeerAnswer::Right)),
            batches: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let data = web::Data::new(peer.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route(HEARTBEATS_PATH, web::post().to(take_batch))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        (peer, address)
    }
}

async fn take_batch(peer: web::Data<PeerStandIn>, body: web::Bytes) -> HttpResponse {
    let how = *peer.answer.lock().unwrap();
    if how == PeerAnswer::NotFound {
        return HttpResponse::NotFound().finish();
    }
    if how == PeerAnswer::OtherTerm {
        return HttpResponse::Conflict().finish();
    }
    if how == PeerAnswer::Rubbish {
        return HttpResponse::Ok().body(vec![0xff; 40]);
    }
    let batch: HeartbeatBatch = decode(&body).unwrap();
    let accepted = ForwardedAnswer::Accepted {
        token: FencingToken::first(batch.term).0,
        commands: vec![ForwardedCommand {
            verb: ForwardedAction::Run,
            task: "wk-000001/0".to_owned(),
            attempt: 9,
        }],
    };
    let count = batch.heartbeats.len() - usize::from(how == PeerAnswer::TooFew);
    peer.batches.lock().unwrap().push(batch);
    let answer = BatchAnswer {
        version: BATCH_VERSION,
        answers: vec![accepted; count],
    };
    HttpResponse::Ok().body(encode_for_peer(&answer).unwrap())
}

fn heartbeat(sequence: u64, token: u64) -> Vec<u8> {
    let heartbeat = cbor!({
        "host" => "m-000001", "address" => "127.0.0.1:9", "build" => "cpu16", "yard" => "north",
        "loaners" => false, "tenure" => 1, "tally" => sequence, "baton" => token,
        "strands" => Vec::<Value>::new()
    });
    encode(&heartbeat.unwrap())
}

/// A node of three that knows `knot-1`, at this address, as another one.
fn bench_with_peer(name: &str, address: &str) -> Bench {
    let peer = format!("[[known]]\nmember = \"knot-1\"\npeer_addr = \"{address}\"\n\n[external]");
    Bench::with_settings(name, |text| {
        text.replace("[external]", &peer)
            .replace("count = 1", "count = 2")
    })
}

/// A follower of `knot-1`, which leads by the records.
fn follower(bench: &Bench) -> Node {
    let leader = cbor!({
        "member" => "knot-1", "address" => "127.0.0.1:1", "term" => LEADER_TERM, "lease" => 99
    });
    bench.store.put("kl/leader", leader.unwrap());
    bench.start()
}

/// Reports until the answer has this status.
async fn until(node: &Node, token: u64, status: u16) -> Value {
    let began = Instant::now();
    let mut sequence = 0;
    loop {
        sequence += 1;
        let (got, body, _) = node.post("/hello", heartbeat(sequence, token)).await;
        if got == status {
            return body;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "{got} instead of {status}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[actix_web::test]
async fn a_follower_passes_the_leader_s_answer_on_and_falls_back_where_it_gets_none() {
    let (peer, address) = PeerStandIn::start();
    let bench = bench_with_peer("forward", &address);
    let node = follower(&bench);
    let body = until(&node, 0, 200).await;
    assert_eq!(
        number(&body, "baton"),
        FencingToken::first(Term(LEADER_TERM)).0
    );
    let commands = field(&body, "orders").unwrap().as_array().unwrap();
    assert_eq!(commands.len(), 1);
    assert_eq!(text(&commands[0], "verb"), "run");
    assert_eq!(text(&commands[0], "strand"), "wk-000001/0");
    {
        let batches = peer.batches.lock().unwrap();
        let last = batches.last().unwrap();
        assert_eq!(
            (last.term, last.member.as_str()),
            (Term(LEADER_TERM), "knot-0")
        );
    }

    // A worker that has seen more than this leader's token is not held at this node.
    let higher = FencingToken::first(Term(LEADER_TERM)).0 + 1;
    until(&node, higher, 503).await;

    for (answer, status) in [(PeerAnswer::OtherTerm, 503), (PeerAnswer::Rubbish, 421)] {
        *peer.answer.lock().unwrap() = answer;
        let body = until(&node, 0, status).await;
        if status == 421 {
            assert_eq!(text(&body, "answerTo"), "knot-1", "{answer:?}");
        }
    }
    let (status, metrics) = node.admin("GET", "metrics", "").await;
    assert_eq!(status, 200);
    let heartbeats = &metrics["reports"];
    assert!(heartbeats["forwarded"].as_u64() >= heartbeats["batches_sent"].as_u64());
    for counted in ["accepted", "redirected", "unavailable", "new_connection"] {
        assert!(
            heartbeats[counted].as_u64() > Some(0),
            "{counted}: {heartbeats}"
        );
    }
    assert!(metrics["resident_bytes"].as_u64() > Some(0), "{metrics}");
}

/// A rolling replacement: a leader of 0.5.0 knows no forwarded reports, and workers go to it.
#[actix_web::test]
async fn workers_are_sent_to_a_leader_that_takes_no_forwarded_reports() {
    let (peer, address) = PeerStandIn::start();
    let bench = bench_with_peer("older-leader", &address);
    for answer in [PeerAnswer::NotFound, PeerAnswer::TooFew] {
        *peer.answer.lock().unwrap() = answer;
        let node = follower(&bench);
        let body = until(&node, 0, 421).await;
        assert_eq!(text(&body, "answerTo"), "knot-1", "{answer:?}");
    }
}

/// Where the nodes refuse each other, the worker may still reach the leader.
#[actix_web::test]
async fn workers_are_sent_to_a_leader_that_refuses_this_node_s_connections() {
    let bench = bench_with_peer("refused", "127.0.0.1:9");
    let node = follower(&bench);
    let body = until(&node, 0, 421).await;
    assert_eq!(text(&body, "answerTo"), "knot-1");
}

/// A leader takes batches from nodes that it knows, for its own term, and refuses all others.
#[actix_web::test]
async fn a_leader_answers_batches_and_refuses_bad_ones_without_ending() {
    let bench = bench_with_peer("batches", "127.0.0.1:9");
    let node = bench.start();
    let body = until(&node, 0, 200).await;
    let term = FencingToken(number(&body, "baton")).term();
    let http = awc::Client::default();
    let url = format!("http://{}{HEARTBEATS_PATH}", node.peer);
    let send = |body: Vec<u8>| http.post(&url).send_body(body);
    let forwarded: Heartbeat = knotlanding::wire::decode(&heartbeat(1000, 0)).unwrap();
    let batch = HeartbeatBatch {
        version: BATCH_VERSION,
        member: "knot-1".to_owned(),
        term,
        sent_at_ms: unix_ms(std::time::SystemTime::now()),
        heartbeats: vec![ForwardedHeartbeat::from(forwarded)],
    };
    let mut answer = send(encode_for_peer(&batch).unwrap()).await.unwrap();
    assert_eq!(answer.status(), 200);
    let answer: BatchAnswer = decode(&answer.body().await.unwrap()).unwrap();
    assert_eq!(answer.answers.len(), 1);
    assert!(answer.answers[0].clone().accepted().is_some());

    let other_term = HeartbeatBatch {
        term: Term(term.0 + 1),
        ..batch.clone()
    };
    let other_version = HeartbeatBatch {
        version: BATCH_VERSION + 1,
        ..batch.clone()
    };
    let stranger = HeartbeatBatch {
        member: "knot-7".to_owned(),
        ..batch.clone()
    };
    let bytes = |batch: &HeartbeatBatch| encode_for_peer(batch).unwrap();
    for (body, status) in [
        (bytes(&other_term), 409),
        (bytes(&other_version), 400),
        (bytes(&stranger), 403),
        (b"\xff\xff\xff".to_vec(), 400),
        (Vec::new(), 400),
        (vec![0; 2 * 1024 * 1024], 400),
    ] {
        let answer = send(body).await;
        // A body that is far too large may end the connection instead.
        assert!(
            answer.is_err() || answer.unwrap().status() == status,
            "{status}"
        );
    }
    until(&node, 0, 200).await;
}
