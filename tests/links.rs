//! Links that are cut, one direction at a time, in simulated time: three controllers with links turned
//! on, in orders drawn from seeds; the protocol's rules are checked after every step.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/play.rs"]
mod play;
#[path = "common/scene.rs"]
mod scene;
#[path = "common/world.rs"]
mod world;

use std::time::Duration;

use knotlanding_testbed::proxy::LinkMode;
use knotlanding_testbed::schedule::{generate_faults, LinkId, ScheduledFault as DrawnFault};
use play::{drawn, Play};
use world::{trouble, BatchTrouble, Fault, Trouble, World};

/// Plays these troubles with links on and checks that all goes well.
fn worlds(troubles: impl Fn(f64) -> Vec<Trouble>) -> Vec<World> {
    let play = Play { links_on: true };
    play.seeds(drawn(), troubles)
}

/// A link that comes and goes: down for half of each period.
fn flapping(link: LinkId, mode: LinkMode, period: f64, from: f64, until: f64) -> Vec<Trouble> {
    let count = ((until - from) / period) as usize;
    let begins = (0..count).map(|n| from + n as f64 * period);
    begins
        .map(|at| trouble(at, period / 2.0, Fault::Link(link, mode)))
        .collect()
}

const ONE_WAY: [LinkMode; 3] = [
    LinkMode::REQUESTS_LOST,
    LinkMode::RESPONSES_LOST,
    LinkMode::BLACKHOLE,
];

#[test]
fn with_links_on_a_quiet_day_breaks_nothing_and_nobody_hands_over() {
    let worlds = worlds(|_| Vec::new());
    assert!(worlds
        .iter()
        .all(|world| world.failovers == 1 && world.handovers == 0));
}

#[test]
fn one_direction_of_a_link_to_the_state_service_is_lost() {
    for mode in ONE_WAY {
        worlds(|d| {
            (0..3)
                .map(|n| {
                    trouble(
                        25.0 + d + 20.0 * n as f64,
                        15.0,
                        Fault::Link(LinkId::Store(n), mode),
                    )
                })
                .chain([trouble(30.0 + d, 0.0, Fault::CancelNow(3))])
                .collect()
        });
    }
}

#[test]
fn one_direction_between_two_controllers_is_lost() {
    for mode in ONE_WAY {
        let worlds = worlds(|d| {
            vec![
                trouble(20.0 + d, 40.0, Fault::Link(LinkId::Peer(0, 1), mode)),
                trouble(30.0 + d, 40.0, Fault::Link(LinkId::Peer(1, 2), mode)),
                trouble(40.0 + d, 40.0, Fault::Link(LinkId::Peer(2, 0), mode)),
                trouble(45.0 + d, 0.0, Fault::CancelNow(3)),
            ]
        });
        // Every controller still has the state service, and nobody is better connected.
        assert!(worlds.iter().all(|world| world.handovers == 0));
    }
}

#[test]
fn one_direction_between_the_workers_of_a_zone_and_the_controllers_is_lost() {
    for mode in ONE_WAY {
        worlds(|d| {
            (0..3)
                .map(|n| trouble(25.0 + d, 12.0, Fault::Link(LinkId::Workers(n % 2, n), mode)))
                .chain([trouble(30.0 + d, 0.0, Fault::CancelNow(3))])
                .collect()
        });
    }
}

/// All controllers see half of the workers each, and one sees none.
#[test]
fn all_controllers_see_half_of_the_workers_each() {
    let worlds = worlds(|d| {
        let cut = |zone, n| Fault::Link(LinkId::Workers(zone, n), LinkMode::BLACKHOLE);
        vec![
            trouble(20.0 + d, 40.0, cut(0, 0)),
            trouble(20.0 + d, 40.0, cut(1, 1)),
            trouble(20.0 + d, 40.0, cut(0, 2)),
            trouble(20.0 + d, 40.0, cut(1, 2)),
            trouble(35.0 + d, 0.0, Fault::CancelNow(3)),
        ]
    });
    assert!(worlds.iter().all(|world| world.handovers <= 1));
}

/// In step with the renewals of the lease (0.7 s apart) and out of step, for two minutes.
#[test]
fn links_that_flap_every_few_seconds_for_long() {
    for period in [2.1, 3.7, 5.0] {
        let worlds = worlds(|d| {
            let mut troubles = Vec::new();
            for n in 0..2 {
                let (link, from) = (LinkId::Store(n), 20.0 + d + n as f64);
                troubles.extend(flapping(link, LinkMode::BLACKHOLE, period, from, 140.0));
            }
            let peers = LinkId::Peer(1, 2);
            troubles.extend(flapping(
                peers,
                LinkMode::RESPONSES_LOST,
                period,
                30.0,
                140.0,
            ));
            troubles.push(trouble(60.0 + d, 0.0, Fault::CancelNow(3)));
            troubles
        });
        assert!(
            worlds.iter().all(|world| world.handovers <= 6),
            "a bound for each controller"
        );
    }
}

/// Two controllers flap in turn and would pass the lead to and fro.
#[test]
fn two_controllers_that_flap_in_turn_do_not_pass_the_lead_to_and_fro() {
    let worlds = worlds(|d| {
        let out = LinkMode::REFUSED;
        let mut troubles = flapping(LinkId::Store(0), out, 8.0, 20.0 + d, 180.0);
        troubles.extend(flapping(LinkId::Store(1), out, 8.0, 24.0 + d, 180.0));
        troubles
    });
    assert!(worlds.iter().all(|world| world.handovers <= 6));
}

#[test]
fn a_leader_keeps_workers_and_loses_the_state_service_while_another_cancels() {
    worlds(|d| {
        let mut troubles: Vec<Trouble> = (0..3)
            .map(|n| {
                trouble(
                    25.0 + d + 30.0 * n as f64,
                    25.0,
                    Fault::Link(LinkId::Store(n), LinkMode::BLACKHOLE),
                )
            })
            .collect();
        for n in 0..6 {
            troubles.push(trouble(
                27.0 + d + 13.0 * f64::from(n),
                0.0,
                Fault::CancelNow(2),
            ));
        }
        troubles
    });
}

#[test]
fn the_state_service_refuses_one_controller_then_all() {
    worlds(|d| {
        vec![
            trouble(25.0 + d, 8.0, Fault::RefuseLeader),
            trouble(27.0 + d, 0.0, Fault::CancelNow(3)),
            trouble(33.0 + d, 25.0, Fault::StoreOut),
            trouble(60.0 + d, 10.0, Fault::WritesFail),
            trouble(62.0 + d, 0.0, Fault::CancelNow(3)),
        ]
    });
}

/// Reads and renewals succeed all the while: only the gate knows.
#[test]
fn transactions_are_refused_while_reads_and_renewals_succeed() {
    let worlds = worlds(|d| {
        vec![
            trouble(20.0 + d, 30.0, Fault::WritesFail),
            trouble(22.0 + d, 0.0, Fault::CancelNow(3)),
            trouble(40.0 + d, 0.0, Fault::CrashLeader(0.3)),
            trouble(70.0 + d, 15.0, Fault::WritesFail),
        ]
    });
    for world in worlds {
        assert!(world.gates_refused_s() > 3.0, "{}", world.gates_refused_s());
    }
}

#[test]
fn a_controller_frozen_longer_than_its_lease_wakes_with_old_rows_and_others_are_back_at_once() {
    worlds(|d| {
        vec![
            trouble(20.0 + d, 12.0, Fault::FreezeLeader),
            trouble(24.0 + d, 0.0, Fault::CancelNow(3)),
            trouble(45.0 + d, 0.0, Fault::Restart(0)),
            trouble(45.3 + d, 0.0, Fault::Restart(1)),
            trouble(46.0 + d, 0.0, Fault::Restart(2)),
            trouble(46.4 + d, 0.0, Fault::Restart(0)),
            trouble(60.0 + d, 30.0, Fault::FreezeLeader),
        ]
    });
}

#[test]
fn late_copies_of_reports_rows_and_batches_meet_cut_links() {
    let batches = BatchTrouble {
        lost: 0.2,
        held: 0.2,
        doubled: 0.2,
        answers_held: 0.2,
    };
    worlds(|d| {
        let late = |share, for_next| Fault::LateReports { share, for_next };
        vec![
            trouble(10.0, 80.0, Fault::Batches(batches)),
            trouble(10.0, 60.0, late(0.4, false)),
            trouble(
                25.0 + d,
                15.0,
                Fault::Link(LinkId::Peer(0, 1), LinkMode::BLACKHOLE),
            ),
            trouble(
                30.0 + d,
                15.0,
                Fault::Link(LinkId::Store(0), LinkMode::RESPONSES_LOST),
            ),
            trouble(33.0 + d, 0.0, Fault::CancelNow(3)),
            trouble(50.0 + d, 0.0, Fault::CrashLeader(0.3)),
        ]
    });
}

fn as_fault(scheduled: &DrawnFault, from: f64) -> Trouble {
    let s = |duration: Duration| duration.as_secs_f64();
    let (at, lasts) = (
        from + s(scheduled.starts_at()),
        s(scheduled.ends_at() - scheduled.starts_at()),
    );
    let fault = match scheduled {
        DrawnFault::Link(cut) => Fault::Link(cut.link, cut.mode),
        DrawnFault::WritesRefused { .. } => Fault::WritesFail,
        DrawnFault::StoreOutage { .. } => Fault::StoreOut,
        DrawnFault::Restart { controller, .. } => Fault::Restart(*controller),
    };
    trouble(at, lasts, fault)
}

/// The schedules that the testbed plays with real processes, in simulated time; users cancel meanwhile.
#[test]
fn the_testbeds_schedules_break_no_rule() {
    for seed in drawn() {
        for links_on in [true, false] {
            let scheduled = generate_faults(seed, 3, Duration::from_secs(60), 12);
            let mut troubles: Vec<Trouble> =
                scheduled.iter().map(|each| as_fault(each, 20.0)).collect();
            troubles.push(trouble(40.0, 0.0, Fault::CancelNow(3)));
            troubles.push(trouble(60.0, 0.0, Fault::CancelNow(3)));
            Play { links_on }.play(seed, &troubles);
        }
    }
}
