//! Links that are cut, one direction at a time, in simulated time: three controllers with links turned
//! on, in orders drawn from seeds; the protocol's rules are checked after every step.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scenario.rs"]
mod scenario;
#[path = "common/scene.rs"]
mod scene;
#[path = "common/simulation.rs"]
mod simulation;

use std::time::Duration;

use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::{draw, LinkId, ScheduledFault};
use scenario::{seed_range, Scenario};
use simulation::{timed_fault, BatchFaults, Fault, Simulation, TimedFault};

/// Plays these troubles with links on and checks that all goes well.
fn run_seeds(faults: impl Fn(f64) -> Vec<TimedFault>) -> Vec<Simulation> {
    let scenario = Scenario {
        links_enabled: true,
    };
    scenario.run_seeds(seed_range(), faults)
}

/// A link that comes and goes: down for half of each period.
fn flapping(link: LinkId, mode: LinkMode, period_s: f64, from: f64, until: f64) -> Vec<TimedFault> {
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

#[test]
fn with_links_on_a_quiet_day_breaks_nothing_and_nobody_hands_over() {
    let simulations = run_seeds(|_| Vec::new());
    assert!(simulations
        .iter()
        .all(|simulation| simulation.failovers == 1 && simulation.handovers == 0));
}

#[test]
fn one_direction_of_a_link_to_the_state_service_is_lost() {
    for mode in LOSS_MODES {
        run_seeds(|offset_s| {
            (0..3)
                .map(|n| {
                    timed_fault(
                        25.0 + offset_s + 20.0 * n as f64,
                        15.0,
                        Fault::Link(LinkId::Store(n), mode),
                    )
                })
                .chain([timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(3))])
                .collect()
        });
    }
}

#[test]
fn one_direction_between_two_controllers_is_lost() {
    for mode in LOSS_MODES {
        let simulations = run_seeds(|offset_s| {
            vec![
                timed_fault(20.0 + offset_s, 40.0, Fault::Link(LinkId::Peer(0, 1), mode)),
                timed_fault(30.0 + offset_s, 40.0, Fault::Link(LinkId::Peer(1, 2), mode)),
                timed_fault(40.0 + offset_s, 40.0, Fault::Link(LinkId::Peer(2, 0), mode)),
                timed_fault(45.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            ]
        });
        // Every controller still has the state service, and nobody is better connected.
        assert!(simulations
            .iter()
            .all(|simulation| simulation.handovers == 0));
    }
}

#[test]
fn one_direction_between_the_workers_of_a_zone_and_the_controllers_is_lost() {
    for mode in LOSS_MODES {
        run_seeds(|offset_s| {
            (0..3)
                .map(|n| {
                    timed_fault(
                        25.0 + offset_s,
                        12.0,
                        Fault::Link(LinkId::Workers(n % 2, n), mode),
                    )
                })
                .chain([timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(3))])
                .collect()
        });
    }
}

/// All controllers see half of the workers each, and one sees none.
#[test]
fn all_controllers_see_half_of_the_workers_each() {
    let simulations = run_seeds(|offset_s| {
        let cut =
            |zone, controller| Fault::Link(LinkId::Workers(zone, controller), LinkMode::BLACKHOLE);
        vec![
            timed_fault(20.0 + offset_s, 40.0, cut(0, 0)),
            timed_fault(20.0 + offset_s, 40.0, cut(1, 1)),
            timed_fault(20.0 + offset_s, 40.0, cut(0, 2)),
            timed_fault(20.0 + offset_s, 40.0, cut(1, 2)),
            timed_fault(35.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
    assert!(simulations
        .iter()
        .all(|simulation| simulation.handovers <= 1));
}

/// In step with the renewals of the lease (0.7 s apart) and out of step, for two minutes.
#[test]
fn links_that_flap_every_few_seconds_for_long() {
    for period_s in [2.1, 3.7, 5.0] {
        let simulations = run_seeds(|offset_s| {
            let mut faults = Vec::new();
            for n in 0..2 {
                let (link, from) = (LinkId::Store(n), 20.0 + offset_s + n as f64);
                faults.extend(flapping(link, LinkMode::BLACKHOLE, period_s, from, 140.0));
            }
            let peers = LinkId::Peer(1, 2);
            faults.extend(flapping(
                peers,
                LinkMode::RESPONSES_LOST,
                period_s,
                30.0,
                140.0,
            ));
            faults.push(timed_fault(60.0 + offset_s, 0.0, Fault::CancelJobs(3)));
            faults
        });
        assert!(
            simulations
                .iter()
                .all(|simulation| simulation.handovers <= 6),
            "a bound for each controller"
        );
    }
}

/// Two controllers flap in turn and would pass the lead to and fro.
#[test]
fn two_controllers_that_flap_in_turn_do_not_pass_the_lead_to_and_fro() {
    let simulations = run_seeds(|offset_s| {
        let mode = LinkMode::REFUSED;
        let mut faults = flapping(LinkId::Store(0), mode, 8.0, 20.0 + offset_s, 180.0);
        faults.extend(flapping(
            LinkId::Store(1),
            mode,
            8.0,
            24.0 + offset_s,
            180.0,
        ));
        faults
    });
    assert!(simulations
        .iter()
        .all(|simulation| simulation.handovers <= 6));
}

#[test]
fn a_leader_keeps_workers_and_loses_the_state_service_while_another_cancels() {
    run_seeds(|offset_s| {
        let mut faults: Vec<TimedFault> = (0..3)
            .map(|n| {
                timed_fault(
                    25.0 + offset_s + 30.0 * n as f64,
                    25.0,
                    Fault::Link(LinkId::Store(n), LinkMode::BLACKHOLE),
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

#[test]
fn the_state_service_refuses_one_controller_then_all() {
    run_seeds(|offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 8.0, Fault::StoreRefusesLeader),
            timed_fault(27.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(33.0 + offset_s, 25.0, Fault::StoreOutage),
            timed_fault(60.0 + offset_s, 10.0, Fault::WritesRefused),
            timed_fault(62.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
}

/// Reads and renewals succeed all the while: only the gate knows.
#[test]
fn transactions_are_refused_while_reads_and_renewals_succeed() {
    let simulations = run_seeds(|offset_s| {
        vec![
            timed_fault(20.0 + offset_s, 30.0, Fault::WritesRefused),
            timed_fault(22.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(40.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
            timed_fault(70.0 + offset_s, 15.0, Fault::WritesRefused),
        ]
    });
    for simulation in simulations {
        assert!(
            simulation.gates_refused_s() > 3.0,
            "{}",
            simulation.gates_refused_s()
        );
    }
}

#[test]
fn a_controller_frozen_longer_than_its_lease_wakes_with_old_rows_and_others_are_back_at_once() {
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

#[test]
fn late_copies_of_reports_rows_and_batches_meet_cut_links() {
    let batches = BatchFaults {
        lost: 0.2,
        held: 0.2,
        doubled: 0.2,
        answers_held: 0.2,
    };
    run_seeds(|offset_s| {
        let late = |share, kept_for_next_leader| Fault::DuplicateHeartbeats {
            share,
            kept_for_next_leader,
        };
        vec![
            timed_fault(10.0, 80.0, Fault::Batches(batches)),
            timed_fault(10.0, 60.0, late(0.4, false)),
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

fn to_timed_fault(scheduled: &ScheduledFault, from: f64) -> TimedFault {
    let seconds = |duration: Duration| duration.as_secs_f64();
    let (starts_at, duration_s) = (
        from + seconds(scheduled.starts_at()),
        seconds(scheduled.ends_at() - scheduled.starts_at()),
    );
    let fault = match scheduled {
        ScheduledFault::Link(fault) => Fault::Link(fault.link, fault.mode),
        ScheduledFault::WritesRefused { .. } => Fault::WritesRefused,
        ScheduledFault::StoreOutage { .. } => Fault::StoreOutage,
        ScheduledFault::Restart { controller, .. } => Fault::Restart(*controller),
    };
    timed_fault(starts_at, duration_s, fault)
}

/// The schedules that the testbed plays with real processes, in simulated time; users cancel meanwhile.
#[test]
fn the_testbeds_schedules_break_no_rule() {
    for seed in seed_range() {
        for links_enabled in [true, false] {
            let scheduled = draw(seed, 3, Duration::from_secs(60), 12);
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
