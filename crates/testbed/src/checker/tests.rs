//! Tests of [`super`].

use super::*;

const LIMITS: InvariantLimits = InvariantLimits {
    response_timeout: Duration::from_secs(4),
    cancellation_deadline: Duration::from_secs(12),
    unwritable_detection: Duration::from_secs(8),
    status_response_deadline: Duration::from_secs(75),
};

fn token(term: u64) -> u64 {
    term << TOKEN_COUNTER_BITS | 3
}

fn start(task: &str, machine: &str, term: u64) -> Event {
    Event::Started {
        task: task.to_owned(),
        attempt: 1,
        machine: machine.to_owned(),
        token: token(term),
    }
}

fn end(task: &str, machine: &str) -> Event {
    Event::Ended {
        task: task.to_owned(),
        machine: machine.to_owned(),
    }
}

fn leadership_gained(term: u64) -> Event {
    let member = "knot-0".to_owned();
    Event::LeadershipGained { term, member }
}

fn polled(status: &str) -> Event {
    Event::Polled {
        job: "wk-1".to_owned(),
        status: status.to_owned(),
    }
}

fn accepted() -> Event {
    let job = "wk-1".to_owned();
    Event::Accepted { job }
}

fn cancelled() -> Event {
    let job = "wk-1".to_owned();
    Event::Cancelled { job }
}

/// Checks events with their times in seconds; the history ends after 100 seconds.
fn violations(events: Vec<(u64, Event)>) -> Violations {
    let began_at = Instant::now();
    let entries: Vec<Entry> = events
        .into_iter()
        .map(|(seconds, event)| Entry {
            recorded_at: began_at + Duration::from_secs(seconds),
            event,
        })
        .collect();
    check_history(&entries, &LIMITS, began_at + Duration::from_secs(100))
}

#[test]
fn correct_history_has_no_violations() {
    let found = violations(vec![
        (0, leadership_gained(1)),
        (1, accepted()),
        (2, start("wk-1/0", "m-1", 1)),
        (3, polled("running")),
        (5, end("wk-1/0", "m-1")),
        (6, Event::LeadershipLost { term: 1 }),
        (7, leadership_gained(2)),
        (8, start("wk-1/0", "m-2", 2)),
        (9, end("wk-1/0", "m-2")),
        (10, polled("done")),
        (20, polled("done")),
    ]);
    assert_eq!(found, Violations::default());
    assert!(found.is_empty());
}

#[test]
fn task_running_on_two_machines_is_a_violation() {
    let found = violations(vec![
        (0, leadership_gained(1)),
        (1, start("wk-1/0", "m-1", 1)),
        (2, start("wk-1/0", "m-2", 1)),
        // A repeated start on the same machine is no violation.
        (2, start("wk-1/1", "m-3", 1)),
        (3, start("wk-1/1", "m-3", 1)),
    ]);
    assert_eq!(
        found.duplicate_executions,
        vec!["wk-1/0 on m-2 while on m-1"]
    );
    assert!(!found.is_empty());
}

/// A start within the response timeout after the end of the leadership is allowed, because its command may
/// have been in flight.
#[test]
fn start_without_a_valid_lease_is_a_violation() {
    let found = violations(vec![
        (0, leadership_gained(1)),
        (5, Event::LeadershipLost { term: 1 }),
        (9, start("wk-1/0", "m-1", 1)),
        (10, start("wk-2/0", "m-2", 1)),
        (11, start("wk-3/0", "m-3", 7)),
    ]);
    let expected = vec!["wk-2/0 on m-2 under term 1", "wk-3/0 on m-3 under term 7"];
    assert_eq!(found.starts_without_lease, expected);
    assert!(!found.is_empty());
}

/// A start before the deadline is counted, but is no violation, because its command may have been in flight.
#[test]
fn task_running_or_starting_past_the_cancellation_deadline_is_a_violation() {
    let common_events = [
        (0, leadership_gained(1)),
        (0, accepted()),
        (1, start("wk-1/0", "m-1", 1)),
    ];
    let check_with = |rest: Vec<(u64, Event)>| {
        let events: Vec<(u64, Event)> = common_events.iter().cloned().chain(rest).collect();
        violations(events)
    };
    let in_time = check_with(vec![(5, cancelled()), (17, end("wk-1/0", "m-1"))]);
    assert!(in_time.is_empty(), "{in_time:?}");
    let late = check_with(vec![(5, cancelled()), (18, end("wk-1/0", "m-1"))]);
    assert_eq!(late.ran_past_cancellation_deadline.len(), 1);
    let never_ended = check_with(vec![(5, cancelled())]);
    assert_eq!(never_ended.ran_past_cancellation_deadline.len(), 1);
    let restarted = check_with(vec![
        (5, cancelled()),
        (6, end("wk-1/0", "m-1")),
        (7, start("wk-1/0", "m-2", 1)),
        (8, end("wk-1/0", "m-2")),
        (18, start("wk-1/0", "m-3", 1)),
        (18, end("wk-1/0", "m-3")),
    ]);
    assert_eq!(restarted.starts_before_cancellation_deadline.len(), 1);
    assert_eq!(
        restarted.ran_past_cancellation_deadline.len(),
        2,
        "{restarted:?}"
    );
}

#[test]
fn missing_wrong_or_reverted_status_is_a_violation() {
    let faulty_histories = [
        vec![(0, accepted()), (5, polled("404")), (6, polled("done"))],
        vec![(0, accepted()), (5, polled("done")), (6, polled("running"))],
        vec![(0, accepted()), (5, cancelled()), (6, polled("done"))],
        vec![(0, accepted()), (5, polled("cancelled"))],
        vec![(0, accepted()), (80, polled("done"))],
        vec![(0, accepted()), (5, polled("running"))],
    ];
    for history in faulty_histories {
        let found = violations(history.clone());
        assert_eq!(
            found.inconsistent_statuses.len(),
            1,
            "{history:?}: {found:?}"
        );
        assert!(!found.is_empty());
    }
    let unknown = violations(vec![(5, polled("404"))]);
    assert!(unknown.is_empty(), "the job was never accepted");
}

/// A start within the detection time is allowed, because the leader may have sent its command before it
/// detected that the store refuses writes.
#[test]
fn start_while_writes_are_refused_is_a_violation_after_the_detection_time() {
    let found = violations(vec![
        (0, leadership_gained(1)),
        (10, Event::WritesRefused(true)),
        (17, start("wk-1/0", "m-1", 1)),
        (19, start("wk-1/1", "m-1", 1)),
        (30, Event::WritesRefused(false)),
        (31, start("wk-1/2", "m-1", 1)),
    ]);
    assert_eq!(found.starts_while_unwritable, vec!["wk-1/1 on m-1"]);
    assert!(!found.is_empty());
}
