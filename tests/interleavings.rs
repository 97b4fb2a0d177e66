//! Combinations of faults in a simulation of three controllers and their environment. Fixed seeds
//! determine the order of events. Every test expects that no invariant is violated at any step and that
//! every job ends; some tests check more than that.

// A failed `unwrap` or `expect` fails the test.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;
#[path = "common/scenario.rs"]
mod scenario;
#[path = "common/simulation.rs"]
mod simulation;
#[path = "common/test_leader.rs"]
mod test_leader;

use scenario::{seed_range, settings, Scenario, SETTLE_TIME_S};
use simulation::{timed_fault, BatchFaults, CloudFault, CopyShares, Fault, Simulation, TimedFault};
use test_leader::array_job;

/// Runs the faults once per seed, with link monitoring disabled.
fn run_seeds(
    seeds: std::ops::Range<u64>,
    faults: impl Fn(f64) -> Vec<TimedFault>,
) -> Vec<Simulation> {
    Scenario {
        links_enabled: false,
    }
    .run_seeds(seeds, faults)
}

fn run_with_seed(seed: u64, faults: &[TimedFault]) -> Simulation {
    Scenario {
        links_enabled: false,
    }
    .run(seed, faults)
}

/// Without a fault, no leader may lose its lease.
#[test]
fn run_without_faults_has_one_leader_and_no_violation() {
    let runs = run_seeds(1..4, |_| Vec::new());
    assert!(runs.iter().all(|run| run.terms_started == 1));
}

fn late_writes(share: f64, at_once: bool) -> Fault {
    Fault::LateWrites { share, at_once }
}

fn heartbeat_copies(share: f64, kept: bool) -> Fault {
    Fault::HeartbeatCopies { share, kept }
}

/// The store refuses the leader alone, and then fails for all controllers. An outage of 63 s is longer
/// than the 40 s within which a cancellation takes effect.
#[test]
fn invariants_hold_when_the_store_refuses_the_leader_and_then_all_controllers() {
    for (refused_s, outage_s) in [(0.5, 63.0), (2.0, 63.0), (4.5, 25.0), (2.0, 8.0)] {
        run_seeds(seed_range(), |offset_s| {
            vec![
                timed_fault(30.0 + offset_s, refused_s + 1.0, Fault::LeaderRefused),
                timed_fault(30.2 + offset_s, 0.0, Fault::CancelJobs(3)),
                timed_fault(30.0 + offset_s + refused_s, outage_s, Fault::StoreOutage),
                timed_fault(30.3 + offset_s + refused_s, 0.0, Fault::CancelJobs(2)),
            ]
        });
    }
}

/// Workers hang for 38 s, which is longer than their lease of 20 s, while jobs are cancelled and the store
/// fails. A worker that resumes must not run tasks that were cancelled or placed elsewhere meanwhile.
#[test]
fn invariants_hold_when_workers_hang_and_the_former_leader_crashes_during_a_store_outage() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(30.0 + offset_s, 4.0, Fault::LeaderRefused),
            timed_fault(30.4 + offset_s, 0.0, Fault::CancelJobs(4)),
            timed_fault(30.5 + offset_s, 38.0, Fault::HangWorkers(0.4)),
            timed_fault(32.0 + offset_s, 63.0, Fault::StoreOutage),
            timed_fault(40.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
        ]
    });
}

/// The replica of a refused leader lacks cancellations, and slow responses then delay the reads that would
/// complete it. The cancellations must take effect in time nevertheless.
#[test]
fn invariants_hold_when_the_store_refuses_the_leader_twice_and_then_responds_slowly() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(30.0 + offset_s, 2.5, Fault::LeaderRefused),
            timed_fault(31.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            timed_fault(33.0 + offset_s, 2.5, Fault::LeaderRefused),
            timed_fault(34.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            timed_fault(36.0 + offset_s, 30.0, Fault::SlowStore(2.0)),
            timed_fault(40.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
}

/// A leader whose lease renewals succeed while its reads fail must not keep leadership with an outdated
/// replica.
#[test]
fn leader_without_successful_reads_loses_leadership_although_renewals_succeed() {
    let runs = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 70.0, Fault::LeaderReadsLost),
            timed_fault(26.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
    assert!(runs.iter().all(|run| run.terms_started > 1));
}

/// Jobs are cancelled while there is no leader, or while the leader is paused or cannot reach the workers.
/// Their tasks must end in time nevertheless.
#[test]
fn invariants_hold_when_jobs_are_cancelled_during_leader_changes() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(25.1 + offset_s, 0.0, Fault::CrashLeader(2.0)),
            timed_fault(26.5 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(40.0 + offset_s, 12.0, Fault::LeaderCutOff),
            timed_fault(44.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(60.0 + offset_s, 7.0, Fault::PauseLeader),
            timed_fault(62.0 + offset_s, 0.0, Fault::CancelJobs(3)),
        ]
    });
}

/// A late copy shows tasks that may have ended or been placed elsewhere since. A leader that took it for
/// the current state of the machine could start a task twice.
#[test]
fn invariants_hold_when_copies_of_heartbeats_arrive_late_or_at_the_next_leader() {
    let runs = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(10.0, 80.0, heartbeat_copies(0.4, true)),
            timed_fault(30.0 + offset_s, 0.0, Fault::CrashLeader(1.0)),
            timed_fault(45.0 + offset_s, 30.0, heartbeat_copies(0.4, false)),
            timed_fault(60.0 + offset_s, 0.0, Fault::CrashLeader(0.2)),
            timed_fault(75.0 + offset_s, 0.0, Fault::CrashAll(0.5)),
        ]
    });
    assert!(runs.iter().all(|run| run.kept_heartbeats_delivered > 0));
}

/// The outcome of a transaction without a response is unknown to its sender. Repeating or abandoning it
/// must neither start a task twice nor lose a verdict.
#[test]
fn invariants_hold_when_transactions_are_applied_late_or_their_responses_are_lost() {
    for at_once in [false, true] {
        run_seeds(seed_range(), |offset_s| {
            vec![
                timed_fault(10.0, 60.0, late_writes(0.3, at_once)),
                timed_fault(30.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
                timed_fault(35.0 + offset_s, 0.0, Fault::CancelJobs(4)),
                timed_fault(50.0 + offset_s, 0.0, Fault::CrashLeader(5.0)),
                timed_fault(55.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            ]
        });
    }
}

/// In both cases the leases of the workers are not renewed, but their tasks run until the leases expire. No
/// task may start elsewhere before that.
#[test]
fn invariants_hold_when_workers_lose_responses_or_heartbeats_during_leader_changes() {
    for responses_lost in [true, false] {
        run_seeds(seed_range(), |offset_s| {
            let fault = if responses_lost {
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

/// A hung worker does not execute commands, so that the cancelled tasks may run until its lease expires. They
/// count toward the limits of their teams, one of which is near its limit.
#[test]
fn invariants_hold_when_jobs_on_hung_workers_are_cancelled_during_a_leader_change() {
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

/// A leader crashes every 11 s, so that the next one may crash before all machines are reconciled.
#[test]
fn invariants_hold_over_ten_leader_crashes_in_two_minutes_and_a_store_outage() {
    let runs = run_seeds(seed_range(), |offset_s| {
        let mut faults: Vec<TimedFault> = (0..10)
            .map(|n| {
                let delay_s = if n % 2 == 0 { 0.2 } else { 6.0 };
                timed_fault(
                    20.0 + offset_s + f64::from(n) * 11.0,
                    0.0,
                    Fault::CrashLeader(delay_s),
                )
            })
            .collect();
        faults.push(timed_fault(70.0, 9.0, Fault::StoreOutage));
        faults.push(timed_fault(100.0, 0.0, Fault::CancelJobs(3)));
        faults
    });
    assert!(runs.iter().all(|run| run.terms_started > 6));
}

/// All controllers are down for 28 s, which is longer than a worker's lease of 20 s. In a later crash they
/// restart after 0.1 s, and the leader crashes again.
#[test]
fn invariants_hold_when_all_controllers_are_down_for_longer_than_a_worker_lease() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(30.0 + offset_s, 0.0, Fault::CrashAll(28.0)),
            timed_fault(62.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(63.0 + offset_s, 0.0, Fault::CrashAll(0.1)),
            timed_fault(63.4 + offset_s, 0.0, Fault::CrashLeader(0.1)),
        ]
    });
}

/// A cancellation and a completion compete for the final verdict of a job. Users must not observe both, even
/// if 30 % of the transactions are applied without a response.
#[test]
fn invariants_hold_when_jobs_are_cancelled_as_their_last_task_completes() {
    for unanswered_share in [0.0, 0.3] {
        let runs = run_seeds(seed_range(), |_| {
            vec![
                timed_fault(3.0, 70.0, Fault::CancelAtCompletion(0.7)),
                timed_fault(5.0, 70.0, late_writes(unanswered_share, true)),
            ]
        });
        assert!(runs.iter().any(|run| run.ended_job_counts().1 > 0));
        assert!(runs.iter().any(|run| run.ended_job_counts().0 > 0));
    }
}

/// As above, with handlers that are delayed after their read, as by a pause of the process: guards against a
/// cancellation that was decided by the verdict `accepted` and replaces the later verdict `done`.
#[test]
fn invariants_hold_when_cancellations_are_delayed_as_their_jobs_complete() {
    for unanswered_share in [0.0, 0.3] {
        let runs = run_seeds(seed_range(), |offset_s| {
            vec![
                timed_fault(3.0, 70.0, Fault::CancelAtCompletion(0.7)),
                timed_fault(3.0, 70.0, Fault::DelayCancellations(2.0)),
                timed_fault(5.0, 70.0, late_writes(unanswered_share, true)),
                timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            ]
        });
        assert!(runs.iter().any(|run| run.ended_job_counts().1 > 0));
        assert!(runs.iter().any(|run| run.ended_job_counts().0 > 0));
    }
}

/// The cloud lists a terminated machine as running for another 30 s, and 40 % of the transactions are applied
/// 2 to 12 s late. The tasks of the machine must be restarted, but none may run twice.
#[test]
fn invariants_hold_when_machines_terminate_while_writes_are_late_and_leaders_crash() {
    run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(20.0, 60.0, late_writes(0.4, false)),
            timed_fault(25.0 + offset_s, 0.0, Fault::TerminateMachines(4)),
            timed_fault(27.0 + offset_s, 0.0, Fault::CrashLeader(0.5)),
            timed_fault(45.0 + offset_s, 0.0, Fault::TerminateMachines(3)),
            timed_fault(46.0 + offset_s, 0.0, Fault::CrashLeader(3.0)),
        ]
    });
}

/// Guards against machines that stay blocked for the rest of a term: their releases got no response, and the
/// leadership was interrupted, with the same leader and term before and after.
#[test]
fn invariants_hold_when_releases_get_no_response_and_leadership_is_interrupted() {
    let faults = [
        CloudFault::RequestsLost,
        CloudFault::ResponsesLost,
        CloudFault::Refused,
        CloudFault::ExecutedLate,
    ];
    for cloud_fault in faults {
        let runs = run_seeds(seed_range(), |offset_s| {
            vec![
                timed_fault(20.0 + offset_s, 30.0, Fault::ReleaseIdleMachines),
                timed_fault(24.0 + offset_s, 20.0, Fault::Cloud(cloud_fault)),
                timed_fault(32.0 + offset_s, 6.0, Fault::StoreOutage),
                timed_fault(60.0 + offset_s, 12.0, Fault::Cloud(cloud_fault)),
                timed_fault(58.0 + offset_s, 30.0, Fault::ReleaseIdleMachines),
                timed_fault(66.0 + offset_s, 10.0, Fault::StoreOutage),
            ]
        });
        let unanswered = runs.iter().map(|run| run.cloud.unanswered_requests);
        let is_refused = cloud_fault == CloudFault::Refused;
        assert!(is_refused || unanswered.sum::<usize>() > 0);
        assert!(runs.iter().all(|run| run.terms_started == 1));
    }
}

/// A copy of a start that was executed and answered before arrives once more, by each way on which commands travel: in
/// the response to a heartbeat, by way of a follower, or as a direct command. Meanwhile machines restart at once under their names
/// in epoch 1, controllers restart at once, jobs are cancelled, and tasks move from machines that hang. No start may be
/// executed twice.
#[test]
fn start_is_executed_once_when_copies_arrive_late_and_machines_and_controllers_restart_at_once() {
    let shares = CopyShares {
        responses: 0.8,
        commands: 0.6,
        batch_answers: 0.4,
        heartbeats: 0.3,
    };
    let runs = run_seeds(seed_range(), |offset_s| {
        let restart = |at: f64| timed_fault(at + offset_s, 0.0, Fault::RestartWorkers(0.4));
        vec![
            timed_fault(5.0, 110.0, Fault::Copies(shares)),
            timed_fault(5.0, 110.0, heartbeat_copies(0.4, false)),
            timed_fault(10.0, 80.0, Fault::Batches(batch_faults(0.15))),
            restart(18.0),
            timed_fault(18.5 + offset_s, 0.0, Fault::CancelJobs(2)),
            timed_fault(25.0 + offset_s, 0.0, Fault::CrashLeader(0.2)),
            restart(25.3),
            timed_fault(35.0 + offset_s, 25.0, Fault::HangWorkers(0.3)),
            timed_fault(36.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            timed_fault(64.0 + offset_s, 0.0, Fault::CrashAll(0.3)),
            restart(64.2),
            timed_fault(66.0 + offset_s, 0.0, Fault::CancelJobs(2)),
            restart(75.0),
            restart(75.8),
        ]
    });
    let total = |count: fn(&Simulation) -> usize| runs.iter().map(count).sum::<usize>();
    assert!(total(|run| run.copies.starts) > 0);
    assert!(total(|run| run.copies.commands) > 0);
    assert!(total(|run| run.copies.batch_answers) > 0);
    assert!(total(|run| run.copies.heartbeats) > 0);
    assert!(runs.iter().all(|run| run.copies.restarts > 0));
}

/// The jobs are submitted for a minute. Once a second a user cancels the job submitted 0.75 s or 1.75 s
/// before, so that each cancelled job is cancelled twice.
#[test]
fn invariants_hold_with_four_single_task_jobs_per_second_and_frequent_cancellations() {
    for seed in seed_range() {
        let faults = [
            timed_fault(20.0, 0.0, Fault::CrashLeader(1.0)),
            timed_fault(30.0, 20.0, late_writes(0.2, true)),
            timed_fault(45.0, 4.0, Fault::LeaderRefused),
        ];
        let mut simulation = Simulation::new(seed, &settings());
        for index in 0..240 {
            simulation.run_until(2.0 + f64::from(index) * 0.25, &faults);
            let id = |index: i32| format!("wk-{:06}", index + 1);
            let mut job = array_job(&id(index), 1);
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
        assert_eq!(
            simulation.unfinished_jobs(),
            Vec::<String>::new(),
            "seed {seed}"
        );
        let (done, cancelled) = simulation.ended_job_counts();
        assert!(
            done > 100 && cancelled > 5,
            "{done} done, {cancelled} cancelled"
        );
    }
}

/// Applies every fault of batches to the same share of them.
fn batch_faults(share: f64) -> BatchFaults {
    BatchFaults {
        lost: share,
        delayed: share,
        duplicated: share,
        responses_delayed: share,
    }
}

/// A batch that is delayed by up to a minute reaches a former leader, a later one or no leader, and jobs
/// are cancelled meanwhile. Such a batch must neither start a task nor keep one running.
#[test]
fn invariants_hold_when_batches_are_lost_delayed_or_duplicated_during_leader_changes() {
    let runs = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(10.0, 80.0, Fault::Batches(batch_faults(0.25))),
            timed_fault(25.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(26.0 + offset_s, 0.0, Fault::CrashLeader(0.3)),
            timed_fault(40.0 + offset_s, 3.0, Fault::LeaderRefused),
            timed_fault(41.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(55.0 + offset_s, 7.0, Fault::PauseLeader),
            timed_fault(57.0 + offset_s, 0.0, Fault::CancelJobs(3)),
            timed_fault(70.0 + offset_s, 0.0, Fault::CrashFollower(2.0)),
        ]
    });
    // In a single run, most workers may send their heartbeats directly to the leader. Followers relay some
    // responses in every run, and many over all runs.
    let forwarding: Vec<&Simulation> = runs
        .iter()
        .filter(|run| !run.peers_refuse_connections)
        .collect();
    assert!(forwarding
        .iter()
        .all(|run| run.batches_sent > 0 && run.responses_relayed > 0));
    let responses_relayed: usize = forwarding.iter().map(|run| run.responses_relayed).sum();
    assert!(
        responses_relayed > 20 * forwarding.len(),
        "{responses_relayed}"
    );
    assert!(runs.iter().any(|run| run.stale_batches > 0));
    assert!(runs
        .iter()
        .filter(|run| run.peers_refuse_connections)
        .all(|run| run.batches_sent == 0));
}

/// The follower cannot forward heartbeats for 30 s, and has to redirect its workers to the leader before
/// their leases of 20 s expire.
#[test]
fn workers_of_a_follower_that_cannot_reach_the_leader_keep_their_sessions() {
    let runs = run_seeds(seed_range(), |offset_s| {
        vec![
            timed_fault(25.0 + offset_s, 30.0, Fault::FollowerCutFromLeader),
            timed_fault(30.0 + offset_s, 0.0, Fault::CancelJobs(2)),
        ]
    });
    assert!(runs.iter().all(|run| run.sessions_ended() == 0));
}

/// Draws two or three concurrent faults, three times in a run.
#[test]
fn invariants_hold_for_random_combinations_of_faults() {
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
                    1 => Fault::LeaderRefused,
                    2 => Fault::SlowStore(2.0),
                    3 => late_writes(0.3, false),
                    4 => late_writes(0.3, true),
                    5 => heartbeat_copies(0.4, false),
                    6 => heartbeat_copies(0.4, true),
                    7 => Fault::LoseResponses(0.4),
                    8 => Fault::LoseHeartbeats(0.4),
                    9 => Fault::HangWorkers(0.4),
                    10 => Fault::TerminateMachines(2),
                    11 => Fault::CrashLeader(0.2),
                    12 => Fault::CrashLeader(5.0),
                    13 => Fault::CrashAll(rng.random_range(0.1..26.0)),
                    14 => Fault::PauseLeader,
                    15 => Fault::LeaderCutOff,
                    16 => Fault::LeaderReadsLost,
                    17 => Fault::Batches(batch_faults(0.3)),
                    18 => Fault::FollowerCutFromLeader,
                    19 => Fault::CrashFollower(0.2),
                    _ => Fault::CancelAtCompletion(0.5),
                };
                faults.push(timed_fault(starts_at, duration_s, fault));
            }
            faults.push(timed_fault(at + 2.0, 0.0, Fault::CancelJobs(3)));
        }
        run_with_seed(seed, &faults);
    }
}
