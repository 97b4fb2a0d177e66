//! Tests of [`super`].

use super::*;
use crate::model::Term;

fn leader(term: u64) -> LeaderHint {
    LeaderHint {
        term: Term(term),
        member: "knot-1".to_owned(),
    }
}

fn heartbeat(sequence: u64, token: FencingToken) -> Heartbeat {
    Heartbeat {
        machine: format!("m-{sequence:06}"),
        address: String::new(),
        machine_type: String::new(),
        zone: String::new(),
        spot: false,
        epoch: 1,
        sequence,
        token: token.0,
        notice_s: None,
        tasks: Vec::new(),
    }
}

fn accepted(token: u64) -> ForwardedAnswer {
    ForwardedAnswer::Accepted {
        token,
        commands: Vec::new(),
    }
}

/// Of a node with 512 public connections and 136 MB.
const LIMITS: QueueLimits = QueueLimits {
    heartbeats: 512,
    bytes: 17 * 128 * 1024,
};

struct Follower {
    forwarding: Forwarding,
    start: Instant,
}

impl Follower {
    fn new() -> Self {
        Self {
            forwarding: Forwarding::new(LIMITS),
            start: Instant::now(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn queue(&mut self, sequence: u64, ms: u64) -> PendingHeartbeat {
        let (heartbeat, now) = (heartbeat(sequence, FencingToken(0)), self.at(ms));
        self.forwarding.enqueue(heartbeat, 200, now).unwrap()
    }

    fn batch(&mut self, term: u64, ms: u64) -> Option<Vec<QueuedHeartbeat>> {
        let now = self.at(ms);
        self.forwarding.next_batch(&leader(term), now)
    }

    fn fail(&mut self, failure: UpstreamFailure, ms: u64) {
        let now = self.at(ms);
        self.forwarding.failed(&leader(3), failure, now);
    }

    fn route(&self, term: u64, ms: u64) -> ForwardingRoute {
        self.forwarding.route(&leader(term), self.at(ms))
    }
}

/// Reports that arrive while batches are under way wait and go together: batches widen.
#[test]
fn batches_grow_while_two_are_in_flight() {
    let mut follower = Follower::new();
    let mut pending = Vec::new();
    for (sequence, expected) in [(1, true), (2, true), (3, false), (4, false)] {
        pending.push(follower.queue(sequence, 0));
        let batch = follower.batch(3, 0);
        assert_eq!(batch.is_some(), expected, "report {sequence}");
        std::mem::forget(batch);
    }
    follower.forwarding.succeeded(&leader(3));
    assert_eq!(follower.batch(3, 1).unwrap().len(), 2);
}

#[test]
fn batches_and_the_queue_are_bounded_and_a_full_queue_says_so() {
    let mut follower = Follower::new();
    let pending: Vec<PendingHeartbeat> = (0..LIMITS.heartbeats as u64)
        .map(|sequence| follower.queue(sequence, 0))
        .collect();
    let now = follower.at(0);
    let one_more = follower
        .forwarding
        .enqueue(heartbeat(9999, FencingToken(0)), 200, now);
    assert_eq!(one_more.unwrap_err(), QueueFull);
    assert_eq!(follower.batch(3, 0).unwrap().len(), BATCH_HEARTBEATS_MAX);
    assert_eq!(pending.len(), LIMITS.heartbeats);

    // The same by bytes, with the largest bodies that workers may send.
    let mut follower = Follower::new();
    let mut pending = Vec::new();
    let refused = (0..1000).find(|sequence| {
        let queued =
            follower
                .forwarding
                .enqueue(heartbeat(*sequence, FencingToken(0)), BODY_BYTES_MAX, now);
        queued.map(|heartbeat| pending.push(heartbeat)).is_err()
    });
    let taken = refused.unwrap() as usize * BODY_BYTES_MAX;
    assert!(taken <= LIMITS.bytes && taken * 2 > LIMITS.bytes);
    let batch = follower.forwarding.next_batch(&leader(3), now).unwrap();
    assert!(!batch.is_empty() && batch.len() * BODY_BYTES_MAX <= BATCH_BYTES_MAX);
}

/// A batch is never sent again, and what waits behind it is given up with it.
#[test]
fn an_unanswered_batch_is_not_repeated() {
    let mut follower = Follower::new();
    let mut first = follower.queue(1, 0);
    let batch = follower.batch(3, 0).unwrap();
    let mut second = follower.queue(2, 100);
    follower.fail(UpstreamFailure::Unresponsive, 2500);
    drop(batch);
    assert!(first.answer.try_recv().is_err(), "nobody will answer it");
    assert!(second.answer.try_recv().is_err());
    assert!(follower.batch(3, 2500).is_none(), "nothing is left to send");
}

/// A worker whose follower can't reach the leader is told at once where to go, and one batch at a
/// time tries whether the path is there again.
#[test]
fn a_failed_path_is_tried_again_by_one_batch() {
    use UpstreamFailure::{ConnectionRefused, NotLeading, Unresponsive, Unsupported};
    for (failure, told) in [
        (Unresponsive, ForwardingRoute::Reject),
        (NotLeading, ForwardingRoute::Reject),
        (ConnectionRefused, ForwardingRoute::Redirect),
        (Unsupported, ForwardingRoute::Redirect),
    ] {
        let mut follower = Follower::new();
        assert_eq!(follower.route(3, 0), ForwardingRoute::Forward);
        let pending = follower.queue(1, 0);
        std::mem::forget(follower.batch(3, 0));
        follower.fail(failure, 10);
        assert_eq!(follower.route(3, 20), told, "{failure:?}");
        assert_eq!(
            follower.route(4, 20),
            ForwardingRoute::Forward,
            "another leader"
        );
        let over = 10 + failure.backoff().as_millis() as u64;
        assert_eq!(
            follower.route(3, over),
            ForwardingRoute::Forward,
            "{failure:?}"
        );
        let probe = follower.queue(2, over);
        std::mem::forget(follower.batch(3, over));
        assert_eq!(follower.route(3, over), told, "one tries the path");
        follower.forwarding.succeeded(&leader(3));
        assert_eq!(follower.route(3, over), ForwardingRoute::Forward);
        drop((pending, probe));
    }
}

/// What came for the former leader goes to the one that is known by then; reports whose worker
/// has given up, or has seen a higher term, go to nobody.
#[test]
fn only_heartbeats_whose_agents_wait_are_sent() {
    let mut follower = Follower::new();
    let waits = follower.queue(1, 0);
    drop(follower.queue(2, 0));
    let now = follower.at(0);
    let ahead = heartbeat(3, FencingToken::first(Term(9)));
    let ahead = follower.forwarding.enqueue(ahead, 200, now).unwrap();
    let batch = follower.batch(4, 100).unwrap();
    assert_eq!(batch.len(), 1);
    drop((waits, ahead));

    let mut late = Follower::new();
    let waits = late.queue(1, 0);
    let limit = ANSWER_LIMIT.as_millis() as u64;
    assert!(late.batch(3, limit).is_none(), "the worker has given up");
    drop(waits);
}

/// A 200 that the worker drops holds it at this node while its lease runs out.
#[test]
fn no_response_is_relayed_late_or_under_a_token_below_the_agent_s() {
    let mut follower = Follower::new();
    let seen = FencingToken::first(Term(3)).0 + 5;
    let now = follower.at(0);
    let heartbeat = heartbeat(1, FencingToken(seen));
    let pending = follower.forwarding.enqueue(heartbeat, 200, now).unwrap();
    let limit = ANSWER_LIMIT.as_millis() as u64;
    let relayed = |token, ms| pending.relayed_response(accepted(token), follower.at(ms));
    assert!(relayed(seen, limit - 1).is_some());
    assert!(relayed(seen + 1, 10).is_some());
    assert!(relayed(seen - 1, 10).is_none(), "the worker would drop it");
    assert!(relayed(seen, limit).is_none(), "the worker has given up");
    let unavailable = ForwardedAnswer::Unavailable;
    assert!(pending
        .relayed_response(unavailable, follower.at(10))
        .is_none());
}

/// The batches of all followers take a bounded part of the leader's processor, and on a machine of
/// usual size reports hardly wait.
#[test]
fn heartbeats_are_batched_longer_where_the_processor_is_small() {
    let gather = |cores: f64, nodes: usize| {
        let text = include_str!("../../deploy/example.toml");
        let mut settings = Settings::parse(text, "a test").unwrap();
        settings.params.resources.cores = cores;
        settings.params.count = nodes;
        batch_delay(&settings)
    };
    assert_eq!(gather(1.0, 3), BATCH_DELAY_MIN);
    assert!(gather(0.16, 3) < Duration::from_millis(50));
    assert_eq!(gather(0.029, 7), BATCH_DELAY_MAX);
    let (cores, nodes) = (0.1, 5);
    let a_second = (nodes - 1) as f64 / gather(cores, nodes).as_secs_f64();
    assert!(a_second * BATCH_CPU_S <= cores * BATCH_CPU_PART * 1.01);
}
