//! Link faults, in one direction or both, in a simulation of three controllers with link monitoring
//! enabled. Fixed seeds determine the order of events. Every test expects that no invariant is violated
//! at any step and that every job ends; some tests check more than that.

// A failed `unwrap` or `expect` fails the test.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scenario.rs"]
mod scenario;
#[path = "common/simulation.rs"]
mod simulation;
#[path = "common/test_leader.rs"]
mod test_leader;

use std::time::Duration;

use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::{generate_faults, LinkId, ScheduledFault as TestbedFault};
use scenario::{seed_range, Scenario};
use simulation::{timed_fault, BatchFaults, Fault, Simulation, TimedFault};

/// Runs the faults once per seed, with link monitoring enabled.
fn run_seeds(faults: impl Fn(f64) -> Vec<TimedFault>) -> Vec<Simulation> {
    let scenario = Scenario {
        links_enabled: true,
    };
    scenario.run_seeds(seed_range(), faults)
}

/// Faults of a flapping link, which is down for the first half of each period.
fn flapping_link_faults(
    link: LinkId,
    mode: LinkMode,
    period_s: f64,
    from: f64,
    until: f64,
) -> Vec<TimedFault> {
    let count = ((until - from) / period_s) as usize;
    let starts = (0..count).map(|n| from + n as f64 * period_s);
    starts
        .map(|at| timed_fault(at, period_s / 2.0, Fault::Link(link, mode)))
        .collect()
}

const LOSS_MODES: [LinkMode; 3] = [
    LinkMode::REQUESTS_LOST,
    LinkMode::RESPONSES_LOST,
    LinkMode::BLACKHOLE,
];

/// Without a fault, no leader may lose its lease or hand over leadership.
#[test]
fn run_without_faults_has_one_leader_and_no_handover() {
    let runs = run_seeds(|_| Vec::new());
    assert!(runs
        .iter()
        .all(|run| run.terms_started == 1 && run.handovers == 0));
}

/// The store link of each controller fails in turn for 15 s. The outcome of a request without a response is
/// unknown to the controller, although the store may have applied it.
#[test]
fn invariants_hold_when_links_to_the_store_lose_requests_or_responses() {
    for mode in LOSS_MODES {
        run_seeds(|offset_s| {
            (0..3)
                .map(|controller| {
                    timed_fault(
                        25.0 + offset_s + 20.0 * controller as f64,
                        15.0,
                        Fault::Link(LinkId::Store(controller), mode),
                    )
                })
                .chain([timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(3))])
                .collect()
        });
    }
}

/// A handover that yields no better connected leader interrupts scheduling without need.
#[test]
fn links_between_controllers_that_lose_requests_or_responses_cause_no_handover() {
    for mode in LOSS_MODES {
        let runs = run_seeds(|offset_s| {
            vec![
                timed_fault(20.0 + offset_s, 40.0, Fault::Link(LinkId::Peer(0, 1), mode)),
                timed_fault(30.0 + offset_s, 40.0, Fault::Link(LinkId::Peer(1, 2), mode)),
                timed_fault(40.0 + offset_s, 40.0, Fault::Link(LinkId::Peer(2, 0), mode)),
                timed_fault(45.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            ]
        });
        // Every controller still reaches the store, and none is better connected than the leader.
        assert!(runs.iter().all(|run| run.handovers == 0));
    }
}

/// Each controller loses the link from the workers of one zone for 12 s, which is shorter than their lease of
/// 20 s.
#[test]
fn invariants_hold_when_links_from_the_workers_of_a_zone_lose_requests_or_responses() {
    for mode in LOSS_MODES {
        run_seeds(|offset_s| {
            (0..3)
                .map(|controller| {
                    timed_fault(
                        25.0 + offset_s,
                        12.0,
                        Fault::Link(LinkId::Workers(controller % 2, controller), mode),
                    )
                })
                .chain([timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(3))])
                .collect()
        });
    }
}

/// Two controllers reach the workers of one zone each, and the third controller reaches none. Leadership must
/// not alternate between the first two.
#[test]
fn controllers_that_reach_half_of_the_workers_hand_over_at_most_once() {
    let runs = run_seeds(|offset_s| {
        let blackhole =
            |zone, controller| Fault::Link(LinkId::Workers(zone, controller), LinkMode::BLACKHOLE);
        vec![
            timed_fault(20.0 + offset_s, 40.0, blackhole(0, 0)),
            timed_fault(20.0 + offset_s, 40.0, blackhole(1, 1)),
            timed_fault(20.0 + offset_s, 40.0, blackhole(0, 2)),
            timed_fault(20.0 + offset_s, 40.0, blackhole(1, 2)),
            timed_fault(35.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
    assert!(runs.iter().all(|run| run.handovers <= 1));
}

/// A leader must not hand over in each period of a flapping link. A period of 2.1 s is a multiple of the
/// 0.7 s between lease renewals; the other periods are not.
#[test]
fn links_that_flap_for_two_minutes_cause_at_most_six_handovers() {
    for period_s in [2.1, 3.7, 5.0] {
        let runs = run_seeds(|offset_s| {
            let mut faults = Vec::new();
            for controller in 0..2 {
                let (link, from) = (
                    LinkId::Store(controller),
                    20.0 + offset_s + controller as f64,
                );
                faults.extend(flapping_link_faults(
                    link,
                    LinkMode::BLACKHOLE,
                    period_s,
                    from,
                    140.0,
                ));
            }
            let peer_link = LinkId::Peer(1, 2);
            faults.extend(flapping_link_faults(
                peer_link,
                LinkMode::RESPONSES_LOST,
                period_s,
                30.0,
                140.0,
            ));
            faults.push(timed_fault(60.0 + offset_s, 0.0, Fault::CancelJobs(3)));
            faults
        });
        assert!(
            runs.iter().all(|run| run.handovers <= 6),
            "at most 3 handovers by each controller with a flapping store link"
        );
    }
}

/// Without the limit of 3 handovers per controller, the two controllers would hand leadership over to each
/// other again and again.
#[test]
fn store_links_that_flap_alternately_cause_at_most_six_handovers() {
    let runs = run_seeds(|offset_s| {
        let mode = LinkMode::REFUSED;
        let mut faults = flapping_link_faults(LinkId::Store(0), mode, 8.0, 20.0 + offset_s, 180.0);
        faults.extend(flapping_link_faults(
            LinkId::Store(1),
            mode,
            8.0,
            24.0 + offset_s,
            180.0,
        ));
        faults
    });
    assert!(runs.iter().all(|run| run.handovers <= 6));
}

/// The store link of each controller fails in turn for 25 s, in which its replica lacks the cancellations. A
/// leader in this state must not keep the tasks of cancelled jobs running.
#[test]
fn invariants_hold_when_jobs_are_cancelled_while_a_controller_reaches_workers_but_not_the_store() {
    run_seeds(|offset_s| {
        let mut faults: Vec<TimedFault> = (0..3)
            .map(|controller| {
                timed_fault(
                    25.0 + offset_s + 30.0 * controller as f64,
                    25.0,
                    Fault::Link(LinkId::Store(controller), LinkMode::BLACKHOLE),
                )
            })
            .collect();
        for n in 0..6 {
            faults.push(timed_fault(
                27.0 + offset_s + 13.0 * f64::from(n),
                0.0,
                Fault::CancelJobs(2),
            ));
        }
        faults
    });
}

/// The replica of the refused leader lacks cancellations when the outage begins, and the leader may keep its
/// lease beyond the outage.
#[test]
fn invariants_hold_when_the_store_refuses_the_leader_then_all_controllers_then_writes() {
    run_seeds(|offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 8.0, Fault::LeaderRefused),
            timed_fault(27.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(33.0 + offset_s, 25.0, Fault::StoreOutage),
            timed_fault(60.0 + offset_s, 10.0, Fault::WritesRefused),
            timed_fault(62.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
}

/// Reads and lease renewals succeed throughout, so that only the placement gate detects the fault.
#[test]
fn placement_gates_refuse_placements_while_the_store_refuses_transactions() {
    let runs = run_seeds(|offset_s| {
        vec![
            timed_fault(20.0 + offset_s, 30.0, Fault::WritesRefused),
            timed_fault(22.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(40.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
            timed_fault(70.0 + offset_s, 15.0, Fault::WritesRefused),
        ]
    });
    for run in runs {
        assert!(run.gates_refused_s() > 3.0, "{}", run.gates_refused_s());
    }
}

/// A resumed leader has outdated rows, and the peers of a restarted controller have rows of its previous
/// incarnation. Neither may be taken for the current state of the links.
#[test]
fn invariants_hold_when_a_leader_resumes_with_outdated_rows_and_controllers_restart_at_once() {
    run_seeds(|offset_s| {
        vec![
            timed_fault(20.0 + offset_s, 12.0, Fault::PauseLeader),
            timed_fault(24.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(45.0 + offset_s, 0.0, Fault::Restart(0)),
            timed_fault(45.3 + offset_s, 0.0, Fault::Restart(1)),
            timed_fault(46.0 + offset_s, 0.0, Fault::Restart(2)),
            timed_fault(46.4 + offset_s, 0.0, Fault::Restart(0)),
            timed_fault(60.0 + offset_s, 30.0, Fault::PauseLeader),
        ]
    });
}

/// A late message must not be taken for evidence that a link works or that a task runs.
#[test]
fn invariants_hold_when_late_heartbeats_rows_and_batches_coincide_with_link_faults() {
    let batches = BatchFaults {
        lost: 0.2,
        delayed: 0.2,
        duplicated: 0.2,
        responses_delayed: 0.2,
    };
    run_seeds(|offset_s| {
        let heartbeat_copies = |share, kept| Fault::HeartbeatCopies { share, kept };
        vec![
            timed_fault(10.0, 80.0, Fault::Batches(batches)),
            timed_fault(10.0, 60.0, heartbeat_copies(0.4, false)),
            timed_fault(
                25.0 + offset_s,
                15.0,
                Fault::Link(LinkId::Peer(0, 1), LinkMode::BLACKHOLE),
            ),
            timed_fault(
                30.0 + offset_s,
                15.0,
                Fault::Link(LinkId::Store(0), LinkMode::RESPONSES_LOST),
            ),
            timed_fault(33.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(50.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
        ]
    });
}

/// Converts a fault of a testbed schedule that starts at `schedule_start`.
fn to_timed_fault(scheduled: &TestbedFault, schedule_start: f64) -> TimedFault {
    let seconds = |duration: Duration| duration.as_secs_f64();
    let (starts_at, duration_s) = (
        schedule_start + seconds(scheduled.starts_at()),
        seconds(scheduled.ends_at() - scheduled.starts_at()),
    );
    let fault = match scheduled {
        TestbedFault::Link(fault) => Fault::Link(fault.link, fault.mode),
        TestbedFault::WritesRefused { .. } => Fault::WritesRefused,
        TestbedFault::StoreOutage { .. } => Fault::StoreOutage,
        TestbedFault::Restart { controller, .. } => Fault::Restart(*controller),
    };
    timed_fault(starts_at, duration_s, fault)
}

/// The testbed runs the same schedules with real processes. Here, users cancel jobs meanwhile.
#[test]
fn invariants_hold_for_the_fault_schedules_of_the_testbed() {
    for seed in seed_range() {
        for links_enabled in [true, false] {
            let scheduled = generate_faults(seed, 3, Duration::from_secs(60), 12);
            let mut faults: Vec<TimedFault> = scheduled
                .iter()
                .map(|fault| to_timed_fault(fault, 20.0))
                .collect();
            faults.push(timed_fault(40.0, 0.0, Fault::CancelJobs(3)));
            faults.push(timed_fault(60.0, 0.0, Fault::CancelJobs(3)));
            Scenario { links_enabled }.run(seed, &faults);
        }
    }
}
