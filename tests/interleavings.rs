//! Meetings of troubles, played by three controllers against a model of everything around them, in
//! orders drawn from fixed seeds; the protocol's rules are checked after every step.

// A test that can't go on ends with its reason.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scenario.rs"]
mod scenario;
#[path = "common/scene.rs"]
mod scene;
#[path = "common/simulation.rs"]
mod simulation;

use scenario::{seed_range, settings, Scenario, SETTLE_TIME_S};
use scene::array;
use simulation::{timed_fault, BatchFaults, Fault, Simulation, TimedFault};

/// Plays the troubles without links turned on.
fn run_seeds(
    seeds: std::ops::Range<u64>,
    faults: impl Fn(f64) -> Vec<TimedFault>,
) -> Vec<Simulation> {
    Scenario {
        links_enabled: false,
    }
    .run_seeds(seeds, faults)
}

fn run(seed: u64, faults: &[TimedFault]) -> Simulation {
    Scenario {
        links_enabled: false,
    }
    .run(seed, faults)
}

#[test]
fn a_quiet_day_breaks_nothing() {
    let simulations = run_seeds(1..4, |_| Vec::new());
    assert!(simulations
        .iter()
        .all(|simulation| simulation.failovers == 1));
}

fn unanswered_transactions(share: f64, applied_at_once: bool) -> Fault {
    Fault::UnansweredTransactions {
        share,
        applied_at_once,
    }
}

fn duplicate_heartbeats(share: f64, kept_for_next_leader: bool) -> Fault {
    Fault::DuplicateHeartbeats {
        share,
        kept_for_next_leader,
    }
}

#[test]
fn the_gap_refused_alone_then_an_outage_longer_than_a_cancellation_may_take() {
    for (refused_s, outage_s) in [(0.5, 63.0), (2.0, 63.0), (4.5, 25.0), (2.0, 8.0)] {
        run_seeds(seed_range(), |offset_s| {
            vec![
                timed_fault(30.0 + offset_s, refused_s + 1.0, Fault::StoreRefusesLeader),
                timed_fault(30.2 + offset_s, 0.0, Fault::CancelJobs(3)),
                timed_fault(30.0 + offset_s + refused_s, outage_s, Fault::StoreOutage),
                timed_fault(30.3 + offset_s + refused_s, 0.0, Fault::CancelJobs(2)),
            ]
        });
    }
}

#[test]
fn the_gap_with_hung_machines_and_the_old_leader_ended_within() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(30.0 + offset_s, 4.0, Fault::StoreRefusesLeader),
            timed_fault(30.4 + offset_s, 0.0, Fault::CancelJobs(4)),
            timed_fault(30.5 + offset_s, 38.0, Fault::HangWorkers(0.4)),
            timed_fault(32.0 + offset_s, 63.0, Fault::StoreOutage),
            timed_fault(40.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
        ]
    });
}

#[test]
fn two_cuts_one_after_the_other_and_slow_answers_instead_of_refusals() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(30.0 + offset_s, 2.5, Fault::StoreRefusesLeader),
            timed_fault(31.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            timed_fault(33.0 + offset_s, 2.5, Fault::StoreRefusesLeader),
            timed_fault(34.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            timed_fault(36.0 + offset_s, 30.0, Fault::SlowStore(2.0)),
            timed_fault(40.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
}

/// A leader whose renewals succeed while its reads don't would lead for ever with its replica.
#[test]
fn renewals_that_succeed_while_reads_do_not_end_the_lead_in_time() {
    let simulations = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 70.0, Fault::LeaderReadsUnanswered),
            timed_fault(26.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
    assert!(simulations
        .iter()
        .all(|simulation| simulation.failovers > 1));
}

#[test]
fn jobs_cancelled_while_the_lead_changes_hands() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(25.1 + offset_s, 0.0, Fault::CrashLeader(2.0)),
            timed_fault(26.5 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(40.0 + offset_s, 12.0, Fault::LeaderCutFromWorkers),
            timed_fault(44.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(60.0 + offset_s, 7.0, Fault::PauseLeader),
            timed_fault(62.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
}

#[test]
fn late_copies_of_reports_and_copies_kept_for_the_next_leader() {
    let simulations = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(10.0, 80.0, duplicate_heartbeats(0.4, true)),
            timed_fault(30.0 + offset_s, 0.0, Fault::CrashLeader(1.0)),
            timed_fault(45.0 + offset_s, 30.0, duplicate_heartbeats(0.4, false)),
            timed_fault(60.0 + offset_s, 0.0, Fault::CrashLeader(0.2)),
            timed_fault(75.0 + offset_s, 0.0, Fault::CrashAll(0.5)),
        ]
    });
    assert!(simulations
        .iter()
        .all(|simulation| simulation.kept_heartbeats_delivered > 0));
}

#[test]
fn transactions_carried_out_late_or_with_their_answers_lost() {
    for applied_at_once in [false, true] {
        run_seeds(seed_range(), |offset_s| {
            vec![
                timed_fault(10.0, 60.0, unanswered_transactions(0.3, applied_at_once)),
                timed_fault(30.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
                timed_fault(35.0 + offset_s, 0.0, Fault::CancelJobs(4)),
                timed_fault(50.0 + offset_s, 0.0, Fault::CrashLeader(5.0)),
                timed_fault(55.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            ]
        });
    }
}

#[test]
fn machines_that_hear_nothing_or_reach_nobody_through_changes_of_leader() {
    for responses in [true, false] {
        run_seeds(seed_range(), |offset_s| {
            let fault = if responses {
                Fault::LoseResponses(0.5)
            } else {
                Fault::LoseHeartbeats(0.5)
            };
            vec![
                timed_fault(25.0 + offset_s, 35.0, fault.clone()),
                timed_fault(27.0 + offset_s, 0.0, Fault::CrashLeader(1.0)),
                timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(4)),
                timed_fault(65.0 + offset_s, 15.0, fault),
                timed_fault(70.0 + offset_s, 0.0, Fault::CrashLeader(0.2)),
            ]
        });
    }
}

#[test]
fn cancelled_jobs_on_machines_that_hang_while_the_leader_changes_and_teams_are_at_their_limit() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(30.0 + offset_s, 25.0, Fault::HangWorkers(0.4)),
            timed_fault(31.0 + offset_s, 0.0, Fault::CancelJobs(6)),
            timed_fault(32.0 + offset_s, 0.0, Fault::CrashLeader(4.0)),
            timed_fault(33.0 + offset_s, 18.0, Fault::HangWorkers(0.3)),
            timed_fault(36.0 + offset_s, 10.0, Fault::LoseResponses(0.3)),
        ]
    });
}

#[test]
fn ten_leaders_in_two_minutes_also_within_an_outage() {
    let simulations = run_seeds(seed_range(), |offset_s| {
        let mut faults: Vec<TimedFault> = (0..10)
            .map(|n| {
                let restart_delay_s = if n % 2 == 0 { 0.2 } else { 6.0 };
                timed_fault(
                    20.0 + offset_s + f64::from(n) * 11.0,
                    0.0,
                    Fault::CrashLeader(restart_delay_s),
                )
            })
            .collect();
        faults.push(timed_fault(70.0, 9.0, Fault::StoreOutage));
        faults.push(timed_fault(100.0, 0.0, Fault::CancelJobs(3)));
        faults
    });
    assert!(simulations
        .iter()
        .all(|simulation| simulation.failovers > 6));
}

#[test]
fn all_controllers_away_for_longer_than_a_lease_and_one_back_at_once() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(30.0 + offset_s, 0.0, Fault::CrashAll(28.0)),
            timed_fault(62.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(63.0 + offset_s, 0.0, Fault::CrashAll(0.1)),
            timed_fault(63.4 + offset_s, 0.0, Fault::CrashLeader(0.1)),
        ]
    });
}

#[test]
fn jobs_called_off_at_the_moment_of_their_end() {
    for unanswered_share in [0.0, 0.3] {
        let simulations = run_seeds(seed_range(), |_| {
            vec![
                timed_fault(3.0, 70.0, Fault::CancelAtCompletion(0.7)),
                timed_fault(5.0, 70.0, unanswered_transactions(unanswered_share, true)),
            ]
        });
        assert!(simulations
            .iter()
            .any(|simulation| simulation.ended_job_counts().1 > 0));
        assert!(simulations
            .iter()
            .any(|simulation| simulation.ended_job_counts().0 > 0));
    }
}

#[test]
fn machines_that_die_or_are_new_while_writes_lag_and_the_leader_ends() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(20.0, 60.0, unanswered_transactions(0.4, false)),
            timed_fault(25.0 + offset_s, 0.0, Fault::TerminateMachines(4)),
            timed_fault(27.0 + offset_s, 0.0, Fault::CrashLeader(0.5)),
            timed_fault(45.0 + offset_s, 0.0, Fault::TerminateMachines(3)),
            timed_fault(46.0 + offset_s, 0.0, Fault::CrashLeader(3.0)),
        ]
    });
}

/// One-task jobs, four a second for a minute, a quarter of them cancelled at once or soon.
#[test]
fn four_single_task_jobs_a_second_of_which_a_quarter_is_cancelled() {
    for seed in seed_range() {
        let faults = [
            timed_fault(20.0, 0.0, Fault::CrashLeader(1.0)),
            timed_fault(30.0, 20.0, unanswered_transactions(0.2, true)),
            timed_fault(45.0, 4.0, Fault::StoreRefusesLeader),
        ];
        let mut simulation = Simulation::new(seed, &settings());
        for index in 0..240 {
            simulation.run_until(2.0 + f64::from(index) * 0.25, &faults);
            let id = |index: i32| format!("wk-{:06}", index + 1);
            let mut job = array(&id(index), 1);
            job.team = "blue".to_owned();
            job.task_resources.cpus = 2.0;
            job.task_resources.gpus = 0.0;
            job.task_resources.memory = 1.0;
            simulation.submit_job(job, 3.0);
            if index % 4 == 3 {
                simulation.cancel(&id(index - index % 8));
            }
        }
        simulation.run_until(62.0 + SETTLE_TIME_S, &faults);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(simulation.unfinished(), Vec::<String>::new(), "seed {seed}");
        let (done, cancelled) = simulation.ended_job_counts();
        assert!(
            done > 100 && cancelled > 5,
            "{done} done, {cancelled} cancelled"
        );
    }
}

/// That share of the batches of forwarded reports is lost, held or doubled, and of the answers held.
fn batch_faults(share: f64) -> BatchFaults {
    BatchFaults {
        lost: share,
        held: share,
        doubled: share,
        answers_held: share,
    }
}

/// Batches held for up to a minute reach the leader of before, a later one, or nobody; jobs are
/// cancelled meanwhile. None of it may start or keep anything.
#[test]
fn batches_of_reports_lost_held_and_doubled_through_changes_of_leader() {
    let simulations = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(10.0, 80.0, Fault::Batches(batch_faults(0.25))),
            timed_fault(25.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(26.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
            timed_fault(40.0 + offset_s, 3.0, Fault::StoreRefusesLeader),
            timed_fault(41.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(55.0 + offset_s, 7.0, Fault::PauseLeader),
            timed_fault(57.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(70.0 + offset_s, 0.0, Fault::CrashFollower(2.0)),
        ]
    });
    // In a single world most machines may have come to the leader; over all of them many answers
    // go by way of followers, and some in each.
    let forwarding: Vec<&Simulation> = simulations
        .iter()
        .filter(|w| !w.peers_refuse_connections)
        .collect();
    assert!(forwarding
        .iter()
        .all(|w| w.batches_sent > 0 && w.responses_relayed > 0));
    let responses_relayed: usize = forwarding.iter().map(|w| w.responses_relayed).sum();
    assert!(
        responses_relayed > 20 * forwarding.len(),
        "{responses_relayed}"
    );
    assert!(simulations
        .iter()
        .any(|simulation| simulation.stale_batches > 0));
    assert!(simulations
        .iter()
        .filter(|w| w.peers_refuse_connections)
        .all(|w| w.batches_sent == 0));
}

/// A follower that can't reach the leader sends its workers on, and none of them loses its work.
#[test]
fn a_follower_cut_from_the_leader_alone_loses_no_worker() {
    let simulations = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 30.0, Fault::FollowerCutFromLeader),
            timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(2)),
        ]
    });
    assert!(simulations
        .iter()
        .all(|simulation| simulation.sessions_ended() == 0));
}

/// Two or three troubles drawn, again and again. A seed that broke a rule is kept below.
#[test]
fn whatever_meets_breaks_no_rule() {
    use rand::{rngs::StdRng, Rng, SeedableRng};
    for seed in seed_range() {
        let mut rng = StdRng::seed_from_u64(seed * 7919);
        let mut faults = Vec::new();
        for at in [20.0, 60.0, 100.0] {
            for _ in 0..rng.random_range(2..4) {
                let starts_at = at + rng.random_range(0.0..6.0);
                let duration_s = [2.0, 6.0, 15.0, 30.0][rng.random_range(0..4)];
                let fault = match rng.random_range(0..21) {
                    0 => Fault::StoreOutage,
                    1 => Fault::StoreRefusesLeader,
                    2 => Fault::SlowStore(2.0),
                    3 => unanswered_transactions(0.3, false),
                    4 => unanswered_transactions(0.3, true),
                    5 => duplicate_heartbeats(0.4, false),
                    6 => duplicate_heartbeats(0.4, true),
                    7 => Fault::LoseResponses(0.4),
                    8 => Fault::LoseHeartbeats(0.4),
                    9 => Fault::HangWorkers(0.4),
                    10 => Fault::TerminateMachines(2),
                    11 => Fault::CrashLeader(0.2),
                    12 => Fault::CrashLeader(5.0),
                    13 => Fault::CrashAll(rng.random_range(0.1..26.0)),
                    14 => Fault::PauseLeader,
                    15 => Fault::LeaderCutFromWorkers,
                    16 => Fault::LeaderReadsUnanswered,
                    17 => Fault::Batches(batch_faults(0.3)),
                    18 => Fault::FollowerCutFromLeader,
                    19 => Fault::CrashFollower(0.2),
                    _ => Fault::CancelAtCompletion(0.5),
                };
                faults.push(timed_fault(starts_at, duration_s, fault));
            }
            faults.push(timed_fault(at + 2.0, 0.0, Fault::CancelJobs(3)));
        }
        run(seed, &faults);
    }
}
