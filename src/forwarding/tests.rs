use super::*;

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

/// The limits of a controller with 512 public connections and 136 MiB of memory.
const LIMITS: QueueLimits = QueueLimits {
    heartbeats: 512,
    bytes: 17 * 128 * 1024,
};

struct Follower {
    forwarding: ForwardingQueue,
    start: Instant,
}

impl Follower {
    fn new() -> Self {
        Self {
            forwarding: ForwardingQueue::new(LIMITS),
            start: Instant::now(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    /// Queues a heartbeat for the leader of term 3.
    fn queue(&mut self, sequence: u64, ms: u64) -> PendingHeartbeat {
        self.queue_for(3, sequence, ms)
    }

    fn queue_for(&mut self, term: u64, sequence: u64, ms: u64) -> PendingHeartbeat {
        let (heartbeat, now) = (heartbeat(sequence, FencingToken(0)), self.at(ms));
        self.forwarding
            .enqueue(heartbeat, &leader(term), 200, now)
            .unwrap()
    }

    fn batch(&mut self, term: u64, ms: u64) -> Option<Vec<QueuedHeartbeat>> {
        let now = self.at(ms);
        self.forwarding.next_batch(&leader(term), now)
    }

    fn fail(&mut self, failure: UpstreamFailure, ms: u64) {
        let now = self.at(ms);
        self.forwarding
            .record_batch_failure(&leader(3), failure, now);
    }

    fn route(&self, term: u64, ms: u64) -> ForwardingRoute {
        self.forwarding.route(&leader(term), self.at(ms))
    }
}

/// Heartbeats that arrive while two batches are in flight are sent together in the next batch.
#[test]
fn heartbeats_are_batched_together_while_two_batches_are_in_flight() {
    let mut follower = Follower::new();
    let mut pending = Vec::new();
    for (sequence, expected) in [(1, true), (2, true), (3, false), (4, false)] {
        pending.push(follower.queue(sequence, 0));
        let batch = follower.batch(3, 0);
        assert_eq!(batch.is_some(), expected, "heartbeat {sequence}");
        std::mem::forget(batch);
    }
    follower.forwarding.record_batch_success(&leader(3));
    assert_eq!(follower.batch(3, 1).unwrap().len(), 2);
}

#[test]
fn batches_and_queue_are_bounded_and_a_full_queue_rejects_heartbeats() {
    let mut follower = Follower::new();
    let pending: Vec<PendingHeartbeat> = (0..LIMITS.heartbeats as u64)
        .map(|sequence| follower.queue(sequence, 0))
        .collect();
    let now = follower.at(0);
    let one_more =
        follower
            .forwarding
            .enqueue(heartbeat(9999, FencingToken(0)), &leader(3), 200, now);
    assert_eq!(one_more.unwrap_err(), QueueFull);
    assert_eq!(follower.batch(3, 0).unwrap().len(), BATCH_HEARTBEATS_MAX);
    assert_eq!(pending.len(), LIMITS.heartbeats);

    // The limit in bytes, with the largest bodies that agents may send.
    let mut follower = Follower::new();
    let mut pending = Vec::new();
    let first_rejected = (0..1000).find(|sequence| {
        let queued = follower.forwarding.enqueue(
            heartbeat(*sequence, FencingToken(0)),
            &leader(3),
            BODY_BYTES_MAX,
            now,
        );
        queued.map(|heartbeat| pending.push(heartbeat)).is_err()
    });
    let accepted_bytes = first_rejected.unwrap() as usize * BODY_BYTES_MAX;
    assert!(accepted_bytes <= LIMITS.bytes && accepted_bytes * 2 > LIMITS.bytes);
    let batch = follower.forwarding.next_batch(&leader(3), now).unwrap();
    assert!(!batch.is_empty() && batch.len() * BODY_BYTES_MAX <= BATCH_BYTES_MAX);
}

/// A batch without a response may have been accepted, so it must not be sent again. The heartbeats
/// queued behind it are dropped with it.
#[test]
fn failed_batch_is_not_repeated_and_drops_queued_heartbeats() {
    let mut follower = Follower::new();
    let mut first = follower.queue(1, 0);
    let batch = follower.batch(3, 0).unwrap();
    let mut second = follower.queue(2, 100);
    follower.fail(UpstreamFailure::Unresponsive, 2500);
    drop(batch);
    assert!(
        first.answer.try_recv().is_err(),
        "no decision arrives for a heartbeat of the failed batch"
    );
    assert!(second.answer.try_recv().is_err());
    assert!(follower.batch(3, 2500).is_none(), "the queue is empty");
}

/// Guards against heartbeats that are dropped after a change of leader: the failure of a batch to a leader that
/// hung arrives seconds after the next leader is known, and says nothing about the path to that one.
#[test]
fn late_failure_of_a_former_leader_keeps_the_heartbeats_for_the_next_leader() {
    let mut follower = Follower::new();
    let former = follower.queue_for(3, 1, 0);
    let former_batch = follower.batch(3, 0);
    let waiting = follower.queue_for(4, 2, 2400);
    follower.fail(UpstreamFailure::Unresponsive, 2500);
    let batch = follower.batch(4, 2500);
    assert_eq!(batch.map(|batch| batch.len()), Some(1));
    drop((former, former_batch, waiting));
}

/// Guards against heartbeats that wait until the batches to a leader that hung have timed out.
#[test]
fn unanswered_batches_to_a_former_leader_do_not_delay_those_to_the_next_leader() {
    let mut follower = Follower::new();
    let mut pending = Vec::new();
    for sequence in 0..BATCHES_IN_FLIGHT as u64 {
        pending.push(follower.queue_for(3, sequence, 0));
        std::mem::forget(follower.batch(3, 0));
    }
    pending.push(follower.queue_for(4, 9, 100));
    let batch = follower.batch(4, 110);
    assert_eq!(batch.map(|batch| batch.len()), Some(1));
}

/// Guards against a backoff that is forgotten: the failure of the path to the present leader was replaced by a
/// late failure of a former one.
#[test]
fn late_failure_of_a_former_leader_keeps_the_failure_of_the_next_leader() {
    let mut follower = Follower::new();
    let now = follower.at(2400);
    follower
        .forwarding
        .record_batch_failure(&leader(4), UpstreamFailure::NotLeading, now);
    follower.fail(UpstreamFailure::Unresponsive, 2500);
    assert_eq!(follower.route(4, 2600), ForwardingRoute::Reject);
}

/// While a follower cannot reach the leader, heartbeats are rejected or redirected at once. After the
/// backoff one batch at a time probes the path.
#[test]
fn failed_path_is_probed_by_one_batch_after_the_backoff() {
    use UpstreamFailure::{ConnectionRefused, NotLeading, Unresponsive, Unsupported};
    for (failure, expected_route) in [
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
        assert_eq!(follower.route(3, 20), expected_route, "{failure:?}");
        assert_eq!(
            follower.route(4, 20),
            ForwardingRoute::Forward,
            "path to another leader"
        );
        let backoff_end_ms = 10 + failure.backoff().as_millis() as u64;
        assert_eq!(
            follower.route(3, backoff_end_ms),
            ForwardingRoute::Forward,
            "{failure:?}"
        );
        let probe = follower.queue(2, backoff_end_ms);
        std::mem::forget(follower.batch(3, backoff_end_ms));
        assert_eq!(
            follower.route(3, backoff_end_ms),
            expected_route,
            "{failure:?}: a probe is in flight"
        );
        follower.forwarding.record_batch_success(&leader(3));
        assert_eq!(follower.route(3, backoff_end_ms), ForwardingRoute::Forward);
        drop((pending, probe));
    }
}

/// Heartbeats queued under a former leader are sent to the current one. Those whose agents no longer
/// wait, or have accepted a token of a higher term, are dropped.
#[test]
fn heartbeats_of_agents_that_no_longer_wait_or_saw_a_higher_term_are_dropped() {
    let mut follower = Follower::new();
    let waiting = follower.queue(1, 0);
    drop(follower.queue(2, 0));
    let now = follower.at(0);
    let ahead = heartbeat(3, FencingToken::first(Term(9)));
    let ahead = follower
        .forwarding
        .enqueue(ahead, &leader(3), 200, now)
        .unwrap();
    let batch = follower.batch(4, 100).unwrap();
    assert_eq!(batch.len(), 1);
    drop((waiting, ahead));

    let mut late = Follower::new();
    let waiting = late.queue(1, 0);
    let limit_ms = RELAY_TIMEOUT.as_millis() as u64;
    assert!(
        late.batch(3, limit_ms).is_none(),
        "the agent no longer waits"
    );
    drop(waiting);
}

/// An agent that drops a 200 keeps sending its heartbeats to the same follower while its lease expires.
#[test]
fn response_is_not_relayed_late_or_under_a_token_below_the_accepted_one() {
    let mut follower = Follower::new();
    let accepted_token = FencingToken::first(Term(3)).0 + 5;
    let now = follower.at(0);
    let heartbeat = heartbeat(1, FencingToken(accepted_token));
    let pending = follower
        .forwarding
        .enqueue(heartbeat, &leader(3), 200, now)
        .unwrap();
    let limit_ms = RELAY_TIMEOUT.as_millis() as u64;
    let relayed = |token, ms| pending.relayed_response(accepted(token), follower.at(ms));
    assert!(relayed(accepted_token, limit_ms - 1).is_some());
    assert!(relayed(accepted_token + 1, 10).is_some());
    assert!(
        relayed(accepted_token - 1, 10).is_none(),
        "the agent would drop it"
    );
    assert!(
        relayed(accepted_token, limit_ms).is_none(),
        "the agent no longer waits"
    );
    let unavailable = ForwardedAnswer::Unavailable;
    assert!(pending
        .relayed_response(unavailable, follower.at(10))
        .is_none());
}

/// The batches of all followers take a bounded fraction of the leader's processor time, and with a
/// processor of the usual size heartbeats are hardly delayed.
#[test]
fn batch_delay_is_longer_for_a_leader_with_less_processor_time() {
    let delay_of = |cores: f64, controllers: usize| {
        let text = include_str!("../../deploy/example.toml");
        let mut settings = Settings::parse(text, "a test").unwrap();
        settings.params.resources.cores = cores;
        settings.params.count = controllers;
        batch_delay(&settings)
    };
    assert_eq!(delay_of(1.0, 3), BATCH_DELAY_MIN);
    assert!(delay_of(0.16, 3) < Duration::from_millis(50));
    assert_eq!(delay_of(0.029, 7), BATCH_DELAY_MAX);
    let (cores, controllers) = (0.1, 5);
    let batches_per_s = (controllers - 1) as f64 / delay_of(cores, controllers).as_secs_f64();
    assert!(batches_per_s * BATCH_CPU_S <= cores * BATCH_CPU_FRACTION * 1.01);
}
