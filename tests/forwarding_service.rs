//! Forwarding of heartbeats over real connections, with the controller process as follower and as leader. The
//! peer is a stand-in that responds correctly, as an older version or with an invalid body, or is
//! unreachable.

// A failed `unwrap` or `expect` fails the test with its message.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/test_controller.rs"]
mod test_controller;

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
use knotlanding::peer::{decode, encode as encode_bincode};
use knotlanding::time::unix_ms;
use knotlanding::wire::Heartbeat;
use knotlanding_testbed::message::{encode, field, number, text};
use test_controller::{ControllerEnvironment, ControllerProcess, TEST_TIMEOUT};

const LEADER_TERM: u64 = 3;

/// How the stand-in leader responds to batches of heartbeats.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LeaderBehavior {
    /// 200 with one answer for each heartbeat.
    Valid,
    /// 404, as an older version that does not support forwarding.
    NotFound,
    /// 200 with a body that cannot be decoded.
    Undecodable,
    /// 200 with one answer fewer than the batch has heartbeats.
    MissingAnswer,
    /// 409, as a controller that does not lead in the term of the batch.
    TermConflict,
}

#[derive(Clone)]
struct LeaderStandIn {
    behavior: Arc<Mutex<LeaderBehavior>>,
    batches: Arc<Mutex<Vec<HeartbeatBatch>>>,
}

impl LeaderStandIn {
    /// Starts the stand-in on a free port; returns it and its address.
    fn start() -> (Self, String) {
        let leader = Self {
            behavior: Arc::new(Mutex::new(LeaderBehavior::Valid)),
            batches: Arc::default(),
        };
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let data = web::Data::new(leader.clone());
        let server = HttpServer::new(move || {
            App::new()
                .app_data(data.clone())
                .route(HEARTBEATS_PATH, web::post().to(respond_to_batch))
        });
        let server = server.workers(1).disable_signals();
        actix::spawn(server.listen(listener).unwrap().run());
        (leader, address)
    }
}

async fn respond_to_batch(leader: web::Data<LeaderStandIn>, body: web::Bytes) -> HttpResponse {
    let behavior = *leader.behavior.lock().unwrap();
    if behavior == LeaderBehavior::NotFound {
        return HttpResponse::NotFound().finish();
    }
    if behavior == LeaderBehavior::TermConflict {
        return HttpResponse::Conflict().finish();
    }
    if behavior == LeaderBehavior::Undecodable {
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
    let count = batch.heartbeats.len() - usize::from(behavior == LeaderBehavior::MissingAnswer);
    leader.batches.lock().unwrap().push(batch);
    let answer = BatchAnswer {
        version: BATCH_VERSION,
        answers: vec![accepted; count],
    };
    HttpResponse::Ok().body(encode_bincode(&answer).unwrap())
}

fn heartbeat(sequence: u64, token: u64) -> Vec<u8> {
    let heartbeat = cbor!({
        "host" => "m-000001", "address" => "127.0.0.1:9", "build" => "cpu16", "yard" => "north",
        "loaners" => false, "tenure" => 1, "tally" => sequence, "baton" => token,
        "strands" => Vec::<Value>::new()
    });
    encode(&heartbeat.unwrap())
}

/// Environment of a controller whose settings name one peer, `knot-1`, at this address.
fn environment_with_peer(name: &str, address: &str) -> ControllerEnvironment {
    let peer = format!("[[known]]\nmember = \"knot-1\"\npeer_addr = \"{address}\"\n\n[external]");
    ControllerEnvironment::with_settings(name, |text| {
        text.replace("[external]", &peer)
            .replace("count = 1", "count = 2")
    })
}

/// Starts a follower of `knot-1`, which is the leader according to the store.
fn start_follower(environment: &ControllerEnvironment) -> ControllerProcess {
    let leader = cbor!({
        "member" => "knot-1", "address" => "127.0.0.1:1", "term" => LEADER_TERM, "lease" => 99
    });
    environment.store.put("kl/leader", leader.unwrap());
    environment.start()
}

/// Sends heartbeats with the given token until one gets this status; returns the body of that response.
async fn heartbeat_until_status(controller: &ControllerProcess, token: u64, status: u16) -> Value {
    let started_at = Instant::now();
    let mut sequence = 0;
    loop {
        sequence += 1;
        let (received_status, body, _) =
            controller.post("/hello", heartbeat(sequence, token)).await;
        if received_status == status {
            return body;
        }
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the status is {received_status} instead of {status}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[actix_web::test]
async fn follower_relays_the_leader_response_and_responds_with_421_or_503_without_a_usable_one() {
    let (leader, address) = LeaderStandIn::start();
    let environment = environment_with_peer("forward", &address);
    let controller = start_follower(&environment);
    let response = heartbeat_until_status(&controller, 0, 200).await;
    assert_eq!(
        number(&response, "baton"),
        FencingToken::first(Term(LEADER_TERM)).0
    );
    let commands = field(&response, "orders").unwrap().as_array().unwrap();
    assert_eq!(commands.len(), 1);
    assert_eq!(text(&commands[0], "verb"), "run");
    assert_eq!(text(&commands[0], "strand"), "wk-000001/0");
    {
        let batches = leader.batches.lock().unwrap();
        let last_batch = batches.last().unwrap();
        assert_eq!(
            (last_batch.term, last_batch.member.as_str()),
            (Term(LEADER_TERM), "knot-0")
        );
    }

    // An agent whose token is higher than that of the leader must be rejected, so that it tries another
    // controller.
    let higher_token = FencingToken::first(Term(LEADER_TERM)).0 + 1;
    heartbeat_until_status(&controller, higher_token, 503).await;

    for (behavior, status) in [
        (LeaderBehavior::TermConflict, 503),
        (LeaderBehavior::Undecodable, 421),
    ] {
        *leader.behavior.lock().unwrap() = behavior;
        let response = heartbeat_until_status(&controller, 0, status).await;
        if status == 421 {
            assert_eq!(text(&response, "answerTo"), "knot-1", "{behavior:?}");
        }
    }
    let (status, metrics) = controller.admin("GET", "metrics", "").await;
    assert_eq!(status, 200);
    let heartbeats = &metrics["reports"];
    assert!(heartbeats["forwarded"].as_u64() >= heartbeats["batches_sent"].as_u64());
    for counter in ["accepted", "redirected", "unavailable", "new_connection"] {
        assert!(
            heartbeats[counter].as_u64() > Some(0),
            "{counter}: {heartbeats}"
        );
    }
    assert!(metrics["resident_bytes"].as_u64() > Some(0), "{metrics}");
}

/// During a rolling update, a leader of version 0.5.0 does not support forwarded heartbeats, so that agents
/// have to send their heartbeats to it directly.
#[actix_web::test]
async fn workers_are_redirected_to_a_leader_that_does_not_support_forwarded_heartbeats() {
    let (leader, address) = LeaderStandIn::start();
    let environment = environment_with_peer("older-leader", &address);
    for behavior in [LeaderBehavior::NotFound, LeaderBehavior::MissingAnswer] {
        *leader.behavior.lock().unwrap() = behavior;
        let controller = start_follower(&environment);
        let response = heartbeat_until_status(&controller, 0, 421).await;
        assert_eq!(text(&response, "answerTo"), "knot-1", "{behavior:?}");
    }
}

/// An agent may reach the leader although the follower cannot connect to it.
#[actix_web::test]
async fn workers_are_redirected_to_a_leader_that_refuses_connections_of_the_follower() {
    let environment = environment_with_peer("refused", "127.0.0.1:9");
    let controller = start_follower(&environment);
    let body = heartbeat_until_status(&controller, 0, 421).await;
    assert_eq!(text(&body, "answerTo"), "knot-1");
}

/// A leader accepts batches only from peers in its settings and for its own term.
#[actix_web::test]
async fn leader_responds_to_valid_batches_and_rejects_invalid_ones_without_crashing() {
    let environment = environment_with_peer("batches", "127.0.0.1:9");
    let controller = environment.start();
    let body = heartbeat_until_status(&controller, 0, 200).await;
    let term = FencingToken(number(&body, "baton")).term();
    let http = awc::Client::default();
    let url = format!("http://{}{HEARTBEATS_PATH}", controller.peer_addr);
    let send = |body: Vec<u8>| http.post(&url).send_body(body);
    let forwarded: Heartbeat = knotlanding::wire::decode(&heartbeat(1000, 0)).unwrap();
    let batch = HeartbeatBatch {
        version: BATCH_VERSION,
        member: "knot-1".to_owned(),
        term,
        sent_at_ms: unix_ms(std::time::SystemTime::now()),
        heartbeats: vec![ForwardedHeartbeat::from(forwarded)],
    };
    let mut response = send(encode_bincode(&batch).unwrap()).await.unwrap();
    assert_eq!(response.status(), 200);
    let answer: BatchAnswer = decode(&response.body().await.unwrap()).unwrap();
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
    let unknown_member = HeartbeatBatch {
        member: "knot-7".to_owned(),
        ..batch.clone()
    };
    let bytes = |batch: &HeartbeatBatch| encode_bincode(batch).unwrap();
    for (body, status) in [
        (bytes(&other_term), 409),
        (bytes(&other_version), 400),
        (bytes(&unknown_member), 403),
        (b"\xff\xff\xff".to_vec(), 400),
        (Vec::new(), 400),
        (vec![0; 2 * 1024 * 1024], 400),
    ] {
        let result = send(body).await;
        // The server may close the connection instead of responding to a body that is far too large.
        assert!(
            result.is_err() || result.unwrap().status() == status,
            "the response to an invalid batch has another status than {status}"
        );
    }
    heartbeat_until_status(&controller, 0, 200).await;
}
