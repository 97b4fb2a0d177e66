//! Tests of [`super`]: three controllers in simulated time, each with its table, its matrix and its
//! decisions, under links that a schedule cuts.

use super::*;
use crate::table::{LinkTable, RowHeader, StoreOperation};
use crate::test_support::{timing, DETECTION_PARAMS};

const WALL_MS: u64 = 1_800_000_000_000;
const MEMBERS: [&str; 3] = ["knot-0", "knot-1", "knot-2"];
const HANDOVERS_MAX: usize = 3;

struct Controller {
    table: LinkTable,
    matrix: ConnectivityMatrix,
    leadership: HandoverPolicy,
    /// Numbers of the workers that report here.
    workers: std::ops::Range<u32>,
    frozen: bool,
}

/// What works at a moment.
#[derive(Clone, Copy)]
struct Links {
    store: [bool; 3],
    writes: [bool; 3],
    /// `peers[a][b]`: requests of `a` arrive at `b`; an answer takes the other way.
    peers: [[bool; 3]; 3],
    workers: [bool; 3],
}

const ALL: Links = Links {
    store: [true; 3],
    writes: [true; 3],
    peers: [[true; 3]; 3],
    workers: [true; 3],
};

struct Cluster {
    controllers: Vec<Controller>,
    start: Instant,
    second: u64,
    leader: usize,
    /// The seconds at which leadership was handed over, and to whom.
    handovers: Vec<(u64, String)>,
}

impl Cluster {
    fn new(workers: [std::ops::Range<u32>; 3]) -> Self {
        let start = Instant::now();
        let controllers = workers.into_iter().enumerate().map(|(at, workers)| {
            let others = || {
                let others = MEMBERS.iter().filter(move |m| **m != MEMBERS[at]);
                others.map(|member| (*member).to_owned())
            };
            Controller {
                table: LinkTable::new(MEMBERS[at], others(), DETECTION_PARAMS, timing(), start),
                matrix: ConnectivityMatrix::new(others(), timing()),
                leadership: HandoverPolicy::new(&timing(), HANDOVERS_MAX),
                workers,
                frozen: false,
            }
        });
        Self {
            controllers: controllers.collect(),
            start,
            second: 0,
            leader: 0,
            handovers: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_secs(self.second)
    }

    fn row(&self, at: usize) -> Row {
        let stamp = RowHeader {
            incarnation: 1,
            sequence: self.second,
            sent_at_ms: WALL_MS + self.second * 1_000,
            leads_term: (at == self.leader).then_some(1),
        };
        self.controllers[at].table.row(stamp, self.now())
    }

    /// One second in which these links work.
    fn second(&mut self, links: &Links) {
        self.second += 1;
        let now = self.now();
        for (at, controller) in self.controllers.iter_mut().enumerate() {
            if controller.frozen {
                continue;
            }
            // Two requests each; a follower writes only if the leader lacks the state service.
            let writes = at == self.leader || controller.matrix.leader_lacks_store(now);
            for _ in 0..2 {
                let works = links.store[at];
                controller
                    .table
                    .record_store_request(StoreOperation::Read, now, works, now);
                if writes {
                    let works = works && links.writes[at];
                    controller
                        .table
                        .record_store_request(StoreOperation::Write, now, works, now);
                }
            }
            if links.workers[at] && self.second.is_multiple_of(3) {
                for worker in controller.workers.clone() {
                    controller
                        .table
                        .record_worker_heartbeat(worker, (1, self.second), now);
                }
            }
            controller.table.evaluate(now);
        }
        self.exchange_rows(links, now);
        self.decide(now);
    }

    fn exchange_rows(&mut self, links: &Links, now: Instant) {
        let pairs = (0..3).flat_map(|from| (0..3).map(move |to| (from, to)));
        for (from, to) in pairs.filter(|(from, to)| from != to) {
            if self.controllers[from].frozen {
                continue;
            }
            let arrives = links.peers[from][to] && !self.controllers[to].frozen;
            let row = self.row(from);
            if arrives {
                let wall = WALL_MS + self.second * 1_000;
                let receiver = &mut self.controllers[to];
                receiver.matrix.accept_row(row, now, wall).unwrap();
                receiver.table.record_peer_row(MEMBERS[from], now);
            }
            let answered = arrives && links.peers[to][from];
            let sender = &mut self.controllers[from].table;
            sender.record_peer_request(MEMBERS[to], now, answered, now);
        }
    }

    fn decide(&mut self, now: Instant) {
        let own = self.row(self.leader);
        let leader = &mut self.controllers[self.leader];
        if leader.frozen {
            return;
        }
        if let HandoverDecision::HandOver { candidate, .. } =
            leader.leadership.decide(&own, &leader.matrix, now)
        {
            leader.leadership.record_handover(now);
            self.leader = MEMBERS.iter().position(|m| *m == candidate).unwrap();
            self.handovers.push((self.second, candidate));
        }
    }

    fn seconds(&mut self, count: u64, links: impl Fn(u64) -> Links) {
        for _ in 0..count {
            let links = links(self.second + 1);
            self.second(&links);
        }
    }
}

fn zone_spread() -> Cluster {
    let mut cluster = Cluster::new([0..100, 100..200, 200..300]);
    cluster.seconds(20, |_| ALL);
    cluster
}

#[test]
fn with_full_connectivity_leadership_stays() {
    let mut cluster = zone_spread();
    cluster.seconds(600, |_| ALL);
    assert_eq!(cluster.handovers, vec![]);
}

#[test]
fn a_leader_without_the_state_service_hands_over_once_after_the_minimum_time() {
    let mut cluster = zone_spread();
    let cut = Links {
        store: [false, true, true],
        ..ALL
    };
    cluster.seconds(2, |_| cut);
    assert_eq!(cluster.handovers, vec![], "for a moment it stays");
    cluster.seconds(300, |_| cut);
    assert_eq!(cluster.handovers.len(), 1, "{:?}", cluster.handovers);
    let (at, to) = &cluster.handovers[0];
    assert!(*at <= 20 + 8, "second {at}");
    assert_eq!(to, "knot-1");
}

#[test]
fn in_an_outage_that_all_share_leadership_stays() {
    let mut cluster = zone_spread();
    let out = Links {
        store: [false; 3],
        ..ALL
    };
    cluster.seconds(120, |_| out);
    assert_eq!(cluster.handovers, vec![]);
}

/// Seen with real processes: the followers had not written, nothing spoke against them, and leadership went
/// to one that could not be elected.
#[test]
fn where_transactions_are_refused_to_all_leadership_stays() {
    let mut cluster = zone_spread();
    let unwritable = Links {
        writes: [false; 3],
        ..ALL
    };
    cluster.seconds(120, |_| unwritable);
    assert_eq!(cluster.handovers, vec![]);
    let leader_alone = Links {
        writes: [false, true, true],
        ..ALL
    };
    cluster.seconds(60, |_| ALL);
    cluster.seconds(60, |_| leader_alone);
    assert_eq!(cluster.handovers.len(), 1, "{:?}", cluster.handovers);
}

/// Followers forward reports, so a leader without workers of its own is not cut off from any.
#[test]
fn a_leader_without_own_workers_stays_while_followers_forward_heartbeats() {
    let mut cluster = zone_spread();
    let lost = Links {
        workers: [false, true, true],
        ..ALL
    };
    cluster.seconds(300, |_| lost);
    assert_eq!(cluster.handovers, vec![]);
}

/// Each controller sees some of the workers, and none sees twice what another does.
#[test]
fn all_controllers_that_see_half_of_the_workers_keep_the_leader() {
    let mut cluster = Cluster::new([0..200, 100..300, 0..300]);
    cluster.seconds(20, |_| ALL);
    let apart = Links {
        peers: [[false; 3]; 3],
        ..ALL
    };
    cluster.seconds(300, |_| apart);
    assert_eq!(cluster.handovers, vec![], "no row, nobody better");
    cluster.seconds(300, |_| ALL);
    assert_eq!(
        cluster.handovers,
        vec![],
        "each serves all by way of the others"
    );
}

#[test]
fn a_one_way_cut_between_two_controllers_costs_no_leadership() {
    let mut cluster = zone_spread();
    let mut one_way = ALL;
    one_way.peers[1][0] = false;
    cluster.seconds(300, |_| one_way);
    assert_eq!(cluster.handovers, vec![]);
    let leader = &cluster.controllers[0];
    let row = cluster.row(0);
    let links = row
        .message
        .peers
        .iter()
        .find(|l| l.member == "knot-1")
        .unwrap();
    assert!(!links.inbound.usable(), "its requests don't arrive");
    assert!(!links.outbound.usable(), "nor do its answers");
    assert!(
        leader.matrix.row("knot-1", cluster.now()).is_none(),
        "expired"
    );
}

/// Followers' rows arrive at the leader, its answers don't get back: they can't forward reports to it.
#[test]
fn a_leader_cut_from_most_workers_hands_over_to_the_controller_that_serves_them() {
    let mut cluster = Cluster::new([0..10, 10..200, 200..400]);
    cluster.seconds(20, |_| ALL);
    let mut cut = ALL;
    for other in 1..3 {
        cut.peers[0][other] = false;
        cut.peers[other][0] = false;
    }
    cluster.seconds(60, |_| cut);
    assert_eq!(cluster.handovers, vec![], "without rows nothing is known");
    let mut one_way = ALL;
    one_way.peers[0][1] = false;
    one_way.peers[0][2] = false;
    cluster.seconds(60, |_| one_way);
    let to: Vec<&str> = cluster
        .handovers
        .iter()
        .map(|(_, to)| to.as_str())
        .collect();
    assert_eq!(to, vec!["knot-1"]);
}

#[test]
fn leadership_does_not_oscillate_between_two_half_connected_controllers() {
    // One has the state service every other ten seconds, the other in between.
    let mut cluster = zone_spread();
    let halves = |second: u64| Links {
        store: [
            (second / 10).is_multiple_of(2),
            !(second / 10).is_multiple_of(2),
            false,
        ],
        ..ALL
    };
    cluster.seconds(900, halves);
    let window = timing().handover_window().as_secs();
    for (at, _) in &cluster.handovers {
        let within = cluster
            .handovers
            .iter()
            .filter(|(b, _)| (*at..at + window).contains(b));
        assert!(
            within.count() <= 2 * HANDOVERS_MAX,
            "{:?}",
            cluster.handovers
        );
    }
    let fast = |second: u64| Links {
        store: [second % 5 < 3, second % 5 >= 2, true],
        ..ALL
    };
    let mut cluster = zone_spread();
    cluster.seconds(900, fast);
    // The third one is steady, and keeps leadership once it has it.
    assert!(
        cluster.handovers.len() <= HANDOVERS_MAX,
        "{:?}",
        cluster.handovers
    );
    assert_eq!(cluster.leader, 2, "{:?}", cluster.handovers);
}

/// It wakes with rows from before; they have expired by its own clock.
#[test]
fn a_resumed_controller_ignores_its_expired_rows() {
    let mut cluster = zone_spread();
    cluster.controllers[0].frozen = true;
    cluster.seconds(30, |_| ALL);
    cluster.controllers[0].frozen = false;
    let now = cluster.now();
    let woken = &mut cluster.controllers[0];
    assert_eq!(woken.matrix.rows(now).count(), 0);
    woken.table.resume_after_pause(now);
    let own = cluster.row(0);
    let woken = &mut cluster.controllers[0];
    let decision = woken.leadership.decide(&own, &woken.matrix, now);
    assert_eq!(decision, HandoverDecision::StayNobodyBetter);
    cluster.seconds(60, |_| ALL);
    assert_eq!(cluster.handovers, vec![]);
}

#[test]
fn a_campaign_is_delayed_only_for_a_much_better_connected_controller() {
    let mut cluster = zone_spread();
    let now = cluster.now();
    let yields = |cluster: &Cluster, at: usize, now| {
        let own = cluster.row(at);
        HandoverPolicy::should_yield(&own, &cluster.controllers[at].matrix, now)
    };
    assert!((0..3).all(|at| !yields(&cluster, at, now)));
    let cut = Links {
        store: [true, false, true],
        ..ALL
    };
    cluster.seconds(5, |_| cut);
    let now = cluster.now();
    assert!(yields(&cluster, 1, now) && !yields(&cluster, 2, now));
}

#[test]
fn much_better_means_the_state_service_with_workers_or_twice_the_workers() {
    let connected = |store, workers| Connectivity {
        store,
        store_proven: store,
        workers,
    };
    let unproven = Connectivity {
        store_proven: false,
        ..connected(true, 100)
    };
    assert!(!unproven.much_better_than(&connected(false, 100)));
    assert!(unproven.much_better_than(&connected(true, 10)));
    let cases = [
        (connected(true, 10), connected(false, 100), true),
        (connected(true, 0), connected(false, 100), false),
        (connected(true, 0), connected(false, 0), true),
        (connected(false, 100), connected(false, 0), false),
        (connected(true, 21), connected(true, 10), true),
        (connected(true, 20), connected(true, 10), false),
    ];
    for (theirs, ours, expected) in cases {
        assert_eq!(
            theirs.much_better_than(&ours),
            expected,
            "{theirs:?} {ours:?}"
        );
        assert!(!(theirs.much_better_than(&ours) && ours.much_better_than(&theirs)));
    }
}
