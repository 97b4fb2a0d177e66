//! Tests of [`super`] with three controllers in simulated time. Each controller has its own link table,
//! matrix and handover policy; each test decides which links work in each second.

use super::*;
use crate::table::{LinkTable, RowHeader, StoreOperation};
use crate::test_support::{timing, DETECTION_PARAMS};
use crate::workers::HeartbeatId;

const START_UNIX_MS: u64 = 1_800_000_000_000;
const MEMBERS: [&str; 3] = ["knot-0", "knot-1", "knot-2"];
const HANDOVERS_MAX: usize = 3;

struct Controller {
    table: LinkTable,
    matrix: ConnectivityMatrix,
    policy: HandoverPolicy,
    /// Numbers of the agents that send heartbeats to this controller.
    workers: std::ops::Range<u32>,
    paused: bool,
}

/// Which links work in a second, by the index of the controller.
#[derive(Clone, Copy)]
struct WorkingLinks {
    store: [bool; 3],
    writes: [bool; 3],
    /// `peers[a][b]`: requests of `a` arrive at `b`. The responses to them require `peers[b][a]`.
    peers: [[bool; 3]; 3],
    workers: [bool; 3],
}

const ALL_LINKS: WorkingLinks = WorkingLinks {
    store: [true; 3],
    writes: [true; 3],
    peers: [[true; 3]; 3],
    workers: [true; 3],
};

struct Cluster {
    controllers: Vec<Controller>,
    start: Instant,
    elapsed_s: u64,
    leader: usize,
    /// Second and new leader of each handover.
    handovers: Vec<(u64, String)>,
}

impl Cluster {
    fn new(workers: [std::ops::Range<u32>; 3]) -> Self {
        let start = Instant::now();
        let controllers = workers.into_iter().enumerate().map(|(index, workers)| {
            let others = || {
                let others = MEMBERS.iter().filter(move |m| **m != MEMBERS[index]);
                others.map(|member| (*member).to_owned())
            };
            Controller {
                table: LinkTable::new(MEMBERS[index], others(), DETECTION_PARAMS, timing(), start),
                matrix: ConnectivityMatrix::new(others(), timing()),
                policy: HandoverPolicy::new(&timing(), HANDOVERS_MAX),
                workers,
                paused: false,
            }
        });
        Self {
            controllers: controllers.collect(),
            start,
            elapsed_s: 0,
            leader: 0,
            handovers: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.elapsed_s)
    }

    fn row(&self, index: usize) -> Row {
        let header = RowHeader {
            incarnation: 1,
            sequence: self.elapsed_s,
            sent_at_ms: START_UNIX_MS + self.elapsed_s * 1_000,
            leads_term: (index == self.leader).then_some(1),
        };
        self.controllers[index].table.row(header, self.now())
    }

    /// Simulates one second in which these links work.
    fn run_second(&mut self, links: &WorkingLinks) {
        self.elapsed_s += 1;
        let now = self.now();
        for (index, controller) in self.controllers.iter_mut().enumerate() {
            if controller.paused {
                continue;
            }
            // Each controller sends two reads and two writes. A follower writes only if the leader lacks the
            // key-value store.
            let sends_writes = index == self.leader || controller.matrix.leader_lacks_store(now);
            for _ in 0..2 {
                let succeeds = links.store[index];
                controller
                    .table
                    .record_store_request(StoreOperation::Read, now, succeeds, now);
                if sends_writes {
                    let succeeds = succeeds && links.writes[index];
                    controller.table.record_store_request(
                        StoreOperation::Write,
                        now,
                        succeeds,
                        now,
                    );
                }
            }
            if links.workers[index] && self.elapsed_s.is_multiple_of(3) {
                let heartbeat = HeartbeatId {
                    epoch: 1,
                    sequence: self.elapsed_s,
                };
                for worker in controller.workers.clone() {
                    controller
                        .table
                        .record_worker_heartbeat(worker, heartbeat, now);
                }
            }
            controller.table.evaluate(now);
        }
        self.exchange_rows(links, now);
        self.decide(now);
    }

    fn exchange_rows(&mut self, links: &WorkingLinks, now: Instant) {
        let pairs = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));
        for (from, to) in pairs.filter(|(from, to)| from != to) {
            if self.controllers[from].paused {
                continue;
            }
            let arrives = links.peers[from][to] && !self.controllers[to].paused;
            let row = self.row(from);
            if arrives {
                let now_unix_ms = START_UNIX_MS + self.elapsed_s * 1_000;
                let receiver = &mut self.controllers[to];
                receiver.matrix.accept_row(row, now, now_unix_ms).unwrap();
                receiver.table.record_peer_row(MEMBERS[from], now);
            }
            let answered = arrives && links.peers[to][from];
            let sender = &mut self.controllers[from].table;
            sender.record_peer_request(MEMBERS[to], now, answered, now);
        }
    }

    fn decide(&mut self, now: Instant) {
        let own_row = self.row(self.leader);
        let leader = &mut self.controllers[self.leader];
        if leader.paused {
            return;
        }
        if let HandoverDecision::HandOver { candidate, .. } =
            leader.policy.decide(&own_row, &leader.matrix, now)
        {
            leader.policy.record_handover(now);
            self.leader = MEMBERS.iter().position(|m| *m == candidate).unwrap();
            self.handovers.push((self.elapsed_s, candidate));
        }
    }

    fn run_seconds(&mut self, count: u64, links_in: impl Fn(u64) -> WorkingLinks) {
        for _ in 0..count {
            let links = links_in(self.elapsed_s + 1);
            self.run_second(&links);
        }
    }
}

/// A cluster in which each controller receives the heartbeats of 100 agents, after 20 s with all links.
fn connected_cluster() -> Cluster {
    let mut cluster = Cluster::new([0..100, 100..200, 200..300]);
    cluster.run_seconds(20, |_| ALL_LINKS);
    cluster
}

#[test]
fn leader_stays_with_full_connectivity() {
    let mut cluster = connected_cluster();
    cluster.run_seconds(600, |_| ALL_LINKS);
    assert_eq!(cluster.handovers, vec![]);
}

/// A leader without the store can record no placements, but a short outage must not cause a failover.
#[test]
fn leader_without_the_store_hands_over_once_after_the_minimum_time() {
    let mut cluster = connected_cluster();
    let leader_disconnected = WorkingLinks {
        store: [false, true, true],
        ..ALL_LINKS
    };
    cluster.run_seconds(2, |_| leader_disconnected);
    assert_eq!(
        cluster.handovers,
        vec![],
        "the minimum time has not elapsed"
    );
    cluster.run_seconds(300, |_| leader_disconnected);
    assert_eq!(cluster.handovers.len(), 1, "{:?}", cluster.handovers);
    let (second, new_leader) = &cluster.handovers[0];
    assert!(*second <= 20 + 8, "handover in second {second}");
    assert_eq!(new_leader, "knot-1");
}

/// No controller can be elected without the store, so a handover would leave the cluster without a leader.
#[test]
fn leader_stays_in_a_store_outage_that_affects_all_controllers() {
    let mut cluster = connected_cluster();
    let outage = WorkingLinks {
        store: [false; 3],
        ..ALL_LINKS
    };
    cluster.run_seconds(120, |_| outage);
    assert_eq!(cluster.handovers, vec![]);
}

/// Observed with real processes: the followers had not written, so there was no evidence against their
/// writes, and the leader handed over to a follower that could not be elected.
#[test]
fn leader_stays_if_the_transactions_of_all_controllers_are_refused() {
    let mut cluster = connected_cluster();
    let all_unwritable = WorkingLinks {
        writes: [false; 3],
        ..ALL_LINKS
    };
    cluster.run_seconds(120, |_| all_unwritable);
    assert_eq!(cluster.handovers, vec![]);
    let leader_unwritable = WorkingLinks {
        writes: [false, true, true],
        ..ALL_LINKS
    };
    cluster.run_seconds(60, |_| ALL_LINKS);
    cluster.run_seconds(60, |_| leader_unwritable);
    assert_eq!(cluster.handovers.len(), 1, "{:?}", cluster.handovers);
}

/// Followers forward heartbeats, so a leader that receives none directly still serves all agents.
#[test]
fn leader_without_direct_heartbeats_stays_while_followers_forward_them() {
    let mut cluster = connected_cluster();
    let no_direct_heartbeats = WorkingLinks {
        workers: [false, true, true],
        ..ALL_LINKS
    };
    cluster.run_seconds(300, |_| no_direct_heartbeats);
    assert_eq!(cluster.handovers, vec![]);
}

/// Each controller receives the heartbeats of some of the agents, and none receives those of more than twice
/// as many agents as another.
#[test]
fn leader_stays_if_each_controller_receives_heartbeats_of_some_workers() {
    let mut cluster = Cluster::new([0..200, 100..300, 0..300]);
    cluster.run_seconds(20, |_| ALL_LINKS);
    let peers_disconnected = WorkingLinks {
        peers: [[false; 3]; 3],
        ..ALL_LINKS
    };
    cluster.run_seconds(300, |_| peers_disconnected);
    assert_eq!(
        cluster.handovers,
        vec![],
        "without rows no controller is better connected"
    );
    cluster.run_seconds(300, |_| ALL_LINKS);
    assert_eq!(
        cluster.handovers,
        vec![],
        "each controller serves all workers through the others"
    );
}

/// The leader no longer serves the agents of knot-1, since knot-1 cannot forward their heartbeats. It still
/// serves 200 of 300 agents, so that no other controller is much better connected.
#[test]
fn one_way_failure_between_two_controllers_causes_no_handover() {
    let mut cluster = connected_cluster();
    let mut one_way = ALL_LINKS;
    one_way.peers[1][0] = false;
    cluster.run_seconds(300, |_| one_way);
    assert_eq!(cluster.handovers, vec![]);
    let leader = &cluster.controllers[0];
    let row = cluster.row(0);
    let links = row
        .message
        .peers
        .iter()
        .find(|l| l.member == "knot-1")
        .unwrap();
    assert!(
        !links.inbound.is_usable(),
        "requests of knot-1 do not arrive"
    );
    assert!(
        !links.outbound.is_usable(),
        "responses of knot-1 do not arrive"
    );
    assert!(
        leader.matrix.row("knot-1", cluster.now()).is_none(),
        "the row of knot-1 has expired"
    );
}

/// The rows of the followers arrive at the leader, but the responses of the leader do not arrive at the
/// followers, which therefore cannot forward heartbeats to it.
#[test]
fn leader_without_most_workers_hands_over_to_a_controller_that_serves_them() {
    let mut cluster = Cluster::new([0..10, 10..200, 200..400]);
    cluster.run_seconds(20, |_| ALL_LINKS);
    let mut leader_disconnected = ALL_LINKS;
    for other in 1..3 {
        leader_disconnected.peers[0][other] = false;
        leader_disconnected.peers[other][0] = false;
    }
    cluster.run_seconds(60, |_| leader_disconnected);
    assert_eq!(
        cluster.handovers,
        vec![],
        "without rows no controller is better connected"
    );
    let mut one_way = ALL_LINKS;
    one_way.peers[0][1] = false;
    one_way.peers[0][2] = false;
    cluster.run_seconds(60, |_| one_way);
    let new_leaders: Vec<&str> = cluster
        .handovers
        .iter()
        .map(|(_, new_leader)| new_leader.as_str())
        .collect();
    assert_eq!(new_leaders, vec!["knot-1"]);
}

/// Each controller limits only its own handovers, so the two together make at most twice as many.
#[test]
fn handovers_between_two_controllers_with_alternating_outages_are_limited() {
    let mut cluster = connected_cluster();
    // The store is reachable from knot-0 and from knot-1 in turn, for 10 s each.
    let alternating = |second: u64| WorkingLinks {
        store: [
            (second / 10).is_multiple_of(2),
            !(second / 10).is_multiple_of(2),
            false,
        ],
        ..ALL_LINKS
    };
    cluster.run_seconds(900, alternating);
    let window_s = timing().handover_window().as_secs();
    for (second, _) in &cluster.handovers {
        let within_window = cluster
            .handovers
            .iter()
            .filter(|(other, _)| (*second..second + window_s).contains(other));
        assert!(
            within_window.count() <= 2 * HANDOVERS_MAX,
            "{:?}",
            cluster.handovers
        );
    }
    let flapping = |second: u64| WorkingLinks {
        store: [second % 5 < 3, second % 5 >= 2, true],
        ..ALL_LINKS
    };
    let mut cluster = connected_cluster();
    cluster.run_seconds(900, flapping);
    // knot-2 always reaches the store, and stays the leader once it has become the leader.
    assert!(
        cluster.handovers.len() <= HANDOVERS_MAX,
        "{:?}",
        cluster.handovers
    );
    assert_eq!(cluster.leader, 2, "{:?}", cluster.handovers);
}

/// After a pause, a controller still holds the rows that arrived before. By then they have expired by its own
/// clock, and must not cause a handover.
#[test]
fn resumed_leader_ignores_expired_rows_and_stays() {
    let mut cluster = connected_cluster();
    cluster.controllers[0].paused = true;
    cluster.run_seconds(30, |_| ALL_LINKS);
    cluster.controllers[0].paused = false;
    let now = cluster.now();
    let resumed = &mut cluster.controllers[0];
    assert_eq!(resumed.matrix.rows(now).count(), 0);
    resumed.table.resume_after_pause(now);
    let own_row = cluster.row(0);
    let resumed = &mut cluster.controllers[0];
    let decision = resumed.policy.decide(&own_row, &resumed.matrix, now);
    assert_eq!(decision, HandoverDecision::StayNobodyBetter);
    cluster.run_seconds(60, |_| ALL_LINKS);
    assert_eq!(cluster.handovers, vec![]);
}

/// A badly connected follower that won an election would hand over again.
#[test]
fn campaign_is_delayed_only_for_a_much_better_connected_controller() {
    let mut cluster = connected_cluster();
    let now = cluster.now();
    let should_yield = |cluster: &Cluster, index: usize, now| {
        let own_row = cluster.row(index);
        HandoverPolicy::should_yield(&own_row, &cluster.controllers[index].matrix, now)
    };
    assert!((0..3).all(|index| !should_yield(&cluster, index, now)));
    let follower_disconnected = WorkingLinks {
        store: [true, false, true],
        ..ALL_LINKS
    };
    cluster.run_seconds(5, |_| follower_disconnected);
    let now = cluster.now();
    assert!(should_yield(&cluster, 1, now) && !should_yield(&cluster, 2, now));
}

#[test]
fn connectivity_is_much_better_with_the_only_usable_store_or_more_than_twice_the_workers() {
    let connected = |store, workers| Connectivity {
        store,
        store_proven: store,
        workers,
    };
    let unproven = Connectivity {
        store_proven: false,
        ..connected(true, 100)
    };
    assert!(!unproven.is_much_better_than(&connected(false, 100)));
    assert!(unproven.is_much_better_than(&connected(true, 10)));
    let cases = [
        (connected(true, 10), connected(false, 100), true),
        (connected(true, 0), connected(false, 100), false),
        (connected(true, 0), connected(false, 0), true),
        (connected(false, 100), connected(false, 0), false),
        (connected(true, 21), connected(true, 10), true),
        (connected(true, 20), connected(true, 10), false),
    ];
    for (theirs, own, expected) in cases {
        assert_eq!(
            theirs.is_much_better_than(&own),
            expected,
            "{theirs:?} compared with {own:?}"
        );
        assert!(!(theirs.is_much_better_than(&own) && own.is_much_better_than(&theirs)));
    }
}
