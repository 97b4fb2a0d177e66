//! Tests of [`super`]: correct histories have no violations, and each faulty one has the expected kind.

use super::*;

const RULES: InvariantLimits = InvariantLimits {
    response_timeout: Duration::from_secs(4),
    cancellation_deadline: Duration::from_secs(12),
    unwritable_detection: Duration::from_secs(8),
    answer_deadline: Duration::from_secs(75),
};

fn token(term: u64) -> u64 {
    term << TOKEN_COUNT_BITS | 3
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

fn answered(status: &str) -> Event {
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

/// Events with their times in seconds, checked up to the hundredth second.
fn violations(events: Vec<(u64, Event)>) -> Violations {
    let began = Instant::now();
    let entries: Vec<Entry> = events
        .into_iter()
        .map(|(s, event)| Entry {
            at: began + Duration::from_secs(s),
            event,
        })
        .collect();
    check_history(&entries, &RULES, began + Duration::from_secs(100))
}

#[test]
fn a_correct_history_has_no_violations() {
    let found = violations(vec![
        (0, leadership_gained(1)),
        (1, accepted()),
        (2, start("wk-1/0", "m-1", 1)),
        (3, answered("running")),
        (5, end("wk-1/0", "m-1")),
        (6, Event::LeadershipLost { term: 1 }),
        (7, leadership_gained(2)),
        (8, start("wk-1/0", "m-2", 2)),
        (9, end("wk-1/0", "m-2")),
        (10, answered("done")),
        (20, answered("done")),
    ]);
    assert_eq!(found, Violations::default());
    assert!(found.is_empty());
}

#[test]
fn a_task_on_two_machines_is_a_violation() {
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

#[test]
fn a_start_without_a_valid_lease_is_a_violation() {
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

#[test]
fn tasks_of_a_cancelled_job_past_its_deadline_are_violations() {
    let began = [
        (0, leadership_gained(1)),
        (0, accepted()),
        (1, start("wk-1/0", "m-1", 1)),
    ];
    let history = |rest: Vec<(u64, Event)>| {
        let events: Vec<(u64, Event)> = began.iter().cloned().chain(rest).collect();
        violations(events)
    };
    let in_time = history(vec![(5, cancelled()), (17, end("wk-1/0", "m-1"))]);
    assert!(in_time.is_empty(), "{in_time:?}");
    let late = history(vec![(5, cancelled()), (18, end("wk-1/0", "m-1"))]);
    assert_eq!(late.ran_past_cancellation_deadline.len(), 1);
    let never = history(vec![(5, cancelled())]);
    assert_eq!(never.ran_past_cancellation_deadline.len(), 1);
    let again = history(vec![
        (5, cancelled()),
        (6, end("wk-1/0", "m-1")),
        (7, start("wk-1/0", "m-2", 1)),
        (8, end("wk-1/0", "m-2")),
        (18, start("wk-1/0", "m-3", 1)),
        (18, end("wk-1/0", "m-3")),
    ]);
    assert_eq!(again.starts_before_cancellation_deadline.len(), 1);
    assert_eq!(again.ran_past_cancellation_deadline.len(), 2, "{again:?}");
}

#[test]
fn missing_wrong_or_reverted_answers_are_violations() {
    let wrong = [
        vec![(0, accepted()), (5, answered("404")), (6, answered("done"))],
        vec![
            (0, accepted()),
            (5, answered("done")),
            (6, answered("running")),
        ],
        vec![(0, accepted()), (5, cancelled()), (6, answered("done"))],
        vec![(0, accepted()), (5, answered("cancelled"))],
        vec![(0, accepted()), (80, answered("done"))],
        vec![(0, accepted()), (5, answered("running"))],
    ];
    for history in wrong {
        let found = violations(history.clone());
        assert_eq!(
            found.inconsistent_answers.len(),
            1,
            "{history:?}: {found:?}"
        );
        assert!(!found.is_empty());
    }
    let unknown = violations(vec![(5, answered("404"))]);
    assert!(unknown.is_empty(), "it was never accepted");
}

#[test]
fn a_start_while_writes_fail_is_a_violation_after_the_detection_time() {
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
